"""Removes the last-use rows of withdrawn team keys."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from cassiaweir.configuration import KEY_PREFIX, KeyRow
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.retention._options import RetentionOptions
from cassiaweir.retention._removal import record_malformed_row, remove_unchanged
from cassiaweir.retention._row_groups import GroupOwnership, RowScanner
from cassiaweir.retention._watch import RowWatch, watch_period
from cassiaweir.teams import KEY_USES, KeyUse
from cassiaweir.types import Check, Clock, Row, Table

METRIC_KIND = "key_use"
"""The value of the label `kind` in the retention metrics."""


class KeyUseRule:
    """Removes the `key_use/` rows of withdrawn team keys.

    They are kept as long as finished jobs, `options.jobs` after the last use.  The
    `key/` row of the key stays, as a withdrawn key must never work again.
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
        self._scanner = RowScanner(table, KEY_USES, ownership)
        self._options = options
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._removal_watch = RowWatch(clock)

    def handle_clock_step(self) -> None:
        """Forget the watched rows, as their ages came from a clock that was set."""
        self._removal_watch.clear()

    async def clean_batch(self, max_rows: int, max_removals: int) -> None:
        """Examine the next `max_rows` `key_use/` rows; remove at most `max_removals`.

        Raises `UnavailableError`.
        """
        page = await self._scanner.next(max_rows)
        keys = await self._read_withdrawn_keys(page)
        for row in page:
            if _key_row_of_use(row) in keys:
                self._watch_if_old(row)
        async for row in self._removal_watch.due_rows(self._table, max_removals):
            await self._remove(row)

    async def _read_withdrawn_keys(self, uses: Sequence[Row]) -> dict[str, Row]:
        """Return the `key/` rows, by row key, of the withdrawn keys among `uses`."""
        found = (
            await self._table.read([_key_row_of_use(row) for row in uses])
            if uses
            else {}
        )
        return {key: row for key, row in found.items() if self._is_withdrawn(row)}

    def _is_withdrawn(self, row: Row) -> bool:
        try:
            return msgspec.json.decode(row.value, type=KeyRow).withdrawn
        except msgspec.MsgspecError as exc:
            record_malformed_row(self._events, row, exc)
            return False

    def _watch_if_old(self, row: Row) -> None:
        """Start to watch a row whose last use is long enough ago."""
        try:
            use = msgspec.json.decode(row.value, type=KeyUse)
        except msgspec.MsgspecError as exc:
            record_malformed_row(self._events, row, exc)
            return
        period = watch_period(
            self._clock,
            use.last_use.timestamp(),
            self._options.jobs,
            self._options.watch,
        )
        if period is not None:
            self._removal_watch.track(row, period)

    async def _remove(self, row: Row) -> None:
        """Remove the last use in `row` if its key still is withdrawn."""
        keys = await self._read_withdrawn_keys([row])
        checks = [Check(key, found.version) for key, found in keys.items()]
        if checks:
            await remove_unchanged(
                self._table, [row], checks, self._metrics, kind=METRIC_KIND
            )


def _key_row_of_use(use: Row) -> str:
    """Return the row key `key/<digest>` that belongs to the row `key_use/<digest>`."""
    return KEY_PREFIX + use.key.removeprefix(KEY_USES)
