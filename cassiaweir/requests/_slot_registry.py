"""Registry of an owner's backend servers and of the grants of their slots."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from cassiaweir.requests._handovers import ShardHandovers
from cassiaweir.requests._models import HeldSlot, SlotOutcome
from cassiaweir.types import Clock

SUSPECT_SECONDS = 5.0
"""How long after a suspect outcome a backend server gets a grant only when idle."""

REFUSED_PAUSE_SECONDS = 5.0
LEAVING_PAUSE_SECONDS = 60.0
"""Longer than the VM list may lag; after that the list shows that it is leaving."""

PAUSE_SECONDS = {
    SlotOutcome.REFUSED: REFUSED_PAUSE_SECONDS,
    SlotOutcome.LEAVING: LEAVING_PAUSE_SECONDS,
}
"""How long a backend server gets no grants after an outcome."""

GrantKey = tuple[str, int]
"""The gateway's process id and its ticket."""


@dataclass(frozen=True, slots=True)
class Backend:
    """A backend server as the VM list describes it, with its shard."""

    name: str
    service: str
    address: str
    shard: str
    slots: int
    leaving: bool = False


@dataclass(slots=True)
class _ActiveGrant:
    """A grant in use; its slot is certainly free again at `expires_at`.

    Times are in seconds of the monotonic clock.
    """

    backend: str
    granted_at: float
    expires_at: float


@dataclass(slots=True)
class _ServerState:
    """A backend server with its active grants.

    `unknown_slots` is the number of slots that an earlier owner may have granted.  They
    count as in use until the handover of the shard is complete.
    """

    backend: Backend
    unknown_slots: int
    active: set[GrantKey] = field(default_factory=set)
    suspect_until: float = 0.0
    paused_until: float = 0.0

    @property
    def free(self) -> int:
        return max(0, self.backend.slots - len(self.active) - self.unknown_slots)

    def usable(self, now: float) -> bool:
        if self.backend.leaving or now < self.paused_until or self.free < 1:
            return False
        return now >= self.suspect_until or not self.active


@dataclass(frozen=True, slots=True)
class SlotUse:
    """The use of a slot that ended as `SlotOutcome.FREE`, and its duration."""

    service: str
    seconds: float


