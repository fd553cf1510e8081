"""The rows that tell which processes there are."""

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
class _Watched:
    """A row's version and since when this process has seen it unchanged."""

    version: int
    since: float


class MemberRows:
    """Writes this process's row, reads the others', and removes stale ones.

    `alive_within` tells whether a process was heard of within a duration.  `scanned`
    tells whether the rows were ever read.  A row is stale when neither it nor its
    process has given a sign for `STALE_AFTER`.
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
        self._watched: dict[str, _Watched] = {}
        self._members: dict[str, Member] = {}
        self.scanned = False
        self._refresh_at = clock.monotonic()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Write the row if the table can be reached, and go on refreshing it."""
        await self.step()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Remove the row; if the table cannot be reached, others remove it later."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        try:
            await self._table.commit([], [Write(self._key(), None)])
        except UnavailableError as exc:
            self._events.record("member_row_left", self._key(), reason=str(exc))

    def members(self) -> Sequence[Member]:
        """Return the other processes as the last successful scan found them."""
        return list(self._members.values())

    async def step(self) -> None:
        """Refresh the own row where due, scan, and remove stale rows."""
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
            await self.step()

    async def _refresh(self) -> None:
        now = self._clock.monotonic()
        if now < self._refresh_at:
            return
        count = self._member.refreshes + 1
        self._member = msgspec.structs.replace(self._member, refreshes=count)
        write = Write(self._key(), msgspec.json.encode(self._member))
        await self._table.commit([], [write])
        self._refresh_at = now + REFRESH_INTERVAL.total_seconds()

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
        watched = self._watched.get(row.key)
        if watched is None or watched.version != row.version:
            self._watched[row.key] = _Watched(row.version, now)
            return
        process = row.key.removeprefix(MEMBER_KEY_PREFIX)
        unchanged_for = timedelta(seconds=now - watched.since)
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
            # The process has refreshed its row, or another one has removed it.
            return
        self._members.pop(row.key.removeprefix(MEMBER_KEY_PREFIX), None)
        self._events.record("member_row_removed", row.key)

    def _forget_removed(self, rows: Sequence[Row]) -> None:
        keys = {row.key for row in rows}
        for key in [key for key in self._watched if key not in keys]:
            del self._watched[key]

    def _key(self) -> str:
        return MEMBER_KEY_PREFIX + self._member.process
