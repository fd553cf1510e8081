"""Tests that no row grows past the store's limit, and that none is lost unsaid.

What the store refuses is not stored, and nothing that rests on it is acknowledged.
"""

from __future__ import annotations

import asyncio

import pytest

from cassiaweir.dispatch import ServerEntry
from cassiaweir.dispatch._job_rows import progress_by_job, progress_key
from cassiaweir.dispatch._placement import MAX_RUNS_PER_SERVER
from cassiaweir.dispatch._server_records import ServerRecords, decode_former_tasks
from cassiaweir.exceptions import RowRejectedError
from cassiaweir.jobs import (
    Crash,
    Job,
    JobSpec,
    JobState,
    StepSpec,
    apply_progress,
    check_steps,
    encode_chunk,
    encode_outcome,
)
from cassiaweir.jobs._job import TASKS_PER_CHUNK
from cassiaweir.leadership import Owner
from cassiaweir.store import MAX_ROW_BYTES
from cassiaweir.types import Resources, Row, Write
from standins.users._servers import MAX_LISTED_ENDS
from tests.site_fakes import QUEUE, FakeSite
from tests.test_leadership_commits import CommitRig
from tests.virtual_time import run_virtual

SERVER_ID = "giacenze-augusta-0017-5c0e7a21d94b36f8"
LARGEST_RUN = 10_000_000_000
ATTEMPTS = 50


def largest_job(steps: tuple[StepSpec, ...], times: int = 0) -> Job:
    """Return a job of which every second task is done and the others did badly."""
    check_steps(steps)
    job = Job(JobSpec("f" * 16, QUEUE, "agency", "", steps, 0.0, times), 1, ATTEMPTS)
    if times:
        job.open_occurrence()
    for step in list(job.steps.values()):
        for task in step.tasks[1::2]:
            job.finish_task(task)
        for task in step.tasks[::2]:
            for number in range(ATTEMPTS - 1):
                job.record_run_failure(task, LARGEST_RUN + 64 * number)
            attempts = step.attempts_of(task)
            attempts.record_checkpoint(LARGEST_RUN, "c" * 16)
            for number in range(3):
                lifetime = f"{SERVER_ID}-{number}-{task.index}@{1.8e12:.0f}"
                job.crashes.add_loss(task.name, lifetime, Crash())
                job.crashes.confirm(lifetime, Crash())
            job.crashes.watch(task.name, f"{SERVER_ID}@{1.8e12:.0f}")
            job.mark_unsaved(task.name)
    return job


# Guards against TWICE: the progress of a job of many tasks exceeded a row, was dropped
# as if it were stored, and its tasks ran again under the next leader (review/4).
@pytest.mark.parametrize(
    "steps",
    [
        (StepSpec(count=10_000, checkpoints=True), StepSpec(count=2_000)),
        (StepSpec(count=10_000, gang=True, checkpoints=True),),
        (StepSpec(count=10_000, long_running=True),),
        tuple(StepSpec(count=60) for _ in range(200)),
    ],
    ids=["wide", "gang", "lasting", "many-steps"],
)
@pytest.mark.parametrize("times", [0, 1_000_000])
def test_the_largest_progress_fits_into_rows(
    steps: tuple[StepSpec, ...], times: int
) -> None:
    job = largest_job(steps, times)
    rows = {chunk: encode_chunk(job, chunk) for chunk in job.unsaved_chunks}
    tasks = sum(step.count for step in steps)
    assert len(rows) <= tasks / TASKS_PER_CHUNK + 2
    assert max(len(row) for row in rows.values()) <= MAX_ROW_BYTES
    stored = [Row(progress_key(job.job_id, each), 1, rows[each]) for each in rows]
    read = progress_by_job(stored)[job.job_id]
    assert read == rows
    rebuilt = Job(job.spec, 1, ATTEMPTS)
    apply_progress(rebuilt, list(read.values()))
    for key, step in job.steps.items():
        again = rebuilt.steps[key]
        assert again.done_count == step.done_count
        for task in step.tasks.known():
            same = again.attempts_of(again.tasks[task.index])
            if not step.spec.long_running:
                assert same.failure_count == step.attempts_of(task).failure_count
            crashes = job.crashes.confirmed(task.name)
            assert rebuilt.crashes.confirmed(task.name) == crashes


# Guards against ranges of complete occurrences that grow past a row.
def test_the_occurrences_of_a_long_series_fit_into_a_row() -> None:
    spec = JobSpec("f" * 16, QUEUE, "agency", "", (StepSpec(count=1),), 0.0, 10**9)
    job = Job(spec, 1, 3)
    for _ in range(2_000):
        steps = job.open_occurrence()
        if steps[0].occurrence % 3:
            job.finish_task(steps[0].tasks[0])
    assert len(job.steps) == 667
    assert len(encode_chunk(job, (0, 0))) <= MAX_ROW_BYTES / 2


