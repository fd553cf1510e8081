"""Operators' HTTP: /v1/admin; who calls, what they send, and typed answers."""

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
DEFAULT_PAGE = 100
MOST_PER_PAGE = 1000

Message = TypeVar("Message", bound=msgspec.Struct)
Handler = Callable[..., Awaitable[HTTPResponse]]


class AdminRoutes:
    """The base of the administration's blueprints.

    A call above `MAX_CONCURRENT_CALLS` is refused at once, before its credential is
    looked up, so that a flood costs the table nothing.
    """

    def __init__(self, cell: CellAdministration, gate: CallGate) -> None:
        self.cell = cell
        self._gate = gate

    def add(
        self, routes: Blueprint, method: str, path: str, handler: Handler, name: str
    ) -> None:
        """Add a route whose handler gets the operator after the request."""

        async def answer(request: Request, **names: str) -> HTTPResponse:
            async with self._gate:
                operator = await self.cell.authenticate(
                    read_credential(request), reading=method == "GET"
                )
                return await handler(request, operator, **names)

        routes.add_route(answer, path, methods=[method], name=name)


class CallGate:
    """Admits a bounded number of calls at once and refuses the rest."""

    def __init__(self, most: int = MAX_CONCURRENT_CALLS) -> None:
        self._most = most
        self._inside = 0

    async def __aenter__(self) -> None:
        """Enter, or raise `RefusedError` at once."""
        if self._inside >= self._most:
            raise RefusedError(
                "too_many_calls",
                "too many administrative calls at once",
                retry_after=RETRY_AFTER,
            )
        self._inside += 1

    async def __aexit__(self, *exc_info: object) -> None:
        """Leave."""
        self._inside -= 1


def read_credential(request: Request) -> str:
    """Return the operator's credential, or raise `RefusedError`."""
    header = request.headers.get("Authorization", "")
    secret = header.removeprefix(BEARER)
    if secret == header or not secret:
        raise RefusedError(
            "credential_missing", "expected 'Authorization: Bearer <credential>'"
        )
    return secret


def read_body(request: Request, kind: type[Message]) -> Message:
    """Return the checked body, or raise `InvalidInputError` naming the member."""
    try:
        return msgspec.json.decode(request.body, type=kind)
    except msgspec.MsgspecError as exc:
        raise InvalidInputError(f"body: {exc}") from exc


def read_number(text: str, name: str) -> int:
    """Return a positive number, or raise `InvalidInputError`."""
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not int(text):
        raise InvalidInputError(f"{name}: expected a positive number")
    return int(text)


def read_limit(request: Request) -> int:
    """Return the wanted length of a page."""
    limit = read_number(request.args.get("limit", str(DEFAULT_PAGE)), "limit")
    if limit > MOST_PER_PAGE:
        raise InvalidInputError(f"limit: expected 1 to {MOST_PER_PAGE}")
    return limit


def read_text(request: Request, name: str) -> str:
    """Return a parameter of the query, or an empty text."""
    return str(request.args.get(name, ""))


def read_time(request: Request, name: str) -> datetime | None:
    """Return a time in ISO 8601 of the query, in UTC where it names no zone."""
    text = read_text(request, name)
    if not text:
        return None
    try:
        found = datetime.fromisoformat(text)
    except ValueError as exc:
        raise InvalidInputError(f"{name}: expected a time in ISO 8601") from exc
    return found if found.tzinfo else found.replace(tzinfo=UTC)


def answer_json(value: object, *, status: int = 200) -> HTTPResponse:
    """Return `value` as JSON that nobody keeps."""
    return HTTPResponse(
        msgspec.json.encode(value),
        status=status,
        headers={"Cache-Control": "no-store"},
        content_type=JSON,
    )
