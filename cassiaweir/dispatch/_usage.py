"""What each customer has running, against its cap."""

from __future__ import annotations

from cassiaweir.queues import Customer
from cassiaweir.types import NOTHING, Resources


class CustomerUsage:
    """Adds up what the runs of each customer take, from order to listed end."""

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}

    def used(self, customer: str) -> Resources:
        """Return what `customer` has running."""
        return self._used.get(customer, NOTHING)

    def add(self, customer: str, demand: Resources) -> None:
        """Count a run."""
        self._used[customer] = self.used(customer) + demand

    def remove(self, customer: str, demand: Resources) -> None:
        """Stop counting a run."""
        self._used[customer] = self.used(customer) - demand

    def count_within_cap(
        self, customer: Customer | None, demand: Resources, most: int
    ) -> int:
        """Return how many runs of `demand`, at most `most`, keep to the cap."""
        if customer is None:
            return most
        used = self.used(customer.name)
        cap = customer.cap
        room = most
        for limit, taken, each in (
            (cap.cpu_millis, used.cpu_millis, demand.cpu_millis),
            (cap.memory_mb, used.memory_mb, demand.memory_mb),
            (cap.accelerators, used.accelerators, demand.accelerators),
        ):
            if limit > 0 and each > 0:
                room = min(room, max(limit - taken, 0) // each)
        return room
