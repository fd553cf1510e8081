"""All simulated services of a cell in one process, with one ledger of all workers."""

from __future__ import annotations

import asyncio
import time

import msgspec
from aiohttp import web

from cassiaweir.platform.wire import ProblemKind
from cassiaweir.types import Vm, VmRole
from standins import _deployment as ports
from standins._backend import BackendService, BackendStats
from standins._deployment import Deployment, PlatformFile
from standins._http import Faults, Service, problem, read_body, response
from standins._ledger import Ledger
from standins._objects import ObjectService
from standins._relay import Relay
from standins._table import TableService
from standins._vms import VmListService, VmRegistry
from standins._worker import SimulatedWorker
from standins._worker_service import WorkerControl, WorkerService

WORKER_UPDATE_INTERVAL_SECONDS = 0.05


class CutControl(msgspec.Struct, forbid_unknown_fields=True):
    """Cuts the VMs named in `callers` off from services.

    `services` holds `table`, `objects`, `vms`, names of worker VMs or backend
    servers, or `all`.  With `answers_only` requests are executed and only their
    responses are lost.
    """

    callers: list[str]
    services: list[str]
    answers_only: bool = False


class VmFault(msgspec.Struct, forbid_unknown_fields=True):
    """Stops the worker VM `name`, or replaces it by a new incarnation."""

    name: str
    replace: bool = False


class PlatformService(Service):
    """Runs all simulated services of a cell.

    Its own HTTP service is the control port: ledger, counters and faults.
    """

    def __init__(self, cfg: PlatformFile) -> None:
        super().__init__()
        self.cfg = cfg
        self.ledger = Ledger(time.monotonic)
        self.table = TableService()
        self.objects = ObjectService()
        self.registry = VmRegistry(cfg.vm_lag_ms / 1000)
        self.vm_list = VmListService(self.registry)
        self.workers: dict[str, WorkerService] = {}
        self.backends: dict[str, BackendService] = {}
        self.balancer = Relay(cfg.gateways())
        self._update_task: asyncio.Task[None] | None = None
        for deployment, vm in cfg.vms():
            self._add_vm(deployment, vm)
        self.registry.forget_history()
        self.app.router.add_get("/v1/ledger", self._get_ledger)
        self.app.router.add_get("/v1/stats", self._get_stats)
        self.app.router.add_get("/v1/executions", self._get_executions)
        self.app.router.add_post("/v1/control/cut", self._cut)
        self.app.router.add_post("/v1/control/heal", self._heal)
        self.app.router.add_post("/v1/control/vm", self._fail_vm)

    async def start(self) -> None:
        """Start every service on its port, and the control port last.

        Once the control port responds, all other services are up.
        """
        cfg = self.cfg
        await self.table.listen(cfg.address(ports.TABLE_OFFSET))
        await self.objects.listen(cfg.address(ports.OBJECTS_OFFSET))
        await self.vm_list.listen(cfg.address(ports.VMS_OFFSET))
        for name, service in (*self.workers.items(), *self.backends.items()):
            vm = self.registry.get(name)
            if vm is not None:
                await service.listen(vm.address)
        if cfg.gateways():
            await self.balancer.relay(cfg.address(ports.BALANCER_OFFSET))
            await self.balancer.listen(cfg.address(ports.BALANCER_CONTROL_OFFSET))
        self._update_task = asyncio.create_task(self._update_workers())
        await self.listen(cfg.address(ports.CONTROL_OFFSET))

    async def stop(self) -> None:
        """Stop all services."""
        if self._update_task is not None:
            self._update_task.cancel()
            await asyncio.gather(self._update_task, return_exceptions=True)
        await self.balancer.close()
        await asyncio.gather(*(service.close() for service in self._services()))
        await self.close()

    def _add_vm(self, deployment: Deployment, vm: Vm) -> None:
        self.registry.add(vm)
        if vm.role is VmRole.WORKER:
            worker = SimulatedWorker(
                vm.name,
                vm.capacity,
                self.ledger,
                incarnation=vm.incarnation,
                fences=deployment.workers_fence,
                usage_lag=self.cfg.usage_lag_ms / 1000,
            )
            self.workers[vm.name] = WorkerService(worker)
        if vm.role is VmRole.BACKEND:
            self.backends[vm.name] = BackendService(
                vm.name,
                slots=deployment.backend_slots,
                connections=deployment.backend_connections,
            )

    def _services_by_name(self) -> dict[str, Service]:
        return {
            "table": self.table,
            "objects": self.objects,
            "vms": self.vm_list,
            **self.workers,
            **self.backends,
        }

    def _services(self) -> list[Service]:
        return list(self._services_by_name().values())

    async def _update_workers(self) -> None:
        while True:
            now = self.ledger.now()
            for service in self.workers.values():
                service.worker.update_to(now)
            await asyncio.sleep(WORKER_UPDATE_INTERVAL_SECONDS)

    async def _get_ledger(self, req: web.Request) -> web.Response:
        return response(self.ledger.response())

    async def _get_stats(self, req: web.Request) -> web.Response:
        stats: list[BackendStats] = [b.snapshot() for b in self.backends.values()]
        return response(stats)

    async def _get_executions(self, req: web.Request) -> web.Response:
        return response([e for b in self.backends.values() for e in b.executed])

    async def _cut(self, req: web.Request) -> web.Response:
        control = await read_body(req, CutControl)
        for name, service in self._services_by_name().items():
            if name in control.services or "all" in control.services:
                _add_cut(service.faults, control)
        return response(control)

    async def _heal(self, req: web.Request) -> web.Response:
        for service in self._services():
            service.faults = Faults()
        return response(True)

    async def _fail_vm(self, req: web.Request) -> web.Response:
        fault = await read_body(req, VmFault)
        service = self.workers.get(fault.name)
        if service is None:
            return problem(ProblemKind.NOT_FOUND, f"no worker VM named {fault.name}")
        if fault.replace:
            vm = self.registry.replace(fault.name)
            service.apply(WorkerControl(incarnation=vm.incarnation))
            service.faults.frozen = False
        else:
            service.apply(WorkerControl(die=True))
            service.faults.frozen = True
        return response(fault)


def _add_cut(faults: Faults, control: CutControl) -> None:
    """Add the callers in `control` to those that `faults` cuts off."""
    cut = faults.cut_answers if control.answers_only else faults.cut
    cut += [caller for caller in control.callers if caller not in cut]
