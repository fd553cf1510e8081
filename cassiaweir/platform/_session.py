"""Calls to platform services that answer with typed JSON or with a `Problem`."""

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
from cassiaweir.platform._http import HttpSession, unknown_outcome_error
from cassiaweir.platform.wire import CALLER_HEADER, Problem, ProblemKind

ACCEPTED_ENCODING = "gzip"
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class TaggedBody:
    """The body of a resource with its ETag, which is empty if the service sent none."""

    body: bytes
    entity_tag: str


class PlatformSession:
    """Sends requests to the platform's services on behalf of one VM.

    `caller` is the name of this VM; `timeout` bounds each exchange.  Answers may be
    compressed, as lists of tasks and rows are repetitive.
    """

    def __init__(self, caller: str, timeout: timedelta) -> None:
        self.timeout = timeout
        headers = {CALLER_HEADER: caller, ACCEPT_ENCODING: ACCEPTED_ENCODING}
        self._http = HttpSession(headers)

    async def start(self) -> None:
        """Open the session; connections are opened on demand."""
        await self._http.start()

    async def stop(self) -> None:
        """Close the session and its connections."""
        await self._http.stop()

    async def call(
        self,
        address: str,
        path: str,
        body: msgspec.Struct | None,
        answer_type: type[T],
        *,
        timeout: timedelta | None = None,
    ) -> T:
        """Send `body` by POST, or a GET if it is None, and decode the answer.

        Raises the exception that matches the kind of a `Problem` in the answer.
        Raises `UnavailableError` where no usable answer arrived: with NOT_RUN if
        nothing was sent, else with MAY_HAVE_RUN.
        """
        method = "GET" if body is None else "POST"
        data = None if body is None else msgspec.json.encode(body)
        raw = await self.exchange(method, address, path, data, timeout=timeout)
        try:
            return msgspec.json.decode(raw, type=answer_type)
        except msgspec.DecodeError as exc:
            raise unknown_outcome_error(address, path, exc) from exc

    async def exchange(
        self,
        method: str,
        address: str,
        path: str,
        data: bytes | None,
        *,
        timeout: timedelta | None = None,
    ) -> bytes:
        """Send one request and return the body of an answer with status 200.

        Any other answer is raised as the exception that matches its `Problem`.
        """
        resp = await self._http.send(
            method, address, path, data, timeout or self.timeout
        )
        if resp.status == STATUS_OK:
            return resp.body
        raise _error_from_problem(address, path, resp.body)

    async def fetch_if_changed(
        self, address: str, path: str, entity_tag: str
    ) -> TaggedBody | None:
        """Return the resource, or None if its ETag is still `entity_tag`."""
        headers = {"If-None-Match": entity_tag} if entity_tag else {}
        resp = await self._http.send("GET", address, path, None, self.timeout, headers)
        if resp.status == STATUS_NOT_MODIFIED:
            return None
        if resp.status == STATUS_OK:
            return TaggedBody(resp.body, resp.entity_tag)
        raise _error_from_problem(address, path, resp.body)


def _error_from_problem(address: str, path: str, raw: bytes) -> Exception:
    """Return the exception that matches the `Problem` in the body `raw`."""
    try:
        problem = msgspec.json.decode(raw, type=Problem)
    except msgspec.DecodeError as exc:
        return unknown_outcome_error(address, path, exc)
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
