"""Wires what serves callers."""

from __future__ import annotations

from datetime import timedelta

from cassiaweir.api import GatewayServer, JobApi, RequestApi, admin_blueprints
from cassiaweir.composition._cell import build_cell
from cassiaweir.composition._foundation import Foundation
from cassiaweir.configuration import AuditedTable
from cassiaweir.membership import WorkerSizes
from cassiaweir.process import Component
from cassiaweir.requests import Claims, HttpBackendClient, Router, SlotClient
from cassiaweir.teams import KeyRegistry, KeyUseWriter
from cassiaweir.work import GrpcSchedulerClient, JobManager

UNKNOWN_GATEWAYS = 16
"""How many gateways are assumed to share connections before the rows were read."""

WORKER_SIZES_POLL = timedelta(seconds=10)


def gateway_components(base: Foundation) -> list[Component]:
    """Return the components of a gateway in the order of their start."""
    settings = base.settings
    slots = SlotClient(
        base.peers,
        process=base.process,
        failure_domain=settings.vm_failure_domain,
        clock=base.clock,
        events=base.events,
    )
    backends = HttpBackendClient(
        gateways=lambda: len(base.gateways() or ()) or UNKNOWN_GATEWAYS,
        clock=base.clock,
        vm=settings.vm_name,
    )
    claims = Claims(
        base.table,
        base.commits,
        base.objects,
        process=base.process,
        clock=base.clock,
        events=base.events,
    )
    router = Router(
        slots,
        backends,
        claims,
        clock=base.clock,
        events=base.events,
        metrics=base.metrics,
    )
    requests = RequestApi(
        base.view,
        router,
        max_request_time=settings.gateway_request_timeout,
        clock=base.clock,
    )
    sizes = WorkerSizes(
        base.vm_list,
        base.clock,
        shard_of=base.shard_of,
        poll=WORKER_SIZES_POLL,
    )
    schedulers = GrpcSchedulerClient(base.channels, settings.platform_timeout)
    jobs = JobManager(
        table=base.table,
        directory=base.peers,
        vm_sizes=sizes.of_shard,
        schedulers=schedulers,
        clock=base.clock,
        events=base.events,
        shards=base.shard_names(),
        reaches=slots.reaches,
    )
    cell = build_cell(base, jobs)
    blueprints = [
        requests.blueprint(),
        JobApi(base.view, jobs).blueprint(),
        *admin_blueprints(cell),
    ]
    front = GatewayServer(settings, blueprints, base.events, base.metrics)
    key_uses = KeyUseWriter(
        KeyRegistry(AuditedTable(base.table, base.clock), base.clock),
        base.clock,
        take_uses=base.view.take_uses,
    )
    return [sizes, jobs, backends, slots, router, key_uses, cell.operator_cache, front]
