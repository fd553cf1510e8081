"""Measures how soon urgent tasks start on a full fleet: `python -m lab.urgent`.

Batch tasks of one team fill all workers; then another team submits urgent tasks one
after the other.  The start is the one that the workers' ledger shows, and the wait
counts from before the call that submitted the task.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

import aiohttp
import click
import msgspec
from hdrh.histogram import HdrHistogram

from cassiaweir.types import JobKind, Urgency
from cassiaweir.work import JobSpec, TaskSize
from lab._site import Site, open_site
from prove.callers import Caller
from prove.cluster import PACIFICO_NORTE, SICILIA_EST

DEPLOYMENTS = {"sicilia-est": SICILIA_EST, "pacifico-norte": PACIFICO_NORTE}
LIMIT_SECONDS = 1.8
FILL_TASKS = 200
FILL_SECONDS = 120
TASKS_PER_WORKER = 4
QUARTER_WORKER = TaskSize(cpu_millis=4_000, memory_mb=8_192)
URGENT_SECONDS = 0.5
MICROSECONDS = 1_000_000
HIGHEST_MICROSECONDS = 600 * MICROSECONDS
POLL_SECONDS = 0.1
KEY_SECONDS = 3
KEY_LOOKS = 100
UNAUTHORIZED = 401


class StartedRun(msgspec.Struct):
    """The part of a run in the ledger that tells when a task started."""

    task: str
    started_at: float

    @property
    def job(self) -> str:
        """The job of the task."""
        return self.task.rpartition("/")[0]


class RunsOfLedger(msgspec.Struct):
    """The part of the ledger that tells of starts."""

    runs: list[StartedRun]


@dataclass(frozen=True, slots=True)
class Waits:
    """How long urgent tasks waited, in microseconds."""

    histogram: HdrHistogram
    over_limit: int

    def line(self) -> str:
        """Return count, quantiles and how many waited too long."""
        p50, p99 = (
            self.histogram.get_value_at_percentile(quantile) / MICROSECONDS
            for quantile in (50, 99)
        )
        longest = self.histogram.get_max_value() / MICROSECONDS
        return (
            f"{self.histogram.get_total_count()} urgent tasks: p50 {p50:.3f} s, "
            f"p99 {p99:.3f} s, longest {longest:.3f} s, "
            f"{self.over_limit} above {LIMIT_SECONDS} s"
        )


async def measure(deployment: str, tasks: int) -> None:
    """Fill a cell, submit urgent tasks and print their waits."""
    layout = DEPLOYMENTS[deployment]
    async with open_site(layout, "urgent", teams=2) as site:
        await _fill(site, layout.workers * TASKS_PER_WORKER)
        key = await site.desk.keys.grant(site.desk.author, "team1")
        async with aiohttp.ClientSession() as session:
            caller = Caller(session, site.cluster.balancer, "team1", key.secret)
            await _wait_for_key(caller)
            submitted = await _submit_all(caller, tasks)
            started = await _read_starts(session, site.cluster.control)
    click.echo(f"{deployment}: {_compare(submitted, started).line()}")


async def _fill(site: Site, room: int) -> None:
    """Run as many batch tasks as fit, with as many more waiting."""
    name = await site.submit(
        FILL_TASKS, f"run:{FILL_SECONDS}", JobKind.BATCH, size=QUARTER_WORKER
    )
    await site.caller.wait_running(name, min(room, FILL_TASKS) // 2)


async def _wait_for_key(caller: Caller) -> None:
    """Wait until the key that was just granted is in force everywhere."""
    for _ in range(KEY_LOOKS):
        if (await caller.cancel("none")).status != UNAUTHORIZED:
            break
        await asyncio.sleep(POLL_SECONDS)
    await asyncio.sleep(KEY_SECONDS)


async def _submit_all(caller: Caller, tasks: int) -> dict[str, float]:
    """Submit urgent tasks one by one; return when each submission began."""
    submitted = {}
    for number in range(tasks):
        name = f"urgent{number}"
        submitted[name] = time.monotonic()
        await caller.submit(
            JobSpec(
                job=name,
                queue="work",
                kind=JobKind.BATCH,
                tasks=1,
                size=QUARTER_WORKER,
                urgency=Urgency.URGENT,
                payload=f"run:{URGENT_SECONDS}",
                declared_seconds=URGENT_SECONDS,
            )
        )
        await asyncio.sleep(POLL_SECONDS)
    for name in submitted:
        await caller.wait_finished(name)
    return submitted


async def _read_starts(
    session: aiohttp.ClientSession, control: str
) -> dict[str, float]:
    """Return the first start of each job's tasks from the workers' ledger."""
    async with session.get(f"http://{control}/v1/ledger") as resp:
        ledger = msgspec.json.decode(await resp.read(), type=RunsOfLedger)
    starts: dict[str, float] = {}
    for run in ledger.runs:
        starts.setdefault(run.job, run.started_at)
    return starts


def _compare(submitted: dict[str, float], started: dict[str, float]) -> Waits:
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, 2)
    over_limit = 0
    for name, began in submitted.items():
        wait = started[name] - began
        histogram.record_value(max(1, int(wait * MICROSECONDS)))
        over_limit += wait > LIMIT_SECONDS
    return Waits(histogram, over_limit)


@click.command()
@click.option("--deployment", type=click.Choice(list(DEPLOYMENTS)), required=True)
@click.option("--tasks", default=60, show_default=True)
def main(deployment: str, tasks: int) -> None:
    """Measure the waits of urgent tasks on a full fleet of today's size."""
    asyncio.run(measure(deployment, tasks))


if __name__ == "__main__":
    main()
