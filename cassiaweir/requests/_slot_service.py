"""The gRPC service of the slot broker, which runs in the scheduler process."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Sequence
from datetime import timedelta

import grpc.aio

from cassiaweir.exceptions import UnavailableError
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.requests._broker import Decision, SlotBroker
from cassiaweir.requests._models import (
    AcquireRequest,
    Grant,
    HeldSlot,
    Refusal,
    SlotOutcome,
)
from cassiaweir.requests._slot_registry import Backend
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.types import Clock, OwnedShards, Urgency, Vm, VmList, VmRole, VmState

TICK_INTERVAL = timedelta(milliseconds=50)
TICKS_PER_REFRESH = 4
"""Ticks between two updates of the broker and reports of changed loads."""

MILLISECONDS_PER_SECOND = 1000


class SlotService(cell_pb2_grpc.SlotsServicer):
    """Grants slots of the backend servers in the shards that this process owns.

    `shard_of` returns the shard of a VM.  `gateways` returns the process ids of all
    listed gateways, or None while they are unknown.  `vm_poll` is the interval at which
    the VM list is fetched.
    """

    def __init__(
        self,
        broker: SlotBroker,
        owned: OwnedShards,
        vms: VmList,
        *,
        shard_of: Callable[[Vm], str],
        gateways: Callable[[], Sequence[str] | None],
        vm_poll: timedelta,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._broker = broker
        self._owned = owned
        self._vms = vms
        self._shard_of = shard_of
        self._gateways = gateways
        self._vm_poll = vm_poll
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._listed_backends: list[Backend] = []
        self._owned_backends: list[Backend] = []
        self._epochs: dict[str, int] = {}
        self._sent_loads: list[cell_pb2.SlotLoad] = []
        self._streams: dict[str, asyncio.Queue[cell_pb2.SlotAnswer]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def register(self, server: grpc.aio.Server) -> None:
        """Add the service to `server`."""
        cell_pb2_grpc.add_SlotsServicer_to_server(self, server)

    async def start(self) -> None:
        """Fetch the VM list and start to grant slots."""
        await self._fetch_vms()
        self._tasks = [
            asyncio.create_task(self._fetch_vms_periodically()),
            asyncio.create_task(self._run_ticks()),
        ]

    async def stop(self) -> None:
        """Stop granting; grants last until their lease ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def ExchangeSlots(  # noqa: N802
        self,
        request_iterator: AsyncIterator[cell_pb2.SlotRequest],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[cell_pb2.SlotAnswer]:
        """Answer the acquire requests of one gateway until its stream ends."""
        answers: asyncio.Queue[cell_pb2.SlotAnswer] = asyncio.Queue()
        first = await anext(aiter(request_iterator), None)
        if first is None:
            return
        gateway = first.gateway
        self._streams[gateway] = answers
        self._update_broker()
        self._broker.attach(gateway, [_decode_held_slot(hold) for hold in first.holds])
        reader = asyncio.create_task(
            self._read_stream(gateway, first, request_iterator, answers)
        )
        self._decide()
        answers.put_nowait(cell_pb2.SlotAnswer(loads=self._loads()))
        try:
            while not reader.done() or not answers.empty():
                yield await answers.get()
        finally:
            reader.cancel()
            if self._streams.get(gateway) is answers:
                del self._streams[gateway]
                self._broker.detach(gateway)

    async def _read_stream(
        self,
        gateway: str,
        first: cell_pb2.SlotRequest,
        requests: AsyncIterator[cell_pb2.SlotRequest],
        answers: asyncio.Queue[cell_pb2.SlotAnswer],
    ) -> None:
        """Handle the messages of a stream until the gateway opens a newer one."""
        self._handle_message(gateway, first)
        async for message in requests:
            if self._streams.get(gateway) is not answers:
                break
            self._handle_message(gateway, message)
        # An empty answer wakes `ExchangeSlots`, which then sees that this task is done.
        answers.put_nowait(cell_pb2.SlotAnswer())

    def _handle_message(self, gateway: str, message: cell_pb2.SlotRequest) -> None:
        # If this process was paused, it may have lost shards in the meantime.
        if message.tells_holds or self._owned_epochs() != self._epochs:
            self._update_broker()
        if message.tells_holds:
            self._broker.record_report(
                gateway, [_decode_held_slot(hold) for hold in message.holds]
            )
        for done in message.done:
            self._broker.done(gateway, done.ticket, _decode_outcome(done))
        refusals: list[Decision] = []
        for want in message.wants:
            refusal = self._broker.request(self._decode_want(gateway, want))
            if refusal is not None:
                refusals.append(refusal)
        self._send_decisions(refusals)
        self._decide()

    def _decode_want(self, gateway: str, want: cell_pb2.SlotWant) -> AcquireRequest:
        remaining_seconds = want.deadline_ms / MILLISECONDS_PER_SECOND
        urgent = want.urgency == Urgency.URGENT
        return AcquireRequest(
            gateway=gateway,
            ticket=want.ticket,
            service=want.service,
            team=want.team,
            urgency=Urgency.URGENT if urgent else Urgency.NORMAL,
            deadline=self._clock.monotonic() + remaining_seconds,
            avoid=frozenset(want.avoid),
        )

    def _decide(self) -> None:
        self._send_decisions(self._broker.decide())

    def _send_decisions(self, decisions: Sequence[Decision]) -> None:
        """Send each gateway its decisions in one message, with the current loads."""
        answers: dict[str, cell_pb2.SlotAnswer] = {}
        for decision in decisions:
            answer = answers.setdefault(decision.gateway, cell_pb2.SlotAnswer())
            self._add_decision(answer, decision)
        loads = self._loads() if answers else []
        for gateway, answer in answers.items():
            answer.loads.extend(loads)
            stream = self._streams.get(gateway)
            if stream is not None:
                stream.put_nowait(answer)

    def _add_decision(self, answer: cell_pb2.SlotAnswer, decision: Decision) -> None:
        if isinstance(decision, Refusal):
            self._metrics.count("slot_refusals", reason=decision.reason)
            answer.refusals.add(
                ticket=decision.ticket,
                reason=decision.reason,
                retry_after_ms=int(
                    decision.retry_after_seconds * MILLISECONDS_PER_SECOND
                ),
            )
            return
        self._metrics.count("slot_grants")
        self._add_grant(answer, decision)

    def _add_grant(self, answer: cell_pb2.SlotAnswer, grant: Grant) -> None:
        answer.grants.add(
            ticket=grant.ticket,
            backend=grant.backend,
            address=grant.address,
            shard=grant.shard,
            lease_ms=int(grant.lease_seconds * MILLISECONDS_PER_SECOND),
        )

    def _loads(self) -> list[cell_pb2.SlotLoad]:
        loads = [self._broker.load(service) for service in self._broker.services()]
        return [
            cell_pb2.SlotLoad(
                service=load.service,
                slots=load.slots,
                free=load.free,
                waiting=load.waiting,
            )
            for load in loads
        ]

    async def _run_ticks(self) -> None:
        """Apply expired leases, passed deadlines and changes of owned shards."""
        for tick in itertools.count(1):
            await self._clock.sleep(TICK_INTERVAL)
            refresh_due = tick % TICKS_PER_REFRESH == 0
            if refresh_due or self._owned_epochs() != self._epochs:
                self._update_broker()
            self._decide()
            if refresh_due:
                self._send_changed_loads()

    def _send_changed_loads(self) -> None:
        """Send the loads, if changed, to all gateways, which choose owners by load."""
        loads = self._loads()
        if loads == self._sent_loads:
            return
        self._sent_loads = loads
        for stream in self._streams.values():
            stream.put_nowait(cell_pb2.SlotAnswer(loads=loads))

    async def _fetch_vms_periodically(self) -> None:
        while True:
            await self._clock.sleep(self._vm_poll)
            await self._fetch_vms()

    async def _fetch_vms(self) -> None:
        try:
            vms = await self._vms.fetch()
        except UnavailableError as exc:
            self._events.record("vm_list_unavailable", reason=str(exc))
            return
        self._listed_backends = [
            _backend_of(vm, self._shard_of(vm))
            for vm in vms
            if vm.role is VmRole.BACKEND
        ]
        self._update_broker()

    def _owned_epochs(self) -> dict[str, int]:
        return {owner.shard: owner.epoch for owner in self._owned.owned()}

    def _update_broker(self) -> None:
        """Pass the gateways and the backend servers of owned shards to the broker."""
        owned = self._owned_epochs()
        backends = [
            backend for backend in self._listed_backends if backend.shard in owned
        ]
        self._broker.set_gateways(self._gateways())
        if (backends, owned) == (self._owned_backends, self._epochs):
            return
        self._owned_backends, self._epochs = backends, owned
        self._broker.set_backends(backends, owned)
        self._events.record("slots_changed", servers=len(backends))


def _backend_of(vm: Vm, shard: str) -> Backend:
    return Backend(
        name=vm.name,
        service=vm.service,
        address=vm.address,
        shard=shard,
        slots=vm.slots,
        leaving=vm.state is VmState.LEAVING,
    )


def _decode_held_slot(hold: cell_pb2.SlotHold) -> HeldSlot:
    return HeldSlot(hold.ticket, hold.backend, hold.lease_ms / MILLISECONDS_PER_SECOND)


def _decode_outcome(done: cell_pb2.SlotDone) -> SlotOutcome:
    if done.suspect:
        return SlotOutcome.SUSPECT
    if done.leaving:
        return SlotOutcome.LEAVING
    return SlotOutcome.REFUSED if done.refused_by_backend else SlotOutcome.FREE
