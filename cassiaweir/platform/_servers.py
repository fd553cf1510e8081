"""Decodes the backend servers' entries in the store, and calls the servers."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import Annotated, Any

import msgspec

from cassiaweir.dispatch import (
    EndKind,
    OrderOutcome,
    RunningTask,
    ServerEntry,
    ServerReport,
    StartOrder,
    TaskEnd,
)
from cassiaweir.exceptions import (
    FencedError,
    InvalidInputError,
    LifetimeEndedError,
    UnavailableError,
)
from cassiaweir.platform._addresses import is_address
from cassiaweir.platform._http import HttpResponse, HttpSession
from cassiaweir.types import Resources
from cassiaweir.verdict import Verdict

SERVERS_PREFIX = "servers//"
MAX_LISTED_ENDS = 500
"""A server lists at most this many ends that are not acknowledged, the oldest ones."""

RACK_LABEL_PATTERN = re.compile(r"r\d+-\d+")

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_OTHER_LIFETIME = 421
STATUSES_UNHEALTHY = (429, 503)

# Outcomes by the reason that a server gives in a 409 answer.
REFUSAL_OUTCOMES = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.OLD_RUN,
    "late": OrderOutcome.TOO_LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.NO_TICKET,
}


MAX_AMOUNT = 1_000_000_000
"""No server has more thousandths of a core, megabytes or accelerators."""

MAX_TIME_MS = 1e15
"""Bounds times and durations in entries, in milliseconds; some 30,000 years."""

SERVER_ID_PATTERN = re.compile(r"[!-~]{1,200}")
"""Ids are sent in a header, so that they must be printable and without spaces."""

MAX_NUMBER = 2**62
"""Bounds the numbers of runs and ends, which count up from 1."""

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]
ClockMilliseconds = Annotated[
    int, msgspec.Meta(ge=-int(MAX_TIME_MS), le=int(MAX_TIME_MS))
]
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=int(MAX_TIME_MS))]


class _Capacity(msgspec.Struct):
    # Thousandths of a processor core.
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class ServerFields(msgspec.Struct):
    """The fields of the entry of a backend server that are used."""

    service: str
    addr: str
    zone: str
    state: str
    room: _Capacity
    labels: list[str] = []
    # The minimum time until a draining server is gone, if it is known.
    remaining_ms: Milliseconds | None = None
    # When the server started, in Unix milliseconds; 0 if unknown.
    born: UnixMilliseconds = 0
    # How much longer the server is slow after its start.
    cold_left_ms: Milliseconds | None = None


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: Number
    checkpoint: str | None
    # The share of its work that is done.
    percent: float
    # Older servers omit the load.
    load: float | None = None


class _EndRow(msgspec.Struct, array_like=True):
    number: Number
    task: str
    run: Number
    kind: EndKind
    checkpoint: str | None


class _HoldAnswer(msgspec.Struct):
    # The server's own clock.
    clock_ms: ClockMilliseconds
    # When the server started, in Unix milliseconds; 0 if unknown.
    born: UnixMilliseconds = 0
    running: list[_RunningRow] = []
    ended: list[_EndRow] = []


class _Refusal(msgspec.Struct):
    reason: str = ""


def decode_server_entry(server_id: str, raw: bytes) -> ServerEntry:
    """Decode the store entry of a backend server, or raise `InvalidInputError`.

    Other writers may leave entries there, so that no value is trusted: an amount that
    no server has would count for the whole fleet, and an address that cannot be called
    would fail in each attempt.
    """
    if SERVER_ID_PATTERN.fullmatch(server_id) is None:
        raise InvalidInputError(f"entry of server {server_id!r}: not a usable id")
    try:
        found = msgspec.json.decode(raw, type=ServerFields)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise InvalidInputError(f"entry of server {server_id}: {exc}") from exc
    if found.state not in ("ready", "draining"):
        raise InvalidInputError(
            f"entry of server {server_id}: unknown state {found.state!r}"
        )
    if not is_address(found.addr):
        raise InvalidInputError(
            f"entry of server {server_id}: {found.addr!r} is not host:port"
        )
    racks = [label for label in found.labels if RACK_LABEL_PATTERN.fullmatch(label)]
    remaining = found.remaining_ms
    return ServerEntry(
        server_id=server_id,
        address=found.addr,
        service=found.service,
        failure_domain=found.zone,
        capacity=Resources(found.room.cpu, found.room.mem_mb, found.room.gpu),
        labels=frozenset(found.labels),
        rack=racks[0] if racks else "",
        draining=found.state == "draining",
        leaves_in_s=None if remaining is None else remaining / 1_000,
        born=found.born,
        cold_left_s=max(found.cold_left_ms or 0.0, 0.0) / 1_000,
    )


class HttpServerClient:
    """Implements the `ServerClient` protocol over HTTP.

    Each call names the server instance that it is meant for, so that a new server at
    the same address does not act on it.
    """

    def __init__(self, session: HttpSession) -> None:
        self._session = session

    async def renew_lease(
        self,
        entry: ServerEntry,
        *,
        epoch: int,
        until_ms: int | None,
        acknowledged: int,
        wait: timedelta,
        timeout: timedelta,
    ) -> ServerReport:
        """Extend the lease of all runs and return the server's report.

        The lease lasts until `until_ms` on the server's clock; None leaves it as it is.
        The server forgets the ends up to number `acknowledged`, and may delay its
        answer by up to `wait` until a run ends.  `timeout` comes on top of that wait.

        Raises `FencedError` where the server follows a higher epoch,
        `LifetimeEndedError` where another lifetime answers at its address, and
        `UnavailableError` where no report arrived.
        """
        body: dict[str, int] = {
            "fence": epoch,
            "acked_upto": acknowledged,
            "wait_ms": round(wait.total_seconds() * 1_000),
        }
        if until_ms is not None:
            body["until_ms"] = until_ms
        resp = await self._post(entry, "/hold", body, timeout + wait)
        if resp.status == STATUS_CONFLICT:
            raise FencedError(
                f"server {entry.server_id} follows a higher epoch than {epoch}"
            )
        if resp.status == STATUS_OTHER_LIFETIME:
            raise LifetimeEndedError(
                f"another lifetime answers at the address of server {entry.server_id}"
            )
        if resp.status != STATUS_OK:
            message = f"server {entry.server_id} answered {resp.status} to /hold"
            raise UnavailableError(message, verdict=Verdict.NOT_RUN)
        return _decode_report(entry.server_id, resp.body)

    async def start(
        self, entry: ServerEntry, order: StartOrder, timeout: timedelta
    ) -> OrderOutcome:
        """Start a run; repeating the same order has no further effect."""
        body: dict[str, Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.spec,
            "until_ms": order.until_ms,
            "fence": order.epoch,
        }
        if order.checkpoint:
            body["checkpointed"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return _to_outcome(await self._post(entry, "/run-start", body, timeout))

    async def stop_run(
        self, entry: ServerEntry, task: str, run: int, epoch: int, timeout: timedelta
    ) -> OrderOutcome:
        """Stop a run, or prevent it from starting later."""
        body = {"task": task, "run": run, "fence": epoch}
        return _to_outcome(await self._post(entry, "/run-stop", body, timeout))

    async def _post(
        self, entry: ServerEntry, path: str, body: dict[str, Any], timeout: timedelta
    ) -> HttpResponse:
        headers = {
            "Content-Type": "application/json",
            "X-Expect-Instance": entry.server_id,
        }
        data = msgspec.json.encode(body)
        return await self._session.send(
            "POST", entry.address, path, data, timeout, headers
        )


def _to_outcome(resp: HttpResponse) -> OrderOutcome:
    if resp.status == STATUS_OK:
        return OrderOutcome.ACCEPTED
    if resp.status == STATUS_OTHER_LIFETIME:
        return OrderOutcome.OTHER_LIFETIME
    if resp.status in STATUSES_UNHEALTHY:
        return OrderOutcome.UNHEALTHY
    if resp.status == STATUS_CONFLICT:
        return _refusal_outcome(resp.body)
    return OrderOutcome.INVALID


def _refusal_outcome(raw: bytes) -> OrderOutcome:
    """Return the outcome for the body `raw` of a 409 answer.

    A 409 with an unknown reason counts as INVALID: the server did nothing either.
    """
    try:
        reason = msgspec.json.decode(raw, type=_Refusal).reason
    except (msgspec.DecodeError, RecursionError):
        reason = ""
    return REFUSAL_OUTCOMES.get(reason, OrderOutcome.INVALID)


def _decode_report(server_id: str, raw: bytes) -> ServerReport:
    """Decode a report, or raise `UnavailableError`.

    A report with one malformed row is rejected as a whole: without that row, a run
    would seem to be gone, or its end would be acknowledged unread.
    """
    try:
        found = msgspec.json.decode(raw, type=_HoldAnswer)
    except (msgspec.DecodeError, RecursionError) as exc:
        message = f"cannot decode the report of server {server_id}: {exc}"
        raise UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN) from exc
    return ServerReport(
        found.clock_ms,
        found.born,
        [
            RunningTask(row.task, row.run, row.checkpoint or "", row.percent, row.load)
            for row in found.running
        ],
        [
            TaskEnd(row.number, row.task, row.run, row.kind, row.checkpoint or "")
            for row in found.ended
        ],
        ends_complete=len(found.ended) < MAX_LISTED_ENDS,
    )
