"""The composition root: wires the parts of each role."""

from __future__ import annotations

import secrets
from datetime import timedelta

from cassiaweir.clock import SystemClock
from cassiaweir.configuration import TableView
from cassiaweir.fleet import (
    DriverTerms,
    LeaseTerms,
    RunnerTerms,
    SchedulerService,
    ShardKeeper,
    ShardLease,
    ShardRunner,
    shard_names,
    shard_of,
)
from cassiaweir.membership import Member, MemberRows, Peers, SchedulerPeers
from cassiaweir.observe import EventLog, Metrics, configure_logs
from cassiaweir.placement import FairPlanner
from cassiaweir.platform import (
    GroupCommit,
    HttpObjectStore,
    HttpTable,
    HttpVmList,
    HttpWorkers,
    PlatformSession,
    SharedVmList,
    WorkerSizes,
)
from cassiaweir.process import Component, Process, run_process
from cassiaweir.rpc._peer import PeerServicer
from cassiaweir.rpc._server import Channels, RpcServer
from cassiaweir.settings import Settings
from cassiaweir.types import OwnedShards, ShardOwner, Vm

PROCESS_SUFFIX_BYTES = 4
GATEWAY = "gateway"
SCHEDULER = "scheduler"
WORKER_SIZES_POLL = timedelta(seconds=10)
SLOT_LEASE_MARGIN = timedelta(seconds=1)
MOST_WAITING_REQUESTS = 512


def process_name(settings: Settings, role: str) -> str:
    """Return a name that no other start of any process has."""
    return f"{settings.vm_name}.{role}.{secrets.token_hex(PROCESS_SUFFIX_BYTES)}"


def run_gateway(settings: Settings) -> None:
    """Run the gateway of an entry VM until a signal stops it."""
    run_process(lambda: build_gateway(settings))


def run_scheduler(settings: Settings) -> None:
    """Run the scheduler of an entry VM until a signal stops it."""
    run_process(lambda: build_scheduler(settings))


class _Foundation:
    """What every process has: platform clients, view, membership, events."""

    def __init__(self, settings: Settings, role: str, address: str) -> None:
        self.settings = settings
        self.role = role
        self.process = process_name(settings, role)
        configure_logs(self.process, settings.log_level)
        self.clock = SystemClock()
        self.events = EventLog(self.process, self.clock)
        self.metrics = Metrics()
        self.session = PlatformSession(settings.vm_name, settings.platform_timeout)
        self.table = HttpTable(self.session, settings.platform_table, self.clock)
        self.objects = HttpObjectStore(self.session, settings.platform_objects)
        self.vm_list = SharedVmList(
            HttpVmList(self.session, settings.platform_vms),
            self.clock,
            longest_age=settings.platform_vm_poll,
        )
        self.commits = GroupCommit(self.table, self.clock, self.metrics)
        self.channels = Channels()
        self.view = TableView(
            self.table,
            self.events,
            self.clock,
            poll=settings.platform_poll,
            age_limit=settings.cell_view_age_limit,
        )
        self.member = Member(
            process=self.process,
            role=role,
            vm=settings.vm_name,
            failure_domain=settings.vm_failure_domain,
            address=address,
        )

    def join(self, owned: OwnedShards | None = None) -> None:
        """Build the membership; `owned` tells the shards of this process."""
        self.rows = MemberRows(
            self.member,
            self.table,
            self.events,
            self.clock,
            heard_within=lambda process, age: self.peers.heard_within(process, age),
        )
        self.peers = Peers(
            self.member,
            self.view,
            self.channels,
            self.events,
            self.clock,
            heartbeat=self.settings.cell_heartbeat,
            members=self.rows.members,
            owned=owned,
        )
        self.peer_service = PeerServicer(
            self.peers,
            self.view,
            self.events,
            self.metrics,
            self.clock,
            state=self.describe,
        )

    def describe(self) -> str:
        """Return the state of the process as text."""
        lines = [
            f"process: {self.process}",
            f"bundle_version: {self.view.bundle_version}",
            f"keys_version: {self.view.keys_version}",
            f"view_age_seconds: {self.view.age().total_seconds():.3f}",
        ]
        lines += [
            f"shard: {owner.shard} owner={owner.process} epoch={owner.epoch}"
            for owner in self.peers.owners()
        ]
        return "\n".join(lines) + "\n"

    def gateways(self) -> list[str]:
        """Return the process ids of the other processes that are gateways."""
        return [
            member.process for member in self.rows.members() if member.role == GATEWAY
        ]


