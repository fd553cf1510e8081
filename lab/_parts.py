"""The parts of `lab.capacity`.

Each part varies one quantity and measures a cell at several sizes of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace

from cassiaweir.types import JobKind
from lab._cell import TEAM, LabCell, open_cell
from lab._listing import measure_listing
from lab._readings import take_reading
from lab._recovery import measure_roll_outs, measure_takeovers
from lab._results import Point, make_point
from prove.callers import ANSWERED
from prove.cluster import Layout

MeasureFunction = Callable[[], Coroutine[None, None, list[Point]]]

READING_SECONDS = 15.0
ONE_SHARD = Layout(
    deployment="lab",
    service="inventory",
    failure_domains=("augusta",),
    entry_vms=1,
    workers=24,
    backends=3,
)
EIGHT_DOMAINS = replace(
    ONE_SHARD,
    failure_domains=tuple(f"domain-{number}" for number in range(8)),
    backends=8,
)
WORKER_COUNTS = (8, 24, 58)
RUNNING_TASK_COUNTS = (0, 200, 400, 792)
WAITING_TASK_COUNTS = (0, 1_000, 3_000, 6_000)
TASKS_PER_JOB = 100
JOBS_PER_SECOND = (0.5, 1.5, 3.0)
TASKS_PER_STARTED_JOB = 10
TEAM_COUNTS = (6, 80, 320)
KEY_COUNTS = (0, 1_000, 4_000)
REQUESTS_PER_SECOND = (0, 25, 50, 100)
ENTRY_VMS_PER_DOMAIN = (1, 3, 6)


async def measure_workers() -> list[Point]:
    """Vary the number of idle worker VMs of one shard."""
    points = []
    for count in WORKER_COUNTS:
        async with open_cell(replace(ONE_SHARD, workers=count), "workers") as cell:
            points.append(
                make_point(count, await take_reading(cell.cluster, READING_SECONDS))
            )
    return points


async def measure_full_shard() -> list[Point]:
    """Vary the number of worker VMs of a full shard in which one task waits."""
    points = []
    for count in WORKER_COUNTS:
        async with open_cell(replace(ONE_SHARD, workers=count), "full") as cell:
            await cell.fill(count)
            await asyncio.sleep(5)
            points.append(
                make_point(count, await take_reading(cell.cluster, READING_SECONDS))
            )
    return points


async def measure_running() -> list[Point]:
    """Vary the number of tasks that run on the workers of one shard."""
    points = []
    running = 0
    async with open_cell(replace(ONE_SHARD, workers=58), "running") as cell:
        for count in RUNNING_TASK_COUNTS:
            await cell.run_services(count - running)
            running = count
            await asyncio.sleep(5)
            points.append(
                make_point(count, await take_reading(cell.cluster, READING_SECONDS))
            )
    return points


async def measure_queued() -> list[Point]:
    """Vary the number of tasks that wait for free capacity in one shard."""
    points = []
    queued = 0
    async with open_cell(replace(ONE_SHARD, workers=8), "queued") as cell:
        await cell.run_services(8 * 32)
        for count in WAITING_TASK_COUNTS:
            while queued < count:
                await cell.submit(TASKS_PER_JOB, "run:1", JobKind.BATCH)
                queued += TASKS_PER_JOB
            await asyncio.sleep(5)
            points.append(
                make_point(count, await take_reading(cell.cluster, READING_SECONDS))
            )
    return points


async def measure_starts() -> list[Point]:
    """Vary the number of tasks started and ended per second, in jobs of ten."""
    points = []
    async with open_cell(ONE_SHARD, "starts") as cell:
        for rate in (0.0, *JOBS_PER_SECOND):
            load = asyncio.create_task(_submit_steadily(cell, rate))
            await asyncio.sleep(5)
            reading = await take_reading(cell.cluster, READING_SECONDS)
            load.cancel()
            points.append(make_point(rate * TASKS_PER_STARTED_JOB, reading))
    return points


async def measure_jobs() -> list[Point]:
    """Vary the number of jobs of one task submitted per second."""
    points = []
    async with open_cell(ONE_SHARD, "jobs") as cell:
        for rate in (0.0, *JOBS_PER_SECOND):
            load = asyncio.create_task(_submit_steadily(cell, rate, tasks=1))
            await asyncio.sleep(5)
            reading = await take_reading(cell.cluster, READING_SECONDS)
            load.cancel()
            points.append(make_point(rate, reading))
    return points


async def measure_teams() -> list[Point]:
    """Vary the number of teams in the configuration."""
    points = []
    for count in TEAM_COUNTS:
        async with open_cell(ONE_SHARD, "teams", teams=count) as cell:
            points.append(
                make_point(count, await take_reading(cell.cluster, READING_SECONDS))
            )
    return points


async def measure_keys() -> list[Point]:
    """Vary the number of valid keys, and measure the cost of granting one more."""
    points = []
    for count in KEY_COUNTS:
        async with open_cell(ONE_SHARD, "keys", keys=count) as cell:
            point = make_point(count, await take_reading(cell.cluster, READING_SECONDS))
            point.values["change_bytes"] = await _measure_key_change(cell, point)
            points.append(point)
    return points


async def measure_idempotent() -> list[Point]:
    """Vary the number of idempotent requests per second."""
    return await _measure_requests("idempotent", lambda number: "")


async def measure_non_idempotent() -> list[Point]:
    """Vary the number of non-idempotent requests per second."""
    return await _measure_requests("once", lambda number: f"request-{number}")


async def measure_peers() -> list[Point]:
    """Vary the number of entry processes in eight failure domains."""
    points = []
    for count in ENTRY_VMS_PER_DOMAIN:
        layout = replace(EIGHT_DOMAINS, entry_vms=count)
        async with open_cell(layout, "peers") as cell:
            reading = await take_reading(cell.cluster, READING_SECONDS)
            point = make_point(reading.processes, reading)
            point.values |= await measure_roll_outs(cell)
            points.append(point)
    return points


async def measure_takeover() -> list[Point]:
    """Vary the number of workers of a shard whose owner is killed."""
    points = []
    for count in WORKER_COUNTS:
        layout = replace(ONE_SHARD, workers=count, entry_vms=2)
        points.append(Point(count, await measure_takeovers(layout)))
    return points


async def _measure_key_change(cell: LabCell, idle: Point) -> float:
    """Return the bytes that a process exchanges with the table for one added key."""
    operators = cell.operators
    grant_task = asyncio.create_task(operators.keys.grant(operators.author, TEAM))
    reading = await take_reading(cell.cluster, READING_SECONDS)
    await grant_task
    added_rate = reading.bytes_a_second["table"] - idle.values["bytes_table"]
    return added_rate * reading.seconds


async def _submit_steadily(
    cell: LabCell, rate: float, *, tasks: int = TASKS_PER_STARTED_JOB
) -> None:
    """Submit `rate` jobs per second until cancelled; a rate of 0 submits none."""
    pending: set[asyncio.Task[str]] = set()
    while rate:
        job = asyncio.create_task(cell.submit(tasks, "run:1", JobKind.BATCH))
        pending.add(job)
        job.add_done_callback(pending.discard)
        await asyncio.sleep(1 / rate)


async def _measure_requests(name: str, key_of: Callable[[str], str]) -> list[Point]:
    points = []
    async with open_cell(replace(ONE_SHARD, backends=24), name) as cell:
        for rate in REQUESTS_PER_SECOND:
            load = _RequestLoad(cell, rate, key_of)
            task = asyncio.create_task(load.run())
            await asyncio.sleep(3)
            answered = load.answered
            reading = await take_reading(cell.cluster, READING_SECONDS)
            point = make_point(rate, reading)
            point.values["answered"] = (load.answered - answered) / reading.seconds
            task.cancel()
            points.append(point)
    return points


class _RequestLoad:
    """Sends requests at a constant rate and counts the successful ones."""

    def __init__(
        self, cell: LabCell, rate: float, key_of: Callable[[str], str]
    ) -> None:
        self.answered = 0
        self._cell = cell
        self._rate = rate
        self._key_of = key_of
        self._pending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        while self._rate:
            number += 1
            call = asyncio.create_task(self._send(f"{self._rate}-{number}"))
            self._pending.add(call)
            call.add_done_callback(self._pending.discard)
            await asyncio.sleep(1 / self._rate)

    async def _send(self, number: str) -> None:
        key = self._key_of(number)
        service = self._cell.cluster.layout.service
        response = await self._cell.caller.request(
            service, number.encode(), idempotency_key=key
        )
        self.answered += response.status == ANSWERED


# The first string of each part is stored with its result and says what the sizes count.
PARTS: dict[str, tuple[str, MeasureFunction]] = {
    "workers": ("idle worker VMs", measure_workers),
    "full": ("worker VMs of a full shard", measure_full_shard),
    "running": ("running tasks on 58 worker VMs", measure_running),
    "queued": ("waiting tasks", measure_queued),
    "starts": ("task starts a second", measure_starts),
    "jobs": ("jobs of one task a second", measure_jobs),
    "teams": ("teams", measure_teams),
    "keys": ("keys", measure_keys),
    "idempotent": ("idempotent requests a second", measure_idempotent),
    "once": ("non-idempotent requests a second", measure_non_idempotent),
    "peers": ("entry processes", measure_peers),
    "listing": ("VMs in the list", measure_listing),
    "takeover": ("worker VMs of the shard", measure_takeover),
}
