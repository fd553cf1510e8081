"""Grants the slots of backend servers to gateways; one broker per owner."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.requests._fair_queue import FairQueue
from cassiaweir.requests._models import (
    AcquireRequest,
    Grant,
    HeldSlot,
    Refusal,
    SlotOutcome,
)
from cassiaweir.requests._slot_registry import Backend, SlotRegistry
from cassiaweir.types import Clock

MARGIN = timedelta(seconds=2)
MOST_WAITING = 64
FIRST_SERVICE_SECONDS = 0.1
SERVICE_TIME_WEIGHT = 0.05
SHED_SECONDS = 0.05
SHORTEST_RETRY_SECONDS = 0.05
UNKNOWN_SERVICE_RETRY_SECONDS = 1.0

Decision = Grant | Refusal


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
    a request within `margin` after its deadline.  `max_request_time` bounds the time
    to a deadline, so `max_request_time + margin` after a takeover no earlier grant
    is in use.  `share` gives the positive weight of a team; `queue_limit` bounds the
    waiting wants of each team and class.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        max_request_time: timedelta,
        share: Callable[[str], float],
        margin: timedelta = MARGIN,
        queue_limit: int = MOST_WAITING,
    ) -> None:
        self._clock = clock
        self._longest = max_request_time.total_seconds()
        self._margin = margin.total_seconds()
        self._queue_limit = queue_limit
        self._share = share
        self._book = SlotRegistry(clock, self._longest + self._margin)
        self._waiting: dict[str, FairQueue] = {}
        self._service_seconds: dict[str, float] = {}
        self._next_shed = 0.0

    def set_backends(
        self, backends: Iterable[Backend], owned: Mapping[str, int]
    ) -> None:
        """Replace the backend servers; see `SlotRegistry.set_backends`."""
        self._next_shed = 0.0
        self._book.set_backends(backends, owned)

    def set_gateways(self, gateways: Iterable[str] | None) -> None:
        """Note the gateways listed now; see `ShardHandovers.set_gateways`."""
        self._book.set_gateways(gateways)

    def attach(self, gateway: str, holds: Sequence[HeldSlot]) -> None:
        """Begin a stream of `gateway`, which holds nothing but `holds`."""
        self._book.attach(gateway, holds)

    def record_report(self, gateway: str, holds: Sequence[HeldSlot]) -> None:
        """Note what `gateway` holds from earlier owners."""
        self._book.record_report(gateway, holds)

    def request(self, request: AcquireRequest) -> Refusal | None:
        """Queue `request`, or refuse it at once where waiting cannot help."""
        if self._book.holds((request.gateway, request.ticket)):
            return None
        now = self._clock.monotonic()
        load = self.load(request.service)
        if load.slots == 0:
            return self._refuse(request, "no_backend", UNKNOWN_SERVICE_RETRY_SECONDS)
        queue = self._queue(request.service)
        wait = self._expected_wait(request, load)
        if queue.full(request.team, request.urgency):
            return self._refuse(request, "queue_full", wait)
        if now + wait + self._service_time(request.service) > request.deadline:
            return self._refuse(request, "deadline_too_near", wait)
        queue.add(request)
        return None

    def done(self, gateway: str, ticket: int, outcome: SlotOutcome) -> None:
        """Take a slot back, or drop the want that still waits."""
        if not self._book.holds((gateway, ticket)):
            self._forget_want(gateway, ticket)
            return
        use = self._book.release((gateway, ticket), outcome)
        if use is not None:
            self._learn(use.service, use.seconds)

    def detach(self, gateway: str) -> None:
        """Forget the waiting wants of `gateway`; what it holds lasts its lease."""
        for queue in self._waiting.values():
            queue.remove(lambda request: request.gateway == gateway)

    def decide(self) -> list[Decision]:
        """Return the grants and refusals that are due now."""
        now = self._clock.monotonic()
        self._book.advance()
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
        return ServiceLoad(
            service=service,
            slots=self._book.slots(service),
            free=self._book.free(service),
            waiting=len(self._waiting.get(service, ())),
        )

    def services(self) -> list[str]:
        """Return the services with a backend server here, in order."""
        return self._book.services()

    def count_grants(self, backend: str) -> int:
        """Return the known grants of the backend server `backend`."""
        return self._book.count_grants(backend)

    def _queue(self, service: str) -> FairQueue:
        queue = self._waiting.get(service)
        if queue is None:
            queue = FairQueue(self._share, self._queue_limit)
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

    def _expected_wait(self, request: AcquireRequest, load: ServiceLoad) -> float:
        """Return the seconds until a slot is free for a want that joins now."""
        ahead = self._queue(request.service).ahead(request.team, request.urgency)
        if load.free > ahead:
            return 0.0
        rounds = (ahead - load.free + 1) / max(1, load.slots)
        return rounds * self._service_time(request.service)

    def _refuse(self, request: AcquireRequest, reason: str, seconds: float) -> Refusal:
        retry_after = max(seconds, SHORTEST_RETRY_SECONDS)
        return Refusal(request.gateway, request.ticket, reason, retry_after)

    def _forget_want(self, gateway: str, ticket: int) -> None:
        for queue in self._waiting.values():
            queue.remove(
                lambda request: request.gateway == gateway and request.ticket == ticket
            )

    def _shed(self, service: str, queue: FairQueue, now: float) -> list[Refusal]:
        """Refuse the wants that can no longer be served in time."""
        if not len(queue):
            return []
        if self.load(service).slots == 0:
            gone = queue.remove(lambda request: True)
            return [
                self._refuse(request, "no_backend", UNKNOWN_SERVICE_RETRY_SECONDS)
                for request in gone
            ]
        seconds = self._service_time(service)
        late = queue.remove(lambda request: now + seconds > request.deadline)
        return [self._refuse(request, "deadline_too_near", seconds) for request in late]

    def _grant_waiting(self, queue: FairQueue, now: float) -> list[Grant]:
        grants: list[Grant] = []
        while True:
            grant = self._grant_first(queue, now)
            if grant is None:
                return grants
            grants.append(grant)

    def _grant_first(self, queue: FairQueue, now: float) -> Grant | None:
        for request in queue.candidates():
            grant = self._grant(request, now)
            if grant is not None:
                queue.take(request)
                return grant
        return None

    def _grant(self, request: AcquireRequest, now: float) -> Grant | None:
        left = min(request.deadline - now, self._longest)
        lease = left + self._margin
        key = (request.gateway, request.ticket)
        backend = self._book.grant(key, request.service, request.avoid, lease)
        if backend is None:
            return None
        return Grant(
            gateway=request.gateway,
            ticket=request.ticket,
            backend=backend.name,
            address=backend.address,
            shard=backend.shard,
            lease=lease,
        )
