"""Tests of the benchmark's driver, with the planner and the baselines."""

import pytest

from bench.__main__ import PLANNERS
from bench._drive import Driver
from bench._load import (
    PACIFICO_NORTE,
    SICILIA_EST,
    VM_CAPACITY,
    BenchJob,
    Scenario,
    mixed,
)
from bench._results import RunResult, run_result
from cassiaweir.placement import VmOffer
from cassiaweir.types import Resources, Team
from tests.placement_helpers import group

HORIZON_SECONDS = 120.0


def drive(name: str, seed: int = 1, **changes) -> RunResult:
    scenario = mixed(SICILIA_EST, seed, horizon_seconds=HORIZON_SECONDS, **changes)
    return run_result(scenario.name, name, Driver(PLANNERS[name], scenario).run())


@pytest.mark.parametrize("name", PLANNERS)
def test_a_run_keeps_capacities_and_limits_and_accounts_for_all_tasks(name):
    result = drive(name)
    scenario = mixed(SICILIA_EST, 1, horizon_seconds=HORIZON_SECONDS)
    tasks = sum(len(job.run_seconds) for job in scenario.jobs)
    assert result.started + result.never_started == tasks
    assert sum(wait.tasks for wait in result.waits) == tasks


def test_the_same_seed_gives_the_same_result():
    assert drive("fair") == drive("fair")


def test_wrong_estimates_change_declared_but_not_actual_run_times():
    right = mixed(PACIFICO_NORTE, 3, horizon_seconds=HORIZON_SECONDS)
    wrong = mixed(
        PACIFICO_NORTE, 3, horizon_seconds=HORIZON_SECONDS, estimate_error_factor=10.0
    )
    assert [job.run_seconds for job in right.jobs] == [
        job.run_seconds for job in wrong.jobs
    ]
    assert [j.group.submitted_at for j in right.jobs] == [
        j.group.submitted_at for j in wrong.jobs
    ]
    assert right.jobs != wrong.jobs


def test_urgent_work_waits_less_than_first_come_first_served():
    waits = {
        name: next(wait.p99 for wait in drive(name, load=4.0).waits)
        for name in ("fair", "fcfs")
    }
    assert waits["fair"] * 5 < waits["fcfs"]


@pytest.mark.parametrize(
    ("shares", "distance", "one_task"), [((1, 1), 0.0, 1.0), ((3, 1), 1.0, 2.0)]
)
def test_share_distance_is_reported_with_the_share_of_one_task(
    shares, distance, one_task
):
    half = Resources(VM_CAPACITY.cpu_millis // 2, 1024)
    teams = tuple(
        Team(name, share, VM_CAPACITY) for name, share in zip("ab", shares, strict=True)
    )
    jobs = tuple(
        BenchJob(group(f"job-{team.name}", team.name, 4, size=half), (1e6,) * 4)
        for team in teams
    )
    vms = (VmOffer("vm0", "augusta", "rack0", VM_CAPACITY),)
    scenario = Scenario("halves", vms, teams, jobs, HORIZON_SECONDS)
    result = run_result("", "", Driver(PLANNERS["fair"], scenario).run())
    assert result.share_distance_mean == pytest.approx(distance)
    assert result.share_one_task == pytest.approx(one_task)
    assert result.share_beyond_one_task == 0
