"""HTTP calls to backend servers, with one pool of connections for each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import aiohttp

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
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

if TYPE_CHECKING:
    from aiohttp.client import ClientSession
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

CONNECTIONS_PER_BACKEND = 64
MOST_CONNECTIONS = 8
IDLE_CONNECTION = timedelta(seconds=15)
LARGEST_ANSWER_BYTES = 16 * 1_048_576
FORWARDED_HEADERS = ("Content-Type", "Content-Encoding", "Content-Language")
BACKEND_REFUSED = "backend_refused"
BACKEND_LEAVING = "backend_leaving"
LEAVING_RETRY_SECONDS = 10
HTTP_NO_CONTENT = 204
HTTP_UNAVAILABLE = 503
BACKEND_RETRY = timedelta(milliseconds=500)


class _StrictConnector(aiohttp.TCPConnector):
    """Closes idle connections on which something came unasked for."""

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        # The library parses bytes that reach an idle connection and would hand them
        # to the next request as its answer.
        for proto, _ in list(self._conns.get(key, ())):
            if proto.should_close:
                proto.close()
        return await super()._get(key, traces)

    def set_limit(self, limit: int) -> None:
        """Bound the connections; surplus idle ones end by their own timeout."""
        self._limit = limit


class HttpBackendClient:
    """Sends requests to backend servers and returns whole answers only.

    `gateways` returns how many gateways share the connections of a backend server.
    `vm` names the entry VM to the backend servers.
    """

    def __init__(
        self, *, gateways: Callable[[], int], clock: Clock, vm: str = ""
    ) -> None:
        self._gateways = gateways
        self._clock = clock
        self._vm = vm
        self._sessions: dict[str, ClientSession] = {}

    async def start(self) -> None:
        """Do nothing; connections are made on demand."""

    async def stop(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()
        self._sessions.clear()

    async def call(self, address: str, req: ServiceRequest) -> ServiceAnswer:
        """Send `req` to the backend server at `address`.

        Raises `RefusedError` with NOT_RUN where the server itself refused, and
        `UnavailableError` with a verdict where no whole answer came.
        """
        left = req.deadline - self._clock.monotonic()
        if left <= 0:
            raise RefusedError("deadline_passed", "the deadline passed")
        connected = False

        async def note_headers(*_: Any) -> None:
            nonlocal connected
            connected = True

        try:
            async with asyncio.timeout(left):
                return await self._exchange(address, req, left, note_headers)
        except TimeoutError as exc:
            raise _unavailable("no answer came in time", connected) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise _unavailable(
                f"the answer broke: {type(exc).__name__}", connected
            ) from exc

    async def _exchange(
        self,
        address: str,
        req: ServiceRequest,
        left: float,
        sending: Callable[..., Any],
    ) -> ServiceAnswer:
        async with self._session(address).post(
            f"http://{address}/{req.service}",
            data=req.body,
            headers={**_headers(req, left), CALLER_HEADER: self._vm},
            allow_redirects=False,
            trace_request_ctx=sending,
        ) as response:
            try:
                body = await _read(response, LARGEST_ANSWER_BYTES + 1)
                _check(response, req, body)
            except BaseException:
                response.close()
                raise
            return _answer(response, body)

    def _session(self, address: str) -> ClientSession:
        session = self._sessions.get(address)
        if session is None:
            session = self._sessions[address] = self._open()
        connector = session.connector
        if isinstance(connector, _StrictConnector):
            connector.set_limit(self._limit())
        return session

    def _limit(self) -> int:
        """Return our part of a backend server's connections."""
        share = CONNECTIONS_PER_BACKEND // max(1, self._gateways())
        return max(1, min(MOST_CONNECTIONS, share))

    def _open(self) -> ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_on_headers_sent)
        return aiohttp.ClientSession(
            connector=_StrictConnector(
                limit=self._limit(),
                keepalive_timeout=IDLE_CONNECTION.total_seconds(),
            ),
            timeout=aiohttp.ClientTimeout(total=None),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trace_configs=[trace],
        )


def _headers(req: ServiceRequest, left: float) -> dict[str, str]:
    """Return the caller's headers and ours; a team's keys are told from others'."""
    headers = {
        **req.headers,
        REQUEST_ID_HEADER: req.request_id,
        DEADLINE_HEADER: str(int(left * 1000)),
        TEAM_HEADER: req.team,
        "Content-Type": req.content_type,
    }
    if req.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = f"{req.team}/{req.idempotency_key}"
    return headers


async def _on_headers_sent(_: Any, context: Any, __: Any) -> None:
    await context.trace_request_ctx()


async def _read(response: aiohttp.ClientResponse, most: int) -> bytes:
    """Return the body up to its end, or its first `most` bytes."""
    parts = []
    while most > 0 and (part := await response.content.read(most)):
        parts.append(part)
        most -= len(part)
    return b"".join(parts)


def _check(response: aiohttp.ClientResponse, req: ServiceRequest, body: bytes) -> None:
    """Raise unless the answer belongs to `req` and is whole."""
    echo = response.headers.get(REQUEST_ID_HEADER)
    if echo is not None and echo != req.request_id:
        raise _unavailable("the answer belongs to another request", sent=True)
    if not _ends_visibly(response):
        raise _unavailable("the end of the answer cannot be told", sent=True)
    if len(body) > LARGEST_ANSWER_BYTES:
        raise _unavailable("the answer is too large", sent=True)
    if response.status == HTTP_UNAVAILABLE and response.headers.get(NOT_RUN_HEADER):
        raise RefusedError(
            BACKEND_LEAVING if _refuses_for_long(response) else BACKEND_REFUSED,
            "the backend server refused the request",
            retry_after=BACKEND_RETRY,
        )


def _refuses_for_long(response: aiohttp.ClientResponse) -> bool:
    """Tell whether a refusal says, by Retry-After, that the server is leaving.

    Only whole seconds are read; a date or anything else says nothing.
    """
    value = response.headers.get("Retry-After", "")
    return value.isdecimal() and int(value) >= LEAVING_RETRY_SECONDS


def _ends_visibly(response: aiohttp.ClientResponse) -> bool:
    """Tell whether a cut body would have been noticed."""
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
    """Return an error; what was never sent did not run."""
    verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
    return UnavailableError(message, verdict=verdict)
