"""Calls the administration API of an entry VM."""

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

CALL_TIMEOUT = timedelta(seconds=30)
CONNECT_TIMEOUT = timedelta(seconds=5)
FIRST_ERROR_STATUS = 400
UNAVAILABLE_STATUSES = (429, 502, 503, 504)
CONFLICT_REASON = "conflict"

Message = TypeVar("Message")


class ExitCode(IntEnum):
    """The exit codes of `cassiaweir ctl`; 2 is a wrong command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4


class CtlError(CassiaweirError):
    """A command failed; `code` is the exit code, the message one line."""

    def __init__(self, message: str, code: ExitCode = ExitCode.FAILED) -> None:
        super().__init__(" ".join(message.split()))
        self.code = code


class Problem(msgspec.Struct):
    """The members of a problem body that the command line shows."""

    reason: str = "unknown"
    detail: str = ""
    verdict: str = ""


@dataclass(frozen=True, slots=True)
class Call:
    """One call; `body` is a message or raw bytes."""

    method: str
    path: str
    query: Mapping[str, str] | None = None
    body: object = None


@dataclass(frozen=True, slots=True, repr=False)
class Client:
    """Calls `server` with a credential, which is never shown."""

    server: str
    credential: str

    def call(self, call: Call, kind: type[Message]) -> Message:
        """Return the decoded answer, or raise `CtlError`."""
        return decode(self.call_raw(call), kind)

    def call_raw(self, call: Call) -> bytes:
        """Return the body of the answer, or raise `CtlError`."""
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
                raw = await resp.read()
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise _unreachable(self.server, call, exc) from exc
        if resp.status >= FIRST_ERROR_STATUS:
            raise _refused(resp, raw)
        return raw


def decode(raw: bytes, kind: type[Message]) -> Message:
    """Return the message in `raw`, or raise `CtlError`."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as exc:
        raise CtlError(f"the server's answer is not understood: {exc}") from exc


def _encode(body: object) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _unreachable(server: str, call: Call, exc: Exception) -> CtlError:
    """Say whether the change may have been made although no answer came."""
    certain = isinstance(exc, aiohttp.ClientConnectorError) or call.method == "GET"
    doubt = "" if certain else "; the change may have been made, look before repeating"
    reason = str(exc) or type(exc).__name__
    return CtlError(f"{server}: no answer: {reason}{doubt}", ExitCode.UNAVAILABLE)


def _refused(resp: aiohttp.ClientResponse, raw: bytes) -> CtlError:
    try:
        problem = msgspec.json.decode(raw, type=Problem)
    except msgspec.MsgspecError:
        problem = Problem(detail=f"status {resp.status}")
    message = f"{problem.reason}: {problem.detail}"
    if problem.verdict == "may_have_run":
        message += "; the change may have been made, look before repeating"
    retry_after = resp.headers.get("Retry-After")
    if retry_after is not None:
        message += f"; come back in {retry_after} s"
    return CtlError(message, _exit_code(resp.status, problem.reason))


def _exit_code(status: int, reason: str) -> ExitCode:
    if status in UNAVAILABLE_STATUSES:
        return ExitCode.UNAVAILABLE
    return ExitCode.CONFLICT if reason == CONFLICT_REASON else ExitCode.FAILED
