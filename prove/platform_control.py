"""A client for the control API of the stand-ins, which injects faults."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec

from cassiaweir.platform.wire import VmsAnswer
from cassiaweir.types import Vm, VmRole
from prove.cluster import TABLE_OFFSET, VMS_OFFSET, Cluster
from standins._backend import BackendControl, BackendFaults, BackendStats, Executed
from standins._http import Faults
from standins._ledger import LedgerAnswer
from standins._platform import CutControl, VmFault
from standins._vms import VmAction, VmChange
from standins._worker_service import WorkerControl

ALL_SERVICES = "all"


@dataclass(slots=True)
class PlatformControl:
    """Reads the records of a cluster's stand-ins and sets their faults."""

    cluster: Cluster
    session: aiohttp.ClientSession
    vms: dict[str, Vm] = field(default_factory=dict)

    async def load_vms(self) -> None:
        """Read the list of VMs."""
        raw = await self._get(self.cluster.address(VMS_OFFSET), "/v1/vms")
        listed = msgspec.json.decode(raw, type=VmsAnswer)
        self.vms = {vm.name: vm for vm in listed.vms}

    def names(self, role: VmRole, domain: str = "") -> list[str]:
        """Return the names of the VMs of a role, in one failure domain or in all."""
        return [
            vm.name
            for vm in self.vms.values()
            if vm.role is role and domain in ("", vm.failure_domain)
        ]

    async def ledger(self) -> LedgerAnswer:
        """Return the ledger of all task attempts on all workers."""
        raw = await self._get(self.cluster.control, "/v1/ledger")
        return msgspec.json.decode(raw, type=LedgerAnswer)

    async def executions(self) -> list[Executed]:
        """Return all executions on all backend servers."""
        raw = await self._get(self.cluster.control, "/v1/executions")
        return msgspec.json.decode(raw, type=list[Executed])

    async def backend_stats(self) -> list[BackendStats]:
        """Return the counters of all backend servers."""
        raw = await self._get(self.cluster.control, "/v1/stats")
        return msgspec.json.decode(raw, type=list[BackendStats])

    async def cut(
        self, callers: Sequence[str], services: Sequence[str], *, one_way: bool = False
    ) -> None:
        """Cut entry VMs off from services; with `one_way` only answers are lost."""
        control = CutControl(list(callers), list(services), answers_only=one_way)
        await self._post(self.cluster.control, "/v1/control/cut", control)

    async def heal(self) -> None:
        """End all cuts and faults except the answer faults of backend servers."""
        await self._post(self.cluster.control, "/v1/control/heal", None)

    async def set_table_faults(self, **changes: int) -> None:
        """Change the faults of the table."""
        address = self.cluster.address(TABLE_OFFSET)
        raw = await self._get(address, "/v1/faults")
        faults = msgspec.json.decode(raw, type=Faults)
        changed = msgspec.structs.replace(faults, **changes)
        await self._post(address, "/v1/faults", changed)

    async def hang_vms(self, names: Sequence[str]) -> None:
        """Let VMs answer no calls."""
        for name in names:
            await self._post(self.vms[name].address, "/v1/faults", Faults(frozen=True))

    async def set_list_lag(self, seconds: float) -> None:
        """Set by how many seconds the list of VMs lags behind the VMs."""
        address = self.cluster.address(VMS_OFFSET)
        await self._post(address, "/v1/control/lag", seconds)

    async def list_leaving(self, name: str) -> None:
        """Mark a VM as leaving in the list of VMs."""
        change = VmChange(VmAction.LEAVE, name)
        address = self.cluster.address(VMS_OFFSET)
        await self._post(address, "/v1/control/vms", change)

    async def fail_worker(self, name: str, *, replace: bool) -> None:
        """Let a worker die, or replace it by a new incarnation."""
        fault = VmFault(name, replace=replace)
        await self._post(self.cluster.control, "/v1/control/vm", fault)

    async def fail_all_tasks(self, name: str, on: bool) -> None:
        """Set whether every task that a worker starts fails."""
        control = WorkerControl(fail_all=on)
        await self._post(self.vms[name].address, "/v1/control", control)

    async def set_answer_faults(self, name: str, faults: BackendFaults) -> None:
        """Set the faults of the next answers of a backend server."""
        control = BackendControl(answers=faults)
        await self._post(self.vms[name].address, "/v1/control", control)

    async def backend_leaves(self, name: str) -> None:
        """Let a backend server report that it is leaving."""
        control = BackendControl(leaving=True)
        await self._post(self.vms[name].address, "/v1/control", control)

    async def _get(self, address: str, path: str) -> bytes:
        async with self.session.get(f"http://{address}{path}") as resp:
            resp.raise_for_status()
            return await resp.read()

    async def _post(self, address: str, path: str, body: object) -> None:
        url = f"http://{address}{path}"
        async with self.session.post(url, data=msgspec.json.encode(body)) as resp:
            resp.raise_for_status()
            await resp.read()
