"""A service that nobody cancelled is shown as failed after executors have crashed."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import Cell, job_id, now, run_case  # noqa: E402

SERVICE_TASKS = 24
CRASH_SHARE = 0.14
CRASH_FOR_S = 4.5
CRASH_EVERY_S = 5.0
LIMIT_S = 90.0
WATCH_S = 8.0


async def crash_some(cell: Cell, rng: random.Random) -> None:
    """Crash a share of the executors; they begin their next lifetimes later."""
    up = [each for each in cell.fleet.executors if not each.down]
    count = int(len(cell.fleet.executors) * CRASH_SHARE)
    chosen = rng.sample(up, count)
    for each in chosen:
        each.crash()
    await asyncio.sleep(CRASH_FOR_S)
    for each in chosen:
        each.restart()


async def crash_often(cell: Cell) -> None:
    """Crash a share of the executors again and again."""
    rng = random.Random(7)
    crashes = set()
    while True:
        await asyncio.sleep(CRASH_EVERY_S)
        crashes.add(asyncio.create_task(crash_some(cell, rng)))


async def case(cell: Cell, trouble: bool) -> list[str]:
    """Run a service while executors crash."""
    service = job_id()
    fleet = cell.fleet
    fleet.lasts = lambda task: task.startswith(service)
    # The tasks never end by themselves.
    fleet.work = lambda task, run: (100_000.0, "failed")
    step = {"count": SERVICE_TASKS, "cpu": 8000, "mem_mb": 2048, "long_running": True}
    if not await cell.submit(service, {"spec": "service", "steps": [step]}):
        raise RuntimeError("the service was not accepted")
    began = now()
    crashes = asyncio.create_task(crash_often(cell)) if trouble else None
    state = ""
    while now() < began + LIMIT_S and state not in ("failed", "cancelled", "done"):
        await asyncio.sleep(0.5)
        state = await cell.state(service)
    if crashes is not None:
        crashes.cancel()
    if state == "running":
        return []
    ended_s = now() - began
    await asyncio.sleep(WATCH_S)
    at_work = sum(map(bool, fleet.active.values()))
    text = (
        f"{service}: shown as {state} {ended_s:.1f} s after it was accepted, though "
        f"nobody cancelled it and no run of it has ended failed; {WATCH_S:.0f} s later "
        f"{at_work} of {SERVICE_TASKS} tasks are at work"
    )
    cell.record.line(f"LOST {text}")
    return [text]


run_case(case, FOLDER)
