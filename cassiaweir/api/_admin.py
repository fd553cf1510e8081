"""Shared parts of the administration API, /v1/admin.

The base class of its routes, the limit on concurrent calls, and helpers that read
requests and build responses.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from typing import TypeVar

import msgspec
from sanic import Blueprint, HTTPResponse, Request

from cassiaweir.api._access import BEARER
from cassiaweir.exceptions import InvalidInputError, RefusedError
from cassiaweir.facade import CellAdministration

JSON = "application/json"
PREFIX = "/v1/admin"
MAX_CONCURRENT_CALLS = 32
RETRY_AFTER = timedelta(seconds=1)
DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1000

Message = TypeVar("Message", bound=msgspec.Struct)
Handler = Callable[..., Awaitable[HTTPResponse]]


class AdminRoutes:
    """The base class of the administration routes.

    A call above `MAX_CONCURRENT_CALLS` is refused before its credential is looked
    up, so that a flood of calls causes no reads of the table.
    """

    def __init__(self, cell: CellAdministration, limiter: CallLimiter) -> None:
        self.cell = cell
        self._limiter = limiter

    def add(
        self, routes: Blueprint, method: str, path: str, handler: Handler, name: str
    ) -> None:
        """Add a route whose handler takes the request and the calling operator."""

        async def handle(request: Request, **path_params: str) -> HTTPResponse:
            async with self._limiter:
                operator = await self.cell.authenticate(
                    read_credential(request), reading=method == "GET"
                )
                return await handler(request, operator, **path_params)

        routes.add_route(handle, path, methods=[method], name=name)


class CallLimiter:
    """Limits the number of concurrent calls and refuses any above the limit."""

    def __init__(self, max_calls: int = MAX_CONCURRENT_CALLS) -> None:
        self._max_calls = max_calls
        self._active_calls = 0

    async def __aenter__(self) -> None:
        """Count a starting call, or raise `RefusedError` where the limit is reached."""
        if self._active_calls >= self._max_calls:
            raise RefusedError(
                "too_many_calls",
                "too many concurrent administration calls",
                retry_after=RETRY_AFTER,
            )
        self._active_calls += 1

    async def __aexit__(self, *exc_info: object) -> None:
        """Count the end of a call."""
        self._active_calls -= 1


def read_credential(request: Request) -> str:
    """Return the credential in the Authorization header, or raise `RefusedError`."""
    header = request.headers.get("Authorization", "")
    secret = header.removeprefix(BEARER)
    if secret == header or not secret:
        raise RefusedError(
            "credential_missing", "expected 'Authorization: Bearer <credential>'"
        )
    return secret


def read_body(request: Request, kind: type[Message]) -> Message:
    """Return the decoded body, or raise `InvalidInputError` naming the wrong field."""
    try:
        return msgspec.json.decode(request.body, type=kind)
    except msgspec.MsgspecError as exc:
        raise InvalidInputError(f"body: {exc}") from exc


def read_positive_int(text: str, name: str) -> int:
    """Return `text` as a positive integer, or raise `InvalidInputError` for `name`."""
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not int(text):
        raise InvalidInputError(
            f"{name}: expected a positive integer of at most 9 digits"
        )
    return int(text)


def read_page_size(request: Request) -> int:
    """Return the query parameter `limit`, the maximum number of items in a page."""
    limit = read_positive_int(
        request.args.get("limit", str(DEFAULT_PAGE_SIZE)), "limit"
    )
    if limit > MAX_PAGE_SIZE:
        raise InvalidInputError(f"limit: expected 1 to {MAX_PAGE_SIZE}")
    return limit


def read_query_text(request: Request, name: str) -> str:
    """Return the query parameter `name`, or an empty string where it is absent."""
    return str(request.args.get(name, ""))


def read_query_time(request: Request, name: str) -> datetime | None:
    """Return the query parameter `name` as a time, or None where it is absent.

    A time without a zone is taken as UTC.
    """
    text = read_query_text(request, name)
    if not text:
        return None
    try:
        found = datetime.fromisoformat(text)
    except ValueError as exc:
        raise InvalidInputError(f"{name}: expected an ISO 8601 time") from exc
    return found if found.tzinfo else found.replace(tzinfo=UTC)


def json_response(value: object, *, status: int = 200) -> HTTPResponse:
    """Return a response with `value` as JSON, which clients must not cache."""
    return HTTPResponse(
        msgspec.json.encode(value),
        status=status,
        headers={"Cache-Control": "no-store"},
        content_type=JSON,
    )
