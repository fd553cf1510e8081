"""Tests of `cassiaweir.http_limits`: limits, budgets, and bounded connections."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from cassiaweir.exceptions import SettingsError
from cassiaweir.http_limits import (
    BodyTimeoutError,
    BodyTooLargeError,
    BoundedServer,
    BudgetExhaustedError,
    ByteBudget,
    HttpOverrides,
    IncompleteBodyError,
    ListenerLimits,
    Refusals,
    derive_limits,
    read_body,
)
from cassiaweir.http_limits._connection import READ_BYTES
from cassiaweir.observe import Metrics
from tests.waiting import until

MIB = 1_048_576
MAX_BODY = 262_144
HEAD = "POST / HTTP/1.1\r\nHost: h\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Rig:
    """A listener whose handler reads the body of each request."""

    def __init__(self, limits: ListenerLimits, body_bytes: int) -> None:
        self.metrics = Metrics()
        self.budget = ByteBudget(body_bytes)
        self.gate = asyncio.Event()
        self.gate.set()
        self.handled = 0
        self.body_timeout_s = 60.0
        self.server = BoundedServer(self.handle, "test", limits, Refusals(self.metrics))

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        self.handled += 1
        await self.gate.wait()
        try:
            with self.budget.reserve() as taken:
                body = await read_body(req, taken, MAX_BODY, self.body_timeout_s)
        except BudgetExhaustedError:
            return web.Response(status=503)
        except BodyTooLargeError:
            return web.Response(status=413)
        except BodyTimeoutError:
            return web.Response(status=408)
        except IncompleteBodyError:
            return web.Response(status=400)
        return web.Response(text=str(len(body)))

    def refusals(self, cause: str) -> float:
        labels = (("cause", cause), ("listener", "test"))
        return self.metrics._counters.get(("http_refusals", labels), 0)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)


@asynccontextmanager
async def listening(
    limits: ListenerLimits = ListenerLimits(),  # noqa: B008
    body_bytes: int = 8 * MIB,
) -> AsyncIterator[Rig]:
    rig = Rig(limits, body_bytes)
    runner = web.ServerRunner(rig.server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    rig.port = runner.addresses[0][1]
    try:
        yield rig
    finally:
        rig.gate.set()
        await runner.cleanup()


async def status_of(reader: asyncio.StreamReader) -> int:
    """Return the status of the next response, whose body has to be short."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length: "):
            await reader.readexactly(int(line.split(b" ")[1]))
    return int(head.split(b" ")[1])


async def ended(reader: asyncio.StreamReader) -> bool:
    """Return whether the server closes the connection; what it sends is dropped."""
    try:
        while await reader.read(65_536):
            pass
    except ConnectionError:
        pass
    return True


def sized(size: int) -> bytes:
    return f"{HEAD}Content-Length: {size}\r\n\r\n".encode()


def test_limits_follow_from_memory_and_descriptors():
    small = derive_limits(100, 600, HttpOverrides())
    assert (small.callers.max_connections, small.body_bytes) == (200, 100 * MIB // 8)
    usual = derive_limits(300, 4_100, HttpOverrides())
    assert (usual.callers.max_connections, usual.body_bytes) == (1_950, 300 * MIB // 8)
    assert derive_limits(300, 100_000, HttpOverrides()).callers.max_connections == 2_400


# Guards against callers and backend servers that together take all descriptors.
def test_callers_have_fewer_connections_beside_many_to_servers():
    usual = derive_limits(300, 4_100, HttpOverrides())
    assert usual.callers_beside(0) == 1_794
    assert usual.callers_beside(400) == 1_594
    assert usual.callers_beside(3_900) == 64
    assert derive_limits(100, 600, HttpOverrides()).callers_beside(0) == 184
    fixed = derive_limits(300, 4_100, HttpOverrides(max_connections=3_000))
    assert fixed.callers_beside(3_900) == 3_000


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "overrides"),
    [
        (300, 4_100, HttpOverrides(max_connections=3_901)),
        (300, 4_100, HttpOverrides(body_memory_mb=301)),
        (300, 200, HttpOverrides()),
    ],
)
def test_limits_beyond_those_of_the_process_are_refused(
    memory_mb, descriptors, overrides
):
    with pytest.raises(SettingsError):
        derive_limits(memory_mb, descriptors, overrides)


