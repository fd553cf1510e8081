"""Applies the reports of workers and the decisions of the planner to the parts."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cassiaweir.fleet._task_checks import (
    awaits_commit,
    keeps_checkpoint,
    succeeded_unseen,
    supersedes_running_attempt,
    task_group,
)
from cassiaweir.fleet._worker_driver import WorkerDriver
from cassiaweir.fleet._worker_registry import Health
from cassiaweir.observe import EventLog
from cassiaweir.placement import Placement, Planner, TaskGroup
from cassiaweir.types import (
    Clock,
    Resources,
    TaskId,
    TaskReport,
    TaskStart,
    TaskState,
    WorkerReport,
)
from cassiaweir.work import EndedAttempt, NextStep, Part, TaskPhase, TaskRecord


class TaskTracker:
    """Tracks each task of the shard from the queue to its outcome.

    `on_outcomes` is called when there are outcomes to commit.
    """

    def __init__(
        self,
        parts: Mapping[str, Part],
        drivers: Mapping[str, WorkerDriver],
        *,
        planner: Planner,
        clock: Clock,
        events: EventLog,
        on_outcomes: Callable[[], None],
        health: Health | None = None,
    ) -> None:
        self.epoch = 0
        self._parts = parts
        self._drivers = drivers
        self._planner = planner
        self._clock = clock
        self._events = events
        self._on_outcomes = on_outcomes
        self._health = health
        self._tasks_on_vm: dict[str, set[TaskId]] = {}

    def is_busy(self, vm: str) -> bool:
        """Return whether a task runs, or is being started, on `vm`."""
        return bool(self._tasks_on_vm.get(vm))

    def held_back_by_team(self, *, holding_back: bool) -> dict[str, Resources]:
        """Return for each team the amount of the tasks that are held back.

        A former owner may still run them although no worker has reported them here.
        The result has an entry for each team with a part; the entries are zero unless
        `holding_back` is set.
        """
        total: dict[str, Resources] = {}
        for part in self._parts.values():
            held_back = part.count([TaskPhase.HELD_BACK]) if holding_back else 0
            amount = part.row.spec.size.resources() * held_back
            total[part.row.team] = total.get(part.row.team, Resources()) + amount
        return total

    def add_part(self, part: Part) -> None:
        """Queue the waiting tasks of a part."""
        if not part.cancelled:
            self._enqueue(part, part.indexes(TaskPhase.WAITING))

    def release_held_back(self) -> None:
        """Queue all tasks that were held back."""
        for part in self._parts.values():
            held_back = part.indexes(TaskPhase.HELD_BACK)
            for index in held_back:
                part.requeue(index)
            if part.cancelled:
                self._commit_if_finished(part)
            elif held_back:
                self._enqueue(part, held_back)

    def place(self, placement: Placement) -> None:
        """Start a task that the planner placed."""
        part = self._parts[placement.task.job]
        start = part.start_attempt(placement.task.index, placement.vm)
        self._tasks_on_vm.setdefault(placement.vm, set()).add(placement.task)
        self._drivers[placement.vm].start_task(start)
        self._record_event("task_placed", placement.task, placement.vm, start.attempt)

    def stop(self, task: TaskId, vm: str, *, checkpoint: bool) -> None:
        """Stop a task that runs on `vm`, or drop its start if it was not sent yet.

        Does nothing for a task that is already being stopped.
        """
        record = self._parts[task.job].records[task.index]
        if record.stopping:
            return
        driver = self._drivers[vm]
        record.stopping = True
        if not driver.withdraw_start(task):
            driver.stop_task(task, checkpoint=checkpoint)
            return
        self._requeue(self._parts[task.job], record, vm)

    def cancel(self, part: Part) -> None:
        """Stop all tasks of a part that was cancelled."""
        for task, vm in self._planner.cancel(part.row.job):
            self.stop(task, vm, checkpoint=False)
        self._commit_if_finished(part)

    def handle_vm_loss(self, vm: str, *, held_back: bool = False) -> None:
        """Restart the tasks of a VM on which all of them have certainly ended.

        If `held_back` is set, they are held back instead of queued.
        """
        for task in sorted(self._tasks_on_vm.get(vm, ()), key=str):
            self._end_as_expired(task, vm, held_back=held_back)

    def requeue_unstarted(self, start: TaskStart, vm: str) -> None:
        """Queue a task again whose start certainly was not carried out."""
        part = self._parts.get(start.task.job)
        record = part.records.get(start.task.index) if part else None
        if part is None or record is None:
            return
        if record.vm == vm and record.attempt == start.attempt:
            self._requeue(part, record, vm)

    def handle_report(self, vm: str, report: WorkerReport) -> None:
        """Process the complete task list of a worker.

        A running task that is missing from the list counts as expired.
        """
        listed = {task.task for task in report.tasks}
        for task in sorted(self._tasks_on_vm.get(vm, set()) - listed, key=str):
            record = self._parts[task.job].records[task.index]
            if record.phase is TaskPhase.RUNNING:
                self._end_as_expired(task, vm)
        for entry in report.tasks:
            self._handle_entry(vm, entry)

    def _handle_entry(self, vm: str, entry: TaskReport) -> None:
        part = self._parts.get(entry.task.job)
        record = part.records.get(entry.task.index) if part else None
        if part is None or record is None:
            self._handle_orphan(part, vm, entry)
        elif entry.state.ended:
            self._handle_ended(part, record, vm, entry)
        else:
            self._handle_running(part, record, vm, entry)

    def _handle_orphan(self, part: Part | None, vm: str, entry: TaskReport) -> None:
        """Stop or acknowledge an attempt of a task that needs no further attempt."""
        if not entry.state.ended:
            self._drivers[vm].stop_task(entry.task, checkpoint=False)
        elif part is None or not awaits_commit(part, vm, entry):
            self._drivers[vm].acknowledge(entry)

    def _handle_running(
        self, part: Part, record: TaskRecord, vm: str, entry: TaskReport
    ) -> None:
        if entry.attempt <= record.last_ended_attempt:
            return
        if record.vm not in ("", vm):
            if entry.attempt <= record.attempt:
                self._record_event("task_duplicate", entry.task, vm, entry.attempt)
                self._drivers[vm].stop_task(entry.task, checkpoint=False)
                return
            # A former owner starts a later attempt only after the earlier one ended.
            self._detach(record, entry.task)
        if not record.vm:
            self._adopt(part, record, vm, entry)
        elif record.phase is TaskPhase.STARTING and record.attempt == entry.attempt:
            record.phase = TaskPhase.RUNNING
            record.stopping = False
            self._record_event("task_started", entry.task, vm, entry.attempt)
            self._release_checkpoint(record)
        if entry.usage != Resources():
            self._planner.task_usage(entry.task, entry.usage)
        if part.cancelled:
            self._drivers[vm].stop_task(entry.task, checkpoint=False)

    def _handle_ended(
        self, part: Part, record: TaskRecord, vm: str, entry: TaskReport
    ) -> None:
        if succeeded_unseen(part, record, entry):
            self._adopt(part, record, vm, entry)
            self._end_attempt(part, record, vm, entry, held_back=False)
            return
        if entry.attempt <= record.last_ended_attempt:
            kept = keeps_checkpoint(record, vm, entry)
            if not kept and not awaits_commit(part, vm, entry):
                self._drivers[vm].acknowledge(entry)
            return
        if record.vm not in ("", vm):
            if not supersedes_running_attempt(part, record, entry):
                self._drivers[vm].acknowledge(entry)
                return
            self._detach(record, entry.task)
        held_back = record.phase is TaskPhase.HELD_BACK
        if not record.vm:
            self._adopt(part, record, vm, entry)
        if entry.attempt < record.attempt:
            return
        self._end_attempt(part, record, vm, entry, held_back=held_back)

    def _detach(self, record: TaskRecord, task: TaskId) -> None:
        self._tasks_on_vm[record.vm].discard(task)
        self._planner.task_ended(task, TaskState.LEASE_EXPIRED, self._clock.monotonic())
        record.vm = ""

    def _adopt(
        self, part: Part, record: TaskRecord, vm: str, entry: TaskReport
    ) -> None:
        part.adopt(entry.task.index, vm, entry.attempt)
        self._tasks_on_vm.setdefault(vm, set()).add(entry.task)
        group = self._group(part, (entry.task.index,))
        self._planner.adopt(group, entry.task, vm, self._clock.monotonic())
        self._record_event("task_adopted", entry.task, vm, entry.attempt)

    def _end_as_expired(
        self, task: TaskId, vm: str, *, held_back: bool = False
    ) -> None:
        part = self._parts[task.job]
        record = part.records[task.index]
        size = part.row.spec.size.resources()
        entry = TaskReport(
            task, record.attempt, part.row.team, size, TaskState.LEASE_EXPIRED
        )
        self._end_attempt(part, record, vm, entry, held_back=held_back)

    def _end_attempt(
        self,
        part: Part,
        record: TaskRecord,
        vm: str,
        entry: TaskReport,
        *,
        held_back: bool,
    ) -> None:
        now = self._clock.monotonic()
        self._tasks_on_vm[vm].discard(entry.task)
        # The planner then asks whether the job is poisoned, counting this failure.
        if self._health is not None:
            self._health.task_ended(vm, entry.task.job, entry.state, now)
        self._planner.task_ended(entry.task, entry.state, now)
        step = part.end_attempt(entry)
        self._record_event("task_ended", entry.task, vm, entry.attempt, entry.state)
        if step is NextStep.RESTART:
            self._restart(part, record, vm, entry, held_back=held_back)
            return
        if entry.state is not TaskState.LEASE_EXPIRED:
            part.unacknowledged.append(EndedAttempt(vm, entry))
        self._on_outcomes()

    def _restart(
        self,
        part: Part,
        record: TaskRecord,
        vm: str,
        entry: TaskReport,
        *,
        held_back: bool,
    ) -> None:
        if entry.state is TaskState.CHECKPOINTED:
            # Not acknowledged yet, as a successor needs the checkpoint that it names.
            record.checkpoint_report, record.checkpoint_vm = entry, vm
        elif entry.state is TaskState.FAILED:
            # A successor needs the number of failures, so it is committed.
            part.unacknowledged.append(EndedAttempt(vm, entry))
            part.dirty = True
            self._on_outcomes()
        elif entry.state is not TaskState.LEASE_EXPIRED:
            self._drivers[vm].acknowledge(entry)
        if held_back:
            part.hold_back(entry.task.index)
            return
        self._record_event("task_restarted", entry.task, vm, entry.attempt, entry.state)
        self._enqueue(part, (entry.task.index,))

    def _release_checkpoint(self, record: TaskRecord) -> None:
        if (
            record.checkpoint_report is not None
            and record.checkpoint_vm in self._drivers
        ):
            self._drivers[record.checkpoint_vm].acknowledge(record.checkpoint_report)
        record.checkpoint_report = None

    def _requeue(self, part: Part, record: TaskRecord, vm: str) -> None:
        now = self._clock.monotonic()
        self._tasks_on_vm[vm].discard(record.task)
        part.requeue(record.task.index)
        if part.cancelled:
            self._planner.task_ended(record.task, TaskState.STOPPED, now)
            self._commit_if_finished(part)
        else:
            self._planner.task_refused(record.task, now)

    def _commit_if_finished(self, part: Part) -> None:
        if part.finished:
            part.dirty = True
            self._on_outcomes()

    def _enqueue(self, part: Part, indexes: tuple[int, ...]) -> None:
        if indexes:
            self._planner.enqueue(self._group(part, indexes))

    def _group(self, part: Part, indexes: tuple[int, ...]) -> TaskGroup:
        return task_group(part, indexes, self._clock)

    def _record_event(
        self, kind: str, task: TaskId, vm: str, attempt: int, state: str = ""
    ) -> None:
        self._events.record(
            kind, str(task), epoch=self.epoch, vm=vm, attempt=attempt, state=state
        )
