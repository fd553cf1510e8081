"""Removes settled claims, and tells operators of those that stay in doubt."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from cassiaweir.observe import EventLog, Metrics
from cassiaweir.requests import ClaimRow, ClaimState
from cassiaweir.retention._division import Division, Pages
from cassiaweir.retention._options import RetentionOptions
from cassiaweir.retention._removal import note_malformed, remove_unchanged
from cassiaweir.retention._watch import RowWatch, watch_period
from cassiaweir.types import Clock, Row, Table

CLAIM_PREFIX = "claim/"
DOUBT_MARGIN = timedelta(minutes=1)
MOST_IN_DOUBT = 1_000
KIND = "claim"


class ClaimRule:
    """Removes claims whose request certainly runs no more.

    A finished request has its outcome and a released one never ran.  A claim that is
    neither, past the deadline of its request, may have run; it is never removed.
    """

    def __init__(
        self,
        table: Table,
        division: Division,
        terms: RetentionOptions,
        *,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._pages = Pages(table, CLAIM_PREFIX, division)
        self._terms = terms
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._watch = RowWatch(clock)
        self._open = RowWatch(clock)
        self._in_doubt: dict[str, int] = {}
        self._seen_in_lap: set[str] = set()

    def clock_stepped(self) -> None:
        """Judge all rows anew, as their ages were told by a clock that was wrong."""
        self._watch.clear()

    async def turn(self, rows: int, removals: int) -> None:
        """Look at the next `rows` claims and remove at most `removals`.

        Raises `UnavailableError`.
        """
        laps = self._pages.laps
        for row in await self._pages.next(rows):
            try:
                self._examine(row)
            except msgspec.MsgspecError as exc:
                note_malformed(self._events, row, exc)
        if self._pages.laps > laps:
            self._end_lap()
        await self._report_doubtful(rows)
        await self._remove_due(removals)

    def _examine(self, row: Row) -> None:
        claim = msgspec.json.decode(row.value, type=ClaimRow)
        if claim.state is ClaimState.CLAIMED:
            self._seen_in_lap.add(row.key)
            if self._in_doubt.get(row.key) != row.version:
                left = timedelta(milliseconds=claim.deadline_ms)
                self._open.note(row, left + DOUBT_MARGIN)
            return
        period = watch_period(
            self._clock, claim.ended_at, self._terms.claims, self._terms.watch
        )
        if period is not None:
            self._watch.note(row, period)

    def _end_lap(self) -> None:
        """Drop the claims in doubt that were settled, or are another's to clean."""
        self._in_doubt = {
            key: version
            for key, version in self._in_doubt.items()
            if key in self._seen_in_lap
        }
        self._seen_in_lap.clear()
        self._show_doubtful()

    async def _report_doubtful(self, most: int) -> None:
        async for row in self._open.due_rows(self._table, most):
            self._report(row)
        self._show_doubtful()

    def _report(self, row: Row) -> None:
        if len(self._in_doubt) >= MOST_IN_DOUBT:
            return
        claim = msgspec.json.decode(row.value, type=ClaimRow)
        self._in_doubt[row.key] = row.version
        self._seen_in_lap.add(row.key)
        self._events.record(
            "claim_left_in_doubt",
            row.key,
            by=claim.process,
            request=claim.request_id,
        )

    def _show_doubtful(self) -> None:
        self._metrics.set("claims_in_doubt", len(self._in_doubt))

    async def _remove_due(self, most: int) -> None:
        async for row in self._watch.due_rows(self._table, most):
            await remove_unchanged(self._table, [row], [], self._metrics, kind=KIND)
