"""Finds entries without effect, and limits that contradict each other."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass

from cassiaweir.configuration_check._fields import ROOT_PATH, Finding
from cassiaweir.dispatch._objective import expected_advice_s
from cassiaweir.jobs import JobSpec
from cassiaweir.platform._manifest import (
    Cap,
    Hint,
    Manifest,
    Route,
    Service,
    Tenant,
    to_queue,
)

Found = tuple[str, str]
"""The path and the reason of a finding."""

AMOUNT_FIELDS = ("cpu", "mem_mb", "gpu")


@dataclass(frozen=True, slots=True)
class CheckedWith:
    """What a configuration is compared with.

    `server_counts` has the number of servers of each service that do not drain, None
    if the servers are unknown.  `jobs` are typical jobs with the files they are from.
    """

    server_counts: dict[str, int] | None = None
    jobs: Sequence[tuple[str, JobSpec]] = ()


def find_contradictions(
    file: str, manifest: Manifest, checked_with: CheckedWith
) -> list[Finding]:
    """Return the findings for a configuration whose fields are well-formed."""
    found: list[Found] = []
    if manifest.version < 1:
        found.append(("version", "below 1, so that no entry VM adopts it"))
    if manifest.limits.max_body_bytes < 1:
        found.append(("limits.max_body_bytes", "below 1, so that no job is accepted"))
    found += _check_names(manifest)
    services = {service.name for service in manifest.services}
    first_at: dict[tuple[str, str], str] = {}
    for number, route in enumerate(manifest.routes):
        path = f"routes[{number}]"
        found += _check_matching(path, route, first_at)
        found += _check_service(path, route, services, checked_with.server_counts)
        found += _check_limits(path, route)
        found += _check_hint(path, route)
    used = {route.service for route in manifest.routes}
    for number, service in enumerate(manifest.services):
        found += _check_use(f"services[{number}]", service, used)
    key_paths: dict[str, str] = {}
    for number, tenant in enumerate(manifest.tenants):
        found += _check_keys(f"tenants[{number}]", tenant, key_paths)
        found += _check_tenant(f"tenants[{number}]", tenant, checked_with.jobs)
    findings = [Finding(file, path, reason) for path, reason in found]
    return [*findings, *_check_customers(manifest, checked_with.jobs)]


def _check_names(manifest: Manifest) -> Iterator[Found]:
    lists: tuple[tuple[str, Sequence[Route | Service | Tenant]], ...] = (
        ("routes", manifest.routes),
        ("services", manifest.services),
        ("tenants", manifest.tenants),
    )
    for kind, entries in lists:
        first_with: dict[str, int] = {}
        for number, entry in enumerate(entries):
            path = f"{kind}[{number}].name"
            if not entry.name:
                yield path, "empty"
            first = first_with.setdefault(entry.name, number)
            if first != number:
                yield path, f"{entry.name!r} is already the name of {kind}[{first}]"


def _check_matching(
    path: str, route: Route, first_at: dict[tuple[str, str], str]
) -> Iterator[Found]:
    """Check that requests can reach a queue.

    A longer prefix wins.  Of equal ones the first wins; an empty prefix is equal to
    "/", as every path begins with it.
    """
    if not route.host or ":" in route.host:
        yield (
            f"{path}.host",
            "matches no request: the host of a request is not empty and has no port",
        )
    if route.prefix and not route.prefix.startswith("/"):
        yield f"{path}.prefix", "matches no request, as it does not begin with '/'"
    if not route.prefix.endswith("/"):
        yield (
            f"{path}.prefix",
            "does not end with '/', so that 'prefix/ID' has no valid job id",
        )
    first = first_at.setdefault((route.host, route.prefix or "/"), path)
    if first != path:
        yield (
            f"{path}.prefix",
            f"matches no request, hidden by {first} with the same host and prefix",
        )


def _check_service(
    path: str,
    route: Route,
    services: Collection[str],
    server_counts: dict[str, int] | None,
) -> Iterator[Found]:
    if route.service not in services:
        yield f"{path}.service", f"service {route.service!r} is not defined"
    elif server_counts is not None and not server_counts.get(route.service):
        yield (
            f"{path}.service",
            f"service {route.service!r} has no servers, or all of them drain",
        )


def _check_limits(path: str, route: Route) -> Iterator[Found]:
    if route.priority < 0:
        yield f"{path}.priority", "negative; 0 is the most urgent"
    if route.attempts < 1:
        yield f"{path}.attempts", "below 1; 1 is used"
    if route.slo_ms < 0:
        yield f"{path}.slo_ms", "negative, so that short jobs are never on time"
    if route.stretch < 1:
        longest_s = max(route.slo_ms, 0) / (1 - route.stretch) / 1_000
        late = f"jobs longer than {longest_s:.3g} s are" if longest_s else "no job is"
        ever = "never" if longest_s else "ever"
        yield f"{path}.stretch", f"below 1, so that {late} {ever} on time"


def _check_hint(path: str, route: Route) -> Iterator[Found]:
    """Check a queue's advice; a hint that is never valid counts as none."""
    hint = route.hint
    if hint is None:
        return
    for name in ("decide_ms", "each_ms", "valid_ms"):
        if getattr(hint, name) < 0:
            yield f"{path}.hint.{name}", "negative"
    if hint.valid_ms <= 0:
        if hint.decide_ms > 0 or hint.each_ms > 0:
            yield (
                f"{path}.hint.valid_ms",
                "not above 0, so that the queue uses no advice and the rest of the "
                "hint has no effect",
            )
        return
    yield from _check_advice_time(path, route, hint)


