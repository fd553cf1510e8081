"""Slot broker: grants the slots of backend servers to gateways, one per owner."""

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

LEASE_MARGIN = timedelta(seconds=2)
MAX_QUEUED_PER_TEAM_AND_URGENCY = 64
INITIAL_SERVICE_SECONDS = 0.1
"""Service time assumed until the first one is measured."""

SERVICE_TIME_SMOOTHING = 0.05
"""Weight of the latest service time in the moving average."""

SHED_INTERVAL_SECONDS = 0.05
MIN_RETRY_AFTER_SECONDS = 0.05
NO_BACKEND_RETRY_AFTER_SECONDS = 1.0

Decision = Grant | Refusal


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load of a service at this owner; `waiting` counts queued requests."""

    service: str
    slots: int
    free: int
    waiting: int


class SlotBroker:
    """Decides which gateway may use which slot; does no I/O itself.

    A grant lasts until its slot is released or its lease ends.  The lease is the time
    to the request's deadline plus `margin`, and a backend server must stop serving
    a request within `margin` after its deadline.  `max_request_time` bounds the time
    to a deadline, so `max_request_time + margin` after a takeover no grant of an
    earlier owner is in use.  `share` returns the positive weight of a team;
    `queue_limit` bounds the queued requests of each team and urgency.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        max_request_time: timedelta,
        share: Callable[[str], float],
        margin: timedelta = LEASE_MARGIN,
        queue_limit: int = MAX_QUEUED_PER_TEAM_AND_URGENCY,
    ) -> None:
        self._clock = clock
        self._max_request_seconds = max_request_time.total_seconds()
        self._margin_seconds = margin.total_seconds()
        self._queue_limit = queue_limit
        self._share = share
        self._registry = SlotRegistry(
            clock, self._max_request_seconds + self._margin_seconds
        )
        self._queues: dict[str, FairQueue] = {}
        self._service_seconds: dict[str, float] = {}
        self._next_shed_at = 0.0

    def set_backends(
        self, backends: Iterable[Backend], owned: Mapping[str, int]
    ) -> None:
        """Replace the backend servers; see `SlotRegistry.set_backends`."""
        self._next_shed_at = 0.0
        self._registry.set_backends(backends, owned)

    def set_gateways(self, gateways: Iterable[str] | None) -> None:
        """Set the listed gateways; see `ShardHandovers.set_gateways`."""
        self._registry.set_gateways(gateways)

    def attach(self, gateway: str, held_slots: Sequence[HeldSlot]) -> None:
        """Begin a stream of `gateway`, which holds no slots but `held_slots`."""
        self._registry.attach(gateway, held_slots)

    def record_report(self, gateway: str, held_slots: Sequence[HeldSlot]) -> None:
        """Add the slots that `gateway` holds by grants of earlier owners."""
        self._registry.record_report(gateway, held_slots)

    def request(self, request: AcquireRequest) -> Refusal | None:
        """Queue `request`, or return a refusal if waiting cannot help."""
        if self._registry.is_granted((request.gateway, request.ticket)):
            return None
        now = self._clock.monotonic()
        load = self.load(request.service)
        if load.slots == 0:
            return self._refuse(request, "no_backend", NO_BACKEND_RETRY_AFTER_SECONDS)
        queue = self._queue(request.service)
        wait_seconds = self._expected_wait(request, load)
        if queue.is_full(request.team, request.urgency):
            return self._refuse(request, "queue_full", wait_seconds)
        if now + wait_seconds + self._service_time(request.service) > request.deadline:
            return self._refuse(request, "deadline_too_near", wait_seconds)
        queue.add(request)
        return None

    def done(self, gateway: str, ticket: int, outcome: SlotOutcome) -> None:
        """Release the slot of `ticket`, or remove its request from the queue."""
        if not self._registry.is_granted((gateway, ticket)):
            self._remove_queued(gateway, ticket)
            return
        use = self._registry.release((gateway, ticket), outcome)
        if use is not None:
            self._record_service_time(use.service, use.seconds)

    def detach(self, gateway: str) -> None:
        """Drop the queued requests of `gateway`; its grants last until released."""
        for queue in self._queues.values():
            queue.remove(lambda request: request.gateway == gateway)

    def decide(self) -> list[Decision]:
        """Return the grants and refusals of queued requests that are due now."""
        now = self._clock.monotonic()
        self._registry.expire()
        decisions: list[Decision] = []
        shed = now >= self._next_shed_at
        if shed:
            self._next_shed_at = now + SHED_INTERVAL_SECONDS
        for service, queue in self._queues.items():
            if shed:
                decisions += self._shed(service, queue, now)
            decisions += self._grant_queued(queue, now)
        return decisions

    def load(self, service: str) -> ServiceLoad:
        """Return the load of `service`, without backend servers that are leaving."""
        return ServiceLoad(
            service=service,
            slots=self._registry.slots(service),
            free=self._registry.free(service),
            waiting=len(self._queues.get(service, ())),
        )

    def services(self) -> list[str]:
        """Return the services that have a backend server here, sorted by name."""
        return self._registry.services()

    def count_grants(self, backend: str) -> int:
        """Return the number of known grants of the backend server `backend`."""
        return self._registry.count_grants(backend)

    def _queue(self, service: str) -> FairQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = FairQueue(self._share, self._queue_limit)
            self._queues[service] = queue
        return queue

    def _service_time(self, service: str) -> float:
        return self._service_seconds.get(service, INITIAL_SERVICE_SECONDS)

    def _record_service_time(self, service: str, seconds: float) -> None:
        average = self._service_seconds.get(service)
        if average is None:
            self._service_seconds[service] = seconds
            return
        self._service_seconds[service] = average + SERVICE_TIME_SMOOTHING * (
            seconds - average
        )

    def _expected_wait(self, request: AcquireRequest, load: ServiceLoad) -> float:
        """Return the seconds until a request that is queued now gets a slot."""
        expected_ahead = self._queue(request.service).expected_ahead(
            request.team, request.urgency
        )
        if load.free > expected_ahead:
            return 0.0
        rounds = (expected_ahead - load.free + 1) / max(1, load.slots)
        return rounds * self._service_time(request.service)

    def _refuse(self, request: AcquireRequest, reason: str, seconds: float) -> Refusal:
        retry_after_seconds = max(seconds, MIN_RETRY_AFTER_SECONDS)
        return Refusal(request.gateway, request.ticket, reason, retry_after_seconds)

    def _remove_queued(self, gateway: str, ticket: int) -> None:
        for queue in self._queues.values():
            queue.remove(
                lambda request: request.gateway == gateway and request.ticket == ticket
            )

    def _shed(self, service: str, queue: FairQueue, now: float) -> list[Refusal]:
        """Refuse the queued requests that can no longer be served in time."""
        if not len(queue):
            return []
        if self.load(service).slots == 0:
            removed = queue.remove(lambda request: True)
            return [
                self._refuse(request, "no_backend", NO_BACKEND_RETRY_AFTER_SECONDS)
                for request in removed
            ]
        seconds = self._service_time(service)
        expired = queue.remove(lambda request: now + seconds > request.deadline)
        return [
            self._refuse(request, "deadline_too_near", seconds) for request in expired
        ]

    def _grant_queued(self, queue: FairQueue, now: float) -> list[Grant]:
        grants: list[Grant] = []
        while True:
            grant = self._grant_next(queue, now)
            if grant is None:
                return grants
            grants.append(grant)

    def _grant_next(self, queue: FairQueue, now: float) -> Grant | None:
        for request in queue.candidates():
            grant = self._grant(request, now)
            if grant is not None:
                queue.take(request)
                return grant
        return None

    def _grant(self, request: AcquireRequest, now: float) -> Grant | None:
        request_seconds = min(request.deadline - now, self._max_request_seconds)
        lease_seconds = request_seconds + self._margin_seconds
        key = (request.gateway, request.ticket)
        backend = self._registry.grant(
            key, request.service, request.avoid, lease_seconds
        )
        if backend is None:
            return None
        return Grant(
            gateway=request.gateway,
            ticket=request.ticket,
            backend=backend.name,
            address=backend.address,
            shard=backend.shard,
            lease_seconds=lease_seconds,
        )
