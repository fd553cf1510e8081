"""Limits of the HTTP listeners of a process, for clients that keep to none."""

from cassiaweir.http_limits._body import (
    BodyTimeoutError,
    BodyTooLargeError,
    IncompleteBodyError,
    read_body,
)
from cassiaweir.http_limits._budget import (
    BudgetExhaustedError,
    ByteBudget,
    Reservation,
)
from cassiaweir.http_limits._limits import (
    DEFAULT_LIMITS,
    HttpOverrides,
    ListenerLimits,
    ProcessLimits,
    derive_limits,
)
from cassiaweir.http_limits._refusals import Refusals
from cassiaweir.http_limits._server import BoundedServer

__all__ = [
    "DEFAULT_LIMITS",
    "BodyTimeoutError",
    "BodyTooLargeError",
    "BoundedServer",
    "BudgetExhaustedError",
    "ByteBudget",
    "HttpOverrides",
    "IncompleteBodyError",
    "ListenerLimits",
    "ProcessLimits",
    "Refusals",
    "Reservation",
    "derive_limits",
    "read_body",
]
