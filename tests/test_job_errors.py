"""Tests that an error with one job, wherever it is raised, leaves all others alone.

Pattern: for one job, a method of the leader raises each time, at one leader and at the
next.  Jobs of all kinds run beside it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest

from cassiaweir.dispatch import cancel_key, job_key
from cassiaweir.dispatch._advice_questions import AdviceQuestions
from cassiaweir.dispatch._crash_tracker import CrashTracker
from cassiaweir.dispatch._customer_caps import CustomerCaps
from cassiaweir.dispatch._former_usage import FormerUsage
from cassiaweir.dispatch._gang_planner import GangPlanner
from cassiaweir.dispatch._job_errors import MAX_LINES_PER_S, JobAction, JobErrors
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._learning import Learner
from cassiaweir.dispatch._load import LoadSampler
from cassiaweir.dispatch._occurrences import OccurrenceOpener
from cassiaweir.dispatch._placer import Placer
from cassiaweir.dispatch._quarantine import Quarantine
from cassiaweir.dispatch._reports import ReportProcessor
from cassiaweir.dispatch._run_control import RunControl
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._server_search import ServerSearch
from cassiaweir.dispatch._waiting_steps import WaitingSteps
from cassiaweir.jobs import Job, JobState, StepSpec
from cassiaweir.types import Row, Write
from tests.site_fakes import ADVISED, QUEUE, URGENT, FakeSite
from tests.test_job_numbers import error_lines
from tests.test_unexpected_errors import UnforeseenError
from tests.virtual_time import run_virtual

PLAIN = StepSpec(count=3, cpu_millis=1_000, memory_mb=256, estimate_s=0.5)
GANG = StepSpec(count=3, cpu_millis=1_000, gang=True, estimate_s=0.5)
TARGETS: list[tuple[type, str]] = [
    (JobRegistry, "add_row"),
    (JobRegistry, "queue_of"),
    (JobRegistry, "times_of"),
    (JobRegistry, "customer_of"),
    (JobRegistry, "save"),
    (JobRegistry, "save_for_start"),
    (Job, "startable_steps"),
    (Job, "may_start"),
    (Job, "find_task"),
    (Job, "finish_task"),
    (Job, "record_run_failure"),
    (WaitingSteps, "startable_tasks"),
    (WaitingSteps, "_note_waiting"),
    (Placer, "_place_group"),
    (Placer, "_note_backfilled"),
    (GangPlanner, "_plan_gang"),
    (CustomerCaps, "allowed"),
    (CustomerCaps, "load_text"),
    (Quarantine, "groups"),
    (ServerSearch, "candidates"),
    (AdviceQuestions, "waits_for_answer"),
    (AdviceQuestions, "ask"),
    (RunRegistry, "place"),
    (RunRegistry, "adopt"),
    (RunRegistry, "requeue"),
    (RunControl, "_must_watch"),
    (RunControl, "stop"),
    (Learner, "record_progress"),
    (Learner, "record_end"),
    (CrashTracker, "restore"),
    (CrashTracker, "may_start"),
    (ReportProcessor, "_finish"),
    (ReportProcessor, "_fail"),
    (OccurrenceOpener, "_open"),
    (LoadSampler, "_waiting_of"),
    (LoadSampler, "record_job"),
    (FormerUsage, "_add_unnamed_of"),
]
WIDE_ERRORS = (
    "placement_round_failed", "gangs_not_planned", "urgent_steps_not_placed",
    "sweep_failed", "server_poll_failed", "row_not_applied", "takeover_failed",
    "dispatcher_coroutine_failed", "waits_not_summed_up", "leader_not_notified",
)  # fmt: skip
"""What is logged where an error with one job keeps the work for others back."""


def names_job(value: object, job_id: str) -> bool:
    """Return whether an argument is of the job, or the row of it."""
    found = [
        getattr(value, "job_id", None),
        getattr(getattr(value, "job", None), "job_id", None),
        getattr(getattr(value, "entry", None), "job", None),
        getattr(getattr(getattr(value, "step", None), "job", None), "job_id", None),
    ]
    found[2] = getattr(found[2], "job_id", None)
    return job_id in found or getattr(value, "key", None) == job_key(job_id)


def raise_for(
    owner: type, name: str, broken: set[str], monkeypatch: pytest.MonkeyPatch
) -> list[str]:
    """Let a method raise if it or an argument belongs to a broken job."""
    original: Callable[..., object] = getattr(owner, name)
    raised: list[str] = []

    def method(*args: object, **kwargs: object) -> object:
        if any(names_job(each, job_id) for each in args for job_id in broken):
            raised.append(name)
            raise UnforeseenError(name)
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, method)
    return raised


def submit_others(site: FakeSite) -> list[str]:
    """Submit ordinary jobs of several kinds; return their ids."""
    return [
        site.submit(PLAIN, task_s=0.5),
        site.submit(PLAIN, task_s=0.3, queue=URGENT),
        site.submit(GANG, task_s=0.5),
        site.submit(PLAIN, task_s=0.3, queue=ADVISED),
    ]


# Guards against LOST and RECOVER: an error with one job ended the round, the report or
# the sweep in which it was raised, and so the work for the jobs of all customers.
@pytest.mark.parametrize(("owner", "name"), TARGETS)
@pytest.mark.parametrize("seed", range(3))
def test_an_error_with_one_job_leaves_all_others_alone(
    owner: type, name: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body() -> None:
        rng = random.Random(f"{name}/{seed}")
        site = FakeSite(servers=4, seed=seed)
        leader = await site.wait_for_leader()
        await asyncio.sleep(1)
        broken: set[str] = set()
        raise_for(owner, name, broken, monkeypatch)
        jobs = submit_others(site)
        for queue in (QUEUE, URGENT, ADVISED):
            step = rng.choice((PLAIN, GANG))
            times = rng.choice((0, 2))
            # The job is known to the leader before it breaks, or breaks at once.
            job_id = f"{site._ids.__reduce__()[1][0]:016x}"
            if rng.random() < 0.5:
                broken.add(job_id)
            assert job_id == site.submit(step, task_s=2.0, queue=queue, times=times)
            broken.add(job_id)
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        jobs += submit_others(site)
        await asyncio.sleep(4)
        await leader.kill()
        leader = await site.wait_for_leader()
        jobs += submit_others(site)
        await asyncio.sleep(12)
        leader = await site.wait_for_leader()
        states = {job_id: leader.term.job_state(job_id) for job_id in jobs}
        assert set(states.values()) == {JobState.DONE}, states
        assert leader.term.load() is not None
        assert not site.faults
        await site.close()

    with error_lines() as lines:
        run_virtual(body)
    wide = [line for line in lines if any(each in line for each in WIDE_ERRORS)]
    assert not wide


# Guards against a job that nobody can get rid of: its leader could not apply its row,
# so that a cancel was acknowledged and never took effect.
def test_a_job_that_cannot_be_registered_is_shown_and_can_be_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        site = FakeSite()
        leader = await site.wait_for_leader()
        key = job_key("f" * 16)
        version = site.store.apply([], [Write(key, b'{"job_id":1}')])[key]
        leader.term.apply_rows([Row(key, version, b'{"job_id":1}')])
        await asyncio.sleep(3)
        assert "jobs_not_registered 1" in leader.metrics.render()
        site.store.apply([], [Write(cancel_key("f" * 16), b"{}")])
        await asyncio.sleep(2)
        assert leader.term.job_state("f" * 16) is JobState.CANCELLED
        await leader.kill()
        leader = await site.wait_for_leader()
        assert leader.term.job_state("f" * 16) is JobState.CANCELLED
        await site.close()

    run_virtual(body)


# Guards against a job that stays lost though its error was a passing one.
def test_a_row_that_could_not_be_applied_is_applied_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        site = FakeSite()
        leader = await site.wait_for_leader()
        broken = {f"{1:016x}"}
        raise_for(JobRegistry, "add_row", broken, monkeypatch)
        job_id = site.submit(PLAIN, task_s=0.5)
        await asyncio.sleep(1)
        assert leader.term.job_state(job_id) is None
        broken.clear()
        await asyncio.sleep(6)
        assert leader.term.job_state(job_id) is JobState.DONE
        await site.close()

    run_virtual(body)


# Guards against TWICE and against a server whose ends nobody acknowledges any more: an
# end that could not be applied is applied later, or its job fails after some seconds.
@pytest.mark.parametrize("fails_for_s", [1.0, 100.0])
def test_an_end_that_cannot_be_applied_holds_no_others_up(
    fails_for_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body() -> None:
        site = FakeSite(servers=1)
        leader = await site.wait_for_leader()
        broken: set[str] = set()
        raise_for(ReportProcessor, "_finish", broken, monkeypatch)
        job_id = site.submit(PLAIN, task_s=0.5)
        broken.add(job_id)
        asyncio.get_running_loop().call_later(fails_for_s, broken.clear)
        other = site.submit(PLAIN, task_s=1.0)
        await asyncio.sleep(2)
        assert leader.term.job_state(other) is JobState.DONE
        await asyncio.sleep(8)
        done = fails_for_s < 5
        state = leader.term.job_state(job_id)
        assert state is (JobState.DONE if done else JobState.FAILED)
        assert len(site.starts_of(job_id)) == 3
        assert site.servers["i-0"]._acknowledged == 6
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against a log that one client fills, and against work that is tried for a job
# many times a second though it fails each time.
def test_errors_are_logged_and_tried_again_at_a_bounded_rate() -> None:
    async def body() -> None:
        site = FakeSite(servers=1)
        errors = JobErrors(site.vms[0].watch._clock)
        visits: list[str] = []

        def visit(job_id: str) -> None:
            visits.append(job_id)
            raise UnforeseenError(job_id)

        jobs = [f"{number:016x}" for number in range(50)]
        for _ in range(600):
            errors.visit_each(JobAction.RANK, jobs, lambda job_id: job_id, visit)
            await asyncio.sleep(0.1)
        assert len(visits) <= 50 * 8
        assert errors.job_count == 50
        errors.forget(jobs[0])
        assert errors.job_count == 49
        await site.close()

    with error_lines() as lines:
        run_virtual(body)
    assert 0 < len(lines) <= 61 * MAX_LINES_PER_S
