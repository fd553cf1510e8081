"""Reads bodies of HTTP responses up to a bound."""

from __future__ import annotations

import aiohttp


async def read_at_most(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the complete body, or its first `max_bytes` bytes if it is longer."""
    chunks = []
    while max_bytes > 0 and (chunk := await response.content.read(max_bytes)):
        chunks.append(chunk)
        max_bytes -= len(chunk)
    return b"".join(chunks)


async def read_bounded(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the complete body.

    Raises `aiohttp.ClientPayloadError` and closes the connection if the body is longer
    than `max_bytes`.
    """
    body = await read_at_most(response, max_bytes + 1)
    if len(body) > max_bytes:
        response.close()
        raise aiohttp.ClientPayloadError(f"the response exceeds {max_bytes} bytes")
    return body
