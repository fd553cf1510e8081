"""The HTTP server for callers, and the one for the load balancer's readiness check."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Protocol

from aiohttp import web
from loguru import logger

from cassiaweir.exceptions import InvalidInputError, RefusedError, UnavailableError
from cassiaweir.front._access import Access, AccessChecker, Denial
from cassiaweir.front._cancels import CancelResult
from cassiaweir.front._load_admission import LoadAdmission
from cassiaweir.front._pending_jobs import Attempt, OverloadError
from cassiaweir.front._states import JobDirectory
from cassiaweir.front._submissions import JobWriter
from cassiaweir.http_limits import (
    DEFAULT_LIMITS,
    BodyTimeoutError,
    BodyTooLargeError,
    BoundedServer,
    BudgetExhaustedError,
    ByteBudget,
    IncompleteBodyError,
    ProcessLimits,
    Refusals,
    Reservation,
    read_body,
)
from cassiaweir.jobs import JobSpec, JobState
from cassiaweir.observe import Metrics
from cassiaweir.queues import Queue
from cassiaweir.scheduling import Rejected
from cassiaweir.types import NO_RESOURCES, Clock
from cassiaweir.verdict import Verdict

JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
READY_PATH = "/ready"
FRONT_LISTENER = "front"
JSON_TYPE = "application/json"
RETRY_AFTER_S = 1
"""Sent with status 503 and 504 in the Retry-After header."""

DRAIN_DELAY = timedelta(milliseconds=2_500)
"""The load balancer may send new connections this long after readiness fails."""

SHUTDOWN_TIMEOUT_S = 1.5
"""How long requests in flight may take once the server has stopped listening."""


class JobCodec(Protocol):
    """Decodes the bodies of requests and encodes those of responses."""

    @property
    def key_header(self) -> str:
        """The header that carries the caller's key."""

    def submission_memory(self, raw: bytes) -> int:
        """Return the most bytes that a request body takes until its job is stored."""

    def decode_submission(
        self,
        raw: bytes,
        *,
        job_id: str,
        queue: Queue,
        customer: str,
        submitted_at: float,
    ) -> JobSpec:
        """Return the job in a request body, or raise `InvalidInputError`."""

    def encode_state(self, state: JobState) -> bytes:
        """Return the response body with the state of a job."""

    def encode_pending(self, count: int) -> bytes:
        """Return the response body with the number of jobs that have not started."""


def _with_terms(spec: JobSpec, access: Access) -> JobSpec:
    """Return `spec` with the cap and the version of the configuration in force here."""
    cap = access.customer.cap if access.customer else NO_RESOURCES
    return replace(spec, cap=cap, configuration=access.version)


@dataclass(frozen=True, slots=True)
class _HttpReply:
    """What to respond, and the reason for it in logs and metrics."""

    status: int
    reason: str
    body: bytes = b""
    retry_after_s: int = 0


DENIAL_REPLIES = {
    Denial.NO_CONFIGURATION: _HttpReply(
        503, "no_configuration", retry_after_s=RETRY_AFTER_S
    ),
    Denial.STALE_KEYS: _HttpReply(503, "stale_keys", retry_after_s=RETRY_AFTER_S),
    Denial.NO_QUEUE: _HttpReply(404, "no_queue"),
    Denial.UNKNOWN_KEY: _HttpReply(401, "unknown_key"),
}


