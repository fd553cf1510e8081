"""The gRPC service around the slot broker, in the scheduler process."""

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

TICK = timedelta(milliseconds=50)
TICKS_PER_LOAD = 4
MILLISECONDS_PER_SECOND = 1000


class SlotService(cell_pb2_grpc.SlotsServicer):
    """Serves the slots of the backend servers in the shards owned here.

    `shard_of` gives the shard of a VM.  `gateways` returns the process ids of all
    gateways that are listed, or None while they are unknown.
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
        self._listed: list[Backend] = []
        self._known: list[Backend] = []
        self._epochs: dict[str, int] = {}
        self._told_loads: list[cell_pb2.SlotLoad] = []
        self._streams: dict[str, asyncio.Queue[cell_pb2.SlotAnswer]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def register(self, server: grpc.aio.Server) -> None:
        """Add the service to `server`."""
        cell_pb2_grpc.add_SlotsServicer_to_server(self, server)

    async def start(self) -> None:
        """Read the list of VMs and begin to grant."""
        await self._fetch()
        self._tasks = [
            asyncio.create_task(self._follow_vms()),
            asyncio.create_task(self._tick()),
        ]

    async def stop(self) -> None:
        """Stop granting; what was granted lasts its lease."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def ExchangeSlots(  # noqa: N802
        self,
        request_iterator: AsyncIterator[cell_pb2.SlotRequest],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[cell_pb2.SlotAnswer]:
        """Answer the wants of one gateway until its stream ends."""
        answers: asyncio.Queue[cell_pb2.SlotAnswer] = asyncio.Queue()
        first = await anext(aiter(request_iterator), None)
        if first is None:
            return
        gateway = first.gateway
        self._streams[gateway] = answers
        self._refresh()
        self._broker.attach(gateway, [_read_hold(hold) for hold in first.holds])
        reader = asyncio.create_task(
            self._read(gateway, first, request_iterator, answers)
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

    async def _read(
        self,
        gateway: str,
        first: cell_pb2.SlotRequest,
        requests: AsyncIterator[cell_pb2.SlotRequest],
        answers: asyncio.Queue[cell_pb2.SlotAnswer],
    ) -> None:
        """Take in the messages of one stream while it is the gateway's newest."""
        self._take_in(gateway, first)
        async for message in requests:
            if self._streams.get(gateway) is not answers:
                break
            self._take_in(gateway, message)
        # An empty answer wakes the writer so that it sees the end of the stream.
        answers.put_nowait(cell_pb2.SlotAnswer())

    def _take_in(self, gateway: str, message: cell_pb2.SlotRequest) -> None:
        # A process that was paused may have lost its shards in the meantime.
        if message.tells_holds or self._owned_epochs() != self._epochs:
            self._refresh()
        if message.tells_holds:
            self._broker.record_report(
                gateway, [_read_hold(hold) for hold in message.holds]
            )
        for done in message.done:
            self._broker.done(gateway, done.ticket, _read_outcome(done))
        refusals: list[Decision] = []
        for wanted in message.wants:
            refusal = self._broker.request(self._read_want(gateway, wanted))
            if refusal is not None:
                refusals.append(refusal)
        self._send(refusals)
        self._decide()

    def _read_want(self, gateway: str, want: cell_pb2.SlotWant) -> AcquireRequest:
        left = want.deadline_ms / MILLISECONDS_PER_SECOND
        urgent = want.urgency == Urgency.URGENT
        return AcquireRequest(
            gateway=gateway,
            ticket=want.ticket,
            service=want.service,
            team=want.team,
            urgency=Urgency.URGENT if urgent else Urgency.NORMAL,
            deadline=self._clock.monotonic() + left,
            avoid=frozenset(want.avoid),
        )

    def _decide(self) -> None:
        self._send(self._broker.decide())

    def _send(self, decisions: Sequence[Decision]) -> None:
        """Give each gateway its decisions in one message, with the loads."""
        answers: dict[str, cell_pb2.SlotAnswer] = {}
        for decision in decisions:
            answer = answers.setdefault(decision.gateway, cell_pb2.SlotAnswer())
            self._add(answer, decision)
        loads = self._loads() if answers else []
        for gateway, answer in answers.items():
            answer.loads.extend(loads)
            stream = self._streams.get(gateway)
            if stream is not None:
                stream.put_nowait(answer)

    def _add(self, answer: cell_pb2.SlotAnswer, decision: Decision) -> None:
        if isinstance(decision, Refusal):
            self._metrics.count("slot_refusals", reason=decision.reason)
            answer.refusals.add(
                ticket=decision.ticket,
                reason=decision.reason,
                retry_after_ms=int(decision.retry_after * MILLISECONDS_PER_SECOND),
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
            lease_ms=int(grant.lease * MILLISECONDS_PER_SECOND),
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

    async def _tick(self) -> None:
        """Let leases end, wants fall due and shards change hands."""
        for number in itertools.count(1):
            await self._clock.sleep(TICK)
            telling = number % TICKS_PER_LOAD == 0
            if telling or self._owned_epochs() != self._epochs:
                self._refresh()
            self._decide()
            if telling:
                self._tell_loads()

    def _tell_loads(self) -> None:
        """Send changed loads to all gateways, so that they ask where slots are free."""
        loads = self._loads()
        if loads == self._told_loads:
            return
        self._told_loads = loads
        for stream in self._streams.values():
            stream.put_nowait(cell_pb2.SlotAnswer(loads=loads))

    async def _follow_vms(self) -> None:
        while True:
            await self._clock.sleep(self._vm_poll)
            await self._fetch()

    async def _fetch(self) -> None:
        try:
            vms = await self._vms.fetch()
        except UnavailableError as exc:
            self._events.record("vm_list_unavailable", reason=str(exc))
            return
        self._listed = [
            _backend_of(vm, self._shard_of(vm))
            for vm in vms
            if vm.role is VmRole.BACKEND
        ]
        self._refresh()

    def _owned_epochs(self) -> dict[str, int]:
        return {owner.shard: owner.epoch for owner in self._owned.owned()}

    def _refresh(self) -> None:
        """Tell the broker which backend servers it answers for now."""
        owned = self._owned_epochs()
        backends = [backend for backend in self._listed if backend.shard in owned]
        self._broker.set_gateways(self._gateways())
        if (backends, owned) == (self._known, self._epochs):
            return
        self._known, self._epochs = backends, owned
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


def _read_hold(hold: cell_pb2.SlotHold) -> HeldSlot:
    return HeldSlot(hold.ticket, hold.backend, hold.lease_ms / MILLISECONDS_PER_SECOND)


def _read_outcome(done: cell_pb2.SlotDone) -> SlotOutcome:
    if done.suspect:
        return SlotOutcome.SUSPECT
    if done.leaving:
        return SlotOutcome.LEAVING
    return SlotOutcome.REFUSED if done.refused_by_backend else SlotOutcome.FREE
