"""Sends requests to addresses that hang, refuse, reset or answer late, in a busy loop.

Run as a process of its own, as a fault of this kind ends the whole process:
`python -m tests.connection_storm SECONDS`.  It ends once a request is answered again.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
import sys
import time
from datetime import timedelta

import uvloop

from cassiaweir.exceptions import UnavailableError
from cassiaweir.platform import HttpSession

ADDRESSES_OF_A_KIND = 20
CLIENTS_PER_ADDRESS = 8
TIMEOUT = timedelta(milliseconds=200)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def bound_socket(*, listens: bool) -> socket.socket:
    """Return a socket that refuses connections, or lets all but the first hang."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    if listens:
        sock.listen(0)
    return sock


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer requests on one connection, some too late; reset it at random."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            if random.random() < 0.3:
                writer.transport.abort()
                return
            if random.random() < 0.3:
                await asyncio.sleep(0.5)
            writer.write(ANSWER)


async def compute() -> None:
    """Keep the loop busy for a tenth of a second now and then."""
    while True:
        await asyncio.sleep(random.random() * 0.1)
        ends_at = time.monotonic() + random.random() * 0.1
        while time.monotonic() < ends_at:
            pass


async def is_answered(session: HttpSession, port: int) -> bool:
    """Send a request; return whether it was answered."""
    try:
        resp = await session.send("GET", f"127.0.0.1:{port}", "/", None, TIMEOUT)
    except UnavailableError:
        return False
    return resp.body == b"ok"


async def send_until(session: HttpSession, port: int, ends_at: float) -> None:
    """Send requests to one address until `ends_at`."""
    while time.monotonic() < ends_at:
        if not await is_answered(session, port):
            await asyncio.sleep(random.random() * 0.05)


async def main(seconds: float) -> None:
    """Send requests for `seconds`."""
    kinds = range(ADDRESSES_OF_A_KIND)
    silent = [bound_socket(listens=True) for _ in kinds]
    refusing = [bound_socket(listens=False) for _ in kinds]
    servers = [await asyncio.start_server(answer, "127.0.0.1", 0) for _ in kinds]
    sockets = [*silent, *refusing, *(each.sockets[0] for each in servers)]
    session = HttpSession({}, max_connections_per_address=4)
    await session.start()
    busy = asyncio.create_task(compute())
    ends_at = time.monotonic() + seconds
    await asyncio.gather(
        *(
            send_until(session, each.getsockname()[1], ends_at)
            for each in sockets
            for _ in range(CLIENTS_PER_ADDRESS)
        )
    )
    busy.cancel()
    port = servers[0].sockets[0].getsockname()[1]
    answered = False
    while not answered:
        answered = await is_answered(session, port)
    await session.stop()
    print("answered")


if __name__ == "__main__":
    # uvloop may not use io_uring here.
    os.environ["UV_USE_IO_URING"] = "0"
    uvloop.install()
    asyncio.run(main(float(sys.argv[1])))