def test_the_row_of_a_server_fits_or_names_no_task() -> None:
    written: list[Write] = []

    class Writer:
        def put(self, write: Write, *, urgent: bool = False) -> int:
            written.append(write)
            return len(written)

        def is_stored(self, position: int) -> bool:
            return True

    records = ServerRecords(Writer(), {}, 7)
    entry = ServerEntry(SERVER_ID, "10.1.0.17:8180", "s", "z", Resources(16_000))
    owner = Owner(1, "vm", "vm-1", "vm:1", task_records_since=1)
    names = [f"{'f' * 16}.1000000.100.{index}" for index in range(5_000)]
    for count in (0, 1, MAX_RUNS_PER_SERVER, MAX_LISTED_ENDS, 5_000):
        records.restrict(entry, names[:count])
        row = Row(written[-1].key, 1, written[-1].value or b"")
        assert len(row.value) <= MAX_ROW_BYTES
        found = decode_former_tasks([row], owner)[SERVER_ID]
        named = found.names == frozenset(names[:count])
        assert named or (found.names is None and count > MAX_RUNS_PER_SERVER)
        assert records.is_open(SERVER_ID) == (found.names is None)


def test_outcomes_are_short() -> None:
    job = largest_job((StepSpec(count=10_000),))
    job.state = JobState.FAILED
    assert len(encode_outcome(job.state)) < 100


# Guards against TWICE: a row that the store refused counted as stored, so that the ends
# in it were acknowledged and no successor knew of them (review/4).
def test_a_refused_row_does_not_count_as_stored() -> None:
    async def body() -> None:
        rig = CommitRig()
        large = Write("progress/main/large", b"x" * (MAX_ROW_BYTES + 1))
        first = rig.commits.put(large)
        other = rig.commits.put(Write("progress/main/other", b"x"))
        again = rig.commits.put(large)
        last = rig.commits.put(Write("progress/main/last", b"x"))
        await rig.commits.wait_until_stored(last)
        assert rig.commits.is_stored(other)
        assert not rig.commits.is_stored(first)
        assert not rig.commits.is_stored(again)
        assert rig.commits.rejected_rows == 1
        with pytest.raises(RowRejectedError):
            await rig.commits.wait_until_stored(first)
        # The newest form of the row has all that the refused ones had.
        small = rig.commits.put(Write("progress/main/large", b"x"))
        await rig.commits.wait_until_stored(small)
        assert rig.commits.is_stored(first)
        assert rig.commits.is_stored(again)
        assert rig.commits.rejected_rows == 0
        await rig.close()

    run_virtual(body)


# Guards against the same through a whole leader: the store takes only short rows.
@pytest.mark.parametrize("row_bytes", [60, 120, 240])
@pytest.mark.parametrize("seed", range(4))
def test_nothing_runs_twice_if_the_store_refuses_rows(
    row_bytes: int, seed: int
) -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=3, seed=seed)
        leader = await site.wait_for_leader()
        site.store.row_bytes["progress"] = row_bytes
        wide = StepSpec(count=60, cpu_millis=1_000, estimate_s=0.7)
        jobs = [site.submit(wide, task_s=0.7) for _ in range(4)]
        for _ in range(4):
            await asyncio.sleep(site.rng.uniform(0.5, 1.5))
            await leader.kill()
            leader.start()
            leader = await site.wait_for_leader()
        await asyncio.sleep(8)
        states = {leader.term.job_state(job_id) for job_id in jobs}
        await site.close()
        assert not site.faults
        assert states == {JobState.DONE}

    run_virtual(body)


# Guards against TWICE: as in review/4, machines that are stopped in turn while a wide
# job runs, so that each leader records where it starts each task.
def test_tasks_of_a_wide_job_run_once_while_leaders_are_stopped_in_turn() -> None:
    async def body() -> None:
        site = FakeSite(servers=8, vms=3)
        await site.wait_for_leader()
        count = 3_600
        wide = StepSpec(count=count, cpu_millis=100, estimate_s=3.0)
        job_id = site.submit(wide, task_s=3.0)
        await asyncio.sleep(1)
        for _ in range(4):
            leader = await site.wait_for_leader()
            await leader.election.stop()
            await leader.kill()
            leader.start()
            await asyncio.sleep(3.5)
        await asyncio.sleep(12)
        leader = await site.wait_for_leader()
        state = leader.term.job_state(job_id)
        await site.close()
        assert not site.faults
        assert state is JobState.DONE
        done = [run for run in site.starts_of(job_id) if run.how is not None]
        assert len(done) >= count

    run_virtual(body)
