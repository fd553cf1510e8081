"""Tests of which ends of servers are taken for crashes.

Pattern: a leader has just taken over, and the store fails before it can read which
servers are registered.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from cassiaweir.dispatch._crash_tracker import CrashTracker
from cassiaweir.jobs import Crash, Job, JobSpec, StepSpec
from cassiaweir.observe import Metrics
from tests.site_fakes import QUEUE
from tests.virtual_time import VirtualClock, run_virtual

JOB_ID = "0" * 16
TASK = f"{JOB_ID}.0.0.0"
CURRENT, OUTDATED = timedelta(seconds=1), timedelta.max


class Leader:
    """A tracker without any server, and one job with a loss from a former leader."""

    def __init__(self, lifetime: str) -> None:
        self.entries_age = OUTDATED
        spec = JobSpec(JOB_ID, QUEUE, "c", "x", (StepSpec(count=1),), 0.0)
        self.job = Job(spec, 1, 3)
        self.job.crashes.add_loss(TASK, lifetime, Crash())
        entry = SimpleNamespace(job=self.job, runs=(), write_position=0)
        jobs: Any = SimpleNamespace(
            entries={JOB_ID: entry}, save=lambda _: 1, find_task=self.job.find_task
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


# Guards against jobs that are given up as servers were unknown, not gone.
def test_a_server_has_not_crashed_while_entries_cannot_be_read() -> None:
    async def body() -> None:
        leader = Leader("i-1@1")
        assert await leader.resolve_for(10) == 0
        leader.entries_age = CURRENT
        assert await leader.resolve_for(2) == 0
        assert await leader.resolve_for(2) == 1

    run_virtual(body)


# Guards against a malformed row that keeps a new leader from taking a job over.
def test_an_unreadable_lifetime_is_forgotten() -> None:
    async def body() -> None:
        leader = Leader("nothing")
        assert not list(leader.job.crashes.losses)

    run_virtual(body)
