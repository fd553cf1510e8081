"""The gRPC stream between a gateway and one owner of shards."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from datetime import timedelta

import grpc
import grpc.aio

from cassiaweir.exceptions import RefusedError
from cassiaweir.observe import EventLog
from cassiaweir.requests._models import Slot, SlotOutcome
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.types import Clock, ShardOwner

RECONNECT_DELAY = timedelta(milliseconds=200)
OWNER_LOST_RETRY_AFTER = timedelta(milliseconds=500)


class OwnerStream:
    """Keeps one stream to an owner open and matches its answers to acquire requests.

    `held_slots` returns the slots in use that the owner must know of; they are sent at
    the start of every stream.  `on_grant` is called as soon as a grant arrives.
    """

    def __init__(
        self,
        *,
        gateway: str,
        owner: ShardOwner,
        held_slots: Callable[[], list[cell_pb2.SlotHold]],
        on_grant: Callable[[Slot], None],
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.process = owner.process
        self.failure_domain = owner.failure_domain
        self.connected = False
        self.loads: dict[str, cell_pb2.SlotLoad] = {}
        self._gateway = gateway
        self._address = owner.address
        self._held_slots = held_slots
        self._on_grant = on_grant
        self._clock = clock
        self._events = events
        self._outgoing: asyncio.Queue[cell_pb2.SlotRequest] = asyncio.Queue()
        self._pending: dict[int, asyncio.Future[Slot]] = {}
        self._connection_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start connecting in the background."""
        self._connection_task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Close the stream; pending acquire requests are refused as not run."""
        if self._connection_task is not None:
            self._connection_task.cancel()
            with suppress(asyncio.CancelledError):
                await self._connection_task

    async def request_slot(self, want: cell_pb2.SlotWant) -> Slot:
        """Send `want` and return the granted slot; raises `RefusedError`."""
        future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        self._pending[want.ticket] = future
        self._outgoing.put_nowait(self._message(wants=[want]))
        try:
            return await future
        finally:
            self._pending.pop(want.ticket, None)

    def send_release(self, ticket: int, outcome: SlotOutcome) -> None:
        """Send that a slot was released, or that its request is withdrawn."""
        done = cell_pb2.SlotDone(
            ticket=ticket,
            refused_by_backend=outcome is SlotOutcome.REFUSED,
            leaving=outcome is SlotOutcome.LEAVING,
            suspect=outcome is SlotOutcome.SUSPECT,
        )
        self._outgoing.put_nowait(self._message(done=[done]))

    def report_held_slots(self) -> None:
        """Send the slots in use to an owner that took over another shard."""
        message = self._message()
        message.holds.extend(self._held_slots())
        message.tells_holds = True
        self._outgoing.put_nowait(message)

    def _message(
        self,
        *,
        wants: list[cell_pb2.SlotWant] | None = None,
        done: list[cell_pb2.SlotDone] | None = None,
    ) -> cell_pb2.SlotRequest:
        return cell_pb2.SlotRequest(gateway=self._gateway, wants=wants, done=done)

    async def _run(self) -> None:
        while True:
            try:
                await self._run_stream()
            except grpc.aio.AioRpcError as exc:
                self._events.record(
                    "owner_unreachable", self.process, code=exc.code().name
                )
            finally:
                self._handle_disconnect()
            await self._clock.sleep(RECONNECT_DELAY)

    async def _run_stream(self) -> None:
        """Open one stream and handle its answers until it ends."""
        async with grpc.aio.insecure_channel(self._address) as channel:
            stub = cell_pb2_grpc.SlotsStub(channel)
            async for answer in stub.ExchangeSlots(self._outgoing_messages()):
                self.connected = True
                self._handle_answer(answer)

    async def _outgoing_messages(self) -> AsyncIterator[cell_pb2.SlotRequest]:
        # Releases queued before this stream are covered by the list of held slots.
        self._outgoing = asyncio.Queue()
        yield cell_pb2.SlotRequest(gateway=self._gateway, holds=self._held_slots())
        while True:
            yield await self._outgoing.get()

    def _handle_answer(self, answer: cell_pb2.SlotAnswer) -> None:
        for load in answer.loads:
            self.loads[load.service] = load
        for grant in answer.grants:
            self._handle_grant(grant)
        for refusal in answer.refusals:
            future = self._pending.get(refusal.ticket)
            if future is not None and not future.done():
                future.set_exception(_decode_refusal(refusal))

    def _handle_grant(self, grant: cell_pb2.SlotGrant) -> None:
        future = self._pending.get(grant.ticket)
        if future is None or future.done():
            self.send_release(grant.ticket, SlotOutcome.FREE)
            return
        slot = Slot(
            ticket=grant.ticket,
            owner=self.process,
            shard=grant.shard,
            backend=grant.backend,
            address=grant.address,
            expires_at=self._clock.monotonic() + grant.lease_ms / 1000,
        )
        self._on_grant(slot)
        future.set_result(slot)

    def _handle_disconnect(self) -> None:
        """Refuse pending acquire requests, so that another owner is tried."""
        self.connected = False
        self.loads = {}
        for future in self._pending.values():
            if not future.done():
                future.set_exception(
                    RefusedError(
                        "owner_lost",
                        "the stream to the owner of the backend servers ended",
                        retry_after=OWNER_LOST_RETRY_AFTER,
                    )
                )


def _decode_refusal(refusal: cell_pb2.SlotRefusal) -> RefusedError:
    return RefusedError(
        refusal.reason,
        "the owner of the backend servers granted no slot",
        retry_after=timedelta(milliseconds=refusal.retry_after_ms),
    )
