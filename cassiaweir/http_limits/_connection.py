"""One connection to a listener, between its transport and the HTTP server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from aiohttp import StreamReader

from cassiaweir.http_limits._transport import SharedTransport

if TYPE_CHECKING:
    from cassiaweir.http_limits._server import BoundedServer

READ_BYTES = 8_192
"""The most that is read from a connection, and parsed, in one go.

A submission with the longest text of a task, 4,000 bytes, fits into one read.
"""

MAX_PIPELINED_BYTES = READ_BYTES
"""Beyond this, nothing is read behind a request until it is answered."""

CLOSE_TIMEOUT_S = 5
ANSWER_TIMEOUT_S = 30
"""A client that reads none of an answer for this long is disconnected."""

HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class BoundedConnection(asyncio.BufferedProtocol):
    """Feeds the HTTP server in small pieces and closes what exceeds the limits.

    Times are in ticks of the server, one a second, which do not pass while the process
    is suspended.  `order` rises with the time at which a request last began or ended.
    `served` tells whether a request was answered on it.
    """

    def __init__(self, server: BoundedServer) -> None:
        self._server = server
        self._handler: asyncio.Protocol | None = None
        self._shared: SharedTransport | None = None
        self._body: StreamReader | None = None
        self._head_bytes = 0
        self._serving = False
        self._held_until_answer = False
        self._writing_paused = False
        self._closing = False
        self._since_tick = server.tick
        self.order = 0
        self.served = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass an admitted connection to the HTTP server."""
        real = cast(asyncio.Transport, transport)
        if not self._server.admit(self):
            real.abort()
            return
        self._shared = SharedTransport(real, self)
        self._handler = self._server.new_handler()
        self._handler.connection_made(self._shared)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what belongs to the connection."""
        handler, self._handler = self._handler, None
        self._shared = self._body = None
        self._server.remove(self)
        if handler is not None:
            handler.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self._server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read, or refuse a head that is too large."""
        if self._handler is None or self._shared is None or self._closing:
            return
        if self._is_reading_body():
            self._head_bytes = 0
        else:
            if not self._head_bytes:
                self._since_tick = self._server.tick
            self._head_bytes += nbytes
            if self._head_bytes > self._server.limits.max_head_bytes:
                self._refuse_head(self._shared)
                return
        if nbytes == READ_BYTES or self._is_pipelining():
            self._pause(self._shared)
        self._handler.data_received(bytes(self._server.buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Tell the HTTP server that the client has closed its side."""
        return None if self._handler is None else self._handler.eof_received()

    def pause_writing(self) -> None:
        """Note that the client does not read."""
        self._writing_paused = True
        self._since_tick = self._server.tick
        if self._handler is not None:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Note that the client reads again."""
        self._writing_paused = False
        if self._handler is not None:
            self._handler.resume_writing()

    def on_close(self) -> None:
        """Note that the HTTP server closes the connection."""
        self._closing = True
        self._since_tick = self._server.tick

    def begin_request(self, body: StreamReader) -> None:
        """Note that a request is served, whose body is read from `body`."""
        self._serving = True
        self._body = body
        self._head_bytes = 0
        self.order = self._server.next_order()

    def end_request(self) -> None:
        """Note that the request has its answer."""
        self._serving = False
        self.served = True
        self._head_bytes = 0
        self._since_tick = self._server.tick
        self.order = self._server.next_order()
        if self._held_until_answer:
            self._held_until_answer = False
            self._server.turns.add(self)

    def resume(self) -> None:
        """Read once more."""
        if self._shared is not None:
            self._shared.release()

    def drop(self, cause: str) -> None:
        """Close the connection at once for `cause`."""
        self._closing = True
        self._server.refusals.record(self._server.name, cause)
        if self._shared is not None:
            self._shared.abort()

    @property
    def evictable(self) -> bool:
        """Whether the connection may make room for another one.

        No whole request is on it: it is idle, its head takes long, or a body is not
        complete, so that nothing of the request was executed.
        """
        if self._closing:
            return False
        if self._is_reading_body():
            return True
        if self._serving:
            return False
        return not self._head_bytes or self._since_tick < self._server.tick - 1

    @property
    def eviction_rank(self) -> tuple[bool, bool, int]:
        """The connection with the lowest rank is closed first."""
        return self._serving, self.served, self.order

    def overdue(self) -> str:
        """Return for which time limit the connection is to be closed, or ""."""
        ticks = self._server.tick - self._since_tick
        limits = self._server.limits
        if self._closing:
            return "close_timeout" if ticks > CLOSE_TIMEOUT_S else ""
        if self._writing_paused:
            return "answer_timeout" if ticks > ANSWER_TIMEOUT_S else ""
        if self._serving:
            return ""
        if self._head_bytes:
            return "head_timeout" if ticks > limits.head_timeout_s else ""
        return "idle_timeout" if ticks > limits.idle_timeout_s else ""

    def _is_reading_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _is_pipelining(self) -> bool:
        return self._serving and self._head_bytes > MAX_PIPELINED_BYTES

    def _pause(self, shared: SharedTransport) -> None:
        if shared.held:
            return
        shared.hold()
        if self._is_pipelining():
            self._held_until_answer = True
        else:
            self._server.turns.add(self)

    def _refuse_head(self, shared: SharedTransport) -> None:
        self._server.refusals.record(self._server.name, "head_too_large")
        shared.write(HEAD_TOO_LARGE)
        shared.close()
