"""The backend servers of an owner and the grants of their slots."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from cassiaweir.requests._handovers import ShardHandovers
from cassiaweir.requests._models import HeldSlot, SlotOutcome
from cassiaweir.types import Clock

SUSPECT_SECONDS = 5.0
REFUSED_SECONDS = 5.0
LEAVING_SECONDS = 60.0
"""Longer than the list of VMs lags; from then on the list decides."""

CLOSED_SECONDS = {
    SlotOutcome.REFUSED: REFUSED_SECONDS,
    SlotOutcome.LEAVING: LEAVING_SECONDS,
}

GrantKey = tuple[str, int]
"""The gateway and its ticket."""


@dataclass(frozen=True, slots=True)
class Backend:
    """A backend server of an owned shard, as the list of VMs describes it."""

    name: str
    service: str
    address: str
    shard: str
    slots: int
    leaving: bool = False


@dataclass(slots=True)
class _ActiveGrant:
    """A slot in use; `expires_at` is when it is certainly free again."""

    backend: str
    granted_at: float
    expires_at: float


@dataclass(slots=True)
class _ServerState:
    """A backend server with its grants.

    `unknown` slots may have been granted by an earlier owner and count as in use
    until the shard has settled.
    """

    backend: Backend
    unknown: int
    held: set[GrantKey] = field(default_factory=set)
    suspect_until: float = 0.0
    closed_until: float = 0.0

    @property
    def free(self) -> int:
        return max(0, self.backend.slots - len(self.held) - self.unknown)

    def usable(self, now: float) -> bool:
        if self.backend.leaving or now < self.closed_until or self.free < 1:
            return False
        return now >= self.suspect_until or not self.held


@dataclass(frozen=True, slots=True)
class SlotUse:
    """A use of a slot that ended with a whole answer."""

    service: str
    seconds: float


class SlotRegistry:
    """Knows which slots are in use; never more than each backend server has."""

    def __init__(self, clock: Clock, longest_lease: float) -> None:
        self._clock = clock
        self._longest_lease = longest_lease
        self._settling = ShardHandovers(clock, longest_lease)
        self._servers: dict[str, _ServerState] = {}
        self._grants: dict[GrantKey, _ActiveGrant] = {}

    def set_backends(
        self, backends: Iterable[Backend], owned: Mapping[str, int]
    ) -> None:
        """Replace the backend servers by those of the shards in `owned`.

        `owned` gives the epoch of each shard.  A server that the list no longer
        holds gets nothing new and is forgotten when its grants have ended.
        """
        new = {backend.name: backend for backend in backends}
        changed = self._settling.set_owned(owned)
        for name, server in list(self._servers.items()):
            moved = name in new and new[name].shard != server.backend.shard
            ended = name not in new and not server.held
            if server.backend.shard in changed or moved or ended:
                self._drop(name)
            elif name not in new:
                server.backend = replace(server.backend, leaving=True)
        for backend in new.values():
            self._add(backend)

    def _add(self, backend: Backend) -> None:
        known = self._servers.get(backend.name)
        if known is not None:
            known.backend = backend
            return
        settled = self._settling.settled(backend.shard)
        unknown = 0 if settled else backend.slots
        self._servers[backend.name] = _ServerState(backend, unknown)

    def set_gateways(self, gateways: Iterable[str] | None) -> None:
        """Note the gateways listed now; see `ShardHandovers.set_gateways`."""
        self._settling.set_gateways(gateways)

    def attach(self, gateway: str, holds: Sequence[HeldSlot]) -> None:
        """Begin a stream: grants that `holds` lacks never reached `gateway`."""
        kept = {(gateway, hold.ticket) for hold in holds}
        for key in [k for k in self._grants if k[0] == gateway and k not in kept]:
            self._free(key)
        self.record_report(gateway, holds)

    def record_report(self, gateway: str, holds: Sequence[HeldSlot]) -> None:
        """Note what `gateway` holds from earlier owners."""
        for hold in holds:
            server = self._servers.get(hold.backend)
            key = (gateway, hold.ticket)
            if server is not None and key not in self._grants:
                server.unknown = max(0, server.unknown - 1)
                self._hold(key, server, min(hold.lease, self._longest_lease))
        self._settling.record_report(gateway)

    def holds(self, key: GrantKey) -> bool:
        """Tell whether the grant `key` is in use."""
        return key in self._grants

    def grant(
        self, key: GrantKey, service: str, avoid: frozenset[str], lease: float
    ) -> Backend | None:
        """Use a slot of the server with the fewest in use, or return None."""
        server = self._pick(service, avoid)
        if server is None:
            return None
        self._hold(key, server, lease)
        return server.backend

    def release(self, key: GrantKey, outcome: SlotOutcome) -> SlotUse | None:
        """End the grant `key`; return its use where it says how long one takes.

        A suspect slot counts as in use until its lease ends.
        """
        now = self._clock.monotonic()
        held = self._grants[key]
        server = self._servers[held.backend]
        if outcome is SlotOutcome.SUSPECT:
            server.suspect_until = now + SUSPECT_SECONDS
            return None
        self._free(key)
        if outcome in CLOSED_SECONDS:
            until = now + CLOSED_SECONDS[outcome]
            server.closed_until = max(server.closed_until, until)
            return None
        return SlotUse(server.backend.service, now - held.granted_at)

    def advance(self) -> None:
        """End the grants whose lease ended, and settle shards."""
        now = self._clock.monotonic()
        for key in [k for k, held in self._grants.items() if held.expires_at <= now]:
            self._free(key)
        for server in self._servers.values():
            if server.unknown and self._settling.settled(server.backend.shard):
                server.unknown = 0

    def slots(self, service: str) -> int:
        """Return the slots of the servers of `service` that are not leaving."""
        return sum(server.backend.slots for server in self._serving(service))

    def free(self, service: str) -> int:
        """Return the free ones among them."""
        return sum(server.free for server in self._serving(service))

    def services(self) -> list[str]:
        """Return the services with a backend server here, in order."""
        return sorted({server.backend.service for server in self._servers.values()})

    def count_grants(self, backend: str) -> int:
        """Return the known grants of the backend server `backend`."""
        server = self._servers.get(backend)
        return len(server.held) if server else 0

    def _serving(self, service: str) -> list[_ServerState]:
        return [
            server
            for server in self._servers.values()
            if server.backend.service == service and not server.backend.leaving
        ]

    def _pick(self, service: str, avoid: frozenset[str]) -> _ServerState | None:
        now = self._clock.monotonic()
        usable = [
            server
            for server in self._serving(service)
            if server.backend.name not in avoid and server.usable(now)
        ]
        return min(usable, key=lambda s: (now < s.suspect_until, -s.free), default=None)

    def _hold(self, key: GrantKey, server: _ServerState, lease: float) -> None:
        now = self._clock.monotonic()
        self._grants[key] = _ActiveGrant(server.backend.name, now, now + lease)
        server.held.add(key)

    def _free(self, key: GrantKey) -> None:
        held = self._grants.pop(key)
        self._servers[held.backend].held.discard(key)

    def _drop(self, name: str) -> None:
        for key in self._servers.pop(name).held:
            del self._grants[key]
