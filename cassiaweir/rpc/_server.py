"""The gRPC server of a process and its channels to other processes."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta

import grpc

from cassiaweir.exceptions import UnavailableError
from cassiaweir.observe import EventLog
from cassiaweir.verdict import Verdict

STOP_GRACE_PERIOD = timedelta(seconds=5)
"""Time that calls in flight have to finish when a server or channel is closed."""

MAX_CHANNELS = 32
MAX_RECONNECT_BACKOFF_MS = 1_000
MAX_MESSAGE_BYTES = 4 * 1_048_576
CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
)
DEFAULT_MAX_CONNECTIONS = 512
"""Connections that a server accepts; each process of a cell makes one or two."""

MAX_CALLS_PER_CONNECTION = 100
"""Calls in progress on one connection; clients hold back further ones."""

HANDSHAKE_TIMEOUT_MS = 10_000
"""Time for the first bytes of HTTP/2 to arrive on a connection."""

IDLE_CONNECTION_TIMEOUT_MS = 300_000
"""Time after which a connection without a call is closed; channels reconnect."""

SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_concurrent_streams", MAX_CALLS_PER_CONNECTION),
    ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
    ("grpc.max_connection_idle_ms", IDLE_CONNECTION_TIMEOUT_MS),
)

Registration = Callable[[grpc.aio.Server], None]
"""Adds a service to a server."""


class RpcServer:
    """Serves the gRPC services that `registrations` add.

    `address` is host:port.  With port 0 the system chooses a port; `bound_address`
    contains it after `start`.  Calls in flight may take `stop_grace` when it stops.
    Connections beyond `max_connections` are closed at once.
    """

    def __init__(
        self,
        address: str,
        registrations: Sequence[Registration],
        events: EventLog,
        *,
        stop_grace: timedelta = STOP_GRACE_PERIOD,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._address = address
        self._max_connections = max_connections
        self._stop_grace = stop_grace
        self._registrations = registrations
        self._events = events
        self._server: grpc.aio.Server | None = None
        self.bound_address = address

    async def start(self) -> None:
        """Listen, or raise `UnavailableError` if the address cannot be bound."""
        limit = ("grpc.max_allowed_incoming_connections", self._max_connections)
        server = grpc.aio.server(options=(*SERVER_OPTIONS, limit))
        for register in self._registrations:
            register(server)
        host = self._address.rpartition(":")[0]
        try:
            port = server.add_insecure_port(self._address)
        except RuntimeError as exc:
            raise UnavailableError(
                f"{self._address}: cannot listen for gRPC", verdict=Verdict.NOT_RUN
            ) from exc
        await server.start()
        self._server = server
        self.bound_address = f"{host}:{port}"
        self._events.record("rpc_listening", address=self.bound_address)

    async def stop(self) -> None:
        """Refuse new calls; those in flight may finish within the grace period."""
        if self._server is not None:
            await self._server.stop(self._stop_grace.total_seconds())


class Channels:
    """Keeps one channel per address, at most `max_channels`.

    Beyond that the least recently used channel is closed.
    """

    def __init__(
        self,
        max_channels: int = MAX_CHANNELS,
        *,
        stop_grace: timedelta = STOP_GRACE_PERIOD,
    ) -> None:
        self._max_channels = max_channels
        self._stop_grace = stop_grace
        self._channels: OrderedDict[str, grpc.aio.Channel] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()

    def get(self, address: str) -> grpc.aio.Channel:
        """Return the channel to `address`, which connects when it is first called."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        if len(self._channels) > self._max_channels:
            self._close(self._channels.popitem(last=False)[1])
        return channel

    async def start(self) -> None:
        """Do nothing; `get` creates the channels."""

    async def stop(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            self._close(channel)
        self._channels.clear()
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _close(self, channel: grpc.aio.Channel) -> None:
        """Close `channel` in the background, within the grace period."""
        task = asyncio.create_task(channel.close(self._stop_grace.total_seconds()))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
