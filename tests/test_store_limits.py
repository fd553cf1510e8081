"""Tests that every sender keeps to the store's limits for one transaction.

Pattern: many jobs end within seconds, or large ones arrive together.
"""

from __future__ import annotations

import asyncio

import pytest
from msgspec import json

from cassiaweir.dispatch._compaction import SHRINK_INTERVAL, RowShrinker
from cassiaweir.dispatch._job_rows import SHRUNK_VALUE, job_key
from cassiaweir.exceptions import InvalidInputError, TransactionRejectedError
from cassiaweir.front import JobWriter
from cassiaweir.jobs import Job, JobSpec, StepSpec, check_steps, encode_chunk
from cassiaweir.jobs._progress import MAX_PROGRESS_BYTES
from cassiaweir.leadership import CommitStream, Leadership, Owner
from cassiaweir.leadership._rows import GUARD_KEY
from cassiaweir.platform._store import _encode_transaction
from cassiaweir.store import MAX_ROW_BYTES, TransactionSize
from cassiaweir.types import Check, Row, Write
from standins.users import MemoryStore
from tests.site_fakes import QUEUE
from tests.virtual_time import VirtualClock, run_virtual


class RecordingTable:
    """A table that refuses what the real one refuses, and records the refusals."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.rejected: list[int] = []

    async def read(self, keys: list[str]) -> dict[str, Row]:
        return {key: self.store.rows[key] for key in keys if key in self.store.rows}

    async def commit(self, checks: list[Check], writes: list[Write]) -> dict[str, int]:
        await asyncio.sleep(0.003)
        try:
            return self.store.apply(checks, writes)
        except TransactionRejectedError:
            self.rejected.append(len(checks) + len(writes))
            raise


class NoLeader:
    """Has no leader to notify."""

    def notify_leader(self, rows: list[Row]) -> None:
        """Do nothing."""


def spec_of(job_id: str, spec_bytes: int = 10, steps: int = 1) -> JobSpec:
    step = StepSpec(count=1, image="i" * (spec_bytes // steps))
    return JobSpec(job_id, QUEUE, "agency", "1/done", (step,) * steps, 0.0)


# Guards against batches of 60 checks and 60 writes, which the store refuses for good
# and which were sent again every 3 s, so that each new leader loaded all rows.
def test_rows_of_many_ended_jobs_are_shrunk_within_the_limits() -> None:
    async def body() -> None:
        table = RecordingTable()
        shrinker = RowShrinker(table, VirtualClock())  # type: ignore[arg-type]
        keys = [job_key(f"{number:015x}0") for number in range(150)]
        for key in keys:
            version = table.store.apply([], [Write(key, b"x" * 500)])[key]
            shrinker.add(Row(key, version, b"x"))
        task = asyncio.create_task(shrinker.run())
        await asyncio.sleep(SHRINK_INTERVAL.total_seconds() * 5)
        task.cancel()
        assert not table.rejected
        assert all(table.store.rows[key].value == SHRUNK_VALUE for key in keys)

    run_virtual(body)


# Guards against a refusal that is taken for an outage: the callers of a whole batch
# got 504 again and again because one job in it was too large.
def test_a_job_too_large_to_store_is_refused_alone() -> None:
    async def body() -> None:
        table = RecordingTable()
        writer = JobWriter(
            table,  # type: ignore[arg-type]
            VirtualClock(),
            NoLeader(),  # type: ignore[arg-type]
            store_unreachable=lambda: False,
        )
        small = [spec_of(f"{number:015x}0") for number in range(10)]
        large = spec_of(f"{99:015x}0", MAX_ROW_BYTES)
        results = await asyncio.gather(
            *(writer.submit(each) for each in [*small, large]), return_exceptions=True
        )
        assert results[:-1] == [None] * 10
        assert isinstance(results[-1], InvalidInputError)

    run_virtual(body)


# Guards against batches of large jobs that pass the limit of bytes.
def test_large_jobs_are_stored_in_several_transactions() -> None:
    async def body() -> None:
        table = RecordingTable()
        writer = JobWriter(
            table,  # type: ignore[arg-type]
            VirtualClock(),
            NoLeader(),  # type: ignore[arg-type]
            store_unreachable=lambda: False,
        )
        specs = [spec_of(f"{number:015x}0", 60_000) for number in range(40)]
        await asyncio.gather(*(writer.submit(each) for each in specs))
        assert not table.rejected
        assert len(table.store.rows) == 40

    run_virtual(body)


# Guards against a leader that repeats a refused row for ever, so that no end of any
# job is stored any more.
def test_a_refused_row_of_the_leader_does_not_hold_up_the_others() -> None:
    async def body() -> None:
        table = RecordingTable()
        clock = VirtualClock()
        version = table.store.apply([], [Write(GUARD_KEY, b"{}")])[GUARD_KEY]
        owner = Owner(1, "vm", "vm-1", "vm:1")
        leadership = Leadership(owner, version, version, clock.monotonic())
        commits = CommitStream(table, clock, leadership)  # type: ignore[arg-type]
        task = asyncio.create_task(commits.run())
        commits.put(Write("progress/main/large", b"x" * (MAX_ROW_BYTES + 1)))
        for number in range(20):
            position = commits.put(Write(f"progress/main/{number}", b"x"))
        await asyncio.wait_for(commits.wait_until_stored(position), 2.0)
        assert all(
            f"progress/main/{number}" in table.store.rows for number in range(20)
        )
        task.cancel()

    run_virtual(body)


# Guards against progress of wide jobs that no row can hold.
def test_progress_without_room_for_checkpoints_fits_into_a_row() -> None:
    steps = (StepSpec(count=6_000, checkpoints=True),) * 2
    check_steps(steps)
    job = Job(JobSpec("a" * 16, QUEUE, "agency", "", steps, 0.0), 1, 3)
    for step in job.steps.values():
        for task in step.tasks:
            task.checkpoint = "c" * 16
        for task in step.tasks[1:]:
            job.finish_task(task)
    for step in job.steps.values():
        step.tasks[0].checkpoint = "c" * MAX_PROGRESS_BYTES
    assert job.unsaved_chunks
    for chunk in job.unsaved_chunks:
        assert len(encode_chunk(job, chunk)) <= MAX_ROW_BYTES


def test_more_tasks_than_progress_can_name_are_refused() -> None:
    with pytest.raises(InvalidInputError, match="expected at most"):
        check_steps([StepSpec(count=10_000)] * 2)


def test_the_size_of_a_transaction_bounds_its_encoding() -> None:
    checks, writes = [Check("t/p/k", 1)], [Write("t/p/k", b"x" * 300)]
    size = TransactionSize.of(checks, writes)
    assert size.entries == 2
    assert size.encoded_bytes >= len(json.encode(_encode_transaction(checks, writes)))
