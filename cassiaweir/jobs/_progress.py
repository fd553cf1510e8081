"""Encoding of a job's stored progress and outcome, which the next leader reads."""

from __future__ import annotations

import msgspec

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.jobs._crashes import CrashRow
from cassiaweir.jobs._job import Job, JobState, Step, Task, TaskState


class _Checkpoint(msgspec.Struct, omit_defaults=True, array_like=True):
    # The index of the task; GANG_INDEX stands for the whole gang.
    index: int
    checkpoint: str
    # The run that wrote it, 0 in rows of builds that did not store it.
    run: int = 0


class _StepProgress(msgspec.Struct, omit_defaults=True, array_like=True):
    occurrence: int
    number: int
    done: list[int] = []
    all_done: bool = False
    # Pairs of task index and numbers of the failed runs; GANG_INDEX is the whole gang.
    failures: list[tuple[int, list[int]]] = []
    checkpoints: list[_Checkpoint] = []


class _Progress(msgspec.Struct, omit_defaults=True):
    begun: bool = False
    steps: list[_StepProgress] = []
    crashes: list[CrashRow] = []


class _Outcome(msgspec.Struct):
    outcome: JobState


MAX_PROGRESS_BYTES = 48_000
"""Checkpoints are left out of longer progress, so that it fits into a row."""

GANG_INDEX = -1
"""Stands in place of a task index for what the tasks of a gang share."""


def encode_progress(job: Job) -> bytes:
    """Return the stored form of the progress of a job that has not ended."""
    steps = [_step_progress(step) for step in job.steps.values()]
    changed = [each for each in steps if each.done or each.all_done or each.failures]
    progress = _Progress(job.started, changed, job.crashes.rows())
    encoded = msgspec.json.encode(progress)
    if len(encoded) <= MAX_PROGRESS_BYTES:
        return encoded
    for step in changed:
        step.checkpoints = []
    return msgspec.json.encode(progress)


def apply_progress(job: Job, raw: bytes) -> None:
    """Apply the stored progress in `raw` to a newly created job.

    Raises `InvalidInputError` if `raw` cannot be decoded.
    """
    try:
        progress = msgspec.json.decode(raw, type=_Progress)
    except msgspec.DecodeError as exc:
        raise InvalidInputError(
            f"stored progress of job {job.job_id} cannot be decoded: {exc}"
        ) from exc
    if progress.begun:
        job.mark_started()
    for each in progress.steps:
        _apply_step(job, each)
    job.crashes.restore(progress.crashes)


def encode_outcome(job: Job) -> bytes:
    """Return the stored form of the state in which a job ended."""
    return msgspec.json.encode(_Outcome(job.state))


def decode_outcome(raw: bytes) -> JobState | None:
    """Return the state in which a job ended, or None if `raw` cannot be decoded."""
    try:
        return msgspec.json.decode(raw, type=_Outcome).outcome
    except msgspec.DecodeError:
        return None


def _step_progress(step: Step) -> _StepProgress:
    progress = _StepProgress(step.occurrence, step.number)
    if step.complete:
        progress.all_done = True
        return progress
    for task in step.tasks:
        if task.state is TaskState.DONE:
            progress.done.append(task.index)
        elif task.failed_runs and not step.spec.long_running:
            progress.failures.append((task.index, sorted(task.failed_runs)))
        if task.checkpoint and task.state is not TaskState.DONE:
            progress.checkpoints.append(_checkpoint_of(task, task.index))
    if step.failed_runs and not step.spec.long_running:
        progress.failures.append((GANG_INDEX, sorted(step.failed_runs)))
    if step.checkpoint:
        progress.checkpoints.append(_checkpoint_of(step, GANG_INDEX))
    return progress


def _checkpoint_of(holder: Step | Task, index: int) -> _Checkpoint:
    return _Checkpoint(index, holder.checkpoint, holder.checkpoint_run)


def _apply_step(job: Job, progress: _StepProgress) -> None:
    """Apply the progress of a step; one that the job doesn't have is ignored."""
    first = job.find_task(f"{job.job_id}.{progress.occurrence}.{progress.number}.0")
    if first is None:
        return
    step = first.step
    done = range(len(step.tasks)) if progress.all_done else progress.done
    for index in done:
        job.finish_task(step.tasks[index])
    for index, runs in progress.failures:
        _holder(step, index).failed_runs.update(runs)
    for each in progress.checkpoints:
        holder = _holder(step, each.index)
        holder.checkpoint, holder.checkpoint_run = each.checkpoint, each.run


def _holder(step: Step, index: int) -> Step | Task:
    """Return what holds the failures and checkpoint of `index`: the step or a task."""
    return step if index == GANG_INDEX else step.tasks[index]
