"""The rows in the table that list the processes of the cell."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.membership._models import Member
from cassiaweir.observe import EventLog
from cassiaweir.types import Check, Clock, Row, Table, Write

MEMBER_KEY_PREFIX = "member/"
SCAN_INTERVAL = timedelta(seconds=5)
REFRESH_INTERVAL = timedelta(seconds=20)
STALE_AFTER = timedelta(seconds=70)


@dataclass(slots=True)
class _ObservedRow:
    """The version of a row, and when this process first read that version."""

    version: int
    unchanged_since: float


class MemberRows:
    """Refreshes the row of this process, reads those of others, removes stale ones.

    `alive_within` returns whether a process is known to have been alive within a
    duration.  `scanned` says whether the rows have been read at least once.  A row is
    stale when it has not changed for `STALE_AFTER` and its process is not known to
    have been alive within that time.
    """

    def __init__(
        self,
        member: Member,
        table: Table,
        events: EventLog,
        clock: Clock,
        *,
        alive_within: Callable[[str, timedelta], bool],
    ) -> None:
        self._member = member
        self._table = table
        self._events = events
        self._clock = clock
        self._alive_within = alive_within
        self._observed_rows: dict[str, _ObservedRow] = {}
        self._members: dict[str, Member] = {}
        self.scanned = False
        self._next_refresh_at = clock.monotonic()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Write the row if the table can be reached, and keep refreshing it."""
        await self.reconcile()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Remove the row; if the table is unavailable, other processes do so later."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        try:
            await self._table.commit([], [Write(self._key(), None)])
        except UnavailableError as exc:
            self._events.record("member_row_left", self._key(), reason=str(exc))

    def members(self) -> Sequence[Member]:
        """Return the other processes, as of the last successful scan."""
        return list(self._members.values())

    async def reconcile(self) -> None:
        """Refresh the row of this process if due, read all rows, remove stale ones."""
        try:
            await self._refresh()
            rows = await self._table.scan(MEMBER_KEY_PREFIX)
            self._members = dict(self._decode(rows))
            self.scanned = True
            for row in rows:
                await self._remove_if_stale(row)
        except UnavailableError as exc:
            self._events.record("member_rows_unavailable", reason=str(exc))
            return
        self._forget_removed(rows)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(SCAN_INTERVAL)
            await self.reconcile()

    async def _refresh(self) -> None:
        now = self._clock.monotonic()
        if now < self._next_refresh_at:
            return
        count = self._member.refreshes + 1
        self._member = msgspec.structs.replace(self._member, refreshes=count)
        write = Write(self._key(), msgspec.json.encode(self._member))
        await self._table.commit([], [write])
        self._next_refresh_at = now + REFRESH_INTERVAL.total_seconds()

    def _decode(self, rows: Sequence[Row]) -> list[tuple[str, Member]]:
        decoded = []
        for row in rows:
            try:
                member = msgspec.json.decode(row.value, type=Member)
            except msgspec.MsgspecError as exc:
                self._events.record("member_row_malformed", row.key, reason=str(exc))
                continue
            if row.key != self._key():
                decoded.append((member.process, member))
        return decoded

    async def _remove_if_stale(self, row: Row) -> None:
        now = self._clock.monotonic()
        observed = self._observed_rows.get(row.key)
        if observed is None or observed.version != row.version:
            self._observed_rows[row.key] = _ObservedRow(row.version, now)
            return
        process = row.key.removeprefix(MEMBER_KEY_PREFIX)
        unchanged_for = timedelta(seconds=now - observed.unchanged_since)
        if row.key == self._key() or unchanged_for < STALE_AFTER:
            return
        if self._alive_within(process, STALE_AFTER):
            return
        await self._remove(row)

    async def _remove(self, row: Row) -> None:
        try:
            await self._table.commit(
                [Check(row.key, row.version)], [Write(row.key, None)]
            )
        except ConflictError:
            # The process has refreshed its row, or another process has removed it.
            return
        self._members.pop(row.key.removeprefix(MEMBER_KEY_PREFIX), None)
        self._events.record("member_row_removed", row.key)

    def _forget_removed(self, rows: Sequence[Row]) -> None:
        keys = {row.key for row in rows}
        for key in [key for key in self._observed_rows if key not in keys]:
            del self._observed_rows[key]

    def _key(self) -> str:
        return MEMBER_KEY_PREFIX + self._member.process
