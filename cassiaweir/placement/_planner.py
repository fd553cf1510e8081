"""The planner: urgent work first, then weighted dominant-resource fair share."""

from __future__ import annotations

from collections.abc import Sequence

from cassiaweir.placement._choice import choose
from cassiaweir.placement._explain import explain
from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._ledger import Ledger
from cassiaweir.placement._queue import WaitingQueue
from cassiaweir.placement._records import JobRecord, RunningTask, VmRecord
from cassiaweir.placement._types import (
    Placement,
    Plan,
    TaskGroup,
    VmCondition,
    VmOffer,
    WaitReason,
)
from cassiaweir.types import JobKind, Resources, TaskId, TaskState, Urgency


class FairPlanner:
    """Implements `Planner` for one shard; pure, without a clock of its own."""

    def __init__(self) -> None:
        self._fleet = Fleet()
        self._ledger = Ledger(self._fleet)
        self._queues = {urgency: WaitingQueue() for urgency in Urgency}

    def set_vm(self, vm: VmOffer, condition: VmCondition) -> None:
        """Add or change a VM."""
        known = self._fleet.vms.get(vm.name)
        changed = known is None or known.capacity != vm.capacity
        self._fleet.set_vm(vm, condition)
        if changed:
            self._reorder_all()

    def remove_vm(self, name: str) -> None:
        """Forget a VM; one that still runs tasks is closed until they ended."""
        self._fleet.remove_vm(name)
        self._reorder_all()

    def set_team(self, name: str, share: int, allotment: Resources) -> None:
        """Add or change a team; `allotment` bounds what it runs in this shard."""
        team = self._ledger.team(name)
        team.share, team.allotment = share, allotment
        team.reorder(self._fleet.total)
        self._offer_lanes(team.name)

    def enqueue(self, group: TaskGroup) -> None:
        """Add waiting tasks; those already known are left as they are."""
        job = self._ledger.job(group)
        added = self._ledger.add_waiting(job, group.indexes)
        if added:
            self._queue(job)

    def cancel(self, job: str) -> list[tuple[TaskId, str]]:
        """Drop the job's waiting tasks and return its running ones with their VMs."""
        record = self._ledger.jobs.get(job)
        if record is None:
            return []
        running = [(task.task, task.vm.name) for task in record.running.values()]
        self._ledger.drop_waiting(record)
        self._settle(record)
        return running

    def adopt(self, group: TaskGroup, task: TaskId, vm: str, started_at: float) -> None:
        """Count `task` of `group` as running on `vm`, whatever the limits say."""
        if task in self._ledger.running:
            return
        if vm not in self._fleet.vms:
            unknown = VmOffer(vm, "", "", Resources())
            self._fleet.set_vm(unknown, VmCondition.UNREACHABLE)
        job = self._ledger.job(group)
        self._ledger.start(job, task.index, self._fleet.vms[vm], started_at)
        self._after_waiting_fell(job)

    def task_refused(self, task: TaskId, now: float) -> None:
        """Put a placed task that certainly did not start back into the queue."""
        running = self._ledger.running.get(task)
        if running is None:
            return
        self._end(running)
        self._ledger.add_waiting(running.job, (task.index,))
        self._queue(running.job)

    def task_ended(self, task: TaskId, state: TaskState, now: float) -> None:
        """Free what `task` held; it is not queued again unless enqueued again."""
        running = self._ledger.running.get(task)
        if running is None:
            return
        self._end(running)
        self._settle(running.job)

    def task_usage(self, task: TaskId, usage: Resources) -> None:
        """Note the observed use of a running task."""
        running = self._ledger.running.get(task)
        if running is not None:
            running.vm.expected_cpu += usage.cpu_millis - running.expected_cpu
            running.expected_cpu = usage.cpu_millis

    def plan(self, now: float, most: int) -> Plan:
        """Decide on at most `most` placements and the preemptions they need.

        A gang of more than `most` tasks is placed alone, in a plan of its own.
        """
        self._unblock_grown()
        plan = Plan([], [])
        for urgency in (Urgency.URGENT, Urgency.NORMAL):
            self._serve(self._queues[urgency], plan, now, most)
        return plan

    def excess(self, team: str) -> Sequence[tuple[TaskId, str]]:
        """Return the tasks to stop so that the team is within its allotment."""
        return self._ledger.excess(team)

    def demand(self, team: str) -> Resources:
        """Return what the team runs and waits for in this shard."""
        return self._ledger.team(team).wanted.resources()

    def running(self, team: str) -> Resources:
        """Return what the team runs in this shard."""
        return self._ledger.team(team).used.resources()

    def waiting(self, job: str, now: float) -> WaitReason:
        """Say why the job's tasks wait."""
        return explain(self._fleet, self._ledger.jobs.get(job))

    def fits_some_vm(self, size: Resources) -> bool:
        """Tell whether a VM of this shard could ever hold `size`."""
        return self._fleet.fits_some_vm(size)

    def _serve(self, queue: WaitingQueue, plan: Plan, now: float, most: int) -> None:
        """Place what `queue` holds, in order, until nothing more can start."""
        while len(plan.placements) < most:
            lane = queue.first()
            job = lane.head() if lane else None
            if lane is None or job is None:
                return
            need = job.needed_at_once
            if plan.placements and len(plan.placements) + need > most:
                return
            if not job.team.allows(job.group.size, need):
                lane.demand.withdraw(lane)
                continue
            vms = choose(self._fleet, job)
            if vms:
                self._place(job, vms, plan, now)
            else:
                queue.block(lane.demand)

    def _place(
        self, job: JobRecord, vms: list[VmRecord], plan: Plan, now: float
    ) -> None:
        """Start the next waiting tasks of `job` on `vms`, one on each."""
        for index, vm in zip(list(job.waiting)[: len(vms)], vms, strict=True):
            self._ledger.start(job, index, vm, now)
            plan.placements.append(Placement(TaskId(job.group.job, index), vm.name))
        self._after_waiting_fell(job)

    def _end(self, running: RunningTask) -> None:
        self._ledger.end(running)
        self._offer_lanes(running.job.team.name)

    def _queue(self, job: JobRecord) -> None:
        """Enter `job` in the lane that its waiting tasks belong to."""
        before = job.lane
        queue = self._queues[job.group.urgency]
        lane = queue.add(job)
        if before is not None and before is not lane:
            queue.forget_if_empty(before)

    def _after_waiting_fell(self, job: JobRecord) -> None:
        """Requeue a gang whose rest forms another class; drop an empty lane."""
        if job.waiting and job.group.kind is JobKind.GANG:
            self._queue(job)
        elif not job.waiting and job.lane is not None:
            self._queues[job.group.urgency].forget_if_empty(job.lane)

    def _settle(self, job: JobRecord) -> None:
        """Forget `job` once nothing of it waits or runs."""
        self._after_waiting_fell(job)
        self._ledger.forget_if_done(job)

    def _reorder_all(self) -> None:
        for team in self._ledger.teams.values():
            team.reorder(self._fleet.total)
            self._offer_lanes(team.name)

    def _offer_lanes(self, name: str) -> None:
        """Enter the lanes of a team again after its order fell or its limit rose."""
        for lane in self._ledger.teams[name].lanes.values():
            self._queues[lane.demand.key.urgency].offer(lane)

    def _unblock_grown(self) -> None:
        """Let the classes be served again for which a VM has got room."""
        grown = self._fleet.grown
        if not grown:
            return
        for queue in self._queues.values():
            for size in queue.blocked_sizes():
                if any(vm.reclaimable.holds(size) for vm in grown.values()):
                    queue.unblock_size(size)
        grown.clear()
