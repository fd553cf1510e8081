"""Decodes the operators' configuration, which the platform calls a manifest."""

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


class _Hint(msgspec.Struct):
    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1
    slo_ms: float = 0
    public: bool = False
    hint: _Hint | None = None


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    admission_check: bool = False
    standby: bool = False


class _Cap(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Tenant(msgspec.Struct):
    name: str
    keys: list[str] = []
    weight: float = 1
    cap: _Cap = msgspec.field(default_factory=_Cap)


class _Limits(msgspec.Struct):
    max_body_bytes: int = 262_144


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_manifest(raw: bytes) -> QueueConfiguration:
    """Return the configuration in `raw`, or raise `InvalidInputError`."""
    try:
        found = msgspec.json.decode(raw, type=_Manifest)
    except msgspec.DecodeError as exc:
        raise InvalidInputError(f"configuration cannot be read: {exc}") from exc
    return QueueConfiguration.build(
        found.version,
        [_to_queue(route) for route in found.routes],
        [
            BackendService(
                each.name, each.health_path, each.admission_check, each.standby
            )
            for each in found.services
        ],
        [_to_customer(tenant) for tenant in found.tenants],
        found.limits.max_body_bytes,
    )


def _to_queue(route: _Route) -> Queue:
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


def _to_customer(tenant: _Tenant) -> Customer:
    cap = Resources(tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpu)
    return Customer(tenant.name, frozenset(tenant.keys), tenant.weight, cap)
