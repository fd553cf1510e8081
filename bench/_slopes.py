"""Measures a planner's memory per VM, team and task, and the time of mass events."""

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
TASKS_PER_JOB = 4
MICROSECONDS_PER_SECOND = 1_000_000
TASK_SIZE = Resources(500, 1024)
UNLIMITED = Resources(10**9, 10**9, 10**6)


@dataclass(frozen=True, slots=True)
class Slope:
    """The memory that a planner takes for `count` objects of one type."""

    object_type: str
    count: int
    total_bytes: int

    @property
    def bytes_each(self) -> float:
        """Return the mean number of bytes per object."""
        return self.total_bytes / self.count


@dataclass(frozen=True, slots=True)
class EventCost:
    """The mean time of one of `count` events of one kind in a row."""

    event: str
    count: int
    microseconds_each: float


def measure_events() -> list[EventCost]:
    """Return the times of adopting tasks and of cancelling jobs, at three counts."""
    costs = [
        EventCost("adopt", count, _microseconds_per_adopt(count))
        for count in TASK_COUNTS
    ]
    costs += [
        EventCost("cancel", count, _microseconds_per_cancel(count))
        for count in TASK_COUNTS
    ]
    return costs


def _microseconds_per_adopt(count: int) -> float:
    """Return the time to adopt a task, with its part of the plan that follows."""
    planner = _planner_with_fleet()
    began = time.perf_counter()
    for number in range(count):
        group = _group(number // TASKS_PER_JOB)
        task = TaskId(group.job, number % TASKS_PER_JOB)
        planner.adopt(group, task, f"vm{number % VM_COUNTS[-1]}", 0.0)
    planner.plan(0.0, 1)
    return (time.perf_counter() - began) * MICROSECONDS_PER_SECOND / count


def _microseconds_per_cancel(count: int) -> float:
    """Return the time to cancel a job, for every second one of `count` waiting jobs."""
    planner = _planner_with_fleet()
    for number in range(count):
        planner.enqueue(_group(number))
    began = time.perf_counter()
    for number in range(0, count, 2):
        planner.cancel(f"job{number}")
    return (time.perf_counter() - began) * MICROSECONDS_PER_SECOND / (count // 2)


def measure_slopes() -> list[Slope]:
    """Return the memory of VMs, teams and tasks, at three counts of each."""
    slopes = [Slope("VM", count, _bytes_of_vms(count)) for count in VM_COUNTS]
    slopes += [Slope("team", count, _bytes_of_teams(count)) for count in TEAM_COUNTS]
    slopes += [
        Slope("running task", count, _bytes_of_running_tasks(count))
        for count in TASK_COUNTS
    ]
    slopes += [
        Slope("waiting task", count, _bytes_of_waiting_tasks(count))
        for count in TASK_COUNTS
    ]
    return slopes


def _traced_bytes() -> int:
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
        size=TASK_SIZE,
        indexes=tuple(range(TASKS_PER_JOB)),
        submitted_at=float(number),
        declared_seconds=60.0,
    )


def _bytes_of_vms(count: int) -> int:
    planner = FairPlanner()
    tracemalloc.start()
    before = _traced_bytes()
    _add_vms(planner, count)
    return _stop_tracing(before)


def _bytes_of_teams(count: int) -> int:
    """Return the memory of `count` teams, each with one waiting job."""
    planner = FairPlanner()
    _add_vms(planner, 24)
    tracemalloc.start()
    before = _traced_bytes()
    for number in range(count):
        planner.set_team(f"team{number}", 1, UNLIMITED)
        planner.enqueue(_group(number))
    return _stop_tracing(before)


def _planner_with_fleet() -> FairPlanner:
    """Return a planner with the VMs and teams of the largest fleet, without tasks."""
    planner = FairPlanner()
    _add_vms(planner, 1_400)
    for number in range(320):
        planner.set_team(f"team{number}", 1, UNLIMITED)
    return planner


def _bytes_of_running_tasks(count: int) -> int:
    planner = _planner_with_fleet()
    tracemalloc.start()
    before = _traced_bytes()
    for number in range(count // TASKS_PER_JOB):
        planner.enqueue(_group(number))
    planner.plan(0.0, count)
    return _stop_tracing(before)


def _bytes_of_waiting_tasks(count: int) -> int:
    planner = _planner_with_fleet()
    tracemalloc.start()
    before = _traced_bytes()
    for number in range(count // TASKS_PER_JOB):
        planner.enqueue(_group(number))
    return _stop_tracing(before)


def _stop_tracing(before: int) -> int:
    """Stop tracing; return the bytes allocated since `before` was traced."""
    added = _traced_bytes() - before
    tracemalloc.stop()
    return added
