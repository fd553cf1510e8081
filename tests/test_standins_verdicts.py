"""Tests of the judge of jobs that are shown as failed."""

from __future__ import annotations

import pytest

from cassiaweir.dispatch import EndKind
from cassiaweir.jobs import JobSpec, JobState, StepSpec
from standins.users import RunRecord, Site, may_be_given_up, unjustified_failures
from tests.site_fakes import QUEUE

JOB = "000000000000000a"
FAILED = EndKind.FAILED
LAPSED = EndKind.LEASE_EXPIRED


def job(**fields: object) -> JobSpec:
    """Return a job of one step whose queue allows `QUEUE.most_failures` failures."""
    step = StepSpec(count=4, cpu_millis=500, **fields)  # type: ignore[arg-type]
    return JobSpec(JOB, QUEUE, "agency", "1.0/done", (step,), 0.0)


def runs(*ends: EndKind | None, task: int = 0, first: int = 1) -> list[RunRecord]:
    """Return runs of one task that have ended; None means that the server crashed."""
    return [
        RunRecord(f"{JOB}.0.0.{task}", first + number, "i-0", 0.0, 1.0, how)
        for number, how in enumerate(ends)
    ]


# Guards against a judge that lets a job be given up for ends that are no cause.
@pytest.mark.parametrize(
    ("spec", "history", "justified"),
    [
        (job(), runs(FAILED, FAILED, FAILED), True),
        (job(), runs(FAILED, FAILED, LAPSED), False),
        (job(), runs(LAPSED, LAPSED, LAPSED, LAPSED), False),
        (job(), runs(FAILED, FAILED) + runs(FAILED, task=1), False),
        (job(gang=True), runs(FAILED, FAILED) + runs(FAILED, task=1, first=3), True),
        (job(gang=True), runs(FAILED, FAILED) + runs(FAILED, task=1), False),
        (job(long_running=True), runs(FAILED, FAILED, FAILED), False),
        (job(), runs(None, LAPSED, None), True),
        (job(long_running=True), runs(None, None), True),
        (job(), runs(None) + runs(None, task=1), False),
        (job(), [], False),
    ],
)
def test_only_failed_ends_and_crashes_justify_a_failure(
    spec: JobSpec, history: list[RunRecord], justified: bool
) -> None:
    assert may_be_given_up(spec, history) is justified


# Guards against a judge that takes a run for crashed that goes on.
def test_runs_that_go_on_are_no_crashes() -> None:
    going_on = [RunRecord(f"{JOB}.0.0.0", number, "i-0", 0.0) for number in (1, 2)]
    assert not may_be_given_up(job(), going_on)


# Guards against a judge that tells too little to trace a failure.
def test_the_most_tried_task_is_told_with_its_ends() -> None:
    site = Site(servers=0)
    site.specs[JOB] = job()
    site.history += runs(LAPSED, None, LAPSED) + runs(FAILED, task=1)
    site.history += [RunRecord(f"{JOB}.0.0.0", 4, "i-0", 0.0)]
    (found,) = unjustified_failures(site, lambda _: JobState.FAILED)
    assert found.task == f"{JOB}.0.0.0"
    assert found.ends == ("lapsed", "server crashed", "lapsed", "running")
    assert not unjustified_failures(site, lambda _: JobState.RUNNING)
