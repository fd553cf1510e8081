"""Runs one owned shard: recovery, placement, ends, and the table behind them."""

from __future__ import annotations

import asyncio
import contextlib
from datetime import timedelta

from cassiaweir.background import Background, wait_for_event
from cassiaweir.exceptions import LeaseLostError, UnavailableError
from cassiaweir.fleet._lease import ShardLease
from cassiaweir.fleet._part_store import Committer, PartStore
from cassiaweir.fleet._part_sync import PartSync
from cassiaweir.fleet._runner_types import Allotments, PartStatus, RunnerOptions
from cassiaweir.fleet._shard_load import ShardLoad, part_status, shard_load
from cassiaweir.fleet._shards import shard_domain, shard_of
from cassiaweir.fleet._takeover_hold import TakeoverHold
from cassiaweir.fleet._task_book import TaskBook
from cassiaweir.fleet._worker_driver import WorkerDriver
from cassiaweir.fleet._worker_registry import Health, WorkerRegistry
from cassiaweir.observe import EventLog
from cassiaweir.placement import Plan, Planner
from cassiaweir.types import (
    Clock,
    Resources,
    ShardOwner,
    Table,
    TaskStart,
    Vm,
    VmList,
    VmRole,
    WorkerReport,
    Workers,
)

MOST_PLACEMENTS_A_ROUND = 256
LONGEST_LOAD_AGE_SECONDS = 0.25


