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

    def take(self, waiting: WaitingStep, tasks: int, allowed_share: float) -> bool:
        """Count `tasks` that found no server; return whether to ask about them.

        Only `allowed_share` of them counts, the share of servers that advice allows a
        step: while it waits for those, others may have room.
        """
        if self.exhausted(waiting):
            return False
        if self._takes_any_room(waiting):
            cpu_millis = waiting.step.demand.cpu_millis * tasks
            service = waiting.queue.service
            self._left_millis[service] -= round(cpu_millis * allowed_share)
        return True

    def _takes_any_room(self, waiting: WaitingStep) -> bool:
        """Return whether the step's tasks start one by one wherever there is room.

        Others may wait while there is room for what comes after them, which must not
        wait with them: gangs, tasks that only some servers may run, and tasks too large
        for every server.
        """
        spec, largest = waiting.step.spec, self._largest_millis[waiting.queue.service]
        bound = spec.gang or spec.label or spec.most_per_server or spec.same_rack
        return not bound and waiting.step.demand.cpu_millis <= largest
