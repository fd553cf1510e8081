"""Synchronizes the parts of a shard in memory with their rows in the table."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

from cassiaweir.fleet._part_store import PartStore
from cassiaweir.fleet._task_tracker import TaskTracker
from cassiaweir.fleet._worker_driver import WorkerDriver
from cassiaweir.observe import EventLog
from cassiaweir.types import Clock
from cassiaweir.work import Part, TaskPhase


class PartSync:
    """Reads parts that are new or changed, and commits the outcomes of tasks.

    All parts are read every `poll`, and those named by `notify` in the next step.
    `on_parts_read` is called after each read of `step`.
    """

    def __init__(
        self,
        shard: str,
        store: PartStore,
        tracker: TaskTracker,
        drivers: Mapping[str, WorkerDriver],
        *,
        clock: Clock,
        events: EventLog,
        poll: timedelta,
        on_parts_read: Callable[[], None],
    ) -> None:
        self._shard = shard
        self._store = store
        self._tracker = tracker
        self._drivers = drivers
        self._clock = clock
        self._events = events
        self._poll = poll
        self._on_parts_read = on_parts_read
        self._notified: set[str] = set()
        self._polled_at = float("-inf")

    def notify(self, job: str) -> None:
        """Make the next step read the part of `job`."""
        self._notified.add(job)

    async def recover(self) -> int:
        """Read all parts after a takeover; return the number of tasks held back."""
        parts, _ = await self._store.load(TaskPhase.HELD_BACK)
        self._polled_at = self._clock.monotonic()
        return sum(part.count([TaskPhase.HELD_BACK]) for part in parts)

    async def step(self) -> None:
        """Read the parts that are due, then commit all uncommitted outcomes."""
        now = self._clock.monotonic()
        if now - self._polled_at >= self._poll.total_seconds():
            self._apply(*await self._store.load(TaskPhase.WAITING))
            self._polled_at = now
        for job in sorted(self._notified):
            self._apply(*await self._store.load_part(job))
            self._notified.discard(job)
        await self._flush_all()

    async def _flush_all(self) -> None:
        """Commit the outcomes of all parts; raise the first error afterwards."""
        dirty = [part for part in self._store.parts.values() if part.dirty]
        flushes = [self._flush(part) for part in dirty]
        results = await asyncio.gather(*flushes, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                raise result

    async def _flush(self, part: Part) -> None:
        acknowledged = await self._store.flush(part)
        for item in acknowledged:
            if item.vm in self._drivers:
                self._drivers[item.vm].acknowledge(item.report)
        if part.row.job not in self._store.parts:
            self._events.record(
                "part_finished",
                part.row.job,
                epoch=self._tracker.epoch,
                shard=self._shard,
            )
        elif part.row_deleted:
            self._tracker.cancel(part)

    def _apply(self, added: list[Part], changed: list[Part]) -> None:
        for part in added:
            self._tracker.add_part(part)
            if part.cancelled:
                self._tracker.cancel(part)
        for part in changed:
            self._tracker.cancel(part)
        self._on_parts_read()
