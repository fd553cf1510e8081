"""A simulated backend server that echoes requests.

It limits concurrent requests to its slots, counts connections and executions, and can
deliver faulty responses.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Mapping
from typing import cast

import msgspec
from aiohttp import web
from aiohttp.helpers import parse_mimetype

from standins._http import Service, read_body, response

LEAVING_RETRY_AFTER_SECONDS = "60"
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
DEFAULT_WORK_SECONDS = 0.005
REPEATED_RESPONSE_DELAY_SECONDS = 0.01
REQUEST_ID_HEADER = "Cassiaweir-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Cassiaweir-Idempotency-Key"
WORK_HEADER = "Cassiaweir-Work-Ms"
NOT_RUN_HEADER = "Cassiaweir-Not-Run"


class BackendFaults(msgspec.Struct, forbid_unknown_fields=True):
    """The number of coming responses to spoil, for each kind of fault.

    `late`: sent `late_ms` later.
    `cut`: the connection closes in the middle of the body.
    `twice`: sent twice in a row.
    `again`: sent once more `REPEATED_RESPONSE_DELAY_SECONDS` later, when the
    connection may be idle or in use for another request.
    `closed`: not sent; the connection is aborted after the request has run.
    """

    late: int = 0
    late_ms: int = 1000
    cut: int = 0
    twice: int = 0
    again: int = 0
    closed: int = 0


class BackendControl(msgspec.Struct, forbid_unknown_fields=True):
    """A change of a backend server's state; a field that is None changes nothing.

    `leaving` makes the server refuse all requests, or take them again.  `answers`
    replaces the faults of coming responses.
    """

    leaving: bool | None = None
    answers: BackendFaults | None = None


class Echo(msgspec.Struct):
    """The body of a response: what the server received, and the server's name."""

    request_id: str
    backend: str
    path: str
    body: str


class Executed(msgspec.Struct):
    """One execution of a request; times are of the machine's monotonic clock.

    `call` and `key` are the parameters of these names of the request's
    `Content-Type`.  `ended_at` is None while the execution runs.
    """

    backend: str
    request_id: str
    call: str
    key: str
    began_at: float
    ended_at: float | None = None


class BackendStats(msgspec.Struct):
    """Counters of a backend server since its start.

    `running` and `connections` are current numbers, `most_running` and
    `most_connections` their maxima.  `over_connections` counts requests that arrived
    while more connections were open than allowed.
    `over_slots` counts requests that arrived while all slots were in use.
    `after_leaving` counts requests that arrived after the server began to leave, and
    `last_after_leaving` is the time of the last one on the machine's monotonic clock.
    `executions` maps each idempotency key that ran more than once to its number of
    executions.
    """

    backend: str
    answered: int = 0
    refused: int = 0
    executed: int = 0
    running: int = 0
    most_running: int = 0
    connections: int = 0
    most_connections: int = 0
    over_connections: int = 0
    over_slots: int = 0
    after_leaving: int = 0
    last_after_leaving: float | None = None
    executions: dict[str, int] = {}


