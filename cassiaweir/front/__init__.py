"""Serves callers: takes jobs, tells their state, cancels them."""

from cassiaweir.front._access import AccessDesk
from cassiaweir.front._app import FrontServer
from cassiaweir.front._states import StateDesk
from cassiaweir.front._submissions import SubmissionDesk

__all__ = ["AccessDesk", "FrontServer", "StateDesk", "SubmissionDesk"]
