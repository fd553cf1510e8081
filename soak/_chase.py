"""Cuts whichever backend server runs a certain job, several times in turn."""

from __future__ import annotations

import asyncio

from soak._callers import Caller
from soak._faults import FaultContext, cut_from_platform
from soak._platform import FaultyServer

CHASES = 2
"""Jobs that are followed at the same time, each by a caller of its own."""

TASK_S = 4.0
"""The duration of the job's task, which is longer than a lease."""

FOUND_S = 0.4
"""From the time at which the task is found on a server until this is cut."""

SEARCH_INTERVAL_S = 0.05


async def chase_jobs(context: FaultContext, caller: Caller, end_at: float) -> None:
    """Submit jobs until `end_at`, and cut the servers of each one after the other."""
    loop = asyncio.get_running_loop()
    while loop.time() < end_at:
        job_id = await caller.submit_single(TASK_S, end_at - loop.time())
        if job_id is not None:
            await _chase(context, job_id, end_at)


async def _chase(context: FaultContext, job_id: str, end_at: float) -> None:
    """Cut each server that runs a job until `end_at` or the end of its task."""
    cuts = []
    seen: set[int] = set()
    while asyncio.get_running_loop().time() < end_at:
        if context.platform.is_done(job_id):
            break
        faulty = _find_server(context, job_id, seen)
        if faulty is None:
            await asyncio.sleep(SEARCH_INTERVAL_S)
            continue
        await asyncio.sleep(FOUND_S)
        cuts.append(asyncio.create_task(cut_from_platform(context, faulty)))
    await asyncio.gather(*cuts)


def _find_server(
    context: FaultContext, job_id: str, seen: set[int]
) -> FaultyServer | None:
    """Return the server that runs a job for the first time in this run, if any."""
    for run in context.platform.starts_of(job_id):
        if run.ended_at is None and run.number not in seen:
            seen.add(run.number)
            return context.platform.faulty[run.server]
    return None
