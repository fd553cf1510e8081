"""The HTTP server for callers, and the one that tells whether this VM is ready."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from aiohttp import web
from loguru import logger

from cassiaweir.exceptions import InvalidInputError, RefusedError, UnavailableError
from cassiaweir.front._access import Access, AccessChecker, Denial
from cassiaweir.front._states import JobDirectory
from cassiaweir.front._submissions import CancelResult, JobWriter
from cassiaweir.jobs import JobSpec, JobState
from cassiaweir.observe import Metrics
from cassiaweir.queues import Queue
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
READY_PATH = "/ready"
JSON_TYPE = "application/json"
RETRY_AFTER_S = 1
BODY_TIMEOUT_S = 5.0
BALANCER_LAG = timedelta(milliseconds=2_500)
"""The balancer sends new connections for so long after `ready` turned bad."""

CLOSE_TIMEOUT_S = 1.5
"""Requests in flight get so long to end after the last one was accepted."""


class JobCodec(Protocol):
    """Translates the bodies of callers."""

    @property
    def key_header(self) -> str:
        """The header that carries the caller's key."""

    def decode_submission(
        self,
        raw: bytes,
        *,
        job_id: str,
        queue: Queue,
        customer: str,
        submitted_at: float,
    ) -> JobSpec:
        """Return the job in a body, or raise `InvalidInputError`."""

    def encode_state(self, state: JobState) -> bytes:
        """Return the body that tells the state of a job."""

    def encode_pending(self, count: int) -> bytes:
        """Return the body that tells how many jobs have not begun."""


@dataclass(frozen=True, slots=True)
class _Answer:
    """A response and the reason that the log gives for it."""

    status: int
    reason: str
    body: bytes = b""
    retry_after_s: int = 0


DENIALS = {
    Denial.NO_CONFIGURATION: _Answer(
        503, "no_configuration", retry_after_s=RETRY_AFTER_S
    ),
    Denial.STALE_KEYS: _Answer(503, "stale_keys", retry_after_s=RETRY_AFTER_S),
    Denial.NO_QUEUE: _Answer(404, "no_queue"),
    Denial.UNKNOWN_KEY: _Answer(401, "unknown_key"),
}


class FrontServer:
    """Listens for callers and for the balancer's readiness checks.

    `stopping` turns readiness off; connections are then closed after their answer.
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
    ) -> None:
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
        self._requests = 0
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Listen on both addresses."""
        for address, handler in (
            (self._front_address, self._handle),
            (self._ready_address, self._handle_ready),
        ):
            runner = web.ServerRunner(
                web.Server(handler, access_log=None), shutdown_timeout=CLOSE_TIMEOUT_S
            )
            await runner.setup()
            host, _, port = address.rpartition(":")
            await web.TCPSite(runner, host, int(port), backlog=1024).start()
            self._runners.append(runner)

    async def stop(self) -> None:
        """Stop listening and let requests in flight end."""
        for runner in self._runners:
            await runner.cleanup()

    async def drain(self) -> None:
        """Turn readiness off and go on serving until the balancer has seen it."""
        self._stopping = True
        await self._clock.sleep(BALANCER_LAG)

    async def _handle_ready(self, req: web.BaseRequest) -> web.StreamResponse:
        ready = req.path == READY_PATH and not self._stopping and self._is_ready()
        return web.Response(status=200 if ready else 503)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        began = self._clock.monotonic()
        self._requests += 1
        number = self._requests
        answer = await self._answer(req)
        resp = web.Response(
            status=answer.status,
            body=answer.body,
            content_type=JSON_TYPE if answer.body else None,
        )
        if answer.retry_after_s:
            resp.headers["Retry-After"] = str(answer.retry_after_s)
        if self._stopping:
            resp.force_close()
        seconds = self._clock.monotonic() - began
        self._metrics.count("front_requests", method=req.method, reason=answer.reason)
        self._metrics.observe("front_request", seconds, method=req.method)
        logger.info(
            "request_answered",
            request=number,
            method=req.method,
            path=req.path,
            status=answer.status,
            reason=answer.reason,
            ms=round(seconds * 1_000, 1),
            view_age_ms=_milliseconds(self._access.view_age()),
        )
        return resp

    async def _answer(self, req: web.BaseRequest) -> _Answer:
        host = (req.headers.get("Host") or "").partition(":")[0]
        key = req.headers.get(self._codec.key_header, "")
        access = self._access.find(host, req.path, key)
        if isinstance(access, Denial):
            return DENIALS[access]
        own = req.path.removeprefix(access.queue.prefix)
        try:
            return await self._serve(req, access, own)
        except InvalidInputError as exc:
            return _Answer(400, "invalid", str(exc).encode())
        except RefusedError as exc:
            return _Answer(503, exc.reason, retry_after_s=RETRY_AFTER_S)
        except UnavailableError as exc:
            status = 503 if exc.verdict is Verdict.NOT_RUN else 504
            return _Answer(status, "unavailable", retry_after_s=RETRY_AFTER_S)

    async def _serve(self, req: web.BaseRequest, access: Access, own: str) -> _Answer:
        if not own and req.method == "GET":
            count = await self._states.count_pending(access.queue.name)
            return _Answer(200, "pending", self._codec.encode_pending(count))
        if not JOB_ID.fullmatch(own):
            return _Answer(400, "invalid_job_id", b"a job id has 16 hexadecimal digits")
        if req.method == "POST":
            return await self._submit(req, access, own)
        if req.method == "GET":
            return await self._tell_state(own)
        if req.method == "DELETE":
            return await self._cancel(own)
        return _Answer(405, "method_not_allowed")

    async def _submit(self, req: web.BaseRequest, access: Access, own: str) -> _Answer:
        most = self._access.max_body_bytes
        if (req.content_length or 0) > most:
            return _Answer(413, "too_large")
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                raw = await req.read()
        except TimeoutError:
            return _Answer(408, "body_too_slow")
        except web.HTTPRequestEntityTooLarge:
            return _Answer(413, "too_large")
        if len(raw) > most:
            return _Answer(413, "too_large")
        spec = self._codec.decode_submission(
            raw,
            job_id=own,
            queue=access.queue,
            customer=access.customer.name if access.customer else "",
            submitted_at=self._clock.now().timestamp(),
        )
        await self._submissions.submit(spec)
        return _Answer(200, "stored")

    async def _tell_state(self, own: str) -> _Answer:
        state = await self._states.job_state(own)
        if state is None:
            return _Answer(410, "unknown_job")
        return _Answer(200, state.value, self._codec.encode_state(state))

    async def _cancel(self, own: str) -> _Answer:
        result = await self._submissions.cancel(own)
        return _Answer(200 if result is CancelResult.CANCELLED else 410, result.value)


def _milliseconds(age: timedelta) -> int:
    return -1 if age == timedelta.max else round(age.total_seconds() * 1_000)