class FrontServer:
    """Serves callers, and the load balancer's readiness checks on an own address.

    `admission` refuses submissions by load; without it none is refused for that.
    `limits` bound what clients may use of the process, beside the connections to
    backend servers, which `server_connections` counts.  Once `drain` is called,
    readiness checks fail and each connection is closed after its next response.
    """

    def __init__(
        self,
        *,
        front_address: str,
        ready_address: str,
        access: AccessChecker,
        submissions: JobWriter,
        states: JobDirectory,
        codec: JobCodec,
        clock: Clock,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        admission: LoadAdmission | None = None,
        limits: ProcessLimits = DEFAULT_LIMITS,
        server_connections: Callable[[], int] = lambda: 0,
    ) -> None:
        self._server_connections = server_connections
        self._admission = admission
        self._limits = limits
        self._bodies = ByteBudget(limits.body_bytes)
        self._refusals = Refusals(metrics)
        self._front_address = front_address
        self._ready_address = ready_address
        self._access = access
        self._submissions = submissions
        self._states = states
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._stopping = False
        self._request_count = 0
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Listen on both addresses."""
        front = BoundedServer(
            self._handle,
            FRONT_LISTENER,
            self._limits.callers,
            self._refusals,
            on_tick=lambda: self._update_limits(front),
        )
        ready = BoundedServer(
            self._handle_ready, "ready", self._limits.operators, self._refusals
        )
        for address, server in (
            (self._front_address, front),
            (self._ready_address, ready),
        ):
            runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
            await runner.setup()
            host, _, port = address.rpartition(":")
            await web.TCPSite(runner, host, int(port), backlog=1024).start()
            self._runners.append(runner)

    async def stop(self) -> None:
        """Stop listening and wait up to `SHUTDOWN_TIMEOUT_S` for requests in flight."""
        for runner in self._runners:
            await runner.cleanup()

    async def drain(self) -> None:
        """Fail readiness checks and keep serving until the balancer has noticed."""
        self._stopping = True
        await self._clock.sleep(DRAIN_DELAY)

    def _update_limits(self, server: BoundedServer) -> None:
        """Leave the connections to callers that those to backend servers leave."""
        server.max_connections = self._limits.callers_beside(self._server_connections())
        self._metrics.set("http_body_bytes", self._bodies.used)

    async def _handle_ready(self, req: web.BaseRequest) -> web.StreamResponse:
        ready = req.path == READY_PATH and not self._stopping and self._is_ready()
        return web.Response(status=200 if ready else 503)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        began = self._clock.monotonic()
        self._request_count += 1
        number = self._request_count
        http_reply = await self._reply_to(req)
        resp = web.Response(
            status=http_reply.status,
            body=http_reply.body,
            content_type=JSON_TYPE if http_reply.body else None,
        )
        if http_reply.retry_after_s:
            resp.headers["Retry-After"] = str(http_reply.retry_after_s)
        if self._stopping:
            resp.force_close()
        seconds = self._clock.monotonic() - began
        self._metrics.count(
            "front_requests", method=req.method, reason=http_reply.reason
        )
        self._metrics.observe("front_request", seconds, method=req.method)
        logger.info(
            "request_answered",
            request=number,
            method=req.method,
            path=req.path,
            status=http_reply.status,
            reason=http_reply.reason,
            ms=round(seconds * 1_000, 1),
            view_age_ms=_milliseconds(self._access.view_age()),
        )
        return resp

    async def _reply_to(self, req: web.BaseRequest) -> _HttpReply:
        """Check access, serve the request and turn errors into replies.

        Status 503 says that the request was not executed and may be sent again, 504
        that it may have been executed, 429 that the job is not accepted for the load.
        """
        host = (req.headers.get("Host") or "").partition(":")[0]
        key = req.headers.get(self._codec.key_header, "")
        access = self._access.find(host, req.path, key)
        if isinstance(access, Denial):
            return DENIAL_REPLIES[access]
        subpath = req.path.removeprefix(access.queue.prefix)
        try:
            return await self._route(req, access, subpath)
        except InvalidInputError as exc:
            return _HttpReply(400, "invalid", str(exc).encode())
        except RefusedError as exc:
            retry_after_s = RETRY_AFTER_S if exc.retry_after is not None else 0
            return _HttpReply(503, exc.reason, retry_after_s=retry_after_s)
        except UnavailableError as exc:
            status = 503 if exc.verdict is Verdict.NOT_RUN else 504
            return _HttpReply(status, "unavailable", retry_after_s=RETRY_AFTER_S)
        except Exception as exc:
            # Whatever it was, the request may have been executed.
            logger.opt(exception=exc).error("request_raised", path=req.path)
            return _HttpReply(504, "unexpected_error", retry_after_s=RETRY_AFTER_S)

    async def _route(
        self, req: web.BaseRequest, access: Access, subpath: str
    ) -> _HttpReply:
        """Serve a request; `subpath` follows the queue's prefix: a job id, or empty."""
        if not subpath and req.method == "GET":
            count = await self._states.count_pending(access.queue.name)
            return _HttpReply(200, "pending", self._codec.encode_pending(count))
        if not JOB_ID_PATTERN.fullmatch(subpath):
            return _HttpReply(
                400, "invalid_job_id", b"a job id has 16 hexadecimal digits"
            )
        if req.method == "POST":
            return await self._submit(req, access, subpath)
        if req.method == "GET":
            return await self._get_state(subpath)
        if req.method == "DELETE":
            return await self._cancel(access, subpath)
        return _HttpReply(405, "method_not_allowed")

    async def _submit(
        self, req: web.BaseRequest, access: Access, submitted_id: str
    ) -> _HttpReply:
        """Read and store a job; what it takes of the memory is reserved before."""
        try:
            with self._bodies.reserve() as reservation:
                return await self._submit_within(reservation, req, access, submitted_id)
        except BodyTimeoutError:
            self._refusals.record(FRONT_LISTENER, "body_timeout")
            return _HttpReply(408, "body_too_slow")
        except IncompleteBodyError:
            return _HttpReply(400, "incomplete_body")
        except BodyTooLargeError:
            return _HttpReply(413, "too_large")
        except BudgetExhaustedError:
            self._refusals.record(FRONT_LISTENER, "too_many_bodies")
            return _HttpReply(503, "too_many_bodies", retry_after_s=RETRY_AFTER_S)

    async def _submit_within(
        self,
        reservation: Reservation,
        req: web.BaseRequest,
        access: Access,
        submitted_id: str,
    ) -> _HttpReply:
        received_version = self._submissions.newest_version()
        spec = await self._read_submission(reservation, req, access, submitted_id)
        rejected = self._check_load(spec)
        attempt = Attempt(received_version, lambda: _is_connected(req), rejected)
        try:
            await self._submissions.submit(spec, attempt)
        except OverloadError as exc:
            if self._admission is not None:
                self._admission.record(spec, exc.rejected)
            return _HttpReply(429, exc.reason, retry_after_s=exc.rejected.retry_after_s)
        return _HttpReply(200, "stored")

    def _check_load(self, spec: JobSpec) -> Rejected | None:
        """Return why a job is refused for the load; without an answer it is not."""
        if self._admission is None:
            return None
        try:
            return self._admission.check(spec)
        except Exception as exc:
            logger.opt(exception=exc).error("admission_failed", job=spec.job_id)
            return None

    async def _read_submission(
        self,
        reservation: Reservation,
        req: web.BaseRequest,
        access: Access,
        submitted_id: str,
    ) -> JobSpec:
        """Return the job in the body of `req`; the body is not kept."""
        raw = await read_body(
            req,
            reservation,
            self._access.max_body_bytes,
            self._limits.body_timeout_s,
        )
        reservation.grow_to(self._codec.submission_memory(raw))
        spec = self._codec.decode_submission(
            raw,
            job_id=submitted_id,
            queue=access.queue,
            customer=access.customer.name if access.customer else "",
            submitted_at=self._clock.now().timestamp(),
        )
        return _with_terms(spec, access)

    async def _get_state(self, job_id: str) -> _HttpReply:
        state = await self._states.job_state(job_id)
        if state is None:
            return _HttpReply(410, "unknown_job")
        return _HttpReply(200, state.value, self._codec.encode_state(state))

    async def _cancel(self, access: Access, job_id: str) -> _HttpReply:
        customer = access.customer.name if access.customer else ""
        result = await self._submissions.cancel(job_id, customer)
        return _HttpReply(
            200 if result is CancelResult.CANCELLED else 410, result.value
        )


def _is_connected(req: web.BaseRequest) -> bool:
    """Return whether the connection of the caller is open, as far as it is known."""
    return req.transport is not None and not req.transport.is_closing()


def _milliseconds(age: timedelta) -> int:
    """Return `age` for the log; -1 where no view was received yet."""
    return -1 if age == timedelta.max else round(age.total_seconds() * 1_000)
