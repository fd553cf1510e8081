"""Collects the recorded events of all reachable processes of the cell."""

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

# Must not exceed the limit of the answering process: a page with fewer events than
# asked for is taken for the last one.
EVENTS_PAGE_SIZE = 1000
CALL_TIMEOUT = timedelta(seconds=2)


@dataclass(slots=True)
class CollectedEvents:
    """Merged events; `silent` are the processes whose events could not be read."""

    events: list[Event] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)


class EventCollector:
    """Reads the recorded events of every process over gRPC.

    `list_addresses` returns the gRPC address of each process of the cell, by process
    id.
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
        """Return the retained events of all processes in one causal order."""
        others = dict(await self._list_addresses())
        others.pop(self._events.process, None)
        answers = await asyncio.gather(
            *(self._read_all(address) for address in others.values()),
            return_exceptions=True,
        )
        found = CollectedEvents()
        # The limit exceeds the number of events that an event log retains.
        gathered = list(self._events.after(0, EVENTS_PAGE_SIZE * EVENTS_PAGE_SIZE))
        for process, answer in zip(others, answers, strict=True):
            if isinstance(answer, BaseException):
                found.silent.append(process)
            else:
                gathered += answer
        found.events = merge_events(gathered)
        return found

    async def _read_all(self, address: str) -> Sequence[Event]:
        """Return all retained events of the process at `address`, page by page."""
        stub = cell_pb2_grpc.PeerStub(self._channels.get(address))
        events: list[Event] = []
        after = 0
        while True:
            answer = await self._call(stub, after)
            events += [msgspec.json.decode(item, type=Event) for item in answer.events]
            if len(answer.events) < EVENTS_PAGE_SIZE:
                return events
            after = answer.last

    async def _call(
        self, stub: cell_pb2_grpc.PeerStub, after: int
    ) -> cell_pb2.EventsAnswer:
        request = cell_pb2.EventsRequest(after=after, limit=EVENTS_PAGE_SIZE)
        try:
            return await stub.Events(request, timeout=CALL_TIMEOUT.total_seconds())
        except grpc.aio.AioRpcError as exc:
            raise ConnectionError(exc.details()) from exc
