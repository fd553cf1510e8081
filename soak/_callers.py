"""Callers that submit jobs through the fronts, poll their states and cancel some."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import aiohttp

from cassiaweir.jobs import JobSpec, JobState, StepSpec
from cassiaweir.queues import Queue
from soak._fronts import Front
from soak._platform import (
    ATTEMPTS,
    CAPPED_KEY,
    KEYS,
    OVERLOAD_KEY,
    OVERLOAD_SHARE,
    QUEUE_HOST,
    QUEUE_PREFIX,
    SoakPlatform,
    customer_of,
)
from soak._records import OVERLOADED, Attempt, History, JobRecord
from standins.users import Deadly

MAX_SUBMIT_ATTEMPTS = 5
REQUEST_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.2
OBEDIENT_SHARE = 0.5
"""How often a caller refused for the load waits for as long as it was told."""

MAX_OBEDIENT_WAIT_S = 2.0
"""A run is short, so a caller waits no longer than this even then."""

OVERLOAD_FACTOR = 6
"""How many times its share the customer of `OverloadCaller` submits."""

MAX_TASKS = 6
MAX_OVERLOAD_TASKS = 12
"""The largest number of tasks in a step; the jobs of `OverloadCaller` fill servers."""

TASK_S = (0.1, 0.4, 1.2)
LONG_TASK_S = (4.0, 8.0, 12.0)
CPU_MILLIS = (500, 1_000, 4_000)
CANCEL_SHARE = 0.08
DEADLY_SHARE = 0.02
CRASH_DELAYS_S = (0.0, 0.1, 0.5)
"""How long after its start a deadly task may crash its server."""

SECOND_STEP_SHARE = 0.4
PAUSE_RANGE_S = (0.05, 0.5)
"""The random pause between two actions of a caller."""

QUEUE = Queue(
    name="batch", host=QUEUE_HOST, prefix=QUEUE_PREFIX, service="inventory",
    most_failures=ATTEMPTS,
)  # fmt: skip


class Caller:
    """One caller with its own connection to each front."""

    _keys: Sequence[str] = KEYS
    _max_tasks = MAX_TASKS
    _deadly_share = DEADLY_SHARE
    _task_s: Sequence[float] = TASK_S
    _cpu_millis: Sequence[int] = CPU_MILLIS

    def __init__(
        self, number: int, platform: SoakPlatform, fronts: Sequence[Front],
        history: History, rng: random.Random, deadly_rng: random.Random,
    ) -> None:  # fmt: skip
        self._number = number
        self._platform = platform
        self._fronts = fronts
        self._history = history
        self._rng = rng
        self._deadly_rng = deadly_rng
        self._job_count = 0
        self._stopped = asyncio.Event()
        self._client: aiohttp.ClientSession

    async def run(self, stopped: asyncio.Event) -> None:
        """Submit jobs until `stopped` is set; the requests of the last job complete."""
        async with aiohttp.ClientSession() as client:
            self._client, self._stopped = client, stopped
            while not stopped.is_set():
                await self._run_job()
                await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    async def wait_finished(self, job_id: str, timeout_s: float) -> bool:
        """Poll a job until it has ended; return whether it did within `timeout_s`."""
        record = self._history.jobs[job_id]
        deadline = _now() + timeout_s
        async with aiohttp.ClientSession() as client:
            self._client = client
            while _now() < deadline:
                attempt = await self._call("GET", job_id, record, KEYS[0])
                if attempt.state and JobState(attempt.state).final:
                    return True
                await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def submit_wide(self, tasks: int, timeout_s: float) -> bool:
        """Submit a job of many large tasks; return whether it was accepted in time."""
        job_id = self._next_job_id()
        step = StepSpec(tasks, 4_000, 256, estimate_s=0.5)
        spec = JobSpec(job_id, QUEUE, "", "1.2/done", (step,), 0.0)
        return await self._submit_until(self._record_job(spec), timeout_s)

    async def submit_single(self, task_s: float, timeout_s: float) -> str | None:
        """Submit a job of one task; return its id if it was accepted in time."""
        job_id = self._next_job_id()
        step = StepSpec(1, 500, 256, estimate_s=task_s)
        spec = JobSpec(job_id, QUEUE, "", f"{task_s}/done", (step,), 0.0)
        accepted = await self._submit_until(self._record_job(spec), timeout_s)
        return job_id if accepted else None

    async def _submit_until(self, record: JobRecord, timeout_s: float) -> bool:
        """Submit a job again until it is accepted; return whether it was in time."""
        deadline = _now() + timeout_s
        async with aiohttp.ClientSession() as client:
            self._client = client
            while record.accepted_at is None and _now() < deadline:
                await self._submit(record.spec.job_id, record, KEYS[0])
        return record.accepted_at is not None

    def _next_job_id(self) -> str:
        self._job_count += 1
        return f"{self._number:04x}{self._job_count:012x}"

    def _record_job(self, spec: JobSpec) -> JobRecord:
        record = self._history.jobs[spec.job_id] = JobRecord(spec)
        self._platform.specs[spec.job_id] = spec
        return record

    async def _run_job(self) -> None:
        job_id = self._next_job_id()
        key = self._rng.choice(self._keys)
        record = self._record_job(self._random_spec(job_id, customer_of(key)))
        if self._deadly_rng.random() < self._deadly_share:
            record.deadly = True
            deadly = Deadly(self._deadly_rng.choice(CRASH_DELAYS_S), back_after_s=1.0)
            self._platform.deadly[f"{job_id}.0.0.0"] = deadly
        await self._submit(job_id, record, key)
        if record.accepted_at is None:
            return
        if self._rng.random() < CANCEL_SHARE:
            record.cancel_sent = True
            attempt = await self._call("DELETE", job_id, record, key)
            if attempt.status == 200:
                record.cancelled_at = attempt.ended_at
        for _ in range(self._rng.randint(1, 3)):
            await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))
            await self._call("GET", job_id, record, key)

    async def _submit(self, job_id: str, record: JobRecord, key: str) -> None:
        body = {
            "spec": record.spec.task_spec,
            "steps": [_encode_step(step) for step in record.spec.steps],
        }
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            attempt = await self._call("POST", job_id, record, key, body)
            if attempt.status == 200:
                record.accepted_at = attempt.ended_at
                return
            if attempt.status in (400, 401, 404):
                return
            if attempt.status == OVERLOADED and self._stopped.is_set():
                return
            await asyncio.sleep(self._retry_delay_s(attempt))

    def _retry_delay_s(self, attempt: Attempt) -> float:
        if attempt.status != OVERLOADED or not attempt.valid_retry_after:
            return RETRY_INTERVAL_S
        if self._rng.random() >= OBEDIENT_SHARE:
            return RETRY_INTERVAL_S
        return min(float(attempt.retry_after), MAX_OBEDIENT_WAIT_S)

    def _random_spec(self, job_id: str, customer: str) -> JobSpec:
        rng = self._rng
        steps = [self._random_step(())]
        if rng.random() < SECOND_STEP_SHARE:
            steps.append(self._random_step((0,)))
        return JobSpec(
            job_id=job_id,
            queue=QUEUE,
            customer=customer,
            task_spec=f"{rng.choice(self._task_s)}/done",
            steps=tuple(steps),
            submitted_at=0.0,
        )

    def _random_step(self, after: tuple[int, ...]) -> StepSpec:
        return StepSpec(
            count=self._rng.randint(1, self._max_tasks),
            cpu_millis=self._rng.choice(self._cpu_millis),
            memory_mb=256,
            estimate_s=0.5,
            after=after,
        )

    async def _call(
        self,
        method: str,
        job_id: str,
        record: JobRecord,
        key: str,
        body: dict[str, Any] | None = None,
    ) -> Attempt:
        """Send one request to a randomly chosen front and record its outcome."""
        front = self._rng.choice(self._fronts)
        attempt = Attempt(method, front.name, _now(), 0.0, 0, key)
        url = f"http://{front.front_address}{QUEUE_PREFIX}{job_id}"
        headers = {"Host": QUEUE_HOST, "X-Credential": key}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._client.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as resp:
                raw = await resp.json() if method == "GET" and resp.ok else {}
                attempt.status = resp.status
                attempt.retry_after = resp.headers.get("Retry-After", "")
                attempt.state = raw.get("state", "")
        except aiohttp.ClientConnectorError:
            attempt.sent = False
        except TimeoutError:
            attempt.status = -1
        except (aiohttp.ClientError, OSError):
            attempt.status = 0
        attempt.ended_at = _now()
        record.attempts.append(attempt)
        return attempt


class LongTaskCaller(Caller):
    """A caller whose tasks run longer than a lease.

    The customer with a cap could not end them while the soak waits.
    """

    _keys = tuple(key for key in KEYS if key != CAPPED_KEY)
    _deadly_share = 0.0
    _task_s = LONG_TASK_S
    _cpu_millis = (500,)


class OverloadCaller(Caller):
    """A customer that submits several times its share without waiting for responses."""

    _keys = (OVERLOAD_KEY,)
    _max_tasks = MAX_OVERLOAD_TASKS
    _deadly_share = 0.0

    async def run(self, stopped: asyncio.Event) -> None:
        """Submit jobs at a steady rate until `stopped` is set."""
        async with aiohttp.ClientSession() as client, asyncio.TaskGroup() as jobs:
            self._client, self._stopped = client, stopped
            while not stopped.is_set():
                jobs.create_task(self._run_job())
                await asyncio.sleep(1 / (OVERLOAD_SHARE * OVERLOAD_FACTOR))


def _encode_step(step: StepSpec) -> dict[str, Any]:
    return {
        "count": step.count,
        "cpu": step.cpu_millis,
        "mem_mb": step.memory_mb,
        "estimate_ms": round(step.estimate_s * 1_000),
        "after": list(step.after),
    }


def _now() -> float:
    return asyncio.get_running_loop().time()
