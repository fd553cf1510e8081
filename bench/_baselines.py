"""Naive planners behind the same Protocol, to measure against.

They keep the same hard rules, one plain queue and one list of VMs.  They know no
urgency, no share between teams, no preemption and no reservation.
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
    """A VM with what is free on it."""

    offer: VmOffer
    condition: VmCondition
    cpu: int
    memory: int
    accelerators: int

    def take(self, size: Resources, sign: int = 1) -> None:
        self.cpu -= sign * size.cpu_millis
        self.memory -= sign * size.memory_mb
        self.accelerators -= sign * size.accelerators


@dataclass(slots=True)
class _Job:
    """A job's waiting indexes and its running tasks with their VMs."""

    group: TaskGroup
    waiting: dict[int, None] = field(default_factory=dict)
    running: dict[int, _Vm] = field(default_factory=dict)


class FirstFit:
    """Serves jobs by age, passes over those that do not fit, takes the first VM."""

    def __init__(self) -> None:
        self._vms: dict[str, _Vm] = {}
        self._jobs: dict[str, _Job] = {}
        self._queue: dict[str, _Job] = {}
        self._limits: dict[str, Resources] = {}
        self._used: dict[str, Resources] = {}
        self._changed = True

    def set_vm(self, vm: VmOffer, condition: VmCondition) -> None:
        """Add or change a VM."""
        known = self._vms.get(vm.name)
        if known is not None:
            known.condition = condition
        else:
            room = vm.capacity
            self._vms[vm.name] = _Vm(
                vm, condition, room.cpu_millis, room.memory_mb, room.accelerators
            )
        self._changed = True

    def remove_vm(self, name: str) -> None:
        """Forget a VM."""
        self._vms.pop(name, None)

    def set_team(self, name: str, share: int, allotment: Resources) -> None:
        """Add or change a team; the share is not used."""
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
        """Drop the job's waiting tasks and return its running ones."""
        record = self._jobs.get(job)
        if record is None:
            return []
        record.waiting.clear()
        self._queue.pop(job, None)
        return [(TaskId(job, i), vm.offer.name) for i, vm in record.running.items()]

    def adopt(self, group: TaskGroup, task: TaskId, vm: str, started_at: float) -> None:
        """Count a task as running."""
        job = self._jobs.setdefault(group.job, _Job(group))
        self._start(job, task.index, self._vms[vm])

    def task_refused(self, task: TaskId, now: float) -> None:
        """Put a placed task back into the queue."""
        group = self._jobs[task.job].group
        self.task_ended(task, TaskState.STOPPED, now)
        job = self._jobs.setdefault(task.job, _Job(group))
        job.waiting[task.index] = None
        self._queue[task.job] = job

    def task_ended(self, task: TaskId, state: TaskState, now: float) -> None:
        """Free what the task held."""
        job = self._jobs[task.job]
        vm = job.running.pop(task.index)
        vm.take(job.group.size, -1)
        self._used[job.group.team] = self._used[job.group.team] - job.group.size
        self._changed = True
        if not job.running and not job.waiting:
            del self._jobs[task.job]

    def task_usage(self, task: TaskId, usage: Resources) -> None:
        """Ignore the observed use."""

    def plan(self, now: float, max_placements: int) -> Plan:
        """Decide on at most `max_placements` placements."""
        plan = Plan([], [])
        if not self._changed:
            return plan
        failed: set[tuple[Resources, int]] = set()
        for job in list(self._queue.values()):
            if len(plan.placements) >= max_placements:
                return plan
            if not self._serve(job, plan, max_placements, failed):
                break
        self._changed = False
        return plan

    def _serve(
        self,
        job: _Job,
        plan: Plan,
        max_placements: int,
        failed: set[tuple[Resources, int]],
    ) -> bool:
        """Start tasks of `job`; tell whether the jobs behind it may be tried."""
        gang = job.group.kind is JobKind.GANG
        while job.waiting and len(plan.placements) < max_placements:
            need = len(job.waiting) if gang else 1
            if not self._allows(job, need):
                return self.passes_over()
            if (job.group.size, need) in failed:
                return self.passes_over()
            chosen = self._choose_all(job, need)
            if not chosen:
                failed.add((job.group.size, need))
                return self.passes_over()
            for index, vm in zip(list(job.waiting)[:need], chosen, strict=True):
                self._start(job, index, vm)
                task = TaskId(job.group.job, index)
                plan.placements.append(Placement(task, vm.offer.name))
        if not job.waiting:
            self._queue.pop(job.group.job, None)
        return True

    def passes_over(self) -> bool:
        """Tell whether work behind a job that cannot start may start."""
        return True

    def _allows(self, job: _Job, count: int) -> bool:
        used = self._used[job.group.team] + job.group.size * count
        return used.fits(self._limits[job.group.team])

    def _choose_all(self, job: _Job, need: int) -> list[_Vm]:
        """Return a VM for each of `need` tasks, or nothing."""
        size, chosen = job.group.size, []
        while len(chosen) < need:
            vm = self.choose(size)
            if vm is None:
                break
            vm.take(size)
            chosen.append(vm)
        for vm in chosen:
            vm.take(size, -1)
        return chosen if len(chosen) == need else []

    def choose(self, size: Resources) -> _Vm | None:
        """Return the first VM with room."""
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
        """Return nothing; not a part of the comparison."""
        return []

    def demand(self, team: str) -> Resources:
        """Return what the team runs; not a part of the comparison."""
        return self._used[team]

    def allocated(self, team: str) -> Resources:
        """Return what the team runs."""
        return self._used[team]

    def wait_reason(self, job: str, now: float) -> WaitReason:
        """Return one reason for all; not a part of the comparison."""
        return WaitReason.NO_ROOM

    def fits_some_vm(self, size: Resources) -> bool:
        """Tell whether a VM could hold `size`."""
        return any(size.fits(vm.offer.capacity) for vm in self._vms.values())


class FirstComeFirstServed(FirstFit):
    """Serves jobs strictly by age: nothing passes a job that does not fit."""

    def passes_over(self) -> bool:
        """Hold back everything behind a job that cannot start."""
        return False


class FullScanBestFit(FirstFit):
    """Looks at every VM and takes the one that is left with the least room."""

    def choose(self, size: Resources) -> _Vm | None:
        """Return the VM with the least free room that holds `size`."""
        cpu, memory, accelerators = size.cpu_millis, size.memory_mb, size.accelerators
        best, least = None, float("inf")
        for vm in self._vms.values():
            if (
                cpu <= vm.cpu
                and memory <= vm.memory
                and accelerators <= vm.accelerators
                and vm.condition is VmCondition.OPEN
            ):
                left = vm.cpu + vm.memory / 4
                if left < least:
                    best, least = vm, left
        return best
