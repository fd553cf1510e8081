"""Requests of 8 KB with a compressed body take an entry VM over its memory."""

import asyncio
import random
import sys
import time
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

import harness as lib

CONNECTIONS = 1_900
"""The entry VM accepts 1,950, and has 4,100 descriptors."""

FIELDS = 100
FIELD_CHARS = 60
BODY_BYTES = 900
OBSERVED_S = 6.0


BODY = zlib.compress(b" " * 7_700_000, 9)[:BODY_BYTES]


def _request(number: int) -> bytes:
    """Return a request for the state of a job, with a body that nobody reads."""
    fields = "".join(f"x{each}: {'x' * FIELD_CHARS}\r\n" for each in range(FIELDS))
    head = (
        f"GET {lib.PREFIX}{number:016x} HTTP/1.1\r\nHost: {lib.HOST}\r\n"
        f"X-Credential: {lib.OTHER_KEY}\r\n{fields}"
        f"Content-Encoding: deflate\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


async def _press(vm: lib.EntryVm) -> None:
    """Send one request on each of many connections, and wait."""
    writers = []
    for _ in range(CONNECTIONS):
        _, writer = await asyncio.open_connection(vm.ip, 8183)
        writers.append(writer)
    for writer in writers:
        writer.write(_request(random.getrandbits(64)))
    await asyncio.sleep(OBSERVED_S)
    for writer in writers:
        writer.close()


async def _watch(case: lib.Case, vm: lib.EntryVm) -> float:
    """Return the memory at which the platform kills the process, 0 if it does not."""
    ends_at = time.monotonic() + OBSERVED_S + 4.0
    while time.monotonic() < ends_at and vm.ended is None:
        now, peak = vm.memory_mb()
        case.record.write(f"{vm.name}: {now:.0f} MB, at its peak {peak:.0f} MB")
        if now > lib.MEMORY_MB:
            return now
        await asyncio.sleep(0.25)
    return 0.0


async def run(case: lib.Case) -> list[str]:
    """Press on one entry VM, and return whether it went over its memory."""
    await case.open()
    before = [(await case.submit(vm, case.job()))[0] for vm in case.vms * 2]
    left = await case.wait_done(before)
    if left:
        raise lib.CannotRunError(f"jobs in calm did not end: {left}")
    vm = case.vms[0]
    request = _request(0)
    case.record.write(f"{CONNECTIONS} requests of {len(request)} bytes, such as:")
    case.record.write(repr(request[:300]))
    pressing = asyncio.create_task(_press(vm)) if lib.trouble() else None
    killed_at = await _watch(case, vm)
    if killed_at:
        await vm.kill()
    if pressing is not None:
        pressing.cancel()
        await asyncio.gather(pressing, return_exceptions=True)
    if vm.ended is not None and not killed_at:
        return [f"{vm.name} has ended by itself with status {vm.ended}"]
    return (
        [
            f"Fault (memory over the limit): {vm.name} takes {killed_at:.0f} MB of"
            f" {lib.MEMORY_MB} MB, for which the platform kills it"
        ]
        if killed_at
        else []
    )


lib.main(__file__, run, 110)
