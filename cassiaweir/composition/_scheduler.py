"""Wires what owns shards and grants slots."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.composition._foundation import Foundation
from cassiaweir.configuration import TableView
from cassiaweir.fleet import (
    DriverOptions,
    LeaseOptions,
    RunnerOptions,
    SchedulerService,
    ShardLease,
    ShardManager,
    ShardRunner,
)
from cassiaweir.membership import SchedulerPeers
from cassiaweir.placement import FairPlanner, WorkerHealth
from cassiaweir.platform import HttpWorkers
from cassiaweir.process import Component
from cassiaweir.requests import SlotBroker, SlotService
from cassiaweir.retention import Retention, RetentionOptions
from cassiaweir.rpc._server import Registration
from cassiaweir.teams import ShardAllotments
from cassiaweir.types import ShardOwner

SLOT_LEASE_MARGIN = timedelta(seconds=1)
MOST_WAITING_REQUESTS = 512


class DeferredShards:
    """Breaks the circle between the manager of shards and the heartbeats."""

    def __init__(self) -> None:
        self.manager: ShardManager | None = None

    def owned(self) -> list[ShardOwner]:
        """Return the shards that this process owns."""
        return list(self.manager.owned()) if self.manager is not None else []


@dataclass(frozen=True, slots=True)
class SchedulerParts:
    """The gRPC services of a scheduler, and its components in order of start."""

    registrations: list[Registration]
    components: list[Component]


def scheduler_parts(base: Foundation, shards: DeferredShards) -> SchedulerParts:
    """Return the parts of a scheduler; `shards` learns of what it owns."""
    settings = base.settings
    manager = _build_manager(base)
    shards.manager = manager
    broker = SlotBroker(
        base.clock,
        max_request_time=settings.gateway_request_timeout,
        margin=SLOT_LEASE_MARGIN,
        queue_limit=MOST_WAITING_REQUESTS,
        share=lambda team: _share(base.view, team),
    )
    slots = SlotService(
        broker,
        manager,
        base.vm_list,
        shard_of=base.shard_of,
        gateways=base.gateways,
        vm_poll=settings.platform_vm_poll,
        clock=base.clock,
        events=base.events,
        metrics=base.metrics,
    )
    return SchedulerParts(
        [slots.register, SchedulerService(manager).register],
        [slots, manager, _build_retention(base, manager)],
    )


def _build_retention(base: Foundation, manager: ShardManager) -> Retention:
    """Wire the removal of old rows."""
    cfg = base.settings
    options = RetentionOptions(
        jobs=cfg.retention_jobs,
        claims=cfg.retention_claims,
        watch=cfg.retention_watch,
        bundles=cfg.retention_bundles,
        rows_per_second=cfg.retention_rows_per_second,
    )
    return Retention(
        base.table,
        manager,
        base.shard_names(),
        options,
        clock=base.clock,
        events=base.events,
        metrics=base.metrics,
    )


def _build_manager(base: Foundation) -> ShardManager:
    """Wire the ownership of shards and what runs each of them."""
    cfg = base.settings
    options = LeaseOptions(
        lease=cfg.scheduler_shard_lease,
        clock_drift=cfg.scheduler_clock_drift,
        autonomy=cfg.scheduler_autonomy,
        workers_fence=cfg.scheduler_workers_fence,
    )
    driver_options = DriverOptions(
        task_lease=cfg.scheduler_task_lease,
        task_renewal=cfg.scheduler_task_renewal,
        command_expiry=cfg.scheduler_command_expiry,
        clock_drift=cfg.scheduler_clock_drift,
    )
    runner_options = RunnerOptions(
        lease=options,
        driver=driver_options,
        shards_per_domain=cfg.scheduler_shards_per_domain,
        vm_poll=cfg.platform_vm_poll,
    )
    workers = HttpWorkers(base.session)

    def build_runner(lease: ShardLease) -> ShardRunner:
        health = WorkerHealth()
        return ShardRunner(
            lease,
            table=base.table,
            committer=base.commits,
            vm_list=base.vm_list,
            workers=workers,
            planner=FairPlanner(is_poisoned=health.is_poisoned),
            clock=base.clock,
            events=base.events,
            options=runner_options,
            allotments=ShardAllotments(
                lease,
                table=base.table,
                view=base.view,
                clock=base.clock,
                events=base.events,
            ),
            health=health,
        )

    return ShardManager(
        base.shard_names(),
        base.process,
        base.member.address,
        cfg.vm_failure_domain,
        table=base.table,
        clock=base.clock,
        events=base.events,
        options=options,
        renewal=cfg.scheduler_shard_renewal,
        peers=SchedulerPeers(base.member, base.peers, base.clock),
        build_runner=build_runner,
    )


def _share(view: TableView, name: str) -> float:
    """Return the share of a team; teams that are not known yet get the least."""
    team = view.team(name)
    return team.share if team is not None else 1
