"""Chooses servers for the tasks of one step."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from cassiaweir.dispatch._server import Server
from cassiaweir.jobs import Step
from cassiaweir.types import Resources


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server and how many tasks of a step fit there now."""

    server: Server
    slots: int


def fitting_tasks(free: Resources, demand: Resources, most: int) -> int:
    """Return how many tasks of `demand` fit into `free`, at most `most`."""
    count = most
    if demand.cpu_millis:
        count = min(count, free.cpu_millis // demand.cpu_millis)
    if demand.memory_mb:
        count = min(count, free.memory_mb // demand.memory_mb)
    if demand.accelerators:
        count = min(count, free.accelerators // demand.accelerators)
    if min(free.cpu_millis, free.memory_mb, free.accelerators) < 0:
        return 0
    return max(count, 0)


def find_candidates(
    step: Step,
    servers: Iterable[Server],
    tickets: Mapping[str, str] | None,
    most: int,
) -> list[Candidate]:
    """Return the servers that can take tasks of `step`.

    `servers` are those where anything may be started; `tickets` names the ones that
    the advice service allows, None where no advice is needed.
    """
    found = []
    cpu_millis, memory_mb = step.demand.cpu_millis, step.demand.memory_mb
    for server in servers:
        free = server.free
        if free.cpu_millis < cpu_millis or free.memory_mb < memory_mb:
            continue
        if tickets is not None and server.server_id not in tickets:
            continue
        slots = _slots(step, server, free, most)
        if slots > 0:
            found.append(Candidate(server, slots))
    return found


def find_eventual(step: Step, servers: Iterable[Server], most: int) -> list[Candidate]:
    """Return the servers that could take tasks of `step` once others have ended there.

    Those with the most room now come first.
    """
    found = []
    for server in sorted(servers, key=lambda each: -each.free.cpu_millis):
        slots = _slots(step, server, _eventual_room(server), most)
        if slots > 0:
            found.append(Candidate(server, slots))
    return found


def _eventual_room(server: Server) -> Resources:
    """Return what is free once all has ended that ends by itself."""
    room = server.entry.capacity
    for run in server.runs.values():
        if run.task.step.spec.long_running:
            room = room - run.demand
    return room


def with_room(servers: Iterable[Server], steps: Sequence[Step]) -> list[Server]:
    """Return the servers that have room for a task of the smallest of `steps`."""
    cpu_millis = min(step.demand.cpu_millis for step in steps)
    memory_mb = min(step.demand.memory_mb for step in steps)
    return [
        server
        for server in servers
        if server.free.cpu_millis >= cpu_millis and server.free.memory_mb >= memory_mb
    ]


def _slots(step: Step, server: Server, free: Resources, most: int) -> int:
    """Return how many tasks of `step` a server can take with `free` left."""
    spec = step.spec
    if spec.label and spec.label not in server.entry.labels:
        return 0
    room = most
    if spec.most_per_server:
        present = server.count_of_step(step.name)
        room = min(room, spec.most_per_server - present)
    return fitting_tasks(free, step.demand, room)


def choose_servers(
    step: Step, candidates: Sequence[Candidate], count: int
) -> list[Server]:
    """Return a server for each of up to `count` tasks, the best ones first.

    Small tasks go where least is left over, so that room for large ones stays whole.
    """
    ordered = sorted(candidates, key=lambda each: preference(step, each))
    if step.spec.same_rack:
        ordered = _one_rack(ordered, count) or ordered
    chosen: list[Server] = []
    for candidate in ordered:
        take = min(candidate.slots, count - len(chosen))
        chosen += [candidate.server] * take
        if len(chosen) == count:
            break
    return chosen


def preference(step: Step, candidate: Candidate) -> tuple[int, int, int, int]:
    """Return what orders servers for `step`; lower values are taken first."""
    server = candidate.server
    suspect = server.health.failures_since_success + 2 * server.speed.slow
    suspect += server.server_id in step.avoided_servers
    rack = step.spec.rack
    far = int(bool(rack) and server.entry.rack != rack)
    slower = int(step.job.spec.queue.priority == 0 and not server.speed.fast)
    left = server.free.cpu_millis - step.demand.cpu_millis * candidate.slots
    return (suspect, far, slower, left)


def _one_rack(ordered: Sequence[Candidate], count: int) -> list[Candidate]:
    """Return the candidates of one rack that has room for all, or nothing."""
    by_rack: dict[str, list[Candidate]] = {}
    for candidate in ordered:
        by_rack.setdefault(candidate.server.entry.rack, []).append(candidate)
    for group in by_rack.values():
        if sum(each.slots for each in group) >= count:
            return group
    return []
