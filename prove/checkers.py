"""One checker for each invariant of the scheduler.

A checker takes a `History` and returns the violations in it; an empty list means that
the invariant held.  The time bounds come from the users' requirements.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import pairwise

from cassiaweir.types import Resources
from prove.history import Call, GracefulStop, History, TaskRun, VersionSeen

KEY_WITHDRAWAL_BOUND_SECONDS = 5.0
LEAVING_BOUND_SECONDS = 5.0
ROLLOUT_BOUND_SECONDS = 3.0
VIEW_AGE_LIMIT_SECONDS = 3.0
CLOCK_TOLERANCE_SECONDS = 0.002
LIMIT_LOWERING_BOUND_SECONDS = 30.0
CUT_OFF_OUTCOMES = ("broken", "timed_out")


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of the invariant `point`.

    `subject` names what violated it, such as a VM, a task or a call.
    """

    point: str
    subject: str
    at: float
    detail: str


Checker = Callable[[History], list[Violation]]


@dataclass(frozen=True, slots=True)
class _RunBoundary:
    """The start of a run if `starts`, else its end."""

    at: float
    starts: bool
    run: TaskRun


def _run_boundaries(runs: Iterable[TaskRun]) -> list[_RunBoundary]:
    """Return the starts and ends of `runs` by time, ends first at the same time."""
    boundaries = [_RunBoundary(run.started_at, True, run) for run in runs]
    boundaries += [_RunBoundary(run.ended_at, False, run) for run in runs]
    return sorted(boundaries, key=lambda boundary: (boundary.at, boundary.starts))


def _running_totals(runs: Iterable[TaskRun]) -> Iterator[tuple[float, Resources]]:
    """Yield the time of each start and end, and the resources in use after it."""
    total = Resources()
    for boundary in _run_boundaries(runs):
        total = (
            total + boundary.run.size if boundary.starts else total - boundary.run.size
        )
        yield boundary.at, total


def check_overcommit(history: History) -> list[Violation]:
    """Check that the tasks on a worker never exceed its capacity."""
    by_worker: dict[str, list[TaskRun]] = defaultdict(list)
    for run in history.runs:
        by_worker[run.worker].append(run)
    return _overload_violations("overcommit", history, history.capacities) + [
        Violation("overcommit", worker, at, f"{total} on {history.capacities[worker]}")
        for worker, runs in by_worker.items()
        for at, total in _running_totals(runs)
        if not total.fits(history.capacities[worker])
    ]


def _overload_violations(
    point: str, history: History, vms: Mapping[str, object]
) -> list[Violation]:
    """Return a violation for each overload that a VM in `vms` reported."""
    return [
        Violation(point, item.vm, item.at, item.detail)
        for item in history.overloads
        if item.vm in vms
    ]


def check_single_place(history: History) -> list[Violation]:
    """Check that no two attempts of a task ever run at the same time."""
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
    """Check that keys admit only their team, and no longer once withdrawn."""
    withdrawn = {item.key: item.at for item in history.withdrawals}
    found = []
    for call in history.calls:
        if call.outcome != "answered" or call.queue_open:
            continue
        if history.key_teams.get(call.key) != call.team:
            found.append(_call_violation("keys", call, "accepted for another team"))
        limit = withdrawn.get(call.key, float("inf")) + KEY_WITHDRAWAL_BOUND_SECONDS
        if call.invoked_at > limit:
            found.append(_call_violation("keys", call, "accepted a withdrawn key"))
    return found


def check_team_limits(history: History) -> list[Violation]:
    """Check that the running tasks of a team never exceed its limit."""
    by_team: dict[str, list[TaskRun]] = defaultdict(list)
    for run in history.runs:
        by_team[run.team].append(run)
    return [
        Violation("team_limit", team, at, f"{total} runs")
        for team, runs in by_team.items()
        for at, total in _running_totals(runs)
        if not _within_limit(history, team, at, total)
    ]


def _within_limit(history: History, team: str, at: float, total: Resources) -> bool:
    """Return whether `total` is within a limit that may be in force at `at`."""
    changes = sorted(
        (change for change in history.limits if change.team == team),
        key=lambda change: change.at,
    )
    allowed = []
    for index, change in enumerate(changes):
        until = changes[index + 1].at if index + 1 < len(changes) else float("inf")
        if change.at <= at <= until + LIMIT_LOWERING_BOUND_SECONDS:
            allowed.append(change.limit)
    return not changes or any(total.fits(limit) for limit in allowed)


def check_whole_answers(history: History) -> list[Violation]:
    """Check that every caller gets the complete answer to its own request."""
    return [
        _call_violation("whole_answer", call, f"{len(call.body)} bytes differ")
        for call in history.calls
        if call.outcome == "answered" and call.expected and call.body != call.expected
    ]


def check_not_run(history: History) -> list[Violation]:
    """Check that a request refused with `not_run` was not executed."""
    executed = {item.request for item in history.executions}
    return [
        _call_violation("not_run", call, "was executed")
        for call in history.calls
        if call.verdict == "not_run" and call.name in executed
    ]


def check_at_most_once(history: History) -> list[Violation]:
    """Check that a non-idempotent request is executed at most once."""
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
    """Check that a backend server never executes more requests than it has slots."""
    found = _overload_violations("slots", history, history.slots)
    boundaries = [(item.began_at, 1, item.backend) for item in history.executions]
    boundaries += [(item.ended_at, -1, item.backend) for item in history.executions]
    used: dict[str, int] = defaultdict(int)
    for at, change, backend in sorted(boundaries):
        used[backend] += change
        if used[backend] > history.slots.get(backend, 0):
            found.append(Violation("slots", backend, at, f"{used[backend]} at once"))
    return found


def check_leaving(history: History) -> list[Violation]:
    """Check that a leaving backend server gets no new request after the bound.

    The bound is `LEAVING_BOUND_SECONDS` after the server said that it is leaving.
    """
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
    """Check that a graceful stop completes all calls in flight and exits with 0."""
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
            if call.outcome in CUT_OFF_OUTCOMES
            and _may_be_cut_off_by(history, stop, call)
        ]
    return found


def _may_be_cut_off_by(history: History, stop: GracefulStop, call: Call) -> bool:
    """Return whether `call` counts as cut off by the graceful stop.

    It is not known which entry VM handled a call through the balancer.  Such a call
    counts unless any entry VM was killed or frozen during the call.
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
    """Check that a rolled-out configuration is soon in force and never reverts.

    A process that is cut off cannot learn of a roll-out.  An old version is allowed
    only if the process itself reports a view above the age limit, with which it admits
    no key, and has every version that was rolled out before the time of its view.
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
    """Return the time; the versions rolled out before it must be in force."""
    known_at = seen.at - seen.view_age - CLOCK_TOLERANCE_SECONDS
    if seen.view_age > VIEW_AGE_LIMIT_SECONDS:
        return known_at
    return max(known_at, seen.at - ROLLOUT_BOUND_SECONDS)


def _call_violation(point: str, call: Call, detail: str) -> Violation:
    """Return a violation with the name and the return time of `call`."""
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
    """Return the violations by the name of the checker."""
    return {point: checker(history) for point, checker in CHECKERS.items()}
