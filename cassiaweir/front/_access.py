"""Checks whether a request may use a queue.

The queues and keys are those of the view, this process's copy of the configuration.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from cassiaweir.feeds import TableWatch
from cassiaweir.queues import ConfigurationView, Customer, Queue

VIEW_AGE_MARGIN = timedelta(milliseconds=1_500)
"""Allows for delays of the change feed and the duration of the request itself."""


class Denial(StrEnum):
    """Why a request is denied; values are the reasons in logs and metrics."""

    NO_CONFIGURATION = "no_configuration"
    STALE_KEYS = "stale_keys"
    NO_QUEUE = "no_queue"
    UNKNOWN_KEY = "unknown_key"


@dataclass(frozen=True, slots=True)
class Access:
    """The queue and customer of an allowed request, and the configuration's version.

    `customer` is None for a request to a public queue without a known key.
    """

    queue: Queue
    customer: Customer | None
    version: int


class AccessChecker:
    """Checks requests against the queues and keys of the configuration in force.

    A withdrawn key must be refused everywhere within `withdrawal_time`.  A view that
    may be older than that, less `VIEW_AGE_MARGIN`, is therefore not used to check keys.
    """

    def __init__(
        self, view: ConfigurationView, watch: TableWatch, withdrawal_time: timedelta
    ) -> None:
        self._view = view
        self._watch = watch
        self._max_view_age = max(
            withdrawal_time - VIEW_AGE_MARGIN, timedelta(seconds=1)
        )

    @property
    def fresh(self) -> bool:
        """Whether the view is recent enough to check keys with."""
        return self._view.known and self._watch.age() <= self._max_view_age

    @property
    def max_body_bytes(self) -> int:
        """The largest request body that the configuration allows."""
        return self._view.current().max_body_bytes

    def view_age(self) -> timedelta:
        """Return an upper bound of the age of the view."""
        return self._watch.age()

    def find(self, host: str, path: str, key: str) -> Access | Denial:
        """Return the queue and customer of a request, or why it is denied.

        A public queue needs no key, and may be used with a view of any age.
        """
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
