"""Measures how soon urgent tasks start on a full fleet: `python -m lab.urgent`.

Batch tasks of one team fill all workers; then another team submits urgent tasks one
after the other.  A wait runs from just before the call that submits the task to the
start of the task in the ledger, the record of all runs on the simulated workers.
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
from lab._cell import LabCell, open_cell
from prove.callers import Caller
from prove.cluster import PACIFICO_NORTE, SICILIA_EST

DEPLOYMENTS = {"sicilia-est": SICILIA_EST, "pacifico-norte": PACIFICO_NORTE}
START_LIMIT_SECONDS = 1.8
FILL_TASKS = 200
FILL_TASK_SECONDS = 120
TASKS_PER_WORKER = 4
QUARTER_WORKER_TASK = TaskSize(cpu_millis=4_000, memory_mb=8_192)
URGENT_TASK_SECONDS = 0.5
MICROSECONDS_PER_SECOND = 1_000_000
MAX_WAIT_MICROSECONDS = 600 * MICROSECONDS_PER_SECOND
POLL_INTERVAL_SECONDS = 0.1
KEY_PROPAGATION_SECONDS = 3
MAX_KEY_POLLS = 100
UNAUTHORIZED = 401


class StartedRun(msgspec.Struct):
    """The fields of a run in the ledger that give the start of a task."""

    task: str
    started_at: float

    @property
    def job(self) -> str:
        """The name of the task's job."""
        return self.task.rpartition("/")[0]


class LedgerRuns(msgspec.Struct):
    """The fields of the ledger that give the starts of tasks."""

    runs: list[StartedRun]


@dataclass(frozen=True, slots=True)
class Waits:
    """The waits of urgent tasks in microseconds.

    `over_limit` counts those longer than `START_LIMIT_SECONDS`.
    """

    histogram: HdrHistogram
    over_limit: int

    def summary(self) -> str:
        """Return a line with the count, the quantiles and the number over the limit."""
        p50, p99 = (
            self.histogram.get_value_at_percentile(quantile) / MICROSECONDS_PER_SECOND
            for quantile in (50, 99)
        )
        longest = self.histogram.get_max_value() / MICROSECONDS_PER_SECOND
        return (
            f"{self.histogram.get_total_count()} urgent tasks: p50 {p50:.3f} s, "
            f"p99 {p99:.3f} s, longest {longest:.3f} s, "
            f"{self.over_limit} above {START_LIMIT_SECONDS} s"
        )


async def measure(deployment: str, tasks: int) -> None:
    """Fill a cell, submit urgent tasks and print their waits."""
    layout = DEPLOYMENTS[deployment]
    async with open_cell(layout, "urgent", teams=2) as cell:
        await _fill(cell, layout.workers * TASKS_PER_WORKER)
        key = await cell.operators.keys.grant(cell.operators.author, "team1")
        async with aiohttp.ClientSession() as session:
            caller = Caller(session, cell.cluster.balancer, "team1", key.secret)
            await _wait_for_key(caller)
            submitted = await _submit_all(caller, tasks)
            started = await _read_starts(session, cell.cluster.control)
    click.echo(f"{deployment}: {_compute_waits(submitted, started).summary()}")


async def _fill(cell: LabCell, task_capacity: int) -> None:
    """Submit the batch tasks and wait until half of those that fit are running."""
    name = await cell.submit(
        FILL_TASKS, f"run:{FILL_TASK_SECONDS}", JobKind.BATCH, size=QUARTER_WORKER_TASK
    )
    await cell.caller.wait_running(name, min(task_capacity, FILL_TASKS) // 2)


async def _wait_for_key(caller: Caller) -> None:
    """Wait until an entry VM accepts the new key and the others have had time to."""
    for _ in range(MAX_KEY_POLLS):
        if (await caller.cancel("none")).status != UNAUTHORIZED:
            break
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    await asyncio.sleep(KEY_PROPAGATION_SECONDS)


async def _submit_all(caller: Caller, tasks: int) -> dict[str, float]:
    """Submit urgent tasks one by one; return by job when each submission started.

    Returns after all jobs have finished.
    """
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
                size=QUARTER_WORKER_TASK,
                urgency=Urgency.URGENT,
                payload=f"run:{URGENT_TASK_SECONDS}",
                declared_seconds=URGENT_TASK_SECONDS,
            )
        )
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    for name in submitted:
        await caller.wait_finished(name)
    return submitted


async def _read_starts(
    session: aiohttp.ClientSession, control: str
) -> dict[str, float]:
    """Return when the first task of each job started, from the workers' ledger."""
    async with session.get(f"http://{control}/v1/ledger") as resp:
        ledger = msgspec.json.decode(await resp.read(), type=LedgerRuns)
    starts: dict[str, float] = {}
    for run in ledger.runs:
        starts.setdefault(run.job, run.started_at)
    return starts


def _compute_waits(submitted: dict[str, float], started: dict[str, float]) -> Waits:
    histogram = HdrHistogram(1, MAX_WAIT_MICROSECONDS, 2)
    over_limit = 0
    for name, started_at in submitted.items():
        wait = started[name] - started_at
        histogram.record_value(max(1, int(wait * MICROSECONDS_PER_SECOND)))
        over_limit += wait > START_LIMIT_SECONDS
    return Waits(histogram, over_limit)


@click.command()
@click.option("--deployment", type=click.Choice(list(DEPLOYMENTS)), required=True)
@click.option("--tasks", default=60, show_default=True)
def main(deployment: str, tasks: int) -> None:
    """Measure the waits of urgent tasks on a full fleet of a deployment."""
    asyncio.run(measure(deployment, tasks))


if __name__ == "__main__":
    main()