def _check_advice_time(path: str, route: Route, hint: Hint) -> Iterator[Found]:
    """Check that the objective leaves time for the advice.

    A job of duration `d` is on time within `stretch * d + slo_ms`, but the advice is
    not part of `d`.
    """
    advice_ms = expected_advice_s(to_queue(route)) * 1_000
    missing_ms = advice_ms - route.slo_ms
    # Half a millisecond covers the rounding of the conversions.
    if missing_ms <= 0.5:
        return
    reason = f"shorter than the time that the advice takes ({advice_ms:.0f} ms)"
    if route.stretch > 1:
        shortest_s = missing_ms / (route.stretch - 1) / 1_000
        effect = f"jobs shorter than {shortest_s:.3g} s are never on time"
    else:
        effect = "no job is ever on time"
    yield f"{path}.slo_ms", f"{reason}; {effect}"


def _check_use(path: str, service: Service, used: Collection[str]) -> Iterator[Found]:
    if service.name not in used:
        yield path, f"no queue uses service {service.name!r}"
    if not service.health_path.startswith("/"):
        yield f"{path}.health_path", "does not begin with '/'"


def _check_keys(
    path: str, tenant: Tenant, key_paths: dict[str, str]
) -> Iterator[Found]:
    """Check the keys of a customer; no reason contains a key."""
    if not tenant.keys:
        yield f"{path}.keys", "no key, so that no request counts for this customer"
    for number, key in enumerate(tenant.keys):
        key_path = f"{path}.keys[{number}]"
        if not key:
            yield key_path, "an empty key matches no request"
            continue
        first = key_paths.setdefault(key, key_path)
        if first != key_path:
            yield key_path, f"the same key as {first}"


def _check_tenant(
    path: str, tenant: Tenant, jobs: Sequence[tuple[str, JobSpec]]
) -> Iterator[Found]:
    if tenant.weight <= 0:
        yield (
            f"{path}.weight",
            "not above 0, so that this customer has no share of the capacity",
        )
    for name in AMOUNT_FIELDS:
        if getattr(tenant.cap, name) < 0:
            yield f"{path}.cap.{name}", "negative, so that there is no limit; use 0"
    for file, spec in jobs:
        if spec.customer == tenant.name:
            yield from _check_cap(f"{path}.cap", tenant.cap, file, spec)


def _check_customers(
    manifest: Manifest, jobs: Sequence[tuple[str, JobSpec]]
) -> Iterator[Finding]:
    """Check that the customers of the given jobs are defined."""
    names = {tenant.name for tenant in manifest.tenants}
    for file, spec in jobs:
        if spec.customer not in names:
            reason = f"customer {spec.customer!r} of this job is not defined"
            yield Finding(file, ROOT_PATH, reason)


def _check_cap(path: str, cap: Cap, file: str, spec: JobSpec) -> Iterator[Found]:
    """Check that the cap allows a task of each step, and all tasks of a gang."""
    for number, step in enumerate(spec.steps):
        count = step.count if step.gang else 1
        demand = step.demand * count
        amounts = (demand.cpu_millis, demand.memory_mb, demand.accelerators)
        for name, amount in zip(AMOUNT_FIELDS, amounts, strict=True):
            limit = getattr(cap, name)
            if 0 < limit < amount:
                what = f"the gang of {count} tasks" if step.gang else "a task"
                yield (
                    f"{path}.{name}",
                    f"{limit} is below the {amount} that {what} of steps[{number}] in "
                    f"{file} takes, so that it never starts",
                )
