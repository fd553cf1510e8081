"""Measures the time of a decision at several sizes of fleet."""

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

FLEETS = ((24, 330), (350, 4_750), (1_400, 19_000))
TEAMS = 320
STARTS_PER_SECOND = 140
DECISIONS = 6_000
BACKLOG_TASKS = 4_000
VMS_PER_RACK = 8
SIZES = tuple(
    Resources(cpu, memory)
    for cpu in (250, 500, 1000, 2000)
    for memory in (1024, 2048, 4096)
)
HIGHEST_NANOSECONDS = 10_000_000_000
SIGNIFICANT_DIGITS = 3
RARE_GC_THRESHOLDS = (20_000, 50, 100)
WHOLE = Resources(10**9, 10**9, 10**6)


@dataclass(slots=True)
class Cost:
    """Processor times in nanoseconds of a decision, and of the events around it.

    `decision` has the time of a call of `plan` by placed task, `whole` the same with
    the ends and the submissions that led to it.  `regime` says whether the fleet has
    room or a backlog, how many decisions a call may make, and whether the garbage
    collector runs rarely.
    """

    planner: str
    vms: int
    regime: str
    running: int = 0
    decision: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_NANOSECONDS, SIGNIFICANT_DIGITS)
    )
    whole: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_NANOSECONDS, SIGNIFICANT_DIGITS)
    )


class _Churn:
    """Ends and starts tasks at a steady rate against a filled fleet."""

    def __init__(self, planner: Planner, vms: int, tasks: int, seed: int) -> None:
        self._planner = planner
        self._random = random.Random(seed)
        self._count = itertools.count()
        self._now = 0.0
        self.running: list[TaskId] = []
        for number in range(vms):
            rack = f"rack{number // VMS_PER_RACK}"
            offer = VmOffer(f"vm{number}", "augusta", rack, VM_CAPACITY)
            planner.set_vm(offer, VmCondition.OPEN)
        for number in range(TEAMS):
            planner.set_team(f"team{number}", self._random.choice((1, 2, 4)), WHOLE)
        while len(self.running) < tasks:
            before = len(self.running)
            self.submit(tasks - before, JobKind.SERVICE if before % 5 == 0 else None)
            self.plan(256)

    def submit(self, most: int, kind: JobKind | None = None) -> None:
        """Submit a job of a few tasks, four fifths of them batch runs."""
        service = self._random.random() < 0.05
        kind = kind or (JobKind.SERVICE if service else JobKind.BATCH)
        tasks = min(most, self._random.choice((1, 2, 4)))
        group = TaskGroup(
            job=f"job{next(self._count)}",
            team=f"team{self._random.randrange(TEAMS)}",
            kind=kind,
            urgency=Urgency.NORMAL,
            size=self._random.choice(SIZES),
            indexes=tuple(range(tasks)),
            submitted_at=self._now,
            declared_seconds=0 if kind is JobKind.SERVICE else 120,
        )
        self._planner.enqueue(group)

    def plan(self, most: int) -> int:
        """Plan, note what started, and return how many."""
        plan = self._planner.plan(self._now, most)
        self.running += [placement.task for placement in plan.placements]
        return len(plan.placements)

    def step(self, cost: Cost, count: int, *, submit: bool) -> None:
        """End `count` tasks, submit as many, and time the plan that follows."""
        self._now += count / STARTS_PER_SECOND
        ended = [self._draw_running() for _ in range(count)]
        began = time.thread_time_ns()
        for task in ended:
            self._planner.task_ended(task, TaskState.SUCCEEDED, self._now)
            if submit:
                self.submit(1)
        before = time.thread_time_ns()
        started = self.plan(count)
        after = time.thread_time_ns()
        if started:
            cost.decision.record_value((after - before) // started)
            cost.whole.record_value((after - began) // started)

    def _draw_running(self) -> TaskId:
        number = self._random.randrange(len(self.running))
        self.running[number], self.running[-1] = self.running[-1], self.running[number]
        return self.running.pop()


def measure(
    name: str,
    make_planner: Callable[[], Planner],
    vms: int,
    tasks: int,
    seed: int,
    *,
    backlog: bool,
    per_plan: int = 1,
    rare_gc: bool = False,
) -> Cost:
    """Return the cost with room for all, or with a backlog on a full fleet.

    `per_plan` is how many decisions a call of `plan` may make.  With `rare_gc` the
    cyclic garbage collector leaves out what stands and runs rarely.
    """
    churn = _Churn(make_planner(), vms, tasks, seed)
    regime = f"{'full' if backlog else 'room'}/{per_plan}{' gc' if rare_gc else ''}"
    cost = Cost(name, vms, regime)
    if backlog:
        _fill(churn, vms)
    thresholds = gc.get_threshold()
    if rare_gc:
        gc.freeze()
        gc.set_threshold(*RARE_GC_THRESHOLDS)
    for _ in range(DECISIONS // per_plan):
        churn.step(cost, per_plan, submit=not backlog)
    cost.running = len(churn.running)
    gc.unfreeze()
    gc.set_threshold(*thresholds)
    return cost


def _fill(churn: _Churn, vms: int) -> None:
    """Submit until nothing more starts and a backlog waits behind that."""
    while True:
        for _ in range(max(20, vms // 10)):
            churn.submit(4, JobKind.BATCH)
        if not churn.plan(10_000):
            break
    for _ in range(BACKLOG_TASKS):
        churn.submit(4, JobKind.BATCH)
