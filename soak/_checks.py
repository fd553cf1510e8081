"""Checks the history of a run against the guarantees to callers and servers."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator, Sequence

from cassiaweir.dispatch import EndKind
from soak._records import (
    OVERLOADED,
    REFUSALS,
    Attempt,
    EvacuationRecord,
    FaultRecord,
    History,
    JobRecord,
)
from standins.users import (
    EVACUATION_S,
    RunRecord,
    describe_failure,
    may_be_given_up,
)

KEY_WITHDRAWAL_LIMIT_S = 5.0
"""A request sent later than this after the withdrawal of its key is not served."""

CLOSE_RACE_S = 0.2
"""A request lost sooner than this after its start may have met a closing connection."""

FAULT_MARGIN_S = 3.0
"""A fault can affect requests that overlap its duration, extended by this margin."""

MAX_STRETCH_S = 6.0
"""An evacuation may take this much longer while the store is unstable."""

STORE_FAULTS = ("cut-store", "fail-store")
"""The faults under which the store answers slowly or not at all."""

RESTART_LIMIT_S = 5.0
"""Tasks start in a domain this soon after it is given back and others start elsewhere.

The domain's servers are opened for starts step by step within 3.5 s.
"""

PLANNED_STOP = "stop"
"""The fault name of a requested, orderly stop of a front."""

ALL_FRONTS = ""
"""The target of a fault that is not limited to one front."""


def check(
    history: History, runs: Sequence[RunRecord], platform_problems: Sequence[str]
) -> list[str]:
    """Return the violations found, one line each."""
    problems = list(platform_problems)
    problems += history.bad_exits
    problems += [
        f"{job_id}: not ended in time after the faults were healed"
        for job_id in history.unfinished_jobs
    ]
    by_job = defaultdict(list)
    for run in runs:
        by_job[run.task.partition(".")[0]].append(run)
    for job_id, record in history.jobs.items():
        problems += _check_job(job_id, record, by_job[job_id])
        problems += _check_single_runs(by_job[job_id])
    # Bounds of time do not hold for orders that a server carried out late.
    punctual = [run for run in runs if not _is_late(run, history)]
    for job_id, record in history.jobs.items():
        job_runs = [run for run in punctual if run.task.startswith(job_id)]
        problems += _check_started_after_report(job_id, record, job_runs)
    problems += _check_keys(history)
    problems += _check_stops(history)
    for each in history.evacuations:
        problems += _check_evacuation(each, punctual, history.faults)
    return problems


def _is_late(run: RunRecord, history: History) -> bool:
    return (run.task, run.began_at) in history.late_starts


def _check_single_runs(runs: Sequence[RunRecord]) -> Iterator[str]:
    """Check that no two runs of a task overlap; a crash ends the runs of a server."""
    by_task = defaultdict(list)
    for run in sorted(runs, key=lambda each: each.began_at):
        by_task[run.task].append(run)
    for task, task_runs in by_task.items():
        for number, run in enumerate(task_runs):
            for later in task_runs[number + 1 :]:
                ended_at = math.inf if run.ended_at is None else run.ended_at
                if later.began_at < ended_at:
                    yield (
                        f"{task}: run {later.number} began on {later.server} at "
                        f"{later.began_at:.2f}, run {run.number} on {run.server} "
                        f"lasted from {run.began_at:.2f} to {ended_at:.2f}"
                    )


def _check_job(
    job_id: str, record: JobRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    if record.refused_by_all and runs:
        yield f"{job_id}: started although every submission was refused"
    yield from _check_overload(job_id, record, runs)
    if record.accepted_at is not None:
        yield from _check_reported_states(job_id, record)
        yield from _check_given_up(job_id, record, runs)
    if record.reported_done:
        yield from _check_done(job_id, record, runs)
    yield from _check_step_order(job_id, record, runs)
    for attempt in record.attempts:
        if attempt.status in REFUSALS and not attempt.valid_retry_after:
            yield (
                f"{job_id}: {attempt.status} with Retry-After "
                f"{attempt.retry_after!r} from {attempt.front}"
            )


def _check_overload(
    job_id: str, record: JobRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    """Check that a job refused for the load does not run before it is submitted again.

    The refusal blocks the id, so this holds for earlier submissions without response.
    """
    posts = record.posts
    for number, post in enumerate(posts):
        if post.status != OVERLOADED:
            continue
        sent_again = [each.began_at for each in posts[number + 1 :] if each.sent]
        if any(run.began_at < min(sent_again, default=math.inf) for run in runs):
            yield f"{job_id}: started although {post.front} had refused it for the load"


def _check_reported_states(job_id: str, record: JobRecord) -> Iterator[str]:
    accepted_at = record.accepted_at
    if accepted_at is None or record.cancel_sent:
        return
    for attempt in record.attempts:
        if (
            attempt.method == "GET"
            and attempt.status == 410
            and attempt.began_at > accepted_at
        ):
            yield f"{job_id}: {attempt.front} reports an accepted job as unknown"
        given_up = record.deadly and attempt.state == "failed"
        if attempt.state in ("failed", "cancelled") and not given_up:
            yield f"{job_id}: reported as {attempt.state} without cause"


def _check_given_up(
    job_id: str, record: JobRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    """Check that what ran before the first report of `failed` is a cause for it."""
    reports = [each for each in record.attempts if each.state == "failed"]
    reported_at = min((each.ended_at for each in reports), default=math.inf)
    earlier = [run for run in runs if (run.ended_at or math.inf) <= reported_at]
    if reports and not may_be_given_up(record.spec, earlier):
        failure = describe_failure(job_id, runs)
        yield (
            f"{job_id}: reported as failed, but the runs of its most tried task "
            f"{failure.task} ended {', '.join(failure.ends)}"
        )


def _done_tasks(runs: Sequence[RunRecord]) -> set[str]:
    return {run.task for run in runs if run.how is EndKind.DONE}


def _check_done(
    job_id: str, record: JobRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    reported_at = min(
        attempt.ended_at for attempt in record.attempts if attempt.state == "done"
    )
    ended = [run for run in runs if run.ended_at is not None]
    done = _done_tasks([run for run in ended if (run.ended_at or 0.0) <= reported_at])
    expected = {
        f"{job_id}.0.{number}.{index}"
        for number, step in enumerate(record.spec.steps)
        for index in range(step.count)
    }
    if expected - done:
        yield f"{job_id}: reported as done with {len(expected - done)} unfinished tasks"


def _check_started_after_report(
    job_id: str, record: JobRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    reports = [each.ended_at for each in record.attempts if each.state == "done"]
    reported_at = min(reports, default=math.inf)
    if any(run.began_at > reported_at for run in runs):
        yield f"{job_id}: started again after it was reported as done"


def _check_step_order(
    job_id: str, record: JobRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    for number, step in enumerate(record.spec.steps):
        prefix = f"{job_id}.0.{number}."
        starts = [run.began_at for run in runs if run.task.startswith(prefix)]
        for earlier in step.after if starts else ():
            done_at = [
                run.ended_at
                for run in runs
                if run.task.startswith(f"{job_id}.0.{earlier}.")
                and run.how is EndKind.DONE
            ]
            count = record.spec.steps[earlier].count
            ends = sorted(end for end in done_at if end is not None)
            if len(ends) < count or min(starts) < ends[count - 1]:
                yield f"{job_id}: step {number} started before step {earlier} was done"


def _check_keys(history: History) -> Iterator[str]:
    withdrawn = {each.key: each.withdrawn_at for each in history.keys}
    for job_id, record in history.jobs.items():
        for each in record.attempts:
            late = (
                each.began_at
                > withdrawn.get(each.key, float("inf")) + KEY_WITHDRAWAL_LIMIT_S
            )
            if late and each.status == 200:
                yield f"{job_id}: {each.front} accepted a withdrawn key"


def _check_evacuation(
    record: EvacuationRecord, runs: Sequence[RunRecord], faults: Sequence[FaultRecord]
) -> Iterator[str]:
    for run in runs:
        if run.server not in record.servers or run.began_at > record.withdrawn_at:
            continue
        after_s = run.began_at - record.requested_at
        unstable = any(
            fault.name in STORE_FAULTS
            and fault.overlaps(record.requested_at, run.began_at, 0.0)
            for fault in faults
        )
        if after_s > EVACUATION_S + (MAX_STRETCH_S if unstable else 0.0):
            yield f"{run.task}: started {after_s:.1f} s after evacuation was requested"
    if record.work_waits:
        yield from _check_given_back(record, runs)


def _check_given_back(
    record: EvacuationRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    later = [run for run in runs if run.began_at > record.withdrawn_at]
    there = [run.began_at for run in later if run.server in record.servers]
    elsewhere = [run.began_at for run in later if run.server not in record.servers]
    limit = min(elsewhere, default=math.inf) + RESTART_LIMIT_S
    if min(there, default=math.inf) > limit or not later:
        yield f"no start on {sorted(record.servers)} after they were given back"


def _check_stops(history: History) -> Iterator[str]:
    for job_id, record in history.jobs.items():
        for attempt in record.attempts:
            if attempt.status == 0 and _is_lost_in_stop(attempt, history.faults):
                yield (
                    f"{job_id}: {attempt.method} lost in the planned stop of "
                    f"{attempt.front}"
                )


def _is_lost_in_stop(attempt: Attempt, faults: Sequence[FaultRecord]) -> bool:
    """Return whether a planned stop is the only explanation of a missing response."""
    if not attempt.sent or attempt.ended_at - attempt.began_at < CLOSE_RACE_S:
        return False
    overlaps = [
        fault
        for fault in faults
        if fault.target in (attempt.front, ALL_FRONTS)
        and fault.overlaps(attempt.began_at, attempt.ended_at, FAULT_MARGIN_S)
    ]
    return bool(overlaps) and all(fault.name == PLANNED_STOP for fault in overlaps)
