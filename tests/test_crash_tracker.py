"""Tests of which ends of servers are taken for crashes.

Pattern: a leader has just taken over, and does not find a server that a task was lost
with: the store fails before it can read the entries, or the entry is missing.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest

from cassiaweir.dispatch._crash_tracker import CrashTracker
from cassiaweir.dispatch._job_errors import JobErrors
from cassiaweir.dispatch._lost_lifetimes import LOSS_RETENTION_S
from cassiaweir.jobs import Job, JobSpec, StepSpec
from cassiaweir.jobs._crashes import CrashRow
from cassiaweir.observe import Metrics
from tests.site_fakes import QUEUE
from tests.virtual_time import VirtualClock, run_virtual

JOB_ID = "0" * 16
TASK = f"{JOB_ID}.0.0.0"
CURRENT, OUTDATED = timedelta(seconds=1), timedelta.max


class Leader:
    """A tracker without any server, and one job with a loss from a former leader."""

    def __init__(self, lifetime: str, lease_until: float = 0.0) -> None:
        self.entries_age = OUTDATED
        spec = JobSpec(JOB_ID, QUEUE, "c", "x", (StepSpec(count=1),), 0.0)
        self.job = Job(spec, 1, 3)
        row = CrashRow(lifetime, [TASK], lease_until=lease_until)
        self.job.crashes.restore([row])
        entry = SimpleNamespace(job=self.job, runs=(), write_position=0)
        jobs: Any = SimpleNamespace(
            entries={JOB_ID: entry},
            save=lambda _: 1,
            find_task=self.job.find_task,
            errors=JobErrors(VirtualClock()),
        )
        self.tracker = CrashTracker(
            jobs,
            {},
            VirtualClock(),
            Metrics(),
            store_reachable=lambda: True,
            is_stored=lambda _: True,
            entries_age=lambda: self.entries_age,
            stop=lambda _: None,
        )
        self.tracker.restore(self.job)

    async def resolve_for(self, seconds: float) -> int:
        """Resolve repeatedly; return the number of crashes under the task."""
        for _ in range(round(seconds * 10)):
            await asyncio.sleep(0.1)
            self.tracker.resolve()
        return len(self.job.crashes.confirmed(TASK))


# Guards against LOST (issue 56): a server without an entry counts as crashed, though it
# may have been cut off from the store.
def test_a_missing_entry_is_no_crash_but_ends_the_wait_for_the_server() -> None:
    async def body() -> None:
        leader = Leader("i-1@1")
        assert await leader.resolve_for(10) == 0
        assert list(leader.job.crashes.open_losses(TASK))
        leader.entries_age = CURRENT
        assert await leader.resolve_for(2) == 0
        assert list(leader.job.crashes.open_losses(TASK))
        assert await leader.resolve_for(60) == 0
        assert not list(leader.job.crashes.open_losses(TASK))
        assert list(leader.job.crashes.losses)

    run_virtual(body)


# Guards against a job that waits for ever as the cause of its losses stays unknown.
def test_an_old_loss_is_forgotten() -> None:
    async def body() -> None:
        leader = Leader("i-1@1")
        assert await leader.resolve_for(LOSS_RETENTION_S + 1) == 0
        assert not list(leader.job.crashes.losses)

    run_virtual(body)


# Guards against BUDGET (issue 56): a successor does not count a crash that it hears of
# while leases of its former leader are in force; and against LOST if they are not.
@pytest.mark.parametrize(("left_s", "crashes"), [(3.0, 1), (1.0, 0), (-5.0, 0)])
def test_a_replaced_server_crashed_if_leases_were_in_force(
    left_s: float, crashes: int
) -> None:
    async def body() -> None:
        wall = VirtualClock().now().timestamp()
        leader = Leader("i-1@1", lease_until=wall + left_s)
        leader.tracker.note_replaced(["i-1"])
        assert await leader.resolve_for(5) == crashes

    run_virtual(body)


# Guards against a malformed row that keeps a new leader from taking a job over.
def test_an_unreadable_lifetime_is_forgotten() -> None:
    async def body() -> None:
        leader = Leader("nothing")
        assert not list(leader.job.crashes.losses)

    run_virtual(body)
