"""Gets slots for a gateway: one task and one stream for each owner of shards."""

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

RECONCILE = timedelta(milliseconds=200)
RETRY_WITHOUT_OWNER = timedelta(seconds=1)


class SlotClient:
    """Asks the owners of shards for slots and gives them back."""

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
        self._links: dict[str, OwnerStream] = {}
        self._held: dict[int, Slot] = {}
        self._shards: dict[str, frozenset[str]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Connect to the owners known now and follow the directory."""
        await self._reconcile()
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Close all streams."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
        for link in self._links.values():
            await link.stop()

    async def acquire(self, req: ServiceRequest, avoid: frozenset[str]) -> Slot:
        """Return a slot of the first owner that grants one.

        Raises `RefusedError` with NOT_RUN and the shortest Retry-After heard.
        """
        refusals: list[RefusedError] = []
        tried: set[str] = set()
        while True:
            link = self._next_link(req.service, tried)
            if link is None:
                raise _refusal(refusals)
            tried.add(link.process)
            try:
                return await self._ask(link, req, avoid)
            except RefusedError as exc:
                refusals.append(exc)

    def reaches(self, owner: ShardOwner) -> bool:
        """Tell whether the stream to `owner` is open."""
        link = self._links.get(owner.process)
        return link is not None and link.connected

    def release(self, slot: Slot, outcome: SlotOutcome) -> None:
        """Give `slot` back; a suspect one is told of until its lease ends."""
        if outcome is not SlotOutcome.SUSPECT:
            self._held.pop(slot.ticket, None)
        link = self._links.get(self._owner_of(slot))
        if link is not None:
            link.send_done(slot.ticket, outcome)

    async def _ask(
        self, link: OwnerStream, req: ServiceRequest, avoid: frozenset[str]
    ) -> Slot:
        ticket = next(self._tickets)
        left = req.deadline - self._clock.monotonic()
        want = cell_pb2.SlotWant(
            ticket=ticket,
            service=req.service,
            team=req.team,
            urgency=req.urgency,
            deadline_ms=max(0, int(left * 1000)),
            avoid=sorted(avoid),
        )
        try:
            async with asyncio.timeout(max(0.0, left)):
                slot = await link.ask(want)
        except TimeoutError as exc:
            self._withdraw(link, ticket)
            raise RefusedError("deadline_passed", "no slot was free in time") from exc
        except asyncio.CancelledError:
            self._withdraw(link, ticket)
            raise
        return self._accept(link, slot)

    def _withdraw(self, link: OwnerStream, ticket: int) -> None:
        self._held.pop(ticket, None)
        link.send_done(ticket, SlotOutcome.FREE)

    def _accept(self, link: OwnerStream, slot: Slot) -> Slot:
        """Return a granted slot, unless its shard has another owner by now."""
        owner = self._directory.owner(slot.shard)
        if owner is not None and owner.process != link.process:
            self._withdraw(link, slot.ticket)
            raise RefusedError("owner_changed", "the shard has another owner")
        return slot

    def _keep(self, slot: Slot) -> None:
        self._held[slot.ticket] = slot

    def _next_link(self, service: str, tried: set[str]) -> OwnerStream | None:
        """Return the untried owner with free slots, in our failure domain first."""
        links = [
            link
            for link in self._links.values()
            if link.connected and link.process not in tried
        ]
        return min(links, key=lambda link: self._rank(link, service), default=None)

    def _rank(self, link: OwnerStream, service: str) -> tuple[bool, bool, float]:
        load = link.loads.get(service)
        near = link.failure_domain == self._failure_domain
        if load is None or load.slots == 0:
            return (True, True, float("inf"))
        return (load.free <= load.waiting, not near, load.waiting / load.slots)

    def _holds(self, owner: str) -> list[cell_pb2.SlotHold]:
        """Return the slots in use of the shards that `owner` has now."""
        now = self._clock.monotonic()
        for ticket in [t for t, slot in self._held.items() if slot.expires_at <= now]:
            del self._held[ticket]
        return [
            cell_pb2.SlotHold(
                ticket=slot.ticket,
                backend=slot.backend,
                lease_ms=int((slot.expires_at - now) * 1000),
            )
            for slot in self._held.values()
            if self._owner_of(slot) == owner
        ]

    def _owner_of(self, slot: Slot) -> str:
        owner = self._directory.owner(slot.shard)
        return owner.process if owner is not None else slot.owner

    async def _follow(self) -> None:
        while True:
            await self._clock.sleep(RECONCILE)
            await self._reconcile()

    async def _reconcile(self) -> None:
        """Open a stream to each owner and close those to processes that own nothing."""
        owners = {owner.process: owner for owner in self._directory.owners()}
        for process in self._links.keys() - owners.keys():
            await self._links.pop(process).stop()
            self._events.record("owner_gone", process)
        shards = self._shards_by_process()
        for process, owner in owners.items():
            if process not in self._links:
                self._links[process] = self._open(owner)
            elif shards[process] - self._shards.get(process, frozenset()):
                self._links[process].tell_holds()
        self._shards = shards

    def _shards_by_process(self) -> dict[str, frozenset[str]]:
        shards: dict[str, frozenset[str]] = {}
        for owner in self._directory.owners():
            known = shards.get(owner.process, frozenset())
            shards[owner.process] = known | {owner.shard}
        return shards

    def _open(self, owner: ShardOwner) -> OwnerStream:
        link = OwnerStream(
            gateway=self._process,
            owner=owner,
            holds=lambda: self._holds(owner.process),
            keep=self._keep,
            clock=self._clock,
            events=self._events,
        )
        link.start()
        return link


def _refusal(refusals: list[RefusedError]) -> RefusedError:
    """Return the refusal to tell the caller, from those of all owners."""
    if not refusals:
        return RefusedError(
            "no_owner",
            "no owner of backend servers can be reached",
            retry_after=RETRY_WITHOUT_OWNER,
        )
    waits = [exc.retry_after for exc in refusals if exc.retry_after is not None]
    telling = [exc for exc in refusals if exc.reason != "no_backend"] or refusals
    return RefusedError(
        telling[0].reason,
        str(telling[0]),
        retry_after=min(waits) if waits else RETRY_WITHOUT_OWNER,
    )
