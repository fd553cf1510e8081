"""Tests that each checker finds violations of its invariant and nothing else."""

import math

import pytest

from cassiaweir.types import Resources
from prove.checkers import CHECKERS, check_all
from prove.history import (
    Call,
    Disturbance,
    Execution,
    GracefulStop,
    History,
    KeyWithdrawal,
    LateRequest,
    Leaving,
    LimitChange,
    Overload,
    Rollout,
    TaskRun,
    VersionSeen,
)

SIZE = Resources(1000, 1024)


def make_call(**changes) -> Call:
    values = {
        "name": "r1",
        "team": "audits",
        "key": "k1",
        "queue_open": False,
        "invoked_at": 1.0,
        "returned_at": 2.0,
        "outcome": "answered",
    }
    return Call(**{**values, **changes})


def make_run(**changes) -> TaskRun:
    values = {
        "task": "job/0",
        "attempt": 1,
        "worker": "w1",
        "team": "audits",
        "size": SIZE,
        "started_at": 0.0,
        "ended_at": 5.0,
    }
    return TaskRun(**{**values, **changes})


def make_history(**changes) -> History:
    history = History(
        capacities={"w1": SIZE, "w2": SIZE},
        key_teams={"k1": "audits"},
        slots={"b1": 1},
        calls=[make_call()],
        runs=[make_run(), make_run(attempt=2, started_at=5.0, ended_at=math.inf)],
        executions=[Execution("b1", "r1", "i1", 1.0, 2.0)],
        limits=[LimitChange("audits", SIZE, 0.0)],
        rollouts=[Rollout(1, 0.0)],
        versions=[VersionSeen("v1", 1, 1.0)],
    )
    for name, extra in changes.items():
        getattr(history, name).extend(extra)
    return history


def test_a_clean_history_passes_every_checker():
    assert not any(check_all(make_history()).values())


VIOLATIONS = {
    "overcommit": {"runs": [make_run(task="job/1", started_at=1.0)]},
    "single_place": {"runs": [make_run(worker="w2", started_at=4.0)]},
    "keys": {"calls": [make_call(team="settlements")]},
    "team_limit": {"runs": [make_run(task="job/1", worker="w2", started_at=1.0)]},
    "whole_answer": {"calls": [make_call(expected=b"abc", body=b"ab")]},
    "not_run": {"calls": [make_call(outcome="refused", verdict="not_run")]},
    "at_most_once": {"executions": [Execution("b2", "r2", "i1", 3.0, 3.0)]},
    "slots": {"executions": [Execution("b1", "r2", "i2", 1.5, 1.7)]},
    "leaving": {
        "leavings": [Leaving("b1", 0.0)],
        "executions": [Execution("b1", "r2", "i2", 9.0, 9.5)],
    },
    "graceful_stop": {
        "stops": [GracefulStop("g1", 1.5, 3.0, 0)],
        "calls": [make_call(outcome="broken", gateway="g1")],
    },
    "configuration": {"versions": [VersionSeen("v1", 0, 9.0)]},
}


def test_every_checker_has_a_violating_history():
    assert VIOLATIONS.keys() == CHECKERS.keys()


@pytest.mark.parametrize("point", VIOLATIONS)
def test_the_checker_finds_its_violation(point):
    assert CHECKERS[point](make_history(**VIOLATIONS[point]))


def test_a_withdrawn_key_that_still_works_is_found():
    history = make_history(
        withdrawals=[KeyWithdrawal("k1", 10.0)],
        calls=[make_call(invoked_at=16.0, returned_at=17.0)],
    )
    assert [item.detail for item in CHECKERS["keys"](history)] == [
        "accepted a withdrawn key"
    ]


def test_a_lowered_limit_must_take_effect_within_its_bound():
    lowered = LimitChange("audits", Resources(), 10.0)
    history = make_history(limits=[lowered], runs=[])
    assert not CHECKERS["team_limit"](history)
    late = make_run(task="job/2", worker="w2", started_at=41.0, ended_at=42.0)
    history.runs[1] = make_run(attempt=2, started_at=5.0, ended_at=39.0)
    history.runs.append(late)
    assert CHECKERS["team_limit"](history)


def test_an_overloaded_backend_server_is_found():
    history = make_history(overloads=[Overload("b1", 3.0, "9 at once")])
    assert [item.detail for item in CHECKERS["slots"](history)] == ["9 at once"]


def test_a_task_start_beyond_the_capacity_of_a_worker_is_found():
    history = make_history(overloads=[Overload("w1", 3.0, "does not fit")])
    assert [item.detail for item in CHECKERS["overcommit"](history)] == ["does not fit"]
    assert not CHECKERS["slots"](history)


def test_a_late_request_to_a_leaving_backend_server_is_found():
    leaving = [Leaving("b1", 1.0)]
    soon = make_history(leavings=leaving, late_requests=[LateRequest("b1", 5.0)])
    assert not CHECKERS["leaving"](soon)
    late = make_history(leavings=leaving, late_requests=[LateRequest("b1", 7.0)])
    assert CHECKERS["leaving"](late)


def make_cut_call(**changes) -> Call:
    return make_call(outcome="broken", invoked_at=2.0, returned_at=2.5, **changes)


def test_a_call_cut_off_late_in_a_planned_stop_is_found():
    stops = [GracefulStop("g1", 1.5, 3.0, 0)]
    found = make_history(stops=stops, calls=[make_cut_call(gateway="g1")])
    assert CHECKERS["graceful_stop"](found)
    other = make_history(stops=stops, calls=[make_cut_call(gateway="g2")])
    assert not CHECKERS["graceful_stop"](other)


def test_a_call_through_the_balancer_counts_unless_another_failure_affected_a_vm():
    stops = [GracefulStop("g1", 1.5, 3.0, 0)]
    history = make_history(stops=stops, calls=[make_cut_call()])
    assert CHECKERS["graceful_stop"](history)
    history.disturbances.append(Disturbance("g2", 2.2, 4.0))
    assert not CHECKERS["graceful_stop"](history)


def test_an_old_version_is_allowed_only_with_an_expired_view():
    rollouts = [Rollout(2, 10.0)]
    cut_off = make_history(
        rollouts=rollouts, versions=[VersionSeen("v1", 1, 20.0, view_age=11.0)]
    )
    assert not CHECKERS["configuration"](cut_off)
    for age in (2.0, 9.0):
        seen = [VersionSeen("v1", 1, 20.0, view_age=age)]
        history = make_history(rollouts=rollouts, versions=seen)
        assert CHECKERS["configuration"](history)


def test_a_fresh_view_must_have_every_earlier_rollout():
    seen = [VersionSeen("v1", 1, 11.0, view_age=0.5)]
    history = make_history(rollouts=[Rollout(2, 10.0)], versions=seen)
    assert CHECKERS["configuration"](history)
