"""HTTP connections of Sanic whose memory, time and share of the loop are bounded."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

from sanic import Request
from sanic.exceptions import RequestTimeout
from sanic.server import HttpProtocol

from cassiaweir.api._connections import ConnectionBudget
from cassiaweir.exceptions import RefusedError

PIECES_PER_TURN = 64
"""Pieces of a body that one connection parses in one iteration of the event loop."""

LINGER_TIME_S = 1.0
"""Time for a client to read a refusal before its connection is closed."""

BUSY_RETRY_AFTER = timedelta(seconds=1)
BUSY = "too_many_bodies"


class BoundedHttp(HttpProtocol):
    """A connection that keeps within the `ConnectionBudget` in `app.ctx.budget`.

    A head has to arrive within the idle time and the request time of the settings of
    Sanic, and a body within the request time, however little is sent at a time.
    """

    # The metaclass of Sanic gives the instances no dictionary.
    __slots__ = (
        "_body_bytes",
        "_body_limit",
        "_budget",
        "_handle_request",
        "_head_timer",
        "_refused",
    )

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._budget: ConnectionBudget = self.app.ctx.budget
        self._handle_request = self.request_handler
        self.request_handler = self._handle_in_turn
        self._head_timer: asyncio.TimerHandle | None = None
        self._body_limit: asyncio.Timeout | None = None
        self._body_bytes = 0
        self._refused = False

    def connection_made(self, transport: Any) -> None:
        """Count the connection, or close it where the budget is used up."""
        super().connection_made(transport)
        if self._budget.add(self):
            self._start_head_timer()
        else:
            self.cut()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what the connection used of the budget."""
        self._stop_head_timer()
        self._budget.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Keep what arrives, unless the request was refused."""
        if self._refused:
            return
        super().data_received(data)
        self._note_kept_bytes()

    def refuse(self) -> None:
        """Answer 503 if a body is arriving, and close the connection."""
        self._refused = True
        self.recv_buffer.clear()
        if self._body_limit is None:
            self.cut()
        else:
            self._body_limit.reschedule(self.loop.time())

    def cut(self) -> None:
        """Close the connection at once."""
        # Sanic's `abort` would make its connection task fail while it awaits a head.
        if self.transport is not None:
            self.transport.abort()

    async def read_body(self, request: Request) -> bytes:
        """Return the whole body of `request`.

        Raises `RefusedError` if its bytes are more than the budget bears, and
        `RequestTimeout` if it does not arrive within the request time.
        """
        body = bytearray()
        pieces = 0
        self._body_limit = asyncio.timeout(self.request_timeout)
        try:
            async with self._body_limit:
                async for piece in request.stream:  # type: ignore[union-attr]
                    body += piece
                    self._body_bytes = len(body)
                    pieces += 1
                    if pieces % PIECES_PER_TURN == 0:
                        self._note_kept_bytes()
                        await asyncio.sleep(0)
        except TimeoutError as exc:
            raise self._late_body_error() from exc
        finally:
            self._body_limit = None
        self._note_kept_bytes()
        self._budget.begin_handling(self)
        return bytes(body)

    def _late_body_error(self) -> Exception:
        """Return why the body was not read to its end, and read no more requests."""
        given_up = self._refused
        self._refused = True
        assert self.http is not None
        self.http.keep_alive = False
        if given_up:
            message = "too many bodies of requests are arriving"
            return RefusedError(BUSY, message, retry_after=BUSY_RETRY_AFTER)
        return RequestTimeout("the body did not arrive within the request time")

    async def _handle_in_turn(self, request: Request) -> None:
        """Handle one request, and let other connections take their turn."""
        self._stop_head_timer()
        http = self.http
        assert http is not None
        if not http.request_body:
            self._budget.begin_handling(self)
        try:
            await self._handle_request(request)
            if self._refused:
                await self._linger()
            elif http.request_body:
                await self._discard_body(request)
        finally:
            self._body_bytes = 0
            self._note_kept_bytes()
            self._budget.end_handling(self)
            self._start_head_timer()
        if self.recv_buffer:
            await asyncio.sleep(0)

    async def _linger(self) -> None:
        """Discard what arrives until the client has had time to read the refusal."""
        assert self.http is not None and self.transport is not None
        self.recv_buffer.clear()
        self.transport.resume_reading()
        await asyncio.sleep(LINGER_TIME_S)
        self.http.request_body = None

    async def _discard_body(self, request: Request) -> None:
        """Read the rest of a body that no handler asked for, in turns."""
        pieces = 0
        try:
            async with asyncio.timeout(self.request_timeout):
                async for _ in request.stream:  # type: ignore[union-attr]
                    pieces += 1
                    if pieces % PIECES_PER_TURN == 0:
                        await asyncio.sleep(0)
        except TimeoutError:
            assert self.http is not None
            self.http.keep_alive = False
            self.http.request_body = None

    def _note_kept_bytes(self) -> None:
        self._budget.keep(self, len(self.recv_buffer) + self._body_bytes)

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self.keep_alive_timeout + self.request_timeout, self.cut
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class BoundedRequest(Request):
    """A request whose body is read through its `BoundedHttp` connection."""

    async def receive_body(self) -> None:
        """Read the body within the budget and the time limit of the connection."""
        if not self.body:
            connection = self.stream.protocol  # type: ignore[union-attr]
            assert isinstance(connection, BoundedHttp)
            self.body = await connection.read_body(self)
