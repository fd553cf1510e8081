"""Wires what serves callers."""

from __future__ import annotations

from datetime import timedelta

from cassiaweir.administration._processes import ProcessAddress, ProcessProbe
from cassiaweir.api import HttpFront, JobApi, RequestApi, admin_blueprints
from cassiaweir.composition._foundation import Foundation
from cassiaweir.configuration import AuditedTable
from cassiaweir.facade import Cell, CellSources
from cassiaweir.fleet import shard_names
from cassiaweir.membership import Collector
from cassiaweir.platform import WorkerSizes
from cassiaweir.process import Component
from cassiaweir.requests import BackendCaller, Claims, Router, SlotClient
from cassiaweir.work import SchedulerClient, Submission

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
    backends = BackendCaller(
        gateways=lambda: 1 + len(base.gateways()), clock=base.clock
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
        longest=settings.gateway_request_timeout,
        clock=base.clock,
    )
    sizes = WorkerSizes(
        base.vm_list,
        base.clock,
        shard_of=base.shard_of,
        poll=WORKER_SIZES_POLL,
    )
    schedulers = SchedulerClient(base.channels, settings.platform_timeout)
    jobs = Submission(
        table=base.table,
        directory=base.peers,
        vm_sizes=sizes.of_shard,
        schedulers=schedulers,
        clock=base.clock,
        events=base.events,
    )
    blueprints = [
        requests.blueprint(),
        JobApi(base.view, jobs).blueprint(),
        *admin_blueprints(build_cell(base, jobs)),
    ]
    front = HttpFront(settings, blueprints, base.events, base.metrics)
    return [sizes, jobs, backends, slots, front]


def build_cell(base: Foundation, jobs: Submission) -> Cell:
    """Wire what operators may do."""
    settings = base.settings
    sources = CellSources(
        deployment=settings.vm_deployment,
        view=base.view,
        directory=base.peers,
        vm_list=base.platform_vm_list,
        shard_of=base.shard_of,
        shard_names=shard_names(
            settings.cell_failure_domains, settings.scheduler_shards_per_domain
        ),
        probe=ProcessProbe(lambda: _list_processes(base), base.channels),
        events=Collector(base.peers, base.channels, base.events),
        clock=base.clock,
    )
    return Cell(
        sources,
        AuditedTable(base.table, base.clock),
        jobs,
        first_operator_digest=settings.cell_first_operator_digest,
    )


def _list_processes(base: Foundation) -> list[ProcessAddress]:
    """Return every process of the rows, of the heartbeats, and this one."""
    found = {
        known.state.process: ProcessAddress(
            known.state.process,
            known.state.role,
            known.state.vm,
            known.state.failure_domain,
            known.state.address,
        )
        for known in base.peers.processes()
        if not known.state.leaving
    }
    for member in (*base.rows.members(), base.member):
        found[member.process] = ProcessAddress(
            member.process,
            member.role,
            member.vm,
            member.failure_domain,
            member.address,
        )
    return list(found.values())
