"""The parts of `lab.capacity`: what is varied, and at which sizes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace

from cassiaweir.types import JobKind
from lab._listing import measure_listing
from lab._readings import take_reading
from lab._recovery import measure_roll_outs, measure_takeovers
from lab._results import Point, point_of
from lab._site import TEAM, Site, open_site
from prove.callers import ANSWERED
from prove.cluster import Layout

Measure = Callable[[], Coroutine[None, None, list[Point]]]

SECONDS = 15.0
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
WORKERS = (8, 24, 58)
RUNNING = (0, 200, 400, 792)
QUEUED = (0, 1_000, 3_000, 6_000)
TASKS_A_JOB = 100
JOB_RATES = (0.5, 1.5, 3.0)
TASKS_A_STARTED_JOB = 10
TEAMS = (6, 80, 320)
KEYS = (0, 1_000, 4_000)
REQUEST_RATES = (0, 25, 50, 100)
VMS_A_DOMAIN = (1, 3, 6)


async def measure_workers() -> list[Point]:
    """Vary the idle worker VMs of one shard."""
    points = []
    for count in WORKERS:
        async with open_site(replace(ONE_SHARD, workers=count), "workers") as site:
            points.append(point_of(count, await take_reading(site.cluster, SECONDS)))
    return points


async def measure_full() -> list[Point]:
    """Vary the worker VMs of a shard that is full, with a task that waits."""
    points = []
    for count in WORKERS:
        async with open_site(replace(ONE_SHARD, workers=count), "full") as site:
            await site.fill(count)
            await asyncio.sleep(5)
            points.append(point_of(count, await take_reading(site.cluster, SECONDS)))
    return points


async def measure_running() -> list[Point]:
    """Vary the tasks that run on the workers of one shard."""
    points = []
    running = 0
    async with open_site(replace(ONE_SHARD, workers=58), "running") as site:
        for count in RUNNING:
            await site.run_services(count - running)
            running = count
            await asyncio.sleep(5)
            points.append(point_of(count, await take_reading(site.cluster, SECONDS)))
    return points


async def measure_queued() -> list[Point]:
    """Vary the tasks that wait for room in one shard."""
    points = []
    queued = 0
    async with open_site(replace(ONE_SHARD, workers=8), "queued") as site:
        await site.run_services(8 * 32)
        for count in QUEUED:
            while queued < count:
                await site.submit(TASKS_A_JOB, "run:1", JobKind.BATCH)
                queued += TASKS_A_JOB
            await asyncio.sleep(5)
            points.append(point_of(count, await take_reading(site.cluster, SECONDS)))
    return points


async def measure_starts() -> list[Point]:
    """Vary the tasks started and ended a second, in jobs of ten."""
    points = []
    async with open_site(ONE_SHARD, "starts") as site:
        for rate in (0.0, *JOB_RATES):
            load = asyncio.create_task(_submit_steadily(site, rate))
            await asyncio.sleep(5)
            reading = await take_reading(site.cluster, SECONDS)
            load.cancel()
            points.append(point_of(rate * TASKS_A_STARTED_JOB, reading))
    return points


async def measure_jobs() -> list[Point]:
    """Vary the jobs of one task submitted a second."""
    points = []
    async with open_site(ONE_SHARD, "jobs") as site:
        for rate in (0.0, *JOB_RATES):
            load = asyncio.create_task(_submit_steadily(site, rate, tasks=1))
            await asyncio.sleep(5)
            reading = await take_reading(site.cluster, SECONDS)
            load.cancel()
            points.append(point_of(rate, reading))
    return points


async def measure_teams() -> list[Point]:
    """Vary the teams in force."""
    points = []
    for count in TEAMS:
        async with open_site(ONE_SHARD, "teams", teams=count) as site:
            points.append(point_of(count, await take_reading(site.cluster, SECONDS)))
    return points


async def measure_keys() -> list[Point]:
    """Vary the keys in force."""
    points = []
    for count in KEYS:
        async with open_site(ONE_SHARD, "keys", keys=count) as site:
            point = point_of(count, await take_reading(site.cluster, SECONDS))
            point.values["change_bytes"] = await _measure_key_change(site, point)
            points.append(point)
    return points


async def measure_idempotent() -> list[Point]:
    """Vary the idempotent requests a second."""
    return await _measure_requests("idempotent", lambda number: "")


async def measure_once() -> list[Point]:
    """Vary the non-idempotent requests a second."""
    return await _measure_requests("once", lambda number: f"request-{number}")


async def measure_peers() -> list[Point]:
    """Vary the entry processes of eight failure domains."""
    points = []
    for count in VMS_A_DOMAIN:
        layout = replace(EIGHT_DOMAINS, entry_vms=count)
        async with open_site(layout, "peers") as site:
            reading = await take_reading(site.cluster, SECONDS)
            point = point_of(reading.processes, reading)
            point.values |= await measure_roll_outs(site)
            points.append(point)
    return points


async def measure_takeover() -> list[Point]:
    """Vary the workers of a shard whose owner is killed."""
    points = []
    for count in WORKERS:
        layout = replace(ONE_SHARD, workers=count, entry_vms=2)
        points.append(Point(count, await measure_takeovers(layout)))
    return points


async def _measure_key_change(site: Site, quiet: Point) -> float:
    """Return the bytes that a process exchanges with the table for one more key."""
    desk = site.desk
    granted = asyncio.create_task(desk.keys.grant(desk.author, TEAM))
    reading = await take_reading(site.cluster, SECONDS)
    await granted
    more = reading.bytes_a_second["table"] - quiet.values["bytes_table"]
    return more * reading.seconds


async def _submit_steadily(
    site: Site, rate: float, *, tasks: int = TASKS_A_STARTED_JOB
) -> None:
    """Submit `rate` jobs a second until cancelled."""
    pending: set[asyncio.Task[str]] = set()
    while rate:
        job = asyncio.create_task(site.submit(tasks, "run:1", JobKind.BATCH))
        pending.add(job)
        job.add_done_callback(pending.discard)
        await asyncio.sleep(1 / rate)


async def _measure_requests(name: str, key_of: Callable[[str], str]) -> list[Point]:
    points = []
    async with open_site(replace(ONE_SHARD, backends=24), name) as site:
        for rate in REQUEST_RATES:
            load = _RequestLoad(site, rate, key_of)
            task = asyncio.create_task(load.run())
            await asyncio.sleep(3)
            answered = load.answered
            reading = await take_reading(site.cluster, SECONDS)
            point = point_of(rate, reading)
            point.values["answered"] = (load.answered - answered) / reading.seconds
            task.cancel()
            points.append(point)
    return points


class _RequestLoad:
    """Sends requests at a steady rate."""

    def __init__(self, site: Site, rate: float, key_of: Callable[[str], str]) -> None:
        self.answered = 0
        self._site = site
        self._rate = rate
        self._key_of = key_of
        self._pending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send until cancelled."""
        number = 0
        while self._rate:
            number += 1
            call = asyncio.create_task(self._send(f"{self._rate}-{number}"))
            self._pending.add(call)
            call.add_done_callback(self._pending.discard)
            await asyncio.sleep(1 / self._rate)

    async def _send(self, number: str) -> None:
        key = self._key_of(number)
        service = self._site.cluster.layout.service
        answer = await self._site.caller.request(
            service, number.encode(), idempotency_key=key
        )
        self.answered += answer.status == ANSWERED


PARTS: dict[str, tuple[str, Measure]] = {
    "workers": ("idle worker VMs", measure_workers),
    "full": ("worker VMs of a full shard", measure_full),
    "running": ("running tasks on 58 worker VMs", measure_running),
    "queued": ("waiting tasks", measure_queued),
    "starts": ("task starts a second", measure_starts),
    "jobs": ("jobs of one task a second", measure_jobs),
    "teams": ("teams", measure_teams),
    "keys": ("keys", measure_keys),
    "idempotent": ("idempotent requests a second", measure_idempotent),
    "once": ("non-idempotent requests a second", measure_once),
    "peers": ("entry processes", measure_peers),
    "listing": ("VMs in the list", measure_listing),
    "takeover": ("worker VMs of the shard", measure_takeover),
}
