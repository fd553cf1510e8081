"""An entry VM as a real process under clients that stay outside the limits (issue 56).

Nothing here depends on the speed of the machine: the process lives, its memory and
descriptors stay within the limits of its settings, and it serves an ordinary caller
once the crowd has left.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import aiohttp
import pytest

from cassiaweir.dispatch import job_key
from prove.processes import REPOSITORY, ManagedProcess
from soak._fronts import _free_port
from soak._platform import SoakPlatform
from standins.users import listening
from standins.users._rows import MAX_ROW_BYTES
from tests.hostile_clients import (
    BEHAVIOURS,
    BODY_BYTES,
    HOST,
    KEY,
    PREFIX,
    legal_body,
)

pytestmark = pytest.mark.serial

MEMORY_MB = 100
MAX_FDS = 600
SAMPLE_INTERVAL_S = 0.1
MAX_ATTEMPTS = 60
ATTEMPT_PAUSE_S = 0.5
ATTEMPT_TIMEOUT = aiohttp.ClientTimeout(total=5)
HEADERS = {"Host": HOST, "X-Credential": KEY}
ORDINARY_ID = "00000000ffffffff"
MB = 1_048_576


class EntryVm:
    """The process of an entry VM with lowered limits."""

    def __init__(self, process: ManagedProcess, platform: SoakPlatform) -> None:
        self.process = process
        self.platform = platform
        self.front, self.ready, self.peer, self.metrics = (
            f"127.0.0.1:{_free_port()}" for _ in range(4)
        )
        self.most_descriptors = 0

    def peak_mb(self) -> float:
        """Return the peak of the resident memory, in MB of 2**20 bytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(each for each in status.splitlines() if each.startswith("VmHWM"))
        return int(line.split()[1]) * 1_024 / MB

    def count_descriptors(self) -> None:
        """Note how many descriptors are open now."""
        count = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
        self.most_descriptors = max(self.most_descriptors, count)

    async def call(self, method: str, job_id: str, data: object = None) -> int:
        """Send a request on a connection of its own and return its status."""
        url = f"http://{self.front}{PREFIX}{job_id}"
        async with (
            aiohttp.ClientSession(timeout=ATTEMPT_TIMEOUT) as session,
            session.request(method, url, data=data, headers=HEADERS) as resp,
        ):
            return resp.status

    async def call_until(self, expected: tuple[int, ...], method: str, job_id: str):
        """Repeat an ordinary request until its status is as expected."""
        seen: object = None
        for _ in range(MAX_ATTEMPTS):
            try:
                seen = await self.call(
                    method, job_id, legal_body(1_000) if method == "POST" else None
                )
            except (aiohttp.ClientError, OSError, TimeoutError) as exc:
                seen = repr(exc)
            if seen in expected:
                return
            assert self.process.running, "the process has ended"
            await asyncio.sleep(ATTEMPT_PAUSE_S)
        raise AssertionError(f"{method} not served after the crowd: {seen}")


@asynccontextmanager
async def entry_vm(directory: Path) -> AsyncIterator[EntryVm]:
    """Run an entry VM against a simulated store until it serves callers."""
    async with AsyncExitStack() as stack:
        platform = SoakPlatform(servers=0, seed=1)
        await platform.open(stack)
        store = await stack.enter_async_context(
            listening(platform.store_service.handle)
        )
        settings = directory / "local.toml"
        metrics_port = str(_free_port())
        process = ManagedProcess(
            "vm",
            ("cassiaweir", "front", "--metrics-port", metrics_port),
            directory / "vm.log",
            {"CASSIAWEIR_CONFIG": str(settings)},
        )
        vm = EntryVm(process, platform)
        vm.metrics = f"127.0.0.1:{metrics_port}"
        settings.write_text(
            'node = "vm"\nzone = "augusta"\n[listen]\n'
            f'front = "{vm.front}"\nready = "{vm.ready}"\ncontrol = "{vm.peer}"\n'
            f'[platform]\naddr = "{store}"\nrow_bytes = {MAX_ROW_BYTES}\n'
            f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n"
        )
        await process.start()
        stack.push_async_callback(kill_if_running, process)
        await vm.call_until((410,), "GET", ORDINARY_ID)
        yield vm


async def kill_if_running(process: ManagedProcess) -> None:
    if process.running:
        await process.kill()


async def run_crowd(vm: EntryVm, behaviour: str, address: str) -> list[str]:
    """Run a crowd in a process of its own; return the ids of refused jobs."""
    crowd = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.hostile_clients",
        behaviour,
        address,
        cwd=REPOSITORY,
        stdout=asyncio.subprocess.PIPE,
    )
    output = asyncio.create_task(crowd.communicate())
    while not output.done():
        if vm.process.running:
            vm.count_descriptors()
        await asyncio.wait([output], timeout=SAMPLE_INTERVAL_S)
    assert crowd.returncode == 0
    return (await output)[0].decode().split()


async def check_crowd(vm: EntryVm, behaviour: str, address: str) -> None:
    refused = await run_crowd(vm, behaviour, address)
    assert vm.process.running, "the process has ended"
    during = vm.peak_mb()
    await vm.call_until((200,), "POST", ORDINARY_ID)
    await vm.call_until((200, 410), "GET", ORDINARY_ID)
    print(
        f"{behaviour}: peak {during:.0f} MB, then {vm.peak_mb():.0f} MB,"
        f" {vm.most_descriptors} descriptors, {len(refused)} jobs refused"
    )
    rows = vm.platform.store.rows
    assert not [each for each in refused if job_key(each) in rows]
    assert vm.peak_mb() <= MEMORY_MB
    assert vm.most_descriptors <= MAX_FDS


# Guards against clients outside the limits that exhaust the memory or the descriptors
# of an entry VM, or leave it unable to serve others.
@pytest.mark.parametrize("behaviour", BEHAVIOURS)
async def test_hostile_callers_do_not_exhaust_an_entry_vm(tmp_path, behaviour):
    async with entry_vm(tmp_path) as vm:
        await check_crowd(vm, behaviour, vm.front)


# Guards against the same on the addresses for readiness checks and metrics.
@pytest.mark.parametrize("listener", ["ready", "metrics"])
@pytest.mark.parametrize(
    "behaviour",
    [
        "one_header_line_without_end",
        "headers_without_end",
        "tiny_headers_without_end",
        "body_stopping_short",
        "idle_connections",
    ],
)
async def test_other_listeners_do_not_exhaust_an_entry_vm(
    tmp_path, behaviour, listener
):
    async with entry_vm(tmp_path) as vm:
        await check_crowd(vm, behaviour, getattr(vm, listener))


async def in_chunks(body: bytes, size: int) -> AsyncIterator[bytes]:
    for start in range(0, len(body), size):
        yield body[start : start + size]


# Guards against limits that a single client inside the pages' limits meets.
async def test_full_size_bodies_are_accepted_in_calm(tmp_path):
    async with entry_vm(tmp_path) as vm:
        body = legal_body()
        assert len(body) == BODY_BYTES
        assert await vm.call("POST", "00000000000000a1", body) == 200
        assert await vm.call("POST", "00000000000000a2", in_chunks(body, 65_536)) == 200
        assert await vm.call("POST", "00000000000000a3", in_chunks(body, 100)) == 200
        assert await vm.call("GET", "00000000000000a3") == 200
