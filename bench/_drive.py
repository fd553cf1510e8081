"""Drives a planner through a scenario with an injected clock."""

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
SAMPLE_TICKS = 4
CHECKPOINT_SECONDS = 0.5
PLACEMENTS_PER_PLAN = 256
HIGHEST_MILLISECONDS = 86_400_000
SIGNIFICANT_DIGITS = 3
WARM_UP_SAMPLES = 60
WINDOW_SAMPLES = 60
CLASSES = ("urgent", "service", "batch", "gang")


class OvercommittedError(Exception):
    """A planner passed a capacity or a limit."""


@dataclass(slots=True)
class _Attempt:
    """A running task, its VM and how many true seconds it still takes."""

    job: BenchJob
    vm: str
    started_at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class PackingSample:
    """How many VMs are in use, and the least number by volume."""

    in_use: int
    bound: int


@dataclass(frozen=True, slots=True)
class ShareSample:
    """The dominant share of each team, and the teams with waiting work."""

    held: dict[str, float]
    hungry: frozenset[str]


@dataclass(frozen=True, slots=True)
class ShareDistance:
    """How far the furthest team was from its share, as parts of that share.

    `one_task` is the largest task of a team with the least share for its tasks: the
    step in which such a team can hold more or less.  `beyond` is the distance of the
    team furthest from its share after one task of its own was taken off.
    """

    furthest: float
    one_task: float
    beyond: float


@dataclass(slots=True)
class Outcome:
    """What a run of one planner through one scenario gave."""

    waits: dict[str, HdrHistogram]
    packing: list[PackingSample] = field(default_factory=list)
    use: list[float] = field(default_factory=list)
    distances: list[ShareDistance] = field(default_factory=list)
    started: int = 0
    preempted: int = 0
    never_started: int = 0


