"""The system clock, and a clock for tests that is advanced explicitly."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> datetime:
        """Return the time of day in UTC, which may jump when the clock is set."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since the system started, which never decrease.

        They include the time during which the process was stopped or the system
        suspended.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for `duration`."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """A clock whose time changes only by `advance` and `sleep`."""

    def __init__(self) -> None:
        self._elapsed = 0.0
        self._start = datetime(2026, 1, 1, tzinfo=UTC)

    def now(self) -> datetime:
        """Return a fixed start time plus the seconds advanced so far."""
        return self._start + timedelta(seconds=self._elapsed)

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self._elapsed += seconds

    async def sleep(self, duration: timedelta) -> None:
        """Advance the clock by `duration` at once, and let other tasks run."""
        self.advance(duration.total_seconds())
        await asyncio.sleep(0)
