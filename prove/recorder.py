"""Makes calls and records them, and the data of the stand-ins, in a history."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import aiohttp
import grpc
import msgspec

from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from prove.history import (
    Call,
    Execution,
    History,
    LateRequest,
    Overload,
    TaskRun,
    VersionSeen,
)
from standins._backend import BackendStats, Echo, Executed
from standins._ledger import LedgerAnswer

CALL_TIMEOUT_SECONDS = 20.0
VERSION_POLL_INTERVAL_SECONDS = 0.25
VERSION_CALL_TIMEOUT_SECONDS = 2.0
ANSWERED = 200
CREATED = 201
REQUEST_ID_HEADER = "Cassiaweir-Request-Id"
REPEATED_HEADER = "Cassiaweir-Repeated"
CONTENT_TYPE = "application/x-proof"


class _ProblemDetails(msgspec.Struct):
    reason: str = ""
    verdict: str = ""


@dataclass(frozen=True, slots=True)
class Target:
    """The destination of a call.

    `gateway` is the name of an entry VM, or empty for the load balancer.
    """

    gateway: str
    address: str


@dataclass(frozen=True, slots=True)
class Request:
    """A request to a service, marked as idempotent if it has no idempotency key.

    `work_ms` is how long the backend server executes it and occupies a slot.  `team` is
    the team that sends it, `claimed_team` the one that its header names, if any.
    """

    service: str
    team: str
    key: str
    body: bytes
    idempotency_key: str = ""
    work_ms: int = 5
    queue: str = ""
    claimed_team: str = ""


@dataclass(slots=True)
class Recorder:
    """Makes calls and records each with its times and its outcome.

    `reasons` counts the calls by reason of refusal, or else by outcome.
    """

    session: aiohttp.ClientSession
    history: History = field(default_factory=History)
    reasons: dict[str, int] = field(default_factory=dict)
    _call_numbers: itertools.count[int] = field(
        default_factory=lambda: itertools.count(1)
    )

    async def request(self, target: Target, req: Request) -> Call:
        """Send a request to a service and record it."""
        name = f"c{next(self._call_numbers)}"
        kind = f"{CONTENT_TYPE}; call={name}; work={req.work_ms}"
        headers = {"Content-Type": kind}
        if req.idempotency_key:
            headers["Content-Type"] = f"{kind}; key={req.idempotency_key}"
            headers["Idempotency-Key"] = req.idempotency_key
        else:
            headers["Cassiaweir-Idempotent"] = "true"
        if req.queue:
            headers["Cassiaweir-Queue"] = req.queue
        if req.claimed_team:
            headers["Cassiaweir-Team"] = req.claimed_team
        call = Call(
            name=name,
            team=req.team,
            key=req.key,
            queue_open=bool(req.queue),
            invoked_at=time.monotonic(),
            returned_at=math.inf,
            outcome="broken",
            gateway=target.gateway,
            idempotency_key=req.idempotency_key,
            expected=req.body,
        )
        path = f"/v1/requests/{req.service}"
        return await self._send("POST", target, path, call, req.body, headers)

    async def job(
        self, method: str, target: Target, path: str, call: Call, body: bytes = b""
    ) -> Call:
        """Submit, read or cancel a job, and record the call."""
        return await self._send(method, target, path, call, body, {})

    def begin_job_call(self, name: str, team: str, key: str, target: Target) -> Call:
        """Return the record of a call about a job that is invoked now."""
        return Call(
            name=f"{name}#{next(self._call_numbers)}",
            team=team,
            key=key,
            queue_open=False,
            invoked_at=time.monotonic(),
            returned_at=math.inf,
            outcome="broken",
            gateway=target.gateway,
        )

    async def _send(
        self,
        method: str,
        target: Target,
        path: str,
        call: Call,
        body: bytes,
        headers: dict[str, str],
    ) -> Call:
        if call.key:
            headers["Authorization"] = f"Bearer {call.key}"
        changes: dict[str, Any] = {}
        try:
            async with self.session.request(
                method,
                f"http://{target.address}{path}",
                data=body or None,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
            ) as resp:
                changes = _outcome_changes(resp, await resp.read(), bool(call.expected))
        except aiohttp.ClientConnectorError:
            changes = {"outcome": "unreached"}
        except TimeoutError:
            changes = {"outcome": "timed_out"}
        except (aiohttp.ClientError, OSError):
            changes = {"outcome": "broken"}
        reason = str(changes.pop("reason", changes["outcome"]))
        self.reasons[reason] = self.reasons.get(reason, 0) + 1
        done = replace(call, returned_at=time.monotonic(), **changes)
        self.history.calls.append(done)
        return done

    async def watch_versions(self, vm: str, address: str) -> None:
        """Poll the process at `address` and record its configuration version."""
        async with grpc.aio.insecure_channel(address) as channel:
            stub = cell_pb2_grpc.PeerStub(channel)
            while True:
                await self._record_version(vm, stub)
                await asyncio.sleep(VERSION_POLL_INTERVAL_SECONDS)

    async def _record_version(self, vm: str, stub: cell_pb2_grpc.PeerStub) -> None:
        asked_at = time.monotonic()
        request = cell_pb2.TextRequest(name="state")
        try:
            answer = await stub.Text(request, timeout=VERSION_CALL_TIMEOUT_SECONDS)
        except grpc.aio.AioRpcError:
            return
        state = dict(
            line.split(": ", 1) for line in answer.text.splitlines() if ": " in line
        )
        version = int(state["bundle_version"])
        # Version 0: a process that has just started has no configuration yet.
        if version:
            age = float(state["view_age_seconds"])
            self.history.versions.append(VersionSeen(vm, version, asked_at, age))


def _outcome_changes(
    resp: aiohttp.ClientResponse, raw: bytes, echoed: bool
) -> dict[str, Any]:
    """Return the fields of the call that the response sets, and the `reason`."""
    if resp.status in (ANSWERED, CREATED):
        body = _echoed_body(resp, raw) if echoed else raw
        return {"outcome": "answered", "status": resp.status, "body": body}
    problem = _ProblemDetails()
    if resp.content_type == "application/problem+json":
        problem = msgspec.json.decode(raw, type=_ProblemDetails)
    return {
        "outcome": "refused",
        "status": resp.status,
        "verdict": problem.verdict,
        "reason": problem.reason,
    }


def _echoed_body(resp: aiohttp.ClientResponse, raw: bytes) -> bytes:
    """Return the request body that the backend server echoed.

    Returns the raw answer, which is no request body, if it is not an echo or if it
    belongs to another request.
    """
    try:
        echo = msgspec.json.decode(raw, type=Echo)
    except msgspec.MsgspecError:
        return raw
    repeated = REPEATED_HEADER in resp.headers
    if not repeated and echo.request_id != resp.headers.get(REQUEST_ID_HEADER):
        return raw
    return echo.body.encode()


def record_executions(history: History, executed: Sequence[Executed]) -> None:
    """Add the executions of the backend servers to `history`."""
    history.executions += [
        Execution(
            backend=item.backend,
            request=item.call,
            idempotency_key=item.key,
            began_at=item.began_at,
            ended_at=math.inf if item.ended_at is None else item.ended_at,
        )
        for item in executed
    ]


def record_refusals(history: History, stats: Sequence[BackendStats], at: float) -> None:
    """Add the requests beyond a backend server's capacity or after it left."""
    for item in stats:
        if item.last_after_leaving is not None:
            late = LateRequest(item.backend, item.last_after_leaving)
            history.late_requests.append(late)
        if item.over_slots:
            detail = f"{item.over_slots} requests came while all slots were in use"
            history.overloads.append(Overload(item.backend, at, detail))
        if item.over_connections:
            detail = f"{item.most_connections} connections at once"
            history.overloads.append(Overload(item.backend, at, detail))


def record_ledger(history: History, ledger: LedgerAnswer) -> None:
    """Add the task attempts of the workers, and the starts that overcommitted one."""
    history.overloads += [
        Overload(item.subject, item.at, item.detail)
        for item in ledger.violations
        if item.kind == "overcommitted"
    ]
    history.runs += [
        TaskRun(
            task=run.task,
            attempt=run.attempt,
            worker=run.worker,
            team=run.team,
            size=run.size,
            started_at=run.started_at,
            ended_at=math.inf if run.ended_at is None else run.ended_at,
        )
        for run in ledger.runs
    ]
