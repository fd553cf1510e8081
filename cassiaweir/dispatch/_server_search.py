"""Looks for the servers where the tasks of a step may be placed, now or later."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from operator import itemgetter

from cassiaweir.dispatch._advice_choice import sample_servers
from cassiaweir.dispatch._cold_servers import ColdServers
from cassiaweir.dispatch._gang_planner import GangPlanner
from cassiaweir.dispatch._no_room import NoRoom
from cassiaweir.dispatch._placement import (
    Candidate,
    find_backfill_candidates,
    find_candidates,
    find_future_candidates,
)
from cassiaweir.dispatch._reservations import Reservations
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._waiting_steps import URGENT_PRIORITY, WaitingStep
from cassiaweir.scheduling import StepDurations
from cassiaweir.types import Clock

FUTURE_CANDIDATES_MAX_AGE_S = 0.1
"""The servers on which a step waits for room are looked up again after this time."""


@dataclass(slots=True)
class _Selection:
    """Those of `servers` that steps of one service may use in this slice of a round.

    `reserved` are those of the service that are reserved for gangs, and left out of
    `available`.  `no_room` is what the available ones have no room for.
    """

    servers: Sequence[Server]
    available: dict[str, Server]
    reserved: dict[str, Server]
    no_room: NoRoom = field(default_factory=NoRoom)
    by_cpu: list[tuple[int, Server]] = field(default_factory=list)
    """The available servers by the CPU that was free when they were first looked at."""

    def with_cpu(self, cpu_millis: int) -> list[Server]:
        """Return the available servers that had this much CPU free, the fullest first.

        Tasks may have been placed there since.
        """
        if not self.by_cpu:
            servers = self.available.values()
            self.by_cpu = [(each.free.cpu_millis, each) for each in servers]
            self.by_cpu.sort(key=itemgetter(0))
        first = bisect_left(self.by_cpu, cpu_millis, key=itemgetter(0))
        return [server for _, server in self.by_cpu[first:]]


class ServerSearch:
    """Looks for servers with room for waiting steps.

    What it found is kept until the next slice of a placement round.  `looks` counts
    the searches among all servers of a service since the round began.
    """

    def __init__(
        self,
        reservations: Reservations,
        gangs: GangPlanner,
        durations: StepDurations,
        cold: ColdServers,
        clock: Clock,
    ) -> None:
        self._reservations = reservations
        self._gangs = gangs
        self._durations = durations
        self._cold = cold
        self._clock = clock
        self._selections: dict[tuple[int, str, Collection[str]], _Selection] = {}
        self._future: dict[str, tuple[float, list[Candidate]]] = {}
        self.looks = 0

    def begin_round(self, steps: Collection[str]) -> None:
        """Forget what was found for all steps but those called `steps`."""
        self.looks = 0
        for name in self._future.keys() - set(steps):
            del self._future[name]

    def begin_slice(self) -> None:
        """Forget what depends on the room that servers had in the last slice."""
        self._selections.clear()

    def forget_future(self) -> None:
        """Forget where steps will have room, as servers can no longer be used."""
        self._future.clear()

    def available(
        self, waiting: WaitingStep, servers: Sequence[Server]
    ) -> Sequence[Server]:
        """Return those of `servers` that a step may use.

        They are of the queue's service.  Servers reserved for other steps are left out,
        except for urgent steps.
        """
        return list(self._select(waiting, servers).available.values())

    def candidates(
        self,
        waiting: WaitingStep,
        servers: Sequence[Server],
        tickets: Mapping[str, str] | None,
        limit: int,
    ) -> list[Candidate]:
        """Return those of `servers` that have room for tasks of a step now.

        `tickets` names the servers that the advice service allows; None means that no
        advice is needed.  At most `limit` tasks are counted for each server.
        """
        step = waiting.step
        selection = self._select(waiting, servers)
        if selection.no_room.covers(step.demand):
            return []
        self.looks += 1
        allowed = list(_with_tickets(selection.available, tickets).values())
        found = self._find(waiting, allowed, limit)
        if not found and not _has_room(waiting, selection.available):
            selection.no_room.add(step.demand)
        return found

    def question_candidates(
        self,
        waiting: WaitingStep,
        servers: Sequence[Server],
        answered: Collection[str],
        limit: int,
    ) -> list[Candidate]:
        """Return servers with room for a step that the advice service is asked about.

        Those named in `answered` are left out.  Of a step that may run on any server
        only a sample of the others is looked at, as for `candidates`.
        """
        step = waiting.step
        selection = self._select(waiting, servers)
        if selection.no_room.covers(step.demand):
            return []
        self.looks += 1
        memory_mb = step.demand.memory_mb
        others = [
            each
            for each in selection.with_cpu(step.demand.cpu_millis)
            if each.free.memory_mb >= memory_mb and each.entry.server_id not in answered
        ]
        sample: Sequence[Server] = others
        if not step.bound_to_servers:
            sample = sample_servers(others, limit, step.name)
        found = self._find(waiting, sample, limit)
        if not found and len(sample) < len(others):
            found = self._find(waiting, others, limit)
        if not found and not _has_room(waiting, selection.available):
            selection.no_room.add(step.demand)
        return found

    def _find(
        self, waiting: WaitingStep, servers: Sequence[Server], limit: int
    ) -> list[Candidate]:
        allowed = self._cold.allowed(waiting, servers)
        return find_candidates(waiting.step, allowed, None, limit)

    def with_tickets(
        self,
        waiting: WaitingStep,
        servers: Sequence[Server],
        tickets: Mapping[str, str] | None,
    ) -> Sequence[Server]:
        """Return the available ones of `servers` that the advice service allows."""
        selection = self._select(waiting, servers)
        return list(_with_tickets(selection.available, tickets).values())

    def future_candidates(
        self, waiting: WaitingStep, usable: Sequence[Server], count: int
    ) -> list[Candidate]:
        """Return the servers with room for the step once other tasks have ended there.

        They are looked up again only after `FUTURE_CANDIDATES_MAX_AGE_S`.  Servers
        reserved for other steps are left out.
        """
        step = waiting.step
        now = self._clock.monotonic()
        looked_at, found = self._future.get(step.name, (-math.inf, []))
        if now - looked_at >= FUTURE_CANDIDATES_MAX_AGE_S:
            available = self.available(waiting, usable)
            found = find_future_candidates(step, available, count)
            self._future[step.name] = (now, found)
        reserved = self._reservations.of_others(step.name)
        if not reserved:
            return list(found)
        return [each for each in found if each.server.server_id not in reserved]

    def backfill_candidates(
        self,
        waiting: WaitingStep,
        servers: Sequence[Server],
        tickets: Mapping[str, str] | None,
        limit: int,
    ) -> list[Candidate]:
        """Return those of `servers` that a step may use until their gang starts."""
        step = waiting.step
        reserved = self._select(waiting, servers).reserved
        if not reserved or step.spec.long_running:
            return []
        now = self._clock.monotonic()
        duration_s = self._gangs.duration_s(step)
        spread = self._durations.spread(step.name, step.job.spec.queue.name)
        rooms = []
        for server in _with_tickets(reserved, tickets).values():
            if not step.demand.fits(server.free):
                continue
            room = self._reservations.backfill_room(server.server_id)
            if room is not None:
                usable = room.usable(server.free, now, duration_s, spread)
                rooms.append((server, usable))
        return find_backfill_candidates(step, rooms, None, limit)

    def _select(self, waiting: WaitingStep, servers: Sequence[Server]) -> _Selection:
        service = waiting.queue.service
        reserved: frozenset[str] = frozenset()
        if waiting.queue.priority != URGENT_PRIORITY:
            reserved = self._reservations.of_others(waiting.step.name)
        # The selection holds its servers, so that their id stays theirs.
        key = (id(servers), service, reserved)
        selection = self._selections.get(key)
        if selection is None:
            selection = _Selection(servers, {}, {})
            for server in servers:
                if server.entry.service == service:
                    server_id = server.server_id
                    taken = server_id in reserved
                    part = selection.reserved if taken else selection.available
                    part[server_id] = server
            self._selections[key] = selection
        return selection


def _with_tickets(
    servers: Mapping[str, Server], tickets: Mapping[str, str] | None
) -> Mapping[str, Server]:
    """Return those of `servers` that `tickets` names, all if it is None."""
    if tickets is None:
        return servers
    return {each: servers[each] for each in tickets if each in servers}


def _has_room(waiting: WaitingStep, servers: Mapping[str, Server]) -> bool:
    demand = waiting.step.demand
    return any(demand.fits(server.free) for server in servers.values())
