"""Callers of a run: requests of all kinds, jobs of all kinds, cancellations."""

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

REQUEST_PAUSE_SECONDS = 0.02
WAVE_SECONDS = 3.0
RETRY_SECONDS = 0.3
REQUESTERS_PER_TEAM = 4
LONG_WORK_MS = 1500
STANDING_JOBS = 3
STANDING_TASKS = 2
LASTING_KEY_SHARE = 0.7
BURST_PAUSE_SECONDS = 4.0
BURST_REQUESTS = 250
BURST_WORK_MS = 300
PASSING_KEY_PAUSE_SECONDS = 0.5
PASSING_KEYS = 4
BIGGEST_BODY_BYTES = 20_000
OPEN_QUEUE = "landing-tickets"
OPEN_TEAM = "public"
WORK_QUEUE = "work"
SMALL = TaskSize(cpu_millis=1000, memory_mb=1024)
TOO_LARGE = TaskSize(cpu_millis=640_000, memory_mb=1024)
GONE = (404, 409)


class _JobRow(msgspec.Struct):
    cancelled: bool = False


class _JobState(msgspec.Struct):
    open: list[msgspec.Raw]


@dataclass(slots=True)
class SubmittedJob:
    """A job that was accepted; `finite` ones must finish by themselves.

    `standing` ones are in no wave of cancellations.
    Services are not, nor are jobs that always fail: these are parked with a reason.
    """

    spec: JobSpec
    team: str
    key: str
    finite: bool
    standing: bool = False
    cancelled: bool = False


