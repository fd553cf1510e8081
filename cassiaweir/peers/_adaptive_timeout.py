"""A timeout for calls to the store that adapts to the observed response times."""

from __future__ import annotations

from datetime import timedelta

MIN_TIMEOUT = timedelta(milliseconds=350)
MAX_TIMEOUT = timedelta(milliseconds=1_200)
AVERAGE_DELAY_FACTOR = 4
"""A call times out after this multiple of the average response time."""

BACKOFF_FACTOR = 1.6
"""The timeout grows by this factor after a timed-out call, as the store may be slow."""

SMOOTHING_FACTOR = 0.2
"""The weight of a new response time in the moving average."""


class AdaptiveTimeout:
    """Derives a timeout from a moving average of response times."""

    def __init__(self) -> None:
        self._average_delay_s = 0.0
        self._backoff_s = 0.0

    @property
    def timeout(self) -> timedelta:
        """How long to wait for the answer of the next call."""
        seconds = max(self._average_delay_s * AVERAGE_DELAY_FACTOR, self._backoff_s)
        return min(max(timedelta(seconds=seconds), MIN_TIMEOUT), MAX_TIMEOUT)

    def record_answer(self, delay: timedelta) -> None:
        """Record an answer that came after `delay`."""
        self._average_delay_s += (
            delay.total_seconds() - self._average_delay_s
        ) * SMOOTHING_FACTOR
        self._backoff_s = 0.0

    def record_timeout(self) -> None:
        """Record a call that timed out, and lengthen the timeout."""
        self._backoff_s = self.timeout.total_seconds() * BACKOFF_FACTOR
