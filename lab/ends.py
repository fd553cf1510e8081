"""Measures how long a VM stands idle between two tasks: `python -m lab.ends`.

One worker runs a batch of tasks that each need the whole VM, so the next one starts
only after the end of the one before was noticed.
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
from lab._desk import OperatorDesk
from prove.callers import Caller
from prove.cluster import SICILIA_EST, TABLE_OFFSET, Cluster

TEAM = "fuel-audits"
RUN_SECONDS = 0.2
WHOLE_VM = TaskSize(cpu_millis=16_000, memory_mb=1_024)
ONE_WORKER = replace(
    SICILIA_EST, failure_domains=("augusta",), entry_vms=1, workers=1, backends=1
)


async def measure(tasks: int) -> None:
    """Run the batch and print the mean idle time between two tasks."""
    cluster = Cluster(ONE_WORKER, Path("build/ends"))
    try:
        await cluster.start_platform()
        desk = await OperatorDesk.open(cluster.address(TABLE_OFFSET))
        keys = await desk.set_up([TEAM])
        await desk.close()
        await cluster.start_entry_vms()
        async with aiohttp.ClientSession() as session:
            caller = Caller(session, cluster.balancer, TEAM, keys[TEAM])
            await _run_batch(caller, "warm-up", 1)
            began = time.monotonic()
            await _run_batch(caller, "batch", tasks)
            idle = (time.monotonic() - began) / tasks - RUN_SECONDS
        click.echo(f"{tasks} tasks one after the other: {idle * 1000:.0f} ms idle each")
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
            payload=f"run:{RUN_SECONDS}",
            declared_seconds=RUN_SECONDS,
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
