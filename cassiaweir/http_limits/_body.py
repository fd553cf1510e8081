"""Reads the body of a request within the budget of the process."""

from __future__ import annotations

import asyncio

from aiohttp import web

from cassiaweir.http_limits._budget import Reservation

GROWTH_BYTES = 16_384
"""A body of unknown length takes this many bytes of the budget at once."""


class BodyTooLargeError(Exception):
    """The body is larger than allowed; the rest was not read."""


class IncompleteBodyError(Exception):
    """The client has left before the end of the body, or its encoding is broken."""


class BodyTimeoutError(Exception):
    """The body did not arrive in time."""


async def read_body(
    req: web.BaseRequest, reservation: Reservation, max_bytes: int, timeout_s: float
) -> bytes:
    """Return the body of `req`, with at most `max_bytes`, within `timeout_s` seconds.

    Its bytes are added to `reservation` before they are kept.  Raises
    `BodyTooLargeError`, `BodyTimeoutError`, `IncompleteBodyError`, or
    `BudgetExhaustedError` if other bodies take all bytes.
    """
    announced = req.content_length
    if announced is not None and announced > max_bytes:
        raise BodyTooLargeError
    reservation.grow_to(GROWTH_BYTES if announced is None else announced)
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_all(req, reservation, max_bytes)
    except TimeoutError:
        raise BodyTimeoutError from None
    except (ConnectionError, web.RequestPayloadError) as exc:
        # The stream keeps the error, whose traceback would keep the bytes.
        exc.__traceback__ = None
        raise IncompleteBodyError from None


async def _read_all(
    req: web.BaseRequest, reservation: Reservation, max_bytes: int
) -> bytes:
    body = bytearray()
    while part := await req.content.readany():
        size = len(body) + len(part)
        if size > max_bytes:
            raise BodyTooLargeError
        if size > reservation.size:
            reservation.grow_to(min(size + GROWTH_BYTES, max_bytes))
        body += part
    return bytes(body)
