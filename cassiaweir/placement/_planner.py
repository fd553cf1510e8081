"""The planner: urgent work first, then weighted dominant-resource fair share."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta

from cassiaweir.placement._estimates import Estimates
from cassiaweir.placement._explain import explain
from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._records import JobRecord, RunningTask
from cassiaweir.placement._round import Rounds
from cassiaweir.placement._types import (
    Plan,
    TaskGroup,
    VmCondition,
    VmOffer,
    WaitReason,
)
from cassiaweir.placement._workload import Workload
from cassiaweir.types import Resources, TaskId, TaskState, Urgency

AGEING_BOUND = timedelta(minutes=2)
URGENT_AGEING_BOUND = timedelta(milliseconds=500)


def _never_poisoned(job: str) -> bool:
    return False


class FairPlanner:
    """Implements `Planner` for one shard; pure, without a clock of its own.

    `ageing_bound` and `urgent_ageing_bound` say how long equal demands of a team
    wait without a start before their oldest job gets a reservation.  `is_poisoned`
    tells whether a job must not start any more.  Without `fair_share` all teams have
    the same order, so that work goes by age alone; the bench compares with that.
    """

    def __init__(
        self,
        *,
        ageing_bound: timedelta = AGEING_BOUND,
        urgent_ageing_bound: timedelta = URGENT_AGEING_BOUND,
        is_poisoned: Callable[[str], bool] = _never_poisoned,
        fair_share: bool = True,
    ) -> None:
        bounds = {
            Urgency.URGENT: urgent_ageing_bound.total_seconds(),
            Urgency.NORMAL: ageing_bound.total_seconds(),
        }
        self._is_poisoned = is_poisoned
        self._capacity_changed = False
        self._fleet = Fleet()
        self._workload = Workload(self._fleet, Estimates(), fair_share=fair_share)
        self._rounds = Rounds(self._fleet, self._workload, bounds, is_poisoned)

    def set_vm(self, vm: VmOffer, condition: VmCondition) -> None:
        """Add or change a VM."""
        known = self._fleet.vms.get(vm.name)
        if known is None or known.capacity != vm.capacity:
            self._capacity_changed = True
        self._fleet.set_vm(vm, condition)

    def remove_vm(self, name: str) -> None:
        """Forget a VM; one that still runs tasks is closed until they ended."""
        self._fleet.remove_vm(name)
        self._capacity_changed = True

    def set_team(self, name: str, share: int, allotment: Resources) -> None:
        """Add or change a team; `allotment` bounds what it runs in this shard."""
        team = self._workload.team(name)
        team.share, team.allotment = share, allotment
        team.reorder(self._fleet.total)
        self._rounds.offer_lanes(team)

    def enqueue(self, group: TaskGroup) -> None:
        """Add waiting tasks; those already known are left as they are."""
        job = self._workload.job(group)
        self._workload.add_waiting(job, group.indexes)
        if job.waiting:
            self._rounds.queue(job)

    def cancel(self, job: str) -> list[tuple[TaskId, str]]:
        """Drop the job's waiting tasks and return its running ones with their VMs."""
        record = self._workload.jobs.get(job)
        if record is None:
            return []
        running = [(task.task, task.vm.name) for task in record.running.values()]
        if record.claimed:
            self._rounds.preemptor.close_all_of(record)
        self._workload.drop_waiting(record)
        self._settle(record)
        return running

    def adopt(self, group: TaskGroup, task: TaskId, vm: str, started_at: float) -> None:
        """Count `task` of `group` as running on `vm`, whatever the limits say."""
        if task in self._workload.running:
            return
        if vm not in self._fleet.vms:
            unknown = VmOffer(vm, "", "", Resources())
            self._fleet.set_vm(unknown, VmCondition.UNREACHABLE)
        job = self._workload.job(group)
        if task.index in job.claimed:
            self._rounds.preemptor.close_all_of(job)
            job.waiting.update(job.claimed)
            job.claimed.clear()
            self._rounds.queue(job)
        self._workload.start(job, task.index, self._fleet.vms[vm], started_at)
        self._rounds.waiting_fell(job)

    def task_refused(self, task: TaskId, now: float) -> None:
        """Put a placed task that certainly did not start back into the queue."""
        running = self._workload.running.get(task)
        if running is None:
            return
        self._end(running)
        self._workload.add_waiting(running.job, (task.index,))
        self._rounds.queue(running.job)

    def task_ended(self, task: TaskId, state: TaskState, now: float) -> None:
        """Free what `task` held; it is not queued again unless enqueued again."""
        running = self._workload.running.get(task)
        if running is None:
            return
        if state is TaskState.SUCCEEDED:
            seconds = now - running.started_at
            running.job.estimates.note_duration(running.job.group, seconds)
        self._end(running)
        self._settle(running.job)

    def task_usage(self, task: TaskId, usage: Resources) -> None:
        """Note the observed use of a running task."""
        running = self._workload.running.get(task)
        if running is not None:
            running.job.estimates.note_usage(running.job.group, usage)
            running.vm.expected_cpu += usage.cpu_millis - running.expected_cpu
            running.expected_cpu = usage.cpu_millis

    def plan(self, now: float, max_placements: int) -> Plan:
        """Decide on up to `max_placements` starts and the preemptions they need.

        A gang of more than `max_placements` tasks is placed in a plan of its own.
        """
        if self._capacity_changed:
            self._capacity_changed = False
            self._reorder_all()
        return self._rounds.plan(now, max_placements)

    def excess_tasks(self, team: str) -> Sequence[tuple[TaskId, str]]:
        """Return the tasks to stop so that the team is within its allotment."""
        return self._workload.excess_tasks(team)

    def demand(self, team: str) -> Resources:
        """Return what the team runs and waits for in this shard."""
        return self._workload.team(team).wanted.resources()

    def allocated(self, team: str) -> Resources:
        """Return what the team runs in this shard."""
        return self._workload.team(team).used.resources()

    def wait_reason(self, job: str, now: float) -> WaitReason:
        """Say why the job's tasks wait."""
        if self._is_poisoned(job):
            return WaitReason.POISONED
        return explain(self._fleet, self._workload.jobs.get(job), now)

    def fits_some_vm(self, size: Resources) -> bool:
        """Tell whether a VM of this shard could ever hold `size`."""
        return self._fleet.fits_some_vm(size)

    def _end(self, running: RunningTask) -> None:
        self._rounds.preemptor.victim_ended(running.task)
        self._workload.end(running)
        self._rounds.offer_lanes(running.job.team)

    def _settle(self, job: JobRecord) -> None:
        """Forget `job` once nothing of it waits or runs."""
        if job.waiting and (job.draining or self._is_poisoned(job.group.job)):
            self._rounds.queue(job)
        self._rounds.waiting_fell(job)
        self._workload.forget_if_done(job)

    def _reorder_all(self) -> None:
        for team in self._workload.teams.values():
            team.reorder(self._fleet.total)
            self._rounds.offer_lanes(team)
