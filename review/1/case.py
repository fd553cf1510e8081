"""Tasks that last run twice at once after ends that are listed again."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import Cell, job_id, now, run_case  # noqa: E402

SERVICE_TASKS = 24
OUTAGE_S = 4.5
BATCH_EVERY_S = 0.1
LOAD_S = 24.0


async def case(cell: Cell, trouble: bool) -> list[str]:
    """Run a service and batch jobs through an outage of the store."""
    rng = random.Random(7)
    service = job_id()
    fleet = cell.fleet
    fleet.lasts = lambda task: task.startswith(service)

    def work(task: str, run: int) -> tuple[float, str]:
        # A task that lasts may end at any time, and has to be started again.
        if fleet.lasts(task):
            return rng.uniform(2.0, 14.0), rng.choice(("done", "failed"))
        return rng.uniform(0.5, 1.5), "done"

    fleet.work = work
    step = {"count": SERVICE_TASKS, "cpu": 500, "mem_mb": 256, "long_running": True}
    if not await cell.submit(service, {"spec": "service", "steps": [step]}):
        raise RuntimeError("the service was not accepted")
    began = now()
    down_from = began + 8.0
    if trouble:
        cell.store.disruption = lambda machine, path, body: (
            "silent" if down_from <= now() < down_from + OUTAGE_S else None
        )
    batches = set()
    while now() < began + LOAD_S:
        body = {
            "spec": "batch",
            "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}],
        }
        batches.add(asyncio.create_task(cell.submit(job_id(), body)))
        await asyncio.sleep(BATCH_EVERY_S)
    await asyncio.gather(*batches)
    at_work = [len(runs) for task, runs in fleet.active.items() if fleet.lasts(task)]
    cell.record.line(f"runs at work of the tasks that last, at the end: {at_work}")
    return fleet.twice_at_once


run_case(case, FOLDER)