@dataclass(slots=True)
class Traffic:
    """Sends work as several teams; `keys` returns the keys of all callers."""

    recorder: Recorder
    targets: Sequence[Target]
    service: str
    keys: Callable[[], Sequence[TeamKey]]
    rng: random.Random
    jobs: list[SubmittedJob] = field(default_factory=list)
    _serial: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def run(self, teams: Sequence[str]) -> None:
        """Send until cancelled."""
        async with asyncio.TaskGroup() as group:
            for team in teams:
                for _ in range(REQUESTERS_PER_TEAM):
                    group.create_task(self._send_requests(team))
                group.create_task(self._send_jobs(team))
            group.create_task(self._send_strange_requests(teams))
            group.create_task(self._send_bursts(teams))
            group.create_task(self._use_passing_keys(group, teams))

    async def submit(
        self, spec: JobSpec, key: TeamKey, *, finite: bool, standing: bool = False
    ) -> bool:
        """Submit a job until it is accepted or refused for good."""
        body = msgspec.json.encode(spec)
        while True:
            target = self.rng.choice(self.targets)
            call = self.recorder.job_call(spec.job, key.team, key.secret, target)
            done = await self.recorder.job("POST", target, "/v1/jobs", call, body)
            if done.status == CREATED:
                # The key of the submission may be withdrawn before the job ends.
                lasting = self._lasting_key(key.team).secret
                job = SubmittedJob(spec, key.team, lasting, finite, standing)
                self.jobs.append(job)
                return True
            if 400 <= done.status < 500 and done.status != 429:
                return False
            await asyncio.sleep(RETRY_SECONDS)

    async def cancel(self, job: SubmittedJob) -> None:
        """Cancel a job until that is confirmed."""
        while True:
            target = self.rng.choice(self.targets)
            call = self.recorder.job_call(job.spec.job, job.team, job.key, target)
            path = f"/v1/jobs/{job.spec.job}"
            done = await self.recorder.job("DELETE", target, path, call)
            if done.status == ANSWERED or done.status in GONE:
                job.cancelled = True
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def open_parts(self, job: SubmittedJob, target: Target) -> int | None:
        """Return how many parts of a job are open, or None where none can tell."""
        call = self.recorder.job_call(job.spec.job, job.team, job.key, target)
        path = f"/v1/jobs/{job.spec.job}"
        done = await self.recorder.job("GET", target, path, call)
        if done.status != ANSWERED:
            return None
        return len(msgspec.json.decode(done.body, type=_JobState).open)

    async def _send_requests(self, team: str) -> None:
        while True:
            await self.send_one(self._key(team))
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)

    async def send_one(self, key: TeamKey) -> None:
        """Send one request, idempotent or not, to any gateway."""
        serial = next(self._serial)
        size = self.rng.choice((10, 200, BIGGEST_BODY_BYTES))
        body = f"{key.team}-{serial}-".encode().ljust(size, b"x")
        work = self.rng.choice((5, 5, 5, 50, 50, LONG_WORK_MS))
        req = Request(self.service, key.team, key.secret, body, work_ms=work)
        if self.rng.random() < 0.5:
            await self.recorder.request(self.rng.choice(self.targets), req)
            return
        await self._send_keyed(req, f"{key.team}-{serial}")

    async def _send_keyed(self, req: Request, idempotency_key: str) -> None:
        """Send a non-idempotent request, and now and then again elsewhere."""
        keyed = Request(
            req.service,
            req.team,
            req.key,
            req.body,
            idempotency_key=idempotency_key,
            work_ms=req.work_ms,
        )
        first, second = self.rng.sample(list(self.targets), 2)
        how = self.rng.random()
        if how < 0.3:
            await asyncio.gather(
                self.recorder.request(first, keyed),
                self.recorder.request(second, keyed),
            )
            return
        done = await self.recorder.request(first, keyed)
        if how < 0.6 or done.outcome != "answered":
            await self.recorder.request(second, keyed)

    async def _send_strange_requests(self, teams: Sequence[str]) -> None:
        """Send without a key, with unknown keys, and on a queue open to all."""
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
        """Send more requests at once than the backend servers have slots."""
        while True:
            await asyncio.sleep(BURST_PAUSE_SECONDS)
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

    async def _use_passing_keys(
        self, group: asyncio.TaskGroup, teams: Sequence[str]
    ) -> None:
        """Use keys that come and go at every gateway, without waiting for answers."""
        while True:
            await asyncio.sleep(PASSING_KEY_PAUSE_SECONDS)
            # Those of the operators' set-up last.
            passing = list(self.keys())[len(teams) :][-PASSING_KEYS:]
            for target in self.targets:
                if target.gateway and passing:
                    req = self._plain_request(self.rng.choice(passing), 5)
                    group.create_task(self._record(target, req))

    async def _record(self, target: Target, req: Request) -> None:
        await self.recorder.request(target, req)

    def _plain_request(self, key: TeamKey, work_ms: int) -> Request:
        body = f"{key.team}-{next(self._serial)}".encode()
        return Request(self.service, key.team, key.secret, body, work_ms=work_ms)

    async def _send_jobs(self, team: str) -> None:
        for index in range(STANDING_JOBS):
            spec = service_job(f"{team}-standing-{index}", STANDING_TASKS)
            await self.submit(spec, self._key(team), finite=False, standing=True)
        for wave in itertools.count():
            key = self._key(team)
            specs = plan_wave(team, f"{team}-{next(self._serial)}")
            await asyncio.gather(
                *(self.submit(spec, key, finite=finite) for spec, finite in specs)
            )
            await asyncio.sleep(WAVE_SECONDS)
            if wave % 2:
                await self._cancel_wave(team)

    async def _cancel_wave(self, team: str) -> None:
        own = [job for job in self.jobs if job.team == team and not job.cancelled]
        endless = [job for job in own if not job.finite and not job.standing]
        await asyncio.gather(*(self.cancel(job) for job in endless))

    def _key(self, team: str) -> TeamKey:
        """Return any key of the team, withdrawn ones as well."""
        if self.rng.random() < LASTING_KEY_SHARE:
            return self._lasting_key(team)
        return self.rng.choice([key for key in self.keys() if key.team == team])

    def _lasting_key(self, team: str) -> TeamKey:
        """Return the first key of the team; the others come and go."""
        return next(key for key in self.keys() if key.team == team)


def service_job(name: str, tasks: int) -> JobSpec:
    """Return a service that runs until it is cancelled."""
    return JobSpec(name, WORK_QUEUE, JobKind.SERVICE, tasks, SMALL, payload="forever")


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
            "size": SMALL,
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
        (spec("huge", JobKind.BATCH, 1, "run:1", size=TOO_LARGE), False),
        (spec("failing", JobKind.BATCH, 2, "fail:0.2", attempts=2), False),
    ]
