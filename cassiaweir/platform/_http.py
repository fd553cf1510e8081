"""The HTTP session that the clients of the platform's services send through."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from aiohttp.hdrs import ACCEPT, ACCEPT_ENCODING, CONTENT_TYPE, USER_AGENT

from cassiaweir.connector import LoopConnector
from cassiaweir.exceptions import UnavailableError
from cassiaweir.response_bodies import read_bounded
from cassiaweir.verdict import Verdict

MAX_CONNECTIONS = 3_072
"""Connections in use at a time.

A process that follows 1,400 servers has a request held back by each of them, and needs
a second connection for orders; the smallest VM has 4,100 descriptors.
"""

MAX_RESPONSE_BYTES = 64 * 1_048_576
"""Bytes of one response, unless the session says otherwise."""

EXTRA_TRANSFER_TIME_S = 3.0
"""Added to the timeout to bound a whole exchange, so that a large body can arrive."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response; `entity_tag` is the ETag header, or empty."""

    status: int
    body: bytes
    entity_tag: str = ""


class HttpSession:
    """Sends HTTP requests over pooled connections, each bounded by a timeout.

    `headers` are sent with every request.  `max_connections_per_address` bounds the
    connections to one host and port, `max_response_bytes` the body of a response.
    """

    def __init__(
        self,
        headers: Mapping[str, str],
        *,
        max_connections_per_address: int = MAX_CONNECTIONS,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._max_response_bytes = max_response_bytes
        self._headers = dict(headers)
        self._max_connections_per_address = max_connections_per_address
        self._client: aiohttp.ClientSession | None = None
        self._connector: LoopConnector | None = None

    def open_connections(self) -> int:
        """Return how many connections are open, in use or idle."""
        return self._connector.open_connections() if self._connector else 0

    async def start(self) -> None:
        """Open the session; connections are opened on demand."""
        self._connector = LoopConnector(
            limit=MAX_CONNECTIONS, limit_per_host=self._max_connections_per_address
        )
        self._client = aiohttp.ClientSession(
            connector=self._connector,
            headers=self._headers,
            skip_auto_headers=(ACCEPT, ACCEPT_ENCODING, CONTENT_TYPE, USER_AGENT),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self) -> None:
        """Close the session and its connections."""
        client, self._client = self._client, None
        self._connector = None
        if client is not None:
            await client.close()

    async def send(
        self,
        method: str,
        address: str,
        path: str,
        data: bytes | None,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Send one request and return the complete response, whatever its status.

        `timeout` bounds the time in which no byte of the response arrives, so a large
        response over a slow link may take longer.  Half of it bounds the time to
        connect, and the whole exchange may take EXTRA_TRANSFER_TIME_S longer.

        Raises `UnavailableError` where no complete response arrived, or one that is too
        long: with NOT_RUN if no connection was made, so that nothing was sent, and else
        with MAY_HAVE_RUN.
        """
        if self._client is None:
            raise UnavailableError(
                "the HTTP session is not open", verdict=Verdict.NOT_RUN
            )
        seconds = timeout.total_seconds()
        try:
            async with self._client.request(
                method,
                f"http://{address}{path}",
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=seconds + EXTRA_TRANSFER_TIME_S,
                    connect=seconds / 2,
                    sock_read=seconds,
                ),
                allow_redirects=False,
            ) as resp:
                body = await read_bounded(resp, self._max_response_bytes)
        except (aiohttp.InvalidURL, UnicodeError) as exc:
            message = f"{address}{path}: not a usable address: {exc}"
            raise UnavailableError(message, verdict=Verdict.NOT_RUN) from exc
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            message = f"{address}{path}: cannot connect: {exc}"
            raise UnavailableError(message, verdict=Verdict.NOT_RUN) from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise unknown_outcome_error(address, path, exc) from exc
        return HttpResponse(resp.status, body, resp.headers.get("ETag", ""))


def unknown_outcome_error(address: str, path: str, exc: Exception) -> UnavailableError:
    """Return the error for a request that was sent and got no usable response.

    The receiver may have acted on it, so the verdict is MAY_HAVE_RUN.
    """
    message = f"{address}{path}: no usable response: {type(exc).__name__} {exc}"
    return UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN)
