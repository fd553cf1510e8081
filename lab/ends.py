"""Measures how long a VM is idle between two tasks: `python -m lab.ends`.

One worker runs a batch of tasks that each need the whole VM, so each task starts only
after the scheduler has learnt of the end of the previous one.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from pathlib import Path

import aiohttp
import click

from cassiaweir.types import JobKind
from cassiaweir.work import JobSpec, TaskSize
from lab._operators import OperatorSession
from prove.callers import Caller
from prove.cluster import SICILIA_EST, TABLE_OFFSET, Cluster

TEAM = "fuel-audits"
TASK_SECONDS = 0.2
WHOLE_VM = TaskSize(cpu_millis=16_000, memory_mb=1_024)
ONE_WORKER = replace(
    SICILIA_EST, failure_domains=("augusta",), entry_vms=1, workers=1, backends=1
)


async def measure(tasks: int) -> None:
    """Run the batch and print the mean idle time between two tasks."""
    cluster = Cluster(ONE_WORKER, Path("build/ends"))
    try:
        await cluster.start_platform()
        operators = await OperatorSession.open(cluster.address(TABLE_OFFSET))
        keys = await operators.set_up([TEAM])
        await operators.close()
        await cluster.start_entry_vms()
        async with aiohttp.ClientSession() as session:
            caller = Caller(session, cluster.balancer, TEAM, keys[TEAM])
            await _run_batch(caller, "warm-up", 1)
            started_at = time.monotonic()
            await _run_batch(caller, "batch", tasks)
            idle_seconds = (time.monotonic() - started_at) / tasks - TASK_SECONDS
        click.echo(
            f"{tasks} tasks one after the other: {idle_seconds * 1000:.0f} ms idle each"
        )
        await cluster.stop()
    finally:
        await cluster.kill()


async def _run_batch(caller: Caller, job: str, tasks: int) -> None:
    await caller.submit(
        JobSpec(
            job=job,
            queue="work",
            kind=JobKind.BATCH,
            tasks=tasks,
            size=WHOLE_VM,
            payload=f"run:{TASK_SECONDS}",
            declared_seconds=TASK_SECONDS,
        )
    )
    await caller.wait_finished(job)


@click.command()
@click.option("--tasks", default=20, show_default=True)
def main(tasks: int) -> None:
    """Measure the idle time of a VM between two tasks."""
    asyncio.run(measure(tasks))


if __name__ == "__main__":
    main()
