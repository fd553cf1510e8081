"""Checks the history of a run against what callers and servers were promised."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from cassiaweir.dispatch import EndKind
from soak._records import Attempt, FaultRecord, History, JobRecord
from standins.users import RunRecord

WITHDRAWAL_S = 5.0
"""A request sent so long after its key was withdrawn must not be served."""

LOSS_SLACK_S = 0.2
"""A request that arrives just as a connection closes may get no answer."""

CALM_S = 3.0
"""Faults other than a planned stop count for so long before and after."""

STOPPING = "stop"
NOT_OF_ONE_FRONT = ""


def check(
    history: History, runs: Sequence[RunRecord], site_faults: Sequence[str]
) -> list[str]:
    """Return what went against the promises, one line each."""
    found = list(site_faults)
    found += history.exits
    found += [f"{job_id}: not ended after healing" for job_id in history.unsettled]
    by_job = defaultdict(list)
    for run in runs:
        by_job[run.task.partition(".")[0]].append(run)
    for job_id, record in history.jobs.items():
        found += _check_job(job_id, record, by_job[job_id])
    found += _check_keys(history)
    found += _check_stops(history)
    return found


def _check_job(
    job_id: str, record: JobRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    if record.refused and runs:
        yield f"{job_id}: refused by all and yet started"
    if record.accepted_at is not None:
        yield from _check_known(job_id, record)
    if record.shown_done:
        yield from _check_done(job_id, record, runs)
    yield from _check_order(job_id, record, runs)
    for each in record.attempts:
        if each.status in (429, 503) and not each.retry_after:
            yield f"{job_id}: {each.status} without Retry-After from {each.front}"


def _check_known(job_id: str, record: JobRecord) -> Iterator[str]:
    accepted_at = record.accepted_at
    if accepted_at is None or record.cancel_sent:
        return
    for each in record.attempts:
        if each.method == "GET" and each.status == 410 and each.began_at > accepted_at:
            yield f"{job_id}: {each.front} does not know an accepted job"
        if each.state in ("failed", "cancelled"):
            yield f"{job_id}: shown as {each.state} without cause"


def _done_tasks(runs: Sequence[RunRecord]) -> set[str]:
    return {run.task for run in runs if run.how is EndKind.DONE}


def _check_done(
    job_id: str, record: JobRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    shown_at = min(each.ended_at for each in record.attempts if each.state == "done")
    ended = [run for run in runs if run.ended_at is not None]
    done = _done_tasks([run for run in ended if (run.ended_at or 0.0) <= shown_at])
    wanted = {
        f"{job_id}.0.{number}.{index}"
        for number, step in enumerate(record.spec.steps)
        for index in range(step.count)
    }
    if wanted - done:
        yield f"{job_id}: shown as done without {len(wanted - done)} of its tasks"


def _check_order(
    job_id: str, record: JobRecord, runs: Sequence[RunRecord]
) -> Iterator[str]:
    for number, step in enumerate(record.spec.steps):
        prefix = f"{job_id}.0.{number}."
        begun = [run.began_at for run in runs if run.task.startswith(prefix)]
        for earlier in step.after if begun else ():
            before = [
                run.ended_at
                for run in runs
                if run.task.startswith(f"{job_id}.0.{earlier}.")
                and run.how is EndKind.DONE
            ]
            count = record.spec.steps[earlier].count
            ends = sorted(each for each in before if each is not None)
            if len(ends) < count or min(begun) < ends[count - 1]:
                yield f"{job_id}: step {number} began before step {earlier} was done"


def _check_keys(history: History) -> Iterator[str]:
    withdrawn = {each.key: each.withdrawn_at for each in history.keys}
    for job_id, record in history.jobs.items():
        for each in record.attempts:
            late = each.began_at > withdrawn.get(each.key, float("inf")) + WITHDRAWAL_S
            if late and each.status == 200:
                yield f"{job_id}: {each.front} served a withdrawn key"


def _check_stops(history: History) -> Iterator[str]:
    for job_id, record in history.jobs.items():
        for each in record.attempts:
            if each.status == 0 and _cut_off_by_stop(each, history.faults):
                yield f"{job_id}: {each.method} cut off by the stop of {each.front}"


def _cut_off_by_stop(attempt: Attempt, faults: Sequence[FaultRecord]) -> bool:
    """Tell whether only a planned stop can explain that no answer came."""
    if not attempt.sent or attempt.ended_at - attempt.began_at < LOSS_SLACK_S:
        return False
    near = [
        fault
        for fault in faults
        if fault.target in (attempt.front, NOT_OF_ONE_FRONT)
        and fault.near(attempt.began_at, attempt.ended_at, CALM_S)
    ]
    return bool(near) and all(fault.name == STOPPING for fault in near)
