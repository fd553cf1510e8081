"""Measures for how long the event loop of a process stands still."""

from __future__ import annotations

from datetime import timedelta

from loguru import logger

from cassiaweir.background import BackgroundTasks
from cassiaweir.observe._metrics import Metrics
from cassiaweir.types import Clock

CHECK_INTERVAL = timedelta(milliseconds=100)
MIN_LOGGED_LAG_S = 0.25
"""A shorter delay is only counted by the metric.

It is less than the timeouts of calls between processes, so that none of them fails.
"""


class LoopLagMonitor:
    """Logs delays of the event loop and records them in the metric `event_loop_lag`.

    While one callback runs, no call is answered and no timeout is kept.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._background = BackgroundTasks()

    async def start(self) -> None:
        """Begin to measure."""
        self._background.start(self._run)

    async def stop(self) -> None:
        """Stop measuring."""
        await self._background.stop()

    async def _run(self) -> None:
        while True:
            due_at = self._clock.monotonic() + CHECK_INTERVAL.total_seconds()
            await self._clock.sleep(CHECK_INTERVAL)
            self._record(max(self._clock.monotonic() - due_at, 0.0))

    def _record(self, lag_s: float) -> None:
        self._metrics.observe("event_loop_lag", lag_s)
        if lag_s >= MIN_LOGGED_LAG_S:
            logger.warning("event_loop_blocked", lag_ms=round(lag_s * 1_000))
