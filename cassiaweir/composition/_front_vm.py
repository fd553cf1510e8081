"""Wires the process of an entry VM on the users' platform.

Every entry VM serves the HTTP API and takes part in the election; the elected leader
dispatches the jobs.
"""

from __future__ import annotations

import faulthandler
import random
import sys
import uuid
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from loguru import logger

from cassiaweir.clock import SystemClock
from cassiaweir.composition._front_adapters import (
    DrainOnStop,
    FormerLeaderCheck,
    PeerAdvisors,
    UnavailableAdvisor,
)
from cassiaweir.composition._interference_pages import InterferencePages
from cassiaweir.dispatch import (
    MAX_CALLS_PER_SERVER,
    AdviceCache,
    AdviceCacheFactory,
    Advisor,
    LeaderTerm,
    LeaseLimits,
    ShareAllowance,
)
from cassiaweir.evacuation import EvacuationView, WatchedEvacuations
from cassiaweir.feeds import RowListeners, TableWatch
from cassiaweir.front import (
    AccessChecker,
    FrontServer,
    JobDirectory,
    JobWriter,
    LoadAdmission,
)
from cassiaweir.leadership import LEAD_PREFIX, Candidacy, Election
from cassiaweir.observe import (
    EventLog,
    LoopLagMonitor,
    Metrics,
    NonBlockingWriter,
    configure_logs,
)
from cassiaweir.observe._metrics_server import MetricsServer
from cassiaweir.peers import (
    MEMBERS_PREFIX,
    Members,
    NodeServicer,
    PeerClient,
    StoreRoute,
)
from cassiaweir.platform import (
    EVACUATION_PREFIX,
    MANIFEST_KEY,
    MANIFEST_PREFIX,
    SERVERS_PREFIX,
    DirectTransport,
    HttpAdviceClient,
    HttpServerClient,
    HttpSession,
    LocalSettings,
    PlatformJobCodec,
    PlatformStore,
    decode_manifest,
    decode_server_entry,
    load_local_settings,
    local_settings_path,
)
from cassiaweir.process import Component, Process, run_process
from cassiaweir.queues import ConfigurationView
from cassiaweir.rpc._server import Channels, RpcServer
from cassiaweir.types import Clock

CONFIGURATION_POLL_WAIT = timedelta(milliseconds=800)
"""How long the store may hold back an answer while the configuration is unchanged.

`LEADERSHIP_POLL_WAIT` and `MEMBERS_POLL_WAIT` do so for the owner row and the members.
"""

LEADERSHIP_POLL_WAIT = timedelta(milliseconds=500)
LEADERSHIP_POLL_PAUSE = timedelta(milliseconds=250)
"""Pause between two long polls of the owner row.

The leader rewrites the row frequently to show that it is alive, and not every such
change has to be read.
"""

MEMBERS_POLL_WAIT = timedelta(seconds=10)
MAX_READY_VIEW_AGE = timedelta(milliseconds=1_800)
"""With an older view of the configuration a VM fails readiness checks."""

MAX_PEER_CHANNELS = 256
"""Connections to other entry VMs, and from them."""

MAX_REPORT_BYTES = 4 * 1_048_576
RPC_STOP_GRACE = timedelta(milliseconds=200)
"""Time for calls of peers when a VM stops; long polls on their behalf take longer.

All times of a stop together have to be shorter than the platform's grace time.
"""


@dataclass(frozen=True, slots=True)
class _StoreAccess:
    """The clients of the store and of the other entry VMs."""

    http: HttpSession
    channels: Channels
    peer_client: PeerClient
    route: StoreRoute
    store: PlatformStore


@dataclass(frozen=True, slots=True)
class _Views:
    """The rows of the store that a process watches.

    `configuration` watches the rows that `configuration_view` and `evacuations` read.
    """

    configuration_view: ConfigurationView
    configuration: TableWatch
    evacuations: WatchedEvacuations
    leadership_rows: TableWatch
    member_rows: TableWatch


def build_front_vm(
    settings: LocalSettings, clock: Clock, metrics_port: int | None = None
) -> Process:
    """Return the process of an entry VM as `settings` describes it."""
    metrics = Metrics()
    instance = uuid.uuid4().hex[:12]
    events = EventLog(settings.node, clock)
    servers_http = HttpSession(
        {},
        max_connections_per_address=MAX_CALLS_PER_SERVER,
        max_response_bytes=MAX_REPORT_BYTES,
    )
    access = _open_store(settings, clock, metrics)
    views = _open_views(access.store, clock, metrics)
    members = Members(
        access.store,
        views.member_rows,
        clock,
        node=settings.node,
        instance=instance,
        address=settings.peer_address,
        seeds=settings.seed_addresses,
        cores=settings.cores,
    )
    access.route.use_peers(members)
    advisor = _advisor(settings, access.http)
    term = LeaderTerm(
        table=access.store,
        feed=access.store,
        clock=clock,
        configuration=views.configuration_view,
        calls=HttpServerClient(servers_http),
        servers_prefix=SERVERS_PREFIX,
        decode_entry=decode_server_entry,
        advice_cache_factory=_advice_cache_factory(
            clock, advisor, members, access.peer_client
        ),
        former_leader_gone=FormerLeaderCheck(views.member_rows).was_replaced,
        metrics=metrics,
        failure_domain=settings.failure_domain,
        share_allowance=ShareAllowance(
            settings.share_window_s, settings.share_overage, settings.share_slack
        ),
        evacuations=views.evacuations,
        lease_limits=LeaseLimits(settings.longest_lease, members.all_know_long_leases),
    )
    election = Election(
        access.store,
        views.leadership_rows,
        clock,
        access.peer_client,
        term,
        node=settings.node,
        instance=instance,
        address=settings.peer_address,
        rng=random.Random(instance),
        candidacy=Candidacy(settings.cores, members, access.peer_client, clock),
        metrics=metrics,
    )
    admission = LoadAdmission(
        clock,
        metrics,
        election,
        local_load=term.load,
        enabled=members.all_know_refusals,
    )
    states = JobDirectory(
        term,
        access.peer_client,
        election,
        access.store,
        on_load=admission.update,
        clock=clock,
    )
    front = _build_front(
        settings, clock, metrics, access, views, states, admission, servers_http
    )
    servicer = NodeServicer(term, advisor, access.route, clock)
    components: list[Component] = [
        LoopLagMonitor(clock, metrics),
        access.http,
        servers_http,
        access.channels,
        access.route,
        RpcServer(
            settings.peer_address,
            [servicer.register],
            events,
            stop_grace=RPC_STOP_GRACE,
            max_connections=MAX_PEER_CHANNELS,
        ),
        views.configuration,
        views.leadership_rows,
        views.member_rows,
        front,
        members,
        election,
        DrainOnStop(front),
    ]
    if metrics_port is not None:
        host = settings.front_address.rpartition(":")[0]
        pages = InterferencePages(term).by_request
        address = f"{host}:{metrics_port}"
        limits = settings.http_limits.operators
        components.insert(0, MetricsServer(address, metrics, pages, limits))
    return Process(
        components, events, on_reload=lambda: logger.info("process_reloaded")
    )


def _open_store(
    settings: LocalSettings, clock: Clock, metrics: Metrics
) -> _StoreAccess:
    http = HttpSession({})
    channels = Channels(MAX_PEER_CHANNELS, stop_grace=RPC_STOP_GRACE)
    peer_client = PeerClient(channels, clock)
    direct = DirectTransport(http, settings.store_address)
    route = StoreRoute(direct, peer_client, clock, metrics)
    return _StoreAccess(http, channels, peer_client, route, PlatformStore(route))


def _open_views(store: PlatformStore, clock: Clock, metrics: Metrics) -> _Views:
    configuration_view = ConfigurationView(MANIFEST_KEY, decode_manifest)
    evacuation_view = EvacuationView(EVACUATION_PREFIX, clock, metrics)
    configuration = TableWatch(
        store,
        [MANIFEST_PREFIX],
        clock,
        wait=CONFIGURATION_POLL_WAIT,
        listener=RowListeners([configuration_view, evacuation_view]),
    )
    return _Views(
        configuration_view=configuration_view,
        configuration=configuration,
        evacuations=WatchedEvacuations(evacuation_view, configuration.age),
        leadership_rows=TableWatch(
            store,
            [LEAD_PREFIX],
            clock,
            wait=LEADERSHIP_POLL_WAIT,
            pause=LEADERSHIP_POLL_PAUSE,
        ),
        member_rows=TableWatch(store, [MEMBERS_PREFIX], clock, wait=MEMBERS_POLL_WAIT),
    )


def _advisor(settings: LocalSettings, http: HttpSession) -> Advisor:
    if not settings.advice_address:
        return UnavailableAdvisor()
    return HttpAdviceClient(http, settings.advice_address)


def _advice_cache_factory(
    clock: Clock, advisor: Advisor, members: Members, peer_client: PeerClient
) -> AdviceCacheFactory:
    """Return the factory that creates the advice cache of each term."""
    advisors = PeerAdvisors(members, peer_client)
    return lambda on_answer: AdviceCache(clock, advisor, advisors, on_answer)


def _build_front(
    settings: LocalSettings,
    clock: Clock,
    metrics: Metrics,
    access: _StoreAccess,
    views: _Views,
    states: JobDirectory,
    admission: LoadAdmission,
    servers_http: HttpSession,
) -> FrontServer:
    configuration = views.configuration
    key_withdrawal_time = timedelta(seconds=settings.key_withdrawal_s)
    return FrontServer(
        front_address=settings.front_address,
        ready_address=settings.ready_address,
        access=AccessChecker(
            views.configuration_view, configuration, key_withdrawal_time
        ),
        submissions=JobWriter(
            access.store,
            clock,
            states,
            store_unreachable=lambda: access.route.store_unreachable,
            store_version=lambda: max(
                configuration.version, views.leadership_rows.version
            ),
            max_row_bytes=settings.max_row_bytes,
        ),
        states=states,
        codec=PlatformJobCodec(),
        clock=clock,
        metrics=metrics,
        is_ready=lambda: configuration.age() < MAX_READY_VIEW_AGE,
        admission=admission,
        limits=settings.http_limits,
        server_connections=servers_http.open_connections,
    )


def check_front_settings(path: Path | None) -> None:
    """Raise `SettingsError` if the platform's settings file is missing or invalid."""
    load_local_settings(path or local_settings_path())


def run_front_vm(path: Path | None, metrics_port: int | None = None) -> None:
    """Run the process of an entry VM until a signal stops it.

    `path` is the settings file; without it the platform's default path is used.
    """
    # A process that a library aborts leaves no log line.
    faulthandler.enable()
    settings = load_local_settings(path or local_settings_path())
    configure_logs(settings.node, "INFO", NonBlockingWriter(sys.stdout.fileno()))
    logger.info("process_starting", node=settings.node, store=settings.store_address)
    run_process(lambda: build_front_vm(settings, SystemClock(), metrics_port))