class Driver:
    """Submits, ends and checkpoints tasks at their moments, and plans each tick."""

    def __init__(self, make_planner: Callable[[], Planner], scenario: Scenario) -> None:
        self._planner = make_planner()
        self._scenario = scenario
        self._jobs = {job.group.job: job for job in scenario.jobs}
        self._next_job = 0
        self._events: list[tuple[float, int, TaskId, bool]] = []
        self._tie = itertools.count()
        self._attempts: dict[TaskId, _Attempt] = {}
        self._left: dict[TaskId, float] = {}
        self._waiting: dict[TaskId, float] = {}
        self._capacity = {vm.name: vm.capacity for vm in scenario.vms}
        self._used = dict.fromkeys(self._capacity, Resources())
        self._teams = {team.name: team for team in scenario.teams}
        self._by_team = dict.fromkeys(self._teams, Resources())
        self._total = sum(self._capacity.values(), Resources())
        self._hunger = dict.fromkeys(self._teams, 0)
        self._window: list[ShareSample] = []
        self._largest_task = _largest_tasks(scenario, self._total)
        self._outcome = Outcome(
            {
                name: HdrHistogram(1, HIGHEST_MILLISECONDS, SIGNIFICANT_DIGITS)
                for name in CLASSES
            }
        )

    def run(self) -> Outcome:
        """Run to the horizon; work that waits then counts with its wait so far."""
        for vm in self._scenario.vms:
            self._planner.set_vm(vm, VmCondition.OPEN)
        for team in self._scenario.teams:
            self._planner.set_team(team.name, team.share, team.limit)
        ticks = int(self._scenario.horizon_seconds / TICK_SECONDS)
        for tick in range(ticks + 1):
            now = tick * TICK_SECONDS
            self._submit(now)
            self._end(now)
            self._plan(now)
            if tick % SAMPLE_TICKS == 0:
                self._sample()
        for task, submitted_at in self._waiting.items():
            self._record_wait(task, self._scenario.horizon_seconds - submitted_at)
        self._outcome.never_started = len(self._waiting)
        return self._outcome

    def _submit(self, now: float) -> None:
        jobs = self._scenario.jobs
        while self._next_job < len(jobs):
            job = jobs[self._next_job]
            if job.group.submitted_at > now:
                return
            self._next_job += 1
            self._planner.enqueue(job.group)
            self._hunger[job.group.team] += len(job.seconds)
            for index in job.group.indexes:
                task = TaskId(job.group.job, index)
                self._waiting[task] = job.group.submitted_at

    def _end(self, now: float) -> None:
        while self._events and self._events[0][0] <= now:
            at, _, task, checkpoint = heapq.heappop(self._events)
            attempt = self._attempts.get(task)
            if attempt is None:
                continue
            if checkpoint:
                self._checkpoint(task, attempt, at)
            elif at >= attempt.started_at + attempt.seconds - TICK_SECONDS / 2:
                self._free(task, attempt)
                self._planner.task_ended(task, TaskState.SUCCEEDED, at)

    def _checkpoint(self, task: TaskId, attempt: _Attempt, at: float) -> None:
        """Stop a task; it goes on later from where it is."""
        self._free(task, attempt)
        self._left[task] = max(0.0, attempt.seconds - (at - attempt.started_at))
        self._planner.task_ended(task, TaskState.CHECKPOINTED, at)
        self._hunger[attempt.job.group.team] += 1
        self._planner.enqueue(replace(attempt.job.group, indexes=(task.index,)))

    def _free(self, task: TaskId, attempt: _Attempt) -> None:
        del self._attempts[task]
        group = attempt.job.group
        self._used[attempt.vm] = self._used[attempt.vm] - group.size
        self._by_team[group.team] = self._by_team[group.team] - group.size

    def _plan(self, now: float) -> None:
        while True:
            plan = self._planner.plan(now, PLACEMENTS_PER_PLAN)
            self._start(plan, now)
            for preemption in plan.preemptions:
                self._outcome.preempted += 1
                self._push(now + CHECKPOINT_SECONDS, preemption.task, checkpoint=True)
            if len(plan.placements) < PLACEMENTS_PER_PLAN:
                return

    def _start(self, plan: Plan, now: float) -> None:
        for placement in plan.placements:
            task, vm = placement.task, placement.vm
            job = self._jobs[task.job]
            seconds = self._left.pop(task, job.seconds[task.index])
            self._attempts[task] = _Attempt(job, vm, now, seconds)
            self._push(now + seconds, task, checkpoint=False)
            self._count(job, vm)
            self._hunger[job.group.team] -= 1
            submitted_at = self._waiting.pop(task, None)
            if submitted_at is not None:
                self._outcome.started += 1
                self._record_wait(task, now - submitted_at)

    def _push(self, at: float, task: TaskId, *, checkpoint: bool) -> None:
        heapq.heappush(self._events, (at, next(self._tie), task, checkpoint))

    def _count(self, job: BenchJob, vm: str) -> None:
        """Add a task to the bench's own books, which must never be passed."""
        team, size = job.group.team, job.group.size
        self._used[vm] = self._used[vm] + size
        self._by_team[team] = self._by_team[team] + size
        if not self._used[vm].fits(self._capacity[vm]):
            raise OvercommittedError(vm)
        if not self._by_team[team].fits(self._teams[team].limit):
            raise OvercommittedError(team)

    def _record_wait(self, task: TaskId, seconds: float) -> None:
        group = self._jobs[task.job].group
        name = "urgent" if group.urgency is Urgency.URGENT else group.kind.value
        millis = min(max(1, round(seconds * 1000)), HIGHEST_MILLISECONDS)
        self._outcome.waits[name].record_value(millis)

    def _sample(self) -> None:
        used = sum(self._used.values(), Resources())
        in_use = sum(1 for size in self._used.values() if size.cpu_millis)
        if in_use:
            sample = PackingSample(in_use, self._lower_bound(used))
            self._outcome.packing.append(sample)
        dominant = _dominant(used, self._total)
        self._outcome.use.append(dominant)
        held = {
            name: _dominant(size, self._total) for name, size in self._by_team.items()
        }
        hungry = frozenset(name for name, count in self._hunger.items() if count)
        self._window.append(ShareSample(held, hungry))
        if len(self._window) > WARM_UP_SAMPLES:
            self._sample_shares()

    def _lower_bound(self, used: Resources) -> int:
        """Return the least number of VMs that could hold what runs, by volume."""
        capacity = next(iter(self._capacity.values()))
        return max(
            1,
            -(-used.cpu_millis // capacity.cpu_millis),
            -(-used.memory_mb // capacity.memory_mb),
        )

    def _sample_shares(self) -> None:
        """Note how far the furthest team was from its share over a minute.

        Only teams count that had waiting work all the time.
        """
        window = self._window[-WINDOW_SAMPLES:]
        hungry = [
            team
            for team in self._scenario.teams
            if all(team.name in sample.hungry for sample in window)
        ]
        means = [
            sum(sample.held[team.name] for sample in window) / len(window)
            for team in hungry
        ]
        level = sum(means) / max(1, sum(team.share for team in hungry))
        if level and len(hungry) > 1:
            self._outcome.distances.append(self._distance(hungry, means, level))

    def _distance(
        self, hungry: list[Team], means: list[float], level: float
    ) -> ShareDistance:
        """Compare what teams held with their shares and with their largest tasks."""
        due = [team.share * level for team in hungry]
        far = [abs(mean / part - 1) for mean, part in zip(means, due, strict=True)]
        steps = [
            self._largest_task[team.name] / part
            for team, part in zip(hungry, due, strict=True)
        ]
        beyond = [max(0.0, a - step) for a, step in zip(far, steps, strict=True)]
        return ShareDistance(max(far), max(steps), max(beyond))


def _largest_tasks(scenario: Scenario, total: Resources) -> dict[str, float]:
    """Return the dominant part of the fleet that the largest task of a team takes."""
    largest = dict.fromkeys((team.name for team in scenario.teams), 0.0)
    for job in scenario.jobs:
        group = job.group
        largest[group.team] = max(largest[group.team], _dominant(group.size, total))
    return largest


def _dominant(used: Resources, total: Resources) -> float:
    return max(used.cpu_millis / total.cpu_millis, used.memory_mb / total.memory_mb)
