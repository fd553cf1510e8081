"""Divides the reading of busy connections among the iterations of the event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

READS_PER_ITERATION = 4
MIN_ITERATIONS = 4
"""Iterations between two reads of a connection.

In that time the HTTP server has answered a head that it cannot parse, and has closed
the connection.
"""


class Reader(Protocol):
    """A connection on which reading is paused."""

    def resume(self) -> None:
        """Read once more."""


class ReadTurns:
    """Resumes paused connections in turn, a few in each iteration."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[tuple[int, Reader]] = deque()
        self._iteration = 0

    def add(self, reader: Reader) -> None:
        """Resume `reader` when it is its turn."""
        if not self._waiting:
            self._loop.call_soon(self._resume_some)
        self._waiting.append((self._iteration + MIN_ITERATIONS, reader))

    def _resume_some(self) -> None:
        self._iteration += 1
        for _ in range(READS_PER_ITERATION):
            if not self._waiting or self._waiting[0][0] > self._iteration:
                break
            self._waiting.popleft()[1].resume()
        if self._waiting:
            self._loop.call_soon(self._resume_some)
