"""Callers of a run: they submit work through the balancer and follow it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec

from cassiaweir.work import JobSpec

FOLLOW_INTERVAL_SECONDS = 0.2
ANSWERED = 200
CREATED = 201
TRY_AGAIN = (429, 502, 503, 504)


class LivePart(msgspec.Struct):
    """What the owner of a shard says of a part of a job."""

    shard: str
    queued: int
    running: int
    succeeded: int
    failed: int
    waiting_reason: str


class JobState(msgspec.Struct):
    """The part of a job's status that callers of a run look at."""

    live: list[LivePart]
    open: list[msgspec.Raw]

    @property
    def running(self) -> int:
        """The tasks that run."""
        return sum(part.running for part in self.live)


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one call; status 0 where the connection broke."""

    status: int
    body: bytes
    verdict: str = ""
    retry_after: float = FOLLOW_INTERVAL_SECONDS


class _Problem(msgspec.Struct):
    verdict: str = ""


@dataclass(slots=True)
class Caller:
    """Calls as one team, with its key."""

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
    ) -> Answer:
        """Send one request; it is idempotent where it has no `idempotency_key`."""
        headers = {}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        else:
            headers["Cassiaweir-Idempotent"] = "true"
        path = f"/v1/requests/{service}"
        return await self._call("POST", path, body, headers)

    async def request_until_run(
        self, service: str, body: bytes, *, idempotency_key: str
    ) -> Answer:
        """Send one request, again as long as it was refused and did not run."""
        while True:
            answer = await self.request(service, body, idempotency_key=idempotency_key)
            if answer.verdict != "not_run" or answer.status not in TRY_AGAIN:
                return answer
            await asyncio.sleep(answer.retry_after)

    async def submit(self, spec: JobSpec) -> Answer:
        """Submit a job, again and again while the answer says to come back."""
        body = msgspec.json.encode(spec)
        while True:
            answer = await self._call("POST", "/v1/jobs", body, {})
            if answer.status not in (0, *TRY_AGAIN):
                return answer
            await asyncio.sleep(FOLLOW_INTERVAL_SECONDS)

    async def look(self, job: str) -> JobState | None:
        """Return the state of a job, or None where it cannot be told now."""
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
        """Wait until `tasks` tasks of the job run at once."""
        while True:
            state = await self.look(job)
            if state is not None and state.running >= tasks:
                return
            await asyncio.sleep(FOLLOW_INTERVAL_SECONDS)

    async def cancel(self, job: str) -> Answer:
        """Cancel a job."""
        return await self._call("DELETE", f"/v1/jobs/{job}", b"", {})

    async def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        url = f"http://{self.balancer}{path}"
        sent = {"Authorization": f"Bearer {self.key}", **headers}
        try:
            async with self.session.request(
                method, url, data=body or None, headers=sent
            ) as resp:
                raw = await resp.read()
        except (aiohttp.ClientError, TimeoutError):
            return Answer(0, b"")
        verdict = ""
        if resp.content_type == "application/problem+json":
            verdict = msgspec.json.decode(raw, type=_Problem).verdict
        retry_after = float(resp.headers.get("Retry-After", FOLLOW_INTERVAL_SECONDS))
        return Answer(resp.status, raw, verdict, retry_after)
