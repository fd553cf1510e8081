"""Tests of `StoreRoute`: calls to the store, directly or through a peer."""

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


class FakeStoreAndPeers:
    """Stands in for the store and for the peers that relay calls to it.

    The store answers with `status`, or not at all if `silent`.
    """

    def __init__(self) -> None:
        self.status = 200
        self.silent = False
        self.relay_works = True
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
        if not self.relay_works:
            raise UnavailableError("cut", verdict=Verdict.NOT_RUN)
        return 200, b"peer"

    def addresses(self):
        return ["a", "b", "c"]


def make_route(fake: FakeStoreAndPeers) -> StoreRoute:
    route = StoreRoute(fake, fake, VirtualClock(), Metrics())
    route.use_peers(fake)
    return route


@pytest.mark.parametrize("status", [429, 503])
def test_a_store_that_refuses_this_vm_is_reached_through_a_peer(status) -> None:
    async def body() -> None:
        fake = FakeStoreAndPeers()
        fake.status = status
        route = make_route(fake)
        assert await route.call("GET", "/rows-get", None, NO_WAIT) == (200, b"peer")
        assert not route.directly_reachable
        assert not route.store_unreachable

    run_virtual(body)


def test_a_peer_that_succeeded_is_reused_while_direct_calls_are_paused() -> None:
    async def body() -> None:
        fake = FakeStoreAndPeers()
        fake.status = 503
        route = make_route(fake)
        for _ in range(5):
            await route.call("GET", "/rows-get", None, NO_WAIT)
        assert len(set(fake.relayed)) == 1
        assert fake.direct_calls == 1

    run_virtual(body)


def test_a_busy_answer_to_a_write_does_not_pause_direct_calls() -> None:
    async def body() -> None:
        fake = FakeStoreAndPeers()
        fake.status = 429
        route = make_route(fake)
        with pytest.raises(UnavailableError) as excinfo:
            await route.relay("POST", "/rows-tx", b"{}", NO_WAIT)
        assert excinfo.value.verdict is Verdict.NOT_RUN
        assert route.directly_reachable

    run_virtual(body)


def test_an_unanswered_write_is_not_repeated_through_a_peer() -> None:
    async def body() -> None:
        fake = FakeStoreAndPeers()
        fake.silent = True
        route = make_route(fake)
        with pytest.raises(UnavailableError) as excinfo:
            await route.call("POST", "/rows-tx", b"{}", NO_WAIT)
        assert excinfo.value.verdict is Verdict.MAY_HAVE_RUN
        assert not fake.relayed

    run_virtual(body)


def test_calls_fail_fast_when_neither_store_nor_peers_answer() -> None:
    async def body() -> None:
        fake = FakeStoreAndPeers()
        fake.silent = True
        fake.relay_works = False
        route = make_route(fake)
        calls = (route.call("GET", "/rows-get", None, NO_WAIT) for _ in range(3))
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(result, UnavailableError) for result in results)
        assert asyncio.get_running_loop().time() < 1.0
        assert route.store_unreachable
        assert len(set(fake.relayed)) == 3

    run_virtual(body)


def test_one_failed_peer_does_not_make_the_store_unreachable() -> None:
    """Guards against reporting an outage while the store refuses a third of the VMs."""

    async def body() -> None:
        fake = FakeStoreAndPeers()
        fake.status = 429
        fake.relay_works = False
        route = make_route(fake)
        with pytest.raises(UnavailableError):
            await route.call("GET", "/rows-get", None, NO_WAIT)
        assert not route.store_unreachable
        fake.relay_works = True
        assert await route.call("GET", "/rows-get", None, NO_WAIT) == (200, b"peer")
        assert fake.relayed[0] != fake.relayed[1]
        assert not route.store_unreachable

    run_virtual(body)


def test_direct_calls_resume_after_the_store_recovers() -> None:
    async def body() -> None:
        fake = FakeStoreAndPeers()
        fake.status = 503
        route = make_route(fake)
        await route.call("GET", "/rows-get", None, NO_WAIT)
        fake.status = 200
        await asyncio.sleep(0.4)
        assert await route.call("GET", "/rows-get", None, NO_WAIT) == (200, b"direct")
        assert route.directly_reachable

    run_virtual(body)


def test_a_read_lost_in_an_outage_is_repeated_after_recovery() -> None:
    """Guards against a long poll that blocks until its own timeout after an outage.

    It was sent while the store was silent, so the store never answers it.
    """

    async def body() -> None:
        loop = asyncio.get_running_loop()
        fake = FakeStoreAndPeers()
        fake.silent = True
        fake.relay_works = False
        route = make_route(fake)
        for _ in range(6):
            with pytest.raises(UnavailableError):
                await route.call("GET", "/rows-get", None, NO_WAIT)
            await asyncio.sleep(0.1)
        long_poll = timedelta(seconds=5)
        read = asyncio.create_task(route.call("GET", "/rows-feed", None, long_poll))
        await asyncio.sleep(0.4)
        fake.silent = False
        recovered_at = loop.time()
        assert await read == (200, b"direct")
        assert loop.time() - recovered_at < 0.6
        assert route.directly_reachable
        await route.stop()

    run_virtual(body)


def test_a_write_lost_in_an_outage_may_have_run() -> None:
    async def body() -> None:
        fake = FakeStoreAndPeers()
        fake.silent = True
        route = make_route(fake)
        with pytest.raises(UnavailableError):
            await route.call("POST", "/rows-tx", b"{}", NO_WAIT)
        await asyncio.sleep(0.35)
        write = asyncio.create_task(route.call("POST", "/rows-tx", b"{}", NO_WAIT))
        await asyncio.sleep(0.01)
        fake.silent = False
        with pytest.raises(UnavailableError) as excinfo:
            await write
        assert excinfo.value.verdict is Verdict.MAY_HAVE_RUN
        assert not fake.relayed
        await route.stop()

    run_virtual(body)


def test_the_timeout_adapts_to_response_times() -> None:
    adaptive_timeout = AdaptiveTimeout()
    assert adaptive_timeout.timeout == MIN_TIMEOUT
    for _ in range(5):
        adaptive_timeout.record_timeout()
    assert adaptive_timeout.timeout == MAX_TIMEOUT
    for _ in range(30):
        adaptive_timeout.record_answer(timedelta(milliseconds=5))
    assert adaptive_timeout.timeout == MIN_TIMEOUT
