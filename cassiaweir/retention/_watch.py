"""Watches rows that are to be removed, on the monotonic clock of this process."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.types import Clock, Row, Table

MOST_WATCHED = 10_000
FURTHEST_FUTURE = timedelta(days=1)
SMALLEST_STEP_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class _Sighting:
    """The version of a row, and when it may be removed if it keeps that version."""

    version: int
    due_at: float


class RowWatch:
    """Remembers since when rows are unchanged.

    Versions are unique over the life of the table: a row that has the same version at
    two looks did not change between them.  Rows beyond `most` wait for room.
    """

    def __init__(self, clock: Clock, *, most: int = MOST_WATCHED) -> None:
        self._clock = clock
        self._most = most
        self._seen: dict[str, _Sighting] = {}

    def note(self, row: Row, period: timedelta) -> None:
        """Watch `row` for `period`, counted from the first look at its version."""
        known = self._seen.get(row.key)
        if known is not None and known.version == row.version:
            return
        if known is None and len(self._seen) >= self._most:
            return
        due_at = self._clock.monotonic() + period.total_seconds()
        self._seen[row.key] = _Sighting(row.version, due_at)

    async def due_rows(self, table: Table, most: int) -> AsyncIterator[Row]:
        """Yield the rows of at most `most` watches that passed without a change.

        A row is forgotten once the caller is done with it, and kept for the next time
        where the caller fails.  Raises `UnavailableError`.
        """
        due = self._due(most)
        found = await table.read(list(due)) if due else {}
        for key, version in due.items():
            row = found.get(key)
            if row is not None and row.version == version:
                yield row
            self._seen.pop(key, None)

    def _due(self, most: int) -> dict[str, int]:
        now = self._clock.monotonic()
        found: dict[str, int] = {}
        for key, sighting in self._seen.items():
            if len(found) == most:
                break
            if sighting.due_at <= now:
                found[key] = sighting.version
        return found

    def clear(self) -> None:
        """Begin anew."""
        self._seen.clear()


def watch_period(
    clock: Clock, ended_at: float, keep: timedelta, watch: timedelta
) -> timedelta | None:
    """Return how long to watch a row that ended at `ended_at`, None if it is too young.

    `ended_at` is in seconds since 1970 by the clock of another VM.  A row without
    that time, or with one in the future, is watched for as long as it is kept.
    """
    age = timedelta(seconds=clock.now().timestamp() - ended_at)
    if ended_at <= 0 or age < -FURTHEST_FUTURE:
        return keep
    return watch if age >= keep else None


class WallClockGuard:
    """Notices that the wall clock of this VM was set."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = self._measure()

    def stepped(self) -> bool:
        """Tell whether the clock was set since the last call."""
        offset = self._measure()
        step = abs(offset - self._offset)
        self._offset = offset
        return step > SMALLEST_STEP_SECONDS

    def _measure(self) -> float:
        return self._clock.now().timestamp() - self._clock.monotonic()
