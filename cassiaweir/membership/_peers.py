"""Heartbeats between processes and what is learnt from them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import grpc

from cassiaweir.configuration import TableView
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.membership._known_processes import NEVER, KnownProcess, KnownProcesses
from cassiaweir.membership._models import Member, is_compatible
from cassiaweir.membership._selection import PeerAddress, PeerSelection
from cassiaweir.membership._state_reporter import NoShards, Statements
from cassiaweir.observe import EventLog
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.rpc._peer import decode_view, ms_to_seconds
from cassiaweir.rpc._server import Channels
from cassiaweir.types import Clock, OwnedShards, ShardOwner

MOST_TOLD = 4
EXCHANGES_PER_HEARTBEAT = 1
HEARD_LIMIT = timedelta(seconds=60)
FORGET_AFTER = timedelta(seconds=70)
CALL_TIMEOUT_HEARTBEATS = 2


class Peers:
    """Exchanges heartbeats, one task a peer, and implements `ShardDirectory`.

    Only answers to this process's own calls count as heard, because only then a
    bound on their age is known: the time since the call was sent.  Calls that come
    in tell of processes and of newer versions, and of nothing else.

    `members` returns the rows of other processes; `seeds` returns addresses to try
    while no other process is known.
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
        self._heartbeat = heartbeat
        self._members = members
        self._owned = owned or NoShards()
        self._statements = Statements(member, view, self._owned, clock)
        self._seeds = seeds
        self._known = KnownProcesses(member.process)
        rng = rng or random.Random(member.process)
        self._selection = PeerSelection(member.failure_domain, rng)
        self._leaving = False
        self._unusable: set[str] = set()
        self._unheard: set[str] = set()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._supervisor: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to exchange heartbeats."""
        self._supervisor = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop exchanging; incoming heartbeats are still answered as leaving."""
        self._leaving = True
        tasks = list(self._tasks.values())
        if self._supervisor is not None:
            tasks.append(self._supervisor)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def mark_leaving(self) -> None:
        """Tell the peers from now on that this process is leaving."""
        self._leaving = True

    def processes(self) -> Sequence[KnownProcess]:
        """Return what is known of the other processes."""
        return self._known.all()

    def alive_within(self, process: str, duration: timedelta) -> bool:
        """Tell whether `process` gave a sign of life within `duration`."""
        known = self._known.get(process)
        return known is not None and known.alive_at >= self._moment(duration)

    def owners(self) -> Sequence[ShardOwner]:
        """Return the known owners, one a shard, that were heard from lately."""
        owners = self._known.owners(self._moment(HEARD_LIMIT))
        for own in self._owned.owned():
            held = owners.get(own.shard)
            if held is None or held.epoch <= own.epoch:
                owners[own.shard] = own
        return list(owners.values())

    def owner(self, shard: str) -> ShardOwner | None:
        """Return the owner of `shard`, or None."""
        held = self._known.owner(shard, self._moment(HEARD_LIMIT))
        for own in self._owned.owned():
            if own.shard == shard and (held is None or held.epoch <= own.epoch):
                return own
        return held

    def answer(self, heartbeat: cell_pb2.Heartbeat) -> cell_pb2.Heartbeat:
        """Return this process's own statement and some that it has heard."""
        sender = heartbeat.sender
        if not self._check_protocol(sender):
            return cell_pb2.Heartbeat(sender=self._statement())
        self._known.merge(sender, NEVER, alive_at=self._clock.monotonic())
        self._view.notify_versions(sender.bundle_version, sender.keys_version)
        heard = self._known.take_turn(self._moment(HEARD_LIMIT), MOST_TOLD)
        told = [self._statements.retell(known) for known in heard]
        return cell_pb2.Heartbeat(sender=self._statement(), known=told)

    def heard(self, answer: cell_pb2.Heartbeat, sent_at: float) -> None:
        """Learn from the answer to a heartbeat that was sent at `sent_at`."""
        if not self._check_protocol(answer.sender):
            return
        for state in (answer.sender, *answer.known):
            if not is_compatible(state.protocol_version):
                continue
            made_at = sent_at - ms_to_seconds(state.age_ms)
            self._known.merge(state, made_at, alive_at=made_at)
            fresh_at = made_at - ms_to_seconds(state.view_age_ms)
            self._view.confirm_versions(
                state.bundle_version, state.keys_version, fresh_at
            )
            self._view.notify_versions(state.bundle_version, state.keys_version)

    async def _run(self) -> None:
        while True:
            self._reconcile()
            await self._clock.sleep(self._heartbeat)

    def _reconcile(self) -> None:
        """Have one task for each peer of this round and none for others."""
        self._forget_silent()
        self._drop_failed()
        wanted = {peer.address for peer in self._selection.choose(self._candidates())}
        wanted = wanted or set(self._seeds()) - {self._member.address}
        for address in self._tasks.keys() - wanted:
            self._tasks.pop(address).cancel()
            self._unheard.discard(address)
        for address in sorted(wanted - self._tasks.keys()):
            self._tasks[address] = asyncio.create_task(self._exchange_with(address))

    def _drop_failed(self) -> None:
        """Drop tasks that ended by an error, so that they are made again."""
        for address, task in list(self._tasks.items()):
            if task.done():
                del self._tasks[address]
                self._events.record("peer_task_failed", address, reason=_reason(task))

    def _candidates(self) -> list[PeerAddress]:
        """Return the processes of the rows and those heard of since."""
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
            if peer.process not in (self._member.process, *self._unusable)
        ]

    async def _exchange_with(self, address: str) -> None:
        """Exchange heartbeats with one peer until cancelled."""
        while True:
            await self.exchange(address)
            await self._clock.sleep(self._pause())

    def _pause(self) -> timedelta:
        """Return the time between heartbeats to one peer.

        It grows with the number of peers, so that the bytes per second do not.
        """
        return self._heartbeat * max(len(self._tasks) / EXCHANGES_PER_HEARTBEAT, 1)

    async def exchange(self, address: str) -> bool:
        """Exchange one heartbeat, and fetch the view if the table has it not."""
        stub = cell_pb2_grpc.PeerStub(self._channels.get(address))
        timeout = (self._heartbeat * CALL_TIMEOUT_HEARTBEATS).total_seconds()
        sent_at = self._clock.monotonic()
        request = cell_pb2.Heartbeat(sender=self._statement())
        try:
            answer = await stub.Exchange(
                request, timeout=timeout, compression=grpc.Compression.Gzip
            )
            self._note_heard(address)
            self.heard(answer, sent_at)
            await self._fetch_if_behind(stub, answer.sender, timeout)
        except grpc.aio.AioRpcError as exc:
            self._note_unheard(address, exc)
            return False
        except InvalidInputError as exc:
            self._events.record("peer_view_malformed", address, reason=str(exc))
            return False
        return True

    async def _fetch_if_behind(
        self,
        stub: cell_pb2_grpc.PeerStub,
        sender: cell_pb2.ProcessState,
        timeout: float,
    ) -> None:
        """Take newer content from the peer while the table cannot give it."""
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

    def _statement(self) -> cell_pb2.ProcessState:
        """Return what this process states of itself now."""
        return self._statements.own(leaving=self._leaving)

    def _check_protocol(self, sender: cell_pb2.ProcessState) -> bool:
        """Tell whether the sender can be used, and record it once if not."""
        if is_compatible(sender.protocol_version):
            self._unusable.discard(sender.process)
            return True
        if sender.process not in self._unusable:
            self._unusable.add(sender.process)
            self._events.record(
                "peer_protocol_differs",
                sender.process,
                version=sender.protocol_version,
                own=self._member.protocol_version,
            )
        return False

    def _forget_silent(self) -> None:
        """Forget processes that are in no row and have been silent for long."""
        rows = {member.process for member in self._members()}
        silent = set(self._known.silent_since(self._moment(FORGET_AFTER))) - rows
        if silent:
            self._known.forget(silent)

    def _note_heard(self, address: str) -> None:
        if address in self._unheard:
            self._unheard.discard(address)
            self._events.record("peer_heard_again", address)

    def _note_unheard(self, address: str, exc: grpc.aio.AioRpcError) -> None:
        if address not in self._unheard:
            self._unheard.add(address)
            self._events.record("peer_unheard", address, reason=exc.code().name)

    def _moment(self, duration: timedelta) -> float:
        """Return the reading of the clock `duration` ago."""
        return self._clock.monotonic() - duration.total_seconds()


def _reason(task: asyncio.Task[None]) -> str:
    """Return why `task`, which has ended, did so."""
    return "cancelled" if task.cancelled() else repr(task.exception())
