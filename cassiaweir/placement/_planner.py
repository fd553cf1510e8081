"""The production planner: urgent work first, then weighted dominant-resource fairness.

Changes from outside update the fleet and the workload here; `RoundPlanner` decides.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta

from cassiaweir.placement._estimates import Estimates
from cassiaweir.placement._explain import explain
from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._records import JobRecord, RunningTask
from cassiaweir.placement._round import RoundPlanner
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
    """Implements `Planner` for one shard, without input, output or a clock.

    `ageing_bound` and `urgent_ageing_bound` are how long jobs of a team with equal
    demand wait without a start before the oldest gets a reservation; `_reservation`
    describes when it is earlier or later.  `is_poisoned`
    returns whether a job must not start any more.  Without `fair_share` all teams have
    the same weighted share, so that jobs are served by age alone; the benchmark
    compares with that.
    """

    def __init__(
        self,
        *,
        ageing_bound: timedelta = AGEING_BOUND,
        urgent_ageing_bound: timedelta = URGENT_AGEING_BOUND,
        is_poisoned: Callable[[str], bool] = _never_poisoned,
        fair_share: bool = True,
    ) -> None:
        bound_seconds_by_urgency = {
            Urgency.URGENT: urgent_ageing_bound.total_seconds(),
            Urgency.NORMAL: ageing_bound.total_seconds(),
        }
        self._is_poisoned = is_poisoned
        self._capacity_changed = False
        self._fleet = Fleet()
        self._workload = Workload(self._fleet, Estimates(), fair_share=fair_share)
        self._round_planner = RoundPlanner(
            self._fleet, self._workload, bound_seconds_by_urgency, is_poisoned
        )

    def set_vm(self, vm: VmOffer, condition: VmCondition) -> None:
        """Add a VM, or update its capacity, rack and condition."""
        known = self._fleet.vms.get(vm.name)
        if known is None or known.capacity != vm.capacity:
            self._capacity_changed = True
        self._fleet.set_vm(vm, condition)

    def remove_vm(self, name: str) -> None:
        """Remove a VM; while tasks run on it, it only takes no new ones."""
        self._fleet.remove_vm(name)
        self._capacity_changed = True

    def set_team(self, name: str, share: int, allotment: Resources) -> None:
        """Add or update a team; `allotment` limits its running tasks in this shard."""
        team = self._workload.team(name)
        team.share, team.allotment = share, allotment
        team.update_weighted_share(self._fleet.total)
        self._round_planner.push_lanes(team)

    def enqueue(self, group: TaskGroup) -> None:
        """Add waiting tasks; those that already wait or run are left unchanged."""
        job = self._workload.job(group)
        self._workload.add_waiting(job, group.indexes)
        if job.waiting:
            self._round_planner.queue(job)

    def cancel(self, job: str) -> list[tuple[TaskId, str]]:
        """Drop the job's waiting tasks; return its running tasks with their VMs."""
        record = self._workload.jobs.get(job)
        if record is None:
            return []
        running = [(task.task, task.vm.name) for task in record.running.values()]
        if record.claimed:
            self._round_planner.preemptor.close_all_of(record)
        self._workload.drop_waiting(record)
        self._clean_up_job(record)
        return running

    def adopt(self, group: TaskGroup, task: TaskId, vm: str, started_at: float) -> None:
        """Count `task` of `group` as running on `vm`, even beyond the limits.

        A VM that is not known is added with no capacity, as unreachable.
        """
        if task in self._workload.running:
            return
        if vm not in self._fleet.vms:
            unknown = VmOffer(vm, "", "", Resources())
            self._fleet.set_vm(unknown, VmCondition.UNREACHABLE)
        job = self._workload.job(group)
        if task.index in job.claimed:
            self._round_planner.preemptor.close_all_of(job)
            job.waiting.update(job.claimed)
            job.claimed.clear()
            self._round_planner.queue(job)
        self._workload.start(job, task.index, self._fleet.vms[vm], started_at)
        self._round_planner.waiting_decreased(job)

    def task_refused(self, task: TaskId, now: float) -> None:
        """Return a placed task to the queue; it is certain that it did not start."""
        running = self._workload.running.get(task)
        if running is None:
            return
        self._end(running)
        self._workload.add_waiting(running.job, (task.index,))
        self._round_planner.queue(running.job)

    def task_ended(self, task: TaskId, state: TaskState, now: float) -> None:
        """Free the resources of `task`; it waits again only if it is enqueued again."""
        running = self._workload.running.get(task)
        if running is None:
            return
        if state is TaskState.SUCCEEDED:
            seconds = now - running.started_at
            running.job.estimates.record_duration(running.job.group, seconds)
        self._end(running)
        self._clean_up_job(running.job)

    def task_usage(self, task: TaskId, usage: Resources) -> None:
        """Record the observed resource usage of a running task."""
        running = self._workload.running.get(task)
        if running is not None:
            running.job.estimates.record_usage(running.job.group, usage)
            running.vm.expected_cpu += usage.cpu_millis - running.expected_cpu
            running.expected_cpu = usage.cpu_millis

    def plan(self, now: float, max_placements: int) -> Plan:
        """Decide on at most `max_placements` placements and the preemptions needed.

        A gang of more than `max_placements` tasks is placed in a plan of its own.
        """
        if self._capacity_changed:
            self._capacity_changed = False
            self._update_all_shares()
        return self._round_planner.plan(now, max_placements)

    def excess_tasks(self, team: str) -> Sequence[tuple[TaskId, str]]:
        """Return the tasks, with their VMs, to stop to bring the team to its allotment.

        The list is empty if the team is within its allotment.
        """
        return self._workload.excess_tasks(team)

    def demand(self, team: str) -> Resources:
        """Return the declared resources of the team's running and waiting tasks."""
        return self._workload.team(team).wanted.resources()

    def allocated(self, team: str) -> Resources:
        """Return the declared resources of the team's running tasks in this shard."""
        return self._workload.team(team).used.resources()

    def wait_reason(self, job: str, now: float) -> WaitReason:
        """Return the reason why the job's waiting tasks do not start."""
        if self._is_poisoned(job):
            return WaitReason.POISONED
        return explain(self._fleet, self._workload.jobs.get(job), now)

    def fits_some_vm(self, size: Resources) -> bool:
        """Return whether `size` fits the total capacity of a VM of this shard."""
        return self._fleet.fits_some_vm(size)

    def _end(self, running: RunningTask) -> None:
        self._round_planner.preemptor.victim_ended(running.task)
        self._workload.end(running)
        self._round_planner.push_lanes(running.job.team)

    def _clean_up_job(self, job: JobRecord) -> None:
        """Update the queues after tasks of `job` ended or were dropped.

        Remove the job if none of its tasks waits or runs.
        """
        if job.waiting and (job.gang_stopping or self._is_poisoned(job.group.job)):
            self._round_planner.queue(job)
        self._round_planner.waiting_decreased(job)
        self._workload.forget_if_done(job)

    def _update_all_shares(self) -> None:
        for team in self._workload.teams.values():
            team.update_weighted_share(self._fleet.total)
            self._round_planner.push_lanes(team)
