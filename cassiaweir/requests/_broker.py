"""Grants the slots of backend servers to gateways; one broker per owner."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta

from cassiaweir.requests._models import Grant, Hold, Refusal, SlotOutcome, Want
from cassiaweir.requests._waiting import WaitingWants
from cassiaweir.types import Clock

MARGIN = timedelta(seconds=2)
MOST_WAITING = 64
FIRST_EPOCH = 1
EARLY_SECONDS = 6.0
"""Longer than a new member may be missing from the list of gateways."""

SUSPECT_SECONDS = 5.0
REFUSED_SECONDS = 5.0
FIRST_SERVICE_SECONDS = 0.1
SERVICE_TIME_WEIGHT = 0.05
SHED_SECONDS = 0.05
SHORTEST_RETRY_SECONDS = 0.05
UNKNOWN_SERVICE_RETRY_SECONDS = 1.0

Decision = Grant | Refusal


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
class _Held:
    """A slot in use; `expires_at` is when it is certainly free again."""

    backend: str
    granted_at: float
    expires_at: float
    suspect: bool = False


@dataclass(slots=True)
class _Shard:
    """How far an owner has learnt what earlier owners of the shard granted."""

    epoch: int
    settles_at: float
    early_at: float
    told: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Server:
    """A backend server with its grants.

    `unknown` slots may have been granted by an earlier owner and count as in use
    until the shard has settled.
    """

    backend: Backend
    unknown: int
    held: set[tuple[str, int]] = field(default_factory=set)
    suspect_until: float = 0.0
    closed_until: float = 0.0

    @property
    def free(self) -> int:
        return self.backend.slots - len(self.held) - self.unknown

    def usable(self, now: float) -> bool:
        if self.backend.leaving or now < self.closed_until or self.free < 1:
            return False
        return now >= self.suspect_until or not self.held


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The slots of one service at this owner and the wants waiting for them."""

    service: str
    slots: int
    free: int
    waiting: int


