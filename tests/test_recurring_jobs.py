"""Tests of recurring jobs: what is open follows from what can run.

The simulated clock reads 2026, so that occurrences without a first time are overdue.
"""

from __future__ import annotations

import asyncio
import random
import tracemalloc

import pytest

from cassiaweir.dispatch._occurrences import (
    MAX_OPEN_STEPS,
    MAX_WAITING_TASKS,
    OccurrenceOpener,
)
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.observe import Metrics
from cassiaweir.queues import Customer
from standins.users import RunRecord
from tests.site_fakes import CUSTOMER, FakeSite, FakeVm, configuration
from tests.virtual_time import EPOCH, VirtualClock, run_virtual

SMALL = StepSpec(count=2, cpu_millis=1_400, memory_mb=256, estimate_s=1.0)
HOUR_S = 3_600.0
MAX_REGISTRY_BYTES = 20_000_000
"""Far below the 300 MB of an entry VM, and far above what the tests need."""


def registry_of(vm: FakeVm) -> object:
    dispatcher = vm.term._dispatcher
    assert dispatcher is not None
    return dispatcher._jobs


def open_steps(vm: FakeVm) -> int:
    entries = registry_of(vm).entries.values()  # type: ignore[attr-defined]
    return sum(len(entry.job.steps) for entry in entries)


def known_tasks(vm: FakeVm) -> int:
    entries = registry_of(vm).entries.values()  # type: ignore[attr-defined]
    return sum(
        len(list(step.tasks.known()))
        for entry in entries
        for step in entry.job.steps.values()
    )


def occurrences_of(site: FakeSite, job_id: str) -> list[int]:
    """Return the numbers of the occurrences of which a task ended as done."""
    done = [run for run in site.starts_of(job_id) if run.ended_at is not None]
    return sorted({int(run.task.split(".")[1]) for run in done})


# Guards against processes that end for their memory, one after the other, as a leader
# unfolds all occurrences that are due: hourly since 1970, a million times (review/3).
@pytest.mark.parametrize(
    "step",
    [
        SMALL,
        StepSpec(count=10_000, cpu_millis=100, estimate_s=1.0),
        StepSpec(count=300, estimate_s=1.0),
        StepSpec(count=2, cpu_millis=500, long_running=True),
        StepSpec(count=4, cpu_millis=2_000, gang=True, estimate_s=1.0),
        StepSpec(count=2, cpu_millis=99_000_000),
    ],
    ids=["small", "wide", "no-demand", "lasting", "gang", "impossible"],
)
@pytest.mark.parametrize("interval_s", [0.0, HOUR_S])
def test_overdue_occurrences_cost_what_can_run(
    step: StepSpec, interval_s: float
) -> None:
    async def body() -> None:
        site = FakeSite(servers=2, vms=2)
        leader = await site.wait_for_leader()
        tracemalloc.start()
        many = step.count > 100
        job_id = site.submit(
            step,
            times=1_000_000,
            interval_s=interval_s,
            task_s=20.0 if many else 1.0,
        )
        others = []
        for _ in range(10):
            others.append(site.submit(SMALL, task_s=0.5))
            await asyncio.sleep(0.2)
            assert open_steps(leader) <= MAX_WAITING_TASKS
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert used < MAX_REGISTRY_BYTES
        await asyncio.sleep(4)
        states = {leader.term.job_state(other) for other in others}
        assert leader.term.job_state(job_id) in (JobState.RUNNING, JobState.QUEUED)
        await site.close()
        assert not site.faults
        assert states == {JobState.DONE}

    run_virtual(body)


# Guards against a leader that dies of a job as its predecessor did.
def test_the_next_leader_opens_no_more_and_goes_on_where_the_last_one_ended() -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=2)
        leader = await site.wait_for_leader()
        job_id = site.submit(SMALL, times=1_000_000, interval_s=HOUR_S, task_s=0.3)
        await asyncio.sleep(5)
        for _ in range(3):
            before = len(occurrences_of(site, job_id))
            await leader.kill()
            leader.start()
            leader = await site.wait_for_leader()
            await asyncio.sleep(5)
            assert open_steps(leader) <= MAX_WAITING_TASKS
            assert len(occurrences_of(site, job_id)) > before + 20
        done = occurrences_of(site, job_id)
        started = {run.task for run in site.starts_of(job_id)}
        await site.close()
        assert not site.faults
        # None was left out but those that were at work at the end.
        assert done == list(range(done[-1] + 1)) or len(done) > done[-1] - 70
        assert len(started) >= 2 * len(done)
        rows = [key for key in site.store.rows if key.startswith("progress/")]
        assert len(rows) < 100

    run_virtual(body)