# Guards against bodies that together take more bytes than the process has for them.
def test_a_budget_keeps_a_share_for_small_bodies_and_admits_one_large_body_in_calm():
    budget = ByteBudget(100_000)
    with budget.reserve() as first, budget.reserve() as second:
        first.grow_to(70_000)
        with pytest.raises(BudgetExhaustedError):
            second.grow_to(20_000)
        second.grow_to(10_000)
        assert budget.used == 80_000
    assert budget.used == 0
    with budget.reserve() as only:
        only.grow_to(MAX_BODY)
        assert budget.used == MAX_BODY


@pytest.mark.parametrize("size", [0, 1, READ_BYTES, READ_BYTES + 1, MAX_BODY])
async def test_legal_bodies_arrive_whole_also_on_one_connection(size):
    async with listening() as rig:
        reader, writer = await rig.connect()
        for _ in range(3):
            writer.write(sized(size) + b"x" * size)
            assert await status_of(reader) == 200
        writer.write(f"{HEAD}Transfer-Encoding: chunked\r\n\r\n".encode())
        writer.write(b"1\r\nx\r\n" * size + b"0\r\n\r\n")
        assert await status_of(reader) == 200
        assert rig.budget.used == 0
        writer.close()


async def test_bodies_over_the_limit_are_refused():
    async with listening() as rig:
        reader, writer = await rig.connect()
        writer.write(sized(MAX_BODY + 1))
        assert await status_of(reader) == 413
        reader, writer = await rig.connect()
        writer.write(f"{HEAD}Transfer-Encoding: chunked\r\n\r\n".encode())
        writer.write(b"40001\r\n" + b"x" * 0x40001 + b"\r\n0\r\n\r\n")
        assert await status_of(reader) == 413


# Guards against many bodies that stop short of their end and fill the memory.
async def test_a_body_beyond_the_budget_is_refused_before_it_is_read():
    async with listening(body_bytes=MAX_BODY * 2) as rig:
        _, first = await rig.connect()
        first.write(sized(MAX_BODY) + b"x")
        await until(lambda: rig.budget.used == MAX_BODY)
        reader, writer = await rig.connect()
        writer.write(sized(MAX_BODY) + b"x" * MAX_BODY)
        assert await status_of(reader) == 503
        reader, writer = await rig.connect()
        writer.write(sized(10) + b"x" * 10)
        assert await status_of(reader) == 200
        first.close()
        await until(lambda: rig.budget.used == 0)


# Guards against a client that keeps memory by not ending its body.
async def test_a_body_that_takes_too_long_is_refused_and_its_bytes_are_given_back():
    async with listening() as rig:
        rig.body_timeout_s = 0.05
        reader, writer = await rig.connect()
        writer.write(sized(10) + b"x")
        assert await status_of(reader) == 408
        assert rig.budget.used == 0


