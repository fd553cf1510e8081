"""Tests of `CommitStream`: the leader's transactions, fenced by the guard row."""

from __future__ import annotations

import asyncio
import itertools
import random

import pytest

from cassiaweir.dispatch import job_key, outcome_key
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.exceptions import LeadershipLostError
from cassiaweir.jobs import JobSpec, JobState, StepSpec
from cassiaweir.leadership import CommitStream, Leadership, Owner
from cassiaweir.leadership._rows import GUARD_KEY, OWNER_KEY, decode_owner
from cassiaweir.observe import Metrics
from cassiaweir.types import Check, Row, Write
from standins.users import MemoryStore
from tests.site_fakes import (
    URGENT,
    ReplaceableConfiguration,
    VmStore,
    configuration,
)
from tests.virtual_time import VirtualClock, run_virtual


class CommitRig:
    """Runs a commit stream on an in-memory store."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        versions = self.store.apply(
            [], [Write(OWNER_KEY, b"{}"), Write(GUARD_KEY, b"{}")]
        )
        version = versions[GUARD_KEY]
        self.node = VmStore(self.store, random.Random(1))
        self.leadership = Leadership(Owner(1, "n", "i", "a"), version, version, 0.0)
        self.metrics = Metrics()
        self.commits = CommitStream(
            self.node, VirtualClock(), self.leadership, self.metrics
        )
        self.task = asyncio.create_task(self.commits.run())

    async def close(self) -> None:
        """Cancel the stream."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


def test_writes_queued_together_share_a_transaction() -> None:
    async def body() -> None:
        rig = CommitRig()
        before = rig.store.commits
        positions = [rig.commits.put(Write(f"t/main/{n}", b"x")) for n in range(50)]
        await rig.commits.wait_until_stored(positions[-1])
        assert rig.store.commits == before + 1
        assert all(rig.commits.is_stored(position) for position in positions)
        await rig.close()

    run_virtual(body)


def test_a_replaced_write_counts_as_stored_only_with_its_replacement() -> None:
    """Guards against reporting a write as stored while its replacement is queued.

    The backlog exceeds one transaction, and the replacement is in a later one.
    """

    async def body() -> None:
        rig = CommitRig()
        rig.node.fault_mode = "busy"
        await asyncio.sleep(0.1)
        replaced_position = rig.commits.put(Write("t/main/row", b"old"))
        for number in range(200):
            rig.commits.put(Write(f"t/main/{number}", b"x"))
        rig.commits.put(Write("t/main/row", b"new"))
        rig.node.fault_mode = ""
        await rig.commits.wait_until_stored(replaced_position)
        assert rig.store.rows["t/main/row"].value == b"new"
        await rig.close()

    run_virtual(body)


@pytest.mark.parametrize("fault", ["lossy", "late"])
def test_lost_and_late_answers_neither_lose_nor_revert_a_row(fault: str) -> None:
    async def body() -> None:
        rig = CommitRig()
        rig.node.fault_mode = fault
        for number in range(60):
            value = str(number).encode()
            await rig.commits.wait_until_stored(
                rig.commits.put(Write("t/main/row", value))
            )
            assert rig.store.rows["t/main/row"].value == value
        rig.node.fault_mode = ""
        await asyncio.sleep(10)
        assert rig.store.rows["t/main/row"].value == b"59"
        assert not rig.leadership.lost
        await rig.close()

    run_virtual(body)


def test_a_takeover_ends_the_stream_and_fails_its_waiters() -> None:
    async def body() -> None:
        rig = CommitRig()
        guard = rig.store.rows[GUARD_KEY]
        rig.store.apply([Check(GUARD_KEY, guard.version)], [Write(GUARD_KEY, b"{}")])
        position = rig.commits.put(Write("t/main/row", b"x"))
        with pytest.raises(LeadershipLostError):
            await rig.commits.wait_until_stored(position)
        assert rig.leadership.lost
        assert "t/main/row" not in rig.store.rows
        await rig.close()

    run_virtual(body)


def test_leadership_is_renewed_while_nothing_is_written() -> None:
    async def body() -> None:
        rig = CommitRig()
        await asyncio.sleep(3)
        assert rig.leadership.may_act(VirtualClock().monotonic())
        renewals = rig.store.commits
        assert renewals >= 5
        rig.node.fault_mode = "silent"
        await asyncio.sleep(8)
        assert not rig.leadership.may_act(VirtualClock().monotonic())
        await rig.close()

    run_virtual(body)


