"""An HTTP server whose connections are bounded in bytes and work."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from cassiaweir.http_limits._connection import READ_BYTES, BoundedConnection
from cassiaweir.http_limits._limits import ListenerLimits
from cassiaweir.http_limits._refusals import Refusals, http_logger
from cassiaweir.http_limits._transport import SharedTransport
from cassiaweir.http_limits._turns import ReadTurns

LINGER_S = 1.0
"""For how long the rest of a body is read and dropped once its request is answered.

A connection that is closed with unread bytes is reset, and the answer may be lost.
"""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class BoundedServer(web.Server):
    """Serves `handler` within `limits`; use it in a `web.ServerRunner`.

    Each connection is a `BoundedConnection` in front of aiohttp's protocol, of which
    only the interface of `asyncio.Protocol` is used.
    """

    def __init__(
        self, handler: Handler, name: str, limits: ListenerLimits, refusals: Refusals
    ) -> None:
        super().__init__(
            self._serve,
            access_log=None,
            logger=http_logger(name, refusals),
            lingering_time=LINGER_S,
            read_bufsize=2 * READ_BYTES,
        )
        self._bounded_handler = handler
        self.name = name
        self.limits = limits
        self.refusals = refusals
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.turns = ReadTurns(asyncio.get_running_loop())
        self._open: set[BoundedConnection] = set()

    def __call__(self) -> BoundedConnection:  # type: ignore[override]
        """Return the protocol of a new connection."""
        return BoundedConnection(self)

    def new_handler(self) -> asyncio.Protocol:
        """Return aiohttp's protocol for a new connection."""
        return super().__call__()

    def add(self, conn: BoundedConnection) -> None:
        """Count a new connection."""
        self._open.add(conn)
        self._show_count()

    def remove(self, conn: BoundedConnection) -> None:
        """Forget a connection that is closed."""
        self._open.discard(conn)
        self._show_count()

    async def _serve(self, req: web.BaseRequest) -> web.StreamResponse:
        transport = req.transport
        if not isinstance(transport, SharedTransport):
            return await self._bounded_handler(req)
        conn = transport.owner
        assert isinstance(conn, BoundedConnection)
        conn.begin_request(req.content)
        try:
            return await self._bounded_handler(req)
        finally:
            conn.end_request()

    def _show_count(self) -> None:
        self.refusals.metrics.set(
            "http_connections", len(self._open), listener=self.name
        )
