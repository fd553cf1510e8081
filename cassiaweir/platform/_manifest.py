"""Decodes the operators' configuration, which the platform calls the manifest."""

from __future__ import annotations

import msgspec

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.queues import (
    AdvicePolicy,
    BackendService,
    Customer,
    Queue,
    QueueConfiguration,
)
from cassiaweir.types import Resources

MANIFEST_KEY = "op//config"
MANIFEST_PREFIX = "op//"
EVACUATION_PREFIX = "op//evacuate/"
"""A row under it asks to evacuate the failure domain that the rest of its key names."""


class Hint(msgspec.Struct):
    """How long the advice service takes to answer, and how long its answer holds."""

    # The time for a question.
    decide_ms: float = 0
    # The additional time for each server that the question names.
    each_ms: float = 0
    # How long an answer may be used; 0 if the queue needs no advice.
    valid_ms: float = 0


class Route(msgspec.Struct):
    """A queue; requests reach it by host and path prefix."""

    name: str
    host: str
    prefix: str
    service: str
    # 0 is the most urgent.
    priority: int = 0
    # The number of failures of one task that fails its job.
    attempts: int = 1
    # A job is on time within `stretch` times its longest chain of work plus `slo_ms`.
    stretch: float = 1
    slo_ms: float = 0
    # Whether requests need no key.
    public: bool = False
    hint: Hint | None = None


class Service(msgspec.Struct):
    """A pool of backend servers."""

    name: str
    health_path: str = "/health"
    # Whether its servers refuse tasks for which they have no room.
    admission_check: bool = False
    standby: bool = False


class Cap(msgspec.Struct):
    """The most that a customer's running tasks may take; 0 is no limit.

    `cpu` is in thousandths of a processor core, `gpu` in accelerators.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class Tenant(msgspec.Struct):
    """A customer, with the keys that its requests carry."""

    name: str
    keys: list[str] = []
    # Its share of the capacity, relative to the weights of other customers.
    weight: float = 1
    cap: Cap = msgspec.field(default_factory=Cap)


class Limits(msgspec.Struct):
    """Limits for requests."""

    max_body_bytes: int = 262_144


class Manifest(msgspec.Struct):
    """One version of the configuration, as operators write it."""

    version: int
    routes: list[Route] = []
    services: list[Service] = []
    tenants: list[Tenant] = []
    limits: Limits = msgspec.field(default_factory=Limits)


def parse_manifest(raw: bytes) -> Manifest:
    """Return the entries of the manifest `raw`, or raise `InvalidInputError`."""
    try:
        return msgspec.json.decode(raw, type=Manifest)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise InvalidInputError(f"cannot decode the manifest: {exc}") from exc


def decode_manifest(raw: bytes) -> QueueConfiguration:
    """Decode the manifest `raw`, or raise `InvalidInputError`."""
    found = parse_manifest(raw)
    return QueueConfiguration.build(
        found.version,
        [to_queue(route) for route in found.routes],
        [
            BackendService(
                service.name,
                service.health_path,
                service.admission_check,
                service.standby,
            )
            for service in found.services
        ],
        [_to_customer(tenant) for tenant in found.tenants],
        found.limits.max_body_bytes,
    )


def to_queue(route: Route) -> Queue:
    """Return the queue that `route` defines."""
    hint = route.hint
    advice = None
    if hint is not None and hint.valid_ms > 0:
        advice = AdvicePolicy(
            hint.decide_ms / 1_000, hint.each_ms / 1_000, hint.valid_ms / 1_000
        )
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        most_failures=max(route.attempts, 1),
        stretch=route.stretch,
        slack_s=route.slo_ms / 1_000,
        public=route.public,
        advice=advice,
    )


def _to_customer(tenant: Tenant) -> Customer:
    cap = Resources(tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpu)
    return Customer(tenant.name, frozenset(tenant.keys), tenant.weight, cap)
