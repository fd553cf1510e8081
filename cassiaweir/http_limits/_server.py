"""An HTTP server whose connections are bounded in number, bytes, work and time."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from aiohttp import web

from cassiaweir.http_limits._connection import READ_BYTES, BoundedConnection
from cassiaweir.http_limits._limits import ListenerLimits
from cassiaweir.http_limits._refusals import Refusals, http_logger
from cassiaweir.http_limits._transport import SharedTransport
from cassiaweir.http_limits._turns import ReadTurns

TICK_S = 1.0
LINGER_S = 1.0
"""For how long the rest of a body is read and dropped once its request is answered.

A connection that is closed with unread bytes is reset, and the answer may be lost.
"""

EVICTED_SHARE = 1 / 16
"""The share of the connections that is closed at once where there are too many."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class BoundedServer(web.Server):
    """Serves `handler` within `limits`; use it in a `web.ServerRunner`.

    Each connection is a `BoundedConnection` in front of aiohttp's protocol, of which
    only the interface of `asyncio.Protocol` is used.  Where there are too many
    connections, the ones that have been idle longest are closed, first those on which
    nothing was served, and then those whose body is not complete.  So connections that
    are only held open keep nobody out.  `on_tick` is called once a second while there
    are connections, and may change `max_connections`.
    """

    def __init__(
        self,
        handler: Handler,
        name: str,
        limits: ListenerLimits,
        refusals: Refusals,
        on_tick: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(
            self._serve,
            access_log=None,
            logger=http_logger(name, refusals),
            lingering_time=LINGER_S,
            read_bufsize=READ_BYTES,
        )
        self._bounded_handler = handler
        self._tick_listener = on_tick
        self.name = name
        self.limits = limits
        self.max_connections = limits.max_connections
        self.refusals = refusals
        self.tick = 0
        self.buffer = memoryview(bytearray(READ_BYTES))
        self._event_loop = asyncio.get_running_loop()
        self.turns = ReadTurns(self._event_loop)
        self._open: set[BoundedConnection] = set()
        self._orders = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None

    def __call__(self) -> BoundedConnection:  # type: ignore[override]
        """Return the protocol of a new connection."""
        return BoundedConnection(self)

    def new_handler(self) -> asyncio.Protocol:
        """Return aiohttp's protocol for a new connection."""
        return super().__call__()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        await super().shutdown(timeout)

    def next_order(self) -> int:
        """Return a number that is higher than all before."""
        return next(self._orders)

    def admit(self, conn: BoundedConnection) -> bool:
        """Return whether there is room for `conn`, or was made for it."""
        if len(self._open) >= self.max_connections:
            self._evict()
        if len(self._open) >= self.max_connections:
            self.refusals.record(self.name, "too_many_connections")
            return False
        conn.order = self.next_order()
        self._open.add(conn)
        if self._timer is None:
            self._timer = self._event_loop.call_later(TICK_S, self._on_tick)
        return True

    def remove(self, conn: BoundedConnection) -> None:
        """Forget a connection that is closed."""
        self._open.discard(conn)

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

    def _evict(self) -> None:
        """Close some of the connections without a whole request."""
        found = [conn for conn in self._open if conn.evictable]
        found.sort(key=lambda conn: conn.eviction_rank)
        count = max(1, int(self.max_connections * EVICTED_SHARE))
        for conn in found[:count]:
            self._open.discard(conn)
            conn.drop("evicted")

    def _on_tick(self) -> None:
        self.tick += 1
        self._timer = None
        for conn in list(self._open):
            cause = conn.overdue()
            if cause:
                self._open.discard(conn)
                conn.drop(cause)
        self.refusals.metrics.set(
            "http_connections", len(self._open), listener=self.name
        )
        self._tick_listener()
        if len(self._open) > self.max_connections:
            self._evict()
        if self._open:
            self._timer = self._event_loop.call_later(TICK_S, self._on_tick)
