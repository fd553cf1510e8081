"""Divides work that can wait among the iterations of the event loop.

The event loop runs what is ready in the order in which it became ready.  Hundreds of
batch starts that are ready at once would therefore run before an urgent start that
becomes ready a moment later.  They wait here instead, and some of them run in each
iteration, beside what has become ready since.
"""

from __future__ import annotations

import asyncio
from collections import deque

ITERATION_SHARE_S = 0.01
"""The pieces of work that get a turn in one iteration take about this long."""

MIN_TURNS = 2
MAX_TURNS = 256
"""Limits of the turns that are granted in one iteration."""

MAX_BACKLOG_ITERATIONS = 4
"""Work is backlogged if it waits for more iterations than this."""

INITIAL_PIECE_S = 0.0005
SMOOTHING = 0.1
"""The weight of a new sample in the moving average of the time of a piece."""


class LoopTurns:
    """Grants turns in the order in which they were asked for, some an iteration.

    How many depends on how long a piece of work takes: each is measured from when its
    task is resumed until the event loop goes on with the next callback.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._piece_s = INITIAL_PIECE_S
        self._scheduled = False
        self._marked_at = 0.0

    @property
    def backlogged(self) -> bool:
        """Whether so much work waits that no more of it is to be begun."""
        return len(self._waiting) > MAX_BACKLOG_ITERATIONS * self._limit

    @property
    def _limit(self) -> int:
        """How many turns an iteration grants."""
        if self._piece_s * MAX_TURNS <= ITERATION_SHARE_S:
            return MAX_TURNS
        return max(int(ITERATION_SHARE_S / self._piece_s), MIN_TURNS)

    async def wait(self) -> None:
        """Wait for a turn."""
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._schedule()
        await turn

    def _schedule(self) -> None:
        """Grant the next turns in the next iteration of the event loop."""
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._grant)

    def _grant(self) -> None:
        """Grant the turns of an iteration, with a mark before and after each piece."""
        self._scheduled = False
        granted = 0
        loop = asyncio.get_running_loop()
        loop.call_soon(self._mark)
        limit = self._limit
        while self._waiting and granted < limit:
            turn = self._waiting.popleft()
            if turn.done():
                continue
            granted += 1
            turn.set_result(None)
            loop.call_soon(self._measure)
        if self._waiting:
            self._schedule()

    def _mark(self) -> None:
        self._marked_at = asyncio.get_running_loop().time()

    def _measure(self) -> None:
        """Measure the piece of work that ran since the last mark."""
        now = asyncio.get_running_loop().time()
        self._piece_s += SMOOTHING * (now - self._marked_at - self._piece_s)
        self._marked_at = now
