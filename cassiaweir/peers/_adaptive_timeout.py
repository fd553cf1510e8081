"""How long to wait for the store, learnt from how long it takes."""

from __future__ import annotations

from datetime import timedelta

SHORTEST = timedelta(milliseconds=350)
LONGEST = timedelta(milliseconds=1_200)
FACTOR = 4
"""An answer is given up after so many times the usual delay."""

GROWTH = 1.6
"""Patience grows by this after a call without answer, as the store may be slow."""

WEIGHT = 0.2


class AdaptiveTimeout:
    """Bounds calls by a multiple of the usual delay of their answers."""

    def __init__(self) -> None:
        self._usual_s = 0.0
        self._extra_s = 0.0

    @property
    def timeout(self) -> timedelta:
        """How long to wait for the next answer."""
        seconds = max(self._usual_s * FACTOR, self._extra_s)
        return min(max(timedelta(seconds=seconds), SHORTEST), LONGEST)

    def record_answer(self, delay: timedelta) -> None:
        """Take note of an answer that came after `delay`."""
        self._usual_s += (delay.total_seconds() - self._usual_s) * WEIGHT
        self._extra_s = 0.0

    def record_timeout(self) -> None:
        """Take note of a call that was given up."""
        self._extra_s = self.timeout.total_seconds() * GROWTH
