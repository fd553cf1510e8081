"""The resources that the runs of each customer take, and what its cap leaves."""

from __future__ import annotations

from cassiaweir.queues import Customer
from cassiaweir.types import NO_RESOURCES, Resources


class CustomerUsage:
    """Adds up the resources of each customer's runs.

    A run counts from before its order is sent until a report shows that it has ended.
    """

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}

    def used(self, customer: str) -> Resources:
        """Return the resources that the runs of `customer` take."""
        return self._used.get(customer, NO_RESOURCES)

    def add(self, customer: str, demand: Resources) -> None:
        """Count a run of `customer` that takes `demand`."""
        self._used[customer] = self.used(customer) + demand

    def remove(self, customer: str, demand: Resources) -> None:
        """Stop counting a run of `customer` that took `demand`."""
        self._used[customer] = self.used(customer) - demand

    def count_within_cap(
        self,
        customer: Customer | None,
        demand: Resources,
        maximum: int,
        former: Resources = NO_RESOURCES,
    ) -> int:
        """Return how many more runs of `demand`, at most `maximum`, the cap allows.

        `former` is what the customer's runs may take on servers out of reach.
        A cap of 0 means no limit; so does a customer that is not configured.
        """
        if customer is None:
            return maximum
        used = self.used(customer.name) + former
        cap = customer.cap
        room = maximum
        for limit, taken, each in (
            (cap.cpu_millis, used.cpu_millis, demand.cpu_millis),
            (cap.memory_mb, used.memory_mb, demand.memory_mb),
            (cap.accelerators, used.accelerators, demand.accelerators),
        ):
            if limit > 0 and each > 0:
                room = min(room, max(limit - taken, 0) // each)
        return room
