"""The HTTP server of a gateway, with a graceful stop."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Sequence
from datetime import timedelta

from sanic import Blueprint, HTTPResponse, Request, Sanic
from sanic.http import Http
from sanic.response import text
from sanic.server.async_server import AsyncioServer

from cassiaweir.api._bounded_http import BoundedHttp, BoundedRequest
from cassiaweir.api._connections import ConnectionBudget
from cassiaweir.api._problems import ProblemHandler
from cassiaweir.clock import SystemClock
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.settings import Settings
from cassiaweir.types import Clock

MAX_HEADER_BYTES = 16_384
# No more is read from a connection while this much of it waits to be parsed.
READ_BUFFER_BYTES = 32_768
# Bounds what the kernel keeps of a connection, and so what one read returns.
SOCKET_BUFFER_BYTES = 65_536
# Closes a keep-alive connection on which no further request arrives.
IDLE_CONNECTION_TIMEOUT = timedelta(seconds=60)
# Added to `gateway.request_timeout` for the response timeout of Sanic, so that the
# deadline of a request passes before Sanic answers 503.
RESPONSE_GRACE = timedelta(seconds=5)
LISTEN_BACKLOG = 1024
DRAIN_POLL_INTERVAL_SECONDS = 0.05
# Time for the first request to arrive on a connection accepted just before a stop.
NEW_CONNECTION_GRACE_SECONDS = 0.5

_app_numbers = itertools.count(1)


class GatewayServer:
    """Serves blueprints over HTTP, and adds /ready and /metrics.

    A request is limited to `gateway.max_body_bytes` of body and `MAX_HEADER_BYTES`
    of headers, and the client has `gateway.request_timeout` to send its body.  All
    connections share a `ConnectionBudget`.
    """

    def __init__(
        self,
        settings: Settings,
        blueprints: Sequence[Blueprint],
        events: EventLog,
        metrics: Metrics,
        *,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._events = events
        self._metrics = metrics
        self._stopping = False
        self._draining = False
        self._server: AsyncioServer | None = None
        self._app = self._build(blueprints)
        self.address = settings.gateway_listen

    def _build(self, blueprints: Sequence[Blueprint]) -> Sanic:
        # Sanic requires a unique name for each application in a process.
        app: Sanic = Sanic(
            f"cassiaweir-{next(_app_numbers)}",
            configure_logging=False,
            error_handler=ProblemHandler(self._events, self._metrics),
            request_class=BoundedRequest,
        )
        app.ctx.budget = ConnectionBudget(
            self._settings.gateway_max_connections,
            self._settings.gateway_max_bytes_in_flight,
            self._metrics,
        )
        timeout = self._settings.gateway_request_timeout
        app.config.MOTD = False
        # TOUCHUP lets Sanic rewrite its own methods at start, which works only for a
        # single application in a process.
        app.config.TOUCHUP = False
        app.config.REQUEST_MAX_SIZE = self._settings.gateway_max_body_bytes
        app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
        app.config.REQUEST_BUFFER_SIZE = READ_BUFFER_BYTES
        app.config.REQUEST_TIMEOUT = timeout.total_seconds()
        app.config.RESPONSE_TIMEOUT = (timeout + RESPONSE_GRACE).total_seconds()
        app.config.KEEP_ALIVE_TIMEOUT = IDLE_CONNECTION_TIMEOUT.total_seconds()
        app.add_route(self._ready, "/ready", name="ready")
        app.add_route(self._show_metrics, "/metrics", name="metrics")
        app.on_response(self._on_response)
        for blueprint in blueprints:
            app.blueprint(blueprint)
        return app

    @property
    def app(self) -> Sanic:
        """The Sanic application with all routes."""
        return self._app

    @property
    def accepting(self) -> bool:
        """Whether the server accepts new connections."""
        return self._server is not None and not self._draining

    async def start(self) -> None:
        """Listen on `gateway.listen`, and set `address` to the bound host and port."""
        sock = _listen(self._settings.gateway_listen)
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        server = await self._app.create_server(
            sock=sock,
            protocol=BoundedHttp,
            access_log=False,
            return_asyncio_server=True,
        )
        assert server is not None
        await server.startup()
        await server.before_start()
        await server.start_serving()
        await server.after_start()
        self._server = server

    async def stop(self) -> None:
        """Stop gracefully, so that load balancers move callers elsewhere first.

        /ready answers 503 at once, while requests are still accepted for
        `gateway.drain_notice`.  Then listening ends, and requests in flight have
        `gateway.drain_limit` to finish.
        """
        if self._stopping:
            return
        self._stopping = True
        self._events.record("gateway_unready")
        try:
            await self._clock.sleep(self._settings.gateway_drain_notice)
            await self._drain()
        finally:
            self._abort()

    async def _drain(self) -> None:
        """Stop listening and wait, up to the drain limit, for requests in flight."""
        server = self._server
        if server is None:
            return
        self._draining = True
        server.close()
        loop = asyncio.get_running_loop()
        # The first requests on the newest connections may not have arrived yet, and
        # an idle connection is closed below.
        await asyncio.sleep(NEW_CONNECTION_GRACE_SECONDS)
        deadline = loop.time() + self._settings.gateway_drain_limit.total_seconds()
        while loop.time() < deadline:
            for conn in list(server.connections):
                conn.close_if_idle()
            if not server.connections:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        self._events.record("gateway_drained", cut=len(server.connections))

    def _abort(self) -> None:
        """Close the server and cut the connections that are still open."""
        server = self._server
        if server is None:
            return
        self._server = None
        server.close()
        for conn in list(server.connections):
            conn.abort()
        Sanic.unregister_app(self._app)

    async def _ready(self, request: Request) -> HTTPResponse:
        if self._stopping:
            return text("stopping\n", status=503)
        return text("ready\n")

    async def _show_metrics(self, request: Request) -> HTTPResponse:
        return text(self._metrics.render())

    async def _on_response(self, request: Request, response: HTTPResponse) -> None:
        """Count the response; while draining, make it the last on its connection."""
        self._metrics.count("http_answers", status=str(response.status))
        if self._draining and isinstance(request.stream, Http):
            request.stream.keep_alive = False


def _listen(address: str) -> socket.socket:
    """Return a listening socket bound to `address`."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit this option only if it is set before `listen`.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.bind((host, int(port)))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock
