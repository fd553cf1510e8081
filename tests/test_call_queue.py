"""Tests the order and the number of calls that are under way to one server."""

from __future__ import annotations

import asyncio
import random

import pytest

from cassiaweir.dispatch._call_queue import (
    MAX_CALLS_PER_SERVER,
    MAX_ORDERS_PER_SERVER,
    MIN_ORDERS_PER_SERVER,
    CallKind,
    CallQueue,
    CallQueues,
)
from cassiaweir.exceptions import UnavailableError
from cassiaweir.verdict import Verdict
from tests.virtual_time import run_virtual

ORDER_KINDS = [kind for kind in CallKind if kind is not CallKind.REPORT]


class Calls:
    """Makes calls that take time through one queue, and notes what was under way."""

    def __init__(self) -> None:
        self.queue = CallQueue()
        self.sent: list[str] = []
        self.under_way: list[CallKind] = []
        self.most = 0
        self.most_orders = 0

    async def call(self, kind: CallKind, name: str = "", seconds: float = 0.1) -> None:
        async with self.queue.turn(kind, name):
            self.sent.append(name)
            self.under_way.append(kind)
            self.most = max(self.most, len(self.under_way))
            orders = sum(each is not CallKind.REPORT for each in self.under_way)
            self.most_orders = max(self.most_orders, orders)
            try:
                await asyncio.sleep(seconds)
            finally:
                self.under_way.remove(kind)

    def start(self, kind: CallKind, name: str = "") -> asyncio.Task[None]:
        return asyncio.create_task(self.call(kind, name))


# Guards against a call that waits inside the HTTP client while its time runs.
@pytest.mark.parametrize("seed", range(20))
def test_no_more_calls_are_under_way_than_there_are_connections(seed: int) -> None:
    async def body() -> None:
        rng = random.Random(seed)
        calls = Calls()
        tasks = []
        for _ in range(200):
            kind = rng.choice(list(CallKind))
            tasks.append(calls.start(kind))
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.02)))
            if rng.random() < 0.2:
                rng.choice(tasks).cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert calls.most == MAX_CALLS_PER_SERVER
        assert calls.most_orders == MAX_ORDERS_PER_SERVER
        assert not calls.under_way
        # Nothing stays counted after calls that were cancelled.
        more = [calls.start(CallKind.START) for _ in range(MAX_ORDERS_PER_SERVER)]
        await asyncio.sleep(0.01)
        assert len(calls.under_way) == MAX_ORDERS_PER_SERVER
        await asyncio.gather(*more)

    run_virtual(body)


# Guards against a lease that expires as its renewal waits behind orders.
def test_a_report_does_not_wait_for_orders() -> None:
    async def body() -> None:
        calls = Calls()
        tasks = [calls.start(CallKind.START) for _ in range(200)]
        await asyncio.sleep(0.01)
        report = calls.start(CallKind.REPORT, "report")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert "report" in calls.sent
        await asyncio.gather(report, *tasks)

    run_virtual(body)


# Guards against an urgent start that waits behind the starts of a batch job.
def test_calls_go_in_order_of_their_kinds() -> None:
    async def body() -> None:
        calls = Calls()
        first = [calls.start(CallKind.START, "first") for _ in range(3)]
        await asyncio.sleep(0.01)
        kinds = [*ORDER_KINDS] * 2
        random.Random(1).shuffle(kinds)
        tasks = [calls.start(kind, kind.name) for kind in kinds]
        await asyncio.gather(*first, *tasks)
        names = calls.sent[3:]
        assert names == [kind.name for kind in ORDER_KINDS for _ in range(2)]

    run_virtual(body)


# Guards against LOST (issue 50): a small job waits behind all starts of a wide one.
def test_calls_of_different_jobs_take_turns() -> None:
    async def body() -> None:
        calls = Calls()
        wide = [calls.start(CallKind.START, "wide") for _ in range(200)]
        await asyncio.sleep(0.5)
        small = [calls.start(CallKind.START, "small") for _ in range(2)]
        more = [calls.start(CallKind.START, "wide") for _ in range(100)]
        sent_before = len(calls.sent)
        await asyncio.gather(*small)
        assert len(calls.sent) - sent_before <= 4 * MAX_ORDERS_PER_SERVER
        await asyncio.gather(*wide, *more)
        assert len(calls.sent) == 302

    run_virtual(body)


async def no_answer() -> None:
    await asyncio.sleep(0.4)
    raise UnavailableError("no answer", verdict=Verdict.MAY_HAVE_RUN)


async def answer() -> None:
    await asyncio.sleep(0.01)


# Guards against many starts in doubt on a server that leaves orders unanswered.
def test_fewer_orders_are_under_way_once_one_got_no_answer() -> None:
    async def body() -> None:
        calls = Calls()
        for _ in range(4):
            with pytest.raises(UnavailableError):
                await calls.queue.order(no_answer())
        assert calls.queue.order_limit == MIN_ORDERS_PER_SERVER
        tasks = [calls.start(CallKind.START) for _ in range(10)]
        await asyncio.gather(*tasks)
        assert calls.most_orders == MIN_ORDERS_PER_SERVER
        for _ in range(10):
            await calls.queue.order(answer())
        assert calls.queue.order_limit == MAX_ORDERS_PER_SERVER

    run_virtual(body)


# Guards against two lifetimes at one address that each use all connections.
def test_servers_at_one_address_share_a_queue() -> None:
    queues = CallQueues()
    assert queues.at("i-1:1") is queues.at("i-1:1")
    assert queues.at("i-1:1") is not queues.at("i-2:1")
