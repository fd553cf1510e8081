"""A cell of processes on loopback with as many teams, keys and jobs as wanted."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from pathlib import Path

import aiohttp

from cassiaweir.configuration import Bundle
from cassiaweir.configuration._bundle import (
    Limit,
    QueueEntry,
    ServiceEntry,
    TeamEntry,
)
from cassiaweir.types import JobKind
from cassiaweir.work import JobSpec, TaskSize
from lab._desk import OperatorDesk
from prove.callers import CREATED, Caller
from prove.cluster import PORTS_PER_RUN, TABLE_OFFSET, Cluster, Layout

FIRST_BASE_PORT = 14_000
LAST_BASE_PORT = 30_000
BLOCKS_PER_SITE = 2
SERVICE = "inventory"
TEAM = "team0"
AMPLE = Limit(cpu_millis=10**9, memory_mb=10**9)
SETTLE_SECONDS = 10.0
READY_SECONDS = 60.0
READY_INTERVAL_SECONDS = 0.5
SMALL = TaskSize(cpu_millis=500, memory_mb=1024)
HALF_WORKER = TaskSize(cpu_millis=8_000, memory_mb=16_384)
HALVES = 2


def make_bundle(teams: int, *, share: int = 1) -> Bundle:
    """Return a bundle with `teams` teams, a queue for work and a service."""
    entries = [
        TeamEntry(f"team{number}", share=share, limit=AMPLE) for number in range(teams)
    ]
    queues = [QueueEntry("work"), QueueEntry(SERVICE)]
    return Bundle(team=entries, queue=queues, service=[ServiceEntry(SERVICE, SERVICE)])


def make_job(
    name: str,
    tasks: int,
    payload: str,
    *,
    kind: JobKind = JobKind.BATCH,
    size: TaskSize = SMALL,
) -> JobSpec:
    """Return a job, of small tasks unless `size` says otherwise."""
    seconds = 0 if kind is JobKind.SERVICE else 1
    return JobSpec(
        job=name,
        queue="work",
        kind=kind,
        tasks=tasks,
        size=size,
        payload=payload,
        declared_seconds=seconds,
    )


@dataclass(slots=True)
class Site:
    """A started cell, its operators and a caller of its first team."""

    cluster: Cluster
    desk: OperatorDesk
    caller: Caller
    teams: int
    jobs: int = 0

    async def submit(
        self, tasks: int, payload: str, kind: JobKind, *, size: TaskSize = SMALL
    ) -> str:
        """Submit a job and return its name."""
        self.jobs += 1
        name = f"job{self.jobs}"
        answer = await self.caller.submit(
            make_job(name, tasks, payload, kind=kind, size=size)
        )
        if answer.status != CREATED:
            raise RuntimeError(f"{name}: status {answer.status}: {answer.body!r}")
        return name

    async def fill(self, workers: int) -> None:
        """Fill all workers with services and let one more task wait."""
        room = workers * HALVES
        name = await self.submit(room + 1, "forever", JobKind.SERVICE, size=HALF_WORKER)
        await self.caller.wait_running(name, room)

    async def run_services(self, tasks: int, *, tasks_a_job: int = 20) -> None:
        """Start `tasks` tasks that run for ever and wait until all of them run."""
        while tasks > 0:
            part = min(tasks, tasks_a_job)
            name = await self.submit(part, "forever", JobKind.SERVICE)
            await self.caller.wait_running(name, part)
            tasks -= part


@contextlib.asynccontextmanager
async def open_site(
    layout: Layout, name: str, *, teams: int = 6, keys: int = 0
) -> AsyncIterator[Site]:
    """Start a cell of `layout` with `teams` teams and `keys` further keys."""
    folder = Path("build/capacity") / name
    cluster = Cluster(replace(layout, service=SERVICE), folder, _find_base_port())
    try:
        await cluster.start_platform()
        desk = await OperatorDesk.open(cluster.address(TABLE_OFFSET))
        await desk.roll_out(make_bundle(teams))
        for number in range(keys):
            await desk.keys.grant(desk.author, f"team{number % teams}")
        secret = (await desk.keys.grant(desk.author, TEAM)).secret
        await cluster.start_entry_vms()
        async with aiohttp.ClientSession() as session:
            caller = Caller(session, cluster.balancer, TEAM, secret)
            site = Site(cluster, desk, caller, teams)
            await _wait_until_owned(site)
            await asyncio.sleep(SETTLE_SECONDS)
            yield site
        await desk.close()
    finally:
        await cluster.kill()


async def _wait_until_owned(site: Site) -> None:
    """Wait until a task of a short job has run, so the shards have owners."""
    async with asyncio.timeout(READY_SECONDS):
        while True:
            try:
                name = await site.submit(1, "run:0.1", JobKind.BATCH)
                break
            except RuntimeError:
                await asyncio.sleep(READY_INTERVAL_SECONDS)
        await site.caller.wait_finished(name)


def _find_base_port() -> int:
    """Return the first port of a block that no other run uses now."""
    # Other runs take the lowest block that is free.
    for base in reversed(range(FIRST_BASE_PORT, LAST_BASE_PORT, PORTS_PER_RUN)):
        blocks = [base + number * PORTS_PER_RUN for number in range(BLOCKS_PER_SITE)]
        if all(map(_is_free, blocks)):
            return base
    raise RuntimeError("every block of ports is in use")


def _is_free(port: int) -> bool:
    """Tell whether nobody listens on `port`."""
    with socket.socket() as probe:
        # Connections of an earlier run that wait for their end do not count.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
