"""Acquires slots for a gateway over one stream to each owner of shards."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress
from datetime import timedelta

from cassiaweir.exceptions import RefusedError
from cassiaweir.observe import EventLog
from cassiaweir.requests._models import ServiceRequest, Slot, SlotOutcome
from cassiaweir.requests._owner_stream import OwnerStream
from cassiaweir.rpc import cell_pb2
from cassiaweir.types import Clock, ShardDirectory, ShardOwner

RECONCILE_INTERVAL = timedelta(milliseconds=200)
NO_OWNER_RETRY_AFTER = timedelta(seconds=1)


class SlotClient:
    """Acquires slots from the owners of shards and releases them.

    `process` is the id of this gateway's process.
    """

    def __init__(
        self,
        directory: ShardDirectory,
        *,
        process: str,
        failure_domain: str,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._directory = directory
        self._process = process
        self._failure_domain = failure_domain
        self._clock = clock
        self._events = events
        self._tickets = itertools.count(1)
        self._streams: dict[str, OwnerStream] = {}
        self._held_slots: dict[int, Slot] = {}
        self._known_shards: dict[str, frozenset[str]] = {}
        self._reconcile_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Connect to the owners in the directory and follow its changes."""
        await self._reconcile()
        self._reconcile_task = asyncio.create_task(self._reconcile_periodically())

    async def stop(self) -> None:
        """Close all streams."""
        if self._reconcile_task is not None:
            self._reconcile_task.cancel()
            with suppress(asyncio.CancelledError):
                await self._reconcile_task
        for stream in self._streams.values():
            await stream.stop()

    async def acquire(self, req: ServiceRequest, avoid: frozenset[str]) -> Slot:
        """Return a slot of the first owner that grants one.

        Raises `RefusedError` with the verdict NOT_RUN and the shortest `retry_after` of
        all refusals.
        """
        refusals: list[RefusedError] = []
        tried: set[str] = set()
        while True:
            stream = self._choose_stream(req.service, tried)
            if stream is None:
                raise _combine_refusals(refusals)
            tried.add(stream.process)
            try:
                return await self._request_slot(stream, req, avoid)
            except RefusedError as exc:
                refusals.append(exc)

    def reaches(self, owner: ShardOwner) -> bool:
        """Return whether the stream to `owner` is open."""
        stream = self._streams.get(owner.process)
        return stream is not None and stream.connected

    def release(self, slot: Slot, outcome: SlotOutcome) -> None:
        """Release `slot`; a suspect one stays held until its lease ends."""
        if outcome is not SlotOutcome.SUSPECT:
            self._held_slots.pop(slot.ticket, None)
        stream = self._streams.get(self._current_owner(slot))
        if stream is not None:
            stream.send_release(slot.ticket, outcome)

    async def _request_slot(
        self, stream: OwnerStream, req: ServiceRequest, avoid: frozenset[str]
    ) -> Slot:
        ticket = next(self._tickets)
        remaining_seconds = req.deadline - self._clock.monotonic()
        want = cell_pb2.SlotWant(
            ticket=ticket,
            service=req.service,
            team=req.team,
            urgency=req.urgency,
            deadline_ms=max(0, int(remaining_seconds * 1000)),
            avoid=sorted(avoid),
        )
        try:
            async with asyncio.timeout(max(0.0, remaining_seconds)):
                slot = await stream.request_slot(want)
        except TimeoutError as exc:
            self._release_ticket(stream, ticket)
            raise RefusedError(
                "deadline_passed", "no slot was granted before the deadline"
            ) from exc
        except asyncio.CancelledError:
            self._release_ticket(stream, ticket)
            raise
        return self._check_owner(stream, slot)

    def _release_ticket(self, stream: OwnerStream, ticket: int) -> None:
        self._held_slots.pop(ticket, None)
        stream.send_release(ticket, SlotOutcome.FREE)

    def _check_owner(self, stream: OwnerStream, slot: Slot) -> Slot:
        """Return `slot` unless its shard has another owner by now.

        Raises `RefusedError`.
        """
        owner = self._directory.owner(slot.shard)
        if owner is not None and owner.process != stream.process:
            self._release_ticket(stream, slot.ticket)
            raise RefusedError(
                "owner_changed", "the shard of the slot has another owner"
            )
        return slot

    def _on_grant(self, slot: Slot) -> None:
        self._held_slots[slot.ticket] = slot

    def _choose_stream(self, service: str, tried: set[str]) -> OwnerStream | None:
        """Return the best connected owner that was not tried, or None."""
        streams = [
            stream
            for stream in self._streams.values()
            if stream.connected and stream.process not in tried
        ]
        return min(
            streams, key=lambda stream: self._rank(stream, service), default=None
        )

    def _rank(self, stream: OwnerStream, service: str) -> tuple[bool, bool, float]:
        """Return a sort key, lowest first.

        Owners with free slots come first, then those in this failure domain, then those
        with the fewest waiting requests for each slot.
        """
        load = stream.loads.get(service)
        same_domain = stream.failure_domain == self._failure_domain
        if load is None or load.slots == 0:
            return (True, True, float("inf"))
        return (load.free <= load.waiting, not same_domain, load.waiting / load.slots)

    def _encode_held_slots(self, owner: str) -> list[cell_pb2.SlotHold]:
        """Return the slots in use of the shards that `owner` owns now."""
        now = self._clock.monotonic()
        for ticket in [
            held_ticket
            for held_ticket, slot in self._held_slots.items()
            if slot.expires_at <= now
        ]:
            del self._held_slots[ticket]
        return [
            cell_pb2.SlotHold(
                ticket=slot.ticket,
                backend=slot.backend,
                lease_ms=int((slot.expires_at - now) * 1000),
            )
            for slot in self._held_slots.values()
            if self._current_owner(slot) == owner
        ]

    def _current_owner(self, slot: Slot) -> str:
        owner = self._directory.owner(slot.shard)
        return owner.process if owner is not None else slot.owner

    async def _reconcile_periodically(self) -> None:
        while True:
            await self._clock.sleep(RECONCILE_INTERVAL)
            await self._reconcile()

    async def _reconcile(self) -> None:
        """Open streams to new owners and close those to processes without shards.

        An owner with a new shard gets a report of the slots in use.
        """
        owners = {owner.process: owner for owner in self._directory.owners()}
        for process in self._streams.keys() - owners.keys():
            await self._streams.pop(process).stop()
            self._events.record("owner_gone", process)
        shards = self._shards_by_process()
        for process, owner in owners.items():
            if process not in self._streams:
                self._streams[process] = self._open_stream(owner)
            elif shards[process] - self._known_shards.get(process, frozenset()):
                self._streams[process].report_held_slots()
        self._known_shards = shards

    def _shards_by_process(self) -> dict[str, frozenset[str]]:
        shards: dict[str, frozenset[str]] = {}
        for owner in self._directory.owners():
            shard_names = shards.get(owner.process, frozenset())
            shards[owner.process] = shard_names | {owner.shard}
        return shards

    def _open_stream(self, owner: ShardOwner) -> OwnerStream:
        stream = OwnerStream(
            gateway=self._process,
            owner=owner,
            held_slots=lambda: self._encode_held_slots(owner.process),
            on_grant=self._on_grant,
            clock=self._clock,
            events=self._events,
        )
        stream.start()
        return stream


def _combine_refusals(refusals: list[RefusedError]) -> RefusedError:
    """Return the refusal for the caller from the refusals of all owners.

    The reason is `no_backend` only if all owners refused for that reason.
    """
    if not refusals:
        return RefusedError(
            "no_owner",
            "no owner of backend servers is connected",
            retry_after=NO_OWNER_RETRY_AFTER,
        )
    retry_afters = [exc.retry_after for exc in refusals if exc.retry_after is not None]
    significant = [exc for exc in refusals if exc.reason != "no_backend"] or refusals
    return RefusedError(
        significant[0].reason,
        str(significant[0]),
        retry_after=min(retry_afters) if retry_afters else NO_OWNER_RETRY_AFTER,
    )
