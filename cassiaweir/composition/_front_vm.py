"""Wires an entry VM on the users' platform: front, peers, election and dispatcher."""

from __future__ import annotations

import random
import sys
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec
from loguru import logger

from cassiaweir.clock import SystemClock
from cassiaweir.dispatch import (
    Advice,
    AdviceCache,
    AdviceCacheFactory,
    Advisor,
    LeaderTerm,
)
from cassiaweir.exceptions import UnavailableError
from cassiaweir.feeds import TableWatch
from cassiaweir.front import AccessChecker, FrontServer, JobDirectory, JobWriter
from cassiaweir.leadership import LEAD_PREFIX, Candidacy, Election, Owner
from cassiaweir.observe import (
    EventLog,
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
from cassiaweir.verdict import Verdict

CONFIGURATION_WAIT = timedelta(milliseconds=800)
LEAD_WAIT = timedelta(milliseconds=500)
LEAD_PAUSE = timedelta(milliseconds=250)
"""The owner row changes often as a sign of life; not each change need be seen."""

MEMBERS_WAIT = timedelta(seconds=10)
OLDEST_READY_VIEW = timedelta(milliseconds=1_800)
"""A VM whose view is older than this asks for no new connections."""

CONNECTIONS_PER_SERVER = 4
MOST_PEERS = 256


class _NoAdvice:
    """Stands in where no advice service is offered."""

    async def advise(
        self, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Raise `UnavailableError`."""
        raise UnavailableError("no advice service", verdict=Verdict.NOT_RUN)


class _PeerAdvisors:
    """Asks the advice service through the other entry VMs."""

    def __init__(self, members: Members, calls: PeerClient) -> None:
        self._members = members
        self._calls = calls

    def addresses(self) -> Sequence[str]:
        """Return the addresses of the other entry VMs."""
        return self._members.addresses()

    async def advise(
        self, address: str, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Return the advice that the machine at `address` gets."""
        return await self._calls.advise(address, step, server_ids, timeout_s)


class _Drain:
    """Keeps the front open while the balancer still sends connections."""

    def __init__(self, front: FrontServer) -> None:
        self._front = front

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Wait until the balancer has noticed."""
        await self._front.drain()


class _FormerLeader:
    """Tells from the members whether a former leader's process was replaced."""

    def __init__(self, watch: TableWatch) -> None:
        self._watch = watch

    def gone(self, owner: Owner) -> bool:
        """Tell whether another process runs on the VM that `owner` led from."""
        row = self._watch.rows.get(f"{MEMBERS_PREFIX}{owner.node}")
        if row is None:
            return False
        member = msgspec.json.decode(row.value)
        return bool(member.get("instance") != owner.instance)


@dataclass(frozen=True, slots=True)
class _StoreAccess:
    """The ways to the store and to the other entry VMs."""

    http: HttpSession
    channels: Channels
    peers: PeerClient
    route: StoreRoute
    store: PlatformStore


@dataclass(frozen=True, slots=True)
class _Views:
    """What a process follows in the store."""

    current: ConfigurationView
    configuration: TableWatch
    lead_rows: TableWatch
    member_rows: TableWatch


def build_front_vm(
    file: LocalSettings, clock: Clock, metrics_port: int | None = None
) -> Process:
    """Return the process of an entry VM as `file` describes it."""
    metrics = Metrics()
    instance = uuid.uuid4().hex[:12]
    events = EventLog(file.node, clock)
    servers_http = HttpSession({}, max_connections_per_address=CONNECTIONS_PER_SERVER)
    access = _open_store(file, clock, metrics)
    views = _open_views(access.store, clock)
    members = Members(
        access.store,
        views.member_rows,
        clock,
        node=file.node,
        instance=instance,
        address=file.peer_address,
        seeds=file.seed_addresses,
        cores=file.cores,
    )
    access.route.use_peers(members)
    advisor = _advisor(file, access.http)
    term = LeaderTerm(
        table=access.store,
        feed=access.store,
        clock=clock,
        configuration=views.current,
        calls=HttpServerClient(servers_http),
        servers_prefix=SERVERS_PREFIX,
        decode_entry=decode_server_entry,
        advice_cache_factory=_advice_cache_factory(
            clock, advisor, members, access.peers
        ),
        former_leader_gone=_FormerLeader(views.member_rows).gone,
        metrics=metrics,
    )
    election = Election(
        access.store,
        views.lead_rows,
        clock,
        access.peers,
        term,
        node=file.node,
        instance=instance,
        address=file.peer_address,
        rng=random.Random(instance),
        candidacy=Candidacy(file.cores, members, access.peers, clock),
    )
    states = JobDirectory(term, access.peers, election, access.store)
    front = _build_front(file, clock, metrics, access, views, states)
    servicer = NodeServicer(term, advisor, access.route)
    parts: list[Component] = [
        access.http,
        servers_http,
        access.channels,
        access.route,
        RpcServer(file.peer_address, [servicer.register], events),
        views.configuration,
        views.lead_rows,
        views.member_rows,
        front,
        members,
        election,
        _Drain(front),
    ]
    if metrics_port is not None:
        host = file.front_address.rpartition(":")[0]
        parts.insert(0, MetricsServer(f"{host}:{metrics_port}", metrics))
    return Process(parts, events, on_reload=lambda: logger.info("process_reloaded"))


def _open_store(file: LocalSettings, clock: Clock, metrics: Metrics) -> _StoreAccess:
    http = HttpSession({})
    channels = Channels(MOST_PEERS)
    peers = PeerClient(channels)
    direct = DirectTransport(http, file.store_address)
    route = StoreRoute(direct, peers, clock, metrics)
    return _StoreAccess(http, channels, peers, route, PlatformStore(route))


def _open_views(store: PlatformStore, clock: Clock) -> _Views:
    current = ConfigurationView(MANIFEST_KEY, decode_manifest)
    return _Views(
        current=current,
        configuration=TableWatch(
            store, [MANIFEST_PREFIX], clock, wait=CONFIGURATION_WAIT, listener=current
        ),
        lead_rows=TableWatch(
            store, [LEAD_PREFIX], clock, wait=LEAD_WAIT, pause=LEAD_PAUSE
        ),
        member_rows=TableWatch(store, [MEMBERS_PREFIX], clock, wait=MEMBERS_WAIT),
    )


def _advisor(file: LocalSettings, http: HttpSession) -> Advisor:
    if not file.advice_address:
        return _NoAdvice()
    return HttpAdviceClient(http, file.advice_address)


def _advice_cache_factory(
    clock: Clock, advisor: Advisor, members: Members, peers: PeerClient
) -> AdviceCacheFactory:
    """Return the factory that creates the advice cache of each term."""
    advisors = _PeerAdvisors(members, peers)
    return lambda on_answer: AdviceCache(clock, advisor, advisors, on_answer)


def _build_front(
    file: LocalSettings,
    clock: Clock,
    metrics: Metrics,
    access: _StoreAccess,
    views: _Views,
    states: JobDirectory,
) -> FrontServer:
    configuration = views.configuration
    withdrawal = timedelta(seconds=file.key_withdrawal_s)
    return FrontServer(
        front_address=file.front_address,
        ready_address=file.ready_address,
        access=AccessChecker(views.current, configuration, withdrawal),
        submissions=JobWriter(
            access.store,
            clock,
            states,
            store_unreachable=lambda: access.route.store_unreachable,
        ),
        states=states,
        codec=PlatformJobCodec(),
        clock=clock,
        metrics=metrics,
        is_ready=lambda: configuration.age() < OLDEST_READY_VIEW,
    )


def check_front_file(path: Path | None) -> None:
    """Raise `SettingsError` where the platform's settings file cannot be used."""
    load_local_settings(path or local_settings_path())


def run_front_vm(path: Path | None, metrics_port: int | None = None) -> None:
    """Run an entry VM with the platform's settings file until a signal stops it."""
    file = load_local_settings(path or local_settings_path())
    configure_logs(file.node, "INFO", NonBlockingWriter(sys.stdout.fileno()))
    logger.info("process_starting", node=file.node, store=file.store_address)
    run_process(lambda: build_front_vm(file, SystemClock(), metrics_port))
