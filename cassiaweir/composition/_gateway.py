"""Wires the components of a gateway, which serves the HTTP API to customers."""

from __future__ import annotations

from datetime import timedelta

from cassiaweir.api import GatewayServer, JobApi, RequestApi, admin_blueprints
from cassiaweir.composition._cell import build_cell
from cassiaweir.composition._common import CommonComponents
from cassiaweir.configuration import AuditedTable
from cassiaweir.membership import WorkerSizes
from cassiaweir.process import Component
from cassiaweir.requests import Claims, HttpBackendClient, Router, SlotClient
from cassiaweir.teams import KeyRegistry, KeyUseWriter
from cassiaweir.work import GrpcSchedulerClient, JobManager

ASSUMED_GATEWAYS = 16
"""The number of gateways assumed until the member rows have been read.

The connections that a backend server accepts are divided among the gateways.
"""

WORKER_SIZES_POLL_INTERVAL = timedelta(seconds=10)


def gateway_components(common: CommonComponents) -> list[Component]:
    """Return the components of a gateway in start order."""
    settings = common.settings
    slots = SlotClient(
        common.peers,
        process=common.process,
        failure_domain=settings.vm_failure_domain,
        clock=common.clock,
        events=common.events,
    )
    backends = HttpBackendClient(
        gateways=lambda: len(common.gateways() or ()) or ASSUMED_GATEWAYS,
        clock=common.clock,
        vm=settings.vm_name,
    )
    claims = Claims(
        common.table,
        common.commits,
        common.objects,
        process=common.process,
        clock=common.clock,
        events=common.events,
    )
    router = Router(
        slots,
        backends,
        claims,
        clock=common.clock,
        events=common.events,
        metrics=common.metrics,
    )
    requests = RequestApi(
        common.view,
        router,
        max_request_time=settings.gateway_request_timeout,
        clock=common.clock,
    )
    sizes = WorkerSizes(
        common.vm_list,
        common.clock,
        shard_of=common.shard_of,
        poll=WORKER_SIZES_POLL_INTERVAL,
    )
    schedulers = GrpcSchedulerClient(common.channels, settings.platform_timeout)
    jobs = JobManager(
        table=common.table,
        directory=common.peers,
        vm_sizes=sizes.of_shard,
        schedulers=schedulers,
        clock=common.clock,
        events=common.events,
        shards=common.shard_names(),
        reaches=slots.reaches,
    )
    cell = build_cell(common, jobs)
    blueprints = [
        requests.blueprint(),
        JobApi(common.view, jobs).blueprint(),
        *admin_blueprints(cell),
    ]
    gateway_server = GatewayServer(settings, blueprints, common.events, common.metrics)
    key_uses = KeyUseWriter(
        KeyRegistry(AuditedTable(common.table, common.clock), common.clock),
        common.clock,
        take_uses=common.view.take_uses,
    )
    return [
        sizes,
        jobs,
        backends,
        slots,
        router,
        key_uses,
        cell.operator_cache,
        gateway_server,
    ]