class SlotRegistry:
    """Records which slots are in use and never grants more than a server has."""

    def __init__(self, clock: Clock, max_lease_seconds: float) -> None:
        self._clock = clock
        self._max_lease_seconds = max_lease_seconds
        self._handovers = ShardHandovers(clock, max_lease_seconds)
        self._servers: dict[str, _ServerState] = {}
        self._grants: dict[GrantKey, _ActiveGrant] = {}

    def set_backends(
        self, backends: Iterable[Backend], owned: Mapping[str, int]
    ) -> None:
        """Replace the backend servers by those of the shards in `owned`.

        `owned` maps each shard to its epoch.  A server that is no longer listed gets no
        new grants and is removed when its grants have ended.
        """
        listed = {backend.name: backend for backend in backends}
        changed = self._handovers.set_owned(owned)
        for name, server in list(self._servers.items()):
            moved = name in listed and listed[name].shard != server.backend.shard
            unused = name not in listed and not server.active
            if server.backend.shard in changed or moved or unused:
                self._remove_server(name)
            elif name not in listed:
                server.backend = replace(server.backend, leaving=True)
        for backend in listed.values():
            self._add(backend)

    def _add(self, backend: Backend) -> None:
        existing = self._servers.get(backend.name)
        if existing is not None:
            existing.backend = backend
            return
        is_complete = self._handovers.is_complete(backend.shard)
        unknown_slots = 0 if is_complete else backend.slots
        self._servers[backend.name] = _ServerState(backend, unknown_slots)

    def set_gateways(self, gateways: Iterable[str] | None) -> None:
        """Set the listed gateways; see `ShardHandovers.set_gateways`."""
        self._handovers.set_gateways(gateways)

    def attach(self, gateway: str, held_slots: Sequence[HeldSlot]) -> None:
        """Begin a stream of `gateway`, which reports the slots that it holds.

        A grant that is missing from `held_slots` never reached the gateway and ends.
        """
        reported = {(gateway, held_slot.ticket) for held_slot in held_slots}
        for key in [
            grant_key
            for grant_key in self._grants
            if grant_key[0] == gateway and grant_key not in reported
        ]:
            self._remove_grant(key)
        self.record_report(gateway, held_slots)

    def record_report(self, gateway: str, held_slots: Sequence[HeldSlot]) -> None:
        """Add the slots that `gateway` holds by grants of earlier owners."""
        for held_slot in held_slots:
            server = self._servers.get(held_slot.backend)
            key = (gateway, held_slot.ticket)
            if server is not None and key not in self._grants:
                server.unknown_slots = max(0, server.unknown_slots - 1)
                self._add_grant(
                    key, server, min(held_slot.lease_seconds, self._max_lease_seconds)
                )
        self._handovers.record_report(gateway)

    def is_granted(self, key: GrantKey) -> bool:
        """Return whether the grant `key` is in use."""
        return key in self._grants

    def grant(
        self, key: GrantKey, service: str, avoid: frozenset[str], lease_seconds: float
    ) -> Backend | None:
        """Grant a slot of `service` and return its backend server.

        Servers without a recent suspect outcome come first, then those with the most
        free slots.  Returns None if no server can be used.
        """
        server = self._choose_server(service, avoid)
        if server is None:
            return None
        self._add_grant(key, server, lease_seconds)
        return server.backend

    def release(self, key: GrantKey, outcome: SlotOutcome) -> SlotUse | None:
        """End the grant `key` with `outcome`.

        Returns the use if the outcome is FREE, as its duration then counts as a service
        time.  After a suspect outcome the slot stays in use until its lease ends.
        """
        now = self._clock.monotonic()
        active = self._grants[key]
        server = self._servers[active.backend]
        if outcome is SlotOutcome.SUSPECT:
            server.suspect_until = now + SUSPECT_SECONDS
            return None
        self._remove_grant(key)
        if outcome in PAUSE_SECONDS:
            until = now + PAUSE_SECONDS[outcome]
            server.paused_until = max(server.paused_until, until)
            return None
        return SlotUse(server.backend.service, now - active.granted_at)

    def expire(self) -> None:
        """End grants whose lease has run out and apply completed handovers."""
        now = self._clock.monotonic()
        for key in [
            grant_key
            for grant_key, active in self._grants.items()
            if active.expires_at <= now
        ]:
            self._remove_grant(key)
        for server in self._servers.values():
            if server.unknown_slots and self._handovers.is_complete(
                server.backend.shard
            ):
                server.unknown_slots = 0

    def slots(self, service: str) -> int:
        """Return the number of slots of `service`, without leaving servers."""
        return sum(server.backend.slots for server in self._serving(service))

    def free(self, service: str) -> int:
        """Return the number of free slots of `service`, without leaving servers."""
        return sum(server.free for server in self._serving(service))

    def services(self) -> list[str]:
        """Return the services that have a backend server here, sorted by name."""
        return sorted({server.backend.service for server in self._servers.values()})

    def count_grants(self, backend: str) -> int:
        """Return the number of known grants of the backend server `backend`."""
        server = self._servers.get(backend)
        return len(server.active) if server else 0

    def _serving(self, service: str) -> list[_ServerState]:
        return [
            server
            for server in self._servers.values()
            if server.backend.service == service and not server.backend.leaving
        ]

    def _choose_server(
        self, service: str, avoid: frozenset[str]
    ) -> _ServerState | None:
        now = self._clock.monotonic()
        usable = [
            server
            for server in self._serving(service)
            if server.backend.name not in avoid and server.usable(now)
        ]
        return min(
            usable,
            key=lambda candidate: (now < candidate.suspect_until, -candidate.free),
            default=None,
        )

    def _add_grant(
        self, key: GrantKey, server: _ServerState, lease_seconds: float
    ) -> None:
        now = self._clock.monotonic()
        self._grants[key] = _ActiveGrant(server.backend.name, now, now + lease_seconds)
        server.active.add(key)

    def _remove_grant(self, key: GrantKey) -> None:
        active = self._grants.pop(key)
        self._servers[active.backend].active.discard(key)

    def _remove_server(self, name: str) -> None:
        for key in self._servers.pop(name).active:
            del self._grants[key]
