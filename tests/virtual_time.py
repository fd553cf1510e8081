"""An event loop whose time jumps to the next timer, and a clock that reads it.

Nothing waits for real, so tests of long spans are quick and repeat exactly.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from typing import Any

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.SelectSelector):
    """Moves the time forward in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once; a wait without end would mean that the test hangs."""
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the loop was made."""
        return self._jumping.elapsed


class VirtualClock:
    """Reads the time of the running loop."""

    def now(self) -> datetime:
        """Return the time of day in UTC."""
        return EPOCH + timedelta(seconds=self.monotonic())

    def monotonic(self) -> float:
        """Return the virtual seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for `duration` of virtual time."""
        await asyncio.sleep(duration.total_seconds())


def run_virtual(body: Callable[[], Awaitable[Any]]) -> Any:
    """Run `body` on virtual time and return its result."""

    async def whole() -> Any:
        return await body()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(whole())
