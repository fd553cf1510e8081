"""The client of the platform's transactional table, which resolves lost answers."""

from __future__ import annotations

import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.platform._session import PlatformSession
from cassiaweir.platform.wire import (
    CommitAnswer,
    CommitRequest,
    Envelope,
    ReadRequest,
    RowsAnswer,
    ScanRequest,
)
from cassiaweir.types import Check, Clock, Row, Write
from cassiaweir.verdict import Verdict

EXCHANGE_TIME_FRACTION = 0.6
"""The timeout of each exchange of a commit, as a fraction of its remaining time.

Less than 1, so that time is left to read the rows back and to repeat the commit.
"""

EXCHANGE_PAUSE = timedelta(milliseconds=20)
"""The pause between the exchanges of a commit, and the shortest timeout of one."""


@dataclass(slots=True)
class _Transaction:
    """A commit in progress: its request and what is known about its outcome.

    `token` marks the rows that it writes.  `deadline` is in seconds of the monotonic
    clock.  `in_doubt` is set once a request got no answer, `conflicted` once a repeat
    was answered with a conflict.
    """

    token: str
    checks: list[Check]
    writes: list[Write]
    deadline: float
    in_doubt: bool = False
    conflicted: bool = False

    def request(self) -> CommitRequest:
        """Return the request, with each value in an envelope that holds the token."""
        writes = [
            Write(write.key, _wrap_value(self.token, write.value))
            for write in self.writes
        ]
        return CommitRequest(checks=self.checks, writes=writes)

    def safe_to_repeat(self) -> bool:
        """Return whether the commit can take effect at most once when it is repeated.

        That is so if it checks a row that it also writes: having taken effect, it
        makes its own check fail.
        """
        written = {write.key for write in self.writes}
        return any(check.key in written for check in self.checks)


@dataclass(frozen=True, slots=True)
class _RowWithToken:
    """A row taken out of its envelope, and the token of the commit that wrote it."""

    token: str
    row: Row


class HttpTable:
    """Implements the `Table` protocol over HTTP.

    A commit whose answer is lost is resolved inside the call: the rows are read back
    and searched for the commit's token.  If they do not have it and the checks still
    hold, the same request is repeated.
    """

    def __init__(self, session: PlatformSession, address: str, clock: Clock) -> None:
        self._session = session
        self._address = address
        self._clock = clock

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among `keys`, from one snapshot."""
        rows = await self._fetch("/v1/read", ReadRequest(list(keys)))
        return {found.row.key: found.row for found in rows}

    async def scan(self, prefix: str, *, after: str = "", limit: int = 0) -> list[Row]:
        """Return the rows whose key starts with `prefix` and follows `after`.

        They are ordered by key.  At most `limit` rows are returned, all of them where
        it is 0.
        """
        rows = await self._fetch("/v1/scan", ScanRequest(prefix, after, limit))
        return [found.row for found in rows]

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Apply all `writes` if all `checks` hold, and return the new versions.

        Raises `ConflictError` when a check failed and nothing was written, and
        `UnavailableError` with MAY_HAVE_RUN when the outcome stays unknown, at
        the latest at the end of the session's timeout.
        """
        time_limit = self._session.timeout.total_seconds()
        txn = _Transaction(
            token=uuid.uuid4().hex,
            checks=list(checks),
            writes=list(writes),
            deadline=self._clock.monotonic() + time_limit,
        )
        while True:
            versions = await self._attempt(txn)
            if versions is not None:
                return versions
            if self._time_left(txn) <= 0:
                raise _unknown_outcome(f"not resolved within {time_limit} s")
            await self._clock.sleep(EXCHANGE_PAUSE)

    async def _attempt(self, txn: _Transaction) -> dict[str, int] | None:
        """Look for the result of an earlier request of `txn`, or send it once.

        Returns the new versions, or None while the outcome is unknown.
        """
        if txn.in_doubt:
            versions = await self._read_back(txn)
            if versions is not None:
                return versions
            if txn.conflicted or not txn.safe_to_repeat():
                return None
        try:
            return await self._send(txn)
        except ConflictError:
            if not txn.in_doubt:
                raise
            txn.conflicted = True
        except UnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN and not txn.in_doubt:
                raise
            txn.in_doubt = True
        return None

    async def _send(self, txn: _Transaction) -> dict[str, int]:
        """Send the commit and return the new versions from the answer."""
        answer = await self._session.call(
            self._address,
            "/v1/commit",
            txn.request(),
            CommitAnswer,
            timeout=self._exchange_timeout(txn),
        )
        return answer.versions

    async def _read_back(self, txn: _Transaction) -> dict[str, int] | None:
        """Return the new versions if the rows carry the token of `txn`.

        Returns None if the rows could not be read or if all checks still hold.  Raises
        `UnavailableError` where a write of another commit hides the outcome.
        """
        keys = {check.key for check in txn.checks} | {w.key for w in txn.writes}
        try:
            rows = await self._fetch(
                "/v1/read",
                ReadRequest(sorted(keys)),
                timeout=self._exchange_timeout(txn),
            )
        except UnavailableError:
            return None
        found = {item.row.key: item for item in rows}
        put_keys = [write.key for write in txn.writes if write.value is not None]
        own_keys = [
            key for key in put_keys if key in found and found[key].token == txn.token
        ]
        if put_keys and len(own_keys) == len(put_keys):
            return {write.key: _version_of(found, write.key) for write in txn.writes}
        if own_keys:
            raise _unknown_outcome(
                "the commit was applied, and another one has overwritten part of it"
            )
        if any(_version_of(found, c.key) != c.version for c in txn.checks):
            raise _unknown_outcome(
                "another commit changed the rows and may have overwritten this one"
            )
        return None

    async def _fetch(
        self,
        path: str,
        req: ReadRequest | ScanRequest,
        *,
        timeout: timedelta | None = None,
    ) -> list[_RowWithToken]:
        try:
            answer = await self._session.call(
                self._address, path, req, RowsAnswer, timeout=timeout
            )
        except UnavailableError as exc:
            raise UnavailableError(str(exc), verdict=Verdict.NOT_RUN) from exc
        return [_unwrap_row(row) for row in answer.rows]

    def _time_left(self, txn: _Transaction) -> float:
        return txn.deadline - self._clock.monotonic()

    def _exchange_timeout(self, txn: _Transaction) -> timedelta:
        """Return the timeout of the next exchange of `txn`."""
        seconds = self._time_left(txn) * EXCHANGE_TIME_FRACTION
        return max(timedelta(seconds=seconds), EXCHANGE_PAUSE)


def _version_of(rows: dict[str, _RowWithToken], key: str) -> int:
    """Return the version of `key` in `rows`, or 0 if it is absent."""
    return rows[key].row.version if key in rows else 0


def _wrap_value(token: str, value: bytes | None) -> bytes | None:
    """Return `value` in an envelope with `token`; None, a deletion, stays None."""
    if value is None:
        return None
    return msgspec.json.encode(Envelope(token, value))


def _unwrap_row(row: Row) -> _RowWithToken:
    """Decode the envelope in the value of `row`, or raise `UnavailableError`."""
    try:
        envelope = msgspec.json.decode(row.value, type=Envelope)
    except msgspec.DecodeError as exc:
        message = f"row {row.key} is malformed: {exc}"
        raise UnavailableError(message, verdict=Verdict.NOT_RUN) from exc
    return _RowWithToken(envelope.token, Row(row.key, row.version, envelope.value))


def _unknown_outcome(reason: str) -> UnavailableError:
    """Return the error for a commit that may or may not have been applied."""
    message = f"outcome of the commit is unknown: {reason}"
    return UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN)