def test_release_stores_queued_writes_before_marking_the_owner_row() -> None:
    async def body() -> None:
        rig = CommitRig()
        rig.commits.put(Write("t/main/row", b"x"))
        await rig.commits.release()
        assert rig.store.rows["t/main/row"].value == b"x"
        owner = decode_owner(rig.store.rows[OWNER_KEY])
        assert owner is not None
        assert owner.released
        await rig.close()

    run_virtual(body)


# Guards against TWICE: a leader that acts again after a release without an answer.
def test_a_release_without_an_answer_is_not_taken_back_by_a_later_write() -> None:
    async def body() -> None:
        rig = CommitRig()
        rig.node.fault_mode = "silent"
        releasing = asyncio.create_task(rig.commits.release())
        await asyncio.sleep(0.1)
        assert not rig.leadership.may_act(asyncio.get_running_loop().time())
        rig.commits.put(Write("t/main/row", b"an end that was reported meanwhile"))
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert not rig.leadership.may_act(asyncio.get_running_loop().time())
        rig.node.fault_mode = ""
        await asyncio.wait_for(releasing, 3)
        assert rig.leadership.lost
        owner = decode_owner(rig.store.rows[OWNER_KEY])
        assert owner is not None
        assert owner.released
        await rig.close()

    run_virtual(body)


def test_leadership_at_a_version_is_confirmed_only_by_a_later_transaction() -> None:
    async def body() -> None:
        rig = CommitRig()
        version = rig.store.apply([], [Write("jobs/0/j", b"x")])["jobs/0/j"]
        assert not rig.commits.confirm_leadership(version)
        await asyncio.sleep(0.05)
        assert rig.commits.confirm_leadership(version)
        await rig.close()

    run_virtual(body)


# Guards against a stream of writes whose backlog no metric and no log line shows.
def test_a_backlog_of_writes_is_measured_by_table() -> None:
    async def body() -> None:
        rig = CommitRig()
        rig.node.fault_mode = "busy"
        for number in range(300):
            rig.commits.put(Write(f"known/main/{number}", b"x"))
        rig.commits.put(Write("known/main/299", b"y"))
        await asyncio.sleep(1.5)
        rig.node.fault_mode = ""
        await rig.commits.wait_until_stored(1)
        text = rig.metrics.render()
        assert 'cassiaweir_leader_rows_stored_total{table="known"} 96' in text
        assert 'cassiaweir_leader_rows_replaced_total{table="known"} 1' in text
        assert "cassiaweir_leader_rows_queued 204" in text
        await rig.close()

    run_virtual(body)


# Guards against starts that go back to the queue again and again (issue 47): a row that
# is written again while it is queued moved to the end of the queue, so that neither it
# nor anything behind its first write counted as stored while others were queued.
def test_a_row_that_is_rewritten_often_is_stored_in_its_turn() -> None:
    async def body() -> None:
        rig = CommitRig()
        number = itertools.count()
        for _ in range(600):
            rig.commits.put(Write(f"progress/main/{next(number)}", b"x"))
        position = rig.commits.put(Write("known/main/server", b"0"))

        async def load() -> None:
            while True:
                for _ in range(40):
                    rig.commits.put(Write(f"progress/main/{next(number)}", b"x"))
                rig.commits.put(Write("known/main/server", b"%d" % next(number)))
                await asyncio.sleep(0.004)

        loading = asyncio.create_task(load())
        async with asyncio.timeout(0.4):
            await rig.commits.wait_until_stored(position)
        loading.cancel()
        await rig.close()

    run_virtual(body)


# Guards against SHORT by urgent jobs that have ended, and are shown as running until
# the progress of all batch jobs is stored that was queued before their end.
def test_the_end_of_an_urgent_job_is_shown_before_queued_progress_is_stored() -> None:
    async def body() -> None:
        rig = CommitRig()
        source = ReplaceableConfiguration(configuration())
        jobs = JobRegistry(rig.commits, VirtualClock(), source, {}, {})
        spec = JobSpec("a" * 16, URGENT, "c", "x", (StepSpec(count=1),), 0.0)
        row = Row(job_key(spec.job_id), 1, spec.encode())
        entry = jobs.add_row(row, held=False)
        assert entry is not None
        for number in range(2_000):
            rig.commits.put(Write(f"t/main/{number}", b"x" * 2_000))
        entry.job.state = JobState.DONE
        position = jobs.save(entry)
        assert jobs.state(spec.job_id) is JobState.QUEUED
        for _ in range(1_000):
            await asyncio.sleep(0.001)
            stored = outcome_key(spec.job_id) in rig.store.rows
            if jobs.state(spec.job_id) is JobState.DONE:
                break
            assert not rig.commits.is_stored(position)
        assert stored
        assert not rig.commits.is_stored(position)
        await rig.close()

    run_virtual(body)
