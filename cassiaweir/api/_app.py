"""The HTTP server of a gateway and its graceful stop."""

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

from cassiaweir.api._problems import ProblemHandler
from cassiaweir.clock import SystemClock
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.settings import Settings
from cassiaweir.types import Clock

LARGEST_HEADER_BYTES = 16_384
KEEP_ALIVE = timedelta(seconds=60)
ANSWER_GRACE = timedelta(seconds=5)
LISTEN_BACKLOG = 1024
DRAIN_POLL_SECONDS = 0.05
FIRST_READ_SECONDS = 0.5

_serials = itertools.count(1)


class GatewayServer:
    """Serves blueprints over HTTP, with /ready and /metrics.

    Limits: `gateway.max_body_bytes`, `LARGEST_HEADER_BYTES`, and
    `gateway.request_timeout` to send a request.
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
        self._unready = False
        self._closing = False
        self._server: AsyncioServer | None = None
        self._app = self._build(blueprints)
        self.address = settings.gateway_listen

    def _build(self, blueprints: Sequence[Blueprint]) -> Sanic:
        # The library wants a name of its own for each application of a process.
        app: Sanic = Sanic(
            f"cassiaweir-{next(_serials)}",
            configure_logging=False,
            error_handler=ProblemHandler(self._events, self._metrics),
        )
        timeout = self._settings.gateway_request_timeout
        app.config.MOTD = False
        # Rewriting its own methods works for one application in a process only.
        app.config.TOUCHUP = False
        app.config.REQUEST_MAX_SIZE = self._settings.gateway_max_body_bytes
        app.config.REQUEST_MAX_HEADER_SIZE = LARGEST_HEADER_BYTES
        app.config.REQUEST_TIMEOUT = timeout.total_seconds()
        app.config.RESPONSE_TIMEOUT = (timeout + ANSWER_GRACE).total_seconds()
        app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE.total_seconds()
        app.add_route(self._ready, "/ready", name="ready")
        app.add_route(self._show_metrics, "/metrics", name="metrics")
        app.on_response(self._before_answer)
        for blueprint in blueprints:
            app.blueprint(blueprint)
        return app

    @property
    def app(self) -> Sanic:
        """The application with its routes."""
        return self._app

    @property
    def accepting(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None and not self._closing

    async def start(self) -> None:
        """Listen on `gateway.listen`."""
        sock = _listen(self._settings.gateway_listen)
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        server = await self._app.create_server(
            sock=sock, access_log=False, return_asyncio_server=True
        )
        assert server is not None
        await server.startup()
        await server.before_start()
        await server.start_serving()
        await server.after_start()
        self._server = server

    async def stop(self) -> None:
        """Become unready, go on for the notice, then finish what is in flight."""
        if self._unready:
            return
        self._unready = True
        self._events.record("gateway_unready")
        try:
            await self._clock.sleep(self._settings.gateway_drain_notice)
            await self._drain()
        finally:
            self._abort()

    async def _drain(self) -> None:
        """Stop listening and wait for the requests in flight."""
        server = self._server
        if server is None:
            return
        self._closing = True
        server.close()
        loop = asyncio.get_running_loop()
        # Requests on connections that were made last may be on their way still.
        await asyncio.sleep(FIRST_READ_SECONDS)
        limit = loop.time() + self._settings.gateway_drain_limit.total_seconds()
        while loop.time() < limit:
            for conn in list(server.connections):
                conn.close_if_idle()
            if not server.connections:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._events.record("gateway_drained", cut=len(server.connections))

    def _abort(self) -> None:
        """Close whatever is left."""
        server = self._server
        if server is None:
            return
        self._server = None
        server.close()
        for conn in list(server.connections):
            conn.abort()
        Sanic.unregister_app(self._app)

    async def _ready(self, request: Request) -> HTTPResponse:
        if self._unready:
            return text("stopping\n", status=503)
        return text("ready\n")

    async def _show_metrics(self, request: Request) -> HTTPResponse:
        return text(self._metrics.render())

    async def _before_answer(self, request: Request, response: HTTPResponse) -> None:
        """Count the answer; while closing, let each be the last of its connection."""
        self._metrics.count("http_answers", status=str(response.status))
        if self._closing and isinstance(request.stream, Http):
            request.stream.keep_alive = False


def _listen(address: str) -> socket.socket:
    """Return a listening socket bound to `address`."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock
