"""A budget of bytes that the requests with a body share in a process."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

SMALL_BODY_BYTES = 16_384
SMALL_BODIES_SHARE = 0.25
"""The share of a budget that only bodies of up to `SMALL_BODY_BYTES` may use."""


class BudgetExhaustedError(Exception):
    """Other requests take all bytes; nothing of this one is kept."""


class ByteBudget:
    """Counts bytes in use against `capacity`.

    A body that is larger than the capacity is admitted while no other one is in use,
    so that a single request is served in calm.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0

    @contextmanager
    def reserve(self) -> Iterator[Reservation]:
        """Return a reservation for one request; its bytes are given back at the end."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            reservation.release()

    def _limit(self, size: int) -> int:
        if size <= SMALL_BODY_BYTES:
            return self.capacity
        return int(self.capacity * (1 - SMALL_BODIES_SHARE))

    def take(self, size: int, total: int) -> None:
        """Take `size` more bytes for a request that has `total` with them.

        Raises `BudgetExhaustedError` where they are not available.
        """
        only_one = self.used + size == total
        if self.used + size > self._limit(total) and not only_one:
            raise BudgetExhaustedError
        self.used += size

    def give_back(self, size: int) -> None:
        """Return `size` bytes."""
        self.used -= size


class Reservation:
    """The bytes that one request has taken."""

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self.size = 0

    def grow_to(self, size: int) -> None:
        """Take what is missing to `size`, or raise `BudgetExhaustedError`."""
        if size > self.size:
            self._budget.take(size - self.size, size)
            self.size = size

    def release(self) -> None:
        """Give all bytes back."""
        self._budget.give_back(self.size)
        self.size = 0
