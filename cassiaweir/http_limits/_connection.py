"""One connection to a listener, between its transport and the HTTP server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from aiohttp import StreamReader

from cassiaweir.http_limits._transport import SharedTransport

if TYPE_CHECKING:
    from cassiaweir.http_limits._server import BoundedServer

READ_BYTES = 4_096
"""The most that is read from a connection, and parsed, in one go."""

MAX_PIPELINED_BYTES = READ_BYTES
"""Beyond this, nothing is read behind a request until it is answered."""

HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class BoundedConnection(asyncio.BufferedProtocol):
    """Feeds the HTTP server in small pieces and closes what exceeds the limits."""

    def __init__(self, server: BoundedServer) -> None:
        self._server = server
        self._handler: asyncio.Protocol | None = None
        self._shared: SharedTransport | None = None
        self._body: StreamReader | None = None
        self._head_bytes = 0
        self._serving = False
        self._held_until_answer = False
        self._closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the connection to the HTTP server."""
        self._server.add(self)
        self._shared = SharedTransport(cast(asyncio.Transport, transport), self)
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
        """Tell the HTTP server that the client does not read."""
        if self._handler is not None:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Tell the HTTP server that the client reads again."""
        if self._handler is not None:
            self._handler.resume_writing()

    def on_close(self) -> None:
        """Note that the HTTP server closes the connection."""
        self._closing = True

    def begin_request(self, body: StreamReader) -> None:
        """Note that a request is served, whose body is read from `body`."""
        self._serving = True
        self._body = body
        self._head_bytes = 0

    def end_request(self) -> None:
        """Note that the request has its answer."""
        self._serving = False
        self._head_bytes = 0
        if self._held_until_answer:
            self._held_until_answer = False
            self._server.turns.add(self)

    def resume(self) -> None:
        """Read once more."""
        if self._shared is not None:
            self._shared.release()

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
