"""One deployment as processes on loopback: stand-ins and entry VMs."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import tomli_w

from prove.processes import ManagedProcess

FIRST_BASE_PORT = 10_000
LAST_BASE_PORT = 31_000
PORTS_PER_RUN = 1_000
ENTRY_OFFSET = 700
PORTS_PER_ENTRY_VM = 10
READY_ATTEMPTS = 300
READY_INTERVAL_SECONDS = 0.1
CONTROL_OFFSET = 0
TABLE_OFFSET = 1
OBJECTS_OFFSET = 2
VMS_OFFSET = 3
BALANCER_OFFSET = 4

_claimed_blocks: list[socket.socket] = []


@dataclass(frozen=True, slots=True)
class Layout:
    """What a run consists of; `entry_vms` counts entry VMs a failure domain.

    `without` names a mechanism that the entry VMs run without; see `prove.without`.
    """

    deployment: str
    service: str
    failure_domains: Sequence[str]
    entry_vms: int = 2
    workers: int = 24
    workers_per_rack: int = 8
    backends: int = 24
    workers_fence: bool = True
    roles: Sequence[str] = ("entry",)
    seeds: bool = True
    overrides: Sequence[str] = ()
    without: str = ""


SICILIA_EST = Layout(
    deployment="sicilia-est",
    service="inventory",
    failure_domains=("augusta", "priolo", "milazzo"),
)
PACIFICO_NORTE = Layout(
    deployment="pacifico-norte",
    service="settlement",
    failure_domains=("mazatlan", "guaymas", "ensenada", "la-paz"),
    workers_per_rack=6,
)


@dataclass(slots=True)
class EntryVmProcesses:
    """The processes of an entry VM by role, and where callers reach it."""

    name: str
    failure_domain: str
    http: str
    rpc: dict[str, str]
    processes: dict[str, ManagedProcess]

    def serving(self, role: str) -> ManagedProcess:
        """Return the process that fulfils `role` on this VM."""
        return self.processes.get(role) or self.processes["entry"]


@dataclass(slots=True)
class Cluster:
    """Starts and stops all processes of a layout; logs go to `folder`."""

    layout: Layout
    folder: Path
    base_port: int = field(default_factory=lambda: find_base_port())
    platform: ManagedProcess = field(init=False)
    entry_vms: dict[str, EntryVmProcesses] = field(init=False)

    def __post_init__(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.entry_vms = {
            vm.name: vm for vm in map(self._entry_vm, range(self._entry_count()))
        }
        self.platform = self._platform()

    def address(self, offset: int) -> str:
        """Return the address at `offset` from the base port."""
        return f"127.0.0.1:{self.base_port + offset}"

    @property
    def balancer(self) -> str:
        """The address that callers use."""
        return self.address(BALANCER_OFFSET)

    @property
    def control(self) -> str:
        """The address of the stand-ins' control port."""
        return self.address(CONTROL_OFFSET)

    def processes(self) -> list[ManagedProcess]:
        """Return the processes of all entry VMs."""
        return [
            process
            for vm in self.entry_vms.values()
            for process in vm.processes.values()
        ]

    def rpc_addresses(self) -> list[str]:
        """Return the gRPC addresses of the processes that run."""
        return [
            vm.rpc[role]
            for vm in self.entry_vms.values()
            for role, process in vm.processes.items()
            if process.running
        ]

    async def start(self) -> None:
        """Start everything and wait until each gateway is ready."""
        await self.start_platform()
        await self.start_entry_vms()

    async def start_platform(self) -> None:
        """Start the stand-ins and wait until they answer."""
        await self.platform.start()
        await wait_for_ok(f"http://{self.control}/v1/ledger")

    async def start_entry_vms(self) -> None:
        """Start all gateways and schedulers and wait until they are ready."""
        for process in self.processes():
            await process.start()
        await asyncio.gather(*map(wait_for_listener, self.rpc_addresses()))
        for vm in self.entry_vms.values():
            if vm.serving("gateway").running:
                await wait_for_ok(f"http://{vm.http}/ready")

    async def stop(self) -> list[int]:
        """Stop everything; return the exit statuses of gateways and schedulers."""
        running = [process for process in self.processes() if process.running]
        for process in running:
            process.thaw()
        statuses = await asyncio.gather(*(process.stop() for process in running))
        if self.platform.running:
            await self.platform.stop()
        return list(statuses)

    async def kill(self) -> None:
        """End everything that still runs, without notice."""
        for process in (*self.processes(), self.platform):
            if process.running:
                await process.kill()

    def _entry_count(self) -> int:
        return self.layout.entry_vms * len(self.layout.failure_domains)

    def _entry_vm(self, index: int) -> EntryVmProcesses:
        domains = self.layout.failure_domains
        domain = domains[index % len(domains)]
        name = f"{domain}-{index // len(domains) + 1}"
        port = self.base_port + ENTRY_OFFSET + index * PORTS_PER_ENTRY_VM
        addresses = [f"127.0.0.1:{port + offset}" for offset in range(3)]
        return EntryVmProcesses(
            name=name,
            failure_domain=domain,
            http=addresses[0],
            rpc={
                role: addresses[1] if role == "gateway" else addresses[2]
                for role in self.layout.roles
            },
            processes={
                role: self._role(role, name, domain, addresses)
                for role in self.layout.roles
            },
        )

    def _role(
        self, role: str, name: str, domain: str, addresses: Sequence[str]
    ) -> ManagedProcess:
        layout = self.layout
        settings = [
            f"vm.name={name}",
            f"vm.failure_domain={domain}",
            f"vm.deployment={layout.deployment}",
            f"gateway.listen={addresses[0]}",
            f"gateway.rpc={addresses[1]}",
            f"scheduler.rpc={addresses[2]}",
            f"scheduler.workers_fence={str(layout.workers_fence).lower()}",
            f"platform.table={self.address(TABLE_OFFSET)}",
            f"platform.objects={self.address(OBJECTS_OFFSET)}",
            f"platform.vms={self.address(VMS_OFFSET)}",
            f"cell.failure_domains={','.join(layout.failure_domains)}",
            *layout.overrides,
        ]
        if layout.seeds:
            settings.append(f"cell.seeds={self.address(ENTRY_OFFSET + 2)}")
        arguments = ["cassiaweir", role]
        if layout.without:
            arguments = ["prove.without", layout.without, *arguments]
        for text in settings:
            arguments += ["--set", text]
        return ManagedProcess(
            f"{name}.{role}", arguments, self.folder / f"{name}.{role}.log"
        )

    def _platform(self) -> ManagedProcess:
        path = self.folder / "platform.toml"
        path.write_text(tomli_w.dumps(self._platform_document()), encoding="utf-8")
        arguments = ["standins", "platform", "--deployment", str(path)]
        return ManagedProcess("platform", arguments, self.folder / "platform.log")

    def _platform_document(self) -> dict[str, object]:
        layout = self.layout
        entries = [
            {
                "name": vm.name,
                "failure_domain": vm.failure_domain,
                "address": vm.http,
            }
            for vm in self.entry_vms.values()
        ]
        deployment = {
            "name": layout.deployment,
            "service": layout.service,
            "failure_domains": list(layout.failure_domains),
            "workers": layout.workers,
            "workers_per_rack": layout.workers_per_rack,
            "backends": layout.backends,
            "workers_fence": layout.workers_fence,
            "entries": entries,
        }
        return {"base_port": self.base_port, "deployments": [deployment]}


