"""Encoding of a job's stored progress and outcome, which the next leader reads.

Progress is stored by chunks of tasks, a row for each, so that no row grows with the
number of tasks.  What the rows say adds up, in any order.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import replace

import msgspec
from loguru import logger

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.jobs._crashes import CrashRow
from cassiaweir.jobs._job import (
    MAIN_CHUNK,
    TASKS_PER_CHUNK,
    ChunkKey,
    Job,
    JobState,
    Step,
)
from cassiaweir.jobs._number_ranges import NumberRanges
from cassiaweir.jobs._tasks import Attempts


class _Checkpoint(msgspec.Struct, omit_defaults=True, array_like=True):
    # The index of the task; GANG_INDEX stands for the whole gang.
    index: int
    checkpoint: str
    # The run that wrote it, 0 in rows of builds that did not store it.
    run: int = 0


class _Failures(msgspec.Struct, omit_defaults=True, array_like=True):
    # The index of the task; GANG_INDEX stands for the whole gang.
    index: int
    # The numbers of the newest failed runs.
    runs: list[int]
    # How many runs failed, 0 if that is the length of `runs`.
    count: int = 0


class _StepProgress(msgspec.Struct, omit_defaults=True, array_like=True):
    occurrence: int
    number: int
    done: list[int] = []
    all_done: bool = False
    failures: list[_Failures] = []
    checkpoints: list[_Checkpoint] = []


class _Progress(msgspec.Struct, omit_defaults=True):
    begun: bool = False
    steps: list[_StepProgress] = []
    crashes: list[CrashRow] = []
    # The complete occurrences: pairs of the first and the one after the last.
    complete: list[tuple[int, int]] = []


class _Outcome(msgspec.Struct):
    outcome: JobState


MAX_PROGRESS_BYTES = 48_000
"""Checkpoints are left out of longer progress, so that it fits into a row."""

GANG_INDEX = -1
"""Stands in place of a task index for what the tasks of a gang share."""


def encode_chunk(job: Job, chunk: ChunkKey) -> bytes:
    """Return the stored form of the progress of a chunk of a job's tasks."""
    parts = list(_parts(job, chunk))
    steps = [_step_progress(step, indexes) for step, indexes in parts]
    changed = [each for each in steps if each.done or each.all_done or each.failures]
    names = {
        f"{step.name}.{index}"
        for step, indexes in parts
        for index in indexes
        if job.crashes
    }
    progress = _Progress(job.started, changed, job.crashes.rows(names))
    if chunk == MAIN_CHUNK:
        progress.complete = job.complete_occurrences.ranges
    encoded = msgspec.json.encode(progress)
    if len(encoded) <= MAX_PROGRESS_BYTES:
        return encoded
    logger.error("checkpoints_not_stored", job=job.job_id, size=len(encoded))
    for step in changed:
        step.checkpoints = []
    return msgspec.json.encode(progress)


def apply_progress(job: Job, rows: Sequence[bytes]) -> None:
    """Apply all stored progress of a newly created job.

    Raises `InvalidInputError` if a row cannot be decoded; the others are applied.
    """
    decoded = []
    unreadable = []
    for raw in rows:
        try:
            decoded.append(msgspec.json.decode(raw, type=_Progress))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            unreadable.append(str(exc))
    # Nothing is created for occurrences that are known to be complete.
    for progress in decoded:
        if progress.complete:
            job.complete_occurrences = NumberRanges(progress.complete)
    for progress in decoded:
        if progress.begun:
            job.mark_started()
        for each in progress.steps:
            _apply_step(job, each)
    for progress in decoded:
        job.crashes.restore(_needed(job, progress.crashes))
    if unreadable:
        raise InvalidInputError(
            f"stored progress of job {job.job_id} cannot be decoded: {unreadable[0]}"
        )


def encode_outcome(state: JobState) -> bytes:
    """Return the stored form of the state in which a job ended."""
    return msgspec.json.encode(_Outcome(state))


def decode_outcome(raw: bytes) -> JobState | None:
    """Return the state in which a job ended, or None if `raw` cannot be decoded."""
    try:
        return msgspec.json.decode(raw, type=_Outcome).outcome
    except msgspec.DecodeError:
        return None


def _parts(job: Job, chunk: ChunkKey) -> Iterator[tuple[Step, range]]:
    """Yield the steps of which a chunk holds tasks, with the indexes of these."""
    occurrence, number = chunk
    first = number * TASKS_PER_CHUNK
    for step_number in range(len(job.spec.steps)):
        step = job.steps.get((occurrence, step_number))
        if step is None:
            continue
        begin = max(first - step.first_task, 0)
        end = min(first + TASKS_PER_CHUNK - step.first_task, len(step.tasks))
        if begin < end:
            yield step, range(begin, end)


def _step_progress(step: Step, indexes: range) -> _StepProgress:
    progress = _StepProgress(step.occurrence, step.number)
    if step.complete:
        progress.all_done = True
        return progress
    for index in indexes:
        if step.tasks.is_done(index):
            progress.done.append(index)
            continue
        task = step.tasks.known_at(index)
        if task is not None:
            _add_attempts(progress, step, task, index)
    if 0 in indexes:
        _add_attempts(progress, step, step, GANG_INDEX)
    return progress


def _add_attempts(
    progress: _StepProgress, step: Step, attempts: Attempts, index: int
) -> None:
    """Add what is known of the attempts of a task, or of a whole gang."""
    if attempts.failed_runs and not step.spec.long_running:
        runs = sorted(attempts.failed_runs)
        count = attempts.failure_count
        progress.failures.append(
            _Failures(index, runs, 0 if count == len(runs) else count)
        )
    if attempts.checkpoint:
        progress.checkpoints.append(
            _Checkpoint(index, attempts.checkpoint, attempts.checkpoint_run)
        )


def _apply_step(job: Job, progress: _StepProgress) -> None:
    """Apply the progress of a step; one that the job doesn't have is ignored."""
    step = job.step_at(progress.occurrence, progress.number)
    if step is None:
        return
    for failures in progress.failures:
        attempts = _attempts(step, failures.index)
        if attempts is not None:
            attempts.restore_failures(failures.runs, failures.count)
    for each in progress.checkpoints:
        attempts = _attempts(step, each.index)
        if attempts is not None:
            attempts.record_checkpoint(each.run, each.checkpoint)
    count = len(step.tasks)
    done = range(count) if progress.all_done else progress.done
    job.restore_done(step, [index for index in done if 0 <= index < count])


def _needed(job: Job, crashes: Sequence[CrashRow]) -> list[CrashRow]:
    """Return `crashes` without tasks of occurrences that are complete."""
    found = []
    for row in crashes:
        tasks = [each for each in row.tasks if job.find_task(each) is not None]
        if tasks:
            found.append(replace(row, tasks=tasks))
    return found


def _attempts(step: Step, index: int) -> Attempts | None:
    """Return what holds failures and checkpoint of `index`, None if there is none."""
    if index == GANG_INDEX:
        return step
    return step.tasks[index] if 0 <= index < len(step.tasks) else None
