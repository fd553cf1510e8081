"""Clients that keep to no limit exhaust no process of the first platform (issue 56).

What is checked does not depend on the speed of the machine: the process lives, its
memory and its descriptors stay under a bound, and an ordinary request is answered
afterwards.  The limits are lowered so that a small crowd is enough.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from functools import cache
from pathlib import Path

import aiohttp
import pytest

from cassiaweir.rpc._text import read_text
from cassiaweir.settings import OPTIONS_BY_KEY
from prove.administration import Administration
from prove.callers import ANSWERED, Caller
from prove.cluster import SICILIA_EST, TABLE_OFFSET, Cluster, find_base_port
from prove.history import History
from tests.hostile_crowds import (
    CONTINUATION,
    DATA,
    HEADERS,
    HTTP2_PREFACE,
    PING,
    SETTINGS,
    Attack,
    frame,
    read_footprint,
    run_crowd,
)

pytestmark = pytest.mark.serial

MB = 1_048_576
MAX_CONNECTIONS = 40
MAX_BODY_BYTES = MB
MAX_BYTES_IN_FLIGHT = 4 * MB
# Bytes in flight may exist twice while a body is joined or decoded, each connection may
# take 256 KB for its objects and buffers, and 6 MB are left for ordinary work.
MAX_GROWTH_KB = (2 * MAX_BYTES_IN_FLIGHT + MAX_CONNECTIONS * 256 * 1024 + 6 * MB) / 1024
# Descriptors that a process at work opens beside those of the crowd.
SPARE_DESCRIPTORS = 10
LOWERED = {
    "gateway.max_connections": MAX_CONNECTIONS,
    "gateway.max_bytes_in_flight": MAX_BYTES_IN_FLIGHT,
    "gateway.max_body_bytes": MAX_BODY_BYTES,
    "rpc.max_connections": MAX_CONNECTIONS,
}
SMALL_CELL = replace(
    SICILIA_EST,
    failure_domains=("augusta",),
    entry_vms=1,
    workers=2,
    backends=1,
    overrides=[f"{k}={v}" for k, v in LOWERED.items() if k in OPTIONS_BY_KEY],
)
TEAM = "settlements"
ORDINARY_ATTEMPTS = 30
ORDINARY_INTERVAL_S = 1.0
ENDLESS_BYTES = 4 * MB

POST = b"POST /v1/requests/inventory HTTP/1.1\r\nHost: crowd\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
SIZED = POST + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
# A body that stops one byte before its end.
ONE_LARGE_CHUNK = CHUNKED + b"%x\r\n" % MAX_BODY_BYTES
GET = b"GET /v1/jobs/none HTTP/1.1\r\nHost: crowd\r\n\r\n"

HTTP_ATTACKS = {
    "idle": Attack(),
    "one_header_line_without_end": Attack(
        b"GET / HTTP/1.1\r\nX-Long: ", b"x", ENDLESS_BYTES
    ),
    "headers_without_end": Attack(
        b"GET / HTTP/1.1\r\n", b"X-Name: " + b"v" * 56 + b"\r\n", ENDLESS_BYTES
    ),
    "tiny_headers_without_end": Attack(b"GET / HTTP/1.1\r\n", b"a:\r\n", ENDLESS_BYTES),
    "empty_lines_before_a_request": Attack(b"", b"\r\n", ENDLESS_BYTES),
    "chunks_of_one_byte_stopping_short": Attack(
        CHUNKED, b"1\r\nx\r\n", len(CHUNKED) + 6 * (MAX_BODY_BYTES - 1)
    ),
    "chunks_of_two_bytes_stopping_short": Attack(
        CHUNKED, b"2\r\nxy\r\n", len(CHUNKED) + 7 * (MAX_BODY_BYTES // 2 - 1)
    ),
    "one_large_chunk_stopping_short": Attack(
        ONE_LARGE_CHUNK, b"x", len(ONE_LARGE_CHUNK) + MAX_BODY_BYTES - 1
    ),
    "sized_body_stopping_short": Attack(SIZED, b"x", len(SIZED) + MAX_BODY_BYTES - 1),
    "sized_bodies_whole": Attack(SIZED, b"x", len(SIZED) + MAX_BODY_BYTES),
    "pipelined_requests": Attack(b"", GET, ENDLESS_BYTES),
}

# HPACK: a literal header without indexing, with a name and a value of 100 bytes each.
LITERAL = b"\x00\x64" + b"n" * 100 + b"\x64" + b"v" * 100
PATH = b"/cassiaweir.rpc.Peer/Exchange"
UNARY_HEAD = frame(
    HEADERS,
    b"\x83\x86\x04" + bytes([len(PATH)]) + PATH + b"\x01\x05crowd"
    b"\x0f\x10\x10application/grpc"
    b"\x00\x02te\x08trailers",
    flags=4,
    stream=1,
)
HTTP2_OPENING = HTTP2_PREFACE + frame(SETTINGS, b"")


def many_streams() -> bytes:
    """Return the heads of 2,000 calls whose messages stop short of their end."""
    head = UNARY_HEAD[9:]
    message = b"\x00" + (4 * MB - 1).to_bytes(4, "big") + b"m" * 1_000
    return b"".join(
        frame(HEADERS, head, flags=4, stream=2 * number + 1)
        + frame(DATA, message, stream=2 * number + 1)
        for number in range(2_000)
    )


RPC_ATTACKS = {
    "idle": Attack(),
    "garbage": Attack(b"", b"\x00\xff\x17garbage", ENDLESS_BYTES),
    "preface_alone": Attack(HTTP2_OPENING),
    "header_frames_without_end": Attack(
        HTTP2_OPENING + frame(HEADERS, LITERAL * 40, stream=1),
        frame(CONTINUATION, LITERAL * 40, stream=1),
        ENDLESS_BYTES,
    ),
    "ping_frames_without_end": Attack(
        HTTP2_OPENING, frame(PING, b"12345678"), ENDLESS_BYTES
    ),
    "message_of_64_MB": Attack(
        HTTP2_OPENING
        + UNARY_HEAD
        + frame(DATA, b"\x00" + (64 * MB).to_bytes(4, "big"), stream=1),
        frame(DATA, b"m" * 16_384, stream=1),
        ENDLESS_BYTES,
    ),
    "message_stopping_short": Attack(
        HTTP2_OPENING
        + UNARY_HEAD
        + frame(DATA, b"\x00" + (4 * MB - 1).to_bytes(4, "big"), stream=1),
        frame(DATA, b"m" * 16_384, stream=1),
        4 * MB - 65_536,
    ),
    "streams_without_end": Attack(HTTP2_OPENING + many_streams()),
}


@dataclass(frozen=True, slots=True)
class Cell:
    """A running cell of one entry process, and a caller with a key."""

    http: str
    rpc: str
    pid: int
    caller: Caller

    async def answer_ordinary_requests(self) -> None:
        """Send an HTTP request and a gRPC call until both were answered once."""
        for _ in range(ORDINARY_ATTEMPTS):
            try:
                async with asyncio.timeout(10):
                    answer = await self.caller.request("inventory", b"ordinary")
                if answer.status == ANSWERED:
                    assert "process:" in await read_text(self.rpc, "state")
                    return
            except TimeoutError:
                pass
            await asyncio.sleep(ORDINARY_INTERVAL_S)
        raise AssertionError("no ordinary request was answered")


@cache
def base_port() -> int:
    """Return the first port of the block that all cells of these tests use in turn."""
    return find_base_port()


async def grant_key(table: str) -> str:
    """Roll out a bundle through the table, and return a key of `TEAM`."""
    admin = await Administration.open(table, History(), random.Random(56))
    try:
        await admin.set_up([TEAM])
    finally:
        await admin.close()
    return admin.keys[0].secret


@asynccontextmanager
async def running_cell(folder: Path) -> AsyncIterator[Cell]:
    """Start a cell, and stop it at the end."""
    cluster = Cluster(SMALL_CELL, folder, base_port=base_port())
    try:
        await cluster.start()
        [vm] = cluster.entry_vms.values()
        key = await grant_key(cluster.address(TABLE_OFFSET))
        async with aiohttp.ClientSession() as session:
            caller = Caller(session, vm.http, TEAM, key)
            [process] = vm.processes.values()
            cell = Cell(vm.http, vm.rpc["entry"], process.pid, caller)
            await cell.answer_ordinary_requests()
            yield cell
        assert set(await cluster.stop()) == {0}
    finally:
        await cluster.kill()


async def check_attack(cell: Cell, address: str, attack: Attack) -> None:
    rest = read_footprint(cell.pid)
    descriptors = await run_crowd(address, attack, cell.pid)
    await cell.answer_ordinary_requests()
    growth_kb = read_footprint(cell.pid).peak_kb - rest.rest_kb
    seen = (
        f"rest {rest.rest_kb} kB, growth {growth_kb} kB (limit {MAX_GROWTH_KB:.0f}), "
        f"descriptors {rest.descriptors} to {descriptors}"
    )
    print(seen)
    assert growth_kb <= MAX_GROWTH_KB, seen
    bound = rest.descriptors + MAX_CONNECTIONS + SPARE_DESCRIPTORS
    assert descriptors <= bound, seen


# Guards against a gateway that runs out of memory or descriptors through clients whose
# heads or bodies have no end or stop short of it (issue 56).
@pytest.mark.parametrize("name", HTTP_ATTACKS)
async def test_hostile_clients_do_not_exhaust_the_gateway(tmp_path, name):
    async with running_cell(tmp_path) as cell:
        await check_attack(cell, cell.http, HTTP_ATTACKS[name])


# Guards against a process that runs out of memory or descriptors through connections to
# its gRPC port that send no call that it could answer (issue 56).
@pytest.mark.parametrize("name", RPC_ATTACKS)
async def test_hostile_clients_do_not_exhaust_the_grpc_port(tmp_path, name):
    async with running_cell(tmp_path) as cell:
        await check_attack(cell, cell.rpc, RPC_ATTACKS[name])
