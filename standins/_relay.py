"""TCP relays: the balancer in front of the gateways, and a cuttable link."""

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
"""Closing a connection that lingers for 0 s resets it."""


class RelayControl(msgspec.Struct, forbid_unknown_fields=True):
    """Which directions the relay drops bytes of.

    `cut_forward` is from the caller to the target, `cut_back` the other way.  New
    connections are left hanging while `cut_forward` is set.  Bytes are passed on
    `delay_ms` late.
    """

    cut_forward: bool = False
    cut_back: bool = False
    delay_ms: int = 0


class RelayStats(msgspec.Struct):
    """What a relay has done, and the targets that are ready."""

    accepted: int
    refused: int
    ready: list[str]


class Relay(Service):
    """Relays connections on one port to ready targets in turn.

    With `check` it asks `GET /ready` of each target; without, all count as ready.
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
        """Relay from `address` and return the real one, where its port was 0."""
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
        """Put `control` into force."""
        self.control = control
        if control.cut_forward:
            self._forward_allowed.clear()
        else:
            self._forward_allowed.set()

    def reset_connections(self) -> None:
        """Reset all connections on both sides."""
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
        """Ask all targets once whether they are ready."""
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
        try:
            await self._relay_connection(reader, writer)
        except asyncio.CancelledError:
            return  # Only `close` cancels, and it waits for this task.
        finally:
            writer.close()

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._forward_allowed.wait()
        target = await self._open_target()
        if target is None:
            self._refused += 1
            return
        self._accepted += 1
        target_reader, target_writer = target
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, forward=True),
                self._copy(target_reader, writer, forward=False),
            )
        finally:
            self._writers -= {writer, target_writer}
            target_writer.close()

    async def _open_target(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Connect to the next ready target that accepts."""
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
        """Copy bytes one way until the sender ends; drop them while cut.

        A sender that was killed may end with a reset; the receiver learns of it too.
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
    """Ask one target whether it takes requests."""
    try:
        async with client.get(f"http://{target}/ready") as resp:
            return resp.status == 200
    except (TimeoutError, aiohttp.ClientError, OSError):
        return False
