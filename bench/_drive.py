"""Drives a planner through a scenario on a simulated clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hdrh.histogram import HdrHistogram

from bench._load import BenchJob, Scenario
from cassiaweir.placement import Plan, Planner, VmCondition
from cassiaweir.types import Resources, TaskId, TaskState, Team, Urgency

TICK_SECONDS = 0.25
SAMPLE_INTERVAL_TICKS = 4
# Time from a preemption until the task has stopped with its checkpoint.
CHECKPOINT_SECONDS = 0.5
MAX_PLACEMENTS_PER_PLAN = 256
MAX_RECORDED_WAIT_MS = 86_400_000
HISTOGRAM_DIGITS = 3
# The number of first samples without a share distance; each distance is then over a
# window of the last WINDOW_SAMPLES.
WARM_UP_SAMPLES = 60
WINDOW_SAMPLES = 60
WORK_CLASSES = ("urgent", "service", "batch", "gang")


class OvercommittedError(Exception):
    """A planner exceeded the capacity of a VM or the limit of a team, named here."""


@dataclass(slots=True)
class _Attempt:
    """One run of a task on a VM, until it ends or is checkpointed.

    `run_seconds` is how long the task takes from `started_at` to its end, unless it is
    checkpointed before.
    """

    job: BenchJob
    vm: str
    started_at: float
    run_seconds: float


@dataclass(frozen=True, slots=True)
class PackingSample:
    """The number of VMs in use, and a lower bound of it.

    The bound is by volume: the resources in use divided by the capacity of one VM.
    """

    vms_in_use: int
    lower_bound: int


@dataclass(frozen=True, slots=True)
class ShareSample:
    """The dominant share of each team, and the teams with waiting tasks."""

    dominant_shares: dict[str, float]
    backlogged: frozenset[str]


@dataclass(frozen=True, slots=True)
class ShareDistance:
    """How far teams were from their fair shares, as fractions of those shares.

    `furthest` is the largest distance of a team.  `one_task` is the largest quotient of
    a team's largest task and its fair share: one task more or less changes what the
    team holds by that much.  `beyond_one_task` is the largest distance that remains
    after each team's own largest task is subtracted from its distance, at least 0.
    """

    furthest: float
    one_task: float
    beyond_one_task: float


@dataclass(slots=True)
class Outcome:
    """The measurements of a run of one planner through one scenario.

    `waits` has the times from submission to the first start in milliseconds, by class
    of work.  `packing` and `use` are sampled once a second; `use` is the dominant
    fraction of the fleet in use.  `started` counts first starts, `preempted` all
    preemptions.
    """

    waits: dict[str, HdrHistogram]
    packing: list[PackingSample] = field(default_factory=list)
    use: list[float] = field(default_factory=list)
    distances: list[ShareDistance] = field(default_factory=list)
    started: int = 0
    preempted: int = 0
    never_started: int = 0


class Driver:
    """Submits, ends and checkpoints tasks when they are due, and plans in each tick."""

    def __init__(self, make_planner: Callable[[], Planner], scenario: Scenario) -> None:
        self._planner = make_planner()
        self._scenario = scenario
        self._jobs = {job.group.job: job for job in scenario.jobs}
        self._next_job = 0
        # Time, tie breaker, task, and whether it is checkpointed rather than ended.
        self._events: list[tuple[float, int, TaskId, bool]] = []
        self._tie_breaker = itertools.count()
        self._attempts: dict[TaskId, _Attempt] = {}
        self._remaining_seconds: dict[TaskId, float] = {}
        # Submission times of the tasks that have not started yet.
        self._never_started: dict[TaskId, float] = {}
        self._vm_capacity = {vm.name: vm.capacity for vm in scenario.vms}
        self._used_by_vm = dict.fromkeys(self._vm_capacity, Resources())
        self._teams = {team.name: team for team in scenario.teams}
        self._used_by_team = dict.fromkeys(self._teams, Resources())
        self._fleet_capacity = sum(self._vm_capacity.values(), Resources())
        # Numbers of waiting tasks, checkpointed ones included.
        self._waiting_by_team = dict.fromkeys(self._teams, 0)
        self._share_samples: list[ShareSample] = []
        self._largest_task_shares = _dominant_shares_of_largest_tasks(
            scenario, self._fleet_capacity
        )
        self._outcome = Outcome(
            {
                name: HdrHistogram(1, MAX_RECORDED_WAIT_MS, HISTOGRAM_DIGITS)
                for name in WORK_CLASSES
            }
        )

    def run(self) -> Outcome:
        """Run to the horizon and return the measurements.

        A task that has not started by then is recorded with its wait so far.
        """
        for vm in self._scenario.vms:
            self._planner.set_vm(vm, VmCondition.OPEN)
        for team in self._scenario.teams:
            self._planner.set_team(team.name, team.share, team.limit)
        ticks = int(self._scenario.horizon_seconds / TICK_SECONDS)
        for tick in range(ticks + 1):
            now = tick * TICK_SECONDS
            self._submit_due_jobs(now)
            self._run_due_events(now)
            self._plan(now)
            if tick % SAMPLE_INTERVAL_TICKS == 0:
                self._sample()
        for task, submitted_at in self._never_started.items():
            self._record_wait(task, self._scenario.horizon_seconds - submitted_at)
        self._outcome.never_started = len(self._never_started)
        return self._outcome

    def _submit_due_jobs(self, now: float) -> None:
        jobs = self._scenario.jobs
        while self._next_job < len(jobs):
            job = jobs[self._next_job]
            if job.group.submitted_at > now:
                return
            self._next_job += 1
            self._planner.enqueue(job.group)
            self._waiting_by_team[job.group.team] += len(job.run_seconds)
            for index in job.group.indexes:
                task = TaskId(job.group.job, index)
                self._never_started[task] = job.group.submitted_at

    def _run_due_events(self, now: float) -> None:
        """End or checkpoint the tasks whose events are due.

        An end event of an earlier attempt of a task, which was checkpointed, is
        recognized by its time and ignored.
        """
        while self._events and self._events[0][0] <= now:
            at, _, task, checkpoint = heapq.heappop(self._events)
            attempt = self._attempts.get(task)
            if attempt is None:
                continue
            if checkpoint:
                self._checkpoint(task, attempt, at)
            elif at >= attempt.started_at + attempt.run_seconds - TICK_SECONDS / 2:
                self._release(task, attempt)
                self._planner.task_ended(task, TaskState.SUCCEEDED, at)

    def _checkpoint(self, task: TaskId, attempt: _Attempt, at: float) -> None:
        """Stop a task and enqueue it again.

        Its next attempt resumes where this one stopped.
        """
        self._release(task, attempt)
        self._remaining_seconds[task] = max(
            0.0, attempt.run_seconds - (at - attempt.started_at)
        )
        self._planner.task_ended(task, TaskState.CHECKPOINTED, at)
        self._waiting_by_team[attempt.job.group.team] += 1
        self._planner.enqueue(replace(attempt.job.group, indexes=(task.index,)))

    def _release(self, task: TaskId, attempt: _Attempt) -> None:
        del self._attempts[task]
        group = attempt.job.group
        self._used_by_vm[attempt.vm] = self._used_by_vm[attempt.vm] - group.size
        self._used_by_team[group.team] = self._used_by_team[group.team] - group.size

    def _plan(self, now: float) -> None:
        while True:
            plan = self._planner.plan(now, MAX_PLACEMENTS_PER_PLAN)
            self._start(plan, now)
            for preemption in plan.preemptions:
                self._outcome.preempted += 1
                self._schedule(
                    now + CHECKPOINT_SECONDS, preemption.task, checkpoint=True
                )
            if len(plan.placements) < MAX_PLACEMENTS_PER_PLAN:
                return

    def _start(self, plan: Plan, now: float) -> None:
        for placement in plan.placements:
            task, vm = placement.task, placement.vm
            job = self._jobs[task.job]
            run_seconds = self._remaining_seconds.pop(task, job.run_seconds[task.index])
            self._attempts[task] = _Attempt(job, vm, now, run_seconds)
            self._schedule(now + run_seconds, task, checkpoint=False)
            self._add_usage(job, vm)
            self._waiting_by_team[job.group.team] -= 1
            submitted_at = self._never_started.pop(task, None)
            if submitted_at is not None:
                self._outcome.started += 1
                self._record_wait(task, now - submitted_at)

    def _schedule(self, at: float, task: TaskId, *, checkpoint: bool) -> None:
        heapq.heappush(self._events, (at, next(self._tie_breaker), task, checkpoint))

    def _add_usage(self, job: BenchJob, vm: str) -> None:
        """Add a task to the driver's own accounts, independent of the planner's.

        Raises OvercommittedError if a capacity or limit is exceeded.
        """
        team, size = job.group.team, job.group.size
        self._used_by_vm[vm] = self._used_by_vm[vm] + size
        self._used_by_team[team] = self._used_by_team[team] + size
        if not self._used_by_vm[vm].fits(self._vm_capacity[vm]):
            raise OvercommittedError(vm)
        if not self._used_by_team[team].fits(self._teams[team].limit):
            raise OvercommittedError(team)

    def _record_wait(self, task: TaskId, wait_seconds: float) -> None:
        group = self._jobs[task.job].group
        name = "urgent" if group.urgency is Urgency.URGENT else group.kind.value
        wait_ms = min(max(1, round(wait_seconds * 1000)), MAX_RECORDED_WAIT_MS)
        self._outcome.waits[name].record_value(wait_ms)

    def _sample(self) -> None:
        used = sum(self._used_by_vm.values(), Resources())
        vms_in_use = sum(1 for size in self._used_by_vm.values() if size.cpu_millis)
        if vms_in_use:
            sample = PackingSample(vms_in_use, self._min_vms(used))
            self._outcome.packing.append(sample)
        utilization = _dominant_share(used, self._fleet_capacity)
        self._outcome.use.append(utilization)
        dominant_shares = {
            name: _dominant_share(size, self._fleet_capacity)
            for name, size in self._used_by_team.items()
        }
        backlogged = frozenset(
            name for name, count in self._waiting_by_team.items() if count
        )
        self._share_samples.append(ShareSample(dominant_shares, backlogged))
        if len(self._share_samples) > WARM_UP_SAMPLES:
            self._record_share_distance()

    def _min_vms(self, used: Resources) -> int:
        """Return a lower bound of the number of VMs that can hold `used`, by volume."""
        capacity = next(iter(self._vm_capacity.values()))
        return max(
            1,
            -(-used.cpu_millis // capacity.cpu_millis),
            -(-used.memory_mb // capacity.memory_mb),
        )

    def _record_share_distance(self) -> None:
        """Record how far teams were from their fair shares, over WINDOW_SAMPLES.

        Only the teams that had waiting tasks in all samples of the window count.
        """
        window = self._share_samples[-WINDOW_SAMPLES:]
        backlogged = [
            team
            for team in self._scenario.teams
            if all(team.name in sample.backlogged for sample in window)
        ]
        means = [
            sum(sample.dominant_shares[team.name] for sample in window) / len(window)
            for team in backlogged
        ]
        held_per_share_unit = sum(means) / max(
            1, sum(team.share for team in backlogged)
        )
        if held_per_share_unit and len(backlogged) > 1:
            self._outcome.distances.append(
                self._share_distance(backlogged, means, held_per_share_unit)
            )

    def _share_distance(
        self, backlogged: list[Team], means: list[float], held_per_share_unit: float
    ) -> ShareDistance:
        """Compare the mean dominant shares of the teams with their fair shares.

        A team's fair share is its weight times `held_per_share_unit`.
        """
        fair_shares = [team.share * held_per_share_unit for team in backlogged]
        distances = [
            abs(mean / fair_share - 1)
            for mean, fair_share in zip(means, fair_shares, strict=True)
        ]
        one_task = [
            self._largest_task_shares[team.name] / fair_share
            for team, fair_share in zip(backlogged, fair_shares, strict=True)
        ]
        beyond = [
            max(0.0, distance - step)
            for distance, step in zip(distances, one_task, strict=True)
        ]
        return ShareDistance(max(distances), max(one_task), max(beyond))


def _dominant_shares_of_largest_tasks(
    scenario: Scenario, total: Resources
) -> dict[str, float]:
    """Return the dominant share of the fleet that each team's largest task takes."""
    largest = dict.fromkeys((team.name for team in scenario.teams), 0.0)
    for job in scenario.jobs:
        group = job.group
        largest[group.team] = max(
            largest[group.team], _dominant_share(group.size, total)
        )
    return largest


def _dominant_share(used: Resources, total: Resources) -> float:
    return max(used.cpu_millis / total.cpu_millis, used.memory_mb / total.memory_mb)