def find_base_port() -> int:
    """Return the first port of a block that no other run uses now.

    The last port of the block stays bound while this process lives, so that two runs
    that start at once get different blocks.
    """
    bases = list(range(FIRST_BASE_PORT, LAST_BASE_PORT, PORTS_PER_RUN))
    turn = os.getpid() % len(bases)
    for base in (*bases[turn:], *bases[:turn]):
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", base + PORTS_PER_RUN - 1))
            _require_free(base + CONTROL_OFFSET)
        except OSError:
            claim.close()
            continue
        _claimed_blocks.append(claim)
        return base
    raise RuntimeError("every block of ports is in use")


def _require_free(port: int) -> None:
    """Raise `OSError` where somebody listens on `port`."""
    with socket.socket() as probe:
        # Connections of an earlier run that linger do no harm.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", port))


async def wait_for_listener(address: str) -> None:
    """Wait until `address` accepts connections, or raise `TimeoutError`."""
    host, _, port = address.rpartition(":")
    for _ in range(READY_ATTEMPTS):
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(READY_INTERVAL_SECONDS)
            continue
        writer.close()
        return
    raise TimeoutError(f"{address} never accepted a connection")


async def wait_for_ok(url: str) -> None:
    """Ask `url` until it answers with status 200, or raise `TimeoutError`."""
    async with aiohttp.ClientSession() as session:
        for _ in range(READY_ATTEMPTS):
            try:
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(READY_INTERVAL_SECONDS)
    raise TimeoutError(f"{url} never answered with status 200")
