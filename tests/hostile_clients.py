"""Crowds of clients that send what no client inside the limits sends.

Run as `python -m tests.hostile_clients BEHAVIOUR HOST:PORT`, so that their work is not
in the process of a test.  Each client is bounded in bytes and time.  Standard output
has one line for each job that was answered 429 or 503: the job's id.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

CLIENTS = 200
IDLE_CLIENTS = 700
CROWD_S = 4.0
MAX_CLIENT_BYTES = 8_000_000
RECONNECT_PAUSE_S = 0.05
BODY_BYTES = 262_144
"""The size of the largest legal body."""

STEPS = 11_900
"""Steps of a job close to the limit of tasks; its body has 142,822 bytes."""

BLOCK_BYTES = 65_536
PIECE_BYTES = 4_096
PIECE_PAUSE_S = 0.01
KEY = "key-0"
HOST = "soak.example"
PREFIX = "/jobs/"
REFUSAL_STATUSES = (b"429", b"503")
_JOB_NUMBERS = itertools.count(1)


@dataclass(frozen=True)
class Behaviour:
    """What a client sends: `first` once for each connection, then `repeated`.

    Without `repeated` the client keeps the connection open until its time is over.
    With `piece_bytes` it sends `first` in pieces of that size with pauses between.
    """

    first: bytes = b""
    repeated: bytes = b""
    piece_bytes: int = 0


def _request(method: str, headers: str, key: str = KEY) -> bytes:
    job_id = f"{next(_JOB_NUMBERS):016x}"
    return (
        f"{method} {PREFIX}{job_id} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Credential: {key}\r\n{headers}\r\n"
    ).encode()


def legal_body(size: int = BODY_BYTES) -> bytes:
    """Return the body of a submission, filled up with blanks to `size` bytes."""
    return b'{"spec":"x","steps":[{"count":1,"cpu":500}]}'.ljust(size)


def _sized(body: bytes, method: str = "POST", key: str = KEY) -> bytes:
    return _request(method, f"Content-Length: {BODY_BYTES}\r\n", key) + body


def _whole(body: bytes) -> bytes:
    return _request("POST", f"Content-Length: {len(body)}\r\n") + body


def _chunked(chunk_bytes: int, chunk_count: int) -> bytes:
    chunk = f"{chunk_bytes:x}\r\n".encode() + b" " * chunk_bytes + b"\r\n"
    return _request("POST", "Transfer-Encoding: chunked\r\n") + chunk * chunk_count


def _open_head() -> bytes:
    return f"GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n".encode()


def _fill(line: bytes) -> bytes:
    return line * (BLOCK_BYTES // len(line))


def _padded_header(size: int) -> bytes:
    return b"X-Header: " + b"x" * size + b"\r\n"


_STEPS_BODY = b'{"spec":"x","steps":[%s]}' % b",".join([b'{"count":1}'] * STEPS)
_SHORT_BODY = legal_body(BODY_BYTES - 1)
_BEHAVIOURS: dict[str, Callable[[], Behaviour]] = {
    "one_header_line_without_end": lambda: Behaviour(
        _open_head() + b"X-Long: ", b"x" * BLOCK_BYTES
    ),
    "headers_without_end": lambda: Behaviour(
        _open_head(), _fill(_padded_header(1_000))
    ),
    "tiny_headers_without_end": lambda: Behaviour(_open_head(), _fill(b"a:b\r\n")),
    "empty_lines_without_end": lambda: Behaviour(b"", _fill(b"\r\n")),
    "whole_head_over_the_limit": lambda: Behaviour(
        _open_head() + _padded_header(4_000) * 300 + b"\r\n"
    ),
    "chunks_of_one_byte_stopping_short": lambda: Behaviour(_chunked(1, BODY_BYTES - 1)),
    "one_large_chunk_stopping_short": lambda: Behaviour(_chunked(BODY_BYTES, 1)[:-3]),
    "body_stopping_short": lambda: Behaviour(_sized(_SHORT_BODY)),
    "body_in_pieces_stopping_short": lambda: Behaviour(
        _sized(_SHORT_BODY), piece_bytes=PIECE_BYTES
    ),
    "whole_bodies_on_open_connections": lambda: Behaviour(_sized(legal_body())),
    "whole_bodies_of_many_steps": lambda: Behaviour(_whole(_STEPS_BODY)),
    "body_on_a_get": lambda: Behaviour(_sized(_SHORT_BODY, "GET")),
    "body_with_a_wrong_key": lambda: Behaviour(_sized(_SHORT_BODY, key="wrong")),
    "pipelined_requests": lambda: Behaviour(b"", _request("GET", "") * 500),
    "idle_connections": Behaviour,
}
BEHAVIOURS = tuple(_BEHAVIOURS)


def behaviour(name: str) -> Behaviour:
    """Return what one more connection of the behaviour `name` sends."""
    return _BEHAVIOURS[name]()


class Client:
    """Connects again and again until its bytes or its time are used up."""

    def __init__(self, name: str, address: str, deadline: float) -> None:
        self._name = name
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._deadline = deadline
        self._bytes_left = MAX_CLIENT_BYTES

    async def run(self) -> None:
        """Behave as named until the end."""
        while time.monotonic() < self._deadline and self._bytes_left > 0:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(self._deadline - time.monotonic()):
                    await self._connect()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _connect(self) -> None:
        reader, writer = await asyncio.open_connection(self._host, self._port)
        sent = behaviour(self._name)
        reading = asyncio.create_task(self._read(reader, sent.first))
        try:
            for part in self._parts(sent):
                writer.write(part)
                await writer.drain()
                if sent.piece_bytes:
                    await asyncio.sleep(PIECE_PAUSE_S)
                if reading.done():
                    return
            await reading
        finally:
            reading.cancel()
            writer.transport.abort()

    def _parts(self, sent: Behaviour) -> Iterator[bytes]:
        """Return what is sent on one connection, counted against the client's bytes."""
        size = sent.piece_bytes or BLOCK_BYTES
        for start in range(0, len(sent.first), size):
            yield self._take(sent.first[start : start + size])
        while sent.repeated and self._bytes_left > 0:
            yield self._take(sent.repeated)

    def _take(self, part: bytes) -> bytes:
        self._bytes_left -= len(part)
        return part

    async def _read(self, reader: asyncio.StreamReader, request: bytes) -> None:
        """Read to the end of the connection and print the id of a refused job."""
        with contextlib.suppress(OSError):
            beginning = await reader.read(BLOCK_BYTES)
            status = beginning[9:12]
            if status in REFUSAL_STATUSES and request.startswith(b"POST "):
                print(request.split(b" ", 2)[1].decode().removeprefix(PREFIX))
            while await reader.read(BLOCK_BYTES):
                pass


async def run_crowd(name: str, address: str) -> None:
    """Run all clients of a crowd until they have stopped by themselves."""
    count = IDLE_CLIENTS if name == "idle_connections" else CLIENTS
    deadline = time.monotonic() + CROWD_S
    clients = [Client(name, address, deadline) for _ in range(count)]
    await asyncio.gather(*(client.run() for client in clients))


if __name__ == "__main__":
    asyncio.run(run_crowd(sys.argv[1], sys.argv[2]))
