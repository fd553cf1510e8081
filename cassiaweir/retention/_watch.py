"""Makes sure that a row stayed unchanged for some time before it is removed.

Wall clocks of other VMs may be wrong, so the time is measured by the monotonic clock
of this process.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.types import Clock, Row, Table

MAX_WATCHED_ROWS = 10_000
"""Bounds the memory of a `RowWatch`."""
MAX_FUTURE_SKEW = timedelta(days=1)
"""An end time further in the future than this is taken for a wrong clock."""
MIN_CLOCK_STEP_SECONDS = 5.0
"""Smaller differences between wall and monotonic clock do not count as a step."""


@dataclass(frozen=True, slots=True)
class _WatchedRow:
    """The version of a row, and when the row may be removed if it is still at it.

    `removable_at` is in seconds by the monotonic clock of this process.
    """

    version: int
    removable_at: float


class RowWatch:
    """Tracks rows until they have been unchanged for a given period.

    A row that has the same version when it is read twice did not change in between, as
    the table never uses a version again.  While `max_rows` rows are tracked, further
    rows are ignored; they are tracked when they are scanned later and there is room.
    """

    def __init__(self, clock: Clock, *, max_rows: int = MAX_WATCHED_ROWS) -> None:
        self._clock = clock
        self._max_rows = max_rows
        self._watched_rows: dict[str, _WatchedRow] = {}

    def track(self, row: Row, period: timedelta) -> None:
        """Track `row` for `period`, counted from the first call with its version."""
        known = self._watched_rows.get(row.key)
        if known is not None and known.version == row.version:
            return
        if known is None and len(self._watched_rows) >= self._max_rows:
            return
        removable_at = self._clock.monotonic() + period.total_seconds()
        self._watched_rows[row.key] = _WatchedRow(row.version, removable_at)

    async def due_rows(self, table: Table, limit: int) -> AsyncIterator[Row]:
        """Yield rows whose period is over and that are unchanged in `table`.

        At most `limit` rows are read.  A row is no longer tracked once the caller asks
        for the next one; if the caller raises an error, the row is yielded again by a
        later call.  Raises `UnavailableError`.
        """
        due = self._due(limit)
        found = await table.read(list(due)) if due else {}
        for key, version in due.items():
            row = found.get(key)
            if row is not None and row.version == version:
                yield row
            self._watched_rows.pop(key, None)

    def _due(self, limit: int) -> dict[str, int]:
        """Return the versions, by key, of at most `limit` rows whose period is over."""
        now = self._clock.monotonic()
        found: dict[str, int] = {}
        for key, watched in self._watched_rows.items():
            if len(found) == limit:
                break
            if watched.removable_at <= now:
                found[key] = watched.version
        return found

    def clear(self) -> None:
        """Stop tracking all rows."""
        self._watched_rows.clear()


def watch_period(
    clock: Clock, ended_at: float, keep_for: timedelta, watch_for: timedelta
) -> timedelta | None:
    """Return how long a row must be unchanged before its removal.

    `ended_at` is when the job, claim or key use of the row ended, in seconds since 1970
    by the clock of another VM.  A row is watched for `watch_for` once that is at least
    `keep_for` ago; before, None is returned and it is not watched yet.  A row without
    an end time, or with one that is more than `MAX_FUTURE_SKEW` in the future, is
    watched for all of `keep_for`, as its age is unknown.
    """
    age = timedelta(seconds=clock.now().timestamp() - ended_at)
    if ended_at <= 0 or age < -MAX_FUTURE_SKEW:
        return keep_for
    return watch_for if age >= keep_for else None


class ClockStepDetector:
    """Detects that the wall clock of this VM was set.

    The difference between the wall clock and the monotonic clock changes then.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = self._measure()

    def has_stepped(self) -> bool:
        """Return whether the wall clock was set since the last call."""
        offset = self._measure()
        step = abs(offset - self._offset)
        self._offset = offset
        return step > MIN_CLOCK_STEP_SECONDS

    def _measure(self) -> float:
        """Return the wall-clock time minus the monotonic time, in seconds."""
        return self._clock.now().timestamp() - self._clock.monotonic()
