"""Tests of reservations, backfill and the limit on waiting times."""

import pytest

from cassiaweir.placement import FairPlanner, VmCondition, WaitReason
from cassiaweir.types import JobKind, Resources, TaskId, TaskState
from tests.placement_helpers import (
    CORE,
    PLENTY,
    VM_SIZE,
    end,
    group,
    offer,
    placed,
    planner_with,
)

BOUND_SECONDS = 120
STREAM_SECONDS = 8


class Stream:
    """Keeps the VMs busy: submits three one-core tasks of team a per second."""

    def __init__(self, planner: FairPlanner) -> None:
        self.planner = planner
        self.now = 0.0
        self.count = 0
        self.ends: list[tuple[float, str]] = []

    def step(self) -> list[str]:
        """Advance one second, and return the tasks that started."""
        self.now += 1
        for at, task in list(self.ends):
            if at <= self.now:
                end(self.planner, task, self.now)
                self.ends.remove((at, task))
        for _ in range(3):
            self.count += 1
            job = group(
                f"small{self.count}",
                submitted_at=self.now,
                declared_seconds=float(STREAM_SECONDS),
            )
            self.planner.enqueue(job)
        started = placed(self.planner.plan(self.now, 99))
        self.ends += [
            (self.now + STREAM_SECONDS, task)
            for task in started
            if task.startswith("small")
        ]
        return started

    def seconds_until(self, task: str, most: int) -> int:
        """Return the seconds until `task` starts; fail after `most`."""
        began = self.now
        for _ in range(most):
            if task in self.step():
                return int(self.now - began)
        raise AssertionError(f"{task} did not start within {most} s")


@pytest.mark.parametrize("team", ["a", "b"])
def test_a_large_task_starts_within_the_bound_while_small_ones_keep_arriving(team):
    stream = Stream(planner_with(vms=2))
    for _ in range(20):
        stream.step()
    large = group("large", team, size=VM_SIZE, submitted_at=stream.now)
    stream.planner.enqueue(large)
    stream.seconds_until("large/0", BOUND_SECONDS + 2 * STREAM_SECONDS)


def test_a_gang_of_the_whole_fleet_starts_within_the_bound():
    stream = Stream(planner_with(vms=3))
    for _ in range(20):
        stream.step()
    gang = group("g", "b", tasks=12, kind=JobKind.GANG, submitted_at=stream.now)
    stream.planner.enqueue(gang)
    stream.seconds_until("g/0", BOUND_SECONDS + 2 * STREAM_SECONDS)


def test_two_gangs_that_each_need_most_of_the_fleet_both_start():
    stream = Stream(planner_with(vms=2, teams=("a", "b", "c")))
    for _ in range(20):
        stream.step()
    for team in ("b", "c"):
        gang = group(
            f"g{team}", team, tasks=7, kind=JobKind.GANG, submitted_at=stream.now
        )
        stream.planner.enqueue(gang)
    started = set()
    for _ in range(3 * BOUND_SECONDS):
        for task in stream.step():
            if task.startswith("g"):
                started.add(task)
                stream.ends.append((stream.now + STREAM_SECONDS, task))
    assert len(started) == 14


def test_a_small_team_is_not_starved_by_a_large_one():
    stream = Stream(planner_with(vms=1))
    stream.planner.set_team("a", 100, PLENTY)
    for _ in range(20):
        stream.step()
    stream.planner.enqueue(group("rare", "b", submitted_at=stream.now))
    stream.seconds_until("rare/0", STREAM_SECONDS)


def test_several_large_tasks_have_reservations_at_once():
    planner = planner_with(vms=24)
    planner.enqueue(group("busy", tasks=24, size=CORE * 3, declared_seconds=100.0))
    planner.plan(0, 99)
    planner.enqueue(group("large", "b", tasks=9, size=VM_SIZE))
    planner.plan(20, 99)
    planner.plan(20, 99)
    planner.enqueue(group("long", tasks=24, declared_seconds=500.0, submitted_at=20.0))
    assert len(planner.plan(21, 99).placements) == 22


