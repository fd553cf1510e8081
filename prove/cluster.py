"""Runs one deployment on loopback: the stand-ins and the processes of entry VMs.

An entry VM runs the gateway and the scheduler, in one process for the role `entry`.
The stand-ins simulate the platform, the workers and the backend servers.
"""

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
FIRST_ENTRY_VM_OFFSET = 700
PORTS_PER_ENTRY_VM = 10
READY_ATTEMPTS = 300
READY_INTERVAL_SECONDS = 0.1
CONTROL_OFFSET = 0
TABLE_OFFSET = 1
OBJECTS_OFFSET = 2
VMS_OFFSET = 3
BALANCER_OFFSET = 4

_block_reservations: list[socket.socket] = []


@dataclass(frozen=True, slots=True)
class Layout:
    """The size and the settings of a deployment.

    `entry_vms` is the number per failure domain, `workers`, `workers_per_rack` and
    `backends` are passed to the stand-ins.  `roles` are the processes of each entry VM,
    `overrides` further settings for them.  `without` names a mechanism that they run
    without; see `prove.without`.
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
    """The processes of an entry VM by role, and the addresses that they listen on."""

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
    """Starts and stops all processes of a layout, and writes their logs to `folder`."""

    layout: Layout
    folder: Path
    base_port: int = field(default_factory=lambda: find_base_port())
    platform: ManagedProcess = field(init=False)
    entry_vms: dict[str, EntryVmProcesses] = field(init=False)

    def __post_init__(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.entry_vms = {
            vm.name: vm
            for vm in map(self._build_entry_vm, range(self._entry_vm_count()))
        }
        self.platform = self._build_platform()

    def address(self, offset: int) -> str:
        """Return the address at `offset` from the base port."""
        return f"127.0.0.1:{self.base_port + offset}"

    @property
    def balancer(self) -> str:
        """The address of the load balancer that callers use."""
        return self.address(BALANCER_OFFSET)

    @property
    def control(self) -> str:
        """The address that controls the stand-ins."""
        return self.address(CONTROL_OFFSET)

    def processes(self) -> list[ManagedProcess]:
        """Return the processes of all entry VMs."""
        return [
            process
            for vm in self.entry_vms.values()
            for process in vm.processes.values()
        ]

    def rpc_addresses(self) -> list[str]:
        """Return the gRPC addresses of the running processes of entry VMs."""
        return [
            vm.rpc[role]
            for vm in self.entry_vms.values()
            for role, process in vm.processes.items()
            if process.running
        ]

    async def start(self) -> None:
        """Start all processes and wait until each gateway is ready."""
        await self.start_platform()
        await self.start_entry_vms()

    async def start_platform(self) -> None:
        """Start the stand-ins and wait until they respond."""
        await self.platform.start()
        await wait_for_ok(f"http://{self.control}/v1/ledger")

    async def start_entry_vms(self) -> None:
        """Start the processes of all entry VMs and wait until they are ready."""
        for process in self.processes():
            await process.start()
        await asyncio.gather(*map(wait_for_listener, self.rpc_addresses()))
        for vm in self.entry_vms.values():
            if vm.serving("gateway").running:
                await wait_for_ok(f"http://{vm.http}/ready")

    async def stop(self) -> list[int]:
        """Stop all processes; return the exit statuses of those of the entry VMs."""
        running = [process for process in self.processes() if process.running]
        for process in running:
            process.thaw()
        statuses = await asyncio.gather(*(process.stop() for process in running))
        if self.platform.running:
            await self.platform.stop()
        return list(statuses)

    async def kill(self) -> None:
        """Kill all processes that still run."""
        for process in (*self.processes(), self.platform):
            if process.running:
                await process.kill()

    def _entry_vm_count(self) -> int:
        return self.layout.entry_vms * len(self.layout.failure_domains)

    def _build_entry_vm(self, index: int) -> EntryVmProcesses:
        domains = self.layout.failure_domains
        domain = domains[index % len(domains)]
        name = f"{domain}-{index // len(domains) + 1}"
        port = self.base_port + FIRST_ENTRY_VM_OFFSET + index * PORTS_PER_ENTRY_VM
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
                role: self._build_role_process(role, name, domain, addresses)
                for role in self.layout.roles
            },
        )

    def _build_role_process(
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
            settings.append(f"cell.seeds={self.address(FIRST_ENTRY_VM_OFFSET + 2)}")
        arguments = ["cassiaweir", role]
        if layout.without:
            arguments = ["prove.without", layout.without, *arguments]
        for text in settings:
            arguments += ["--set", text]
        return ManagedProcess(
            f"{name}.{role}", arguments, self.folder / f"{name}.{role}.log"
        )

    def _build_platform(self) -> ManagedProcess:
        path = self.folder / "platform.toml"
        path.write_text(tomli_w.dumps(self._platform_settings()), encoding="utf-8")
        arguments = ["standins", "platform", "--deployment", str(path)]
        return ManagedProcess("platform", arguments, self.folder / "platform.log")

    def _platform_settings(self) -> dict[str, object]:
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
    """Reserve a block of ports that no other run uses, and return its first port.

    The last port of the block stays bound until this process exits, so that runs that
    start at the same time get different blocks.
    """
    bases = list(range(FIRST_BASE_PORT, LAST_BASE_PORT, PORTS_PER_RUN))
    start = os.getpid() % len(bases)
    for base in (*bases[start:], *bases[:start]):
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", base + PORTS_PER_RUN - 1))
            _check_port_free(base + CONTROL_OFFSET)
        except OSError:
            reservation.close()
            continue
        _block_reservations.append(reservation)
        return base
    raise RuntimeError("no free block of ports: all are used by other runs")


def _check_port_free(port: int) -> None:
    """Raise `OSError` if another socket listens on `port`."""
    with socket.socket() as probe:
        # Connections of an earlier run in TIME_WAIT do not make the port unusable.
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
    raise TimeoutError(
        f"{address} refused the connection in each of {READY_ATTEMPTS} attempts"
    )


async def wait_for_ok(url: str) -> None:
    """Poll `url` until it answers with status 200, or raise `TimeoutError`."""
    async with aiohttp.ClientSession() as session:
        for _ in range(READY_ATTEMPTS):
            try:
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(READY_INTERVAL_SECONDS)
    raise TimeoutError(
        f"{url} did not answer with status 200 in {READY_ATTEMPTS} attempts"
    )
