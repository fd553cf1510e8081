"""Keeps parts of customers' caps for gangs, whose tasks need them all at once."""

from __future__ import annotations

from cassiaweir.dispatch._waiting_steps import WaitingStep
from cassiaweir.queues import Customer
from cassiaweir.types import NO_RESOURCES, Resources


class CapHolds:
    """What is kept of each customer's cap in one placement round.

    Without it, small tasks of a customer at its cap take each part that becomes free,
    and a gang of the same customer never finds enough at one moment.  One gang of a
    customer is served at a time, the first in the order of rank.
    """

    def __init__(self) -> None:
        self._held: dict[str, Resources] = {}

    def begin_round(self) -> None:
        """Forget what was held; gangs that still wait hold it again."""
        self._held.clear()

    def of(self, customer: str) -> Resources:
        """Return what steps of `customer` that come later in the round must leave."""
        return self._held.get(customer, NO_RESOURCES)

    def hold(self, waiting: WaitingStep, customer: Customer | None) -> None:
        """Keep the cap of `customer` for a gang that could not start in this round.

        Nothing is kept if the gang exceeds the whole cap.
        """
        if customer is None or customer.name in self._held:
            return
        needed = waiting.step.demand * len(waiting.step.tasks)
        if _within(needed, customer.cap):
            self._held[customer.name] = needed


def _within(needed: Resources, cap: Resources) -> bool:
    """Return whether `needed` fits into `cap`, in which 0 means no limit."""
    return all(
        limit == 0 or amount <= limit
        for amount, limit in (
            (needed.cpu_millis, cap.cpu_millis),
            (needed.memory_mb, cap.memory_mb),
            (needed.accelerators, cap.accelerators),
        )
    )
