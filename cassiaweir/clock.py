"""Clocks: the system's, and one that tests move by hand."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> datetime:
        """Return the time of day in UTC, for display only."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds that never go back and count while the process is stopped."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for `duration`."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """A clock that stands still until `advance` moves it."""

    def __init__(self) -> None:
        self._elapsed = 0.0
        self._start = datetime(2026, 1, 1, tzinfo=UTC)

    def now(self) -> datetime:
        """Return the time of day in UTC."""
        return self._start + timedelta(seconds=self._elapsed)

    def monotonic(self) -> float:
        """Return the seconds that `advance` has added up."""
        return self._elapsed

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._elapsed += seconds

    async def sleep(self, duration: timedelta) -> None:
        """Move the clock forward by `duration` and let other tasks run."""
        self.advance(duration.total_seconds())
        await asyncio.sleep(0)
