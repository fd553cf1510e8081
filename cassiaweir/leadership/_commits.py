"""The leader's transactions, one after the other, each under the guard row."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from loguru import logger

from cassiaweir.exceptions import (
    ConflictError,
    LeadershipLostError,
    UnavailableError,
)
from cassiaweir.leadership._rows import GUARD_KEY, OWNER_KEY, Guard, decode_guard
from cassiaweir.leadership._terms import Leadership
from cassiaweir.types import Check, Clock, Row, Table, Write

RENEW_EVERY = timedelta(milliseconds=400)
RETRY_DELAY = timedelta(milliseconds=50)
GATHER_DELAY = timedelta(milliseconds=6)
"""Writes that come within this time share a transaction."""

MOST_ROWS_PER_TRANSACTION = 90
MOST_BYTES_PER_TRANSACTION = 400_000


@dataclass(frozen=True, slots=True)
class _Pending:
    """A write, and the place of the oldest write of the row that it stands for."""

    oldest_place: int
    write: Write


@dataclass(frozen=True, slots=True)
class _Transaction:
    """Writes that are sent together, again and again until the outcome is known."""

    guard: Guard
    last_put: int
    writes: tuple[Write, ...]
    renews: bool


class CommitStream:
    """Stores the leader's rows in batches and keeps its lead alive.

    A later write of a row replaces one that still waits.  `run` ends by raising
    `LeadershipLostError` when another process has taken over.  `on_stored` is called
    after each transaction.
    """

    def __init__(self, table: Table, clock: Clock, leadership: Leadership) -> None:
        self._table = table
        self._clock = clock
        self._leadership = leadership
        self._pending: dict[str, _Pending] = {}
        self._puts = 0
        self._stored = 0
        self._renewed_at = leadership.confirmed_at
        self._arrived = asyncio.Event()
        self._settled = asyncio.Condition()
        self._releasing = False
        self._confirming = False
        self._healthy = True
        self.on_stored: Callable[[], None] = lambda: None

    def put(self, write: Write) -> int:
        """Queue `write` and return its place, which `wait_until_stored` takes."""
        self._puts += 1
        replaced = self._pending.pop(write.key, None)
        oldest = self._puts if replaced is None else replaced.oldest_place
        self._pending[write.key] = _Pending(oldest, write)
        self._arrived.set()
        return self._puts

    def confirm_leadership(self, version: int) -> bool:
        """Tell whether this process still led when the store was at `version`.

        Where that is not known yet, a transaction is sent to find out.
        """
        if self._leadership.guard_version >= version:
            return True
        self._confirming = True
        self._arrived.set()
        return False

    def is_stored(self, place: int) -> bool:
        """Tell whether everything up to `place` is stored."""
        return self._stored >= place

    async def wait_until_stored(self, place: int) -> None:
        """Wait until everything up to `place` is stored.

        Raises `LeadershipLostError` where it never will be by this process.
        """
        async with self._settled:
            await self._settled.wait_for(
                lambda: self._stored >= place or self._leadership.lost
            )
        if self._stored < place:
            raise LeadershipLostError("the lead was lost before the rows were stored")

    async def release(self) -> None:
        """Store what waits and give up the lead; a successor need not wait."""
        self._releasing = True
        self._arrived.set()
        async with self._settled:
            await self._settled.wait_for(lambda: self._leadership.lost)

    async def run(self) -> None:
        """Store what is put until the lead is lost or given up."""
        try:
            while not self._leadership.lost:
                await self._wait_for_work()
                await self._clock.sleep(GATHER_DELAY)
                await self._send(self._take())
        finally:
            self._leadership.lost = True
            async with self._settled:
                self._settled.notify_all()

    async def _wait_for_work(self) -> None:
        if self._pending or self._releasing or self._confirming:
            return
        self._arrived.clear()
        due_in = self._renewed_at + RENEW_EVERY.total_seconds()
        due_in -= self._clock.monotonic()
        try:
            async with asyncio.timeout(max(due_in, 0)):
                await self._arrived.wait()
        except TimeoutError:
            return

    def _take(self) -> _Transaction:
        """Remove the oldest writes and return the transaction that carries them."""
        writes: list[Write] = []
        size = 0
        for key, pending in list(self._pending.items()):
            size += len(pending.write.value or b"")
            full = len(writes) >= MOST_ROWS_PER_TRANSACTION
            if writes and (full or size > MOST_BYTES_PER_TRANSACTION):
                break
            writes.append(pending.write)
            del self._pending[key]
        self._confirming = False
        self._leadership.sequence += 1
        guard = Guard(self._leadership.epoch, self._leadership.sequence)
        left = [pending.oldest_place for pending in self._pending.values()]
        last = min(left) - 1 if left else self._puts
        return _Transaction(guard, last, tuple(writes), self._renewal_due())

    def _renewal_due(self) -> bool:
        if self._releasing and not self._pending:
            return True
        elapsed = self._clock.monotonic() - self._renewed_at
        return elapsed >= RENEW_EVERY.total_seconds() * 0.9

    async def _send(self, transaction: _Transaction) -> None:
        """Send `transaction` until it is known to be stored, then note that."""
        while True:
            sent_at = self._clock.monotonic()
            try:
                version = await self._commit(transaction)
            except ConflictError as exc:
                version = await self._find_own(transaction, exc)
            except UnavailableError as exc:
                self._note_health(False, str(exc))
                await self._clock.sleep(RETRY_DELAY)
                continue
            await self._note_stored(transaction, version, sent_at)
            return

    async def _commit(self, transaction: _Transaction) -> int:
        writes = [
            *transaction.writes,
            Write(GUARD_KEY, msgspec.json.encode(transaction.guard)),
        ]
        checks = [Check(GUARD_KEY, self._leadership.guard_version)]
        if transaction.renews:
            releasing = self._releasing and not self._pending
            self._leadership.releasing = releasing
            owner = replace_owner(self._leadership, released=releasing)
            writes.append(Write(OWNER_KEY, owner))
        versions = await self._table.commit(checks, writes)
        return versions[GUARD_KEY]

    async def _find_own(self, transaction: _Transaction, cause: Exception) -> int:
        """Return the version under which an unanswered attempt was stored after all.

        Raises `LeadershipLostError` where the guard belongs to another transaction.
        """
        row = await self._read_guard()
        if row is None or decode_guard(row) != transaction.guard:
            logger.warning("lead_lost", epoch=self._leadership.epoch, cause=str(cause))
            raise LeadershipLostError("another process has taken over")
        return row.version

    async def _read_guard(self) -> Row | None:
        while True:
            try:
                return (await self._table.read([GUARD_KEY])).get(GUARD_KEY)
            except UnavailableError as exc:
                self._note_health(False, str(exc))
                await self._clock.sleep(RETRY_DELAY)

    async def _note_stored(
        self, transaction: _Transaction, version: int, sent_at: float
    ) -> None:
        self._note_health(True, "")
        leadership = self._leadership
        leadership.guard_version = version
        leadership.confirmed_at = max(leadership.confirmed_at, sent_at)
        if transaction.renews:
            self._renewed_at = sent_at
            if self._releasing and not self._pending:
                leadership.lost = True
        async with self._settled:
            self._stored = max(self._stored, transaction.last_put)
            self._settled.notify_all()
        self.on_stored()

    def _note_health(self, healthy: bool, cause: str) -> None:
        if healthy == self._healthy:
            return
        self._healthy = healthy
        if healthy:
            logger.info("commits_regained", epoch=self._leadership.epoch)
        else:
            logger.warning("commits_lost", epoch=self._leadership.epoch, cause=cause)


def replace_owner(leadership: Leadership, *, released: bool) -> bytes:
    """Return the owner row of `leadership`, renewed or released."""
    owner = msgspec.structs.replace(
        leadership.owner, released=released, settled=leadership.settled
    )
    return msgspec.json.encode(owner)
