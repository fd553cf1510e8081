"""The lease of a shard: a row that changes owner by compare-and-set."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from cassiaweir.exceptions import ConflictError, LeaseLostError, UnavailableError
from cassiaweir.types import Check, Clock, Row, Table, Write

NEVER = float("-inf")


class ShardRow(msgspec.Struct, frozen=True):
    """The row `shard/<shard>`; `owner` is empty once the lease was released."""

    owner: str
    address: str
    epoch: int
    renewals: int


@dataclass(frozen=True, slots=True)
class LeaseOptions:
    """The durations of a lease, and whether workers refuse old epochs."""

    lease: timedelta
    clock_drift: timedelta
    autonomy: timedelta
    workers_fence: bool


@dataclass(frozen=True, slots=True)
class Predecessor:
    """The owner before a takeover; `released` says that it gave the shard up."""

    process: str
    address: str
    released: bool


@dataclass(slots=True)
class _Sighting:
    """The version of a row and the moment it was first seen."""

    version: int
    since: float


class ShardLease:
    """Acquires, renews and releases one shard for one process.

    `process` is unique per start, so a row with this owner was written by us.
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
        self._sighting: _Sighting | None = None

    @property
    def owned(self) -> bool:
        """Whether this process took the shard and was not told otherwise."""
        return self._owned

    def held(self) -> bool:
        """Tell whether nobody else can have taken the shard over yet."""
        return self._owned and self._age() < self._options.lease.total_seconds()

    def may_renew_tasks(self) -> bool:
        """Tell whether the owner may still renew the leases of running tasks."""
        limit = self._options.lease + self._options.autonomy
        return self._owned and self._age() < limit.total_seconds()

    def may_start(self) -> bool:
        """Tell whether the owner may start tasks."""
        if self._options.workers_fence:
            return self.may_renew_tasks()
        return self.held()

    def mark_lost(self) -> None:
        """Note that a higher epoch was seen."""
        self._owned = False
        self.predecessor = Predecessor(self._process, self._address, released=False)

    async def challenge(self, *, delay: timedelta = timedelta(0)) -> bool:
        """Take the shard if it is free or its lease passed; tell whether it is ours.

        `delay` is waited on top of the lease.  Raises `UnavailableError`.
        """
        rows = await self._table.read([self.key])
        return await self.consider(
            rows.get(self.key), self._clock.monotonic(), delay=delay
        )

    async def consider(
        self, row: Row | None, seen_at: float, *, delay: timedelta = timedelta(0)
    ) -> bool:
        """Challenge as `challenge` does, by a `row` whose read ended at `seen_at`."""
        version = row.version if row else 0
        state = _decode(row)
        if state.owner == self._process:
            return await self._recognise(state, version)
        if self._sighting is None or self._sighting.version != version:
            self._sighting = _Sighting(version, seen_at)
        if seen_at - self._sighting.since < self._patience(state, delay):
            return False
        return await self._take(state, version)

    async def renew(self) -> None:
        """Extend the lease from the moment of sending.

        Raises `LeaseLostError` where another owner holds the shard, and
        `UnavailableError` where the table gave no answer.
        """
        if not self._owned:
            raise LeaseLostError(f"{self.shard} is not ours")
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
        self._accept(renewals, versions[self.key], sent_at)

    async def read_back(self) -> None:
        """Learn the version of our row, or raise `LeaseLostError`."""
        rows = await self._table.read([self.key])
        self.observe(rows.get(self.key))

    def observe(self, row: Row | None) -> None:
        """Take in a row that was read after our last write.

        Raises `LeaseLostError` where it names another owner or epoch.
        """
        state = _decode(row)
        if row is None or state.owner != self._process or state.epoch != self.epoch:
            self.mark_lost()
            raise LeaseLostError(f"{self.shard} has epoch {state.epoch}")
        # A read that overtook a later renewal must not set the version back.
        if state.renewals >= self._renewals and state.renewals in self._first_sent:
            self._accept(state.renewals, row.version, self._first_sent[state.renewals])

    async def release(self) -> None:
        """Give the shard up at once; call it when no command is in flight."""
        if not self._owned:
            return
        self.mark_lost()
        try:
            await self._write_released(self.version)
        except ConflictError:
            # A renewal of ours whose answer was lost may have raised the version.
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

    def _patience(self, state: ShardRow, delay: timedelta) -> float:
        wait = delay
        if state.owner:
            wait += self._options.lease + self._options.clock_drift
        if not self._own_domain:
            wait += self._options.lease
        return wait.total_seconds()

    async def _take(self, state: ShardRow, version: int) -> bool:
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
            return await self._recognise(_decode(row), row.version)
        self._begin(taken, versions[self.key], sent_at)
        return True

    async def _recognise(self, state: ShardRow, version: int) -> bool:
        """Accept a row of ours that was written although the answer was lost.

        It may stem from any of several attempts, so its lease counts as passed.
        """
        self._begin(state, version, NEVER)
        try:
            await self.renew()
        except LeaseLostError:
            return False
        return True

    def _begin(self, state: ShardRow, version: int, sent_at: float) -> None:
        self._owned = True
        self.epoch = state.epoch
        self._sighting = None
        self._renewed_at = NEVER
        self._accept(state.renewals, version, sent_at)

    def _accept(self, renewals: int, version: int, sent_at: float) -> None:
        self._renewals = renewals
        self.version = version
        self._renewed_at = max(self._renewed_at, sent_at)
        self._first_sent = {renewals: sent_at}


def _decode(row: Row | None) -> ShardRow:
    """Return the state in `row`, or that of a shard that never had an owner."""
    if row is None:
        return ShardRow("", "", 0, 0)
    return msgspec.json.decode(row.value, type=ShardRow)