# Guards against occurrences that are lost or repeated, and a wrong state of the job.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("times", [1, 7, 400])
def test_each_occurrence_runs_once_and_the_job_ends_with_the_last(
    seed: int, times: int
) -> None:
    async def body() -> None:
        rng = random.Random(seed)
        site = FakeSite(servers=4, vms=3, seed=seed)
        leader = await site.wait_for_leader()
        step = StepSpec(count=2, cpu_millis=900, estimate_s=0.2)
        then = StepSpec(count=1, cpu_millis=900, estimate_s=0.2, after=(0,))
        job_id = site.submit(step, then, times=times, interval_s=0.0, task_s=0.2)
        state = None
        for _ in range(60):
            await asyncio.sleep(rng.uniform(0.5, 1.5))
            leader = site.leader()
            if leader is not None:
                state = leader.term.job_state(job_id)
                finished = len(occurrences_of(site, job_id)) == times
                assert state is not JobState.DONE or finished
            if state is JobState.DONE:
                break
            if leader is not None and rng.random() < 0.25:
                await leader.kill()
                leader.start()
        await site.close()
        runs = site.starts_of(job_id)
        assert not site.faults
        assert state is JobState.DONE
        assert len({run.task for run in runs if run.how is not None}) == 3 * times

    run_virtual(body)


# Guards against many such jobs, which together take what one alone may not.
@pytest.mark.parametrize("wide", [False, True])
def test_many_recurring_jobs_leave_room_for_others(wide: bool) -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=2)
        leader = await site.wait_for_leader()
        other = Customer("other", frozenset({"other-key"}), weight=20.0)
        site.configuration.value = configuration(CUSTOMER, other)
        step = StepSpec(count=5_000, cpu_millis=500, estimate_s=1.0) if wide else SMALL
        jobs = [site.submit(step, times=10**9, interval_s=1.0) for _ in range(120)]
        others = []
        for _ in range(10):
            others.append(site.submit(SMALL, task_s=0.5, customer="other"))
            await asyncio.sleep(0.2)
            assert open_steps(leader) <= MAX_WAITING_TASKS + len(jobs)
            assert known_tasks(leader) <= MAX_WAITING_TASKS + 4 * 400 + 64 * len(jobs)
        await asyncio.sleep(4)
        states = {leader.term.job_state(other) for other in others}
        await site.close()
        assert not site.faults
        assert states == {JobState.DONE}

    run_virtual(body)


# Guards against occurrences that wait for earlier ones although they are due and there
# is room: they may overlap.
def test_occurrences_that_are_due_overlap() -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=1)
        await site.wait_for_leader()
        now = asyncio.get_running_loop().time()
        first_at = EPOCH.timestamp() + now + 1.0
        step = StepSpec(count=1, cpu_millis=100, estimate_s=20.0)
        job_id = site.submit(
            step, times=100, interval_s=0.1, first_at=first_at, task_s=20.0
        )
        await asyncio.sleep(12)
        runs = {run.task: run for run in site.starts_of(job_id)}
        assert len(runs) == 100
        assert all(lateness(run, now + 1.0) < 0.4 for run in runs.values())
        await site.close()
        assert not site.faults

    def lateness(run: RunRecord, first_at: float) -> float:
        occurrence = int(run.task.split(".")[1])
        return run.began_at - (first_at + occurrence * 0.1)

    run_virtual(body)


# Guards against a job with many steps or long chains that opens without a bound.
def test_steps_that_wait_for_others_do_not_accumulate() -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=1)
        leader = await site.wait_for_leader()
        first = StepSpec(count=1, cpu_millis=1, estimate_s=60.0)
        rest = [StepSpec(count=5_000, cpu_millis=1, after=(0,)) for _ in range(50)]
        site.submit(first, *rest, times=10**6, interval_s=0.0, task_s=60.0)
        for _ in range(10):
            await asyncio.sleep(1)
            assert open_steps(leader) <= MAX_OPEN_STEPS
        await site.close()
        assert not site.faults

    run_virtual(body)


def test_overdue_occurrences_are_counted_for_operators() -> None:
    async def body() -> None:
        site = FakeSite(servers=1, vms=1)
        leader = await site.wait_for_leader()
        site.submit(SMALL, times=1_000, interval_s=0.0, task_s=30.0)
        await asyncio.sleep(1)
        metrics = Metrics()
        opener = OccurrenceOpener(registry_of(leader), VirtualClock(), metrics)  # type: ignore[arg-type]
        opener.open_due()
        line = next(
            each
            for each in metrics.render().splitlines()
            if each.startswith("cassiaweir_occurrences_overdue")
        )
        assert 900 < float(line.split()[-1]) < 1_000
        await site.close()

    run_virtual(body)
