"""Measures memory by running task, VM and team, and the time of mass events."""

from __future__ import annotations

import gc
import time
import tracemalloc
from dataclasses import dataclass

from bench._load import VM_CAPACITY
from cassiaweir.placement import FairPlanner, TaskGroup, VmCondition, VmOffer
from cassiaweir.types import JobKind, Resources, TaskId, Urgency

TASK_COUNTS = (1_000, 5_000, 19_000)
VM_COUNTS = (24, 350, 1_400)
TEAM_COUNTS = (6, 80, 320)
TASKS_OF_JOB = 4
MICROSECONDS = 1_000_000
SIZE = Resources(500, 1024)
WHOLE = Resources(10**9, 10**9, 10**6)


@dataclass(frozen=True, slots=True)
class Slope:
    """The bytes that a planner holds at one count of one thing."""

    thing: str
    count: int
    total_bytes: int

    @property
    def bytes_each(self) -> float:
        """Return the bytes for each."""
        return self.total_bytes / self.count


@dataclass(frozen=True, slots=True)
class EventCost:
    """The time of one of `count` like events in a row."""

    event: str
    count: int
    microseconds_each: float


def measure_events() -> list[EventCost]:
    """Return the times of adopting tasks and of cancelling jobs, at three sizes."""
    costs = [EventCost("adopt", count, _adopt(count)) for count in TASK_COUNTS]
    costs += [EventCost("cancel", count, _cancel(count)) for count in TASK_COUNTS]
    return costs


def _adopt(count: int) -> float:
    planner = _prepared()
    began = time.perf_counter()
    for number in range(count):
        group = _group(number // TASKS_OF_JOB)
        task = TaskId(group.job, number % TASKS_OF_JOB)
        planner.adopt(group, task, f"vm{number % VM_COUNTS[-1]}", 0.0)
    planner.plan(0.0, 1)
    return (time.perf_counter() - began) * MICROSECONDS / count


def _cancel(count: int) -> float:
    """Return the time to cancel every second one of `count` waiting jobs."""
    planner = _prepared()
    for number in range(count):
        planner.enqueue(_group(number))
    began = time.perf_counter()
    for number in range(0, count, 2):
        planner.cancel(f"job{number}")
    return (time.perf_counter() - began) * MICROSECONDS / (count // 2)


def measure_slopes() -> list[Slope]:
    """Return the memory at three sizes of each."""
    slopes = [Slope("VM", count, _bytes_of_vms(count)) for count in VM_COUNTS]
    slopes += [Slope("team", count, _bytes_of_teams(count)) for count in TEAM_COUNTS]
    slopes += [
        Slope("running task", count, _bytes_of_tasks(count)) for count in TASK_COUNTS
    ]
    slopes += [
        Slope("waiting task", count, _bytes_of_waiting(count)) for count in TASK_COUNTS
    ]
    return slopes


def _traced() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def _add_vms(planner: FairPlanner, count: int) -> None:
    for number in range(count):
        offer = VmOffer(f"vm{number}", "augusta", f"rack{number // 8}", VM_CAPACITY)
        planner.set_vm(offer, VmCondition.OPEN)


def _group(number: int) -> TaskGroup:
    return TaskGroup(
        job=f"job{number}",
        team=f"team{number % 320}",
        kind=JobKind.BATCH,
        urgency=Urgency.NORMAL,
        size=SIZE,
        indexes=tuple(range(TASKS_OF_JOB)),
        submitted_at=float(number),
        declared_seconds=60.0,
    )


def _bytes_of_vms(count: int) -> int:
    planner = FairPlanner()
    tracemalloc.start()
    before = _traced()
    _add_vms(planner, count)
    return _stop(before)


def _bytes_of_teams(count: int) -> int:
    planner = FairPlanner()
    _add_vms(planner, 24)
    tracemalloc.start()
    before = _traced()
    for number in range(count):
        planner.set_team(f"team{number}", 1, WHOLE)
        planner.enqueue(_group(number))
    return _stop(before)


def _prepared() -> FairPlanner:
    planner = FairPlanner()
    _add_vms(planner, 1_400)
    for number in range(320):
        planner.set_team(f"team{number}", 1, WHOLE)
    return planner


def _bytes_of_tasks(count: int) -> int:
    planner = _prepared()
    tracemalloc.start()
    before = _traced()
    for number in range(count // TASKS_OF_JOB):
        planner.enqueue(_group(number))
    planner.plan(0.0, count)
    return _stop(before)


def _bytes_of_waiting(count: int) -> int:
    planner = _prepared()
    tracemalloc.start()
    before = _traced()
    for number in range(count // TASKS_OF_JOB):
        planner.enqueue(_group(number))
    return _stop(before)


def _stop(before: int) -> int:
    held = _traced() - before
    tracemalloc.stop()
    return held
