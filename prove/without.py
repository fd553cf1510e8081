"""Runs cassiaweir without one of its mechanisms: `python -m prove.without NAME ...`.

This shows that each checker finds the violation that a mechanism prevents.  The
product has no setting that disables a mechanism: this wrapper patches it in its own
process and passes the rest of the command line to cassiaweir.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from datetime import timedelta
from typing import Any

import aiohttp

from cassiaweir.api import GatewayServer
from cassiaweir.cmdline import main as cassiaweir
from cassiaweir.configuration import TableView
from cassiaweir.configuration._view_content import ViewContent
from cassiaweir.fleet import _worker_registry
from cassiaweir.fleet._lease import ShardLease
from cassiaweir.fleet._takeover_hold import TakeoverHold
from cassiaweir.placement import VmOffer
from cassiaweir.requests import (
    Claims,
    ServiceAnswer,
    ServiceRequest,
    _backends,
    _slot_service,
)
from cassiaweir.requests._claims import Claim, ClaimRow, ClaimState
from cassiaweir.requests._slot_registry import Backend, _ServerState
from cassiaweir.teams import ShardAllotments
from cassiaweir.types import Resources, Row, Vm

UNLIMITED = Resources(2**40, 2**40, 2**40)
FOREVER = timedelta(days=30)


def _drop_hold_back() -> None:
    """Place tasks after a takeover before all workers have answered."""
    _patch(TakeoverHold, "is_over", lambda self, drivers, now: True)
    _patch(TakeoverHold, "former_commands_expire_at", lambda self: self.taken_at)


def _drop_lease_check() -> None:
    """Act as the owner of a shard even after its lease has expired."""
    for name in ("held", "may_start", "may_renew_tasks"):
        _patch(ShardLease, name, lambda self: self.owned)


def _drop_ownership() -> None:
    """Own a shard for ever: ignore the lease, the table and peers."""

    def observe(self: Any, row: Row | None) -> None:
        return

    _drop_lease_check()
    _patch(ShardLease, "observe", observe)
    _patch(ShardLease, "mark_lost", lambda self: None)


def _drop_team_caps() -> None:
    """Let each shard run as many tasks of a team as its VMs can hold."""

    def apply(self: Any, planner: Any, held: Mapping[str, Resources]) -> Sequence[str]:
        for team in self._view.teams():
            planner.set_team(team.name, team.share, UNLIMITED)
        return []

    _patch(ShardAllotments, "apply", apply)


def _drop_vm_capacity() -> None:
    """Place tasks as if each VM had four times its capacity."""

    def offer(vm: Vm) -> VmOffer:
        return VmOffer(vm.name, vm.failure_domain, vm.rack, vm.capacity * 4)

    _patch(_worker_registry, "_offer", offer)


def _drop_claims() -> None:
    """Send non-idempotent requests without a claim in the table."""

    async def claim(self: Any, req: ServiceRequest) -> Claim:
        row = ClaimRow(ClaimState.CLAIMED, "", req.request_id, "", 0)
        return Claim(f"claim/{req.team}/{req.idempotency_key}", 0, row)

    async def finish(self: Any, claim: Claim, answer: ServiceAnswer) -> bool:
        return True

    async def release(self: Any, claim: Claim) -> bool:
        return True

    _patch(Claims, "claim", claim)
    _patch(Claims, "finish", finish)
    _patch(Claims, "release", release)


def _drop_view_age() -> None:
    """Admit keys with a view of any age."""
    init = TableView.__init__

    def start(self: TableView, *args: Any, **options: Any) -> None:
        init(self, *args, **{**options, "age_limit": FOREVER})

    _patch(TableView, "__init__", start)


def _drop_strict_reuse() -> None:
    """Reuse connections after unexpected data, and accept any answer."""
    _patch(_backends._StrictConnector, "_get", aiohttp.TCPConnector._get)
    _patch(_backends, "_check", lambda response, req, body: None)


def _drop_drain() -> None:
    """Close all connections at the signal to stop, without draining."""

    async def stop(self: Any) -> None:
        self._abort()

    _patch(GatewayServer, "stop", stop)


def _drop_slot_grants() -> None:
    """Grant slots that are in use."""
    _patch(_ServerState, "free", property(lambda self: self.backend.slots))


def _drop_leaving() -> None:
    """Grant slots of backend servers that are leaving or not usable now."""
    backend_of = _slot_service._backend_of

    def live_backend(vm: Vm, shard: str) -> Backend:
        return replace(backend_of(vm, shard), leaving=False)

    _patch(_slot_service, "_backend_of", live_backend)
    _patch(_ServerState, "usable", lambda self, now: self.free > 0)


def _drop_version_order() -> None:
    """Install any version that a peer or the table sends, older ones included."""

    def is_behind(self: TableView, bundle_version: int, keys_version: int) -> bool:
        return bundle_version != self.bundle_version

    def export_newer(self: Any, bundle_version: int, keys_version: int) -> ViewContent:
        fresh_at = min(self._bundle_fresh_at, self._keys_fresh_at)
        return ViewContent(
            self._bundle_version,
            self._bundle,
            self._keys_version,
            self._keys,
            fresh_at,
        )

    def install(self: Any, content: ViewContent) -> None:
        if content.bundle is not None:
            self._install_bundle(content.bundle_version, content.bundle)
        if content.keys is not None:
            self._install_keys(content.keys_version, content.keys)
        self._bundle_fresh_at = max(self._bundle_fresh_at, content.fresh_at)
        self._keys_fresh_at = max(self._keys_fresh_at, content.fresh_at)

    _patch(TableView, "is_behind", is_behind)
    _patch(TableView, "export_newer", export_newer)
    _patch(TableView, "install", install)


def _patch(owner: object, name: str, value: object) -> None:
    """Replace an attribute; raise if it does not exist, as that has no effect."""
    if not hasattr(owner, name):
        raise AttributeError(f"{owner} has no attribute {name} to replace")
    setattr(owner, name, value)


MECHANISMS: dict[str, Callable[[], None]] = {
    "hold-back": _drop_hold_back,
    "lease-check": _drop_lease_check,
    "ownership": _drop_ownership,
    "team-caps": _drop_team_caps,
    "vm-capacity": _drop_vm_capacity,
    "claims": _drop_claims,
    "view-age": _drop_view_age,
    "strict-reuse": _drop_strict_reuse,
    "drain": _drop_drain,
    "leaving": _drop_leaving,
    "slot-grants": _drop_slot_grants,
    "version-order": _drop_version_order,
}


def main(arguments: Sequence[str]) -> None:
    """Disable the mechanism that the first argument names and run cassiaweir."""
    name, program, *rest = arguments
    if program != "cassiaweir" or name not in MECHANISMS:
        raise SystemExit(
            f"expected one of {', '.join(MECHANISMS)}, then cassiaweir; "
            f"got {name} {program}"
        )
    MECHANISMS[name]()
    cassiaweir(args=rest, prog_name="cassiaweir")


if __name__ == "__main__":
    main(sys.argv[1:])
