"""The lease of a shard: a row whose owner changes by compare-and-set."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from cassiaweir.exceptions import ConflictError, LeaseLostError, UnavailableError
from cassiaweir.types import Check, Clock, Row, Table, Write

NEVER = float("-inf")


class ShardRow(msgspec.Struct, frozen=True):
    """The row `shard/<shard>`; `owner` is empty after the lease was released.

    `epoch` grows with each takeover, and `renewals` counts the renewals within it.
    """

    owner: str
    address: str
    epoch: int
    renewals: int


@dataclass(frozen=True, slots=True)
class LeaseOptions:
    """The options of a shard's lease.

    A lease lasts for `lease` from the moment at which the renewal is sent.
    `clock_drift` bounds how far two clocks drift apart within that time.  For
    `autonomy` after the lease, an owner that cannot reach the table still renews the
    leases of running tasks.  `workers_fence` states whether workers refuse commands
    of an older epoch than the highest that they have seen.
    """

    lease: timedelta
    clock_drift: timedelta
    autonomy: timedelta
    workers_fence: bool


@dataclass(frozen=True, slots=True)
class Predecessor:
    """The owner before a takeover; `released` is set if it gave the shard up itself."""

    process: str
    address: str
    released: bool


@dataclass(slots=True)
class _ObservedVersion:
    """The version of a row, and when it was first read on the monotonic clock."""

    version: int
    since: float


class ShardLease:
    """Acquires, renews and releases one shard for one process.

    `process` is unique for each start of a process, so a row with this owner was
    written by this process.  `own_domain` states whether the shard belongs to the
    failure domain of this process.
    """

    def __init__(
        self,
        shard: str,
        process: str,
        address: str,
        *,
        table: Table,
        clock: Clock,
        options: LeaseOptions,
        own_domain: bool = True,
    ) -> None:
        self.shard = shard
        self.key = f"shard/{shard}"
        self.epoch = 0
        self.version = 0
        self.predecessor = Predecessor("", "", True)
        self._process = process
        self._address = address
        self._table = table
        self._clock = clock
        self._options = options
        self._own_domain = own_domain
        self._owned = False
        self._renewals = 0
        self._renewed_at = NEVER
        self._first_sent: dict[int, float] = {}
        self._observed: _ObservedVersion | None = None

    @property
    def owned(self) -> bool:
        """Whether this process acquired the shard and has not learnt of its loss.

        The lease may have passed meanwhile; see `held`.
        """
        return self._owned

    def held(self) -> bool:
        """Return whether the lease is valid, so that no other process is owner."""
        return self._owned and self._age() < self._options.lease.total_seconds()

    def may_renew_tasks(self) -> bool:
        """Return whether the owner may still renew the leases of running tasks."""
        limit = self._options.lease + self._options.autonomy
        return self._owned and self._age() < limit.total_seconds()

    def may_start(self) -> bool:
        """Return whether the owner may start tasks.

        Workers that fence refuse a start after a takeover, so it may be sent in
        autonomy too.  Otherwise the lease must be valid.
        """
        if self._options.workers_fence:
            return self.may_renew_tasks()
        return self.held()

    def mark_lost(self) -> None:
        """Record that this process is no longer the owner."""
        self._owned = False
        self.predecessor = Predecessor(self._process, self._address, released=False)

    async def try_acquire(self, *, delay: timedelta = timedelta(0)) -> bool:
        """Acquire the shard if it is free or its lease has passed.

        Returns whether this process owns the shard.  `delay` is an additional wait
        before a takeover.  Raises `UnavailableError`.
        """
        rows = await self._table.read([self.key])
        return await self.try_acquire_from_row(
            rows.get(self.key), self._clock.monotonic(), delay=delay
        )

    async def try_acquire_from_row(
        self, row: Row | None, seen_at: float, *, delay: timedelta = timedelta(0)
    ) -> bool:
        """Do what `try_acquire` does with a `row` whose read ended at `seen_at`."""
        version = row.version if row else 0
        state = _decode(row)
        if state.owner == self._process:
            return await self._adopt_own_row(state, version)
        if self._observed is None or self._observed.version != version:
            self._observed = _ObservedVersion(version, seen_at)
        if seen_at - self._observed.since < self._takeover_wait_seconds(state, delay):
            return False
        return await self._acquire(state, version)

    async def renew(self) -> None:
        """Extend the lease, counted from the moment at which the write is sent.

        Raises `LeaseLostError` if another process owns the shard, and
        `UnavailableError` if the table did not answer.
        """
        if not self._owned:
            raise LeaseLostError(f"{self.shard} is not owned by this process")
        renewals = self._renewals + 1
        sent_at = self._clock.monotonic()
        self._first_sent.setdefault(renewals, sent_at)
        state = ShardRow(self._process, self._address, self.epoch, renewals)
        try:
            versions = await self._table.commit(
                [Check(self.key, self.version)],
                [Write(self.key, msgspec.json.encode(state))],
            )
        except (ConflictError, UnavailableError):
            await self.read_back()
            return
        self._record_renewal(renewals, versions[self.key], sent_at)

    async def read_back(self) -> None:
        """Read the shard's row and apply it as `observe` does."""
        rows = await self._table.read([self.key])
        self.observe(rows.get(self.key))

    def observe(self, row: Row | None) -> None:
        """Update the lease from a row that was read after the last write.

        Raises `LeaseLostError` if the row names another owner or epoch.
        """
        state = _decode(row)
        if row is None or state.owner != self._process or state.epoch != self.epoch:
            self.mark_lost()
            raise LeaseLostError(f"{self.shard}: the stored epoch is {state.epoch}")
        # A read that began before a later renewal must not reset the version.
        if state.renewals >= self._renewals and state.renewals in self._first_sent:
            self._record_renewal(
                state.renewals, row.version, self._first_sent[state.renewals]
            )

    async def release(self) -> None:
        """Release the shard; no command to a worker may be in flight."""
        if not self._owned:
            return
        self.mark_lost()
        try:
            await self._write_released(self.version)
        except ConflictError:
            # A renewal whose answer was lost may have raised the version.
            row = (await self._table.read([self.key])).get(self.key)
            state = _decode(row)
            if row is None or (state.owner, state.epoch) != (self._process, self.epoch):
                return
            with contextlib.suppress(ConflictError):
                await self._write_released(row.version)

    async def _write_released(self, version: int) -> None:
        state = ShardRow("", "", self.epoch, self._renewals)
        await self._table.commit(
            [Check(self.key, version)],
            [Write(self.key, msgspec.json.encode(state))],
        )

    def _age(self) -> float:
        return self._clock.monotonic() - self._renewed_at

    def _takeover_wait_seconds(self, state: ShardRow, delay: timedelta) -> float:
        wait = delay
        if state.owner:
            wait += self._options.lease + self._options.clock_drift
        if not self._own_domain:
            wait += self._options.lease
        return wait.total_seconds()

    async def _acquire(self, state: ShardRow, version: int) -> bool:
        taken = ShardRow(self._process, self._address, state.epoch + 1, 0)
        sent_at = self._clock.monotonic()
        self.predecessor = Predecessor(state.owner, state.address, not state.owner)
        try:
            versions = await self._table.commit(
                [Check(self.key, version)],
                [Write(self.key, msgspec.json.encode(taken))],
            )
        except ConflictError:
            return False
        except UnavailableError:
            rows = await self._table.read([self.key])
            row = rows.get(self.key)
            if row is None or _decode(row).owner != self._process:
                return False
            return await self._adopt_own_row(_decode(row), row.version)
        self._set_owned(taken, versions[self.key], sent_at)
        return True

    async def _adopt_own_row(self, state: ShardRow, version: int) -> bool:
        """Adopt a row that this process wrote although the answer was lost.

        Any of several attempts may have written it, at an unknown time, so its lease
        counts as passed until the next renewal.
        """
        self._set_owned(state, version, NEVER)
        try:
            await self.renew()
        except LeaseLostError:
            return False
        return True

    def _set_owned(self, state: ShardRow, version: int, sent_at: float) -> None:
        self._owned = True
        self.epoch = state.epoch
        self._observed = None
        self._renewed_at = NEVER
        self._record_renewal(state.renewals, version, sent_at)

    def _record_renewal(self, renewals: int, version: int, sent_at: float) -> None:
        self._renewals = renewals
        self.version = version
        self._renewed_at = max(self._renewed_at, sent_at)
        self._first_sent = {renewals: sent_at}


def _decode(row: Row | None) -> ShardRow:
    """Decode `row`; return epoch 0 without an owner for a shard that has no row."""
    if row is None:
        return ShardRow("", "", 0, 0)
    return msgspec.json.decode(row.value, type=ShardRow)
