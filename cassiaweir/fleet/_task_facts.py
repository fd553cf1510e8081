"""Facts about parts and reports that the task book decides by."""

from __future__ import annotations

from cassiaweir.placement import TaskGroup
from cassiaweir.types import Clock, JobKind, TaskReport
from cassiaweir.work import Part, TaskRecord


def task_group(part: Part, indexes: tuple[int, ...], clock: Clock) -> TaskGroup:
    """Return tasks of `part` for the planner, whose clock is the monotonic one."""
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
    """Tell whether the end of an attempt waits to be committed."""
    return any(
        (waiting.vm, waiting.report.task, waiting.report.attempt)
        == (vm, entry.task, entry.attempt)
        for waiting in part.unacknowledged
    )


def keeps_checkpoint(record: TaskRecord, vm: str, entry: TaskReport) -> bool:
    """Tell whether the worker's entry names the checkpoint to resume from."""
    saved = record.checkpoint_report
    return saved is not None and (record.checkpoint_vm, saved.attempt) == (
        vm,
        entry.attempt,
    )
