"""A late acknowledgement of a former lifetime lets short tasks run again and again."""

import asyncio
import sys
import time
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

import harness as lib
import msgspec
from aiohttp import web

from standins.users import FakeServer, RunRecord, ServerService

CRASH_AFTER_S = 0.3
DOWN_S = 2.2
"""The call is carried out 2.5 s late, as soon as the executor is back."""

JOBS = 80
JOB_INTERVAL_S = 0.1
TASKS = 4
TASK_S = 0.05
HELD_OPEN_S = 60.0


class Disruption:
    """One `/hold` that gets no answer, and is carried out by the next lifetime."""

    def __init__(self) -> None:
        self.armed = False
        self.taken: asyncio.Future[tuple[FakeServer, dict[str, Any]]] = (
            asyncio.get_running_loop().create_future()
        )


class Executor:
    """Serves an executor; while it is down, calls get no answer and have no effect."""

    def __init__(self, service: ServerService, disruption: Disruption) -> None:
        self._service = service
        self._disruption = disruption

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer a call, or keep it waiting."""
        body = msgspec.json.decode(await req.read())
        server = self._service.server
        taken = self._disruption.taken
        may_take = server.up and self._disruption.armed and not taken.done()
        if may_take and req.path == "/hold" and body.get("acked_upto", 0):
            taken.set_result((server, body))
        silent = taken.done() and taken.result()[0] is server and server.entry.born == 1
        if server.up and not silent:
            return await self._service.carry_out(req.path, body)
        await asyncio.sleep(HELD_OPEN_S)
        return web.Response(status=503)


async def _run_late_hold(case: lib.Case, disruption: Disruption) -> None:
    """Crash the executor of the call, and carry the call out when it is back."""
    server, body = await asyncio.wait_for(disruption.taken, 5.0)
    name = server.entry.server_id
    began = time.monotonic()
    case.record.write(f"{name} leaves /hold unanswered: {body}")
    await asyncio.sleep(CRASH_AFTER_S)
    server.crash()
    case.record.write(f"{name} crashes")
    await asyncio.sleep(DOWN_S)
    server.restart()
    server.renew_late(body["fence"], body.get("until_ms"), body["acked_upto"])
    late_s = time.monotonic() - began
    case.record.write(
        f"{name} is back under its id, born {server.entry.born}, and has carried out"
        f" /hold {late_s:.1f} s late"
    )


def _repeats(case: lib.Case, jobs: Sequence[str]) -> list[str]:
    """Return the tasks that were started after their noted end `done`."""
    noted = {
        fault.split(": ")[1].split(",")[0]
        for fault in case.site.faults
        if fault.startswith("started again after")
    }
    by_task: defaultdict[str, list[RunRecord]] = defaultdict(list)
    for run in case.site.history:
        if run.task in noted and run.task.split(".")[0] in jobs:
            by_task[run.task].append(run)
    found = []
    for task, runs in by_task.items():
        done = [run for run in runs if run.how and run.how.value == "done"]
        first = min(run.ended_at or 0.0 for run in done)
        later = [run.began_at - first for run in runs if run.began_at > first]
        shown = ", ".join(f"{each:.2f}" for each in later)
        found.append(
            f"TWICE: {task} had ended done, and was started again {shown} s later;"
            f" {len(done)} of its runs ended done"
        )
    return found


async def run(case: lib.Case) -> list[str]:
    """Submit jobs of short tasks, and disturb one call to one executor."""
    disruption = Disruption()
    await case.open(server_handler=lambda service: Executor(service, disruption).handle)
    before = [(await case.submit(vm, case.job()))[0] for vm in case.vms * 6]
    left = await case.wait_done(before)
    if left:
        raise lib.CannotRunError(f"jobs in calm did not end: {left}")
    disruption.armed = lib.trouble()
    jobs = [(await case.submit(case.vms[0], case.job(2, 0.3)))[0]]
    if lib.trouble():
        await _run_late_hold(case, disruption)
    for number in range(JOBS):
        vm = case.vms[number % len(case.vms)]
        job, status = await case.submit(vm, case.job(TASKS, TASK_S))
        if status == 200:
            jobs.append(job)
        await asyncio.sleep(JOB_INTERVAL_S)
    left = await case.wait_done(jobs)
    for job, state in left.items():
        case.record.write(f"job {job} is shown as {state}")
    for each in case.site.faults:
        case.record.write(f"seen by the executors: {each}")
    return _repeats(case, jobs)


lib.main(__file__, run, 110)
