"""Servers reserved for gangs, whose tasks can only start all at the same time."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from cassiaweir.dispatch._placement import Candidate
from cassiaweir.dispatch._server import Server

MAX_RESERVED_SHARE = 0.4
"""Share of the servers that may be reserved while more than one gang waits.

Smaller steps go on using the others.
"""

RESERVATION_HEADROOM = 1.25
"""Room is reserved for this many times the tasks, as some servers free up late."""


class Reservations:
    """The servers reserved for each gang.

    Steps are identified by name, servers by id.  A reservation lasts from one placement
    round to the next, until it is released.
    """

    def __init__(self) -> None:
        self._by_step: dict[str, frozenset[str]] = {}

    def retain(self, steps: Collection[str]) -> None:
        """Release the reservations of all steps but `steps`."""
        for name in self._by_step.keys() - set(steps):
            del self._by_step[name]

    def release(self, step: str) -> None:
        """Release the reservation of a gang, if it has one."""
        self._by_step.pop(step, None)

    def release_with(self, server_ids: Collection[str]) -> None:
        """Release the reservations that include one of the servers `server_ids`."""
        for name, ids in list(self._by_step.items()):
            if not ids.isdisjoint(server_ids):
                del self._by_step[name]

    def includes_any(self, step: str, servers: Iterable[Server]) -> bool:
        """Return whether one of `servers` is reserved for `step`."""
        reserved = self._by_step.get(step)
        if not reserved:
            return False
        return any(each.server_id in reserved for each in servers)

    def of_others(self, step: str) -> set[str]:
        """Return the servers that are reserved for other steps than `step`."""
        if not self._by_step:
            return set()
        return {
            server_id
            for name, ids in self._by_step.items()
            if name != step
            for server_id in ids
        }

    def reserve(
        self, step: str, candidates: Sequence[Candidate], tasks: int, servers: int
    ) -> None:
        """Reserve the first `candidates` that have room for `tasks` tasks once idle.

        While other gangs have reservations, all reservations together are limited to a
        share of `servers`, the number of usable servers.  Nothing is reserved if the
        candidates have too little room for all tasks.
        """
        others = self.of_others(step)
        limit = int(servers * MAX_RESERVED_SHARE) - len(others) if others else servers
        chosen: list[str] = []
        room = 0
        for candidate in candidates[: max(limit, 0)]:
            if room >= tasks * RESERVATION_HEADROOM:
                break
            chosen.append(candidate.server.server_id)
            room += candidate.slots
        if room >= tasks:
            self._by_step[step] = frozenset(chosen)
