"""One recurring job takes the processes of all machines down again and again."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    FINISH_S,
    MEMORY_LIMIT_MB,
    OTHER_KEY,
    Cell,
    job_id,
    now,
    run_case,
)

LOAD_S = 30.0
JOBS_EVERY_S = 0.2
POISON_AT_S = 8.0
ENDS_OF_A_FAULT = 3
MACHINES_OF_A_FAULT = 2


async def case(cell: Cell, trouble: bool) -> list[str]:
    """Hand in one job that is due since 1970 among small ones of another tenant."""
    rng = random.Random(7)
    cell.fleet.work = lambda task, run: (rng.uniform(0.5, 1.5), "done")
    accepted: set[str] = set()
    began = now()

    async def hand_in(job: str, body: dict) -> None:
        if await cell.submit(job, body, tries=3):
            accepted.add(job)

    work = set()
    poisoned = False
    poison = job_id()
    while now() < began + LOAD_S:
        body = {
            "spec": "check",
            "steps": [{"count": 2, "cpu": 1400, "mem_mb": 256, "estimate_ms": 1000}],
        }
        work.add(asyncio.create_task(hand_in(job_id(), body)))
        if trouble and not poisoned and now() > began + POISON_AT_S:
            poisoned = True
            # Every hour, with `first_ms` omitted: the first one was due in 1970.
            hourly = {"times": 1_000_000, "interval_ms": 3_600_000}
            work.add(
                asyncio.create_task(cell.submit(poison, body | hourly, key=OTHER_KEY))
            )
        await asyncio.sleep(JOBS_EVERY_S)
    await asyncio.gather(*work)
    await asyncio.sleep(FINISH_S)
    states = await asyncio.gather(*(cell.state(job) for job in sorted(accepted)))
    finished = sum(state == "done" for state in states)
    cell.record.line(f"{finished} of {len(accepted)} other accepted jobs are done")
    ends = cell.memory_kills
    cell.record.line(f"processes that ended by themselves: {dict(ends)}")
    often = [name for name, count in ends.items() if count >= ENDS_OF_A_FAULT]
    if len(often) < MACHINES_OF_A_FAULT:
        return []
    return [
        f"{name}: its process ended {ends[name]} times, over its {MEMORY_LIMIT_MB} MB"
        for name in often
    ]


run_case(case, FOLDER)
