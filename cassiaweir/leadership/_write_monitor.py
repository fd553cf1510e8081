"""Measures how far the leader's writes are behind, for metrics and the log."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from loguru import logger

from cassiaweir.observe import Metrics
from cassiaweir.types import Clock

MIN_LOGGED_AGE_S = 0.2
"""Half of the time that a start waits for its rows."""

LOG_INTERVAL_S = 1.0


class WriteMonitor:
    """Counts the rows that are queued, replaced and stored, by table.

    Writes one log line a second while the oldest queued row is older than
    `MIN_LOGGED_AGE_S`.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._queued_at: dict[str, float] = {}
        self._stored: Counter[str] = Counter()
        self._replaced: Counter[str] = Counter()
        self._transactions = 0
        self._transactions_s = 0.0
        self._logged_at = clock.monotonic()

    def note_queued(self, key: str, *, replaced: bool) -> None:
        """Note a queued row, which may replace a queued one of the same key."""
        if not replaced:
            self._queued_at[key] = self._clock.monotonic()
            return
        table = _table_of(key)
        self._replaced[table] += 1
        self._metrics.count("leader_rows_replaced", table=table)

    def note_sent(self, keys: Iterable[str]) -> None:
        """Note that rows leave the queue for a transaction."""
        now = self._clock.monotonic()
        for key in keys:
            queued_at = self._queued_at.pop(key, now)
            self._metrics.observe("leader_row_queued", now - queued_at)

    def note_stored(self, keys: Iterable[str], sent_at: float) -> None:
        """Note that a transaction with rows, sent at `sent_at`, is stored."""
        for key in keys:
            table = _table_of(key)
            self._stored[table] += 1
            self._metrics.count("leader_rows_stored", table=table)
        took_s = self._clock.monotonic() - sent_at
        self._metrics.observe("leader_transaction", took_s)
        self._transactions += 1
        self._transactions_s += took_s
        self._report()

    def _report(self) -> None:
        """Set the gauges, and write the log line if it is due."""
        now = self._clock.monotonic()
        oldest_s = now - min(self._queued_at.values(), default=now)
        self._metrics.set("leader_rows_queued", len(self._queued_at))
        self._metrics.set("leader_oldest_row_seconds", oldest_s)
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        if oldest_s >= MIN_LOGGED_AGE_S:
            logger.warning(
                "leader_writes_behind",
                queued=len(self._queued_at),
                oldest_ms=round(oldest_s * 1_000),
                stored=_text(self._stored),
                replaced=_text(self._replaced),
                transactions=self._transactions,
                transaction_ms=round(self._transactions_s / self._transactions * 1_000),
            )
        self._logged_at = now
        self._stored.clear()
        self._replaced.clear()
        self._transactions = 0
        self._transactions_s = 0.0


def _table_of(key: str) -> str:
    return key.partition("/")[0]


def _text(rows: Counter[str]) -> str:
    """Return the number of rows by table, those with most first."""
    return ",".join(f"{table}:{count}" for table, count in rows.most_common())
