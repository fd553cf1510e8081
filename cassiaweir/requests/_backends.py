"""HTTP client for backend servers, with one connection pool for each server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import aiohttp

from cassiaweir.connector import LoopConnector
from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.platform.wire import CALLER_HEADER
from cassiaweir.requests._models import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    TEAM_HEADER,
    ServiceAnswer,
    ServiceRequest,
)
from cassiaweir.response_bodies import read_at_most
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

if TYPE_CHECKING:
    from aiohttp.client import ClientSession
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

CONNECTIONS_PER_BACKEND = 64
"""Connections to one backend server, divided among all gateways."""

MAX_CONNECTIONS_PER_GATEWAY = 8
IDLE_CONNECTION_TIMEOUT = timedelta(seconds=15)
MAX_ANSWER_BYTES = 16 * 1_048_576
FORWARDED_HEADERS = ("Content-Type", "Content-Encoding", "Content-Language")
BACKEND_REFUSED = "backend_refused"
BACKEND_LEAVING = "backend_leaving"
MIN_LEAVING_RETRY_AFTER_SECONDS = 10
HTTP_NO_CONTENT = 204
HTTP_UNAVAILABLE = 503
REFUSED_RETRY_AFTER = timedelta(milliseconds=500)


class _StrictConnector(LoopConnector):
    """Does not reuse idle connections that received unsolicited bytes."""

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        # aiohttp parses bytes that arrive on an idle connection and would return them
        # to the next request as its response.
        for proto, _ in list(self._conns.get(key, ())):
            if proto.should_close:
                proto.close()
        return await super()._get(key, traces)

    def set_limit(self, limit: int) -> None:
        """Set the connection limit; surplus idle connections close by time-out."""
        self._limit = limit


class HttpBackendClient:
    """Sends requests to backend servers and returns complete responses only.

    `gateways` returns the number of gateways that share the connections of a backend
    server.  `vm` is the name of the entry VM that is sent to the backend servers.
    """

    def __init__(
        self, *, gateways: Callable[[], int], clock: Clock, vm: str = ""
    ) -> None:
        self._gateways = gateways
        self._clock = clock
        self._vm = vm
        self._sessions: dict[str, ClientSession] = {}

    async def start(self) -> None:
        """Do nothing; connections are opened on demand."""

    async def stop(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()
        self._sessions.clear()

    async def call(self, address: str, req: ServiceRequest) -> ServiceAnswer:
        """Send `req` to the backend server at `address`.

        Raises `RefusedError` with the verdict NOT_RUN if the deadline has passed or the
        server refused the request, and `UnavailableError` with a verdict if no
        complete response arrived.
        """
        remaining_seconds = req.deadline - self._clock.monotonic()
        if remaining_seconds <= 0:
            raise RefusedError(
                "deadline_passed", "the deadline passed before the request was sent"
            )
        headers_sent = False

        async def mark_headers_sent(*_: Any) -> None:
            nonlocal headers_sent
            headers_sent = True

        try:
            async with asyncio.timeout(remaining_seconds):
                return await self._exchange(
                    address, req, remaining_seconds, mark_headers_sent
                )
        except TimeoutError as exc:
            raise _unavailable(
                "the backend server did not respond before the deadline", headers_sent
            ) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise _unavailable(
                f"the call to the backend server failed: {type(exc).__name__}",
                headers_sent,
            ) from exc

    async def _exchange(
        self,
        address: str,
        req: ServiceRequest,
        remaining_seconds: float,
        mark_headers_sent: Callable[..., Any],
    ) -> ServiceAnswer:
        async with self._session(address).post(
            f"http://{address}/{req.service}",
            data=req.body,
            headers={**_headers(req, remaining_seconds), CALLER_HEADER: self._vm},
            allow_redirects=False,
            trace_request_ctx=mark_headers_sent,
        ) as response:
            try:
                body = await read_at_most(response, MAX_ANSWER_BYTES + 1)
                _check(response, req, body)
            except BaseException:
                response.close()
                raise
            return _answer(response, body)

    def _session(self, address: str) -> ClientSession:
        session = self._sessions.get(address)
        if session is None:
            session = self._sessions[address] = self._open_session()
        connector = session.connector
        if isinstance(connector, _StrictConnector):
            connector.set_limit(self._connection_limit())
        return session

    def _connection_limit(self) -> int:
        """Return this gateway's share of the connections to one backend server."""
        share = CONNECTIONS_PER_BACKEND // max(1, self._gateways())
        return max(1, min(MAX_CONNECTIONS_PER_GATEWAY, share))

    def _open_session(self) -> ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_on_headers_sent)
        return aiohttp.ClientSession(
            connector=_StrictConnector(
                limit=self._connection_limit(),
                keepalive_timeout=IDLE_CONNECTION_TIMEOUT.total_seconds(),
            ),
            timeout=aiohttp.ClientTimeout(total=None),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trace_configs=[trace],
        )


def _headers(req: ServiceRequest, remaining_seconds: float) -> dict[str, str]:
    """Return the headers for the backend server.

    The idempotency key is prefixed with the team, so that equal keys of different teams
    remain distinct.
    """
    headers = {
        **req.headers,
        REQUEST_ID_HEADER: req.request_id,
        DEADLINE_HEADER: str(int(remaining_seconds * 1000)),
        TEAM_HEADER: req.team,
        "Content-Type": req.content_type,
    }
    if req.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = f"{req.team}/{req.idempotency_key}"
    return headers


async def _on_headers_sent(_: Any, context: Any, __: Any) -> None:
    await context.trace_request_ctx()


def _check(response: aiohttp.ClientResponse, req: ServiceRequest, body: bytes) -> None:
    """Raise unless the response belongs to `req` and is complete.

    Raises `RefusedError` if the backend server refused the request without running it.
    """
    echo = response.headers.get(REQUEST_ID_HEADER)
    if echo is not None and echo != req.request_id:
        raise _unavailable("the response belongs to another request", sent=True)
    if not _would_detect_truncation(response):
        raise _unavailable(
            "the response has neither Content-Length nor chunked encoding", sent=True
        )
    if len(body) > MAX_ANSWER_BYTES:
        raise _unavailable(f"the response exceeds {MAX_ANSWER_BYTES} bytes", sent=True)
    if response.status == HTTP_UNAVAILABLE and response.headers.get(NOT_RUN_HEADER):
        raise RefusedError(
            BACKEND_LEAVING if _is_leaving_refusal(response) else BACKEND_REFUSED,
            "the backend server refused the request",
            retry_after=REFUSED_RETRY_AFTER,
        )


def _is_leaving_refusal(response: aiohttp.ClientResponse) -> bool:
    """Return whether Retry-After shows that the backend server is leaving.

    Only integer seconds count; a date or any other value is ignored.
    """
    value = response.headers.get("Retry-After", "")
    return value.isdecimal() and int(value) >= MIN_LEAVING_RETRY_AFTER_SECONDS


def _would_detect_truncation(response: aiohttp.ClientResponse) -> bool:
    """Return whether a truncated body would have raised an error."""
    if response.status == HTTP_NO_CONTENT or "Content-Length" in response.headers:
        return True
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()


def _answer(response: aiohttp.ClientResponse, body: bytes) -> ServiceAnswer:
    headers = {
        name: response.headers[name]
        for name in FORWARDED_HEADERS
        if name in response.headers
    }
    return ServiceAnswer(response.status, body, headers)


def _unavailable(message: str, sent: bool) -> UnavailableError:
    """Return the error whose verdict follows from whether the headers were sent."""
    verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
    return UnavailableError(message, verdict=verdict)
