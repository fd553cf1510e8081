"""One checker for each point that must always hold.

A checker takes a `History` and returns its violations; an empty list is a pass.
The bounds come from the users' requirements.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import pairwise

from cassiaweir.types import Resources
from prove.history import Call, GracefulStop, History, TaskRun, VersionSeen

KEY_BOUND_SECONDS = 5.0
LEAVING_BOUND_SECONDS = 5.0
ROLLOUT_BOUND_SECONDS = 3.0
VIEW_AGE_LIMIT_SECONDS = 3.0
CLOCK_GRAIN_SECONDS = 0.002
LIMIT_LOWERED_BOUND_SECONDS = 30.0
CUT_OUTCOMES = ("broken", "timed_out")


@dataclass(frozen=True, slots=True)
class Violation:
    """A point that did not hold: where, when and how."""

    point: str
    subject: str
    at: float
    detail: str


Checker = Callable[[History], list[Violation]]


@dataclass(frozen=True, slots=True)
class _Step:
    """A change of what runs; ends come before starts at the same moment."""

    at: float
    starts: bool
    run: TaskRun


def _steps(runs: Iterable[TaskRun]) -> list[_Step]:
    """Return the starts and ends of `runs` in order of time."""
    steps = [_Step(run.started_at, True, run) for run in runs]
    steps += [_Step(run.ended_at, False, run) for run in runs]
    return sorted(steps, key=lambda step: (step.at, step.starts))


def _running_sums(runs: Iterable[TaskRun]) -> Iterator[tuple[float, Resources]]:
    """Yield the time of each step and what runs after it."""
    total = Resources()
    for step in _steps(runs):
        total = total + step.run.size if step.starts else total - step.run.size
        yield step.at, total


def check_overcommit(history: History) -> list[Violation]:
    """Check that no VM is ever overcommitted."""
    by_worker: dict[str, list[TaskRun]] = defaultdict(list)
    for run in history.runs:
        by_worker[run.worker].append(run)
    return _overloads("overcommit", history, history.capacities) + [
        Violation("overcommit", worker, at, f"{total} on {history.capacities[worker]}")
        for worker, runs in by_worker.items()
        for at, total in _running_sums(runs)
        if not total.fits(history.capacities[worker])
    ]


def _overloads(
    point: str, history: History, vms: Mapping[str, object]
) -> list[Violation]:
    """Return what the VMs in `vms` were asked for beyond what they can take."""
    return [
        Violation(point, item.vm, item.at, item.detail)
        for item in history.overloads
        if item.vm in vms
    ]


def check_single_place(history: History) -> list[Violation]:
    """Check that a task never runs in two places at once."""
    by_task: dict[str, list[TaskRun]] = defaultdict(list)
    for run in history.runs:
        by_task[run.task].append(run)
    found = []
    for task, runs in by_task.items():
        ordered = sorted(runs, key=lambda run: run.started_at)
        for earlier, later in pairwise(ordered):
            if later.started_at < earlier.ended_at:
                detail = f"on {earlier.worker} and {later.worker}"
                found.append(Violation("single_place", task, later.started_at, detail))
    return found


def check_keys(history: History) -> list[Violation]:
    """Check that keys admit only their team and that withdrawn ones stop working."""
    withdrawn = {item.key: item.at for item in history.withdrawals}
    found = []
    for call in history.calls:
        if call.outcome != "answered" or call.queue_open:
            continue
        if history.key_teams.get(call.key) != call.team:
            found.append(_call_violation("keys", call, "accepted for another team"))
        limit = withdrawn.get(call.key, float("inf")) + KEY_BOUND_SECONDS
        if call.invoked_at > limit:
            found.append(_call_violation("keys", call, "accepted a withdrawn key"))
    return found


def check_team_limits(history: History) -> list[Violation]:
    """Check that no team has more running than its upper limit."""
    by_team: dict[str, list[TaskRun]] = defaultdict(list)
    for run in history.runs:
        by_team[run.team].append(run)
    return [
        Violation("team_limit", team, at, f"{total} runs")
        for team, runs in by_team.items()
        for at, total in _running_sums(runs)
        if not _within_limit(history, team, at, total)
    ]


def _within_limit(history: History, team: str, at: float, total: Resources) -> bool:
    """Tell whether `total` is within a limit that may be in force at `at`."""
    changes = sorted(
        (change for change in history.limits if change.team == team),
        key=lambda change: change.at,
    )
    allowed = []
    for index, change in enumerate(changes):
        until = changes[index + 1].at if index + 1 < len(changes) else float("inf")
        if change.at <= at <= until + LIMIT_LOWERED_BOUND_SECONDS:
            allowed.append(change.limit)
    return not changes or any(total.fits(limit) for limit in allowed)


def check_whole_answers(history: History) -> list[Violation]:
    """Check that every caller gets the whole answer to its own request."""
    return [
        _call_violation("whole_answer", call, f"{len(call.body)} bytes differ")
        for call in history.calls
        if call.outcome == "answered" and call.expected and call.body != call.expected
    ]


def check_not_run(history: History) -> list[Violation]:
    """Check that a request refused with not_run truly did not run."""
    executed = {item.request for item in history.executions}
    return [
        _call_violation("not_run", call, "was executed")
        for call in history.calls
        if call.verdict == "not_run" and call.name in executed
    ]


def check_at_most_once(history: History) -> list[Violation]:
    """Check that a non-idempotent request runs at most once."""
    seen: dict[str, str] = {}
    found = []
    for item in sorted(history.executions, key=lambda item: item.began_at):
        key = item.idempotency_key
        if key and key in seen:
            detail = f"on {seen[key]} and {item.backend}"
            found.append(Violation("at_most_once", key, item.began_at, detail))
        seen[key] = item.backend
    return found


def check_slots(history: History) -> list[Violation]:
    """Check that no backend server executes more requests at once than it has slots."""
    found = _overloads("slots", history, history.slots)
    steps = [(item.began_at, 1, item.backend) for item in history.executions]
    steps += [(item.ended_at, -1, item.backend) for item in history.executions]
    used: dict[str, int] = defaultdict(int)
    for at, change, backend in sorted(steps):
        used[backend] += change
        if used[backend] > history.slots.get(backend, 0):
            found.append(Violation("slots", backend, at, f"{used[backend]} at once"))
    return found


def check_leaving(history: History) -> list[Violation]:
    """Check that a leaving backend server is sent nothing new after a few seconds."""
    due = {item.backend: item.at + LEAVING_BOUND_SECONDS for item in history.leavings}
    found = [
        Violation("leaving", item.backend, item.began_at, item.request)
        for item in history.executions
        if item.began_at > due.get(item.backend, float("inf"))
    ]
    return found + [
        Violation("leaving", item.backend, item.at, "was sent a request and refused it")
        for item in history.late_requests
        if item.at > due.get(item.backend, float("inf"))
    ]


def check_graceful_stops(history: History) -> list[Violation]:
    """Check that a planned stop cuts off no request in flight and exits with 0."""
    found = []
    for stop in history.stops:
        if stop.exit_status:
            detail = f"exit status {stop.exit_status}"
            found.append(
                Violation("graceful_stop", stop.gateway, stop.exited_at, detail)
            )
        found += [
            _call_violation("graceful_stop", call, "was cut off")
            for call in history.calls
            if call.outcome in CUT_OUTCOMES and _stopped(history, stop, call)
        ]
    return found


def _stopped(history: History, stop: GracefulStop, call: Call) -> bool:
    """Tell whether a planned stop may have cut `call` off.

    A call through the balancer counts unless an entry VM was disturbed meanwhile, as
    nobody can tell which one had it.
    """
    if call.returned_at < stop.began_at or call.invoked_at > stop.exited_at:
        return False
    if call.gateway:
        return call.gateway == stop.gateway
    return not any(
        item.began_at <= call.returned_at and call.invoked_at <= item.ended_at
        for item in history.disturbances
    )


def check_configuration(history: History) -> list[Violation]:
    """Check that an accepted configuration is in force soon and never reverts.

    A process that is cut off cannot learn of a roll-out.  An old version is in order
    only where the process itself says that its view is so old that it admits no key,
    and holds what was rolled out before the moment that its view dates from.
    """
    highest: dict[str, int] = defaultdict(int)
    found = []
    for seen in sorted(history.versions, key=lambda seen: seen.at):
        due = [item.version for item in history.rollouts if item.at < _due_before(seen)]
        if seen.version < max(due, default=0):
            detail = f"version {seen.version}, {max(due)} is due"
            found.append(Violation("configuration", seen.vm, seen.at, detail))
        if seen.version < highest[seen.vm]:
            detail = f"reverted from {highest[seen.vm]} to {seen.version}"
            found.append(Violation("configuration", seen.vm, seen.at, detail))
        highest[seen.vm] = max(highest[seen.vm], seen.version)
    return found


def _due_before(seen: VersionSeen) -> float:
    """Return the moment before which roll-outs must be in force."""
    known_at = seen.at - seen.view_age - CLOCK_GRAIN_SECONDS
    if seen.view_age > VIEW_AGE_LIMIT_SECONDS:
        return known_at
    return max(known_at, seen.at - ROLLOUT_BOUND_SECONDS)


def _call_violation(point: str, call: Call, detail: str) -> Violation:
    """Return a violation that names a call."""
    return Violation(point, call.name, call.returned_at, detail)


CHECKERS: dict[str, Checker] = {
    "overcommit": check_overcommit,
    "single_place": check_single_place,
    "keys": check_keys,
    "team_limit": check_team_limits,
    "whole_answer": check_whole_answers,
    "not_run": check_not_run,
    "at_most_once": check_at_most_once,
    "slots": check_slots,
    "leaving": check_leaving,
    "graceful_stop": check_graceful_stops,
    "configuration": check_configuration,
}


def check_all(history: History) -> dict[str, list[Violation]]:
    """Return the violations of each point."""
    return {point: checker(history) for point, checker in CHECKERS.items()}
