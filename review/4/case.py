"""Finished tasks of a wide job run again when the machines are restarted in turn."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import Cell, Front, job_id, now, run_case  # noqa: E402

TASKS = 2400
GAP_S = 2.0
GRACE_S = 6.0
LIMIT_S = 70.0


async def restart(cell: Cell, front: Front) -> None:
    """Stop a machine as the platform does, and start it again."""
    cell.record.line(f"platform: SIGTERM to {front.name}")
    front.down = True
    front.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(front.wait(), GRACE_S)
    except TimeoutError:
        front.signal(signal.SIGKILL)
        await front.wait()
    await front.start()
    cell.record.line(f"platform: {front.name} is started again")


async def roll(cell: Cell) -> None:
    """Restart each machine once, first the one that writes to the store."""
    left = list(cell.fronts)
    restarts = []
    while left:
        leader = cell.leader()
        front = leader if leader in left else left[0]
        left.remove(front)
        restarts.append(asyncio.create_task(restart(cell, front)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*restarts)


async def case(cell: Cell, trouble: bool) -> list[str]:
    """Run a wide job while the machines are restarted in turn."""
    rng = random.Random(7)

    def work(task: str, run: int) -> tuple[float, str]:
        return min(4.0 * math.exp(rng.gauss(-0.125, 0.5)), 10.0), "done"

    cell.fleet.work = work
    job = job_id()
    step = {"count": TASKS, "cpu": 500, "mem_mb": 256, "estimate_ms": 4000}
    if not await cell.submit(job, {"spec": "audit", "steps": [step]}):
        raise RuntimeError("the job was not accepted")
    began = now()
    await asyncio.sleep(1.0)
    rolled = asyncio.create_task(roll(cell) if trouble else asyncio.sleep(0))
    state = ""
    while state != "done" and now() < began + LIMIT_S:
        await asyncio.sleep(1.0)
        state = await cell.state(job)
    await rolled
    cell.record.line(f"the job is {state} after {now() - began:.1f} s")
    return cell.fleet.twice_at_once + cell.fleet.restarted_done


run_case(case, FOLDER)
