"""Wires the components of a scheduler, which owns shards and grants slots."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.composition._common import CommonComponents
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
"""The lease of a slot ends this long after the deadline of the request."""

MAX_WAITING_REQUESTS = 512
"""Limit of the queued requests for slots, for each service, team and urgency."""


class DeferredShards:
    """Returns the owned shards once the shard manager has been set.

    Heartbeats contain the shards of the manager, and the manager is built with the
    peers that send heartbeats.  This class resolves the circular dependency.
    """

    def __init__(self) -> None:
        self.manager: ShardManager | None = None

    def owned(self) -> list[ShardOwner]:
        """Return the shards that this process owns, none before `manager` is set."""
        return list(self.manager.owned()) if self.manager is not None else []


@dataclass(frozen=True, slots=True)
class SchedulerParts:
    """The gRPC services of a scheduler, and its components in start order."""

    registrations: list[Registration]
    components: list[Component]


def scheduler_parts(common: CommonComponents, shards: DeferredShards) -> SchedulerParts:
    """Return the parts of a scheduler, and set the manager of `shards`."""
    settings = common.settings
    manager = _build_manager(common)
    shards.manager = manager
    broker = SlotBroker(
        common.clock,
        max_request_time=settings.gateway_request_timeout,
        margin=SLOT_LEASE_MARGIN,
        queue_limit=MAX_WAITING_REQUESTS,
        share=lambda team: _team_share(common.view, team),
    )
    slots = SlotService(
        broker,
        manager,
        common.vm_list,
        shard_of=common.shard_of,
        gateways=common.gateways,
        vm_poll=settings.platform_vm_poll,
        clock=common.clock,
        events=common.events,
        metrics=common.metrics,
    )
    return SchedulerParts(
        [slots.register, SchedulerService(manager).register],
        [slots, manager, _build_retention(common, manager)],
    )


def _build_retention(common: CommonComponents, manager: ShardManager) -> Retention:
    """Return the component that removes rows after their retention period."""
    cfg = common.settings
    options = RetentionOptions(
        jobs=cfg.retention_jobs,
        claims=cfg.retention_claims,
        watch=cfg.retention_watch,
        bundles=cfg.retention_bundles,
        rows_per_second=cfg.retention_rows_per_second,
    )
    return Retention(
        common.table,
        manager,
        common.shard_names(),
        options,
        clock=common.clock,
        events=common.events,
        metrics=common.metrics,
    )


def _build_manager(common: CommonComponents) -> ShardManager:
    """Return the manager that acquires shards and runs those that it owns."""
    cfg = common.settings
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
    workers = HttpWorkers(common.session)

    def build_runner(lease: ShardLease) -> ShardRunner:
        health = WorkerHealth()
        return ShardRunner(
            lease,
            table=common.table,
            committer=common.commits,
            vm_list=common.vm_list,
            workers=workers,
            planner=FairPlanner(is_poisoned=health.is_poisoned),
            clock=common.clock,
            events=common.events,
            options=runner_options,
            allotments=ShardAllotments(
                lease,
                table=common.table,
                view=common.view,
                clock=common.clock,
                events=common.events,
            ),
            health=health,
        )

    return ShardManager(
        common.shard_names(),
        common.process,
        common.member.address,
        cfg.vm_failure_domain,
        table=common.table,
        clock=common.clock,
        events=common.events,
        options=options,
        renewal=cfg.scheduler_shard_renewal,
        peers=SchedulerPeers(common.member, common.peers, common.clock),
        build_runner=build_runner,
    )


def _team_share(view: TableView, name: str) -> float:
    """Return the share of a team, or 1, the minimum, if the team is not known yet."""
    team = view.team(name)
    return team.share if team is not None else 1