class BackendService(Service):
    """Responds to each POST with an `Echo` after the work time that it asks for.

    Requests beyond `slots` concurrent ones are refused with status 503.  More
    connections than `connections` are served, but counted as an excess.
    """

    def __init__(
        self,
        name: str,
        *,
        slots: int = DEFAULT_SLOTS,
        connections: int = DEFAULT_CONNECTIONS,
    ) -> None:
        super().__init__()
        self.name = name
        self.leaving = False
        self.answers = BackendFaults()
        self.stats = BackendStats(name)
        self._max_running = slots
        self._max_connections = connections
        self._transports: set[asyncio.BaseTransport] = set()
        self._executions: Counter[str] = Counter()
        self.executed: list[Executed] = []
        self.app.router.add_get("/v1/stats", self._get_stats)
        self.app.router.add_post("/v1/control", self._control)
        self.app.router.add_post("/{path:.*}", self._serve)

    def snapshot(self) -> BackendStats:
        """Return the current counters; the object is updated by later requests."""
        self.stats.connections = self._count_connections()
        self.stats.executions = {
            key: count for key, count in self._executions.items() if count > 1
        }
        return self.stats

    async def _get_stats(self, req: web.Request) -> web.Response:
        return response(self.snapshot())

    async def _control(self, req: web.Request) -> web.Response:
        control = await read_body(req, BackendControl)
        if control.leaving is not None:
            self.leaving = control.leaving
        if control.answers is not None:
            self.answers = control.answers
        return response(self.snapshot())

    async def _serve(self, req: web.Request) -> web.StreamResponse:
        self._record_connection(req)
        body = await req.read()
        if self.leaving:
            self.stats.after_leaving += 1
            self.stats.last_after_leaving = time.monotonic()
        full = self.stats.running >= self._max_running
        if full and not self.leaving:
            self.stats.over_slots += 1
        if self.leaving or full:
            self.stats.refused += 1
            headers = {NOT_RUN_HEADER: "true"}
            if self.leaving:
                headers["Retry-After"] = LEAVING_RETRY_AFTER_SECONDS
            return web.Response(status=503, headers=headers)
        await self._work(req)
        echo = Echo(
            request_id=req.headers.get(REQUEST_ID_HEADER, ""),
            backend=self.name,
            path=req.path,
            body=body.decode(errors="replace"),
        )
        return await self._respond(req, msgspec.json.encode(echo), echo.request_id)

    async def _work(self, req: web.Request) -> None:
        """Occupy a slot for the work time that the request asks for.

        The time comes in milliseconds from the header `Cassiaweir-Work-Ms` or the
        `work` parameter of the content type.
        """
        stats = self.stats
        type_parameters = parse_mimetype(req.headers.get("Content-Type", "")).parameters
        millis = req.headers.get(WORK_HEADER, "") or type_parameters.get("work", "")
        seconds = float(millis) / 1000 if millis else DEFAULT_WORK_SECONDS
        stats.running += 1
        stats.most_running = max(stats.most_running, stats.running)
        stats.executed += 1
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key:
            self._executions[key] += 1
        execution = self._record_execution(req, type_parameters)
        try:
            await asyncio.sleep(seconds)
        finally:
            execution.ended_at = time.monotonic()
            stats.running -= 1

    def _record_execution(
        self, req: web.Request, type_parameters: Mapping[str, str]
    ) -> Executed:
        execution = Executed(
            backend=self.name,
            request_id=req.headers.get(REQUEST_ID_HEADER, ""),
            call=type_parameters.get("call", ""),
            key=type_parameters.get("key", ""),
            began_at=time.monotonic(),
        )
        self.executed.append(execution)
        return execution

    async def _respond(
        self, req: web.Request, body: bytes, request_id: str
    ) -> web.StreamResponse:
        """Return the response, applying the faults that are set for it."""
        faults = self.answers
        headers = {REQUEST_ID_HEADER: request_id}
        if faults.late:
            faults.late -= 1
            await asyncio.sleep(faults.late_ms / 1000)
        if faults.closed:
            faults.closed -= 1
            return _abort_connection(req)
        if faults.cut:
            faults.cut -= 1
            return await _send_half_response(req, body, headers)
        if faults.twice:
            faults.twice -= 1
            _write_response(req.transport, body, headers)
        if faults.again:
            faults.again -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(
                REPEATED_RESPONSE_DELAY_SECONDS,
                _write_response,
                req.transport,
                body,
                headers,
            )
        self.stats.answered += 1
        return web.Response(body=body, headers=headers, content_type="application/json")

    def _record_connection(self, req: web.Request) -> None:
        if req.transport is not None:
            self._transports.add(req.transport)
        count = self._count_connections()
        self.stats.most_connections = max(self.stats.most_connections, count)
        if count > self._max_connections:
            self.stats.over_connections += 1

    def _count_connections(self) -> int:
        self._transports = {conn for conn in self._transports if not conn.is_closing()}
        return len(self._transports)


def _abort_connection(req: web.Request) -> web.Response:
    """Abort the connection without a response."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response()


async def _send_half_response(
    req: web.Request, body: bytes, headers: dict[str, str]
) -> web.StreamResponse:
    """Declare the full content length, send half the body and close the connection."""
    resp = web.StreamResponse(headers=headers)
    resp.content_length = len(body)
    await resp.prepare(req)
    await resp.write(body[: len(body) // 2])
    if req.transport is not None:
        req.transport.close()
    return resp


def _write_response(
    transport: asyncio.BaseTransport | None, body: bytes, headers: dict[str, str]
) -> None:
    """Write one more complete response to the connection, bypassing aiohttp."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    if transport is not None and not transport.is_closing():
        # uvloop's transports don't inherit from asyncio.WriteTransport.
        writable = cast(asyncio.WriteTransport, transport)
        writable.write("\r\n".join(lines).encode() + body)
