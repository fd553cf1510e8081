"""The components that the processes of all roles have in common."""

from __future__ import annotations

import secrets

from cassiaweir.administration._vms import AdministeredVmList
from cassiaweir.clock import SystemClock
from cassiaweir.configuration import TableView
from cassiaweir.fleet import shard_names, shard_of
from cassiaweir.membership import CachedVmList, Member, MemberRows, Peers, Role
from cassiaweir.observe import EventLog, Metrics, configure_logs
from cassiaweir.platform import (
    HttpObjectStore,
    HttpTable,
    HttpVmList,
    PlatformSession,
)
from cassiaweir.process import Component, Process
from cassiaweir.rpc._peer import PeerServicer
from cassiaweir.rpc._server import Channels, Registration, RpcServer
from cassiaweir.settings import Settings
from cassiaweir.store import GroupCommit
from cassiaweir.types import OwnedShards, Vm

PROCESS_SUFFIX_BYTES = 4
"""Number of random bytes in a process name, which make it unique."""


def process_name(settings: Settings, role: Role) -> str:
    """Return a name that is unique for each start of a process."""
    return f"{settings.vm_name}.{role}.{secrets.token_hex(PROCESS_SUFFIX_BYTES)}"


class CommonComponents:
    """The components that the processes of all roles have in common.

    These are the clients of the platform, the view of the configuration, the
    membership, events and metrics.  `address` is the host:port of the gRPC server.
    `build_membership` is called once, before `assemble_process`.
    """

    def __init__(self, settings: Settings, role: Role, address: str) -> None:
        self.settings = settings
        self.process = process_name(settings, role)
        configure_logs(self.process, settings.log_level)
        self.clock = SystemClock()
        self.events = EventLog(self.process, self.clock)
        self.metrics = Metrics()
        self.session = PlatformSession(settings.vm_name, settings.platform_timeout)
        self.table = HttpTable(self.session, settings.platform_table, self.clock)
        self.objects = HttpObjectStore(self.session, settings.platform_objects)
        self.platform_vm_list = CachedVmList(
            HttpVmList(self.session, settings.platform_vms),
            self.clock,
            max_age=settings.platform_vm_poll,
        )
        self.vm_list = AdministeredVmList(
            self.platform_vm_list,
            self.table,
            self.events,
            self.clock,
            max_age=settings.platform_vm_poll,
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

    def build_membership(self, owned: OwnedShards | None = None) -> None:
        """Build the membership; `owned` returns the shards that this process owns."""
        self.rows = MemberRows(
            self.member,
            self.table,
            self.events,
            self.clock,
            alive_within=lambda process, age: self.peers.alive_within(process, age),
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
            seeds=lambda: self.settings.cell_seeds,
        )
        self.peer_service = PeerServicer(
            self.peers,
            self.view,
            self.events,
            self.metrics,
            self.clock,
            state=self.describe_state,
        )

    def describe_state(self) -> str:
        """Return versions, view age and known shard owners as text for operators."""
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

    def gateways(self) -> list[str] | None:
        """Return the names of all gateway processes, None until rows are scanned."""
        if not self.rows.scanned:
            return None
        return [
            member.process
            for member in (self.member, *self.rows.members())
            if Role.GATEWAY in member.role.included_roles
        ]

    def shard_names(self) -> list[str]:
        """Return the names of all shards of the cell."""
        cfg = self.settings
        return shard_names(cfg.cell_failure_domains, cfg.scheduler_shards_per_domain)

    def shard_of(self, vm: Vm) -> str:
        """Return the shard that `vm` belongs to."""
        return shard_of(vm, self.settings.scheduler_shards_per_domain)

    def assemble_process(
        self, registrations: list[Registration], components: list[Component]
    ) -> Process:
        """Return the process; `components` start after the components of this class.

        `registrations` add the gRPC services of the role; `Peer` is always served.
        """
        services = [self.peer_service.register, *registrations]
        rpc = RpcServer(
            self.member.address,
            services,
            self.events,
            max_connections=self.settings.rpc_max_connections,
        )
        common_components: list[Component] = [
            self.session,
            self.commits,
            self.channels,
            rpc,
            self.view,
            self.rows,
            self.peers,
        ]
        return Process(
            common_components + components,
            self.events,
            on_stopping=self.peers.mark_leaving,
        )
