"""Gathers the events and texts of all processes that can be reached."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import grpc
import msgspec

from cassiaweir.observe import Event, EventLog, merge_events
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.rpc._server import Channels

EVENTS_PER_CALL = 1000
CALL_TIMEOUT = timedelta(seconds=2)


@dataclass(slots=True)
class CollectedEvents:
    """Merged events, and the processes that gave none."""

    events: list[Event] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)


class EventCollector:
    """Asks every process for what it has recorded.

    `list_addresses` returns the gRPC address of each process of the cell.
    """

    def __init__(
        self,
        list_addresses: Callable[[], Awaitable[Mapping[str, str]]],
        channels: Channels,
        events: EventLog,
    ) -> None:
        self._list_addresses = list_addresses
        self._channels = channels
        self._events = events

    async def collect(self) -> CollectedEvents:
        """Return the kept events of all processes in one causal order."""
        others = dict(await self._list_addresses())
        others.pop(self._events.process, None)
        answers = await asyncio.gather(
            *(self._read_all(address) for address in others.values()),
            return_exceptions=True,
        )
        found = CollectedEvents()
        gathered = list(self._events.after(0, EVENTS_PER_CALL * EVENTS_PER_CALL))
        for process, answer in zip(others, answers, strict=True):
            if isinstance(answer, BaseException):
                found.silent.append(process)
            else:
                gathered += answer
        found.events = merge_events(gathered)
        return found

    async def _read_all(self, address: str) -> Sequence[Event]:
        """Return all kept events of the process at `address`."""
        stub = cell_pb2_grpc.PeerStub(self._channels.get(address))
        events: list[Event] = []
        after = 0
        while True:
            answer = await self._call(stub, after)
            events += [msgspec.json.decode(item, type=Event) for item in answer.events]
            if len(answer.events) < EVENTS_PER_CALL:
                return events
            after = answer.last

    async def _call(
        self, stub: cell_pb2_grpc.PeerStub, after: int
    ) -> cell_pb2.EventsAnswer:
        request = cell_pb2.EventsRequest(after=after, limit=EVENTS_PER_CALL)
        try:
            return await stub.Events(request, timeout=CALL_TIMEOUT.total_seconds())
        except grpc.aio.AioRpcError as exc:
            raise ConnectionError(exc.details()) from exc