class SlotBroker:
    """Decides which gateway may use which slot, without input or output.

    A grant lasts until it is given back or its lease ends.  The lease is the time
    to the request's deadline plus `margin`, and a backend server must stop serving
    a request within `margin` after its deadline.  `longest` bounds the time to a
    deadline, so `longest + margin` after a takeover no earlier grant is in use.
    `share` gives the positive weight of a team; `queue_limit` bounds the waiting
    wants of each team and class.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        longest: timedelta,
        share: Callable[[str], float],
        margin: timedelta = MARGIN,
        queue_limit: int = MOST_WAITING,
    ) -> None:
        self._clock = clock
        self._longest = longest.total_seconds()
        self._margin = margin.total_seconds()
        self._queue_limit = queue_limit
        self._share = share
        self._servers: dict[str, _Server] = {}
        self._grants: dict[tuple[str, int], _Held] = {}
        self._waiting: dict[str, WaitingWants] = {}
        self._service_seconds: dict[str, float] = {}
        self._shards: dict[str, _Shard] = {}
        self._gateways: dict[str, float] = {}
        self._gateways_known = False
        self._next_shed = 0.0

    def set_backends(
        self, backends: Iterable[Backend], owned: Mapping[str, int]
    ) -> None:
        """Replace the backend servers by those of the shards in `owned`.

        `owned` gives the epoch of each shard.  A server that the list no longer
        holds gets nothing new and is forgotten when its grants have ended.
        """
        self._next_shed = 0.0
        self._set_shards(owned)
        new = {backend.name: backend for backend in backends}
        for name, server in list(self._servers.items()):
            kept = server.backend.shard in owned and (name in new or server.held)
            moved = name in new and new[name].shard != server.backend.shard
            if moved or not kept:
                self._drop(name)
            elif name not in new:
                server.backend = replace(server.backend, leaving=True)
        for name, backend in new.items():
            known = self._servers.get(name)
            if known is not None:
                known.backend = backend
                continue
            settled = self._settled(self._shards[backend.shard])
            unknown = 0 if settled else backend.slots
            self._servers[name] = _Server(backend, unknown)

    def set_gateways(self, gateways: Iterable[str] | None) -> None:
        """Note the gateways listed now, or None where they are not known.

        One that is no longer listed may still hold slots for the longest lease.
        """
        now = self._clock.monotonic()
        self._gateways_known = gateways is not None
        for gateway in gateways or ():
            self._gateways[gateway] = now
        oldest = now - self._longest - self._margin
        for gateway in [g for g, seen in self._gateways.items() if seen < oldest]:
            del self._gateways[gateway]

    def attach(self, gateway: str, holds: Sequence[Hold]) -> None:
        """Begin a stream: grants that `holds` lacks never reached `gateway`."""
        kept = {(gateway, hold.ticket) for hold in holds}
        for key in [k for k in self._grants if k[0] == gateway and k not in kept]:
            self._free(key)
        self.tell(gateway, holds)

    def tell(self, gateway: str, holds: Sequence[Hold]) -> None:
        """Note what `gateway` holds from earlier owners."""
        now = self._clock.monotonic()
        for hold in holds:
            server = self._servers.get(hold.backend)
            key = (gateway, hold.ticket)
            if server is None or key in self._grants:
                continue
            server.unknown = max(0, server.unknown - 1)
            lease = min(hold.lease, self._longest + self._margin)
            self._grants[key] = _Held(hold.backend, now, now + lease)
            server.held.add(key)
        for shard in self._shards.values():
            shard.told.add(gateway)

    def want(self, want: Want) -> Refusal | None:
        """Queue `want`, or refuse it at once where waiting cannot help."""
        if (want.gateway, want.ticket) in self._grants:
            return None
        now = self._clock.monotonic()
        load = self.load(want.service)
        if load.slots == 0:
            return self._refuse(want, "no_backend", UNKNOWN_SERVICE_RETRY_SECONDS)
        queue = self._queue(want.service)
        wait = self._expected_wait(want, load)
        if queue.full(want.team, want.urgency):
            return self._refuse(want, "queue_full", wait)
        if now + wait + self._service_time(want.service) > want.deadline:
            return self._refuse(want, "deadline_too_near", wait)
        queue.add(want)
        return None

    def done(self, gateway: str, ticket: int, outcome: SlotOutcome) -> None:
        """Take a slot back, or drop the want that still waits."""
        now = self._clock.monotonic()
        held = self._grants.get((gateway, ticket))
        if held is None:
            self._forget_want(gateway, ticket)
            return
        server = self._servers[held.backend]
        if outcome is SlotOutcome.SUSPECT:
            held.suspect = True
            server.suspect_until = now + SUSPECT_SECONDS
            return
        if outcome is SlotOutcome.REFUSED:
            server.closed_until = now + REFUSED_SECONDS
        else:
            self._learn(server.backend.service, now - held.granted_at)
        self._free((gateway, ticket))

    def detach(self, gateway: str) -> None:
        """Forget the waiting wants of `gateway`; what it holds lasts its lease."""
        for queue in self._waiting.values():
            queue.remove(lambda want: want.gateway == gateway)

    def decide(self) -> list[Decision]:
        """Return the grants and refusals that are due now."""
        now = self._clock.monotonic()
        self._expire(now)
        self._settle()
        decisions: list[Decision] = []
        shed = now >= self._next_shed
        if shed:
            self._next_shed = now + SHED_SECONDS
        for service, queue in self._waiting.items():
            if shed:
                decisions += self._shed(service, queue, now)
            decisions += self._grant_waiting(queue, now)
        return decisions

    def load(self, service: str) -> ServiceLoad:
        """Return the load of one service; leaving backend servers do not count."""
        servers = [
            server
            for server in self._servers.values()
            if server.backend.service == service and not server.backend.leaving
        ]
        return ServiceLoad(
            service=service,
            slots=sum(server.backend.slots for server in servers),
            free=sum(max(0, server.free) for server in servers),
            waiting=len(self._waiting.get(service, ())),
        )

    def services(self) -> list[str]:
        """Return the services with a backend server here, in order."""
        return sorted({server.backend.service for server in self._servers.values()})

    def granted(self, backend: str) -> int:
        """Return the slots of `backend` that count as in use by a known grant."""
        server = self._servers.get(backend)
        return len(server.held) if server else 0

    def _queue(self, service: str) -> WaitingWants:
        queue = self._waiting.get(service)
        if queue is None:
            queue = WaitingWants(self._share, self._queue_limit)
            self._waiting[service] = queue
        return queue

    def _service_time(self, service: str) -> float:
        return self._service_seconds.get(service, FIRST_SERVICE_SECONDS)

    def _learn(self, service: str, seconds: float) -> None:
        known = self._service_seconds.get(service)
        if known is None:
            self._service_seconds[service] = seconds
            return
        self._service_seconds[service] = known + SERVICE_TIME_WEIGHT * (seconds - known)

    def _expected_wait(self, want: Want, load: ServiceLoad) -> float:
        """Return the seconds until a slot is free for a want that joins now."""
        ahead = self._queue(want.service).ahead(want.team, want.urgency)
        if load.free > ahead:
            return 0.0
        rounds = (ahead - load.free + 1) / max(1, load.slots)
        return rounds * self._service_time(want.service)

    def _refuse(self, want: Want, reason: str, seconds: float) -> Refusal:
        retry_after = max(seconds, SHORTEST_RETRY_SECONDS)
        return Refusal(want.gateway, want.ticket, reason, retry_after)

    def _forget_want(self, gateway: str, ticket: int) -> None:
        for queue in self._waiting.values():
            queue.remove(lambda want: want.gateway == gateway and want.ticket == ticket)

    def _free(self, key: tuple[str, int]) -> None:
        held = self._grants.pop(key)
        self._servers[held.backend].held.discard(key)

    def _drop(self, name: str) -> None:
        server = self._servers.pop(name)
        for key in server.held:
            del self._grants[key]

    def _drop_shard(self, shard: str) -> None:
        servers = list(self._servers.items())
        for name in [name for name, s in servers if s.backend.shard == shard]:
            self._drop(name)

    def _expire(self, now: float) -> None:
        for key in [k for k, held in self._grants.items() if held.expires_at <= now]:
            self._free(key)

    def _set_shards(self, owned: Mapping[str, int]) -> None:
        """Note the shards taken over, and forget those given up."""
        now = self._clock.monotonic()
        for shard in self._shards.keys() - owned.keys():
            del self._shards[shard]
        for shard, epoch in owned.items():
            known = self._shards.get(shard)
            if known is not None and known.epoch == epoch:
                continue
            self._drop_shard(shard)
            # The first owner of a shard has no earlier one to wait for.
            first = epoch <= FIRST_EPOCH
            self._shards[shard] = _Shard(
                epoch=epoch,
                settles_at=now if first else now + self._longest + self._margin,
                early_at=now + EARLY_SECONDS,
            )

    def _settled(self, shard: _Shard) -> bool:
        """Tell whether no unknown grant of an earlier owner is in use."""
        now = self._clock.monotonic()
        if now >= shard.settles_at:
            return True
        if not self._gateways_known or now < shard.early_at:
            return False
        return self._gateways.keys() <= shard.told

    def _settle(self) -> None:
        for server in self._servers.values():
            if server.unknown and self._settled(self._shards[server.backend.shard]):
                server.unknown = 0

    def _shed(self, service: str, queue: WaitingWants, now: float) -> list[Refusal]:
        """Refuse the wants that can no longer be served in time."""
        if not len(queue):
            return []
        if self.load(service).slots == 0:
            gone = queue.remove(lambda want: True)
            return [
                self._refuse(want, "no_backend", UNKNOWN_SERVICE_RETRY_SECONDS)
                for want in gone
            ]
        seconds = self._service_time(service)
        late = queue.remove(lambda want: now + seconds > want.deadline)
        return [self._refuse(want, "deadline_too_near", seconds) for want in late]

    def _grant_waiting(self, queue: WaitingWants, now: float) -> list[Grant]:
        grants: list[Grant] = []
        while True:
            grant = self._grant_first(queue, now)
            if grant is None:
                return grants
            grants.append(grant)

    def _grant_first(self, queue: WaitingWants, now: float) -> Grant | None:
        for want in queue.candidates():
            server = self._pick(want, now)
            if server is not None:
                queue.take(want)
                return self._grant(want, server, now)
        return None

    def _pick(self, want: Want, now: float) -> _Server | None:
        """Return the usable backend server with the fewest slots in use."""
        usable = [
            server
            for name, server in self._servers.items()
            if server.backend.service == want.service
            and name not in want.avoid
            and server.usable(now)
        ]
        return min(usable, key=lambda s: (now < s.suspect_until, -s.free), default=None)

    def _grant(self, want: Want, server: _Server, now: float) -> Grant:
        key = (want.gateway, want.ticket)
        left = min(want.deadline - now, self._longest)
        lease = left + self._margin
        backend = server.backend
        self._grants[key] = _Held(backend.name, now, now + lease)
        server.held.add(key)
        return Grant(
            gateway=want.gateway,
            ticket=want.ticket,
            backend=backend.name,
            address=backend.address,
            shard=backend.shard,
            lease=lease,
        )
