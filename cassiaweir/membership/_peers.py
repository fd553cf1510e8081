"""Heartbeats between processes, and the process states received in them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import grpc

from cassiaweir.configuration import TableView
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.membership._known_processes import (
    NEVER_REPORTED,
    KnownProcess,
    KnownProcesses,
)
from cassiaweir.membership._models import Member, is_compatible
from cassiaweir.membership._selection import PeerAddress, PeerSelection
from cassiaweir.membership._state_reporter import NoShards, StateReporter
from cassiaweir.observe import EventLog
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.rpc._peer import decode_view, ms_to_seconds
from cassiaweir.rpc._server import Channels
from cassiaweir.types import Clock, OwnedShards, ShardOwner

# States of other processes in one answer.
MAX_FORWARDED_STATES = 4
# Heartbeats to all peers together in one heartbeat interval.
EXCHANGES_PER_INTERVAL = 1
# Older states are neither used to find shard owners nor forwarded.
MAX_STATE_AGE = timedelta(seconds=60)
FORGET_AFTER = timedelta(seconds=70)
# In heartbeat intervals.
CALL_TIMEOUT_INTERVALS = 2


class Peers:
    """Exchanges heartbeats in one task per peer, and implements `ShardDirectory`.

    Only answers to this process's own calls can make states, and the view of bundle and
    keys, count as fresh, because the time since the call was sent bounds their age.  An
    incoming call only shows that its sender exists and is alive, and which versions of
    the bundle and of the keys it has.

    `members` returns the rows of the other processes; `seeds` returns addresses to
    call while no other process is known.
    """

    def __init__(
        self,
        member: Member,
        view: TableView,
        channels: Channels,
        events: EventLog,
        clock: Clock,
        *,
        heartbeat: timedelta,
        members: Callable[[], Sequence[Member]],
        owned: OwnedShards | None = None,
        seeds: Callable[[], Sequence[str]] = tuple,
        rng: random.Random | None = None,
    ) -> None:
        self._member = member
        self._view = view
        self._channels = channels
        self._events = events
        self._clock = clock
        self._heartbeat_interval = heartbeat
        self._members = members
        self._owned = owned or NoShards()
        self._state_reporter = StateReporter(member, view, self._owned, clock)
        self._seeds = seeds
        self._known = KnownProcesses(member.process)
        rng = rng or random.Random(member.process)
        self._selection = PeerSelection(member.failure_domain, rng)
        self._leaving = False
        self._incompatible: set[str] = set()
        self._unreachable: set[str] = set()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._supervisor: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start exchanging heartbeats."""
        self._supervisor = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop sending heartbeats; incoming ones are still answered, as leaving."""
        self._leaving = True
        tasks = list(self._tasks.values())
        if self._supervisor is not None:
            tasks.append(self._supervisor)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def mark_leaving(self) -> None:
        """Report this process as leaving in all heartbeats from now on."""
        self._leaving = True

    def processes(self) -> Sequence[KnownProcess]:
        """Return the newest known state of each other process."""
        return self._known.all()

    def alive_within(self, process: str, duration: timedelta) -> bool:
        """Return whether `process` is known to have been alive within `duration`."""
        known = self._known.get(process)
        return known is not None and known.last_alive_at >= self._time_ago(duration)

    def owners(self) -> Sequence[ShardOwner]:
        """Return one owner per shard, this process included.

        Owners whose state is older than `MAX_STATE_AGE` are left out.
        """
        owners = self._known.owners(self._time_ago(MAX_STATE_AGE))
        for own in self._owned.owned():
            known_owner = owners.get(own.shard)
            if known_owner is None or known_owner.epoch <= own.epoch:
                owners[own.shard] = own
        return list(owners.values())

    def owner(self, shard: str) -> ShardOwner | None:
        """Return the owner of `shard`, or None if unknown.

        An owner whose state is older than `MAX_STATE_AGE` counts as unknown.
        """
        known_owner = self._known.owner(shard, self._time_ago(MAX_STATE_AGE))
        for own in self._owned.owned():
            if own.shard == shard and (
                known_owner is None or known_owner.epoch <= own.epoch
            ):
                return own
        return known_owner

    def answer(self, heartbeat: cell_pb2.Heartbeat) -> cell_pb2.Heartbeat:
        """Return the answer to an incoming heartbeat.

        It contains the state of this process and those of some shard owners.  A
        sender with an incompatible protocol version gets only the former.
        """
        sender = heartbeat.sender
        if not self._check_protocol(sender):
            return cell_pb2.Heartbeat(sender=self._own_state())
        self._known.merge(sender, NEVER_REPORTED, last_alive_at=self._clock.monotonic())
        self._view.notify_versions(sender.bundle_version, sender.keys_version)
        recent = self._known.next_shard_owners(
            self._time_ago(MAX_STATE_AGE), MAX_FORWARDED_STATES
        )
        forwarded = [self._state_reporter.forwarded_state(known) for known in recent]
        return cell_pb2.Heartbeat(sender=self._own_state(), known=forwarded)

    def answer_received(self, answer: cell_pb2.Heartbeat, sent_at: float) -> None:
        """Merge the states in the answer to a heartbeat that was sent at `sent_at`."""
        if not self._check_protocol(answer.sender):
            return
        for state in (answer.sender, *answer.known):
            if not is_compatible(state.protocol_version):
                continue
            reported_at = sent_at - ms_to_seconds(state.age_ms)
            self._known.merge(state, reported_at, last_alive_at=reported_at)
            fresh_at = reported_at - ms_to_seconds(state.view_age_ms)
            self._view.confirm_versions(
                state.bundle_version, state.keys_version, fresh_at
            )
            self._view.notify_versions(state.bundle_version, state.keys_version)

    async def _run(self) -> None:
        while True:
            self._reconcile_tasks()
            await self._clock.sleep(self._heartbeat_interval)

    def _reconcile_tasks(self) -> None:
        """Run exactly one task for each peer that is selected in this round."""
        self._forget_silent_processes()
        self._remove_failed_tasks()
        selected = {peer.address for peer in self._selection.choose(self._candidates())}
        selected = selected or set(self._seeds()) - {self._member.address}
        for address in self._tasks.keys() - selected:
            self._tasks.pop(address).cancel()
            self._unreachable.discard(address)
        for address in sorted(selected - self._tasks.keys()):
            self._tasks[address] = asyncio.create_task(
                self._exchange_periodically(address)
            )

    def _remove_failed_tasks(self) -> None:
        """Remove tasks that have ended, so that new ones replace them."""
        for address, task in list(self._tasks.items()):
            if task.done():
                del self._tasks[address]
                self._events.record(
                    "peer_task_failed", address, reason=_failure_reason(task)
                )

    def _candidates(self) -> list[PeerAddress]:
        """Return the compatible processes known from member rows or heartbeats."""
        found = {
            member.process: PeerAddress(
                member.process, member.failure_domain, member.address
            )
            for member in self._members()
            if is_compatible(member.protocol_version)
        }
        for known in self._known.all():
            state = known.state
            found[state.process] = PeerAddress(
                state.process, state.failure_domain, state.address
            )
        return [
            peer
            for peer in found.values()
            if peer.process not in (self._member.process, *self._incompatible)
        ]

    async def _exchange_periodically(self, address: str) -> None:
        """Exchange heartbeats with one peer until cancelled."""
        while True:
            await self.exchange(address)
            await self._clock.sleep(self._exchange_interval())

    def _exchange_interval(self) -> timedelta:
        """Return the time between heartbeats to one peer.

        It grows with the number of peers, so that the traffic per second does not.
        """
        return self._heartbeat_interval * max(
            len(self._tasks) / EXCHANGES_PER_INTERVAL, 1
        )

    async def exchange(self, address: str) -> bool:
        """Exchange one heartbeat with `address`, and return whether it succeeded.

        Also fetch a newer view from the peer if the table cannot be reached.
        """
        stub = cell_pb2_grpc.PeerStub(self._channels.get(address))
        timeout = (self._heartbeat_interval * CALL_TIMEOUT_INTERVALS).total_seconds()
        sent_at = self._clock.monotonic()
        request = cell_pb2.Heartbeat(sender=self._own_state())
        try:
            answer = await stub.Exchange(
                request, timeout=timeout, compression=grpc.Compression.Gzip
            )
            self._record_reachable(address)
            self.answer_received(answer, sent_at)
            await self._fetch_newer_view(stub, answer.sender, timeout)
        except grpc.aio.AioRpcError as exc:
            self._record_unreachable(address, exc)
            return False
        except InvalidInputError as exc:
            self._events.record("peer_view_malformed", address, reason=str(exc))
            return False
        return True

    async def _fetch_newer_view(
        self,
        stub: cell_pb2_grpc.PeerStub,
        sender: cell_pb2.ProcessState,
        timeout: float,
    ) -> None:
        """Install the newer view of a peer while the table cannot be reached."""
        if self._view.table_reachable or not is_compatible(sender.protocol_version):
            return
        if not self._view.is_behind(sender.bundle_version, sender.keys_version):
            return
        request = cell_pb2.ViewRequest(
            bundle_version=self._view.bundle_version,
            keys_version=self._view.keys_version,
        )
        sent_at = self._clock.monotonic()
        answer = await stub.FetchView(request, timeout=timeout)
        self._view.install(decode_view(answer, sent_at))

    def _own_state(self) -> cell_pb2.ProcessState:
        """Return the current state of this process."""
        return self._state_reporter.own_state(leaving=self._leaving)

    def _check_protocol(self, sender: cell_pb2.ProcessState) -> bool:
        """Return whether `sender` is compatible; record an incompatible one once."""
        if is_compatible(sender.protocol_version):
            self._incompatible.discard(sender.process)
            return True
        if sender.process not in self._incompatible:
            self._incompatible.add(sender.process)
            self._events.record(
                "peer_protocol_differs",
                sender.process,
                version=sender.protocol_version,
                own=self._member.protocol_version,
            )
        return False

    def _forget_silent_processes(self) -> None:
        """Forget processes without a row and no sign of life for `FORGET_AFTER`."""
        registered = {member.process for member in self._members()}
        silent = (
            set(self._known.silent_since(self._time_ago(FORGET_AFTER))) - registered
        )
        if silent:
            self._known.forget(silent)

    def _record_reachable(self, address: str) -> None:
        if address in self._unreachable:
            self._unreachable.discard(address)
            self._events.record("peer_heard_again", address)

    def _record_unreachable(self, address: str, exc: grpc.aio.AioRpcError) -> None:
        if address not in self._unreachable:
            self._unreachable.add(address)
            self._events.record("peer_unheard", address, reason=exc.code().name)

    def _time_ago(self, duration: timedelta) -> float:
        """Return the monotonic time `duration` ago, in seconds."""
        return self._clock.monotonic() - duration.total_seconds()


def _failure_reason(task: asyncio.Task[None]) -> str:
    """Return the reason why `task`, which is done, has ended."""
    return "cancelled" if task.cancelled() else repr(task.exception())
