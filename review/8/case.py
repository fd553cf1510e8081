"""A late start of a former lifetime lets a task run twice."""

import asyncio
import sys
import time
from collections.abc import Sequence
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

import harness as lib
import msgspec
from aiohttp import web

from cassiaweir.dispatch import StartOrder
from standins.users import FakeServer, ServerService

CRASH_AFTER_S = 0.5
DOWN_S = 5.0
ENTRY_S = 4.5
"""Three reports of 1.5 s, after which the entry of a silent executor is removed."""

SETTLED_S = 8.0
HELD_OPEN_S = 60.0


class Disruption:
    """One start that gets no answer, and is carried out by the executor's next life."""

    def __init__(self) -> None:
        self.armed = False
        self.taken: asyncio.Future[tuple[FakeServer, StartOrder]] = (
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
        if may_take and req.path == "/run-start":
            taken.set_result((server, self._service.order(body)))
        silent = taken.done() and taken.result()[0] is server and server.entry.born == 1
        if server.up and not silent:
            return await self._service.carry_out(req.path, body)
        await asyncio.sleep(HELD_OPEN_S)
        return web.Response(status=503)


async def _run_late_start(case: lib.Case, disruption: Disruption) -> None:
    """Crash the executor of the start, and carry the start out when it is back."""
    server, order = await asyncio.wait_for(disruption.taken, 5.0)
    name = server.entry.server_id
    began = time.monotonic()
    case.record.write(f"{name} leaves the start of {order.task} unanswered: {order}")
    await asyncio.sleep(CRASH_AFTER_S)
    server.crash()
    case.record.write(f"{name} crashes")
    await asyncio.sleep(ENTRY_S)
    case.site.unregister(server)
    case.record.write(f"the entry of {name} is removed")
    await asyncio.sleep(DOWN_S - ENTRY_S)
    server.restart()
    case.record.write(f"{name} is back under its id, born {server.entry.born}")
    server.start_late(order)
    late_s = time.monotonic() - began
    case.record.write(f"{name} has carried out the start, {late_s:.1f} s late")


def _overlaps(case: lib.Case, job: str) -> Sequence[str]:
    """Return where two runs of one task were at work at the same time."""
    now = asyncio.get_running_loop().time()
    runs = case.site.starts_of(job)
    found = []
    for one in runs:
        for other in runs:
            both = one.task == other.task and one.began_at < other.began_at
            until = min(one.ended_at or now, other.ended_at or now)
            if both and other.began_at < until:
                found.append(
                    f"TWICE: {one.task} runs on {one.server} (run {one.number}) and on"
                    f" {other.server} (run {other.number}) for"
                    f" {until - other.began_at:.2f} s"
                )
    return found


async def run(case: lib.Case) -> list[str]:
    """Submit a service of one task, and disturb its first start."""
    disruption = Disruption()
    await case.open(server_handler=lambda service: Executor(service, disruption).handle)
    before = [(await case.submit(vm, case.job()))[0] for vm in case.vms * 2]
    left = await case.wait_done(before)
    if left:
        raise lib.CannotRunError(f"jobs in calm did not end: {left}")
    disruption.armed = lib.trouble()
    step = {
        "count": 1,
        "cpu": 1000,
        "mem_mb": 256,
        "estimate_ms": 60_000,
        "long_running": True,
    }
    body = {"spec": "600/done", "steps": [step]}
    job, status = await case.submit(case.vms[0], body)
    if status != 200:
        raise lib.CannotRunError(f"the job got {status}")
    if lib.trouble():
        await _run_late_start(case, disruption)
    await asyncio.sleep(SETTLED_S)
    for each in case.site.faults:
        case.record.write(f"seen by the executors: {each}")
    return list(_overlaps(case, job))


lib.main(__file__, run, 110)
