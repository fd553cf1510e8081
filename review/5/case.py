"""A job whose cancelling was acknowledged is stored later, and runs."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    CANCEL_MS,
    CONTACT_MS,
    STOP_MS,
    Cell,
    job_id,
    now,
    run_case,
)

JOBS_PER_S = 39
LOAD_S = 12.0
LOST_FROM_S = 4.0
LOST_FOR_S = 4.5
LOST_SHARE = 0.35
LATEST_WRITE_S = 6.0
"""A write without an answer is performed this much later at most."""

WATCH_S = 16.0

STEP = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 4000}
BODY = {"spec": "audit", "steps": [STEP, STEP | {"after": [0]}]}


class Client:
    """Hands jobs in; one without a clear answer is given up and cancelled."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self.cancelled: dict[str, float] = {}

    async def run_job(self, job: str) -> None:
        """Hand a job in once; cancel it if it may have been accepted."""
        status, _ = await self._cell.call("POST", job, BODY)
        if status not in (0, 502, 504):
            return
        for _ in range(4):
            status, _ = await self._cell.call("DELETE", job)
            if 200 <= status < 300 or status == 410:
                self.cancelled[job] = now()
                return
            await asyncio.sleep(0.2)


async def watch(cell: Cell, cancelled: dict[str, float], until: float) -> list[str]:
    """Return the cancelled jobs of which a task is at work for too long."""
    seen: dict[str, str] = {}
    while now() < until:
        await asyncio.sleep(0.05)
        for task, runs in cell.fleet.active.items():
            job = task.partition(".")[0]
            if not runs or job not in cancelled or job in seen:
                continue
            late_s = now() - cancelled[job]
            if late_s > (CANCEL_MS + STOP_MS) / 1_000:
                seen[job] = (
                    f"{task} is at work {late_s:.1f} s after the acknowledgement of "
                    "the cancelling of its job"
                )
                cell.record.line(f"UNASKED {seen[job]}")
    return list(seen.values())


async def case(cell: Cell, trouble: bool) -> list[str]:
    """Hand jobs in while answers of the store are lost; cancel what is in doubt."""
    rng = random.Random(7)
    cell.fleet.work = lambda task, run: (rng.uniform(3.0, 8.0), "done")
    began = now()
    lost_from = began + LOST_FROM_S
    lost_until = lost_from + LOST_FOR_S

    def disruption(machine: str, path: str, raw: bytes) -> str | None:
        writes = path == "/rows-tx" and lost_from <= now() < lost_until
        return "late" if writes and rng.random() < LOST_SHARE else None

    if trouble:
        cell.store.disruption = disruption
    client = Client(cell)
    jobs = set()
    while now() < began + LOAD_S:
        jobs.add(asyncio.create_task(client.run_job(job_id())))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*jobs)
    calm_from = lost_until + LATEST_WRITE_S + CONTACT_MS / 1_000
    await asyncio.sleep(max(calm_from - now(), 0))
    seen = await watch(cell, client.cancelled, began + LOAD_S + WATCH_S)
    cell.record.line(
        f"{len(client.cancelled)} cancels acknowledged, {len(seen)} of the jobs run on"
    )
    return seen


run_case(case, FOLDER)
