"""Connections of HTTP clients, made by the event loop alone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from loguru import logger

PRUNE_INTERVAL = 256
"""Closed connections are forgotten once this many have been opened since."""


class LoopConnector(aiohttp.TCPConnector):
    """Opens connections by the event loop's own means.

    aiohttp connects a socket first and then passes it to the loop.  If such an attempt
    is given up, uvloop may go on watching the file descriptor of the closed socket,
    which another connection has by then; a process with many failing connections is
    aborted by that within seconds.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._opened: list[ResponseHandler] = []
        self._prune_at = PRUNE_INTERVAL

    def open_connections(self) -> int:
        """Return how many connections are open, in use or idle."""
        self._opened = [each for each in self._opened if each.connected]
        return len(self._opened)

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[Any],
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        """Connect to the first of the resolved addresses that accepts.

        Raises `TimeoutError` after `timeout.sock_connect`, and `client_error` if no
        address accepts a connection.
        """
        try:
            async with asyncio.timeout(timeout.sock_connect):
                found = await self._connect_to_any(args, addr_infos, kwargs)
        except TimeoutError:
            raise
        except OSError as exc:
            raise client_error(req.connection_key, exc) from exc
        self._opened.append(found[1])
        if len(self._opened) >= self._prune_at:
            self._prune_at = self.open_connections() + PRUNE_INTERVAL
        return found

    async def _connect_to_any(
        self, args: tuple[Any, ...], addr_infos: list[Any], kwargs: dict[str, Any]
    ) -> Any:
        """Try the addresses in turn; raise the error of the last one."""
        *others, last = [info[4][:2] for info in addr_infos]
        connect: Callable[..., Any] = self._loop.create_connection
        for host, port in others:
            try:
                return await connect(*args, host, port, **kwargs)
            except OSError as exc:
                logger.info("address_refused", host=host, port=port, cause=str(exc))
        return await connect(*args, *last, **kwargs)
