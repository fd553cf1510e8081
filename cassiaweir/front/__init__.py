"""The HTTP front for callers: submits jobs, reports their state, cancels them."""

from cassiaweir.front._access import AccessChecker
from cassiaweir.front._app import FrontServer
from cassiaweir.front._load_admission import LoadAdmission
from cassiaweir.front._states import JobDirectory
from cassiaweir.front._submissions import JobWriter

__all__ = ["AccessChecker", "FrontServer", "JobDirectory", "JobWriter", "LoadAdmission"]
