"""Keeps the parts of a shard in memory in step with their rows in the table."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

from cassiaweir.fleet._part_store import PartStore
from cassiaweir.fleet._task_book import TaskBook
from cassiaweir.fleet._worker_driver import WorkerDriver
from cassiaweir.observe import EventLog
from cassiaweir.types import Clock
from cassiaweir.work import Part, TaskPhase


class PartSync:
    """Reads parts that are new or changed, and commits the ends of tasks.

    All parts are read every `poll`, those told of by `notify` with the next step.
    `on_parts` is called after parts came in.
    """

    def __init__(
        self,
        shard: str,
        store: PartStore,
        book: TaskBook,
        drivers: Mapping[str, WorkerDriver],
        *,
        clock: Clock,
        events: EventLog,
        poll: timedelta,
        on_parts: Callable[[], None],
    ) -> None:
        self._shard = shard
        self._store = store
        self._book = book
        self._drivers = drivers
        self._clock = clock
        self._events = events
        self._poll = poll
        self._on_parts = on_parts
        self._notified: set[str] = set()
        self._polled_at = float("-inf")

    def notify(self, job: str) -> None:
        """Have the next step read the part of `job`."""
        self._notified.add(job)

    async def recover(self) -> int:
        """Read all parts after a takeover; return how many tasks are held back."""
        parts, _ = await self._store.load(TaskPhase.HELD_BACK)
        self._polled_at = self._clock.monotonic()
        return sum(part.count([TaskPhase.HELD_BACK]) for part in parts)

    async def step(self) -> None:
        """Read what is due, then commit the ends that wait."""
        now = self._clock.monotonic()
        if now - self._polled_at >= self._poll.total_seconds():
            self._take(*await self._store.load(TaskPhase.WAITING))
            self._polled_at = now
        for job in sorted(self._notified):
            self._take(*await self._store.load_one(job))
            self._notified.discard(job)
        await self._flush_all()

    async def _flush_all(self) -> None:
        """Commit the ends of all parts; raise the first error after all have ended."""
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
                epoch=self._book.epoch,
                shard=self._shard,
            )
        elif part.row_deleted:
            self._book.cancel(part)

    def _take(self, added: list[Part], changed: list[Part]) -> None:
        for part in added:
            self._book.add_part(part)
            if part.cancelled:
                self._book.cancel(part)
        for part in changed:
            self._book.cancel(part)
        self._on_parts()
