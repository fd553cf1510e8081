"""Calls of the platform's services that answer with typed bodies or problems."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

import msgspec
from aiohttp.hdrs import ACCEPT_ENCODING

from cassiaweir.exceptions import (
    ConflictError,
    FencedError,
    InvalidInputError,
    NotFoundError,
    UnavailableError,
)
from cassiaweir.platform._http import HttpSession, doubtful_error
from cassiaweir.platform.wire import CALLER_HEADER, Problem, ProblemKind

COMPRESSION = "gzip"
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Tagged:
    """A resource with its entity tag, which is empty where the service gives none."""

    body: bytes
    tag: str


class PlatformSession:
    """Sends requests to the platform's services on behalf of one VM.

    `caller` is the name of this VM; `timeout` bounds each exchange.  Answers may come
    compressed, as lists of tasks and rows repeat themselves.
    """

    def __init__(self, caller: str, timeout: timedelta) -> None:
        self.timeout = timeout
        headers = {CALLER_HEADER: caller, ACCEPT_ENCODING: COMPRESSION}
        self._http = HttpSession(headers)

    async def start(self) -> None:
        """Open the session; connections are made on demand."""
        await self._http.start()

    async def stop(self) -> None:
        """Close the session and its connections."""
        await self._http.stop()

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
            raise doubtful_error(address, path, exc) from exc

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
        resp = await self._http.send(
            method, address, path, data, timeout or self.timeout
        )
        if resp.status == STATUS_OK:
            return resp.body
        raise _problem_error(address, path, resp.body)

    async def fetch_changed(self, address: str, path: str, tag: str) -> Tagged | None:
        """Get a resource, or return None where it still has the entity tag `tag`."""
        headers = {"If-None-Match": tag} if tag else {}
        resp = await self._http.send("GET", address, path, None, self.timeout, headers)
        if resp.status == STATUS_NOT_MODIFIED:
            return None
        if resp.status == STATUS_OK:
            return Tagged(resp.body, resp.tag)
        raise _problem_error(address, path, resp.body)


def _problem_error(address: str, path: str, raw: bytes) -> Exception:
    """Return the exception that the body of a refusal stands for."""
    try:
        problem = msgspec.json.decode(raw, type=Problem)
    except msgspec.DecodeError as exc:
        return doubtful_error(address, path, exc)
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