class ShardRunner:
    """Runs the tasks of one shard for as long as its lease, or autonomy, lasts.

    Implements `Authority` and `ReportSink` for the drivers of its workers.
    """

    def __init__(
        self,
        lease: ShardLease,
        *,
        table: Table,
        committer: Committer,
        vm_list: VmList,
        workers: Workers,
        planner: Planner,
        clock: Clock,
        events: EventLog,
        options: RunnerOptions,
        allotments: Allotments | None = None,
        health: Health | None = None,
    ) -> None:
        self.epoch = lease.epoch
        self.recovered = False
        self._lease = lease
        self._vm_list = vm_list
        self._workers = workers
        self._planner = planner
        self._clock = clock
        self._events = events
        self._options = options
        self._allotments = allotments
        self._registry = WorkerRegistry(planner, self._build_driver, health=health)
        self._store = PartStore(lease, table=table, committer=committer)
        self._book = TaskBook(
            self._store.parts,
            self._registry.drivers,
            planner=planner,
            clock=clock,
            events=events,
            on_ends=self._wake_table,
            health=health,
        )
        self._book.epoch = lease.epoch
        self._parts = PartSync(
            lease.shard,
            self._store,
            self._book,
            self._registry.drivers,
            clock=clock,
            events=events,
            poll=options.part_poll,
            on_parts=self._wake_after_parts,
        )
        self._hold = self._new_hold()
        self._holding = True
        self._early_reports: dict[str, WorkerReport] = {}
        self._table_wake = asyncio.Event()
        self._plan_wake = asyncio.Event()
        self._allotment_wake = asyncio.Event()
        self._listed_at = float("-inf")
        self._load: ShardLoad | None = None
        self._load_at = float("-inf")
        self._waits = False
        self._background = Background()

    async def start(self) -> None:
        """Begin to recover the shard and run it."""
        loops = [self._run_table, self._run_vm_list, self._run_plans]
        if self._allotments is not None:
            loops.append(self._run_allotments)
        self._background.start(*loops)

    async def stop(self) -> None:
        """Stop commanding, and wait until no start of ours can still be carried out."""
        await self._background.stop()
        drivers = list(self._registry.drivers.values())
        await asyncio.gather(*(driver.stop() for driver in drivers))
        if any(driver.in_doubt for driver in drivers):
            await self._clock.sleep(self._options.driver.command_expiry)

    def failure(self) -> BaseException | None:
        """Return what a task of the runner, or of a driver, failed with, or None."""
        drivers = self._registry.drivers.values()
        failures = [self._background.failure(), *(d.failure() for d in drivers)]
        return next((exc for exc in failures if exc is not None), None)

    def held(self) -> bool:
        """Tell whether nobody else can have taken the shard over yet."""
        return self._lease.held()

    def may_renew_tasks(self) -> bool:
        """Tell whether task leases may be renewed."""
        return self._lease.may_renew_tasks()

    def may_start(self) -> bool:
        """Tell whether tasks may be started."""
        if not self._lease.may_start() or not self.recovered:
            return False
        if self._options.lease.workers_fence:
            return True
        return self._clock.monotonic() >= self._hold.former_commands_expire_at()

    def worker_reported(self, driver: WorkerDriver, report: WorkerReport) -> None:
        """Take in the list of a worker."""
        if not self.recovered:
            self._early_reports[driver.vm.name] = report
            return
        self._book.take_report(driver.vm.name, report)
        if not driver.reachable or any(task.state.ended for task in report.tasks):
            self._plan_wake.set()

    def worker_replaced(self, driver: WorkerDriver) -> None:
        """Restart elsewhere what the former incarnation ran.

        A former owner may have learnt of it too, so until the takeover has settled
        the tasks are held back.
        """
        self._events.record(
            "worker_replaced", driver.vm.name, incarnation=driver.vm.incarnation
        )
        self._book.lose_vm(driver.vm.name, held=self._holding)
        self._plan_wake.set()

    def start_settled(self, driver: WorkerDriver, start: TaskStart) -> None:
        """Queue a task again whose start certainly did not run."""
        self._book.start_refused(start, driver.vm.name)
        self._plan_wake.set()

    def fenced(self, driver: WorkerDriver) -> None:
        """Step down: a worker has seen a higher epoch."""
        self._events.record("worker_fenced", driver.vm.name, epoch=self.epoch)
        self._lease.mark_lost()

    def former_owner_gone(self) -> None:
        """Note that the former owner commands nothing any more."""
        self._hold.former_owner_gone(self._clock.monotonic())

    @property
    def settled(self) -> bool:
        """Whether no task of the former owner is held back any more."""
        return self.recovered and not self._holding

    def notify(self, job: str) -> None:
        """Look at the part of `job` soon: it was committed or changed."""
        self._parts.notify(job)
        self._wake_table()

    def status(self, job: str) -> PartStatus | None:
        """Return the live state of the part of `job`, or None."""
        part = self._store.parts.get(job)
        if part is None:
            return None
        reason = self._planner.wait_reason(job, self._clock.monotonic())
        return part_status(self._lease.shard, part, reason)

    def describe(self, process: str, address: str) -> ShardOwner:
        """Return what heartbeats tell of the shard.

        Counting all tasks takes long, so the load lacks what happened since the last
        placement, for up to `LONGEST_LOAD_AGE_SECONDS`.
        """
        load = self._current_load()
        return ShardOwner(
            self._lease.shard,
            shard_domain(self._lease.shard),
            process,
            address,
            self.epoch,
            load.capacity,
            load.free,
            load.queued,
            load.running,
        )

    def _current_load(self) -> ShardLoad:
        now = self._clock.monotonic()
        if self._load is None or now - self._load_at >= LONGEST_LOAD_AGE_SECONDS:
            vms = [driver.vm for driver in self._registry.drivers.values()]
            self._load = shard_load(vms, self._store.parts.values())
            self._load_at = now
        return self._load

    async def recover(self) -> None:
        """Read the parts of the shard; their tasks are held back at first."""
        held = await self._parts.recover()
        self.recovered = True
        for vm, report in self._early_reports.items():
            self._book.take_report(vm, report)
        self._early_reports.clear()
        if held:
            self._events.record(
                "task_held_back", self._lease.shard, epoch=self.epoch, tasks=held
            )

    async def refresh_vms(self) -> list[WorkerDriver]:
        """Read the VM list and return the drivers of new VMs, to be started."""
        asked_at = self._clock.monotonic()
        listed = await self._vm_list.fetch()
        vms = [vm for vm in listed if self._is_ours(vm)]
        # A successor counts on it that an owner without its lease adds no VM.
        added = self._registry.apply(vms, add=self._lease.held())
        self._listed_at = asked_at
        self._hold.listed_at = asked_at
        for driver in self._registry.take_departed(self._book.busy):
            await driver.stop()
        return added

    async def sync_table(self) -> None:
        """Read parts that are due and commit the ends that wait."""
        if not self.recovered:
            await self.recover()
        await self._parts.step()

    def plan(self) -> Plan:
        """Settle what time has settled, then place and preempt."""
        now = self._clock.monotonic()
        self._settle_hold(now)
        self._settle_lapsed()
        self._registry.refresh(now)
        if not self.may_start():
            return Plan([], [])
        if self._allotments is not None:
            held = self._held_by_team()
            for team in self._allotments.apply(self._planner, held):
                self.stop_excess(team)
        plan = self._planner.plan(now, MOST_PLACEMENTS_A_ROUND)
        for preemption in plan.preemptions:
            self._book.stop(preemption.task, preemption.vm, checkpoint=True)
            self._events.record(
                "preempted", str(preemption.task), epoch=self.epoch, vm=preemption.vm
            )
        for placement in plan.placements:
            self._book.place(placement)
            self._load = None
        return plan

    async def balance_allotments(self) -> None:
        """Move the allotments of the shard's teams towards their demand."""
        if self._allotments is not None and self.recovered:
            held = self._held_by_team()
            await self._allotments.balance(self._planner, held)
            self._plan_wake.set()

    def stop_excess(self, team: str) -> None:
        """Checkpoint the tasks of `team` beyond its allotment."""
        for task, vm in self._planner.excess_tasks(team):
            self._book.stop(task, vm, checkpoint=True)

    def _settle_hold(self, now: float) -> None:
        if not self.recovered or not self._holding:
            return
        if self._hold.is_over(self._registry.drivers.values(), now):
            self._holding = False
            self._book.release_held()

    def _settle_lapsed(self) -> None:
        for name, driver in self._registry.drivers.items():
            if not driver.reachable and self._book.busy(name) and driver.lapsed():
                driver.forget_tasks()
                self._book.lose_vm(name)

    def _is_ours(self, vm: Vm) -> bool:
        if vm.role is not VmRole.WORKER:
            return False
        return shard_of(vm, self._options.shards_per_domain) == self._lease.shard

    def _new_hold(self) -> TakeoverHold:
        now = self._clock.monotonic()
        hold = TakeoverHold(
            now, self._options.lease, self._options.driver, self._options.max_list_lag
        )
        if self._lease.predecessor.released:
            hold.former_owner_gone(now)
        return hold

    def _held_by_team(self) -> dict[str, Resources]:
        return self._book.held_by_team(holding=self._holding)

    def _build_driver(self, vm: Vm) -> WorkerDriver:
        return WorkerDriver(
            self._lease.shard,
            vm,
            self._workers.connect(vm),
            authority=self,
            sink=self,
            clock=self._clock,
            options=self._options.driver,
        )

    def _wake_after_parts(self) -> None:
        self._allotment_wake.set()
        self._plan_wake.set()

    def _wake_table(self) -> None:
        self._table_wake.set()

    async def _run_table(self) -> None:
        while self._lease.owned:
            self._table_wake.clear()
            try:
                await self.sync_table()
            except UnavailableError:
                await self._clock.sleep(self._options.vm_poll)
            except LeaseLostError:
                return
            await wait_for_event(self._table_wake, self._clock, self._options.vm_poll)

    async def _run_vm_list(self) -> None:
        while self._lease.owned:
            try:
                for driver in await self.refresh_vms():
                    await driver.start()
            except UnavailableError:
                self._events.record("vm_list_unavailable", self._lease.shard)
            await self._clock.sleep(self._options.vm_poll)

    async def _run_allotments(self) -> None:
        while self._lease.owned:
            self._allotment_wake.clear()
            with contextlib.suppress(UnavailableError):
                await self.balance_allotments()
            await wait_for_event(
                self._allotment_wake, self._clock, self._options.vm_poll
            )

    async def _run_plans(self) -> None:
        while self._lease.owned:
            self._plan_wake.clear()
            self.plan()
            self._set_pace()
            await wait_for_event(self._plan_wake, self._clock, self._round())

    def _round(self) -> timedelta:
        """Return the time to the next round where nothing calls for one before."""
        return self._options.round if self._waits else self._options.idle_round

    def _set_pace(self) -> None:
        """Ask the workers less often for ends while no task waits for room."""
        self._waits = self._current_load().queued > 0
        for driver in self._registry.drivers.values():
            driver.hurry(self._waits)
