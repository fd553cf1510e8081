"""An event loop on virtual time, and a clock that reads it.

Instead of waiting, the loop advances its time to the next timer.  Tests that cover
long periods therefore run fast, and repeat exactly.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from typing import Any

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual time by the timeout instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once; raise if no timer is set, as the test would hang."""
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only from timer to timer."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._virtual_selector.elapsed

    def spend(self, seconds: float) -> None:
        """Advance the time as a computation does, which lets no other task run."""
        self._virtual_selector.elapsed += seconds


class VirtualClock:
    """A `Clock` that reads the virtual time of the running loop."""

    def now(self) -> datetime:
        """Return `EPOCH` plus the virtual time."""
        return EPOCH + timedelta(seconds=self.monotonic())

    def monotonic(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return asyncio.get_running_loop().time()

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for `duration` of virtual time."""
        await asyncio.sleep(duration.total_seconds())


def run_virtual(body: Callable[[], Awaitable[Any]]) -> Any:
    """Run `body` on virtual time and return its result."""

    async def main() -> Any:
        return await body()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())
