"""Writes the leader's rows in sequential transactions, fenced by the guard row."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec
from loguru import logger

from cassiaweir.exceptions import (
    ConflictError,
    LeadershipLostError,
    RowRejectedError,
    TransactionRejectedError,
    UnavailableError,
)
from cassiaweir.leadership._rows import GUARD_KEY, OWNER_KEY, Guard, decode_guard
from cassiaweir.leadership._terms import Leadership
from cassiaweir.leadership._write_monitor import WriteMonitor
from cassiaweir.observe import Metrics
from cassiaweir.store import TransactionSize
from cassiaweir.types import Check, Clock, Row, Table, Write

RENEWAL_INTERVAL = timedelta(milliseconds=400)
RETRY_DELAY = timedelta(milliseconds=50)
MIN_LOGGED_RENEWAL_S = 0.8
"""Twice `RENEWAL_INTERVAL`; the owner row may stay unchanged for little more."""

BATCH_DELAY = timedelta(milliseconds=6)
"""Writes that are queued within this time share a transaction."""


@dataclass(frozen=True, slots=True)
class _Pending:
    """A queued write, with its position after those of the writes that it replaces."""

    positions: tuple[int, ...]
    write: Write


@dataclass(frozen=True, slots=True)
class _Transaction:
    """Writes that are sent together, repeatedly until the outcome is known.

    Once it is stored, all writes up to `last_position` are.  `renews` says whether it
    also rewrites the owner row, and `releases` whether it gives up the leadership by
    that.  An attempt without an answer may have been stored, so neither changes later.
    """

    guard: Guard
    last_position: int
    writes: tuple[_Pending, ...]
    renews: bool
    releases: bool


class CommitStream:
    """Stores the leader's rows in batches and renews its leadership.

    A write replaces a queued write of the same row.  `run` raises
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
        self._pending: dict[str, _Pending] = {}
        self._last_position = 0
        self._stored_position = 0
        self._rejected: dict[str, set[int]] = {}
        self._renewed_at = leadership.confirmed_at
        self._wakeup = asyncio.Event()
        self._stored_changed = asyncio.Condition()
        self._releasing = False
        self._confirmation_requested = False
        self._store_reachable = True
        self.on_stored: Callable[[], None] = lambda: None

    def put(self, write: Write) -> int:
        """Queue `write` and return its position, as `wait_until_stored` takes it."""
        self._last_position += 1
        previous = self._pending.pop(write.key, None)
        self._monitor.note_queued(write.key, replaced=previous is not None)
        replaced = () if previous is None else previous.positions
        positions = (*replaced, self._last_position)
        self._pending[write.key] = _Pending(positions, write)
        self._wakeup.set()
        return self._last_position

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
        return len(self._rejected)

    def is_stored(self, position: int) -> bool:
        """Return whether the write at `position` and those before it are stored.

        Writes before it that the store refuses are left out.
        """
        return self._stored_position >= position and not self._is_rejected(position)

    def _is_rejected(self, position: int) -> bool:
        return any(position in each for each in self._rejected.values())

    def missing_writes(self, position: int) -> int:
        """Return how many writes up to `position` do not count as stored yet."""
        return max(position - self._stored_position, 0)

    async def wait_until_stored(self, position: int) -> None:
        """Wait until the write at `position` and those before it are stored.

        Raises `LeadershipLostError` if the leadership is lost before that, and
        `RowRejectedError` if the store refuses the write.
        """
        async with self._stored_changed:
            await self._stored_changed.wait_for(
                lambda: self._stored_position >= position or self._leadership.lost
            )
        if self._stored_position < position:
            raise LeadershipLostError(
                "leadership was lost before the queued rows were stored"
            )
        if self._is_rejected(position):
            raise RowRejectedError(f"the store refuses the row at position {position}")

    async def release(self) -> None:
        """Store the queued writes, then give up the leadership.

        The released owner row lets a successor take over without a timeout.
        """
        self._releasing = True
        self._wakeup.set()
        async with self._stored_changed:
            await self._stored_changed.wait_for(lambda: self._leadership.lost)

    async def run(self) -> None:
        """Store queued writes until the leadership is lost or released."""
        try:
            while not self._leadership.lost:
                await self._wait_for_work()
                await self._clock.sleep(BATCH_DELAY)
                await self._send_until_stored(self._next_transaction())
        finally:
            self._leadership.lost = True
            async with self._stored_changed:
                self._stored_changed.notify_all()

    async def _wait_for_work(self) -> None:
        if self._pending or self._releasing or self._confirmation_requested:
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
        """Remove the writes at the head of the queue and return their transaction.

        A replacing write goes to the end of the queue, behind positions that are newer
        than the oldest one it stands for.  Hence the stored position ends before the
        oldest position that is still queued.
        """
        writes: list[_Pending] = []
        size = TransactionSize()
        for key, pending in list(self._pending.items()):
            size = size + TransactionSize.of((), [pending.write])
            if writes and not size.fits:
                break
            writes.append(pending)
            del self._pending[key]
        self._monitor.note_sent(pending.write.key for pending in writes)
        self._confirmation_requested = False
        guard = self._next_guard()
        remaining = [pending.positions[0] for pending in self._pending.values()]
        last_position = min(remaining) - 1 if remaining else self._last_position
        releases = self._releasing and not self._pending
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
            await self._record_stored(transaction, version, sent_at)
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
            last_position=self._stored_position,
            writes=writes[:middle],
            renews=False,
            releases=False,
        )
        second = replace(transaction, guard=self._next_guard(), writes=writes[middle:])
        return [first, second]

    def _reject(self, pending: _Pending, cause: TransactionRejectedError) -> None:
        """Note that the store refuses a row, until it is written in another form."""
        key = pending.write.key
        self._rejected.setdefault(key, set()).update(pending.positions)
        logger.error(
            "leader_row_rejected",
            key=key,
            size=len(pending.write.value or b""),
            cause=str(cause),
        )

    async def _commit(self, transaction: _Transaction) -> int:
        writes = [
            *(pending.write for pending in transaction.writes),
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

    async def _record_stored(
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
        for pending in transaction.writes:
            self._rejected.pop(pending.write.key, None)
        self._monitor.note_stored(
            (pending.write.key for pending in transaction.writes), sent_at
        )
        async with self._stored_changed:
            self._stored_position = max(
                self._stored_position, transaction.last_position
            )
            self._stored_changed.notify_all()
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
