"""Drives one worker VM: renewals, starts, stops, and what its reports prove."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from cassiaweir.background import Background, wait_for_event
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

IDLE_RENEWAL_FACTOR = 2
RENEWALS_PER_WATCH = 3
RENEWALS_PER_LEASE = 4


@dataclass(frozen=True, slots=True)
class _SentStart:
    """A start that was sent; the worker refuses it past `expires_at` of its clock."""

    start: TaskStart
    expires_at: float


class WorkerDriver:
    """Commands one worker under the epoch of a shard.

    A new incarnation of a VM remembers no epoch.  So an owner makes its first contact
    with one only while it holds the lease, and without the lease it lets the same
    incarnation accept a renewal right before each start.

    A start is in doubt from the moment that it is sent until a report lists it, or
    until a report made after its expiry on the worker's clock does not.
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
        self.reachable = False
        self.lease_sent_at: float | None = None
        self._shard = shard
        self._worker = worker
        self._authority = authority
        self._sink = sink
        self._clock = clock
        self._options = options
        self._clock_offset: float | None = None
        self._revision = 0
        self._watchable = True
        self._renewed_at = float("-inf")
        self._hurried = True
        self._starts: list[TaskStart] = []
        self._sent: dict[tuple[TaskId, int], _SentStart] = {}
        self._stops: dict[TaskId, bool] = {}
        self._acknowledged: list[TaskReport] = []
        self._wake = asyncio.Event()
        self._background = Background()

    async def start(self) -> None:
        """Begin to drive the worker."""
        self._background.start(self._run)
        if isinstance(self._worker, WatchableWorker):
            self._background.start(self._follow)

    async def stop(self) -> None:
        """Give up the call in flight; starts in it stay in doubt."""
        await self._background.stop()

    def failure(self) -> BaseException | None:
        """Return what the driver's task failed with, or None."""
        return self._background.failure()

    @property
    def in_doubt(self) -> bool:
        """Whether a start may still be carried out without our knowledge."""
        return bool(self._sent)

    def hurry(self, hurried: bool) -> None:
        """Renew at the full pace while ends are waited for, else less often."""
        if hurried and not self._hurried:
            self._wake.set()
        self._hurried = hurried

    def start_task(self, start: TaskStart) -> None:
        """Queue the start of an attempt; it goes out with the next call."""
        self._starts.append(start)
        self._wake.set()

    def stop_task(self, task: TaskId, *, checkpoint: bool) -> None:
        """Queue the stop of a task."""
        self._stops[task] = checkpoint
        self._wake.set()

    def acknowledge(self, report: TaskReport) -> None:
        """Let the worker forget an ended attempt with the next renewal."""
        self._acknowledged.append(report)

    def withdraw_start(self, task: TaskId) -> bool:
        """Drop a start that was not sent yet; tell whether there was one."""
        kept = [start for start in self._starts if start.task != task]
        withdrawn = len(kept) < len(self._starts)
        self._starts = kept
        return withdrawn

    def lapsed(self) -> bool:
        """Tell whether all that the worker ran under our leases has certainly ended.

        A successor may have renewed the leases in our place, so this is only known
        while nobody can have taken the shard over.
        """
        if self.lease_sent_at is None or not self._authority.held():
            return False
        return self._clock.monotonic() >= self.lapses_at(self.lease_sent_at)

    def lapses_at(self, sent_at: float) -> float:
        """Return when a task lease that was sent at `sent_at` has certainly lapsed."""
        options = self._options
        wait = options.command_expiry + options.task_lease + options.clock_drift
        return sent_at + wait.total_seconds()

    def forget_tasks(self) -> None:
        """Drop what was queued or in doubt after the worker's tasks lapsed."""
        self._starts.clear()
        self._sent.clear()
        self._stops.clear()
        self._acknowledged.clear()
        self.lease_sent_at = None

    def update(self, vm: Vm) -> None:
        """Take in the state and capacity that the VM list shows."""
        self.vm = replace(vm, incarnation=self.vm.incarnation)

    def replaced(self, incarnation: str) -> None:
        """Note that the VM is now another incarnation, which runs nothing of ours."""
        self.former_incarnations.add(self.vm.incarnation)
        self.vm = replace(self.vm, incarnation=incarnation)
        self.forget_tasks()
        self._clock_offset = None
        self.answered_at = None
        self._revision = 0
        self._sink.worker_replaced(self)

    async def step(self) -> None:
        """Make the calls that are due."""
        try:
            await self._call_worker()
            self.reachable = True
        except FencedError:
            self._sink.fenced(self)
        except UnavailableError:
            self.reachable = False
            # The next call is a plain list, which extends no lease.
            self._clock_offset = None
            self._renewed_at = float("-inf")

    async def watch(self) -> bool:
        """Wait for a change of the worker's list; return False where that failed.

        A watch extends no lease, so it never counts as contact.
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
        if report.incarnation != self.vm.incarnation:
            self._call_soon()
            return False
        self._take(report)
        return True

    def _may_watch(self) -> bool:
        counts = self._watchable and self._revision > 0
        return counts and self.reachable and self._may_contact()

    def _call_soon(self) -> None:
        """Have the next call made now, as the worker may be gone or be another."""
        self._renewed_at = float("-inf")
        self._wake.set()

    async def _follow(self) -> None:
        while True:
            if not await self.watch():
                await self._clock.sleep(self._options.task_renewal)

    async def _run(self) -> None:
        while True:
            await self.step()
            await wait_for_event(self._wake, self._clock, self._pause())

    def _pause(self) -> timedelta:
        """Return the time between renewals; each lease has room for several."""
        renewal = self._options.task_renewal
        if self._hurried:
            return renewal
        longest = max(renewal, self._options.task_lease / RENEWALS_PER_LEASE)
        return min(renewal * IDLE_RENEWAL_FACTOR, longest)

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
        if self._stops:
            await self._stop_tasks()
        if self._starts and not self._authority.held():
            await self._renew()
        if self._starts and self._may_start():
            await self._start_tasks()

    def _may_contact(self) -> bool:
        return self.answered_at is not None or self._authority.held()

    def _may_start(self) -> bool:
        return self.answered_at is not None and self._authority.may_start()

    def _renewal_due(self) -> bool:
        age = self._clock.monotonic() - self._renewed_at
        return age >= self._pause().total_seconds()

    async def _read_clock(self) -> None:
        """Learn the worker's clock and incarnation without extending any lease."""
        report = await self._worker.list()
        if report.incarnation != self.vm.incarnation:
            self.replaced(report.incarnation)
        self._note_clock(report)

    def _note_clock(self, report: WorkerReport) -> None:
        # The clock was read before now, so this never runs ahead of the worker's.
        self._clock_offset = report.clock - self._clock.monotonic()

    def _command(self) -> Command:
        assert self._clock_offset is not None
        worker_clock = self._clock.monotonic() + self._clock_offset
        expires_at = worker_clock + self._options.command_expiry.total_seconds()
        return Command(
            self._shard, self._authority.epoch, expires_at, self.vm.incarnation
        )

    async def _renew(self) -> None:
        ended = list(self._acknowledged)
        command = self._command()
        sent_at = self._clock.monotonic()
        earlier, self.lease_sent_at = self.lease_sent_at, sent_at
        try:
            report = await self._worker.renew(command, self._options.task_lease, ended)
        except UnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                self.lease_sent_at = earlier
            raise
        del self._acknowledged[: len(ended)]
        self._renewed_at = sent_at
        if self._take(report):
            self.answered_at = sent_at

    async def _start_tasks(self) -> None:
        starts, self._starts = self._starts, []
        command = self._command()
        self.lease_sent_at = self._clock.monotonic()
        for start in starts:
            sent = _SentStart(start, command.expires_at)
            self._sent[(start.task, start.attempt)] = sent
        try:
            report = await self._worker.start(command, self._options.task_lease, starts)
        except UnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                self._settle(starts)
            raise
        self._take(report)
        self._settle(starts)

    async def _stop_tasks(self) -> None:
        stops = dict(self._stops)
        for checkpoint in (False, True):
            tasks = [task for task, flag in stops.items() if flag is checkpoint]
            if not tasks:
                continue
            report = await self._worker.stop(
                self._command(), tasks, checkpoint=checkpoint
            )
            for task in tasks:
                self._stops.pop(task, None)
            self._take(report)

    def _settle(self, starts: Sequence[TaskStart]) -> None:
        """Tell of the starts that the worker refused."""
        for start in starts:
            if self._sent.pop((start.task, start.attempt), None) is not None:
                self._sink.start_settled(self, start)

    def _take(self, report: WorkerReport) -> bool:
        """Take in a report; tell whether it is from an incarnation we may command."""
        if report.incarnation != self.vm.incarnation:
            self.replaced(report.incarnation)
        if not self._may_contact():
            return False
        self._note_clock(report)
        for task in report.tasks:
            self._sent.pop((task.task, task.attempt), None)
        # A watch and a command may be answered out of order.
        if report.revision >= self._revision:
            self._revision = report.revision
            self._sink.worker_reported(self, report)
        expired = [s.start for s in self._sent.values() if s.expires_at < report.clock]
        self._settle(expired)
        return True
