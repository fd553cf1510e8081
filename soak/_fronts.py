"""The fronts of a run: real entry VM processes, each with its own path to the store."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import signal
import socket
import time
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp

from prove.processes import ManagedProcess
from soak._platform import FaultyStore, SoakPlatform, open_relay
from standins._relay import Relay
from standins.users import listening

STOP_TIMEOUT_S = 6.0
"""A process that is asked to stop must exit within this time."""

_CANDIDATE_PORTS = itertools.cycle(range(20_000 + os.getpid() % 1_000 * 10, 32_000))
READY_POLL_INTERVAL_S = 0.1
MAX_READY_POLLS = 600


class Front:
    """One entry VM: its process, its relay to the store, and that store's faults."""

    def __init__(
        self, name: str, platform: SoakPlatform, directory: Path, seed: int
    ) -> None:
        self.name = name
        self.store = FaultyStore(
            platform.store_service, random.Random(f"{seed}/{name}/store")
        )
        self.relay: Relay
        self.front_address = ""
        self.expected_down = False
        self._directory = directory
        self._ready_address = ""
        self._process: ManagedProcess
        self._starting = asyncio.Lock()
        self._log_offset = 0

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the path to the store and write the settings file."""
        direct_address = await stack.enter_async_context(listening(self.store.handle))
        self.relay, store_address = await open_relay(direct_address, stack)
        front, ready, peer = (f"127.0.0.1:{_free_port()}" for _ in range(3))
        self.front_address, self._ready_address = front, ready
        path = self._directory / f"{self.name}.toml"
        path.write_text(
            f'node = "{self.name}"\n'
            'zone = "augusta"\n'
            "[listen]\n"
            f'front = "{front}"\nready = "{ready}"\ncontrol = "{peer}"\n'
            "[platform]\n"
            f'addr = "{store_address}"\n'
            "[bounds]\nrevoke_ms = 5000\n"
        )
        self._process = ManagedProcess(
            name=self.name,
            arguments=("cassiaweir", "front"),
            log=self._directory / f"{self.name}.log",
            environment={"CASSIAWEIR_CONFIG": str(path)},
        )
        stack.push_async_callback(self._kill_if_running)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process.running

    async def start(self) -> None:
        """Start the process unless it runs; several series may ask for it at once."""
        async with self._starting:
            if not self._process.running:
                self._log_offset = _file_size(self._process.log)
                await self._process.start()
        self.expected_down = False

    async def kill(self) -> None:
        """Kill the process with SIGKILL if it runs."""
        if self._process.running:
            self.expected_down = True
            await self._process.kill()

    async def stop(self) -> str:
        """Ask the process to stop; return a description of a bad exit, else "".

        A process that SIGTERM ends before it handles signals has exited well.
        """
        if not self._process.running:
            return ""
        self.expected_down = True
        started_at = time.monotonic()
        try:
            status = await asyncio.wait_for(self._process.stop(), STOP_TIMEOUT_S)
        except TimeoutError:
            await self._process.kill()
            return f"{self.name}: did not stop within {STOP_TIMEOUT_S} s"
        if status == -signal.SIGTERM and not self._handles_signals():
            return ""
        duration = time.monotonic() - started_at
        return (
            f"{self.name}: exit status {status} instead of 0 after {duration:.1f} s"
            if status
            else ""
        )

    def _handles_signals(self) -> bool:
        """Return whether the process has logged that it handles signals."""
        with self._process.log.open("rb") as log:
            log.seek(self._log_offset)
            return b"event=process_starting" in log.read()

    def freeze(self) -> None:
        """Suspend the process."""
        self._process.freeze()

    def thaw(self) -> None:
        """Resume the process."""
        self._process.thaw()

    async def wait_ready(self, client: aiohttp.ClientSession) -> None:
        """Wait until the readiness probe of the process succeeds.

        Raises `TimeoutError` where it does not within `MAX_READY_POLLS` polls.
        """
        for _ in range(MAX_READY_POLLS):
            if await self._is_ready(client):
                return
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        raise TimeoutError(f"{self.name}: readiness probe did not succeed in time")

    async def _is_ready(self, client: aiohttp.ClientSession) -> bool:
        try:
            async with client.get(f"http://{self._ready_address}/ready") as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def _kill_if_running(self) -> None:
        if self._process.running:
            self._process.thaw()
            await self._process.kill()


def _file_size(path: Path) -> int:
    return path.stat().st_size if path.exists() else 0


def _free_port() -> int:
    """Return a loopback port on which nothing listens now.

    The candidates lie below the range of ephemeral ports, so that no outgoing
    connection can take the port before the process listens on it.
    """
    while True:
        port = next(_CANDIDATE_PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
