"""A caller that sends requests and jobs through the balancer and polls them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec

from cassiaweir.work import JobSpec

FOLLOW_INTERVAL_SECONDS = 0.2
ANSWERED = 200
CREATED = 201
RETRYABLE_STATUSES = (429, 502, 503, 504)


class PartStatus(msgspec.Struct):
    """The state of the part of a job that one shard runs, as its owner reports it."""

    shard: str
    queued: int
    running: int
    succeeded: int
    failed: int
    waiting_reason: str


class JobState(msgspec.Struct):
    """The fields of a job's status that callers read.

    `live` are the parts whose owners report a state, `open` the unfinished parts.
    """

    live: list[PartStatus]
    open: list[msgspec.Raw]

    @property
    def running(self) -> int:
        """The number of tasks that run."""
        return sum(part.running for part in self.live)


@dataclass(frozen=True, slots=True)
class Response:
    """The response to one call; `status` is 0 if the connection failed."""

    status: int
    body: bytes
    verdict: str = ""
    retry_after: float = FOLLOW_INTERVAL_SECONDS


class _ProblemDetails(msgspec.Struct):
    verdict: str = ""


@dataclass(slots=True)
class Caller:
    """Calls the API through the balancer with the key of one team."""

    session: aiohttp.ClientSession
    balancer: str
    team: str
    key: str

    async def request(
        self,
        service: str,
        body: bytes,
        *,
        idempotency_key: str = "",
    ) -> Response:
        """Send one request, marked as idempotent if it has no `idempotency_key`."""
        headers = {}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        else:
            headers["Cassiaweir-Idempotent"] = "true"
        path = f"/v1/requests/{service}"
        return await self._call("POST", path, body, headers)

    async def request_until_run(
        self, service: str, body: bytes, *, idempotency_key: str
    ) -> Response:
        """Send a request, and retry it while it is refused without having run."""
        while True:
            answer = await self.request(service, body, idempotency_key=idempotency_key)
            if answer.verdict != "not_run" or answer.status not in RETRYABLE_STATUSES:
                return answer
            await asyncio.sleep(answer.retry_after)

    async def submit(self, spec: JobSpec) -> Response:
        """Submit a job, and retry while the connection or the service fails."""
        body = msgspec.json.encode(spec)
        while True:
            answer = await self._call("POST", "/v1/jobs", body, {})
            if answer.status not in (0, *RETRYABLE_STATUSES):
                return answer
            await asyncio.sleep(FOLLOW_INTERVAL_SECONDS)

    async def look(self, job: str) -> JobState | None:
        """Return the state of a job, or None if it is unavailable now."""
        answer = await self._call("GET", f"/v1/jobs/{job}", b"", {})
        if answer.status != ANSWERED:
            return None
        return msgspec.json.decode(answer.body, type=JobState)

    async def wait_finished(self, job: str) -> None:
        """Wait until no part of the job is open."""
        while True:
            state = await self.look(job)
            if state is not None and not state.open:
                return
            await asyncio.sleep(FOLLOW_INTERVAL_SECONDS)

    async def wait_running(self, job: str, tasks: int) -> None:
        """Wait until at least `tasks` tasks of the job run at the same time."""
        while True:
            state = await self.look(job)
            if state is not None and state.running >= tasks:
                return
            await asyncio.sleep(FOLLOW_INTERVAL_SECONDS)

    async def cancel(self, job: str) -> Response:
        """Cancel a job."""
        return await self._call("DELETE", f"/v1/jobs/{job}", b"", {})

    async def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Response:
        url = f"http://{self.balancer}{path}"
        all_headers = {"Authorization": f"Bearer {self.key}", **headers}
        try:
            async with self.session.request(
                method, url, data=body or None, headers=all_headers
            ) as resp:
                raw = await resp.read()
        except (aiohttp.ClientError, TimeoutError):
            return Response(0, b"")
        verdict = ""
        if resp.content_type == "application/problem+json":
            verdict = msgspec.json.decode(raw, type=_ProblemDetails).verdict
        retry_after = float(resp.headers.get("Retry-After", FOLLOW_INTERVAL_SECONDS))
        return Response(resp.status, raw, verdict, retry_after)
