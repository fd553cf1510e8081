"""The HTTP session that all platform clients of a process share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from aiohttp.hdrs import ACCEPT, ACCEPT_ENCODING, CONTENT_TYPE, USER_AGENT

from cassiaweir.exceptions import UnavailableError
from cassiaweir.verdict import Verdict

MOST_CONNECTIONS = 1024
LONGEST_TRANSFER_S = 3.0
"""A response that has begun gets so long on top of the timeout."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole HTTP response; `tag` is the entity tag, empty where there is none."""

    status: int
    body: bytes
    tag: str = ""


class HttpSession:
    """Sends HTTP requests over kept connections, each bounded by a timeout.

    `headers` go with every request.
    """

    def __init__(
        self,
        headers: Mapping[str, str],
        *,
        max_connections_per_address: int = MOST_CONNECTIONS,
    ) -> None:
        self._headers = dict(headers)
        self._max_connections_per_address = max_connections_per_address
        self._client: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session; connections are made on demand."""
        self._client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=MOST_CONNECTIONS, limit_per_host=self._max_connections_per_address
            ),
            headers=self._headers,
            skip_auto_headers=(ACCEPT, ACCEPT_ENCODING, CONTENT_TYPE, USER_AGENT),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self) -> None:
        """Close the session and its connections."""
        client, self._client = self._client, None
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
        """Send one request and return the whole response, whatever its status.

        `timeout` bounds the time without a byte of the response, so that a large one
        may take longer over a slow link.

        Raises `UnavailableError` where no whole response came: with NOT_RUN where
        nothing was sent, else with MAY_HAVE_RUN.
        """
        if self._client is None:
            raise UnavailableError("session is closed", verdict=Verdict.NOT_RUN)
        seconds = timeout.total_seconds()
        try:
            async with self._client.request(
                method,
                f"http://{address}{path}",
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=seconds + LONGEST_TRANSFER_S,
                    connect=seconds / 2,
                    sock_read=seconds,
                ),
                allow_redirects=False,
            ) as resp:
                body = await resp.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            message = f"{address}{path}: cannot connect: {exc}"
            raise UnavailableError(message, verdict=Verdict.NOT_RUN) from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise doubtful_error(address, path, exc) from exc
        return HttpResponse(resp.status, body, resp.headers.get("ETag", ""))


def doubtful_error(address: str, path: str, exc: Exception) -> UnavailableError:
    """Return the error for a request that was sent and got no usable answer."""
    message = f"{address}{path}: no answer: {type(exc).__name__} {exc}"
    return UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN)
