"""Removes settled claims of requests and reports the claims left in doubt.

A claim is the row that a gateway writes before it sends a non-idempotent request, so
that the request runs at most once.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

from cassiaweir.observe import EventLog, Metrics
from cassiaweir.requests import ClaimRow, ClaimState
from cassiaweir.retention._options import RetentionOptions
from cassiaweir.retention._removal import record_malformed_row, remove_unchanged
from cassiaweir.retention._row_groups import GroupOwnership, RowScanner
from cassiaweir.retention._watch import RowWatch, watch_period
from cassiaweir.types import Clock, Row, Table

CLAIM_PREFIX = "claim/"
DOUBT_MARGIN = timedelta(minutes=1)
"""A claim still open this long after its request's deadline counts as in doubt."""
MAX_CLAIMS_IN_DOUBT = 1_000
"""Claims beyond this number are neither reported nor counted in the gauge."""
METRIC_KIND = "claim"
"""The value of the label `kind` in the retention metrics."""


class ClaimRule:
    """Removes claims whose request is known to have ended.

    The outcome of a finished request is stored, and a released request never ran.  A
    claim that is neither finished nor released after the deadline of its request is
    in doubt: the request may have run, so the claim is reported and never removed.
    """

    def __init__(
        self,
        table: Table,
        ownership: GroupOwnership,
        options: RetentionOptions,
        *,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._scanner = RowScanner(table, CLAIM_PREFIX, ownership)
        self._options = options
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._removal_watch = RowWatch(clock)
        self._doubt_watch = RowWatch(clock)
        self._in_doubt: dict[str, int] = {}
        """The row versions of the reported claims, by key."""
        self._open_in_scan: set[str] = set()
        """The keys of the open claims found since the current scan began."""

    def handle_clock_step(self) -> None:
        """Forget the watched rows, as their ages came from a clock that was set.

        The watches for doubt stay, as they depend on the monotonic clock alone.
        """
        self._removal_watch.clear()

    async def clean_batch(self, max_rows: int, max_removals: int) -> None:
        """Examine the next `max_rows` claims and remove at most `max_removals`.

        Reports at most `max_rows` claims that are newly in doubt.  Raises
        `UnavailableError`.
        """
        completed_scans = self._scanner.completed_scans
        for row in await self._scanner.next(max_rows):
            try:
                self._examine(row)
            except msgspec.MsgspecError as exc:
                record_malformed_row(self._events, row, exc)
        if self._scanner.completed_scans > completed_scans:
            self._finish_scan()
        await self._report_in_doubt(max_rows)
        await self._remove_due(max_removals)

    def _examine(self, row: Row) -> None:
        """Watch an open claim until it is in doubt, or an old one until its removal."""
        claim = msgspec.json.decode(row.value, type=ClaimRow)
        if claim.state is ClaimState.CLAIMED:
            self._open_in_scan.add(row.key)
            if self._in_doubt.get(row.key) != row.version:
                time_left = timedelta(milliseconds=claim.deadline_ms)
                self._doubt_watch.track(row, time_left + DOUBT_MARGIN)
            return
        period = watch_period(
            self._clock, claim.ended_at, self._options.claims, self._options.watch
        )
        if period is not None:
            self._removal_watch.track(row, period)

    def _finish_scan(self) -> None:
        """Forget the claims in doubt that the finished scan did not find open.

        They were settled, or another process cleans their group now.
        """
        self._in_doubt = {
            key: version
            for key, version in self._in_doubt.items()
            if key in self._open_in_scan
        }
        self._open_in_scan.clear()
        self._update_in_doubt_gauge()

    async def _report_in_doubt(self, limit: int) -> None:
        async for row in self._doubt_watch.due_rows(self._table, limit):
            self._report_claim(row)
        self._update_in_doubt_gauge()

    def _report_claim(self, row: Row) -> None:
        if len(self._in_doubt) >= MAX_CLAIMS_IN_DOUBT:
            return
        claim = msgspec.json.decode(row.value, type=ClaimRow)
        self._in_doubt[row.key] = row.version
        self._open_in_scan.add(row.key)
        self._events.record(
            "claim_left_in_doubt",
            row.key,
            by=claim.process,
            request=claim.request_id,
        )

    def _update_in_doubt_gauge(self) -> None:
        self._metrics.set("claims_in_doubt", len(self._in_doubt))

    async def _remove_due(self, limit: int) -> None:
        async for row in self._removal_watch.due_rows(self._table, limit):
            await remove_unchanged(
                self._table, [row], [], self._metrics, kind=METRIC_KIND
            )
