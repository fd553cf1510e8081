"""Tests of `cassiaweir.peers`: the way to the store, directly or through a peer."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from cassiaweir.exceptions import UnavailableError
from cassiaweir.observe import Metrics
from cassiaweir.peers import StoreRoute
from cassiaweir.peers._adaptive_timeout import MAX_TIMEOUT, MIN_TIMEOUT, AdaptiveTimeout
from cassiaweir.verdict import Verdict
from tests.virtual_time import VirtualClock, run_virtual

NO_WAIT = timedelta(0)


class FakeWay:
    """Stands in for the store and for the peers that relay to it."""

    def __init__(self) -> None:
        self.status = 200
        self.silent = False
        self.peer_works = True
        self.direct_calls = 0
        self.relayed: list[str] = []

    async def call(self, method, path, data, timeout):
        self.direct_calls += 1
        if self.silent:
            await asyncio.sleep(timeout.total_seconds())
            raise UnavailableError("silent", verdict=Verdict.MAY_HAVE_RUN)
        await asyncio.sleep(0.005)
        return self.status, b"direct"

    async def ping(self, timeout):
        if self.silent:
            await asyncio.sleep(timeout.total_seconds())
            raise UnavailableError("silent", verdict=Verdict.NOT_RUN)
        await asyncio.sleep(0.005)
        return self.status == 200

    async def relay(self, address, method, path, data, wait, timeout):
        self.relayed.append(address)
        if not self.peer_works:
            raise UnavailableError("cut", verdict=Verdict.NOT_RUN)
        return 200, b"peer"

    def addresses(self):
        return ["a", "b", "c"]


def route_of(way: FakeWay) -> StoreRoute:
    route = StoreRoute(way, way, VirtualClock(), Metrics())
    route.use_peers(way)
    return route


@pytest.mark.parametrize("status", [429, 503])
def test_a_store_that_turns_this_machine_away_is_reached_by_a_peer(status) -> None:
    async def body() -> None:
        way = FakeWay()
        way.status = status
        route = route_of(way)
        assert await route.call("GET", "/rows-get", None, NO_WAIT) == (200, b"peer")
        assert not route.directly_reachable
        assert not route.store_unreachable

    run_virtual(body)


def test_the_peer_that_worked_is_asked_again_and_direct_calls_pause() -> None:
    async def body() -> None:
        way = FakeWay()
        way.status = 503
        route = route_of(way)
        for _ in range(5):
            await route.call("GET", "/rows-get", None, NO_WAIT)
        assert len(set(way.relayed)) == 1
        assert way.direct_calls == 1

    run_virtual(body)


def test_a_busy_part_is_no_reason_to_leave_the_store() -> None:
    async def body() -> None:
        way = FakeWay()
        way.status = 429
        route = route_of(way)
        with pytest.raises(UnavailableError) as caught:
            await route.relay("POST", "/rows-tx", b"{}", NO_WAIT)
        assert caught.value.verdict is Verdict.NOT_RUN
        assert route.directly_reachable

    run_virtual(body)


def test_a_write_without_answer_is_not_sent_again_by_a_peer() -> None:
    async def body() -> None:
        way = FakeWay()
        way.silent = True
        route = route_of(way)
        with pytest.raises(UnavailableError) as caught:
            await route.call("POST", "/rows-tx", b"{}", NO_WAIT)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        assert not way.relayed

    run_virtual(body)


def test_a_call_in_a_full_outage_ends_soon() -> None:
    async def body() -> None:
        way = FakeWay()
        way.silent = True
        way.peer_works = False
        route = route_of(way)
        calls = (route.call("GET", "/rows-get", None, NO_WAIT) for _ in range(3))
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(each, UnavailableError) for each in results)
        assert asyncio.get_running_loop().time() < 1.0
        assert route.store_unreachable
        assert len(set(way.relayed)) == 3

    run_virtual(body)


def test_one_peer_that_cannot_help_does_not_mean_that_the_store_is_gone() -> None:
    """A third of the VMs is turned away; the others still reach the store."""

    async def body() -> None:
        way = FakeWay()
        way.status = 429
        way.peer_works = False
        route = route_of(way)
        with pytest.raises(UnavailableError):
            await route.call("GET", "/rows-get", None, NO_WAIT)
        assert not route.store_unreachable
        way.peer_works = True
        assert await route.call("GET", "/rows-get", None, NO_WAIT) == (200, b"peer")
        assert way.relayed[0] != way.relayed[1]
        assert not route.store_unreachable

    run_virtual(body)


def test_a_returning_store_is_used_directly_again() -> None:
    async def body() -> None:
        way = FakeWay()
        way.status = 503
        route = route_of(way)
        await route.call("GET", "/rows-get", None, NO_WAIT)
        way.status = 200
        await asyncio.sleep(0.4)
        assert await route.call("GET", "/rows-get", None, NO_WAIT) == (200, b"direct")
        assert route.directly_reachable

    run_virtual(body)


def test_calls_that_an_outage_swallowed_do_not_outlast_it() -> None:
    """A read sent in the outage is answered soon after the store has returned."""

    async def body() -> None:
        loop = asyncio.get_running_loop()
        way = FakeWay()
        way.silent = True
        way.peer_works = False
        route = route_of(way)
        for _ in range(6):
            with pytest.raises(UnavailableError):
                await route.call("GET", "/rows-get", None, NO_WAIT)
            await asyncio.sleep(0.1)
        long_poll = timedelta(seconds=5)
        read = asyncio.create_task(route.call("GET", "/rows-feed", None, long_poll))
        await asyncio.sleep(0.4)
        way.silent = False
        returned_at = loop.time()
        assert await read == (200, b"direct")
        assert loop.time() - returned_at < 0.6
        assert route.directly_reachable
        await route.stop()

    run_virtual(body)


def test_a_write_that_an_outage_swallowed_stays_in_doubt() -> None:
    async def body() -> None:
        way = FakeWay()
        way.silent = True
        route = route_of(way)
        with pytest.raises(UnavailableError):
            await route.call("POST", "/rows-tx", b"{}", NO_WAIT)
        await asyncio.sleep(0.35)
        write = asyncio.create_task(route.call("POST", "/rows-tx", b"{}", NO_WAIT))
        await asyncio.sleep(0.01)
        way.silent = False
        with pytest.raises(UnavailableError) as caught:
            await write
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        assert not way.relayed
        await route.stop()

    run_virtual(body)


def test_patience_follows_a_store_that_turned_slow() -> None:
    patience = AdaptiveTimeout()
    assert patience.timeout == MIN_TIMEOUT
    for _ in range(5):
        patience.record_timeout()
    assert patience.timeout == MAX_TIMEOUT
    for _ in range(30):
        patience.record_answer(timedelta(milliseconds=5))
    assert patience.timeout == MIN_TIMEOUT
