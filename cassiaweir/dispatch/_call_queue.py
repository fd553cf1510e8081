"""Bounds the calls under way to each server, and lets the most urgent ones go first.

A process opens few connections to a server.  A call that is sent while all are taken
waits inside the HTTP client, where its time for the answer runs although the server has
not heard of it.  Calls therefore wait here, without a timeout, for a free connection.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from enum import IntEnum
from typing import TypeVar

from cassiaweir.exceptions import UnavailableError

MAX_CALLS_PER_SERVER = 4
"""Calls under way to one address; as many connections to it are needed."""

MAX_ORDERS_PER_SERVER = MAX_CALLS_PER_SERVER - 1
"""Orders among them.  A report, which renews the leases of all runs, is not delayed."""

MIN_ORDERS_PER_SERVER = 1
TIMEOUT_DECREASE = 0.5
"""Factor on the number of orders that may be under way after one got no answer."""

T = TypeVar("T")


class CallKind(IntEnum):
    """What a call to a server is for; those with lower values go first."""

    REPORT = 0
    URGENT_START = 1
    STOP = 2
    GANG_START = 3
    """The members of a gang wait for each other."""

    REPEATED_URGENT_START = 4
    START = 5
    REPEATED_START = 6
    """A start in doubt, which may get no answer again."""


class _Lane:
    """The calls of one kind that wait, in start-time fair order over their jobs.

    A job with few calls does not wait behind all those of a job with many.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._next_start: dict[str, int] = {}
        self._virtual_time = 0

    def add(self, job_id: str) -> asyncio.Future[None]:
        """Add a call for a job; return what is resolved when it may be sent."""
        start = max(self._virtual_time, self._next_start.get(job_id, 0))
        self._next_start[job_id] = start + 1
        granted = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (start, next(self._numbers), granted))
        return granted

    def has_waiting(self) -> bool:
        """Return whether a call waits that was not cancelled."""
        while self._waiting and self._waiting[0][-1].cancelled():
            heapq.heappop(self._waiting)
        if not self._waiting:
            self._next_start.clear()
        return bool(self._waiting)

    def grant(self) -> None:
        """Let the first call that waits be sent."""
        self._virtual_time, _, granted = heapq.heappop(self._waiting)
        granted.set_result(None)


class CallQueue:
    """The calls to one address.

    The number of orders under way follows the server's answers, as in the congestion
    control of a transport: it grows by one for a round of answered orders, and is
    halved when an order gets no answer.
    """

    def __init__(self) -> None:
        self._reports = 0
        self._orders = 0
        self._order_limit = float(MAX_ORDERS_PER_SERVER)
        self._lanes = {kind: _Lane() for kind in CallKind}

    @property
    def order_limit(self) -> int:
        """The number of orders that may be under way now."""
        return int(self._order_limit)

    @asynccontextmanager
    async def turn(self, kind: CallKind, job_id: str = "") -> AsyncIterator[None]:
        """Wait until a call of this kind may be sent; the block sends it.

        Calls of one kind for different jobs take turns.  What the call depends on may
        have changed while it waited.
        """
        await self._acquire(kind, job_id)
        try:
            yield
        finally:
            self._release(kind)

    async def order(self, sending: Awaitable[T]) -> T:
        """Await an order that is sent in its turn, and learn from its outcome."""
        try:
            answer = await sending
        except UnavailableError:
            limit = self._order_limit * TIMEOUT_DECREASE
            self._order_limit = max(limit, MIN_ORDERS_PER_SERVER)
            raise
        limit = self._order_limit + 1 / self._order_limit
        self._order_limit = min(limit, MAX_ORDERS_PER_SERVER)
        return answer

    async def _acquire(self, kind: CallKind, job_id: str) -> None:
        """Wait for a connection, and count a call of this kind as under way."""
        granted = self._lanes[kind].add(job_id)
        self._grant()
        try:
            await granted
        except asyncio.CancelledError:
            if not granted.cancelled():
                self._release(kind)
            raise

    def _release(self, kind: CallKind) -> None:
        """Stop counting a call as under way."""
        self._count(kind, -1)
        self._grant()

    def _grant(self) -> None:
        """Let the first calls go for which there are connections."""
        for kind, lane in self._lanes.items():
            while lane.has_waiting() and self._has_room(kind):
                self._count(kind, 1)
                lane.grant()

    def _has_room(self, kind: CallKind) -> bool:
        if self._reports + self._orders >= MAX_CALLS_PER_SERVER:
            return False
        return kind is CallKind.REPORT or self._orders < self.order_limit

    def _count(self, kind: CallKind, change: int) -> None:
        if kind is CallKind.REPORT:
            self._reports += change
        else:
            self._orders += change


class CallQueues:
    """The queues of the servers that a term calls, by address.

    Lifetimes of servers with different ids may follow each other at one address.
    """

    def __init__(self) -> None:
        self._queues: dict[str, CallQueue] = {}

    def at(self, address: str) -> CallQueue:
        """Return the queue of calls to `address`."""
        queue = self._queues.get(address)
        if queue is None:
            queue = self._queues[address] = CallQueue()
        return queue
