"""Crowds of connections whose clients keep to no limit, for tests of listeners."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from dataclasses import dataclass
from pathlib import Path

CROWD = 60
WRITE_BYTES = 65_536
SEND_TIME_LIMIT_S = 20.0
HOLD_TIME_S = 1.0
SAMPLE_INTERVAL_S = 0.1
BYTES_PER_KB = 1_024

HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, CONTINUATION = 0, 1, 4, 6, 9


@dataclass(frozen=True, slots=True)
class Attack:
    """What each client sends: `opening`, then `repeated` up to `max_bytes` in all.

    The connection stays open afterwards, until the crowd leaves.
    """

    opening: bytes = b""
    repeated: bytes = b""
    max_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Footprint:
    """The memory in kB and the number of descriptors of a process.

    `peak_kb` is the highest resident memory since the process started.
    """

    rest_kb: int
    peak_kb: int
    descriptors: int


def frame(kind: int, payload: bytes, *, flags: int = 0, stream: int = 0) -> bytes:
    """Return an HTTP/2 frame."""
    length = struct.pack(">I", len(payload))[1:]
    return length + struct.pack(">BBI", kind, flags, stream) + payload


def read_footprint(pid: int) -> Footprint:
    """Return the footprint of the running process."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return Footprint(
        rest_kb=int(fields["VmRSS"].split()[0]),
        peak_kb=int(fields["VmHWM"].split()[0]),
        descriptors=len(list(Path(f"/proc/{pid}/fd").iterdir())),
    )


async def run_crowd(address: str, attack: Attack, pid: int) -> int:
    """Let a crowd attack `address`; return the most descriptors that `pid` had."""
    crowd = [asyncio.create_task(_attack(address, attack)) for _ in range(CROWD)]
    loop = asyncio.get_running_loop()
    deadline = loop.time() + SEND_TIME_LIMIT_S
    most = 0
    sending = set(crowd)
    while sending and loop.time() < deadline:
        _, sending = await asyncio.wait(sending, timeout=SAMPLE_INTERVAL_S)
        most = max(most, read_footprint(pid).descriptors)
    if not sending:
        await asyncio.sleep(HOLD_TIME_S)
        most = max(most, read_footprint(pid).descriptors)
    for task in sending:
        task.cancel()
    for writer in await asyncio.gather(*crowd, return_exceptions=True):
        if isinstance(writer, asyncio.StreamWriter):
            writer.transport.abort()
    return most


async def _attack(address: str, attack: Attack) -> asyncio.StreamWriter | None:
    """Send everything and return the open connection, or None if it was closed."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        ignore = asyncio.create_task(_discard(reader))
        try:
            await _send(writer, attack)
        finally:
            ignore.cancel()
    except OSError:
        if writer is not None:
            writer.transport.abort()
        return None
    except asyncio.CancelledError:
        if writer is not None:
            writer.transport.abort()
        raise
    return writer


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(WRITE_BYTES):
            pass


async def _send(writer: asyncio.StreamWriter, attack: Attack) -> None:
    writer.write(attack.opening)
    await writer.drain()
    left = attack.max_bytes - len(attack.opening)
    if not attack.repeated:
        return
    block = attack.repeated * max(1, WRITE_BYTES // len(attack.repeated))
    while left > 0:
        writer.write(block[:left])
        await writer.drain()
        left -= len(block)
