"""Bounds the work about which the advice service is asked before it can start."""

from __future__ import annotations

from collections.abc import Iterable

from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._waiting_steps import WaitingStep


class AdviceBudget:
    """Allows questions about the first waiting steps that the servers have room for.

    What comes after as much work as all servers of a service hold starts only after
    other tasks have ended everywhere.  The tickets for it would have expired by then,
    and its questions delay those about the steps that come first.
    """

    def __init__(self) -> None:
        self._left_millis: dict[str, int] = {}
        self._largest_millis: dict[str, int] = {}

    def begin_round(self, servers: Iterable[Server]) -> None:
        """Begin a placement round in which tasks may be placed on `servers`."""
        self._left_millis.clear()
        self._largest_millis.clear()
        for server in servers:
            service, cpu_millis = server.entry.service, server.entry.capacity.cpu_millis
            self._left_millis[service] = self._left_millis.get(service, 0) + cpu_millis
            largest = self._largest_millis.get(service, 0)
            self._largest_millis[service] = max(largest, cpu_millis)

    def exhausted(self, waiting: WaitingStep) -> bool:
        """Return whether the work before a step takes up all servers."""
        return self._left_millis.get(waiting.queue.service, 0) <= 0

    def take(self, waiting: WaitingStep, tasks: int) -> bool:
        """Count `tasks` that found no server; return whether to ask about them.

        Tasks too large for every server take up none, as they never start.
        """
        if self.exhausted(waiting):
            return False
        service, demand = waiting.queue.service, waiting.step.demand
        if demand.cpu_millis <= self._largest_millis[service]:
            self._left_millis[service] -= demand.cpu_millis * tasks
        return True
