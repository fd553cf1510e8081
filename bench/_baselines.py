"""Simple planners with the `Planner` protocol, as baselines for the comparison.

They respect the same capacities and team limits, but have only one queue and one list
of VMs.  They know no urgency, no fair share between teams, no preemption and no
reservation.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from cassiaweir.placement import (
    Placement,
    Plan,
    TaskGroup,
    VmCondition,
    VmOffer,
    WaitReason,
)
from cassiaweir.types import JobKind, Resources, TaskId, TaskState


@dataclass(slots=True)
class _Vm:
    """A VM with its free resources.

    `cpu` is in thousandths of a core, `memory` in MB.
    """

    offer: VmOffer
    condition: VmCondition
    cpu: int
    memory: int
    accelerators: int

    def take(self, size: Resources, sign: int = 1) -> None:
        """Subtract `size` from the free resources; with a `sign` of -1, add it."""
        self.cpu -= sign * size.cpu_millis
        self.memory -= sign * size.memory_mb
        self.accelerators -= sign * size.accelerators


@dataclass(slots=True)
class _Job:
    """A job with the indexes of its waiting tasks, and its running tasks by index.

    `waiting` is an ordered set: only its keys count.  `running` maps an index to the
    VM of the task.
    """

    group: TaskGroup
    waiting: dict[int, None] = field(default_factory=dict)
    running: dict[int, _Vm] = field(default_factory=dict)


class FirstFit:
    """Serves jobs by age, skips those that do not fit, and takes the first VM."""

    def __init__(self) -> None:
        self._vms: dict[str, _Vm] = {}
        self._jobs: dict[str, _Job] = {}
        self._queue: dict[str, _Job] = {}
        self._limits: dict[str, Resources] = {}
        self._used: dict[str, Resources] = {}
        self._changed = True

    def set_vm(self, vm: VmOffer, condition: VmCondition) -> None:
        """Add a VM, or update the condition of a known one."""
        existing = self._vms.get(vm.name)
        if existing is not None:
            existing.condition = condition
        else:
            free = vm.capacity
            self._vms[vm.name] = _Vm(
                vm, condition, free.cpu_millis, free.memory_mb, free.accelerators
            )
        self._changed = True

    def remove_vm(self, name: str) -> None:
        """Remove a VM."""
        self._vms.pop(name, None)

    def set_team(self, name: str, share: int, allotment: Resources) -> None:
        """Add or update a team; the share is ignored."""
        self._limits[name] = allotment
        self._used.setdefault(name, Resources())
        self._changed = True

    def enqueue(self, group: TaskGroup) -> None:
        """Add waiting tasks."""
        job = self._jobs.setdefault(group.job, _Job(group))
        for index in group.indexes:
            if index not in job.running:
                job.waiting[index] = None
        self._queue[group.job] = job
        self._changed = True

    def cancel(self, job: str) -> list[tuple[TaskId, str]]:
        """Drop the job's waiting tasks; return its running tasks with their VMs."""
        record = self._jobs.get(job)
        if record is None:
            return []
        record.waiting.clear()
        self._queue.pop(job, None)
        return [(TaskId(job, i), vm.offer.name) for i, vm in record.running.items()]

    def adopt(self, group: TaskGroup, task: TaskId, vm: str, started_at: float) -> None:
        """Count `task` as running on `vm`."""
        job = self._jobs.setdefault(group.job, _Job(group))
        self._start(job, task.index, self._vms[vm])

    def task_refused(self, task: TaskId, now: float) -> None:
        """Return a placed task to the queue."""
        group = self._jobs[task.job].group
        self.task_ended(task, TaskState.STOPPED, now)
        job = self._jobs.setdefault(task.job, _Job(group))
        job.waiting[task.index] = None
        self._queue[task.job] = job

    def task_ended(self, task: TaskId, state: TaskState, now: float) -> None:
        """Free the resources of `task`."""
        job = self._jobs[task.job]
        vm = job.running.pop(task.index)
        vm.take(job.group.size, -1)
        self._used[job.group.team] = self._used[job.group.team] - job.group.size
        self._changed = True
        if not job.running and not job.waiting:
            del self._jobs[task.job]

    def task_usage(self, task: TaskId, usage: Resources) -> None:
        """Ignore the observed usage."""

    def plan(self, now: float, max_placements: int) -> Plan:
        """Decide on at most `max_placements` placements.

        Returns an empty plan at once if nothing changed since a plan that tried the
        whole queue.
        """
        plan = Plan([], [])
        if not self._changed:
            return plan
        unplaceable: set[tuple[Resources, int]] = set()
        for job in list(self._queue.values()):
            if len(plan.placements) >= max_placements:
                return plan
            if not self._place_tasks(job, plan, max_placements, unplaceable):
                break
        self._changed = False
        return plan

    def _place_tasks(
        self,
        job: _Job,
        plan: Plan,
        max_placements: int,
        unplaceable: set[tuple[Resources, int]],
    ) -> bool:
        """Place tasks of `job`; return whether the jobs behind it may be tried.

        `unplaceable` has the sizes and counts of tasks for which this plan found no
        room, so that they are not searched for again.
        """
        gang = job.group.kind is JobKind.GANG
        while job.waiting and len(plan.placements) < max_placements:
            count = len(job.waiting) if gang else 1
            if not self._within_limit(job, count):
                return self.skips_blocked_jobs()
            if (job.group.size, count) in unplaceable:
                return self.skips_blocked_jobs()
            chosen = self._choose_vms(job, count)
            if not chosen:
                unplaceable.add((job.group.size, count))
                return self.skips_blocked_jobs()
            for index, vm in zip(list(job.waiting)[:count], chosen, strict=True):
                self._start(job, index, vm)
                task = TaskId(job.group.job, index)
                plan.placements.append(Placement(task, vm.offer.name))
        if not job.waiting:
            self._queue.pop(job.group.job, None)
        return True

    def skips_blocked_jobs(self) -> bool:
        """Return whether jobs behind one that cannot start may start."""
        return True

    def _within_limit(self, job: _Job, count: int) -> bool:
        """Return whether the team's limit allows `count` more tasks of `job`."""
        used = self._used[job.group.team] + job.group.size * count
        return used.fits(self._limits[job.group.team])

    def _choose_vms(self, job: _Job, count: int) -> list[_Vm]:
        """Return a VM for each of `count` tasks, or an empty list if not all fit."""
        size, chosen = job.group.size, []
        while len(chosen) < count:
            vm = self.choose_vm(size)
            if vm is None:
                break
            vm.take(size)
            chosen.append(vm)
        for vm in chosen:
            vm.take(size, -1)
        return chosen if len(chosen) == count else []

    def choose_vm(self, size: Resources) -> _Vm | None:
        """Return the first open VM with room for `size`."""
        cpu, memory, accelerators = size.cpu_millis, size.memory_mb, size.accelerators
        for vm in self._vms.values():
            if (
                cpu <= vm.cpu
                and memory <= vm.memory
                and accelerators <= vm.accelerators
                and vm.condition is VmCondition.OPEN
            ):
                return vm
        return None

    def _start(self, job: _Job, index: int, vm: _Vm) -> None:
        job.waiting.pop(index, None)
        job.running[index] = vm
        vm.take(job.group.size)
        self._used[job.group.team] = self._used[job.group.team] + job.group.size

    def excess_tasks(self, team: str) -> Sequence[tuple[TaskId, str]]:
        """Return an empty list; the benchmark does not call this."""
        return []

    def demand(self, team: str) -> Resources:
        """Return the resources of the running tasks; the benchmark does not call it."""
        return self._used[team]

    def allocated(self, team: str) -> Resources:
        """Return the declared resources of the team's running tasks."""
        return self._used[team]

    def wait_reason(self, job: str, now: float) -> WaitReason:
        """Return the same reason for all jobs; the benchmark does not call this."""
        return WaitReason.NO_ROOM

    def fits_some_vm(self, size: Resources) -> bool:
        """Return whether `size` fits the total capacity of a VM."""
        return any(size.fits(vm.offer.capacity) for vm in self._vms.values())


class FirstComeFirstServed(FirstFit):
    """Serves jobs strictly by age: nothing overtakes a job that does not fit."""

    def skips_blocked_jobs(self) -> bool:
        """Return False: jobs behind one that cannot start wait."""
        return False


class FullScanBestFit(FirstFit):
    """Scans all VMs and takes the one with the least free resources that fits."""

    def choose_vm(self, size: Resources) -> _Vm | None:
        """Return the open VM with the least free resources that holds `size`."""
        cpu, memory, accelerators = size.cpu_millis, size.memory_mb, size.accelerators
        best, least = None, float("inf")
        for vm in self._vms.values():
            if (
                cpu <= vm.cpu
                and memory <= vm.memory
                and accelerators <= vm.accelerators
                and vm.condition is VmCondition.OPEN
            ):
                # 4 MB count as a thousandth of a core, about the ratio of VM_CAPACITY.
                free = vm.cpu + vm.memory / 4
                if free < least:
                    best, least = vm, free
        return best
