"""Sends renewals, starts and stops to one worker VM and processes its reports."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from cassiaweir.background import BackgroundTasks, wait_for_event
from cassiaweir.exceptions import FencedError, NotFoundError, UnavailableError
from cassiaweir.fleet._driver_types import Authority, DriverOptions, ReportSink
from cassiaweir.types import (
    Clock,
    Command,
    TaskId,
    TaskReport,
    TaskStart,
    Vm,
    WatchableWorker,
    Worker,
    WorkerReport,
)
from cassiaweir.verdict import Verdict

# Factor on the renewal interval while no task is queued.
IDLE_RENEWAL_FACTOR = 2
# Limits the longer interval, so that a lost renewal does not let a task lease expire.
MIN_RENEWALS_PER_LEASE = 4
# The longest wait of a watch, in renewal intervals.
RENEWALS_PER_WATCH = 3


@dataclass(frozen=True, slots=True)
class _SentStart:
    """A start that was sent; the worker refuses it after `expires_at` on its clock."""

    start: TaskStart
    expires_at: float


class WorkerDriver:
    """Commands one worker under the epoch of a shard.

    A new incarnation of a VM remembers no epoch and cannot fence a former owner.  So an
    owner contacts a new incarnation first only while its lease is valid.  After the
    lease it renews before each start, which succeeds only on the known incarnation.

    A start is in doubt after it is sent, until a report lists the task, or until a
    report made after the start's expiry on the worker's clock does not list it.

    `answered_at` is when the last answered renewal of this incarnation was sent, and
    `lease_sent_at` when the last command that may have extended a task lease was sent.
    `incarnation_reported_at` is when the worker first reported this incarnation, until
    the VM list shows it too.
    """

    def __init__(
        self,
        shard: str,
        vm: Vm,
        worker: Worker,
        *,
        authority: Authority,
        sink: ReportSink,
        clock: Clock,
        options: DriverOptions,
    ) -> None:
        self.vm = vm
        self.answered_at: float | None = None
        self.former_incarnations: set[str] = set()
        self.incarnation_reported_at = float("-inf")
        self.reachable = False
        self.lease_sent_at: float | None = None
        self._shard = shard
        self._worker = worker
        self._authority = authority
        self._sink = sink
        self._clock = clock
        self._options = options
        self._clock_offset: float | None = None
        self._replacements = 0
        self._revision = 0
        self._watchable = True
        self._renewed_at = float("-inf")
        self._fast_renewal = True
        self._queued_starts: list[TaskStart] = []
        self._starts_in_doubt: dict[tuple[TaskId, int], _SentStart] = {}
        self._queued_stops: dict[TaskId, bool] = {}
        self._acknowledged: list[TaskReport] = []
        self._wake = asyncio.Event()
        self._background = BackgroundTasks()

    async def start(self) -> None:
        """Start the background tasks that call the worker."""
        self._background.start(self._run)
        if isinstance(self._worker, WatchableWorker):
            self._background.start(self._run_watch)

    async def stop(self) -> None:
        """Cancel the call in flight; starts sent with it stay in doubt."""
        await self._background.stop()

    def failure(self) -> BaseException | None:
        """Return the error that ended a background task, or None."""
        return self._background.failure()

    @property
    def in_doubt(self) -> bool:
        """Whether a start was sent whose result is unknown."""
        return bool(self._starts_in_doubt)

    def set_fast_renewal(self, fast: bool) -> None:
        """Renew every `task_renewal` if `fast` is set, else less often."""
        if fast and not self._fast_renewal:
            self._wake.set()
        self._fast_renewal = fast

    def start_task(self, start: TaskStart) -> None:
        """Queue the start of an attempt, to be sent in the next step."""
        self._queued_starts.append(start)
        self._wake.set()

    def stop_task(self, task: TaskId, *, checkpoint: bool) -> None:
        """Queue the stop of a task, to be sent in the next step."""
        self._queued_stops[task] = checkpoint
        self._wake.set()

    def acknowledge(self, report: TaskReport) -> None:
        """Tell the worker, with the next renewal, to forget an ended attempt."""
        self._acknowledged.append(report)

    def withdraw_start(self, task: TaskId) -> bool:
        """Drop a start that was not sent yet; return whether there was one."""
        kept = [start for start in self._queued_starts if start.task != task]
        withdrawn = len(kept) < len(self._queued_starts)
        self._queued_starts = kept
        return withdrawn

    def leases_expired(self) -> bool:
        """Return whether all tasks leased by this driver have certainly ended.

        A successor may have renewed their leases, so this is known only while the
        lease of the shard is valid.
        """
        if self.lease_sent_at is None or not self._authority.held():
            return False
        return self._clock.monotonic() >= self.leases_expire_at(self.lease_sent_at)

    def leases_expire_at(self, sent_at: float) -> float:
        """Return when a task lease sent at `sent_at` has certainly expired."""
        options = self._options
        wait = options.command_expiry + options.task_lease + options.clock_drift
        return sent_at + wait.total_seconds()

    def forget_tasks(self) -> None:
        """Drop all queued commands and starts in doubt, as the tasks have ended."""
        self._queued_starts.clear()
        self._starts_in_doubt.clear()
        self._queued_stops.clear()
        self._acknowledged.clear()
        self.lease_sent_at = None

    def update(self, vm: Vm) -> None:
        """Take the VM's entry in the VM list, except for the incarnation."""
        self.vm = replace(vm, incarnation=self.vm.incarnation)

    def handle_replacement(self, incarnation: str) -> None:
        """Reset the driver for a new incarnation of the VM, which runs no task yet."""
        self._replacements += 1
        self.former_incarnations.add(self.vm.incarnation)
        self.vm = replace(self.vm, incarnation=incarnation)
        self.forget_tasks()
        self._clock_offset = None
        self.answered_at = None
        self._revision = 0
        self._sink.worker_replaced(self)

    async def step(self) -> None:
        """Send the commands that are due."""
        try:
            await self._call_worker()
            self.reachable = True
        except FencedError:
            self._sink.worker_fenced(self)
        except UnavailableError:
            self.reachable = False
            # The next call reads the clock again by a list, which extends no lease.
            self._clock_offset = None
            self._renewed_at = float("-inf")

    async def watch(self) -> bool:
        """Wait for a change of the worker's task list, and process it.

        Returns False if the worker cannot be watched now, or if the watch failed or was
        answered by another incarnation.  A watch extends no lease, so it does not count
        as an answer to a renewal.  It is not fenced, so a list that shows a higher
        epoch is not used: a successor may act on it.
        """
        if not isinstance(self._worker, WatchableWorker) or not self._may_watch():
            return False
        try:
            wait = self._options.task_renewal * RENEWALS_PER_WATCH
            report = await self._worker.watch(self._revision, wait)
        except NotFoundError:
            self._watchable = False
            return False
        except UnavailableError:
            self._call_soon()
            return False
        other_incarnation = report.incarnation != self.vm.incarnation
        if other_incarnation or report.epoch > self._authority.epoch:
            self._call_soon()
            return False
        self._apply_report(report)
        return True

    def _may_watch(self) -> bool:
        counts = self._watchable and self._revision > 0
        return counts and self.reachable and self._may_contact()

    def _call_soon(self) -> None:
        """Renew at once, as the worker may be unreachable or another incarnation."""
        self._renewed_at = float("-inf")
        self._wake.set()

    async def _run_watch(self) -> None:
        while True:
            if not await self.watch():
                await self._clock.sleep(self._options.task_renewal)

    async def _run(self) -> None:
        while True:
            await self.step()
            await wait_for_event(self._wake, self._clock, self._renewal_interval())

    def _renewal_interval(self) -> timedelta:
        """Return the time between renewals."""
        renewal = self._options.task_renewal
        if self._fast_renewal:
            return renewal
        max_interval = max(renewal, self._options.task_lease / MIN_RENEWALS_PER_LEASE)
        return min(renewal * IDLE_RENEWAL_FACTOR, max_interval)

    async def _call_worker(self) -> None:
        self._wake.clear()
        if not self._authority.may_renew_tasks() or not self._may_contact():
            return
        if self._clock_offset is None:
            await self._read_clock()
            if not self._may_contact():
                return
        if self.answered_at is None or self._renewal_due():
            await self._renew()
        if self._queued_stops and self._authority.may_end_tasks():
            await self._stop_tasks()
        if self._queued_starts and not self._authority.held():
            await self._renew()
        if self._queued_starts and self._may_start():
            await self._start_tasks()

    def _may_contact(self) -> bool:
        return self.answered_at is not None or self._authority.held()

    def _may_start(self) -> bool:
        return self.answered_at is not None and self._authority.may_start()

    def _renewal_due(self) -> bool:
        age = self._clock.monotonic() - self._renewed_at
        return age >= self._renewal_interval().total_seconds()

    async def _answer(self, call: Awaitable[WorkerReport]) -> WorkerReport:
        """Wait for the answer to a call; refuse one of a former incarnation.

        The VM list may tell of a new incarnation during the call.
        """
        replacements = self._replacements
        report = await call
        replaced = self._replacements > replacements
        if replaced and report.incarnation != self.vm.incarnation:
            self._wake.set()
            message = f"{self.vm.name} was replaced during a call"
            raise UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN)
        return report

    async def _read_clock(self) -> None:
        """Read the worker's clock and incarnation without extending any lease."""
        report = await self._answer(self._worker.list())
        self._note_incarnation(report)
        self._update_clock_offset(report)

    def _note_incarnation(self, report: WorkerReport) -> None:
        if report.incarnation != self.vm.incarnation:
            self.handle_replacement(report.incarnation)
            self.incarnation_reported_at = self._clock.monotonic()

    def _update_clock_offset(self, report: WorkerReport) -> None:
        # The worker read its clock before now, so the estimate is never ahead of it.
        self._clock_offset = report.clock - self._clock.monotonic()

    def _command(self) -> Command:
        assert self._clock_offset is not None
        worker_clock = self._clock.monotonic() + self._clock_offset
        expires_at = worker_clock + self._options.command_expiry.total_seconds()
        return Command(
            self._shard, self._authority.epoch, expires_at, self.vm.incarnation
        )

    async def _renew(self) -> None:
        ended = list(self._acknowledged) if self._authority.may_end_tasks() else []
        command = self._command()
        sent_at = self._clock.monotonic()
        earlier, self.lease_sent_at = self.lease_sent_at, sent_at
        try:
            report = await self._answer(
                self._worker.renew(command, self._options.task_lease, ended)
            )
        except UnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                self.lease_sent_at = earlier
            raise
        del self._acknowledged[: len(ended)]
        self._renewed_at = sent_at
        if self._apply_report(report):
            self.answered_at = sent_at

    async def _start_tasks(self) -> None:
        starts, self._queued_starts = self._queued_starts, []
        command = self._command()
        self.lease_sent_at = self._clock.monotonic()
        for start in starts:
            sent = _SentStart(start, command.expires_at)
            self._starts_in_doubt[(start.task, start.attempt)] = sent
        try:
            report = await self._answer(
                self._worker.start(command, self._options.task_lease, starts)
            )
        except UnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                self._report_not_run(starts)
            raise
        self._apply_report(report)
        self._report_not_run(starts)

    async def _stop_tasks(self) -> None:
        stops = dict(self._queued_stops)
        for checkpoint in (False, True):
            tasks = [task for task, flag in stops.items() if flag is checkpoint]
            if not tasks:
                continue
            report = await self._answer(
                self._worker.stop(self._command(), tasks, checkpoint=checkpoint)
            )
            for task in tasks:
                self._queued_stops.pop(task, None)
            self._apply_report(report)

    def _report_not_run(self, starts: Sequence[TaskStart]) -> None:
        """Report those of `starts` that are still in doubt as not carried out."""
        for start in starts:
            if self._starts_in_doubt.pop((start.task, start.attempt), None) is not None:
                self._sink.start_not_run(self, start)

    def _apply_report(self, report: WorkerReport) -> bool:
        """Process a report; return whether its incarnation may be commanded."""
        self._note_incarnation(report)
        if not self._may_contact():
            return False
        self._update_clock_offset(report)
        for task in report.tasks:
            self._starts_in_doubt.pop((task.task, task.attempt), None)
        # The answers to a watch and to a command may arrive out of order.
        if report.revision >= self._revision:
            self._revision = report.revision
            self._sink.worker_reported(self, report)
        expired = [
            s.start
            for s in self._starts_in_doubt.values()
            if s.expires_at < report.clock
        ]
        self._report_not_run(expired)
        return True
