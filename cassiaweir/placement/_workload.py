"""The teams, jobs and tasks of a shard, and the resources that they use."""

from __future__ import annotations

import math
from collections.abc import Iterable

from cassiaweir.placement._estimates import Estimates
from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._records import (
    JobRecord,
    RunningTask,
    TeamRecord,
    VmRecord,
)
from cassiaweir.placement._types import TaskGroup
from cassiaweir.types import JobKind, Resources, TaskId

MEAN_SHARE_REFRESH_SECONDS = 0.25
# Tasks of kinds with a lower value are stopped first.
STOP_ORDER = {JobKind.BATCH: 0, JobKind.GANG: 1, JobKind.SERVICE: 2}


class Workload:
    """Keeps the waiting and running tasks by team and by job.

    Each start and end of a task updates its job, team and VM.
    """

    def __init__(
        self, fleet: Fleet, estimates: Estimates, *, fair_share: bool = True
    ) -> None:
        self._fleet = fleet
        self._fair_share = fair_share
        self._estimates = estimates
        self._sequence = 0
        self._mean_share = 0.0
        self._mean_share_at = -math.inf
        self.teams: dict[str, TeamRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.running: dict[TaskId, RunningTask] = {}

    def team(self, name: str) -> TeamRecord:
        """Return the record of a team; a new one has share 0 and an empty allotment."""
        team = self.teams.get(name)
        if team is None:
            team = TeamRecord(name, 0, Resources(), fair_share=self._fair_share)
            self.teams[name] = team
        return team

    def mean_weighted_share(self, now: float) -> float:
        """Return the mean weighted share of the teams with waiting work.

        Teams count by their share.  The mean is computed at most once in
        `MEAN_SHARE_REFRESH_SECONDS`.
        """
        if now - self._mean_share_at >= MEAN_SHARE_REFRESH_SECONDS:
            waiting = [team for team in self.teams.values() if team.lanes]
            shares = sum(team.share for team in waiting)
            weighted_sum = sum(team.weighted_share * team.share for team in waiting)
            self._mean_share = weighted_sum / shares if shares else 0.0
            self._mean_share_at = now
        return self._mean_share

    def job(self, group: TaskGroup) -> JobRecord:
        """Return the record of the job of `group`; create it if there is none."""
        job = self.jobs.get(group.job)
        if job is None:
            self._sequence += 1
            job = JobRecord(
                group,
                self.team(group.team),
                self._sequence,
                self._estimates.of(group),
            )
            self.jobs[group.job] = job
            job.team.jobs[group.job] = job
        return job

    def add_waiting(self, job: JobRecord, indexes: Iterable[int]) -> int:
        """Add the indexes that are not yet waiting, claimed or running.

        Return their number.
        """
        new = {
            index: None
            for index in indexes
            if index not in job.waiting
            and index not in job.running
            and index not in job.claimed
        }
        job.waiting.update(new)
        job.team.wanted.add(job.group.size, len(new))
        return len(new)

    def drop_waiting(self, job: JobRecord) -> None:
        """Drop all waiting and claimed tasks of `job`."""
        count = len(job.waiting) + len(job.claimed)
        job.team.wanted.add(job.group.size, -count)
        job.waiting.clear()
        job.claimed.clear()

    def start(
        self, job: JobRecord, index: int, vm: VmRecord, now: float
    ) -> RunningTask:
        """Count the task as running on `vm` since `now`."""
        size, team = job.group.size, job.team
        if index in job.waiting:
            del job.waiting[index]
        elif index in job.claimed:
            del job.claimed[index]
        else:
            team.wanted.add(size)
        estimates, group = job.estimates, job.group
        task = RunningTask(
            TaskId(group.job, index),
            job,
            vm,
            vm.rack.name,
            now,
            now + estimates.expected_seconds(group),
            estimates.expected_cpu(group),
        )
        job.running[index] = self.running[task.task] = task
        if group.kind is JobKind.SERVICE:
            job.racks[vm.rack.name] = job.racks.get(vm.rack.name, 0) + 1
            job.vms[vm.name] = job.vms.get(vm.name, 0) + 1
        self._fleet.start(task)
        team.used.add(size)
        team.tasks += 1
        team.update_weighted_share(self._fleet.total)
        return task

    def end(self, task: RunningTask) -> None:
        """Remove a running task and free its resources."""
        job = task.job
        del self.running[task.task], job.running[task.task.index]
        if job.group.kind is JobKind.SERVICE:
            _decrement(job.racks, task.rack)
            _decrement(job.vms, task.vm.name)
        self._fleet.end(task)
        job.team.used.add(job.group.size, -1)
        job.team.tasks -= 1
        job.team.wanted.add(job.group.size, -1)
        job.team.update_weighted_share(self._fleet.total)

    def forget_if_done(self, job: JobRecord) -> None:
        """Remove `job` if none of its tasks waits or runs."""
        if not job.waiting and not job.running and not job.claimed:
            self.jobs.pop(job.group.job, None)
            job.team.jobs.pop(job.group.job, None)

    def excess_tasks(self, name: str) -> list[tuple[TaskId, str]]:
        """Return tasks, with their VMs, whose end brings the team within its allotment.

        Batch tasks come first, then gangs, then services; of each kind those that
        started last.  A gang is returned as a whole, and starts again as a whole after
        its last task has ended.
        """
        team = self.teams.get(name)
        if team is None or team.is_within_limit():
            return []
        tasks = [task for job in team.jobs.values() for task in job.running.values()]
        tasks.sort(key=lambda t: (STOP_ORDER[t.job.group.kind], -t.started_at))
        return _choose_until_within_limit(team, tasks)


def _choose_until_within_limit(
    team: TeamRecord, tasks: list[RunningTask]
) -> list[tuple[TaskId, str]]:
    """Return the first tasks, gangs as a whole, whose end suffices for the limit.

    Tasks that use none of the resources above the limit are left out.
    """
    chosen: dict[TaskId, str] = {}
    change = Resources()
    for task in tasks:
        if team.is_within_limit(change):
            break
        if task.task in chosen or not _reduces_excess(
            team, change, task.job.group.size
        ):
            continue
        if task.job.gang:
            task.job.gang_stopping = True
        for member in task.job.running.values() if task.job.gang else (task,):
            chosen[member.task] = member.vm.name
            change = change - task.job.group.size
    return list(chosen.items())


def _reduces_excess(team: TeamRecord, change: Resources, size: Resources) -> bool:
    """Return whether `size` has some of a resource that is above the allotment."""
    used = team.used.resources() + change
    over = (
        used.cpu_millis > team.allotment.cpu_millis and size.cpu_millis,
        used.memory_mb > team.allotment.memory_mb and size.memory_mb,
        used.accelerators > team.allotment.accelerators and size.accelerators,
    )
    return any(over)


def _decrement(counts: dict[str, int], name: str) -> None:
    counts[name] -= 1
    if not counts[name]:
        del counts[name]
