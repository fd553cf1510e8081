"""The composition root: builds and runs the process of each role.

Modules are imported inside functions, so that a process loads only what its role needs.
This saves memory and shortens the start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiaweir.membership import Role
    from cassiaweir.process import Process
    from cassiaweir.settings import Settings

__all__ = ["build_process", "run_role"]


def run_role(settings: Settings, role: Role) -> None:
    """Run a process of `role` until a signal stops it."""
    from cassiaweir.process import run_process

    run_process(lambda: build_process(settings, role))


def build_process(settings: Settings, role: Role) -> Process:
    """Return a process of `role` with all its components, not yet started."""
    from cassiaweir.membership import Role

    if role is Role.GATEWAY:
        return _build_gateway(settings)
    return _build_scheduler(settings, role)


def _build_gateway(settings: Settings) -> Process:
    from cassiaweir.composition._common import CommonComponents
    from cassiaweir.composition._gateway import gateway_components
    from cassiaweir.membership import Role

    common = CommonComponents(settings, Role.GATEWAY, settings.gateway_rpc)
    common.build_membership()
    return common.assemble_process([], gateway_components(common))


def _build_scheduler(settings: Settings, role: Role) -> Process:
    from cassiaweir.composition._common import CommonComponents
    from cassiaweir.composition._scheduler import DeferredShards, scheduler_parts
    from cassiaweir.membership import Role

    common = CommonComponents(settings, role, settings.scheduler_rpc)
    shards = DeferredShards()
    common.build_membership(shards)
    parts = scheduler_parts(common, shards)
    components = list(parts.components)
    if role is Role.ENTRY:
        from cassiaweir.composition._gateway import gateway_components

        components += gateway_components(common)
    return common.assemble_process(parts.registrations, components)
