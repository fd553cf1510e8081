"""Removes the last uses of keys that were withdrawn."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from cassiaweir.configuration import KEY_PREFIX, KeyRow
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.retention._division import Division, Pages
from cassiaweir.retention._removal import note_malformed, remove_unchanged
from cassiaweir.retention._terms import RetentionTerms
from cassiaweir.retention._watch import RowWatch, watch_period
from cassiaweir.teams import KEY_USES, KeyUse
from cassiaweir.types import Check, Clock, Row, Table

KIND = "key_use"


class KeyUseRule:
    """Removes `key_use/` rows of withdrawn keys that are as old as finished jobs.

    The key's own row stays, as a withdrawn key must never work again.
    """

    def __init__(
        self,
        table: Table,
        division: Division,
        terms: RetentionTerms,
        *,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._pages = Pages(table, KEY_USES, division)
        self._terms = terms
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._watch = RowWatch(clock)

    def clock_stepped(self) -> None:
        """Judge all rows anew, as their ages were told by a clock that was wrong."""
        self._watch.clear()

    async def turn(self, rows: int, removals: int) -> None:
        """Look at the next `rows` uses and remove at most `removals`.

        Raises `UnavailableError`.
        """
        page = await self._pages.next(rows)
        keys = await self._withdrawn(page)
        for row in page:
            if _key_of(row) in keys:
                self._examine(row)
        async for row in self._watch.due_rows(self._table, removals):
            await self._remove(row)

    async def _withdrawn(self, uses: Sequence[Row]) -> dict[str, Row]:
        """Return the rows of the withdrawn keys among those that `uses` tell of."""
        found = await self._table.read([_key_of(row) for row in uses]) if uses else {}
        return {key: row for key, row in found.items() if self._is_withdrawn(row)}

    def _is_withdrawn(self, row: Row) -> bool:
        try:
            return msgspec.json.decode(row.value, type=KeyRow).withdrawn
        except msgspec.MsgspecError as exc:
            note_malformed(self._events, row, exc)
            return False

    def _examine(self, row: Row) -> None:
        try:
            use = msgspec.json.decode(row.value, type=KeyUse)
        except msgspec.MsgspecError as exc:
            note_malformed(self._events, row, exc)
            return
        period = watch_period(
            self._clock, use.last_use.timestamp(), self._terms.jobs, self._terms.watch
        )
        if period is not None:
            self._watch.note(row, period)

    async def _remove(self, row: Row) -> None:
        keys = await self._withdrawn([row])
        checks = [Check(key, found.version) for key, found in keys.items()]
        if checks:
            await remove_unchanged(self._table, [row], checks, self._metrics, kind=KIND)


def _key_of(use: Row) -> str:
    """Return the key of the row of the key that `use` tells of."""
    return KEY_PREFIX + use.key.removeprefix(KEY_USES)
