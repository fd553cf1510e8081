"""Writes the leader's rows in sequential transactions, fenced by the guard row."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec
from loguru import logger

from cassiaweir.exceptions import (
    ConflictError,
    LeadershipLostError,
    TransactionRejectedError,
    UnavailableError,
)
from cassiaweir.leadership._rows import GUARD_KEY, OWNER_KEY, Guard, decode_guard
from cassiaweir.leadership._stored_positions import StoredPositions
from cassiaweir.leadership._terms import Leadership
from cassiaweir.leadership._write_monitor import WriteMonitor
from cassiaweir.leadership._write_queue import QueuedWrite, WriteQueue
from cassiaweir.observe import Metrics
from cassiaweir.types import Check, Clock, Row, Table, Write

RENEWAL_INTERVAL = timedelta(milliseconds=400)
RETRY_DELAY = timedelta(milliseconds=50)
MIN_LOGGED_RENEWAL_S = 0.8
"""Twice `RENEWAL_INTERVAL`; the owner row may stay unchanged for little more."""

BATCH_DELAY = timedelta(milliseconds=6)
"""Writes that are queued within this time share a transaction."""


@dataclass(frozen=True, slots=True)
class _Transaction:
    """Writes that are sent together, repeatedly until the outcome is known.

    Once it is stored, all writes up to `last_position` are.  `renews` says whether it
    also rewrites the owner row, and `releases` whether it gives up the leadership by
    that.  An attempt without an answer may have been stored, so neither changes later.
    """

    guard: Guard
    last_position: int
    writes: tuple[QueuedWrite, ...]
    renews: bool
    releases: bool


class CommitStream:
    """Stores the leader's rows in batches and renews its leadership.

    A write replaces a queued write of the same row, in its place.  `run` raises
    `LeadershipLostError` when another process has taken over.  `on_stored` is called
    after each stored transaction.

    The store may refuse a row for good, as it is too large.  The others are stored
    without it, but its position does not count as stored before a later write of the
    same row is.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        leadership: Leadership,
        metrics: Metrics | None = None,
    ) -> None:
        self._monitor = WriteMonitor(clock, metrics or Metrics())
        self._table = table
        self._clock = clock
        self._leadership = leadership
        self._queue = WriteQueue()
        self._stored = StoredPositions()
        self._renewed_at = leadership.confirmed_at
        self._wakeup = asyncio.Event()
        self._ended = asyncio.Event()
        self._releasing = False
        self._confirmation_requested = False
        self._store_reachable = True
        self.on_stored: Callable[[], None] = lambda: None

    def put(self, write: Write, *, urgent: bool = False) -> int:
        """Queue `write` and return its position, as `wait_until_stored` takes it.

        Urgent writes are those that starts or callers of urgent jobs wait for; they go
        before others.
        """
        self._monitor.note_queued(write.key, replaced=write.key in self._queue)
        position = self._queue.put(write, urgent=urgent)
        self._stored.add(position)
        self._wakeup.set()
        return position

    def confirm_leadership(self, version: int) -> bool:
        """Return whether this process is known to have led at store `version`.

        If that is not known yet, a transaction is sent to find out, and a later call
        may return True.
        """
        if self._leadership.guard_version >= version:
            return True
        self._confirmation_requested = True
        self._wakeup.set()
        return False

    @property
    def store_reachable(self) -> bool:
        """Whether the newest transaction or read of the guard row was answered."""
        return self._store_reachable

    @property
    def rejected_rows(self) -> int:
        """How many rows the store refuses in their newest form."""
        return self._stored.rejected_rows

    def is_stored(self, position: int) -> bool:
        """Return whether the write at `position` and those before it are stored.

        Writes before it that the store refuses are left out.
        """
        return self._stored.is_complete(position)

    def is_row_stored(self, position: int) -> bool:
        """Return whether the write at `position` is stored, whatever is before it."""
        return self._stored.is_row_stored(position)

    def missing_writes(self, position: int) -> int:
        """Return how many writes up to `position` do not count as stored yet."""
        return max(position - self._stored.complete, 0)

    async def wait_until_stored(self, position: int) -> None:
        """Wait until the write at `position` and those before it are stored.

        Raises `LeadershipLostError` if the leadership is lost before that, and
        `RowRejectedError` if the store refuses the write.
        """
        await self._stored.wait_complete(position)

    async def wait_until_rows_stored(self, positions: Collection[int]) -> set[int]:
        """Wait until the writes at `positions` are stored, whatever is before them.

        Return those that the store refuses instead.  Raises `LeadershipLostError` if
        the leadership is lost before that.
        """
        return await self._stored.wait_stored(positions)

    async def release(self) -> None:
        """Store the queued writes, then give up the leadership.

        The released owner row lets a successor take over without a timeout.
        """
        self._releasing = True
        self._wakeup.set()
        if not self._leadership.lost:
            await self._ended.wait()

    async def run(self) -> None:
        """Store queued writes until the leadership is lost or released."""
        try:
            while not self._leadership.lost:
                await self._wait_for_work()
                await self._clock.sleep(BATCH_DELAY)
                await self._send_until_stored(self._next_transaction())
        finally:
            self._leadership.lost = True
            self._stored.close()
            self._ended.set()

    async def _wait_for_work(self) -> None:
        if self._queue or self._releasing or self._confirmation_requested:
            return
        self._wakeup.clear()
        renewal_in = self._renewed_at + RENEWAL_INTERVAL.total_seconds()
        renewal_in -= self._clock.monotonic()
        try:
            async with asyncio.timeout(max(renewal_in, 0)):
                await self._wakeup.wait()
        except TimeoutError:
            return

    def _next_transaction(self) -> _Transaction:
        """Remove the writes at the head of the queue and return their transaction."""
        writes = self._queue.take()
        self._monitor.note_sent(queued.write.key for queued in writes)
        self._confirmation_requested = False
        guard = self._next_guard()
        last_position = self._queue.complete_position
        releases = self._releasing and not self._queue
        renews = releases or self._renewal_due()
        return _Transaction(guard, last_position, tuple(writes), renews, releases)

    def _next_guard(self) -> Guard:
        self._leadership.sequence += 1
        return Guard(self._leadership.epoch, self._leadership.sequence)

    def _renewal_due(self) -> bool:
        # A transaction shortly before the renewal is due carries it, which saves one
        # that only renews.
        elapsed = self._clock.monotonic() - self._renewed_at
        return elapsed >= RENEWAL_INTERVAL.total_seconds() * 0.9

    async def _send_until_stored(self, transaction: _Transaction) -> None:
        """Send `transaction` until it is known to be stored, then record that."""
        while True:
            sent_at = self._clock.monotonic()
            try:
                version = await self._commit(transaction)
            except ConflictError as exc:
                version = await self._find_stored_version(transaction, exc)
            except TransactionRejectedError as exc:
                for part in self._split_rejected(transaction, exc):
                    await self._send_until_stored(part)
                return
            except UnavailableError as exc:
                self._record_store_reachable(False, str(exc))
                await self._clock.sleep(RETRY_DELAY)
                continue
            self._record_stored(transaction, version, sent_at)
            return

    def _split_rejected(
        self, transaction: _Transaction, cause: TransactionRejectedError
    ) -> list[_Transaction]:
        """Return transactions that replace one which the store refuses for good.

        A single row that is refused is left out: the rows of all other jobs must not
        wait for it.  Nothing that rests on it counts as stored.  Raises `cause` if no
        row is left.
        """
        writes = transaction.writes
        if not writes:
            raise cause
        if len(writes) == 1:
            self._reject(writes[0], cause)
            return [replace(transaction, guard=self._next_guard(), writes=())]
        middle = len(writes) // 2
        first = replace(
            transaction,
            guard=self._next_guard(),
            last_position=self._stored.complete,
            writes=writes[:middle],
            renews=False,
            releases=False,
        )
        second = replace(transaction, guard=self._next_guard(), writes=writes[middle:])
        return [first, second]

    def _reject(self, queued: QueuedWrite, cause: TransactionRejectedError) -> None:
        """Note that the store refuses a row, until it is written in another form."""
        write = queued.write
        self._stored.reject(write.key, queued.positions)
        logger.error(
            "leader_row_rejected",
            key=write.key,
            size=len(write.value or b""),
            cause=str(cause),
        )

    async def _commit(self, transaction: _Transaction) -> int:
        writes = [
            *(queued.write for queued in transaction.writes),
            Write(GUARD_KEY, msgspec.json.encode(transaction.guard)),
        ]
        checks = [Check(GUARD_KEY, self._leadership.guard_version)]
        if transaction.renews:
            self._leadership.releasing = transaction.releases
            owner = encode_owner(self._leadership, released=transaction.releases)
            writes.append(Write(OWNER_KEY, owner))
        versions = await self._table.commit(checks, writes)
        return versions[GUARD_KEY]

    async def _find_stored_version(
        self, transaction: _Transaction, cause: Exception
    ) -> int:
        """Return the guard version if an earlier, unanswered attempt was stored.

        Raises `LeadershipLostError` if the guard row belongs to another transaction.
        """
        row = await self._read_guard()
        if row is None or decode_guard(row) != transaction.guard:
            logger.warning(
                "leadership_lost", epoch=self._leadership.epoch, cause=str(cause)
            )
            raise LeadershipLostError("another process has taken over the leadership")
        return row.version

    async def _read_guard(self) -> Row | None:
        while True:
            try:
                return (await self._table.read([GUARD_KEY])).get(GUARD_KEY)
            except UnavailableError as exc:
                self._record_store_reachable(False, str(exc))
                await self._clock.sleep(RETRY_DELAY)

    def _record_stored(
        self, transaction: _Transaction, version: int, sent_at: float
    ) -> None:
        self._record_store_reachable(True, "")
        leadership = self._leadership
        leadership.guard_version = version
        leadership.confirmed_at = max(leadership.confirmed_at, sent_at)
        if transaction.renews:
            self._note_renewal(sent_at)
            self._renewed_at = sent_at
            leadership.lost = leadership.lost or transaction.releases
        for queued in transaction.writes:
            self._stored.mark_stored(queued.write.key, queued.positions)
        self._monitor.note_stored(
            (queued.write.key for queued in transaction.writes), sent_at
        )
        self._stored.advance(transaction.last_position)
        self.on_stored()

    def _note_renewal(self, sent_at: float) -> None:
        """Log a renewal of the owner row that came so late that others may take over.

        `waited_ms` is the time until it was sent, `store_ms` that until its answer.
        """
        waited_s = sent_at - self._renewed_at
        store_s = self._clock.monotonic() - sent_at
        if waited_s + store_s >= MIN_LOGGED_RENEWAL_S:
            logger.warning(
                "leadership_renewed_late",
                epoch=self._leadership.epoch,
                waited_ms=round(waited_s * 1_000),
                store_ms=round(store_s * 1_000),
            )

    def _record_store_reachable(self, reachable: bool, cause: str) -> None:
        if reachable == self._store_reachable:
            return
        self._store_reachable = reachable
        if reachable:
            logger.info("leader_writes_recovered", epoch=self._leadership.epoch)
        else:
            logger.warning(
                "leader_writes_failing", epoch=self._leadership.epoch, cause=cause
            )


def encode_owner(leadership: Leadership, *, released: bool) -> bytes:
    """Return the value of the owner row that renews or releases `leadership`."""
    owner = msgspec.structs.replace(
        leadership.owner, released=released, settled=leadership.settled
    )
    return msgspec.json.encode(owner)
