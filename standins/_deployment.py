"""The TOML file that describes the services and VMs of a simulated platform.

Each service listens on the base port plus a fixed offset; workers and backend servers
count up from the first offset of their kind.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from cassiaweir.types import Resources, Vm, VmRole, VmState

CONTROL_OFFSET = 0
TABLE_OFFSET = 1
OBJECTS_OFFSET = 2
VMS_OFFSET = 3
BALANCER_OFFSET = 4
BALANCER_CONTROL_OFFSET = 5
FIRST_WORKER_OFFSET = 100
FIRST_BACKEND_OFFSET = 400


class EntryVm(msgspec.Struct, forbid_unknown_fields=True):
    """An entry VM, whose gateway serves callers on `address`."""

    name: str
    failure_domain: str
    address: str


class Deployment(msgspec.Struct, forbid_unknown_fields=True):
    """The worker VMs and backend servers of one organisation.

    VMs are assigned to the failure domains round-robin.  Each `workers_per_rack`
    consecutive workers of a failure domain share a rack.  `service` is the one that
    all backend servers serve.
    """

    name: str
    failure_domains: list[str]
    workers: int = 24
    workers_per_rack: int = 8
    worker_cpu_millis: int = 16_000
    worker_memory_mb: int = 65_536
    worker_accelerators: int = 0
    workers_fence: bool = True
    service: str = ""
    backends: int = 24
    backend_slots: int = 8
    backend_connections: int = 64
    entries: list[EntryVm] = []


class PlatformFile(msgspec.Struct, forbid_unknown_fields=True):
    """All deployments of one cell, served on `host` from `base_port` upwards.

    Changes of VMs show in the VM list after `vm_lag_ms`; workers report the usage of
    a task from `usage_lag_ms` after its start.
    """

    deployments: list[Deployment]
    host: str = "127.0.0.1"
    base_port: int = 7000
    vm_lag_ms: int = 1000
    usage_lag_ms: int = 2000

    @classmethod
    def load(cls, path: Path) -> PlatformFile:
        """Read the TOML file at `path`."""
        return msgspec.toml.decode(path.read_bytes(), type=cls)

    def address(self, offset: int) -> str:
        """Return the address at `offset` from the base port."""
        return f"{self.host}:{self.base_port + offset}"

    def vms(self) -> Iterator[tuple[Deployment, Vm]]:
        """Yield each VM with its deployment; ports are assigned in this order."""
        worker_offset = FIRST_WORKER_OFFSET
        backend_offset = FIRST_BACKEND_OFFSET
        for deployment in self.deployments:
            for index in range(deployment.workers):
                address = self.address(worker_offset)
                yield deployment, _worker_vm(deployment, index, address)
                worker_offset += 1
            for index in range(deployment.backends):
                address = self.address(backend_offset)
                yield deployment, _backend_vm(deployment, index, address)
                backend_offset += 1
            for entry in deployment.entries:
                yield deployment, _entry_vm(entry)

    def gateways(self) -> list[str]:
        """Return the gateway addresses of all entry VMs."""
        return [
            entry.address
            for deployment in self.deployments
            for entry in deployment.entries
        ]


def _worker_vm(deployment: Deployment, index: int, address: str) -> Vm:
    domains = deployment.failure_domains
    domain = domains[index % len(domains)]
    position = index // len(domains)
    name = f"{domain}-worker-{position}"
    return Vm(
        name=name,
        role=VmRole.WORKER,
        address=address,
        failure_domain=domain,
        rack=f"{domain}-rack-{position // deployment.workers_per_rack}",
        incarnation=f"{name}.0",
        state=VmState.LIVE,
        capacity=Resources(
            deployment.worker_cpu_millis,
            deployment.worker_memory_mb,
            deployment.worker_accelerators,
        ),
    )


def _backend_vm(deployment: Deployment, index: int, address: str) -> Vm:
    domains = deployment.failure_domains
    domain = domains[index % len(domains)]
    name = f"{domain}-backend-{index // len(domains)}"
    return Vm(
        name=name,
        role=VmRole.BACKEND,
        address=address,
        failure_domain=domain,
        rack=f"{domain}-rack-0",
        incarnation=f"{name}.0",
        state=VmState.LIVE,
        service=deployment.service,
        slots=deployment.backend_slots,
    )


def _entry_vm(entry: EntryVm) -> Vm:
    return Vm(
        name=entry.name,
        role=VmRole.ENTRY,
        address=entry.address,
        failure_domain=entry.failure_domain,
        rack="",
        incarnation=f"{entry.name}.0",
        state=VmState.LIVE,
    )
