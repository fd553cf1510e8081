"""What is stored of a job's progress, so that another process can go on with it."""

from __future__ import annotations

import msgspec

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.jobs._job import Job, JobState, Step, Task, TaskState


class _StepProgress(msgspec.Struct, omit_defaults=True, array_like=True):
    occurrence: int
    number: int
    done: list[int] = []
    all_done: bool = False
    # Rows of task index and the runs that failed; -1 is the gang.
    failures: list[tuple[int, list[int]]] = []
    # Rows of task index and checkpoint; -1 is the gang.
    checkpoints: list[tuple[int, str]] = []


class _Progress(msgspec.Struct, omit_defaults=True):
    begun: bool = False
    steps: list[_StepProgress] = []


class _Outcome(msgspec.Struct):
    outcome: JobState


GANG_INDEX = -1


def encode_progress(job: Job) -> bytes:
    """Return the progress of a job that has not ended."""
    steps = [_step_progress(step) for step in job.steps.values()]
    kept = [each for each in steps if each.done or each.all_done or each.failures]
    return msgspec.json.encode(_Progress(job.started, kept))


def apply_progress(job: Job, raw: bytes) -> None:
    """Bring a job that was just built to the progress in `raw`.

    Raises `InvalidInputError` where it cannot be read.
    """
    try:
        progress = msgspec.json.decode(raw, type=_Progress)
    except msgspec.DecodeError as exc:
        raise InvalidInputError(f"progress of {job.job_id}: {exc}") from exc
    if progress.begun:
        job.mark_started()
    for each in progress.steps:
        _apply_step(job, each)


def encode_outcome(job: Job) -> bytes:
    """Return how a job ended, as it is stored."""
    return msgspec.json.encode(_Outcome(job.state))


def decode_outcome(raw: bytes) -> JobState | None:
    """Return how a job ended, or None where `raw` cannot be read."""
    try:
        return msgspec.json.decode(raw, type=_Outcome).outcome
    except msgspec.DecodeError:
        return None


def _step_progress(step: Step) -> _StepProgress:
    found = _StepProgress(step.occurrence, step.number)
    if step.complete:
        found.all_done = True
        return found
    for task in step.tasks:
        if task.state is TaskState.DONE:
            found.done.append(task.index)
        elif task.failed_runs:
            found.failures.append((task.index, sorted(task.failed_runs)))
        if task.checkpoint and task.state is not TaskState.DONE:
            found.checkpoints.append((task.index, task.checkpoint))
    if step.failed_runs:
        found.failures.append((GANG_INDEX, sorted(step.failed_runs)))
    if step.checkpoint:
        found.checkpoints.append((GANG_INDEX, step.checkpoint))
    return found


def _apply_step(job: Job, progress: _StepProgress) -> None:
    first = job.find_task(f"{job.job_id}.{progress.occurrence}.{progress.number}.0")
    if first is None:
        return
    step = first.step
    done = range(len(step.tasks)) if progress.all_done else progress.done
    for index in done:
        job.finish_task(step.tasks[index])
    for index, runs in progress.failures:
        _holder(step, index).failed_runs.update(runs)
    for index, checkpoint in progress.checkpoints:
        _holder(step, index).checkpoint = checkpoint


def _holder(step: Step, index: int) -> Step | Task:
    return step if index == GANG_INDEX else step.tasks[index]
