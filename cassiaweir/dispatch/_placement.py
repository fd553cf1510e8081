"""Chooses servers for the tasks of one step."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from cassiaweir.dispatch._number_checks import ends_may_be_unread
from cassiaweir.dispatch._server import Server
from cassiaweir.jobs import Step
from cassiaweir.scheduling import InterferenceModel
from cassiaweir.types import Resources

SLOW_SPEED = 0.45
"""Servers below this speed, relative to the median, get tasks last."""

FAST_SPEED = 1.25
"""Servers from this relative speed on are preferred for urgent steps.

The speeds of equal servers are found to differ by less than this.
"""

MAX_RUNS_PER_SERVER = 400
"""Bounds the reports and rows of a server where tasks ask for little or nothing.

It is below the 500 ends that a server lists at a time.
"""


class Candidate(NamedTuple):
    """A server and how many tasks of a step it has room for.

    `interference` is the cost of running the tasks beside what runs there, 0 for none;
    `spreads` is whether tasks of the step slow each other down.
    """

    server: Server
    slots: int
    interference: float = 0.0
    spreads: bool = False


def fitting_tasks(free: Resources, demand: Resources, limit: int) -> int:
    """Return how many tasks of `demand` fit into `free`, at most `limit`."""
    count = limit
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
    limit: int,
) -> list[Candidate]:
    """Return those of `servers` that have room for tasks of `step` now.

    `tickets` names the servers that the advice service allows; None means that no
    advice is needed.  At most `limit` tasks are counted for each server.
    """
    found = []
    cpu_millis, memory_mb = step.demand.cpu_millis, step.demand.memory_mb
    for server in servers:
        free = server.free
        if free.cpu_millis < cpu_millis or free.memory_mb < memory_mb:
            continue
        if tickets is not None and server.server_id not in tickets:
            continue
        slots = _slots(step, server, free, limit)
        if slots > 0:
            found.append(Candidate(server, slots))
    return found


def with_interference(
    step: Step, candidates: list[Candidate], model: InterferenceModel
) -> list[Candidate]:
    """Return `candidates` with the cost of interference; the same if there is none."""
    if not model.affects(step.kind):
        return candidates
    spreads = model.slowdown(step.kind, step.kind) > 1
    return [
        each._replace(
            interference=model.penalty(step.kind, each.server.kinds),
            spreads=spreads,
        )
        for each in candidates
    ]


def find_future_candidates(
    step: Step, servers: Iterable[Server], limit: int
) -> list[Candidate]:
    """Return the servers that will have room for `step` once other tasks have ended.

    Those with the most free CPU now come first.
    """
    found = []
    for server in sorted(servers, key=lambda each: -each.free.cpu_millis):
        slots = future_slots(step, server, limit)
        if slots > 0:
            found.append(Candidate(server, slots))
    return found


def future_slots(step: Step, server: Server, limit: int) -> int:
    """Return how many tasks of `step` fit on `server` once other tasks have ended."""
    return _slots(step, server, _future_room(server), limit)


def _future_room(server: Server) -> Resources:
    """Return what will be free once all but the long-running tasks have ended."""
    room = server.entry.capacity
    for run in server.runs.values():
        if run.task.step.spec.long_running:
            room = room - run.demand
    return room


def servers_with_room(servers: Iterable[Server], steps: Sequence[Step]) -> list[Server]:
    """Return the servers that have at least the smallest CPU and memory of `steps`."""
    cpu_millis = min(step.demand.cpu_millis for step in steps)
    memory_mb = min(step.demand.memory_mb for step in steps)
    return [
        server
        for server in servers
        if server.free.cpu_millis >= cpu_millis and server.free.memory_mb >= memory_mb
    ]


def find_backfill_candidates(
    step: Step,
    servers: Iterable[tuple[Server, Resources]],
    tickets: Mapping[str, str] | None,
    limit: int,
) -> list[Candidate]:
    """Return those of reserved `servers` that have room for `step`.

    Each is given with the room that the step may use there.
    """
    found = []
    for server, room in servers:
        if tickets is not None and server.server_id not in tickets:
            continue
        slots = _slots(step, server, room, limit)
        if slots > 0:
            found.append(Candidate(server, slots))
    return found


def _slots(step: Step, server: Server, free: Resources, limit: int) -> int:
    """Return how many tasks of `step` may be placed on a server with `free` left."""
    spec = step.spec
    if spec.label and spec.label not in server.entry.labels:
        return 0
    room = min(limit, MAX_RUNS_PER_SERVER - len(server.runs))
    if spec.most_per_server:
        present = server.count_of_step(step.name)
        room = min(room, spec.most_per_server - present)
    return fitting_tasks(free, step.demand, room)


def choose_servers(
    step: Step,
    candidates: Sequence[Candidate],
    count: int,
    *,
    emptiest_first: bool = False,
    reserved: Collection[str] = (),
) -> list[Server]:
    """Return a server for each of up to `count` tasks, the preferred ones first.

    Among servers that are otherwise equal, those come first on which the tasks leave
    the least CPU free, so that other servers keep room for large tasks.  With
    `emptiest_first`, those with the fewest runs come first: few are lost in a crash.
    Servers `reserved` for gangs come after equally reliable ones.
    """

    def sort_key(candidate: Candidate) -> tuple[float, ...]:
        suspicion, *others = preference_key(step, candidate)
        return (suspicion, candidate.server.server_id in reserved, *others)

    ordered = sorted(candidates, key=sort_key)
    if emptiest_first:
        ordered.sort(
            key=lambda each: (
                each.server.forgets_ends,
                is_avoided(step, each.server),
                len(each.server.runs),
            )
        )
    if step.spec.same_rack:
        ordered = _one_rack(ordered, count) or ordered
    chosen: list[Server] = []
    if any(each.spreads for each in ordered):
        chosen = [each.server for each in ordered[:count]]
        ordered = [each._replace(slots=each.slots - 1) for each in ordered]
    for candidate in ordered:
        take = min(candidate.slots, count - len(chosen))
        chosen += [candidate.server] * take
        if len(chosen) == count:
            break
    return chosen


LAST_CHOICE = 1_000
"""Added to the suspicion of a server where a run can only check the numbers of ends."""

PreferenceKey = tuple[int, int, int, int, int, float, int]
"""The sort key of a server for a step; lower ones are preferred."""


def preference_key(step: Step, candidate: Candidate) -> PreferenceKey:
    """Return the sort key of a server for `step`.

    In this order: failures and slowness of the server, whether it runs a task that may
    crash it, and whether the task's end may be unread there; whether it is cold,
    whether it is outside of the step's rack, whether it is not a fast one for an urgent
    step, whether an urgent step would wait there until a row is stored, interference
    with what runs there, and the CPU left free.
    """
    server = candidate.server
    suspicion = server.health.failures_since_success + 2 * (
        server.relative_speed < SLOW_SPEED
    )
    suspicion += is_avoided(step, server)
    suspicion += bool(server.suspects)
    if server.forgets_ends and not ends_may_be_unread(step):
        suspicion += LAST_CHOICE
    rack = step.spec.rack
    other_rack = int(bool(rack) and server.entry.rack != rack)
    urgent = step.job.spec.queue.priority == 0
    not_fast = int(urgent and server.relative_speed < FAST_SPEED)
    waits_for_row = int(urgent and server.restricted)
    left_millis = server.free.cpu_millis - step.demand.cpu_millis * candidate.slots
    # Estimates that differ by less than a tenth are as good as equal.
    interference = round(candidate.interference, 1)
    return (
        suspicion, int(server.cold), other_rack, not_fast, waits_for_row, interference,
        left_millis,
    )  # fmt: skip


def is_avoided(step: Step, server: Server) -> bool:
    """Return whether tasks of a step did badly on a server, or at its address."""
    avoided = step.avoided_servers
    return server.server_id in avoided or server.entry.address in avoided


def _one_rack(ordered: Sequence[Candidate], count: int) -> list[Candidate]:
    """Return the candidates of one rack with room for `count` tasks, or none."""
    by_rack: dict[str, list[Candidate]] = {}
    for candidate in ordered:
        by_rack.setdefault(candidate.server.entry.rack, []).append(candidate)
    for group in by_rack.values():
        if sum(each.slots for each in group) >= count:
            return group
    return []
