"""Tests of `TableWatch`: what it reads again after a failed load."""

from __future__ import annotations

import asyncio
from collections import Counter
from datetime import timedelta

import pytest

from cassiaweir.exceptions import UnavailableError
from cassiaweir.feeds import TableWatch
from cassiaweir.feeds._table_watch import MAX_CONCURRENT_SNAPSHOTS
from cassiaweir.types import Changes, Row, Snapshot
from cassiaweir.verdict import Verdict
from tests.virtual_time import VirtualClock, run_virtual

PREFIXES = tuple(f"jobs/{part}/" for part in "0123456789abcdef")


class FlakyFeed:
    """Fails the first two snapshots of each of `failing_prefixes`.

    While it is `silent`, it fails to read changes.
    """

    def __init__(self, failing_prefixes: set[str]) -> None:
        self.failing_prefixes = failing_prefixes
        self.reads: Counter[str] = Counter()
        self.changes_after: list[int] = []
        self.concurrent = 0
        self.max_concurrent = 0
        self.silent = False
        self.polls = 0

    async def snapshot(self, prefix: str) -> Snapshot:
        self.reads[prefix] += 1
        self.concurrent += 1
        self.max_concurrent = max(self.max_concurrent, self.concurrent)
        await asyncio.sleep(0.1)
        self.concurrent -= 1
        if prefix in self.failing_prefixes and self.reads[prefix] <= 2:
            raise UnavailableError("silent", verdict=Verdict.NOT_RUN)
        version = 10 + self.reads[prefix]
        return Snapshot([Row(f"{prefix}a", version, b"x")], version)

    async def changes(self, table: str, after: int, wait: timedelta) -> Changes:
        self.changes_after.append(after)
        self.polls += 1
        if self.silent:
            raise UnavailableError("silent", verdict=Verdict.NOT_RUN)
        await asyncio.sleep(wait.total_seconds())
        return Changes([], [], after)


def test_a_failed_load_rereads_only_the_missing_prefixes() -> None:
    async def body() -> None:
        feed = FlakyFeed({PREFIXES[0], PREFIXES[7]})
        watch = TableWatch(feed, PREFIXES, VirtualClock(), wait=timedelta(seconds=1))
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(3)
        assert watch.listed
        assert len(watch.rows) == len(PREFIXES)
        assert feed.reads[PREFIXES[0]] == feed.reads[PREFIXES[7]] == 3
        assert feed.reads[PREFIXES[1]] == 1
        assert feed.max_concurrent == MAX_CONCURRENT_SNAPSHOTS
        # Polling for changes starts at the version of the oldest snapshot.
        assert feed.changes_after[0] == 11
        task.cancel()

    run_virtual(body)


# Guards against a view that counts as current although a part of it is older: a prefix
# that was read before another one failed is not read again.
def test_the_age_of_a_view_is_that_of_its_oldest_snapshot() -> None:
    async def body() -> None:
        feed = FlakyFeed({PREFIXES[7]})
        second = timedelta(seconds=1)
        watch = TableWatch(feed, PREFIXES, VirtualClock(), wait=second, pause=second)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(1)
        assert watch.listed
        # The first prefixes were read at 0 s, and the last one at 0.7 s.
        assert watch.age() == second
        task.cancel()

    run_virtual(body)


# Guards against a view that stays too old for `wait` after a failure or a long load,
# as nothing changes: what rests on it would wait for that time.
@pytest.mark.parametrize("failing", [set(), {PREFIXES[7]}])
def test_a_view_is_current_soon_after_a_load_or_failure(failing: set[str]) -> None:
    async def body() -> None:
        feed = FlakyFeed(failing)
        watch = TableWatch(feed, PREFIXES, VirtualClock(), wait=timedelta(seconds=1))
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.85 if failing else 0.45)
        assert watch.listed
        assert watch.age().total_seconds() < 0.06
        await asyncio.sleep(1.5)
        feed.silent = True
        await asyncio.sleep(3)
        assert watch.age().total_seconds() > 2
        feed.silent = False
        await asyncio.sleep(0.12)
        assert watch.age().total_seconds() < 0.15
        assert feed.polls < 50
        task.cancel()

    run_virtual(body)
