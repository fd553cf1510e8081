"""Tests of `cassiaweir.http_limits`: bounded connections."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from cassiaweir.http_limits import BoundedServer, ListenerLimits, Refusals
from cassiaweir.http_limits._connection import READ_BYTES
from cassiaweir.observe import Metrics
from tests.waiting import until

MAX_BODY = 262_144
HEAD = "POST / HTTP/1.1\r\nHost: h\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Rig:
    """A listener whose handler reads the body of each request."""

    def __init__(self, limits: ListenerLimits) -> None:
        self.metrics = Metrics()
        self.gate = asyncio.Event()
        self.gate.set()
        self.handled = 0
        self.server = BoundedServer(self.handle, "test", limits, Refusals(self.metrics))

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        self.handled += 1
        await self.gate.wait()
        body = await req.read()
        return web.Response(text=str(len(body)))

    def refusals(self, cause: str) -> float:
        labels = (("cause", cause), ("listener", "test"))
        return self.metrics._counters.get(("http_refusals", labels), 0)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)


@asynccontextmanager
async def listening(
    limits: ListenerLimits = ListenerLimits(),  # noqa: B008
) -> AsyncIterator[Rig]:
    rig = Rig(limits)
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
        writer.close()


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


# Guards against errors that keep bytes in reference cycles, which are collected rarely.
@pytest.mark.parametrize(
    "sent",
    [
        b"GET / HTTP/1.1\r\nX: " + b"x" * 200_000,
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
