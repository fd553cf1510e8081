"""Tests of the time limits and the error verdicts of the HTTP session."""

from __future__ import annotations

import asyncio
import sys
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
import uvloop
from aiohttp import web

from cassiaweir.exceptions import UnavailableError
from cassiaweir.platform import HttpSession
from cassiaweir.platform._http import MAX_CONNECTIONS
from cassiaweir.verdict import Verdict
from standins.users import listening

TIMEOUT = timedelta(milliseconds=300)
CHUNK_COUNT = 6
CHUNK = b"x" * 1_000
TARGET_SERVERS = 1_400
"""By the target of CONTRIBUTING.md; each holds a report back and is sent orders."""

STORM = [sys.executable, "-m", "tests.connection_storm", "4"]


@asynccontextmanager
async def started_session():
    session = HttpSession({})
    await session.start()
    try:
        yield session
    finally:
        await session.stop()


async def send_in_chunks(req: web.BaseRequest) -> web.StreamResponse:
    resp = web.StreamResponse()
    await resp.prepare(req)
    for _ in range(CHUNK_COUNT):
        await asyncio.sleep(0.1)
        await resp.write(CHUNK)
    return resp


async def stay_silent(req: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(10)
    return web.Response()


async def test_a_large_response_may_take_longer_than_the_timeout():
    """The chunks take twice the timeout together, and each about a third of it."""
    async with listening(send_in_chunks) as address, started_session() as session:
        resp = await session.send("GET", address, "/", None, TIMEOUT)
        assert resp.body == CHUNK * CHUNK_COUNT


async def test_a_request_to_a_silent_server_times_out():
    async with listening(stay_silent) as address, started_session() as session:
        with pytest.raises(UnavailableError) as caught:
            await session.send("GET", address, "/", None, TIMEOUT)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN


# Guards against servers that seem to be unreachable, as their requests wait for a free
# connection while other servers hold theirs back.
def test_each_server_of_the_target_may_hold_a_request_back():
    assert MAX_CONNECTIONS >= 2 * TARGET_SERVERS


# Guards against an address that ends the caller with an unexpected error, or that is
# taken for a request which may have run.
@pytest.mark.parametrize(
    "address", ["..:80", "a" * 64 + ":80", "a:99999", ":80", "a b"]
)
async def test_a_request_to_an_unusable_address_was_not_run(address: str):
    async with started_session() as session:
        with pytest.raises(UnavailableError) as caught:
            await session.send("POST", address, "/", b"", TIMEOUT)
        assert caught.value.verdict is Verdict.NOT_RUN


# Guards against a leader that is aborted while many connections fail at once, as when
# servers are cut off: the loop went on watching descriptors of closed sockets.
async def test_a_process_outlives_many_failing_connections():
    storms = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.connection_storm",
            "4",
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(3)
    ]
    for storm in storms:
        answered, _ = await storm.communicate()
        assert storm.returncode == 0
        assert answered == b"answered\n"


# Guards against the cause of the above without its timing: sockets that are connected
# outside of the loop's transports.
def test_connections_are_opened_without_sockets_of_their_own():
    class Loop(uvloop.Loop):
        async def sock_connect(self, *_: object) -> None:
            raise AssertionError("a socket was connected outside of a transport")

    async def answer_ok(_: web.BaseRequest) -> web.Response:
        return web.Response(text="ok")

    async def body() -> None:
        async with listening(answer_ok) as address, started_session() as session:
            assert (
                await session.send("GET", address, "/", None, TIMEOUT)
            ).body == b"ok"

    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(body())


ENDLESS_CHUNK = b"x" * 1_048_576
ENDLESS_CHUNKS = 16
MAX_RESPONSE_BYTES = 2 * 1_048_576


async def send_far_beyond_the_bound(req: web.BaseRequest) -> web.StreamResponse:
    resp = web.StreamResponse()
    await resp.prepare(req)
    for _ in range(ENDLESS_CHUNKS):
        await resp.write(ENDLESS_CHUNK)
    return resp


# Guards against a server or store whose answer has no end and takes all memory
# (issue 56).
async def test_an_answer_longer_than_the_bound_is_not_read_to_its_end():
    session = HttpSession({}, max_response_bytes=MAX_RESPONSE_BYTES)
    await session.start()
    try:
        async with listening(send_far_beyond_the_bound) as address:
            with pytest.raises(UnavailableError, match="exceeds 2097152") as caught:
                await session.send("GET", address, "/", None, timedelta(seconds=60))
    finally:
        await session.stop()
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


# Guards against a bound that an answer inside it meets (issue 56).
async def test_an_answer_of_the_size_of_the_bound_is_returned():
    bound = CHUNK_COUNT * len(CHUNK)
    session = HttpSession({}, max_response_bytes=bound)
    await session.start()
    try:
        async with listening(send_in_chunks) as address:
            resp = await session.send("GET", address, "/", None, TIMEOUT)
    finally:
        await session.stop()
    assert resp.body == CHUNK * CHUNK_COUNT


# Guards against a count that misses open connections, or grows with closed ones.
async def test_open_connections_are_counted_until_they_are_closed():
    async with started_session() as session:
        assert session.open_connections() == 0
        async with listening(send_in_chunks) as address:
            await asyncio.gather(
                *(session.send("GET", address, "/", None, TIMEOUT) for _ in range(3))
            )
            assert session.open_connections() == 3
        for _ in range(100):
            if not session.open_connections():
                break
            await asyncio.sleep(0.01)
        assert session.open_connections() == 0
