"""Measures the processor time of a scheduling decision at several fleet sizes."""

from __future__ import annotations

import gc
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from bench._load import VM_CAPACITY
from cassiaweir.placement import Planner, TaskGroup, VmCondition, VmOffer
from cassiaweir.types import JobKind, Resources, TaskId, TaskState, Urgency

# Pairs of the number of VMs and the number of running tasks.
FLEET_SIZES = ((24, 330), (350, 4_750), (1_400, 19_000))
TEAMS = 320
TASK_STARTS_PER_SECOND = 140
DECISIONS_PER_MEASUREMENT = 6_000
BACKLOG_JOBS = 4_000
VMS_PER_RACK = 8
TASK_SIZES = tuple(
    Resources(cpu, memory)
    for cpu in (250, 500, 1000, 2000)
    for memory in (1024, 2048, 4096)
)
MAX_RECORDED_NS = 10_000_000_000
HISTOGRAM_DIGITS = 3
# Arguments of gc.set_threshold.
RARE_GC_THRESHOLDS = (20_000, 50, 100)
UNLIMITED = Resources(10**9, 10**9, 10**6)


@dataclass(slots=True)
class Cost:
    """The processor times of one measurement, in nanoseconds per placed task.

    `plan_ns` has the times of the calls of `plan`, `step_ns` the times of whole steps:
    task ends, submissions and the call of `plan` that follows them.  `running` is the
    number of running tasks at the end.  `regime` says whether the fleet has room or a
    backlog, how many decisions a call may make, and whether the garbage collector
    runs rarely.
    """

    planner: str
    vms: int
    regime: str
    running: int = 0
    plan_ns: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_RECORDED_NS, HISTOGRAM_DIGITS)
    )
    step_ns: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_RECORDED_NS, HISTOGRAM_DIGITS)
    )


class _Churn:
    """Ends and starts tasks at a steady rate on a fleet filled at the start."""

    def __init__(self, planner: Planner, vms: int, tasks: int, seed: int) -> None:
        self._planner = planner
        self._random = random.Random(seed)
        self._job_numbers = itertools.count()
        self._now = 0.0
        self.running: list[TaskId] = []
        for number in range(vms):
            rack = f"rack{number // VMS_PER_RACK}"
            offer = VmOffer(f"vm{number}", "augusta", rack, VM_CAPACITY)
            planner.set_vm(offer, VmCondition.OPEN)
        for number in range(TEAMS):
            planner.set_team(f"team{number}", self._random.choice((1, 2, 4)), UNLIMITED)
        while len(self.running) < tasks:
            before = len(self.running)
            self.submit(tasks - before, JobKind.SERVICE if before % 5 == 0 else None)
            self.plan(256)

    def submit(self, max_tasks: int, kind: JobKind | None = None) -> None:
        """Submit a job of 1, 2 or 4 tasks, but at most `max_tasks`.

        Without `kind`, one job in twenty is a service and the others are batch runs.
        """
        service = self._random.random() < 0.05
        kind = kind or (JobKind.SERVICE if service else JobKind.BATCH)
        tasks = min(max_tasks, self._random.choice((1, 2, 4)))
        group = TaskGroup(
            job=f"job{next(self._job_numbers)}",
            team=f"team{self._random.randrange(TEAMS)}",
            kind=kind,
            urgency=Urgency.NORMAL,
            size=self._random.choice(TASK_SIZES),
            indexes=tuple(range(tasks)),
            submitted_at=self._now,
            declared_seconds=0 if kind is JobKind.SERVICE else 120,
        )
        self._planner.enqueue(group)

    def plan(self, max_placements: int) -> int:
        """Run one plan, record the placed tasks as running, and return their number."""
        plan = self._planner.plan(self._now, max_placements)
        self.running += [placement.task for placement in plan.placements]
        return len(plan.placements)

    def step(self, cost: Cost, count: int, *, submit: bool) -> None:
        """End `count` random tasks, then run one plan, and record the times in `cost`.

        With `submit`, a job of one task is submitted for each task that ended.
        """
        self._now += count / TASK_STARTS_PER_SECOND
        ended = [self._pop_random_running() for _ in range(count)]
        step_began_ns = time.thread_time_ns()
        for task in ended:
            self._planner.task_ended(task, TaskState.SUCCEEDED, self._now)
            if submit:
                self.submit(1)
        plan_began_ns = time.thread_time_ns()
        placed = self.plan(count)
        ended_ns = time.thread_time_ns()
        if placed:
            cost.plan_ns.record_value((ended_ns - plan_began_ns) // placed)
            cost.step_ns.record_value((ended_ns - step_began_ns) // placed)

    def _pop_random_running(self) -> TaskId:
        """Remove a random running task and return it."""
        number = self._random.randrange(len(self.running))
        self.running[number], self.running[-1] = self.running[-1], self.running[number]
        return self.running.pop()


def measure_cost(
    name: str,
    make_planner: Callable[[], Planner],
    vms: int,
    tasks: int,
    seed: int,
    *,
    backlog: bool,
    decisions_per_plan: int = 1,
    rare_gc: bool = False,
) -> Cost:
    """Return the cost with room for all tasks or, with `backlog`, on a full fleet.

    `decisions_per_plan` is how many placements a call of `plan` may make.  With
    `rare_gc` the cyclic garbage collector ignores the objects that exist before the
    measurement, and runs rarely.
    """
    churn = _Churn(make_planner(), vms, tasks, seed)
    regime = (
        f"{'full' if backlog else 'room'}/{decisions_per_plan}"
        f"{' gc' if rare_gc else ''}"
    )
    cost = Cost(name, vms, regime)
    if backlog:
        _fill_with_backlog(churn, vms)
    thresholds = gc.get_threshold()
    if rare_gc:
        gc.freeze()
        gc.set_threshold(*RARE_GC_THRESHOLDS)
    for _ in range(DECISIONS_PER_MEASUREMENT // decisions_per_plan):
        churn.step(cost, decisions_per_plan, submit=not backlog)
    cost.running = len(churn.running)
    gc.unfreeze()
    gc.set_threshold(*thresholds)
    return cost


def _fill_with_backlog(churn: _Churn, vms: int) -> None:
    """Submit jobs until no more tasks start, then submit BACKLOG_JOBS more."""
    while True:
        for _ in range(max(20, vms // 10)):
            churn.submit(4, JobKind.BATCH)
        if not churn.plan(10_000):
            break
    for _ in range(BACKLOG_JOBS):
        churn.submit(4, JobKind.BATCH)
