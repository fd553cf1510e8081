"""HTTP client of the administration API, which every entry VM serves."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum
from typing import TypeVar

import aiohttp
import msgspec

from cassiaweir.exceptions import CassiaweirError
from cassiaweir.response_bodies import read_bounded

CALL_TIMEOUT = timedelta(seconds=30)
CONNECT_TIMEOUT = timedelta(seconds=5)
MAX_ANSWER_BYTES = 64 * 1_048_576
MIN_ERROR_STATUS = 400
UNAVAILABLE_STATUSES = (429, 502, 503, 504)
CONFLICT_REASON = "conflict"

Response = TypeVar("Response")


class ExitCode(IntEnum):
    """The exit codes of `cassiaweir ctl`.

    Click also exits with `USAGE` when it cannot parse the command line.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4


class CtlError(CassiaweirError):
    """A command failed.

    `code` is the exit code of the process.  Line breaks in the message become spaces.
    """

    def __init__(self, message: str, code: ExitCode = ExitCode.FAILED) -> None:
        super().__init__(" ".join(message.split()))
        self.code = code


class Problem(msgspec.Struct):
    """The fields of an `application/problem+json` body that error messages use."""

    reason: str = "unknown"
    detail: str = ""
    verdict: str = ""


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request to the API.

    Empty values of `query` are not sent.  `body` is a message, which is encoded as
    JSON, or bytes, which are sent as they are.
    """

    method: str
    path: str
    query: Mapping[str, str] | None = None
    body: object = None


@dataclass(frozen=True, slots=True, repr=False)
class Client:
    """Sends requests to the base URL `server`, with `credential` as bearer token.

    There is no `repr` of the fields, so that logs cannot show the credential.
    """

    server: str
    credential: str

    def call(self, call: Call, response_type: type[Response]) -> Response:
        """Return the decoded response body, or raise `CtlError`."""
        return decode(self.call_raw(call), response_type)

    def call_raw(self, call: Call) -> bytes:
        """Return the undecoded response body, or raise `CtlError`."""
        return asyncio.run(self._send(call))

    async def _send(self, call: Call) -> bytes:
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT.total_seconds(),
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
        )
        query = {key: text for key, text in (call.query or {}).items() if text}
        headers = {"Authorization": f"Bearer {self.credential}"}
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    call.method,
                    f"{self.server}{call.path}",
                    params=query,
                    data=_encode(call.body),
                    headers=headers,
                ) as resp,
            ):
                raw = await read_bounded(resp, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise _unreachable_error(self.server, call, exc) from exc
        if resp.status >= MIN_ERROR_STATUS:
            raise _refusal_error(resp, raw)
        return raw


def decode(raw: bytes, response_type: type[Response]) -> Response:
    """Return the message in the JSON text `raw`, or raise `CtlError`."""
    try:
        return msgspec.json.decode(raw, type=response_type)
    except msgspec.MsgspecError as exc:
        raise CtlError(f"the server's response cannot be decoded: {exc}") from exc


def _encode(body: object) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _unreachable_error(server: str, call: Call, exc: Exception) -> CtlError:
    """Return the error for a request without a response.

    Its message warns if the server may have applied the change all the same.
    """
    not_applied = isinstance(exc, aiohttp.ClientConnectorError) or call.method == "GET"
    warning = (
        ""
        if not_applied
        else "; the change may have been applied; check before repeating"
    )
    reason = str(exc) or type(exc).__name__
    return CtlError(f"{server}: no response: {reason}{warning}", ExitCode.UNAVAILABLE)


def _refusal_error(resp: aiohttp.ClientResponse, raw: bytes) -> CtlError:
    try:
        problem = msgspec.json.decode(raw, type=Problem)
    except msgspec.MsgspecError:
        problem = Problem(detail=f"HTTP status {resp.status}")
    message = f"{problem.reason}: {problem.detail}"
    if problem.verdict == "may_have_run":
        message += "; the change may have been applied; check before repeating"
    retry_after = resp.headers.get("Retry-After")
    if retry_after is not None:
        message += f"; retry after {retry_after} s"
    return CtlError(message, _exit_code(resp.status, problem.reason))


def _exit_code(status: int, reason: str) -> ExitCode:
    if status in UNAVAILABLE_STATUSES:
        return ExitCode.UNAVAILABLE
    return ExitCode.CONFLICT if reason == CONFLICT_REASON else ExitCode.FAILED
