"""The part of a job that one shard runs, with the state of its tasks."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from cassiaweir.types import JobKind, TaskId, TaskReport, TaskStart, TaskState
from cassiaweir.work._models import PartRow
from cassiaweir.work._ranges import collect_ranges, expand_ranges


class TaskPhase(StrEnum):
    """The state of a task.

    A task is held back while it may still run under a former owner.
    """

    WAITING = "waiting"
    HELD_BACK = "held_back"
    STARTING = "starting"
    RUNNING = "running"
    ENDED = "ended"


class NextStep(StrEnum):
    """What happens to a task after an attempt has ended.

    FINISH and DROP both end the task; DROP means that the job was cancelled.
    """

    FINISH = "finish"
    RESTART = "restart"
    DROP = "drop"


@dataclass(slots=True)
class TaskRecord:
    """What the owner of the shard knows of one task.

    `vm` is empty while the task runs nowhere.  `attempt` numbers the latest attempt,
    and all attempts up to `last_ended_attempt` have ended.  `stopping` is set once
    the owner has decided to stop the task.  `checkpoint_report` is the report of the
    checkpoint from which the next attempt resumes, kept by the worker on
    `checkpoint_vm`.
    """

    task: TaskId
    phase: TaskPhase = TaskPhase.WAITING
    attempt: int = 0
    last_ended_attempt: int = 0
    failures: int = 0
    vm: str = ""
    stopping: bool = False
    checkpoint: str = ""
    checkpoint_report: TaskReport | None = None
    checkpoint_vm: str = ""


@dataclass(slots=True)
class EndedAttempt:
    """An ended attempt, which its worker has to keep until the end is committed."""

    vm: str
    report: TaskReport


@dataclass(slots=True)
class Part:
    """A part of a job with the state of its tasks.

    `version` is the version of `row`, and `records` holds the tasks that have not
    ended, by index.  `dirty` is set while changes wait to be committed, `stale`
    while the stored row may have changed in a way that this process has not read, and
    `row_deleted` once the row has been deleted.  `unacknowledged` holds the attempts
    whose workers may forget them after the next commit.
    """

    row: PartRow
    version: int
    records: dict[int, TaskRecord] = field(default_factory=dict)
    succeeded: set[int] = field(default_factory=set)
    failed: set[int] = field(default_factory=set)
    cancelled: bool = False
    dirty: bool = False
    stale: bool = False
    row_deleted: bool = False
    unacknowledged: list[EndedAttempt] = field(default_factory=list)

    @classmethod
    def from_row(cls, row: PartRow, version: int, phase: TaskPhase) -> Part:
        """Return the part stored in `row`, whose open tasks all start in `phase`.

        A task is open until its end is recorded in the row.
        """
        part = cls(row, version, cancelled=row.cancelled)
        part.succeeded = expand_ranges(row.succeeded)
        part.failed = expand_ranges(row.failed)
        for index in range(row.first, row.first + row.count):
            if index not in part.succeeded and index not in part.failed:
                record = TaskRecord(TaskId(row.job, index), phase)
                record.failures, record.last_ended_attempt = row.tried.get(
                    index, (0, 0)
                )
                record.attempt = record.last_ended_attempt
                part.records[index] = record
        return part

    @property
    def finished(self) -> bool:
        """Whether no task of the part runs now or can run later."""
        if self.cancelled:
            return all(
                record.phase is TaskPhase.WAITING for record in self.records.values()
            )
        return not self.records

    def indexes(self, phase: TaskPhase) -> tuple[int, ...]:
        """Return the indexes of the tasks in `phase`, in ascending order."""
        return tuple(i for i, record in self.records.items() if record.phase is phase)

    def count(self, phases: Iterable[TaskPhase]) -> int:
        """Return how many tasks are in one of `phases`."""
        wanted = set(phases)
        return sum(record.phase in wanted for record in self.records.values())

    def start_attempt(self, index: int, vm: str) -> TaskStart:
        """Record that a new attempt of a task is being started on `vm`."""
        record = self.records[index]
        record.phase = TaskPhase.STARTING
        record.attempt += 1
        record.vm = vm
        return TaskStart(
            record.task,
            record.attempt,
            self.row.team,
            self.row.spec.size.resources(),
            self.row.spec.payload,
            record.checkpoint,
        )

    def requeue(self, index: int) -> None:
        """Record that a task runs nowhere and waits to be placed."""
        record = self.records[index]
        record.phase = TaskPhase.WAITING
        record.vm = ""
        record.stopping = False

    def adopt(self, index: int, vm: str, attempt: int) -> None:
        """Record that a worker reports an attempt that this process did not start."""
        record = self.records[index]
        record.phase = TaskPhase.RUNNING
        record.attempt = attempt
        record.vm = vm

    def hold_back(self, index: int) -> None:
        """Keep a waiting task from being placed until the takeover is complete."""
        self.records[index].phase = TaskPhase.HELD_BACK

    def end_attempt(self, report: TaskReport) -> NextStep:
        """Record the end of the current attempt of a task, and return what follows."""
        record = self.records[report.task.index]
        record.last_ended_attempt = max(record.last_ended_attempt, report.attempt)
        if report.state is TaskState.FAILED:
            record.failures += 1
        if report.state is TaskState.CHECKPOINTED:
            record.checkpoint = report.checkpoint
        step = self._next_step(report.state, record)
        if step is NextStep.RESTART:
            self.requeue(report.task.index)
        else:
            self._close_task(report)
        return step

    def _next_step(self, state: TaskState, record: TaskRecord) -> NextStep:
        spec = self.row.spec
        if self.cancelled and state is not TaskState.SUCCEEDED:
            return NextStep.DROP
        if spec.kind is JobKind.SERVICE:
            return NextStep.DROP if self.cancelled else NextStep.RESTART
        if state is TaskState.SUCCEEDED:
            return NextStep.FINISH
        if state is TaskState.FAILED and record.failures >= spec.attempts:
            return NextStep.FINISH
        return NextStep.RESTART

    def _close_task(self, report: TaskReport) -> None:
        del self.records[report.task.index]
        if report.state is TaskState.SUCCEEDED:
            self.succeeded.add(report.task.index)
        else:
            self.failed.add(report.task.index)
        self.dirty = True

    def merged_row(self) -> PartRow:
        """Return the row updated with the ends and failures of tasks known so far."""
        return msgspec.structs.replace(
            self.row,
            succeeded=collect_ranges(self.succeeded),
            failed=collect_ranges(self.failed),
            tried={
                index: (record.failures, record.last_ended_attempt)
                for index, record in self.records.items()
                if record.failures
            },
            cancelled=self.cancelled,
        )