def test_a_large_task_starts_although_its_team_stays_at_its_allotment():
    planner = planner_with(vms=2)
    planner.set_team("a", 1, CORE * 4)
    stream = Stream(planner)
    for _ in range(20):
        stream.step()
    large = group("large", size=VM_SIZE, submitted_at=stream.now)
    planner.set_team("a", 1, VM_SIZE)
    planner.enqueue(large)
    stream.seconds_until("large/0", BOUND_SECONDS + 2 * STREAM_SECONDS)


def test_a_task_that_fits_no_vm_does_not_hold_back_its_team():
    planner = planner_with(vms=2)
    planner.set_team("a", 1, VM_SIZE * 2)
    planner.enqueue(group("running", tasks=4))
    planner.plan(0, 9)
    planner.enqueue(group("never", size=VM_SIZE * 2))
    planner.plan(BOUND_SECONDS + 1, 9)
    planner.enqueue(group("n", tasks=4, submitted_at=BOUND_SECONDS + 1.0))
    assert len(planner.plan(BOUND_SECONDS + 2, 9).placements) == 4


def reserved_planner():
    """Return a planner whose only VM is reserved for a task of the whole VM."""
    planner = planner_with(vms=1)
    planner.enqueue(group("busy", tasks=3, declared_seconds=100.0))
    planner.plan(0, 9)
    planner.enqueue(group("large", "b", size=VM_SIZE))
    planner.plan(20, 9)
    return planner


def test_reserved_vms_take_backfill_that_ends_in_time_and_nothing_else():
    planner = reserved_planner()
    planner.enqueue(group("long", declared_seconds=200.0, submitted_at=20.0))
    planner.enqueue(
        group("service", kind=JobKind.SERVICE, declared_seconds=0, submitted_at=20.0)
    )
    assert not planner.plan(21, 9).placements
    planner.enqueue(group("short", declared_seconds=50.0, submitted_at=21.0))
    assert placed(planner.plan(22, 9)) == ["short/0"]


def test_cancelling_a_job_releases_its_reserved_vms():
    planner = reserved_planner()
    planner.enqueue(group("long", declared_seconds=200.0, submitted_at=20.0))
    assert not planner.plan(21, 9).placements
    planner.cancel("large")
    planner.plan(22, 9)
    assert planner.allocated("a") == CORE * 4


def test_a_job_starts_elsewhere_when_its_reserved_vm_drains():
    planner = reserved_planner()
    planner.set_vm(offer(0), VmCondition.DRAINING)
    planner.set_vm(offer(1), VmCondition.OPEN)
    assert placed(planner.plan(22, 9)) == ["large/0"]


def test_a_job_at_its_team_limit_gets_no_reservation():
    planner = planner_with(vms=1)
    planner.set_team("b", 1, CORE)
    planner.enqueue(group("busy", tasks=3))
    planner.plan(0, 9)
    planner.enqueue(group("large", "b", size=CORE * 2))
    planner.plan(BOUND_SECONDS + 1, 9)
    planner.enqueue(group("more", declared_seconds=500.0))
    assert placed(planner.plan(BOUND_SECONDS + 2, 9)) == ["more/0"]
    assert planner.wait_reason("large", 0) is WaitReason.TEAM_LIMIT


def test_observed_run_times_correct_declared_ones_in_backfill():
    planner = reserved_planner()
    for index in range(5):
        job = group(f"slow{index}", declared_seconds=1.0)
        planner.adopt(job, TaskId(job.job, 0), "vm0", 0.0)
        planner.task_ended(TaskId(job.job, 0), TaskState.SUCCEEDED, 20.0)
    planner.enqueue(group("short", declared_seconds=50.0, submitted_at=21.0))
    assert not planner.plan(22, 9).placements


def test_jobs_that_fit_no_vm_do_not_delay_others():
    planner = planner_with(vms=1)
    planner.enqueue(group("huge", size=VM_SIZE * 2))
    planner.enqueue(group("gang", "b", tasks=9, kind=JobKind.GANG))
    planner.plan(BOUND_SECONDS + 1, 9)
    planner.enqueue(group("n", tasks=4))
    assert len(planner.plan(BOUND_SECONDS + 2, 9).placements) == 4
    assert planner.demand("b") == Resources(9000, 9 * 1024)
