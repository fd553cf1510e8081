"""A TCP relay that can drop, delay and reset the traffic.

It serves as the load balancer in front of the gateways and as a faulty network link.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Sequence

import aiohttp
import msgspec
from aiohttp import web

from standins._http import Service, read_body, response

CHECK_INTERVAL_SECONDS = 0.2
CHECK_TIMEOUT_SECONDS = 1.0
CHUNK_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER on, for 0 s: closing the socket then sends a reset."""


class RelayControl(msgspec.Struct, forbid_unknown_fields=True):
    """The faults of a relay.

    `cut_forward` drops the bytes from the caller to the target, `cut_back` those of
    the other direction.  While `cut_forward` is set, new connections are accepted but
    not connected to a target.  `delay_ms` delays each chunk of bytes.
    """

    cut_forward: bool = False
    cut_back: bool = False
    delay_ms: int = 0


class RelayStats(msgspec.Struct):
    """Connections relayed, connections refused, and the targets that are ready.

    A connection is refused if no ready target accepts it.
    """

    accepted: int
    refused: int
    ready: list[str]


class Relay(Service):
    """Relays connections on one port to the ready targets, round-robin.

    With `check` it polls `GET /ready` of each target; without, all count as ready.
    """

    def __init__(self, targets: Sequence[str], *, check: bool = True) -> None:
        super().__init__()
        self.control = RelayControl()
        self._forward_allowed = asyncio.Event()
        self._forward_allowed.set()
        self.ready = [] if check else list(targets)
        self._targets = list(targets)
        self._check = check
        self._next_target = 0
        self._accepted = 0
        self._refused = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.app.router.add_get("/v1/stats", self._get_stats)
        self.app.router.add_post("/v1/control", self._set_control)

    async def relay(self, address: str) -> str:
        """Relay from `address` and return the bound address; port 0 means any port."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._handle_connection, host, int(port)
        )
        if self._check:
            self._track_task(asyncio.create_task(self._check_targets()))
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stop relaying and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await super().close()

    async def _get_stats(self, req: web.Request) -> web.Response:
        return response(RelayStats(self._accepted, self._refused, self.ready))

    async def _set_control(self, req: web.Request) -> web.Response:
        self.apply(await read_body(req, RelayControl))
        return response(self.control)

    def apply(self, control: RelayControl) -> None:
        """Replace the faults in force by `control`."""
        self.control = control
        if control.cut_forward:
            self._forward_allowed.clear()
        else:
            self._forward_allowed.set()

    def reset_connections(self) -> None:
        """Send a TCP reset on all relayed connections, to callers and targets."""
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    def _track_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_targets(self) -> None:
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            while True:
                await self.refresh(client)
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def refresh(self, client: aiohttp.ClientSession) -> None:
        """Poll the readiness of all targets once."""
        results = await asyncio.gather(
            *(_is_ready(client, target) for target in self._targets)
        )
        pairs = zip(self._targets, results, strict=True)
        self.ready = [target for target, ready in pairs if ready]

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._track_task(task)
        self._writers.add(writer)
        try:
            await self._relay_connection(reader, writer)
        except asyncio.CancelledError:
            return  # Only `close` cancels this task, and waits for it to end.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._forward_allowed.wait()
        if writer.transport.is_closing():
            return  # It was reset while it waited, and its bytes go with it.
        target = await self._open_target()
        if target is None:
            self._refused += 1
            return
        self._accepted += 1
        target_reader, target_writer = target
        self._writers.add(target_writer)
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, forward=True),
                self._copy(target_reader, writer, forward=False),
            )
        finally:
            self._writers.discard(target_writer)
            target_writer.close()

    async def _open_target(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Connect to the next ready target, or return None if none accepts."""
        for _ in range(len(self.ready)):
            self._next_target += 1
            host, _, port = self.ready[self._next_target % len(self.ready)].rpartition(
                ":"
            )
            with contextlib.suppress(OSError):
                return await asyncio.open_connection(host, int(port))
        return None

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        forward: bool,
    ) -> None:
        """Copy bytes one way until the sender closes, dropping them while cut.

        A killed sender may end with a reset; the receiver then gets an end of file.
        """
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                cut = self.control.cut_forward if forward else self.control.cut_back
                if cut:
                    continue
                if self.control.delay_ms:
                    await asyncio.sleep(self.control.delay_ms / 1_000)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()


async def _is_ready(client: aiohttp.ClientSession, target: str) -> bool:
    """Return whether `GET /ready` of `target` responds with status 200."""
    try:
        async with client.get(f"http://{target}/ready") as resp:
            return resp.status == 200
    except (TimeoutError, aiohttp.ClientError, OSError):
        return False
