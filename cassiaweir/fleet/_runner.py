"""Runs one owned shard: recovery, placement, and the storage of outcomes."""

from __future__ import annotations

import asyncio
import contextlib
from datetime import timedelta

from cassiaweir.background import BackgroundTasks, wait_for_event
from cassiaweir.exceptions import LeaseLostError, UnavailableError
from cassiaweir.fleet._lease import ShardLease
from cassiaweir.fleet._part_store import Committer, PartStore
from cassiaweir.fleet._part_sync import PartSync
from cassiaweir.fleet._runner_types import Allotments, PartStatus, RunnerOptions
from cassiaweir.fleet._shard_load import ShardLoad, part_status, shard_load
from cassiaweir.fleet._shards import shard_domain, shard_of
from cassiaweir.fleet._takeover_hold import TakeoverHold
from cassiaweir.fleet._task_tracker import TaskTracker
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

MAX_PLACEMENTS_PER_ROUND = 256
MAX_LOAD_AGE_SECONDS = 0.25


class ShardRunner:
    """Runs the tasks of one shard while this process owns it by lease or in autonomy.

    Implements `Authority` and `ReportSink` for the drivers of the shard's workers.
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
        self._tracker = TaskTracker(
            self._store.parts,
            self._registry.drivers,
            planner=planner,
            clock=clock,
            events=events,
            on_outcomes=self._wake_table,
            health=health,
        )
        self._tracker.epoch = lease.epoch
        self._part_sync = PartSync(
            lease.shard,
            self._store,
            self._tracker,
            self._registry.drivers,
            clock=clock,
            events=events,
            poll=options.part_poll,
            on_parts_read=self._wake_after_parts_read,
        )
        self._takeover_hold = self._new_takeover_hold()
        self._holding_back = True
        self._early_reports: dict[str, WorkerReport] = {}
        self._replaced_vms: set[str] = set()
        self._table_wake = asyncio.Event()
        self._plan_wake = asyncio.Event()
        self._allotment_wake = asyncio.Event()
        self._listed_at = float("-inf")
        self._load: ShardLoad | None = None
        self._load_measured_at = float("-inf")
        self._tasks_queued = False
        self._background = BackgroundTasks()

    async def start(self) -> None:
        """Start the background tasks that recover the shard and run it."""
        loops = [self._run_table, self._run_vm_list, self._run_plans]
        if self._allotments is not None:
            loops.append(self._run_allotments)
        self._background.start(*loops)

    async def stop(self) -> None:
        """Stop all commands, and wait until none of their starts can be carried out.

        A start without an answer may be carried out until it expires.
        """
        await self._background.stop()
        drivers = list(self._registry.drivers.values())
        await asyncio.gather(*(driver.stop() for driver in drivers))
        if any(driver.in_doubt for driver in drivers):
            await self._clock.sleep(self._options.driver.command_expiry)

    def failure(self) -> BaseException | None:
        """Return the error that ended a background task or a driver, or None."""
        drivers = self._registry.drivers.values()
        failures = [self._background.failure(), *(d.failure() for d in drivers)]
        return next((exc for exc in failures if exc is not None), None)

    def held(self) -> bool:
        """Return whether the lease is valid, so that no other process is owner."""
        return self._lease.held()

    def may_renew_tasks(self) -> bool:
        """Return whether task leases may be renewed."""
        return self._lease.may_renew_tasks()

    def may_start(self) -> bool:
        """Return whether tasks may be started."""
        if not self._lease.may_start() or not self.recovered:
            return False
        if self._options.lease.workers_fence:
            return True
        return (
            self._clock.monotonic() >= self._takeover_hold.former_commands_expire_at()
        )

    def may_end_tasks(self) -> bool:
        """Return whether tasks may be stopped and ended attempts acknowledged.

        A worker that does not fence would do so with the tasks of a successor too.
        """
        return self._lease.may_start()

    def worker_reported(self, driver: WorkerDriver, report: WorkerReport) -> None:
        """Process a worker's task list, or keep it until the shard is recovered."""
        if driver.vm.name in self._replaced_vms:
            self._restart_tasks_of_replaced_vm(driver.vm.name)
        if not self.recovered:
            self._early_reports[driver.vm.name] = report
            return
        self._tracker.handle_report(driver.vm.name, report)
        if not driver.reachable or any(task.state.ended for task in report.tasks):
            self._plan_wake.set()

    def worker_replaced(self, driver: WorkerDriver) -> None:
        """Restart the tasks of the former incarnation once the lease is held.

        Without the lease, a successor may have seen their ends or restarted them.  A
        report that the former incarnation made before the recovery
        says nothing about the new one.
        """
        self._early_reports.pop(driver.vm.name, None)
        self._events.record(
            "worker_replaced", driver.vm.name, incarnation=driver.vm.incarnation
        )
        self._replaced_vms.add(driver.vm.name)
        self._restart_tasks_of_replaced_vms()
        self._plan_wake.set()

    def start_not_run(self, driver: WorkerDriver, start: TaskStart) -> None:
        """Queue a task again whose start certainly was not carried out."""
        self._tracker.requeue_unstarted(start, driver.vm.name)
        self._plan_wake.set()

    def worker_fenced(self, driver: WorkerDriver) -> None:
        """Give up ownership, as a worker has seen a higher epoch."""
        self._events.record("worker_fenced", driver.vm.name, epoch=self.epoch)
        self._lease.mark_lost()

    def handle_former_owner_exit(self) -> None:
        """Record that the former owner sends no more commands."""
        self._takeover_hold.handle_former_owner_exit(self._clock.monotonic())

    @property
    def settled(self) -> bool:
        """Whether the shard is recovered and holds back no task of the former owner."""
        return self.recovered and not self._holding_back

    def notify(self, job: str) -> None:
        """Read the part of `job` soon, as it was committed or changed."""
        self._part_sync.notify(job)
        self._wake_table()

    def status(self, job: str) -> PartStatus | None:
        """Return the live state of the part of `job`, or None if none is open."""
        part = self._store.parts.get(job)
        if part is None:
            return None
        reason = self._planner.wait_reason(job, self._clock.monotonic())
        return part_status(self._lease.shard, part, reason)

    def describe(self, process: str, address: str) -> ShardOwner:
        """Return the entry of the shard in the heartbeats of its owner.

        Counting all tasks takes long, so the load is measured again only after a
        placement or when it is older than `MAX_LOAD_AGE_SECONDS`.
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
        if self._load is None or now - self._load_measured_at >= MAX_LOAD_AGE_SECONDS:
            vms = [driver.vm for driver in self._registry.drivers.values()]
            self._load = shard_load(vms, self._store.parts.values())
            self._load_measured_at = now
        return self._load

    async def recover(self) -> None:
        """Read the parts of the shard, and hold their tasks back at first."""
        held_back = await self._part_sync.recover()
        self.recovered = True
        for vm, report in self._early_reports.items():
            self._tracker.handle_report(vm, report)
        self._early_reports.clear()
        if held_back:
            self._events.record(
                "task_held_back", self._lease.shard, epoch=self.epoch, tasks=held_back
            )

    async def refresh_vms(self) -> list[WorkerDriver]:
        """Read the VM list; return the drivers of new VMs, not started yet."""
        asked_at = self._clock.monotonic()
        listed = await self._vm_list.fetch()
        vms = [vm for vm in listed if self._in_shard(vm)]
        # A successor relies on the former owner adding no VM after its lease.
        added = self._registry.apply(
            vms,
            add=self._lease.held(),
            complete_at=asked_at - self._options.max_list_lag.total_seconds(),
        )
        self._listed_at = asked_at
        self._takeover_hold.listed_at = asked_at
        for driver in self._registry.remove_departed(self._tracker.is_busy):
            await driver.stop()
        return added

    async def sync_table(self) -> None:
        """Recover the shard if needed, read due parts and commit outcomes."""
        if not self.recovered:
            await self.recover()
        await self._part_sync.step()

    def plan(self) -> Plan:
        """Apply the time limits that have passed, then preempt and place tasks."""
        now = self._clock.monotonic()
        self._update_takeover_hold(now)
        self._restart_tasks_of_replaced_vms()
        self._end_expired_tasks(now)
        self._registry.refresh_planner(now)
        if not self.may_start():
            return Plan([], [])
        if self._allotments is not None:
            held_back = self._held_back_by_team()
            for team in self._allotments.apply(self._planner, held_back):
                self.stop_excess(team)
        plan = self._planner.plan(now, MAX_PLACEMENTS_PER_ROUND)
        for preemption in plan.preemptions:
            self._tracker.stop(preemption.task, preemption.vm, checkpoint=True)
            self._events.record(
                "preempted", str(preemption.task), epoch=self.epoch, vm=preemption.vm
            )
        for placement in plan.placements:
            self._tracker.place(placement)
            self._load = None
        return plan

    async def balance_allotments(self) -> None:
        """Move the allotments of the shard's teams towards their demand."""
        if self._allotments is not None and self.recovered:
            held_back = self._held_back_by_team()
            await self._allotments.balance(self._planner, held_back)
            self._plan_wake.set()

    def stop_excess(self, team: str) -> None:
        """Checkpoint and stop the tasks of `team` that exceed its allotment."""
        for task, vm in self._planner.excess_tasks(team):
            self._tracker.stop(task, vm, checkpoint=True)

    def _update_takeover_hold(self, now: float) -> None:
        if not self.recovered or not self._holding_back:
            return
        if self._takeover_hold.is_over(self._registry.drivers.values(), now):
            self._holding_back = False
            self._tracker.release_held_back()

    def _restart_tasks_of_replaced_vms(self) -> None:
        if self._lease.held():
            for name in sorted(self._replaced_vms):
                self._restart_tasks_of_replaced_vm(name)

    def _restart_tasks_of_replaced_vm(self, name: str) -> None:
        """Restart the tasks of a former incarnation, before the new one has any.

        A former owner may restart them too, so they are held back while the takeover
        is not settled.
        """
        self._replaced_vms.discard(name)
        self._tracker.handle_vm_loss(name, held_back=self._holding_back)

    def _end_expired_tasks(self, now: float) -> None:
        for name, driver in self._registry.drivers.items():
            if (
                not driver.reachable
                and self._tracker.is_busy(name)
                and driver.leases_expired()
                and self._takeover_hold.former_leases_expired(driver, now)
            ):
                driver.forget_tasks()
                self._tracker.handle_vm_loss(name, held_back=self._holding_back)

    def _in_shard(self, vm: Vm) -> bool:
        if vm.role is not VmRole.WORKER:
            return False
        return shard_of(vm, self._options.shards_per_domain) == self._lease.shard

    def _new_takeover_hold(self) -> TakeoverHold:
        now = self._clock.monotonic()
        hold = TakeoverHold(
            now, self._options.lease, self._options.driver, self._options.max_list_lag
        )
        if self._lease.predecessor.released:
            hold.handle_former_owner_exit(now)
        return hold

    def _held_back_by_team(self) -> dict[str, Resources]:
        return self._tracker.held_back_by_team(holding_back=self._holding_back)

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

    def _wake_after_parts_read(self) -> None:
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
            self._set_renewal_pace()
            await wait_for_event(self._plan_wake, self._clock, self._round_interval())

    def _round_interval(self) -> timedelta:
        """Return the time until the next round, unless an event triggers it before."""
        return self._options.round if self._tasks_queued else self._options.idle_round

    def _set_renewal_pace(self) -> None:
        """Renew tasks, and so read reports, less often while no task is queued."""
        self._tasks_queued = self._current_load().queued > 0
        for driver in self._registry.drivers.values():
            driver.set_fast_renewal(self._tasks_queued)
