"""One job with a very long estimate keeps all other jobs from being started."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

import harness as lib

UNUSUAL = (
    b'{"spec":"1/done","steps":'
    b'[{"count":10000,"cpu":16000,"mem_mb":256,"estimate_ms":1.7e308}]}'
)


async def run(case: lib.Case) -> list[str]:
    """Send the job, then ordinary ones; return those that were not started."""
    await case.open()
    before = [(await case.submit(vm, case.job()))[0] for vm in case.vms * 4]
    left = await case.wait_done(before)
    if left:
        raise lib.CannotRunError(f"jobs in calm did not end: {left}")
    if lib.trouble():
        await case.submit(case.vms[0], UNUSUAL, key=lib.OTHER_KEY)
        await asyncio.sleep(1.0)
    accepted = []
    for vm in case.vms * 4:
        job, status = await case.submit(vm, case.job())
        if status == 200:
            accepted.append(job)
    began = time.monotonic()
    left = await case.wait_done(accepted, 3 * lib.FINISH_S)
    waited = time.monotonic() - began
    running = [len(each.runs) for each in case.site.servers.values()]
    case.record.write(f"runs on each executor: {running}")
    for vm in case.vms:
        errors = vm.events("placement_round_failed")
        case.record.write(f"{vm.name}: {len(errors)} lines placement_round_failed")
        for line in errors[:1]:
            case.record.write(line[-900:])
    return [
        f"LOST: job {job} was accepted and is {state} after {waited:.0f} s, nothing of"
        f" it was started: {not case.site.starts_of(job)}"
        for job, state in left.items()
    ]


lib.main(__file__, run, 110)
