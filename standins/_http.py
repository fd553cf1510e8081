"""The base of the simulated HTTP services, with the faults common to all of them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from aiohttp import web

from cassiaweir.platform.wire import CALLER_HEADER, Problem, ProblemKind
from cassiaweir.verdict import Verdict

MAX_BODY_BYTES = 16 * 1024 * 1024
MIN_COMPRESSED_BYTES = 512
MAX_HANG_SECONDS = 30.0
HANG_POLL_INTERVAL_SECONDS = 0.05
FAULTS_PATH = "/v1/faults"
FAULT_FREE_PATHS = (FAULTS_PATH, "/v1/stats", "/v1/ledger", "/v1/control")
STATUS_BY_PROBLEM_KIND = {
    ProblemKind.CONFLICT: 409,
    ProblemKind.EXPIRED: 410,
    ProblemKind.FENCED: 412,
    ProblemKind.INVALID: 400,
    ProblemKind.NOT_FOUND: 404,
    ProblemKind.UNAVAILABLE: 503,
}

T = TypeVar("T")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults between a service and its callers; each POST replaces all of them.

    `down`: each request is refused as unavailable.
    `frozen`: no request gets a response.
    `slow_ms`: delay before a request is executed.
    `lose_answers`: number of coming mutations that take effect but get no response.
    `late_commits`: number of coming commits that get no response and take effect
    `late_ms` later.
    `late_commands`: number of coming commands to a worker that get no response and are
    carried out `late_ms` later, by the incarnation that is there then.
    `cut`: VMs whose requests don't arrive.
    `cut_answers`: VMs whose requests are executed but get no response.
    `hang`: whether a connection without a response stays open until the caller
    closes it, or for at most `MAX_HANG_SECONDS`; otherwise it is closed at once.
    """

    down: bool = False
    frozen: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    late_commits: int = 0
    late_commands: int = 0
    late_ms: int = 1000
    cut: list[str] = []
    cut_answers: list[str] = []
    hang: bool = True


class Service:
    """An HTTP application that applies `faults` to all but control requests."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.app = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        self.app.router.add_post(FAULTS_PATH, self._set_faults)
        self.app.router.add_get(FAULTS_PATH, self._get_faults)
        self._runner: web.AppRunner | None = None
        self._unanswered_transports: set[asyncio.Transport] = set()

    async def listen(self, address: str) -> str:
        """Serve on `address` and return the bound address; port 0 means any port."""
        host, _, port = address.rpartition(":")
        runner = web.AppRunner(self.app, access_log=None, shutdown_timeout=0)
        self._runner = runner
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        bound = runner.addresses[0]
        return f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stop serving and abort the connections that wait for a response."""
        for transport in self._unanswered_transports:
            transport.abort()
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    def is_mutation(self, req: web.Request) -> bool:
        """Return whether `req` changes state, so that `lose_answers` applies to it."""
        return req.method != "GET"

    async def drop(self, req: web.Request) -> web.Response:
        """Send no response to `req` and abort its connection.

        With the fault `hang` the connection is aborted only after the caller has
        closed it or `MAX_HANG_SECONDS` have passed.
        """
        transport = req.transport
        if transport is None:
            return web.Response(status=503)
        self._unanswered_transports.add(transport)
        polls = int(MAX_HANG_SECONDS / HANG_POLL_INTERVAL_SECONDS)
        for _ in range(polls if self.faults.hang else 0):
            if transport.is_closing():
                break
            await asyncio.sleep(HANG_POLL_INTERVAL_SECONDS)
        self._unanswered_transports.discard(transport)
        transport.abort()
        return web.Response(status=503)

    async def _set_faults(self, req: web.Request) -> web.Response:
        self.faults = await read_body(req, Faults)
        return response(self.faults)

    async def _get_faults(self, req: web.Request) -> web.Response:
        return response(self.faults)

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith(FAULT_FREE_PATHS):
            return await _call_handler(request, handler)
        caller = request.headers.get(CALLER_HEADER, "")
        if self.faults.frozen or caller in self.faults.cut:
            return await self.drop(request)
        if self.faults.down:
            return problem(
                ProblemKind.UNAVAILABLE, "service unavailable: the fault `down` is set"
            )
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        resp = await _call_handler(request, handler)
        if self.faults.frozen or caller in self.faults.cut + self.faults.cut_answers:
            return await self.drop(request)
        if self.faults.lose_answers and self.is_mutation(request):
            self.faults.lose_answers -= 1
            return await self.drop(request)
        return resp


async def read_body(req: web.Request, model: type[T]) -> T:
    """Decode the JSON body of `req` as `model`, or raise `msgspec.DecodeError`."""
    return msgspec.json.decode(await req.read(), type=model)


def response(body: object) -> web.Response:
    """Return a response of status 200 with `body` as JSON, compressed unless small."""
    return json_response(msgspec.json.encode(body))


def json_response(raw: bytes, *, tag: str = "") -> web.Response:
    """Return a response with the JSON text `raw` and, unless empty, the ETag `tag`."""
    headers = {"ETag": f'"{tag}"'} if tag else None
    resp = web.Response(body=raw, content_type="application/json", headers=headers)
    if len(raw) >= MIN_COMPRESSED_BYTES:
        resp.enable_compression()
    return resp


def problem(
    kind: ProblemKind, message: str, *, verdict: Verdict = Verdict.NOT_RUN
) -> web.Response:
    """Return an error response with a `Problem` as its body."""
    body = msgspec.json.encode(Problem(kind, message, verdict))
    status = STATUS_BY_PROBLEM_KIND[kind]
    return web.Response(status=status, body=body, content_type="application/json")


async def _call_handler(req: web.Request, handler: Handler) -> web.StreamResponse:
    """Call `handler`, and refuse a malformed body with status 400."""
    try:
        return await handler(req)
    except msgspec.DecodeError as exc:
        return problem(ProblemKind.INVALID, str(exc))
