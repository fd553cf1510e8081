"""Starts, stops, kills and suspends the processes of a run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

REPOSITORY = Path(__file__).parent.parent


@dataclass(slots=True)
class ManagedProcess:
    """A process of a run, started as a Python module.

    `arguments` are the module and its command line.  Output is appended to `log`.
    `environment` adds to the variables of the current process.
    """

    name: str
    arguments: Sequence[str]
    log: Path
    environment: Mapping[str, str] = field(default_factory=dict)
    _handle: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """The identifier of the process that was started last."""
        return self._require().pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._handle is not None and self._handle.returncode is None

    async def start(self) -> None:
        """Start the process with the interpreter that runs this code."""
        with self.log.open("ab") as output:
            self._handle = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self.arguments,
                cwd=REPOSITORY,
                env={**os.environ, **self.environment},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    async def stop(self) -> int:
        """Stop the process gracefully and return its exit status."""
        self._send(signal.SIGTERM)
        return await self._require().wait()

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self._send(signal.SIGKILL)
        await self._require().wait()

    def freeze(self) -> None:
        """Suspend the process."""
        self._send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process."""
        self._send(signal.SIGCONT)

    def _send(self, number: signal.Signals) -> None:
        if self.running:
            self._require().send_signal(number)

    def _require(self) -> asyncio.subprocess.Process:
        if self._handle is None:
            raise RuntimeError(f"{self.name} was never started")
        return self._handle