def build_gateway(settings: Settings) -> Process:
    """Wire the gateway."""
    from cassiaweir.api import HttpFront, JobApi, RequestApi
    from cassiaweir.requests import BackendCaller, Claims, Router, SlotClient
    from cassiaweir.work import SchedulerClient, Submission

    base = _Foundation(settings, GATEWAY, settings.gateway_rpc)
    base.join()
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
        shard_of=lambda vm: _shard_of(settings, vm),
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
    blueprints = [requests.blueprint(), JobApi(base.view, jobs).blueprint()]
    front = HttpFront(settings, blueprints, base.events, base.metrics)
    rpc = RpcServer(settings.gateway_rpc, [base.peer_service.register], base.events)
    components: list[Component] = [
        base.session,
        base.commits,
        base.channels,
        rpc,
        base.view,
        base.rows,
        base.peers,
        sizes,
        jobs,
        backends,
        slots,
        front,
    ]
    return Process(components, base.events)


class _OwnedShards:
    """Breaks the circle between the keeper of shards and the heartbeats."""

    def __init__(self) -> None:
        self.keeper: ShardKeeper | None = None

    def owned(self) -> list[ShardOwner]:
        """Return the shards that this process owns."""
        return list(self.keeper.owned()) if self.keeper is not None else []


def build_scheduler(settings: Settings) -> Process:
    """Wire the scheduler."""
    from cassiaweir.requests import SlotBroker, SlotService

    base = _Foundation(settings, SCHEDULER, settings.scheduler_rpc)
    owned = _OwnedShards()
    base.join(owned)
    keeper = _build_keeper(base)
    owned.keeper = keeper
    broker = SlotBroker(
        base.clock,
        longest=settings.gateway_request_timeout,
        margin=SLOT_LEASE_MARGIN,
        queue_limit=MOST_WAITING_REQUESTS,
        share=lambda team: _share(base.view, team),
    )
    slots = SlotService(
        broker,
        keeper,
        base.vm_list,
        shard_of=lambda vm: _shard_of(settings, vm),
        gateways=base.gateways,
        vm_poll=settings.platform_vm_poll,
        clock=base.clock,
        events=base.events,
        metrics=base.metrics,
    )
    rpc = RpcServer(
        settings.scheduler_rpc,
        [
            base.peer_service.register,
            slots.register,
            SchedulerService(keeper).register,
        ],
        base.events,
    )
    components: list[Component] = [
        base.session,
        base.commits,
        base.channels,
        rpc,
        base.view,
        base.rows,
        base.peers,
        slots,
        keeper,
    ]
    return Process(components, base.events)


def _build_keeper(base: _Foundation) -> ShardKeeper:
    """Wire the ownership of shards and what runs each of them."""
    cfg = base.settings
    terms = LeaseTerms(
        lease=cfg.scheduler_shard_lease,
        drift=cfg.scheduler_clock_drift,
        autonomy=cfg.scheduler_autonomy,
        workers_fence=cfg.scheduler_workers_fence,
    )
    driver_terms = DriverTerms(
        task_lease=cfg.scheduler_task_lease,
        task_renewal=cfg.scheduler_task_renewal,
        command_expiry=cfg.scheduler_command_expiry,
        drift=cfg.scheduler_clock_drift,
    )
    runner_terms = RunnerTerms(
        lease=terms,
        driver=driver_terms,
        shards_per_domain=cfg.scheduler_shards_per_domain,
        vm_poll=cfg.platform_vm_poll,
    )
    workers = HttpWorkers(base.session)

    def build_runner(lease: ShardLease) -> ShardRunner:
        return ShardRunner(
            lease,
            table=base.table,
            committer=base.commits,
            vm_list=base.vm_list,
            workers=workers,
            planner=FairPlanner(),
            clock=base.clock,
            events=base.events,
            terms=runner_terms,
        )

    return ShardKeeper(
        shard_names(cfg.cell_failure_domains, cfg.scheduler_shards_per_domain),
        base.process,
        cfg.scheduler_rpc,
        cfg.vm_failure_domain,
        table=base.table,
        clock=base.clock,
        events=base.events,
        terms=terms,
        renewal=cfg.scheduler_shard_renewal,
        peers=SchedulerPeers(base.member, base.peers),
        build_runner=build_runner,
    )


def _shard_of(settings: Settings, vm: Vm) -> str:
    """Return the shard that `vm` belongs to."""
    return shard_of(vm, settings.scheduler_shards_per_domain)


def _share(view: TableView, name: str) -> float:
    """Return the share of a team; teams that are not known yet get the least."""
    team = view.team(name)
    return team.share if team is not None else 1
