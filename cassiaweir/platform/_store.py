"""The client of the platform's store: rows, transactions and the change feed.

The store identifies a row by table, part and key.  This project joins them to one key
`table/part/key`, in which the part may be empty, as in `op//config`.
"""

from __future__ import annotations

import base64
from collections.abc import Sequence
from datetime import timedelta
from typing import Any, Protocol
from urllib.parse import urlencode

import msgspec

from cassiaweir.exceptions import (
    ConflictError,
    HistoryLostError,
    TransactionRejectedError,
    UnavailableError,
)
from cassiaweir.platform._http import HttpSession
from cassiaweir.types import Changes, Check, Row, Snapshot, Write
from cassiaweir.verdict import Verdict

NO_WAIT = timedelta(0)
ROWS_PER_PAGE = 200
"""Small enough for a page to arrive over a slow link well within a timeout."""

PING_PATH = "/rows-get?table=nodes&part=&limit=1"
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
# Statuses by which the store says that it did not execute the request.
STATUSES_NOT_EXECUTED = (429, 503)
# Statuses by which the store refuses a transaction for good.
STATUSES_REJECTED = (400, 403, 413)


class StoreTransport(Protocol):
    """Sends requests to the store, directly or by way of another VM."""

    async def call(
        self, method: str, path: str, data: bytes | None, wait: timedelta
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the answer.

        The store may delay its answer by up to `wait`, which adds to the timeout.
        Raises `UnavailableError` where no answer arrived.
        """


class DirectTransport:
    """Sends requests straight from this VM to the store at `address`."""

    def __init__(self, session: HttpSession, address: str) -> None:
        self._session = session
        self._address = address

    async def call(
        self, method: str, path: str, data: bytes | None, timeout: timedelta
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the answer.

        Raises `UnavailableError` where no answer arrived within `timeout`.
        """
        headers = {"Content-Type": "application/json"} if data is not None else {}
        resp = await self._session.send(
            method, self._address, path, data, timeout, headers
        )
        return resp.status, resp.body

    async def ping(self, timeout: timedelta) -> bool:
        """Return whether a small read succeeds, or raise `UnavailableError`."""
        status, _ = await self.call("GET", PING_PATH, None, timeout)
        return status == STATUS_OK


class _WireRow(msgspec.Struct):
    table: str
    key: str
    part: str = ""
    value: str | None = ""
    ver: int = 0
    removed: bool = False

    @property
    def full_key(self) -> str:
        """The key of the row in this project: `table/part/key`."""
        return f"{self.table}/{self.part}/{self.key}"

    def to_row(self) -> Row:
        """Return the row with its value decoded.

        A value that is not in base64 is returned as it is: one such row must not keep
        the others of its table from being read, and its own reader rejects it.
        """
        raw = (self.value or "").encode()
        try:
            value = base64.b64decode(raw)
        except ValueError:
            value = raw
        return Row(self.full_key, self.ver, value)


class _RowsAnswer(msgspec.Struct):
    rows: list[_WireRow] = []
    more_pages: bool = False
    ver: int = 0


def split_key(key: str) -> tuple[str, str, str]:
    """Split `table/part/key` into its three parts; the last may contain slashes."""
    table, part, row_key = key.split("/", 2)
    return table, part, row_key


class PlatformStore:
    """Implements the `Table` and `Feed` protocols by calls to the platform's store."""

    def __init__(self, transport: StoreTransport) -> None:
        self._transport = transport

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among `keys`.

        Each is read by a call of its own, so they are not from one snapshot.
        """
        found: dict[str, Row] = {}
        for key in keys:
            table, part, row_key = split_key(key)
            answer = await self._get_rows(table, part, row_key, row_key + "\0", 1)
            found |= {row.full_key: row.to_row() for row in answer.rows}
        return found

    async def scan(self, prefix: str, *, after: str = "", limit: int = 0) -> list[Row]:
        """Return the rows of one part that follow `after`, ordered by key.

        `prefix` is `table/part/`.  At most `limit` rows are returned, all of them
        where it is 0.
        """
        table, part, _ = split_key(prefix)
        first = split_key(after)[2] + "\0" if after else ""
        found: list[Row] = []
        while True:
            page_limit = (
                min(limit - len(found), ROWS_PER_PAGE) if limit else ROWS_PER_PAGE
            )
            answer = await self._get_rows(table, part, first, "", page_limit)
            found += [row.to_row() for row in answer.rows]
            if not answer.more_pages or (limit and len(found) >= limit):
                return found
            first = answer.rows[-1].key + "\0"

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return the rows of one part with the version of the store at the first page.

        `prefix` is `table/part/`.  Later pages may already show later changes, which
        the feed then repeats.
        """
        table, part, _ = split_key(prefix)
        found: list[Row] = []
        version: int | None = None
        first = ""
        while True:
            answer = await self._get_rows(table, part, first, "", ROWS_PER_PAGE)
            version = answer.ver if version is None else version
            found += [row.to_row() for row in answer.rows]
            if not answer.more_pages:
                return Snapshot(found, version)
            first = answer.rows[-1].key + "\0"

    async def changes(self, table: str, after: int, wait: timedelta) -> Changes:
        """Return the changes to all parts of `table` after the version `after`.

        Waits up to `wait` for a first change.  Raises `HistoryLostError` where the
        store no longer has the changes since that version.
        """
        wait_ms = round(wait.total_seconds() * 1_000)
        query = urlencode({"table": table, "after": after, "wait_ms": wait_ms})
        status, raw = await self._transport.call(
            "GET", f"/rows-feed?{query}", None, wait
        )
        if status == STATUS_GONE:
            raise HistoryLostError(
                f"the store no longer has the changes of {table} after version {after}"
            )
        answer = _decode_answer(status, raw, Verdict.NOT_RUN)
        removed = [row for row in answer.rows if row.removed]
        removed_at = {
            row.full_key: row.ver for row in sorted(removed, key=lambda row: row.ver)
        }
        return Changes(
            [
                row.to_row()
                for row in answer.rows
                if not row.removed and row.ver > removed_at.get(row.full_key, 0)
            ],
            [row.full_key for row in removed],
            max(answer.ver, after),
        )

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Apply `writes` if all `checks` hold, and return the new versions.

        All writes must be to one part.  Raises `ConflictError` when a check failed
        and nothing was written, and `TransactionRejectedError` when the store refuses
        the transaction for good, for example because of its size.
        """
        body = msgspec.json.encode(_encode_transaction(checks, writes))
        status, raw = await self._transport.call("POST", "/rows-tx", body, NO_WAIT)
        if status == STATUS_CONFLICT:
            raise ConflictError(
                "a row has another version than the transaction expects"
            )
        if status in STATUSES_REJECTED:
            raise TransactionRejectedError(
                f"the store answered {status} to {len(checks)} checks and"
                f" {len(writes)} writes of {len(body)} bytes"
            )
        version = _decode_answer(status, raw, Verdict.MAY_HAVE_RUN).ver
        return {write.key: version for write in writes}

    async def _get_rows(
        self, table: str, part: str, first: str, end: str, limit: int
    ) -> _RowsAnswer:
        """Return one page of the rows from key `first` up to, but without, `end`.

        An empty `first` or `end` leaves that side open.
        """
        query: dict[str, Any] = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        if end:
            query["to"] = end
        path = f"/rows-get?{urlencode(query)}"
        status, raw = await self._transport.call("GET", path, None, NO_WAIT)
        return _decode_answer(status, raw, Verdict.NOT_RUN)


def _encode_transaction(
    checks: Sequence[Check], writes: Sequence[Write]
) -> dict[str, list[dict[str, Any]]]:
    """Return the request body of a transaction; checks go under `expect_rev`."""
    return {
        "expect_rev": [
            {**_wire_key(check.key), "ver": check.version} for check in checks
        ],
        "writes": [
            {**_wire_key(write.key), "value": base64.b64encode(write.value).decode()}
            for write in writes
            if write.value is not None
        ],
        "remove": [_wire_key(write.key) for write in writes if write.value is None],
    }


def _wire_key(key: str) -> dict[str, str]:
    table, part, row_key = split_key(key)
    return {"table": table, "part": part, "key": row_key}


def _decode_answer(status: int, raw: bytes, verdict_if_unclear: Verdict) -> _RowsAnswer:
    """Return the decoded body of an answer with status 200.

    Raises `UnavailableError` for any other answer: with NOT_RUN where the status says
    that the request was not executed, and else with `verdict_if_unclear`.
    """
    if status != STATUS_OK:
        refused = status in STATUSES_NOT_EXECUTED
        verdict = Verdict.NOT_RUN if refused else verdict_if_unclear
        raise UnavailableError(
            f"the store answered {status}, expected {STATUS_OK}", verdict=verdict
        )
    try:
        return msgspec.json.decode(raw, type=_RowsAnswer)
    except msgspec.DecodeError as exc:
        raise UnavailableError(
            f"cannot decode the answer of the store: {exc}", verdict=verdict_if_unclear
        ) from exc
