"""Rows of jobs and cancels that the leader could not apply, to be tried again."""

from __future__ import annotations

from dataclasses import dataclass

from cassiaweir.dispatch._job_rows import row_name
from cassiaweir.types import Clock, Row

FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 60.0
"""A row is tried again after the first time, doubled after each further error."""

MAX_ROWS = 1_000
"""Further rows are not kept; the next leader reads them from the store."""


@dataclass(slots=True)
class _UnappliedRow:
    """A row and when it is to be tried again, on the monotonic clock."""

    row: Row
    pause_s: float
    retry_at: float


class UnappliedRows:
    """Keeps rows by the last part of their keys, up to `MAX_ROWS`.

    That part is the id of a job, with a suffix for a request to cancel it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rows: dict[str, _UnappliedRow] = {}

    def __len__(self) -> int:
        """Return how many rows are kept."""
        return len(self._rows)

    def add(self, row: Row) -> None:
        """Keep a row; one that is kept already is tried later than before."""
        name = row_name(row.key)
        now = self._clock.monotonic()
        known = self._rows.get(name)
        if known is not None:
            known.pause_s = min(known.pause_s * 2, MAX_PAUSE_S)
            known.retry_at = now + known.pause_s
        elif len(self._rows) < MAX_ROWS:
            self._rows[name] = _UnappliedRow(row, FIRST_PAUSE_S, now + FIRST_PAUSE_S)

    def discard(self, name: str) -> bool:
        """Forget a row; return whether it was kept."""
        return self._rows.pop(name, None) is not None

    def due(self) -> list[Row]:
        """Return the rows that are to be tried again now."""
        now = self._clock.monotonic()
        return [each.row for each in self._rows.values() if now >= each.retry_at]
