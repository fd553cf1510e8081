"""Holds or challenges the shards of the cell and runs those that are held."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Protocol

from cassiaweir.background import Background
from cassiaweir.exceptions import LeaseLostError, UnavailableError
from cassiaweir.fleet._lease import LeaseOptions, ShardLease
from cassiaweir.fleet._runner import ShardRunner
from cassiaweir.fleet._shards import due_owners, shard_domain
from cassiaweir.observe import EventLog
from cassiaweir.types import Clock, Row, ShardOwner, Table


class Peers(Protocol):
    """The other processes of the cell, as heard from lately."""

    def schedulers(self, failure_domain: str) -> Sequence[str]:
        """Return the ids of the live schedulers of a failure domain, ours included."""

    def highest_epoch(self, shard: str) -> int:
        """Return the highest epoch of `shard` that any process told of, or 0."""

    def is_replaced(self, process: str, address: str) -> bool:
        """Tell whether another process than `process` answers at `address`."""


@dataclass(slots=True)
class _Seat:
    """One shard of the cell: its lease, and its runner while we own it."""

    lease: ShardLease
    runner: ShardRunner | None = None


class ShardManager:
    """Owns as many shards as is this process's due; implements `OwnedShards`.

    A process of the shard's own failure domain that is not due waits one more
    renewal, and one of another failure domain one more lease, before it challenges.
    """

    def __init__(
        self,
        shards: Sequence[str],
        process: str,
        address: str,
        failure_domain: str,
        *,
        table: Table,
        clock: Clock,
        events: EventLog,
        options: LeaseOptions,
        renewal: timedelta,
        peers: Peers,
        build_runner: Callable[[ShardLease], ShardRunner],
    ) -> None:
        self._process = process
        self._address = address
        self._failure_domain = failure_domain
        self._table = table
        self._clock = clock
        self._events = events
        self._renewal = renewal
        self._peers = peers
        self._build_runner = build_runner
        self._seats = {
            shard: _Seat(
                ShardLease(
                    shard,
                    process,
                    address,
                    table=table,
                    clock=clock,
                    options=options,
                    own_domain=shard_domain(shard) == failure_domain,
                )
            )
            for shard in shards
        }
        self._background = Background()

    async def start(self) -> None:
        """Begin to hold or challenge every shard."""
        holds = [partial(self._run, seat) for seat in self._by_rank()]
        self._background.start(self._run_watch, *holds)

    async def stop(self) -> None:
        """Stop the runners and release the shards, so that successors need not wait."""
        await self._background.stop()
        await asyncio.gather(*(self._release(seat) for seat in self._seats.values()))

    def owned(self) -> Sequence[ShardOwner]:
        """Return the shards whose lease, or autonomy, this process holds."""
        return [
            seat.runner.describe(self._process, self._address)
            for seat in self._seats.values()
            if seat.runner is not None and seat.lease.may_renew_tasks()
        ]

    def runner(self, shard: str) -> ShardRunner | None:
        """Return the runner of a shard that this process owns, or None."""
        seat = self._seats.get(shard)
        return seat.runner if seat is not None else None

    def runners(self) -> list[ShardRunner]:
        """Return the runners of all shards that this process owns."""
        return [seat.runner for seat in self._seats.values() if seat.runner is not None]

    async def step(self, shard: str) -> None:
        """Renew or challenge one shard, and start or stop its runner."""
        seat = self._seats[shard]
        if seat.lease.owned:
            await self._hold(seat)
        else:
            await self._stop_runner(seat)
            await self._watch([seat])

    async def _run(self, seat: _Seat) -> None:
        """Hold a shard while it is ours."""
        while True:
            if seat.lease.owned:
                await self._hold(seat)
            else:
                await self._stop_runner(seat)
            await self._clock.sleep(self._renewal)

    async def _run_watch(self) -> None:
        """Watch all shards that are not ours, with one read for all of them."""
        while True:
            seats = self._by_rank()
            await self._watch(
                [s for s in seats if not s.lease.owned and s.runner is None]
            )
            await self._clock.sleep(self._renewal)

    async def _hold(self, seat: _Seat) -> None:
        try:
            await self._keep(seat)
        except UnavailableError:
            self._note_autonomy(seat)

    async def _watch(self, seats: Sequence[_Seat]) -> None:
        """Read the rows of `seats` and take the shards whose lease has passed."""
        with contextlib.suppress(UnavailableError):
            rows = await self._table.read([seat.lease.key for seat in seats])
            seen_at = self._clock.monotonic()
            for seat in seats:
                await self._challenge(seat, rows.get(seat.lease.key), seen_at)

    async def _keep(self, seat: _Seat) -> None:
        shard = seat.lease.shard
        if self._peers.highest_epoch(shard) > seat.lease.epoch:
            seat.lease.mark_lost()
        elif self._runner_failed(seat) or (
            self._is_surplus(shard) and self._runs_settled(seat)
        ):
            await self._release(seat)
            return
        try:
            await seat.lease.renew()
        except LeaseLostError:
            await self._stop_runner(seat)
            return
        if seat.runner is None:
            await self._start_runner(seat)
        elif self._former_owner_gone(seat.lease):
            seat.runner.former_owner_gone()

    async def _challenge(self, seat: _Seat, row: Row | None, seen_at: float) -> None:
        shard = seat.lease.shard
        due = self._is_due(shard)
        delay = timedelta(0) if due else 2 * self._renewal
        taken = await seat.lease.consider(row, seen_at, delay=delay)
        # The task that holds the shard may have started the runner meanwhile.
        if taken and seat.runner is None:
            await self._start_runner(seat)

    async def _start_runner(self, seat: _Seat) -> None:
        lease = seat.lease
        self._events.record(
            "shard_acquired",
            lease.shard,
            epoch=lease.epoch,
            former=lease.predecessor.process,
            released=lease.predecessor.released,
        )
        seat.runner = self._build_runner(lease)
        await seat.runner.start()

    async def _stop_runner(self, seat: _Seat) -> None:
        if seat.runner is None:
            return
        runner, seat.runner = seat.runner, None
        self._events.record("shard_lost", seat.lease.shard, epoch=runner.epoch)
        await runner.stop()

    async def _release(self, seat: _Seat) -> None:
        await self._stop_runner(seat)
        try:
            await seat.lease.release()
        except UnavailableError:
            self._events.record("shard_release_failed", seat.lease.shard)

    def _note_autonomy(self, seat: _Seat) -> None:
        if seat.lease.owned and not seat.lease.held():
            self._events.record(
                "shard_autonomous", seat.lease.shard, epoch=seat.lease.epoch
            )

    def _former_owner_gone(self, lease: ShardLease) -> bool:
        former = lease.predecessor
        return self._peers.is_replaced(former.process, former.address)

    def _by_rank(self) -> list[_Seat]:
        """Return the seats, those of the own failure domain first."""
        return sorted(
            self._seats.values(),
            key=lambda seat: shard_domain(seat.lease.shard) != self._failure_domain,
        )

    def _is_due(self, shard: str) -> bool:
        """Tell whether this process is the preferred owner of `shard`."""
        domain = shard_domain(shard)
        live = self._peers.schedulers(domain)
        shards = [name for name in self._seats if shard_domain(name) == domain]
        return not live or self._process == due_owners(shards, live)[shard]

    def _is_surplus(self, shard: str) -> bool:
        """Tell whether a live process of the shard's failure domain owns too little.

        Only a process above its even share gives a shard up, so shards do not wander.
        """
        domain = shard_domain(shard)
        live = self._peers.schedulers(domain)
        if not live or self._is_due(shard):
            return False
        if domain != self._failure_domain:
            return True
        mine = sum(
            seat.lease.owned and shard_domain(seat.lease.shard) == domain
            for seat in self._seats.values()
        )
        total = sum(shard_domain(name) == domain for name in self._seats)
        return mine > -(-total // len(live))

    def _runner_failed(self, seat: _Seat) -> bool:
        """Tell whether the runner has to be built anew after an unexpected error."""
        exc = seat.runner.failure() if seat.runner is not None else None
        if exc is not None:
            self._events.record(
                "runner_failed",
                seat.lease.shard,
                epoch=seat.lease.epoch,
                error=repr(exc),
            )
        return exc is not None

    def _runs_settled(self, seat: _Seat) -> bool:
        """Tell whether the shard has settled since its takeover."""
        return seat.runner is not None and seat.runner.settled
