"""A transport that two parties may pause: the HTTP server and the limits."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any, Protocol


class TransportOwner(Protocol):
    """What a `SharedTransport` belongs to."""

    def on_close(self) -> None:
        """Note that the HTTP server closes the connection."""


class SharedTransport(asyncio.Transport):
    """Passes everything to `transport`, which reads while nobody has paused it."""

    def __init__(self, transport: asyncio.Transport, owner: TransportOwner) -> None:
        super().__init__()
        self._transport = transport
        self.owner = owner
        self._paused_by_server = False
        self._held = False

    @property
    def held(self) -> bool:
        """Whether the limits have paused reading."""
        return self._held

    def hold(self) -> None:
        """Pause reading on behalf of the limits."""
        if not self._held:
            self._held = True
            if not self._paused_by_server and not self._transport.is_closing():
                self._transport.pause_reading()

    def release(self) -> None:
        """End the pause on behalf of the limits."""
        if self._held:
            self._held = False
            if not self._paused_by_server and not self._transport.is_closing():
                self._transport.resume_reading()

    def pause_reading(self) -> None:
        """Pause reading on behalf of the HTTP server."""
        if not self._paused_by_server:
            self._paused_by_server = True
            if not self._held and not self._transport.is_closing():
                self._transport.pause_reading()

    def resume_reading(self) -> None:
        """End the pause on behalf of the HTTP server."""
        if self._paused_by_server:
            self._paused_by_server = False
            if not self._held and not self._transport.is_closing():
                self._transport.resume_reading()

    def is_reading(self) -> bool:
        """Return whether nobody has paused reading."""
        return not self._held and not self._paused_by_server

    def close(self) -> None:
        """Close the connection once what was written has been sent."""
        if not self._transport.is_closing():
            self.owner.on_close()
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self._transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return self._transport.get_extra_info(name, default)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write `data`."""
        self._transport.write(data)

    def writelines(
        self, list_of_data: Iterable[bytes | bytearray | memoryview]
    ) -> None:
        """Write several pieces of data."""
        self._transport.writelines(list_of_data)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._transport.get_write_buffer_size()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set from which number of unsent bytes on writers are paused."""
        self._transport.set_write_buffer_limits(high, low)

    def can_write_eof(self) -> bool:
        """Return whether the connection can be closed for writing alone."""
        return self._transport.can_write_eof()

    def write_eof(self) -> None:
        """Close the connection for writing."""
        self._transport.write_eof()