# Guards against heads and empty lines without end, which aiohttp alone reads on and on.
@pytest.mark.parametrize(
    ("line", "cause"),
    [
        (b"\r\n", "head_too_large"),
        (b"X: " + b"x" * 4_000 + b"\r\n", "head_too_large"),
        (b"x" * 4_000, "malformed"),
        (b"a:b\r\n", "malformed"),
    ],
)
async def test_a_head_without_end_is_refused_and_closed(line, cause):
    async with listening() as rig:
        reader, writer = await rig.connect()
        start = b"" if line == b"\r\n" else b"GET / HTTP/1.1\r\nHost: h\r\nY: "
        writer.write(start + line * (200_000 // len(line)))
        assert await ended(reader)
        await until(lambda: rig.refusals(cause) == 1)
        assert rig.handled == 0


async def test_a_head_of_30_kb_is_served():
    async with listening() as rig:
        reader, writer = await rig.connect()
        lines = b"".join(b"X-%d: " % n + b"x" * 7_000 + b"\r\n" for n in range(4))
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n")
        assert await status_of(reader) == 200


# Guards against requests that are kept in memory while an earlier one is served.
async def test_little_is_read_behind_a_request_that_is_served():
    async with listening() as rig:
        rig.gate.clear()
        reader, writer = await rig.connect()
        count = 2_000
        writer.write(GET * count)
        await until(lambda: rig.handled == 1)
        await asyncio.sleep(0.05)
        conn = next(iter(rig.server._open))
        assert conn._shared.is_reading() is False
        assert conn._head_bytes <= 2 * READ_BYTES
        rig.gate.set()
        for _ in range(count):
            assert await status_of(reader) == 200


# Guards against connections without a request that keep others out.
async def test_the_connection_that_was_idle_longest_makes_room_for_a_new_one():
    async with listening(ListenerLimits(max_connections=4)) as rig:
        served = await rig.connect()
        served[1].write(GET)
        assert await status_of(served[0]) == 200
        idle = [await rig.connect() for _ in range(3)]
        await until(lambda: len(rig.server._open) == 4)
        reader, writer = await rig.connect()
        writer.write(GET)
        assert await status_of(reader) == 200
        assert await ended(idle[0][0])
        served[1].write(GET)
        assert await status_of(served[0]) == 200
        assert rig.refusals("evicted") == 1


async def test_idle_connections_are_closed_once_there_is_room_for_fewer():
    async with listening(ListenerLimits(max_connections=4)) as rig:
        idle = [await rig.connect() for _ in range(4)]
        await until(lambda: len(rig.server._open) == 4)
        rig.server.max_connections = 3
        rig.server._on_tick()
        assert await ended(idle[0][0])
        assert len(rig.server._open) == 3


# Guards against a request that was read and gets no answer, as another client connects.
async def test_a_whole_request_is_not_given_up_for_a_new_connection():
    async with listening(ListenerLimits(max_connections=2)) as rig:
        rig.gate.clear()
        served = [await rig.connect() for _ in range(2)]
        for _, writer in served:
            writer.write(GET)
        await until(lambda: rig.handled == 2)
        reader, _ = await rig.connect()
        assert await ended(reader)
        assert rig.refusals("too_many_connections") == 1
        rig.gate.set()
        for reader, _ in served:
            assert await status_of(reader) == 200


# Guards against bodies that stop short of their end and keep all others out.
async def test_an_incomplete_body_makes_room_for_a_new_connection():
    async with listening(ListenerLimits(max_connections=2)) as rig:
        stalled = [await rig.connect() for _ in range(2)]
        for _, writer in stalled:
            writer.write(sized(10) + b"x")
        await until(lambda: rig.handled == 2)
        reader, writer = await rig.connect()
        writer.write(GET)
        assert await status_of(reader) == 200
        assert await ended(stalled[0][0])


@pytest.mark.parametrize(
    ("sent", "cause"), [(b"", "idle_timeout"), (b"GET / HT", "head_timeout")]
)
async def test_idle_connections_and_slow_heads_are_closed(sent, cause):
    limits = ListenerLimits(head_timeout_s=3, idle_timeout_s=5)
    async with listening(limits) as rig:
        reader, writer = await rig.connect()
        await until(lambda: len(rig.server._open) == 1)
        conn = next(iter(rig.server._open))
        writer.write(sent)
        await until(lambda: conn._head_bytes == len(sent))
        for _ in range(3):
            rig.server._on_tick()
        assert rig.refusals(cause) == 0
        for _ in range(3):
            rig.server._on_tick()
        assert rig.refusals(cause) == 1
        assert await ended(reader)


# Guards against closed connections that a client keeps by reading nothing.
async def test_a_client_that_reads_no_answer_is_disconnected():
    async with listening() as rig:
        _, writer = await rig.connect()
        await until(lambda: len(rig.server._open) == 1)
        conn = next(iter(rig.server._open))
        conn.pause_writing()
        for _ in range(31):
            rig.server._on_tick()
        assert rig.refusals("answer_timeout") == 1
        writer.close()


# Guards against errors that keep bytes in reference cycles, which are collected rarely.
@pytest.mark.parametrize(
    "sent",
    [
        b"GET / HTTP/1.1\r\nX: " + b"x" * 200_000,
        sized(200_000) + b"x" * 199_000,
        f"{HEAD}Transfer-Encoding: chunked\r\n\r\n".encode() + b"3\r\nabcd" * 50_000,
    ],
)
async def test_a_refused_client_leaves_few_bytes_behind(sent):
    async with listening() as rig:
        gc.collect()
        gc.disable()
        try:
            reader, writer = await rig.connect()
            writer.write(sent)
            await asyncio.sleep(0.05)
            writer.close()
            await until(lambda: not rig.server._open)
            del reader, writer
            await asyncio.sleep(0.05)
            gc.set_debug(gc.DEBUG_SAVEALL)
            gc.collect()
            kept = sum(
                len(each)
                for garbage in gc.garbage
                for each in gc.get_referents(garbage)
                if isinstance(each, bytes | bytearray | str)
            )
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.enable()
        assert kept < READ_BYTES


async def test_errors_of_the_program_are_logged_and_counted():
    async with listening() as rig:
        rig.server._bounded_handler = None
        reader, writer = await rig.connect()
        writer.write(GET)
        assert await status_of(reader) == 500
        assert rig.metrics._counters[("http_errors", (("listener", "test"),))] == 1
