"""Servers reserved for gangs, whose tasks can only start all at the same time."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from cassiaweir.dispatch._placement import Candidate
from cassiaweir.dispatch._server import Server
from cassiaweir.scheduling import BackfillRoom

MAX_RESERVED_SHARE = 0.4
"""Share of the servers that may be reserved while more than one gang waits.

Smaller steps go on using the others.
"""

RESERVATION_HEADROOM = 1.25
"""Room is reserved for this many times the tasks, as some servers free up late."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """The servers reserved for a gang, which is expected to start at `starts_at`.

    `rooms` holds what other tasks may use of a server meanwhile; of a server that is
    not in it they may use nothing.
    """

    servers: frozenset[str]
    starts_at: float = math.inf
    rooms: Mapping[str, BackfillRoom] = field(default_factory=dict)


class Reservations:
    """The servers reserved for each gang.

    Steps are identified by name, servers by id.  A reservation lasts from one placement
    round to the next, until it is released.
    """

    def __init__(self) -> None:
        self._by_step: dict[str, Reservation] = {}
        self._all: frozenset[str] | None = frozenset()

    def retain(self, steps: Collection[str]) -> None:
        """Release the reservations of all steps but `steps`."""
        for name in self._by_step.keys() - set(steps):
            self.release(name)

    def release(self, step: str) -> None:
        """Release the reservation of a gang, if it has one."""
        if self._by_step.pop(step, None) is not None:
            self._all = None

    def of(self, step: str) -> Reservation | None:
        """Return the reservation of a gang, None if it has none."""
        return self._by_step.get(step)

    def release_with(self, server_ids: Collection[str]) -> None:
        """Release the reservations that include one of the servers `server_ids`."""
        for name, each in list(self._by_step.items()):
            if not each.servers.isdisjoint(server_ids):
                self.release(name)

    def includes_any(self, step: str, servers: Iterable[Server]) -> bool:
        """Return whether one of `servers` is reserved for `step`."""
        reserved = self._by_step.get(step)
        if reserved is None:
            return False
        return any(each.server_id in reserved.servers for each in servers)

    def of_others(self, step: str) -> frozenset[str]:
        """Return the servers that are reserved for other steps than `step`."""
        if self._all is None:
            self._all = frozenset().union(
                *(each.servers for each in self._by_step.values())
            )
        if step not in self._by_step:
            return self._all
        return self._all - self._by_step[step].servers

    def backfill_room(self, server_id: str) -> BackfillRoom | None:
        """Return what other tasks may use of a reserved server, None for nothing."""
        for each in self._by_step.values():
            if server_id in each.servers:
                return each.rooms.get(server_id)
        return None

    def reserve(
        self,
        step: str,
        candidates: Sequence[Candidate],
        tasks: int,
        servers: int,
        *,
        starts_at: float = math.inf,
        room_of: Callable[[Candidate], BackfillRoom] | None = None,
    ) -> bool:
        """Reserve the first `candidates` that have room for `tasks` tasks once idle.

        While other gangs have reservations, all reservations together are limited to a
        share of `servers`, the number of usable servers.  Nothing is reserved if the
        candidates have too little room for all tasks.  Return whether it is reserved.
        `room_of` returns what other tasks may use of a server until `starts_at`.
        """
        others = self.of_others(step)
        limit = int(servers * MAX_RESERVED_SHARE) - len(others) if others else servers
        chosen: list[Candidate] = []
        room = 0
        for candidate in candidates[: max(limit, 0)]:
            if room >= tasks * RESERVATION_HEADROOM:
                break
            chosen.append(candidate)
            room += candidate.slots
        if room < tasks:
            return False
        by_id = {each.server.server_id: each for each in chosen}
        rooms = {} if room_of is None else {k: room_of(by_id[k]) for k in by_id}
        self._by_step[step] = Reservation(frozenset(by_id), starts_at, rooms)
        self._all = None
        return True
