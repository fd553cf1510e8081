"""Acquires and renews shards of the cell, and runs those that are owned."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Protocol

from cassiaweir.background import BackgroundTasks
from cassiaweir.exceptions import LeaseLostError, UnavailableError
from cassiaweir.fleet._lease import LeaseOptions, ShardLease
from cassiaweir.fleet._runner import ShardRunner
from cassiaweir.fleet._shards import preferred_owners, shard_domain
from cassiaweir.observe import EventLog
from cassiaweir.types import Clock, Row, ShardOwner, Table


class Peers(Protocol):
    """What heartbeats tell of the schedulers of the cell."""

    def schedulers(self, failure_domain: str) -> Sequence[str]:
        """Return the ids of the live schedulers of a failure domain.

        This process is included if it belongs to the failure domain.
        """

    def highest_epoch(self, shard: str) -> int:
        """Return the highest epoch of `shard` that a heartbeat named, or 0."""

    def is_replaced(self, process: str, address: str) -> bool:
        """Return whether a process other than `process` answers at `address`."""


@dataclass(slots=True)
class _ShardEntry:
    """One shard of the cell: its lease, and its runner while it is owned."""

    lease: ShardLease
    runner: ShardRunner | None = None


class ShardManager:
    """Acquires a fair number of shards for this process; implements `OwnedShards`.

    Every shard has a preferred owner among the live schedulers of its failure domain.
    Any other process waits for two more renewal intervals before it takes the shard
    over.  A process of another failure domain always waits for one more lease.
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
        self._entries = {
            shard: _ShardEntry(
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
        self._background = BackgroundTasks()

    async def start(self) -> None:
        """Start the background tasks that acquire and renew shards."""
        loops = [partial(self._run_shard, entry) for entry in self._own_domain_first()]
        self._background.start(self._run_acquisition, *loops)

    async def stop(self) -> None:
        """Stop the runners and release the shards, so that successors need not wait."""
        await self._background.stop()
        await asyncio.gather(
            *(self._release(entry) for entry in self._entries.values())
        )

    def owned(self) -> Sequence[ShardOwner]:
        """Return the shards that this process owns by lease or in autonomy."""
        return [
            entry.runner.describe(self._process, self._address)
            for entry in self._entries.values()
            if entry.runner is not None and entry.lease.may_renew_tasks()
        ]

    def runner(self, shard: str) -> ShardRunner | None:
        """Return the runner of a shard that this process owns, or None."""
        entry = self._entries.get(shard)
        return entry.runner if entry is not None else None

    def runners(self) -> list[ShardRunner]:
        """Return the runners of all shards that this process owns."""
        return [
            entry.runner for entry in self._entries.values() if entry.runner is not None
        ]

    async def step(self, shard: str) -> None:
        """Renew or try to acquire one shard, and start or stop its runner."""
        entry = self._entries[shard]
        if entry.lease.owned:
            await self._maintain(entry)
        else:
            await self._stop_runner(entry)
            await self._acquire_expired([entry])

    async def _run_shard(self, entry: _ShardEntry) -> None:
        """Renew the lease of a shard while this process owns it."""
        while True:
            if entry.lease.owned:
                await self._maintain(entry)
            else:
                await self._stop_runner(entry)
            await self._clock.sleep(self._renewal)

    async def _run_acquisition(self) -> None:
        """Try to acquire all shards that are not owned, with one read for all."""
        while True:
            entries = self._own_domain_first()
            await self._acquire_expired(
                [s for s in entries if not s.lease.owned and s.runner is None]
            )
            await self._clock.sleep(self._renewal)

    async def _maintain(self, entry: _ShardEntry) -> None:
        try:
            await self._maintain_lease(entry)
        except UnavailableError:
            self._record_autonomy(entry)

    async def _acquire_expired(self, entries: Sequence[_ShardEntry]) -> None:
        """Read the rows of `entries` and acquire the shards whose lease has passed."""
        with contextlib.suppress(UnavailableError):
            rows = await self._table.read([entry.lease.key for entry in entries])
            seen_at = self._clock.monotonic()
            for entry in entries:
                await self._try_acquire(entry, rows.get(entry.lease.key), seen_at)

    async def _maintain_lease(self, entry: _ShardEntry) -> None:
        shard = entry.lease.shard
        if self._peers.highest_epoch(shard) > entry.lease.epoch:
            entry.lease.mark_lost()
        elif self._runner_failed(entry) or (
            self._is_surplus(shard) and self._takeover_settled(entry)
        ):
            await self._release(entry)
            return
        try:
            await entry.lease.renew()
        except LeaseLostError:
            await self._stop_runner(entry)
            return
        if entry.runner is None:
            await self._start_runner(entry)
        elif self._former_owner_exited(entry.lease):
            entry.runner.handle_former_owner_exit()

    async def _try_acquire(
        self, entry: _ShardEntry, row: Row | None, seen_at: float
    ) -> None:
        shard = entry.lease.shard
        preferred = self._is_preferred_owner(shard)
        delay = timedelta(0) if preferred else 2 * self._renewal
        taken = await entry.lease.try_acquire_from_row(row, seen_at, delay=delay)
        # `_run_shard` may have started the runner meanwhile.
        if taken and entry.runner is None:
            await self._start_runner(entry)

    async def _start_runner(self, entry: _ShardEntry) -> None:
        lease = entry.lease
        self._events.record(
            "shard_acquired",
            lease.shard,
            epoch=lease.epoch,
            former=lease.predecessor.process,
            released=lease.predecessor.released,
        )
        entry.runner = self._build_runner(lease)
        await entry.runner.start()

    async def _stop_runner(self, entry: _ShardEntry) -> None:
        if entry.runner is None:
            return
        runner, entry.runner = entry.runner, None
        self._events.record("shard_lost", entry.lease.shard, epoch=runner.epoch)
        await runner.stop()

    async def _release(self, entry: _ShardEntry) -> None:
        await self._stop_runner(entry)
        try:
            await entry.lease.release()
        except UnavailableError:
            self._events.record("shard_release_failed", entry.lease.shard)

    def _record_autonomy(self, entry: _ShardEntry) -> None:
        if entry.lease.owned and not entry.lease.held():
            self._events.record(
                "shard_autonomous", entry.lease.shard, epoch=entry.lease.epoch
            )

    def _former_owner_exited(self, lease: ShardLease) -> bool:
        former = lease.predecessor
        return self._peers.is_replaced(former.process, former.address)

    def _own_domain_first(self) -> list[_ShardEntry]:
        """Return the entries, those of this process's failure domain first."""
        return sorted(
            self._entries.values(),
            key=lambda entry: shard_domain(entry.lease.shard) != self._failure_domain,
        )

    def _is_preferred_owner(self, shard: str) -> bool:
        """Return whether this process is the preferred owner of `shard`.

        Without a live scheduler in its failure domain, every process is.
        """
        domain = shard_domain(shard)
        live = self._peers.schedulers(domain)
        shards = [name for name in self._entries if shard_domain(name) == domain]
        return not live or self._process == preferred_owners(shards, live)[shard]

    def _is_surplus(self, shard: str) -> bool:
        """Return whether this process should release `shard` to its preferred owner.

        Within the failure domain, only a process that owns more than an even share
        does so; otherwise shards would change owner without need.
        """
        domain = shard_domain(shard)
        live = self._peers.schedulers(domain)
        if not live or self._is_preferred_owner(shard):
            return False
        if domain != self._failure_domain:
            return True
        owned_count = sum(
            entry.lease.owned and shard_domain(entry.lease.shard) == domain
            for entry in self._entries.values()
        )
        total = sum(shard_domain(name) == domain for name in self._entries)
        return owned_count > -(-total // len(live))

    def _runner_failed(self, entry: _ShardEntry) -> bool:
        """Return whether the runner failed; if so, record the unexpected error."""
        exc = entry.runner.failure() if entry.runner is not None else None
        if exc is not None:
            self._events.record(
                "runner_failed",
                entry.lease.shard,
                epoch=entry.lease.epoch,
                error=repr(exc),
            )
        return exc is not None

    def _takeover_settled(self, entry: _ShardEntry) -> bool:
        """Return whether no task of the former owner is held back any more."""
        return entry.runner is not None and entry.runner.settled
