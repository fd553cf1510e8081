"""The HTTP session that all platform clients of a process share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp.hdrs import ACCEPT, ACCEPT_ENCODING, USER_AGENT

from cassiaweir.exceptions import (
    ConflictError,
    FencedError,
    InvalidInputError,
    NotFoundError,
    UnavailableError,
)
from cassiaweir.platform.wire import CALLER_HEADER, Problem, ProblemKind
from cassiaweir.verdict import Verdict

MOST_CONNECTIONS = 1024
COMPRESSION = "gzip"
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Tagged:
    """A resource with its entity tag, which is empty where the service gives none."""

    body: bytes
    tag: str


@dataclass(frozen=True, slots=True)
class _Response:
    """A whole HTTP response."""

    status: int
    body: bytes
    tag: str


class PlatformSession:
    """Sends requests to the platform's services on behalf of one VM.

    `caller` is the name of this VM; `timeout` bounds each exchange.  Answers may come
    compressed, as lists of tasks and rows repeat themselves.
    """

    def __init__(self, caller: str, timeout: timedelta) -> None:
        self.timeout = timeout
        self._caller = caller
        self._client: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session; connections are made on demand."""
        self._client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=MOST_CONNECTIONS),
            headers={CALLER_HEADER: self._caller, ACCEPT_ENCODING: COMPRESSION},
            skip_auto_headers=(ACCEPT, USER_AGENT),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self) -> None:
        """Close the session and its connections."""
        client, self._client = self._client, None
        if client is not None:
            await client.close()

    async def call(
        self,
        address: str,
        path: str,
        body: msgspec.Struct | None,
        answer: type[T],
        *,
        timeout: timedelta | None = None,
    ) -> T:
        """Post `body`, or get where it is None, and return the decoded `answer`.

        Raises the exception that a problem answer stands for.  Raises
        `UnavailableError` where no usable answer came: with NOT_RUN where nothing
        was sent, else with MAY_HAVE_RUN.
        """
        method = "GET" if body is None else "POST"
        data = None if body is None else msgspec.json.encode(body)
        raw = await self.exchange(method, address, path, data, timeout=timeout)
        try:
            return msgspec.json.decode(raw, type=answer)
        except msgspec.DecodeError as exc:
            raise _doubtful(address, path, exc) from exc

    async def exchange(
        self,
        method: str,
        address: str,
        path: str,
        data: bytes | None,
        *,
        timeout: timedelta | None = None,
    ) -> bytes:
        """Send one request and return the whole body of a good answer."""
        resp = await self._send(method, address, path, data, {}, timeout)
        if resp.status == STATUS_OK:
            return resp.body
        raise _problem_error(address, path, resp.body)

    async def fetch_changed(self, address: str, path: str, tag: str) -> Tagged | None:
        """Get a resource, or return None where it still has the entity tag `tag`."""
        headers = {"If-None-Match": tag} if tag else {}
        resp = await self._send("GET", address, path, None, headers, None)
        if resp.status == STATUS_NOT_MODIFIED:
            return None
        if resp.status == STATUS_OK:
            return Tagged(resp.body, resp.tag)
        raise _problem_error(address, path, resp.body)

    async def _send(
        self,
        method: str,
        address: str,
        path: str,
        data: bytes | None,
        headers: Mapping[str, str],
        timeout: timedelta | None,
    ) -> _Response:
        if self._client is None:
            raise UnavailableError("session is closed", verdict=Verdict.NOT_RUN)
        seconds = (timeout or self.timeout).total_seconds()
        try:
            async with self._client.request(
                method,
                f"http://{address}{path}",
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=seconds, connect=seconds / 2),
                allow_redirects=False,
            ) as resp:
                body = await resp.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            message = f"{address}{path}: cannot connect: {exc}"
            raise UnavailableError(message, verdict=Verdict.NOT_RUN) from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise _doubtful(address, path, exc) from exc
        return _Response(resp.status, body, resp.headers.get("ETag", ""))


def _doubtful(address: str, path: str, exc: Exception) -> UnavailableError:
    """Return the error for a request that was sent and got no usable answer."""
    message = f"{address}{path}: no answer: {type(exc).__name__} {exc}"
    return UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN)


def _problem_error(address: str, path: str, raw: bytes) -> Exception:
    """Return the exception that the body of a refusal stands for."""
    try:
        problem = msgspec.json.decode(raw, type=Problem)
    except msgspec.DecodeError as exc:
        return _doubtful(address, path, exc)
    message = f"{address}{path}: {problem.message}"
    match problem.kind:
        case ProblemKind.CONFLICT:
            return ConflictError(message)
        case ProblemKind.FENCED:
            return FencedError(message)
        case ProblemKind.NOT_FOUND:
            return NotFoundError(message)
        case ProblemKind.INVALID:
            return InvalidInputError(message)
        case _:
            return UnavailableError(message, verdict=problem.verdict)
