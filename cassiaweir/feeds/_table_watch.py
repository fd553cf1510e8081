"""Keeps rows of one table in memory and notifies a listener of changes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from loguru import logger

from cassiaweir.background import BackgroundTasks
from cassiaweir.exceptions import HistoryLostError, UnavailableError
from cassiaweir.types import Clock, Feed, Row, Snapshot

RETRY_DELAY = timedelta(milliseconds=100)
APPLY_SLICE = timedelta(milliseconds=20)
"""Rows are applied for this time without a break.

A new leader reads thousands of jobs, and has to answer probes and renew its leadership
meanwhile.
"""

MAX_CONCURRENT_SNAPSHOTS = 4
"""More concurrent snapshots only compete for the bandwidth of a slow link."""


class RowListener(Protocol):
    """Receives every change of a watched row."""

    def on_row(self, key: str, row: Row | None) -> None:
        """Handle the new row at `key`, None if it was removed."""


@dataclass(frozen=True, slots=True)
class _TimedSnapshot:
    """A snapshot, and when it was requested, on the monotonic clock."""

    requested_at: float
    snapshot: Snapshot


class TableWatch:
    """Watches the rows of one table whose key starts with one of `prefixes`.

    `wait` limits how long the store holds back an answer while nothing changes, and
    thereby the age of the view while the store works.  `pause` separates two polls, so
    that one answer carries several changes.  Without `keep_values`, `rows` holds the
    rows without their values, for a listener that keeps what it needs of them.

    The first poll after a load or a failure is answered at once, so that the view is
    current again although nothing changes.
    """

    def __init__(
        self,
        feed: Feed,
        prefixes: Sequence[str],
        clock: Clock,
        *,
        wait: timedelta,
        pause: timedelta = timedelta(0),
        listener: RowListener | None = None,
        keep_values: bool = True,
    ) -> None:
        self.rows: dict[str, Row] = {}
        self._keep_values = keep_values
        self._feed = feed
        self._prefixes = tuple(prefixes)
        self._table = prefixes[0].partition("/")[0]
        self._clock = clock
        self._wait = wait
        self._pause = pause
        self._listener = listener
        self._version: int | None = None
        self._current_at: float | None = None
        self._reachable_since: float | None = None
        self._changed_at: float | None = None
        self._reachable = True
        self._following = False
        self._snapshots: dict[str, _TimedSnapshot] = {}
        self._background = BackgroundTasks()

    async def start(self) -> None:
        """Begin to watch the rows."""
        self._background.start(self.run)

    async def stop(self) -> None:
        """Stop watching the rows."""
        await self._background.stop()

    @property
    def listed(self) -> bool:
        """Whether the rows have been read at least once."""
        return self._current_at is not None

    @property
    def version(self) -> int:
        """The version of the store that the view has reached, 0 before it is loaded."""
        return self._version or 0

    def age(self) -> timedelta:
        """Return the maximum age of the view; `timedelta.max` before it is loaded."""
        if self._current_at is None:
            return timedelta.max
        return timedelta(seconds=self._clock.monotonic() - self._current_at)

    def reachable_for(self) -> timedelta:
        """Return how long the store has answered without a failure."""
        if self._reachable_since is None:
            return timedelta(0)
        return timedelta(seconds=self._clock.monotonic() - self._reachable_since)

    def unchanged_for(self) -> timedelta:
        """Return the time since the last change was seen, including outages."""
        if self._changed_at is None:
            return timedelta(0)
        return timedelta(seconds=self._clock.monotonic() - self._changed_at)

    async def run(self) -> None:
        """Watch the rows until cancelled."""
        while True:
            try:
                await self._update()
                await self._clock.sleep(self._pause)
            except HistoryLostError as exc:
                logger.info("feed_restarted", table=self._table, cause=str(exc))
                self._version = None
                self._following = False
            except UnavailableError as exc:
                self._record_failure(exc)
                await self._clock.sleep(RETRY_DELAY)

    async def _update(self) -> None:
        sent_at = self._clock.monotonic()
        if self._version is None:
            self._current_at = await self._load_rows()
        else:
            await self._read_changes(self._version)
            self._current_at = sent_at
        if self._reachable_since is None:
            self._reachable_since = sent_at
        if self._changed_at is None:
            self._changed_at = sent_at
        if not self._reachable:
            self._reachable = True
            logger.info("feed_regained", table=self._table)

    async def _load_rows(self) -> float:
        """Read all rows; return the time at which they were current for sure.

        That is when the oldest of the snapshots was requested, which may be one that
        an earlier attempt has read.
        """
        missing = [each for each in self._prefixes if each not in self._snapshots]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_SNAPSHOTS)
        results = await asyncio.gather(
            *(self._read_snapshot(prefix, semaphore) for prefix in missing),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        found = [self._snapshots.pop(prefix) for prefix in self._prefixes]
        snapshots = [each.snapshot for each in found]
        rows_by_key = {row.key: row for each in snapshots for row in each.rows}
        changes: list[tuple[str, Row | None]] = [
            (key, None) for key in self.rows.keys() - rows_by_key.keys()
        ]
        for key, row in rows_by_key.items():
            known = self.rows.get(key)
            if known is None or known.version != row.version:
                changes.append((key, row))
        await self._apply_all(changes)
        self._version = min(each.version for each in snapshots)
        return min(each.requested_at for each in found)

    async def _read_snapshot(self, prefix: str, semaphore: asyncio.Semaphore) -> None:
        """Read one prefix; its snapshot is kept even if another prefix fails."""
        async with semaphore:
            requested_at = self._clock.monotonic()
            snapshot = await self._feed.snapshot(prefix)
            self._snapshots[prefix] = _TimedSnapshot(requested_at, snapshot)

    async def _read_changes(self, version: int) -> None:
        wait = self._wait if self._following else timedelta(0)
        changes = await self._feed.changes(self._table, version, wait)
        found: list[tuple[str, Row | None]] = [(key, None) for key in changes.removed]
        found += [(row.key, row) for row in changes.written]
        await self._apply_all(
            [each for each in found if each[0].startswith(self._prefixes)]
        )
        self._version = changes.version
        self._following = True

    async def _apply_all(self, changes: Sequence[tuple[str, Row | None]]) -> None:
        """Apply changes in this order; let other work run after each `APPLY_SLICE`."""
        began = self._clock.monotonic()
        for key, row in changes:
            self._apply(key, row)
            if self._clock.monotonic() - began >= APPLY_SLICE.total_seconds():
                await self._clock.sleep(timedelta(0))
                began = self._clock.monotonic()

    def _apply(self, key: str, row: Row | None) -> None:
        self._changed_at = self._clock.monotonic()
        if row is None:
            self.rows.pop(key, None)
        else:
            kept = row if self._keep_values else Row(key, row.version, b"")
            self.rows[key] = kept
        if self._listener is not None:
            self._notify(self._listener, key, row)

    def _notify(self, listener: RowListener, key: str, row: Row | None) -> None:
        """Pass a change on; an error with one row must not end the watch of all."""
        try:
            listener.on_row(key, row)
        except Exception as exc:
            logger.opt(exception=exc).error("row_not_applied", key=key)

    def _record_failure(self, exc: UnavailableError) -> None:
        self._reachable_since = None
        self._following = False
        if self._reachable:
            self._reachable = False
            logger.warning("feed_lost", table=self._table, cause=str(exc))
