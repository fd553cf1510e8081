"""Conversions and checks of parts, task records and worker reports."""

from __future__ import annotations

from cassiaweir.placement import TaskGroup
from cassiaweir.types import Clock, JobKind, TaskReport, TaskState
from cassiaweir.work import Part, TaskPhase, TaskRecord


def task_group(part: Part, indexes: tuple[int, ...], clock: Clock) -> TaskGroup:
    """Return tasks of `part` in the form that the planner takes.

    The planner uses the monotonic clock, so the time of submission is converted.
    """
    spec = part.row.spec
    age = clock.now().timestamp() - part.row.submitted_at
    return TaskGroup(
        job=part.row.job,
        team=part.row.team,
        kind=spec.kind,
        urgency=spec.urgency,
        size=spec.size.resources(),
        indexes=indexes,
        submitted_at=clock.monotonic() - max(age, 0),
        declared_seconds=0 if spec.kind is JobKind.SERVICE else spec.declared_seconds,
    )


def awaits_commit(part: Part, vm: str, entry: TaskReport) -> bool:
    """Return whether the outcome of this attempt on `vm` is not committed yet."""
    return any(
        (waiting.vm, waiting.report.task, waiting.report.attempt)
        == (vm, entry.task, entry.attempt)
        for waiting in part.unacknowledged
    )


def keeps_checkpoint(record: TaskRecord, vm: str, entry: TaskReport) -> bool:
    """Return whether `entry` names the checkpoint that the next attempt resumes."""
    saved = record.checkpoint_report
    return saved is not None and (record.checkpoint_vm, saved.attempt) == (
        vm,
        entry.attempt,
    )


def supersedes_running_attempt(
    part: Part, record: TaskRecord, entry: TaskReport
) -> bool:
    """Return whether the end `entry` on another VM ends the task that `record` names.

    A former owner may have started a later attempt on a VM that had not been reached,
    and its success counts.  Any other end does not show that the attempt of `record`
    has ended, as a successor that did not see an attempt uses its number again.
    """
    if part.row.spec.kind is JobKind.SERVICE:
        return False
    succeeded = entry.state is TaskState.SUCCEEDED
    runs = record.phase is TaskPhase.RUNNING
    return succeeded and runs and entry.attempt > record.attempt


def succeeded_unseen(part: Part, record: TaskRecord, entry: TaskReport) -> bool:
    """Return whether `entry` shows the success of a task that waits to run again.

    The attempt was taken for expired because its worker could not be reached.
    """
    if record.vm or part.row.spec.kind is JobKind.SERVICE:
        return False
    return entry.state is TaskState.SUCCEEDED
