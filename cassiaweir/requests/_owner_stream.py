"""The stream between a gateway and one owner of shards."""

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

RECONNECT = timedelta(milliseconds=200)
RETRY_LOST_OWNER = timedelta(milliseconds=500)


class OwnerStream:
    """Keeps one stream to an owner open and matches its answers to wants.

    `holds` returns the slots in use that the owner must know of; it is told of them
    at the start of every stream.  `keep` notes a grant as soon as it has arrived.
    """

    def __init__(
        self,
        *,
        gateway: str,
        owner: ShardOwner,
        holds: Callable[[], list[cell_pb2.SlotHold]],
        keep: Callable[[Slot], None],
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.process = owner.process
        self.failure_domain = owner.failure_domain
        self.connected = False
        self.loads: dict[str, cell_pb2.SlotLoad] = {}
        self._gateway = gateway
        self._address = owner.address
        self._holds = holds
        self._keep = keep
        self._clock = clock
        self._events = events
        self._outgoing: asyncio.Queue[cell_pb2.SlotRequest] = asyncio.Queue()
        self._pending: dict[int, asyncio.Future[Slot]] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to connect."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Close the stream; wants that wait are refused as not run."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task

    async def ask(self, want: cell_pb2.SlotWant) -> Slot:
        """Send `want` and wait for its answer; raises `RefusedError`."""
        fut: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        self._pending[want.ticket] = fut
        self._outgoing.put_nowait(self._message(wants=[want]))
        try:
            return await fut
        finally:
            self._pending.pop(want.ticket, None)

    def send_done(self, ticket: int, outcome: SlotOutcome) -> None:
        """Tell the owner that a slot, or the want for it, is no longer needed."""
        done = cell_pb2.SlotDone(
            ticket=ticket,
            refused_by_backend=outcome is SlotOutcome.REFUSED,
            leaving=outcome is SlotOutcome.LEAVING,
            suspect=outcome is SlotOutcome.SUSPECT,
        )
        self._outgoing.put_nowait(self._message(done=[done]))

    def tell_holds(self) -> None:
        """Tell an owner that took over a further shard what is in use there."""
        message = self._message()
        message.holds.extend(self._holds())
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
                await self._exchange()
            except grpc.aio.AioRpcError as exc:
                self._events.record(
                    "owner_unreachable", self.process, code=exc.code().name
                )
            finally:
                self._lose()
            await self._clock.sleep(RECONNECT)

    async def _exchange(self) -> None:
        """Hold one stream until it ends."""
        async with grpc.aio.insecure_channel(self._address) as channel:
            stub = cell_pb2_grpc.SlotsStub(channel)
            async for answer in stub.ExchangeSlots(self._requests()):
                self.connected = True
                self._take_in(answer)

    async def _requests(self) -> AsyncIterator[cell_pb2.SlotRequest]:
        # Ends of use from before this stream are covered by what is held now.
        self._outgoing = asyncio.Queue()
        yield cell_pb2.SlotRequest(gateway=self._gateway, holds=self._holds())
        while True:
            yield await self._outgoing.get()

    def _take_in(self, answer: cell_pb2.SlotAnswer) -> None:
        for load in answer.loads:
            self.loads[load.service] = load
        for grant in answer.grants:
            self._take_grant(grant)
        for refusal in answer.refusals:
            fut = self._pending.get(refusal.ticket)
            if fut is not None and not fut.done():
                fut.set_exception(_read_refusal(refusal))

    def _take_grant(self, grant: cell_pb2.SlotGrant) -> None:
        fut = self._pending.get(grant.ticket)
        if fut is None or fut.done():
            self.send_done(grant.ticket, SlotOutcome.FREE)
            return
        slot = Slot(
            ticket=grant.ticket,
            owner=self.process,
            shard=grant.shard,
            backend=grant.backend,
            address=grant.address,
            expires_at=self._clock.monotonic() + grant.lease_ms / 1000,
        )
        self._keep(slot)
        fut.set_result(slot)

    def _lose(self) -> None:
        """Refuse the wants that wait, so that they are tried at another owner."""
        self.connected = False
        self.loads = {}
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(
                    RefusedError(
                        "owner_lost",
                        "the owner of the backend servers was lost",
                        retry_after=RETRY_LOST_OWNER,
                    )
                )


def _read_refusal(refusal: cell_pb2.SlotRefusal) -> RefusedError:
    return RefusedError(
        refusal.reason,
        "no slot of a backend server is free",
        retry_after=timedelta(milliseconds=refusal.retry_after_ms),
    )
