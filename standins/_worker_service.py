"""The HTTP interface of one simulated worker VM."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web

from cassiaweir.exceptions import FencedError
from cassiaweir.platform.wire import (
    ProblemKind,
    RenewRequest,
    StartRequest,
    StopRequest,
)
from cassiaweir.types import WorkerReport
from standins._http import Service, problem, read_body, response
from standins._worker import ExpiredError, SimulatedWorker

WATCH_INTERVAL_MS = 20


class WorkerControl(msgspec.Struct, forbid_unknown_fields=True):
    """A change of a worker's state; a field that is None changes nothing.

    `fail_all` makes each new task fail at once.  `fences` says whether commands of
    older epochs are rejected.  `clock_offset` is in seconds.  `die` drops all tasks
    without a report; the VM restarts as `incarnation`, or as the same incarnation if
    that is None.  Setting `incarnation` alone restarts the VM too.
    """

    fail_all: bool | None = None
    fences: bool | None = None
    clock_offset: float | None = None
    die: bool = False
    incarnation: str | None = None


class WorkerService(Service):
    """Serves a `SimulatedWorker` over HTTP."""

    def __init__(self, worker: SimulatedWorker) -> None:
        super().__init__()
        self.worker = worker
        self.app.router.add_get("/v1/list", self._list)
        self.app.router.add_get("/v1/watch", self._watch)
        self.app.router.add_post("/v1/renew", self._renew)
        self.app.router.add_post("/v1/start", self._start)
        self.app.router.add_post("/v1/stop", self._stop)
        self.app.router.add_post("/v1/control", self._control)

    def apply(self, control: WorkerControl) -> None:
        """Apply `control` to the worker."""
        worker = self.worker
        if control.fail_all is not None:
            worker.fail_all = control.fail_all
        if control.fences is not None:
            worker.fences = control.fences
        if control.clock_offset is not None:
            worker.clock_offset = control.clock_offset
        if control.die or control.incarnation is not None:
            worker.die(control.incarnation or worker.incarnation)

    async def _list(self, req: web.Request) -> web.Response:
        return response(self.worker.list())

    async def _watch(self, req: web.Request) -> web.Response:
        known_revision = int(req.query["revision"])
        polls = int(req.query["wait_ms"]) // WATCH_INTERVAL_MS
        for _ in range(polls):
            if self.worker.list().revision > known_revision:
                break
            await asyncio.sleep(WATCH_INTERVAL_MS / 1000)
        return response(self.worker.list())

    async def _renew(self, req: web.Request) -> web.Response:
        body = await read_body(req, RenewRequest)
        return await self._carry_out(
            req,
            lambda: self.worker.renew(body.command, body.lease_seconds, body.ended),
        )

    async def _start(self, req: web.Request) -> web.Response:
        body = await read_body(req, StartRequest)
        return await self._carry_out(
            req,
            lambda: self.worker.start(body.command, body.lease_seconds, body.starts),
        )

    async def _stop(self, req: web.Request) -> web.Response:
        body = await read_body(req, StopRequest)
        return await self._carry_out(
            req,
            lambda: self.worker.stop(
                body.command, body.tasks, checkpoint=body.checkpoint
            ),
        )

    async def _carry_out(
        self, req: web.Request, command: Callable[[], WorkerReport]
    ) -> web.Response:
        """Carry out `command` now, or late and without a response to `req`."""
        if not self.faults.late_commands:
            return _execute(command)
        self.faults.late_commands -= 1
        delay = self.faults.late_ms / 1000
        asyncio.get_running_loop().call_later(delay, _execute, command)
        return await self.drop(req)

    async def _control(self, req: web.Request) -> web.Response:
        self.apply(await read_body(req, WorkerControl))
        return response(self.worker.list())


def _execute(command: Callable[[], WorkerReport]) -> web.Response:
    """Execute `command` and return its report, or why the worker rejected it."""
    try:
        return response(command())
    except FencedError as exc:
        return problem(ProblemKind.FENCED, str(exc))
    except ExpiredError as exc:
        return problem(ProblemKind.EXPIRED, str(exc))
