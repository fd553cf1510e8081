"""Runs a cell on loopback with a chosen number of teams, keys and jobs."""

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
from lab._operators import OperatorSession
from prove.callers import CREATED, Caller
from prove.cluster import PORTS_PER_RUN, TABLE_OFFSET, Cluster, Layout

FIRST_BASE_PORT = 14_000
LAST_BASE_PORT = 30_000
PORT_BLOCKS_PER_CELL = 2
SERVICE = "inventory"
TEAM = "team0"
AMPLE_LIMIT = Limit(cpu_millis=10**9, memory_mb=10**9)
SETTLE_SECONDS = 10.0
READY_TIMEOUT_SECONDS = 60.0
READY_INTERVAL_SECONDS = 0.5
SMALL_TASK = TaskSize(cpu_millis=500, memory_mb=1024)
HALF_WORKER_TASK = TaskSize(cpu_millis=8_000, memory_mb=16_384)
HALF_TASKS_PER_WORKER = 2


def make_bundle(teams: int, *, share: int = 1) -> Bundle:
    """Return a bundle with `teams` teams, two queues and a service."""
    entries = [
        TeamEntry(f"team{number}", share=share, limit=AMPLE_LIMIT)
        for number in range(teams)
    ]
    queues = [QueueEntry("work"), QueueEntry(SERVICE)]
    return Bundle(team=entries, queue=queues, service=[ServiceEntry(SERVICE, SERVICE)])


def make_job(
    name: str,
    tasks: int,
    payload: str,
    *,
    kind: JobKind = JobKind.BATCH,
    size: TaskSize = SMALL_TASK,
) -> JobSpec:
    """Return the specification of a job; its tasks are small unless `size` is given."""
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
class LabCell:
    """A running cell, its operators and a caller from its first team."""

    cluster: Cluster
    operators: OperatorSession
    caller: Caller
    teams: int
    jobs: int = 0

    async def submit(
        self, tasks: int, payload: str, kind: JobKind, *, size: TaskSize = SMALL_TASK
    ) -> str:
        """Submit a job and return its name.

        Raises `RuntimeError` where the cell does not accept the job.
        """
        self.jobs += 1
        name = f"job{self.jobs}"
        response = await self.caller.submit(
            make_job(name, tasks, payload, kind=kind, size=size)
        )
        if response.status != CREATED:
            raise RuntimeError(
                f"{name} not accepted: status {response.status}: {response.body!r}"
            )
        return name

    async def fill(self, workers: int) -> None:
        """Fill all workers with service tasks, so that one more task waits."""
        task_capacity = workers * HALF_TASKS_PER_WORKER
        name = await self.submit(
            task_capacity + 1, "forever", JobKind.SERVICE, size=HALF_WORKER_TASK
        )
        await self.caller.wait_running(name, task_capacity)

    async def run_services(self, tasks: int, *, tasks_per_job: int = 20) -> None:
        """Start `tasks` tasks that never end and wait until all of them run."""
        while tasks > 0:
            batch = min(tasks, tasks_per_job)
            name = await self.submit(batch, "forever", JobKind.SERVICE)
            await self.caller.wait_running(name, batch)
            tasks -= batch


@contextlib.asynccontextmanager
async def open_cell(
    layout: Layout, name: str, *, teams: int = 6, keys: int = 0
) -> AsyncIterator[LabCell]:
    """Run a cell of `layout`.

    It has `teams` teams, and `keys` keys besides the one of the caller.
    """
    folder = Path("build/capacity") / name
    cluster = Cluster(replace(layout, service=SERVICE), folder, _find_base_port())
    try:
        await cluster.start_platform()
        operators = await OperatorSession.open(cluster.address(TABLE_OFFSET))
        await operators.roll_out(make_bundle(teams))
        for number in range(keys):
            await operators.keys.grant(operators.author, f"team{number % teams}")
        secret = (await operators.keys.grant(operators.author, TEAM)).secret
        await cluster.start_entry_vms()
        async with aiohttp.ClientSession() as session:
            caller = Caller(session, cluster.balancer, TEAM, secret)
            cell = LabCell(cluster, operators, caller, teams)
            await _wait_until_owned(cell)
            await asyncio.sleep(SETTLE_SECONDS)
            yield cell
        await operators.close()
    finally:
        await cluster.kill()


async def _wait_until_owned(cell: LabCell) -> None:
    """Wait until a short job has been accepted and has finished.

    Only then do the shards have owners.
    """
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while True:
            try:
                name = await cell.submit(1, "run:0.1", JobKind.BATCH)
                break
            except RuntimeError:
                await asyncio.sleep(READY_INTERVAL_SECONDS)
        await cell.caller.wait_finished(name)


def _find_base_port() -> int:
    """Return the first of a range of ports that no other run uses now.

    Raises `RuntimeError` where there is none.
    """
    # Search from the highest block, as other runs take the lowest free block.
    for base in reversed(range(FIRST_BASE_PORT, LAST_BASE_PORT, PORTS_PER_RUN)):
        blocks = [
            base + number * PORTS_PER_RUN for number in range(PORT_BLOCKS_PER_CELL)
        ]
        if all(map(_is_free, blocks)):
            return base
    raise RuntimeError("no free block of ports on loopback")


def _is_free(port: int) -> bool:
    """Return whether nothing listens on `port`."""
    with socket.socket() as probe:
        # Ignore connections of an earlier run in TIME_WAIT.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
