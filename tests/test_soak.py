"""A short seeded run of the soak, and its checks on histories that violate them."""

from __future__ import annotations

import pytest

from cassiaweir.dispatch import EndKind
from cassiaweir.jobs import JobSpec, StepSpec
from soak._callers import QUEUE
from soak._checks import NOT_OF_ONE_FRONT, STOPPING, check
from soak._records import Attempt, FaultRecord, History, JobRecord, KeyRecord
from soak._run import Plan, run
from standins.users import RunRecord

JOB = "0" * 16
SHORT = Plan(seed=1, seconds=6.0, fronts=3, servers=4, callers=3)


def attempt(method: str, status: int, *, at: float = 1.0, **fields: object) -> Attempt:
    given = {"retry_after": "1", "key": "k", "front": "f", **fields}
    return Attempt(
        method=method, began_at=at, ended_at=at + 0.5, status=status, **given
    )  # type: ignore[arg-type]


def record(*attempts: Attempt, steps: int = 1, accepted: bool = True) -> JobRecord:
    specs = tuple(
        StepSpec(count=1, after=(number - 1,) if number else ())
        for number in range(steps)
    )
    spec = JobSpec(JOB, QUEUE, "", "0.1/done", specs, 0.0)
    return JobRecord(spec, list(attempts), 0.5 if accepted else None)


def started(step: int, began_at: float, ended_at: float) -> RunRecord:
    return RunRecord(f"{JOB}.0.{step}.0", 1, "i-0", began_at, ended_at, EndKind.DONE)


def problems(found: JobRecord, *runs: RunRecord, **history: object) -> list[str]:
    return check(History(jobs={JOB: found}, **history), runs, [])  # type: ignore[arg-type]


async def test_a_short_run_keeps_all_promises(tmp_path):
    report = await run(SHORT, tmp_path)
    assert not report.problems
    assert report.accepted
    assert report.faults


def test_a_history_in_order_has_no_problems():
    shown = attempt("GET", 200, at=3.0, state="done")
    found = record(attempt("POST", 200), shown, steps=2)
    assert not problems(found, started(0, 1.0, 2.0), started(1, 2.0, 3.0))


def test_a_job_that_all_refused_must_not_start():
    found = record(attempt("POST", 503), accepted=False)
    assert problems(found, started(0, 1.0, 2.0))


def test_an_attempt_without_answer_may_start_the_job():
    found = record(attempt("POST", 0), accepted=False)
    assert not problems(found, started(0, 1.0, 2.0))


def test_an_accepted_job_must_be_known():
    assert problems(record(attempt("POST", 200), attempt("GET", 410)))


@pytest.mark.parametrize("state", ["failed", "cancelled"])
def test_a_job_must_not_be_shown_as_ended_without_cause(state: str):
    found = record(attempt("POST", 200), attempt("GET", 200, state=state))
    assert problems(found)


def test_a_job_must_not_be_shown_as_done_before_its_tasks_are():
    found = record(attempt("POST", 200), attempt("GET", 200, at=1.0, state="done"))
    assert problems(found, started(0, 1.0, 1.6))
    assert not problems(found, started(0, 1.0, 1.4))


def test_a_step_must_wait_for_the_one_before():
    found = record(attempt("POST", 200), steps=2)
    assert problems(found, started(0, 1.0, 2.0), started(1, 1.9, 3.0))


@pytest.mark.parametrize("status", [429, 503])
def test_a_refusal_must_say_when_to_come_back(status: int):
    found = record(attempt("POST", status, retry_after=""), accepted=False)
    assert problems(found)


def test_a_withdrawn_key_must_not_be_served():
    keys = [KeyRecord("k", withdrawn_at=1.0)]
    assert problems(record(attempt("GET", 200, at=6.1)), keys=keys)
    assert not problems(record(attempt("GET", 200, at=5.9)), keys=keys)


def test_a_planned_stop_must_not_cut_requests_off():
    stop = FaultRecord(STOPPING, "f", 0.5, 2.0)
    kill = FaultRecord("kill-all", NOT_OF_ONE_FRONT, 0.5, 2.0)
    found = record(attempt("GET", 0, at=1.0))
    assert problems(found, faults=[stop])
    assert not problems(found, faults=[stop, kill])
    assert not problems(record(attempt("GET", 0, at=9.0)), faults=[stop])


def test_jobs_that_do_not_end_and_bad_exits_are_told():
    assert check(History(unsettled=[JOB]), [], [])
    assert check(History(exits=["f: exit 1"]), [], [])
    assert check(History(), [], ["twice"])
