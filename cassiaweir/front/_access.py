"""Decides whether a request may use a queue, by the keys known here."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from cassiaweir.feeds import TableWatch
from cassiaweir.queues import ConfigurationView, Customer, Queue

STALE_MARGIN = timedelta(milliseconds=1_500)
"""Covers a feed that is late in telling changes, and the request's own time."""


class Denial(StrEnum):
    """Why a request may not go on."""

    NO_CONFIGURATION = "no_configuration"
    STALE_KEYS = "stale_keys"
    NO_QUEUE = "no_queue"
    UNKNOWN_KEY = "unknown_key"


@dataclass(frozen=True, slots=True)
class Access:
    """A request's queue and customer; a public queue may have none."""

    queue: Queue
    customer: Customer | None
    version: int


class AccessChecker:
    """Looks requests up in the configuration in force.

    Keys are withdrawn within `withdrawal`, so a view that may be older is not used.
    """

    def __init__(
        self, view: ConfigurationView, watch: TableWatch, withdrawal: timedelta
    ) -> None:
        self._view = view
        self._watch = watch
        self._oldest = max(withdrawal - STALE_MARGIN, timedelta(seconds=1))

    @property
    def fresh(self) -> bool:
        """Whether the view is young enough to judge keys by."""
        return self._view.known and self._watch.age() <= self._oldest

    @property
    def max_body_bytes(self) -> int:
        """The longest body that the configuration allows."""
        return self._view.current().max_body_bytes

    def view_age(self) -> timedelta:
        """Return how old the view is at most."""
        return self._watch.age()

    def find(self, host: str, path: str, key: str) -> Access | Denial:
        """Return what a request may use, or why it may not."""
        if not self._view.known:
            return Denial.NO_CONFIGURATION
        current = self._view.current()
        queue = current.find_queue(host, path)
        if queue is None:
            return Denial.NO_QUEUE if self.fresh else Denial.STALE_KEYS
        customer = current.customer_of(key) if key else None
        if queue.public:
            return Access(queue, customer, current.version)
        if not self.fresh:
            return Denial.STALE_KEYS
        if customer is None:
            return Denial.UNKNOWN_KEY
        return Access(queue, customer, current.version)
