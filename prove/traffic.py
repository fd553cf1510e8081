"""The traffic of a run: requests and jobs of all kinds, and cancellations."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from cassiaweir.types import JobKind, Urgency
from cassiaweir.work import JobSpec, TaskSize
from prove.administration import TeamKey
from prove.recorder import ANSWERED, CREATED, Recorder, Request, Target

REQUEST_INTERVAL_SECONDS = 0.02
WAVE_INTERVAL_SECONDS = 3.0
RETRY_INTERVAL_SECONDS = 0.3
REQUESTERS_PER_TEAM = 4
LONG_WORK_MS = 1500
STANDING_JOBS_PER_TEAM = 3
TASKS_PER_STANDING_JOB = 2
PERMANENT_KEY_SHARE = 0.7
BURST_INTERVAL_SECONDS = 4.0
BURST_REQUESTS = 250
BURST_WORK_MS = 300
TEMPORARY_KEY_INTERVAL_SECONDS = 0.5
RECENT_TEMPORARY_KEYS = 4
MAX_BODY_BYTES = 20_000
OPEN_QUEUE = "landing-tickets"
OPEN_TEAM = "public"
WORK_QUEUE = "work"
SMALL_TASK = TaskSize(cpu_millis=1000, memory_mb=1024)
OVERSIZED_TASK = TaskSize(cpu_millis=640_000, memory_mb=1024)
GONE_STATUSES = (404, 409)


class _JobRow(msgspec.Struct):
    cancelled: bool = False


class _JobState(msgspec.Struct):
    open: list[msgspec.Raw]


@dataclass(slots=True)
class SubmittedJob:
    """A job that was accepted.

    `finite` jobs must finish by themselves.  Services run until they are cancelled,
    and jobs that cannot succeed stay open with a waiting reason: neither is `finite`.
    `standing` jobs are not cancelled while the traffic runs.
    """

    spec: JobSpec
    team: str
    key: str
    finite: bool
    standing: bool = False
    cancelled: bool = False


@dataclass(slots=True)
class Traffic:
    """Sends requests and jobs of several teams; `keys` returns all their keys."""

    recorder: Recorder
    targets: Sequence[Target]
    service: str
    keys: Callable[[], Sequence[TeamKey]]
    rng: random.Random
    jobs: list[SubmittedJob] = field(default_factory=list)
    _serial: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def run(self, teams: Sequence[str]) -> None:
        """Send requests and jobs until cancelled."""
        async with asyncio.TaskGroup() as group:
            for team in teams:
                for _ in range(REQUESTERS_PER_TEAM):
                    group.create_task(self._send_requests(team))
                group.create_task(self._send_jobs(team))
            group.create_task(self._send_credential_variants(teams))
            group.create_task(self._send_bursts(teams))
            group.create_task(self._use_temporary_keys(group, teams))

    async def submit(
        self, spec: JobSpec, key: TeamKey, *, finite: bool, standing: bool = False
    ) -> bool:
        """Submit a job, with retries, until it is accepted or refused.

        Returns whether it was accepted.
        """
        body = msgspec.json.encode(spec)
        while True:
            target = self.rng.choice(self.targets)
            call = self.recorder.begin_job_call(spec.job, key.team, key.secret, target)
            done = await self.recorder.job("POST", target, "/v1/jobs", call, body)
            if done.status == CREATED:
                # The key of the submission may be withdrawn before the job ends.
                permanent_secret = self._permanent_key(key.team).secret
                job = SubmittedJob(spec, key.team, permanent_secret, finite, standing)
                self.jobs.append(job)
                return True
            if 400 <= done.status < 500 and done.status != 429:
                return False
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def cancel(self, job: SubmittedJob) -> None:
        """Cancel a job, with retries, until that is confirmed or the job is gone."""
        while True:
            target = self.rng.choice(self.targets)
            call = self.recorder.begin_job_call(job.spec.job, job.team, job.key, target)
            path = f"/v1/jobs/{job.spec.job}"
            done = await self.recorder.job("DELETE", target, path, call)
            if done.status == ANSWERED or done.status in GONE_STATUSES:
                job.cancelled = True
                return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def open_parts(self, job: SubmittedJob, target: Target) -> int | None:
        """Return how many parts of a job are open, or None if that is unavailable."""
        call = self.recorder.begin_job_call(job.spec.job, job.team, job.key, target)
        path = f"/v1/jobs/{job.spec.job}"
        done = await self.recorder.job("GET", target, path, call)
        if done.status != ANSWERED:
            return None
        return len(msgspec.json.decode(done.body, type=_JobState).open)

    async def _send_requests(self, team: str) -> None:
        while True:
            await self.send_request(self._key(team))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def send_request(self, key: TeamKey) -> None:
        """Send a request of random size, duration and idempotency to random targets."""
        serial = next(self._serial)
        size = self.rng.choice((10, 200, MAX_BODY_BYTES))
        body = f"{key.team}-{serial}-".encode().ljust(size, b"x")
        work = self.rng.choice((5, 5, 5, 50, 50, LONG_WORK_MS))
        req = Request(self.service, key.team, key.secret, body, work_ms=work)
        if self.rng.random() < 0.5:
            await self.recorder.request(self.rng.choice(self.targets), req)
            return
        await self._send_non_idempotent(req, f"{key.team}-{serial}")

    async def _send_non_idempotent(self, req: Request, idempotency_key: str) -> None:
        """Send a non-idempotent request, and often a duplicate to another target."""
        non_idempotent = Request(
            req.service,
            req.team,
            req.key,
            req.body,
            idempotency_key=idempotency_key,
            work_ms=req.work_ms,
        )
        first, second = self.rng.sample(list(self.targets), 2)
        draw = self.rng.random()
        if draw < 0.3:
            await asyncio.gather(
                self.recorder.request(first, non_idempotent),
                self.recorder.request(second, non_idempotent),
            )
            return
        done = await self.recorder.request(first, non_idempotent)
        if draw < 0.6 or done.outcome != "answered":
            await self.recorder.request(second, non_idempotent)

    async def _send_credential_variants(self, teams: Sequence[str]) -> None:
        """Send requests whose key is missing, unknown or of another team.

        One more has no key and goes to a queue that needs none.
        """
        while True:
            target = self.rng.choice(self.targets)
            body = f"strange-{next(self._serial)}".encode()
            team, other = self.rng.sample(list(teams), 2)
            key = self._key(other).secret
            for req in (
                Request(self.service, team, "", body),
                Request(self.service, team, "no-such-key", body),
                Request(self.service, team, key, body, claimed_team=team),
                Request(self.service, OPEN_TEAM, "", body, queue=OPEN_QUEUE),
            ):
                await self.recorder.request(target, req)
            await asyncio.sleep(0.3)

    async def _send_bursts(self, teams: Sequence[str]) -> None:
        """Send bursts of more requests than the backend servers have slots."""
        while True:
            await asyncio.sleep(BURST_INTERVAL_SECONDS)
            requests = [
                self._plain_request(self._key(teams[index % len(teams)]), BURST_WORK_MS)
                for index in range(BURST_REQUESTS)
            ]
            await asyncio.gather(
                *(
                    self.recorder.request(self.rng.choice(self.targets), req)
                    for req in requests
                )
            )

    async def _use_temporary_keys(
        self, group: asyncio.TaskGroup, teams: Sequence[str]
    ) -> None:
        """Use recent temporary keys at every gateway, without waiting for answers."""
        while True:
            await asyncio.sleep(TEMPORARY_KEY_INTERVAL_SECONDS)
            # The first key of each team, granted at set-up, is permanent.
            temporary_keys = list(self.keys())[len(teams) :][-RECENT_TEMPORARY_KEYS:]
            for target in self.targets:
                if target.gateway and temporary_keys:
                    req = self._plain_request(self.rng.choice(temporary_keys), 5)
                    group.create_task(self._send_recorded(target, req))

    async def _send_recorded(self, target: Target, req: Request) -> None:
        await self.recorder.request(target, req)

    def _plain_request(self, key: TeamKey, work_ms: int) -> Request:
        body = f"{key.team}-{next(self._serial)}".encode()
        return Request(self.service, key.team, key.secret, body, work_ms=work_ms)

    async def _send_jobs(self, team: str) -> None:
        for index in range(STANDING_JOBS_PER_TEAM):
            spec = service_job(f"{team}-standing-{index}", TASKS_PER_STANDING_JOB)
            await self.submit(spec, self._key(team), finite=False, standing=True)
        for wave in itertools.count():
            key = self._key(team)
            specs = plan_wave(team, f"{team}-{next(self._serial)}")
            await asyncio.gather(
                *(self.submit(spec, key, finite=finite) for spec, finite in specs)
            )
            await asyncio.sleep(WAVE_INTERVAL_SECONDS)
            if wave % 2:
                await self._cancel_wave(team)

    async def _cancel_wave(self, team: str) -> None:
        own = [job for job in self.jobs if job.team == team and not job.cancelled]
        unending = [job for job in own if not job.finite and not job.standing]
        await asyncio.gather(*(self.cancel(job) for job in unending))

    def _key(self, team: str) -> TeamKey:
        """Return a random key of the team, which may be withdrawn."""
        if self.rng.random() < PERMANENT_KEY_SHARE:
            return self._permanent_key(team)
        return self.rng.choice([key for key in self.keys() if key.team == team])

    def _permanent_key(self, team: str) -> TeamKey:
        """Return the first key of the team; the others may be withdrawn."""
        return next(key for key in self.keys() if key.team == team)


def service_job(name: str, tasks: int) -> JobSpec:
    """Return a service job that runs until it is cancelled."""
    return JobSpec(
        name, WORK_QUEUE, JobKind.SERVICE, tasks, SMALL_TASK, payload="forever"
    )


def plan_wave(team: str, prefix: str) -> list[tuple[JobSpec, bool]]:
    """Return the jobs of a wave, and whether each finishes by itself."""

    def spec(
        name: str, kind: JobKind, tasks: int, payload: str, **more: object
    ) -> JobSpec:
        values = {
            "job": f"{prefix}-{name}",
            "queue": WORK_QUEUE,
            "kind": kind,
            "tasks": tasks,
            "size": SMALL_TASK,
            "payload": payload,
            "declared_seconds": 1,
            **more,
        }
        return msgspec.convert(msgspec.to_builtins(values), JobSpec)

    return [
        (spec("batch", JobKind.BATCH, 20, "run:1"), True),
        (spec("urgent", JobKind.BATCH, 2, "run:0.3", urgency=Urgency.URGENT), True),
        (spec("gang", JobKind.GANG, 6, "run:1"), True),
        (spec("wrong", JobKind.BATCH, 4, "run:3 usage:10", declared_seconds=0.3), True),
        (service_job(f"{prefix}-service", 4), False),
        (spec("huge", JobKind.BATCH, 1, "run:1", size=OVERSIZED_TASK), False),
        (spec("failing", JobKind.BATCH, 2, "fail:0.2", attempts=2), False),
    ]
