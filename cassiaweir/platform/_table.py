"""The client of the platform's transactional table."""

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

SHARE_OF_TIME_PER_EXCHANGE = 0.6
"""An exchange of a commit takes at most this part of the time that is left."""

PAUSE_BETWEEN_EXCHANGES = timedelta(milliseconds=20)


@dataclass(slots=True)
class _Transaction:
    """One commit on its way: what is sent and what is known of it."""

    token: str
    checks: list[Check]
    writes: list[Write]
    deadline: float
    doubtful: bool = False
    conflicted: bool = False

    def request(self) -> CommitRequest:
        """Return the request, with each value inside its envelope."""
        writes = [
            Write(write.key, _seal(self.token, write.value)) for write in self.writes
        ]
        return CommitRequest(checks=self.checks, writes=writes)

    def repeatable(self) -> bool:
        """Tell whether one application makes the checks fail for any other."""
        written = {write.key for write in self.writes}
        return any(check.key in written for check in self.checks)


@dataclass(frozen=True, slots=True)
class _Found:
    """A row as it was given to `commit`, and the token of that commit."""

    token: str
    row: Row


class HttpTable:
    """Implements the `Table` protocol over HTTP.

    A commit without an answer is resolved inside the call: the rows are read back
    and searched for the commit's token, and the same request is repeated while
    its checks still hold.
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
        """Return rows whose key starts with `prefix` and follows `after`, by key.

        At most `limit` rows are returned, all of them where it is 0.
        """
        rows = await self._fetch("/v1/scan", ScanRequest(prefix, after, limit))
        return [found.row for found in rows]

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Apply all `writes` if all `checks` hold, and return the new versions.

        Raises `ConflictError` when a check failed and nothing was written, and
        `UnavailableError` with MAY_HAVE_RUN when the outcome stayed unknown.
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
                raise _unknown("the time is over")
            await self._clock.sleep(PAUSE_BETWEEN_EXCHANGES)

    async def _attempt(self, txn: _Transaction) -> dict[str, int] | None:
        """Send `txn` once; return None where its outcome is still unknown."""
        if txn.doubtful:
            versions = await self._read_back(txn)
            if versions is not None:
                return versions
            if txn.conflicted or not txn.repeatable():
                return None
        try:
            return await self._send(txn)
        except ConflictError:
            if not txn.doubtful:
                raise
            txn.conflicted = True
        except UnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN and not txn.doubtful:
                raise
            txn.doubtful = True
        return None

    async def _send(self, txn: _Transaction) -> dict[str, int]:
        """Send the commit and return the versions that the service answers."""
        answer = await self._session.call(
            self._address,
            "/v1/commit",
            txn.request(),
            CommitAnswer,
            timeout=self._exchange_time(txn),
        )
        return answer.versions

    async def _read_back(self, txn: _Transaction) -> dict[str, int] | None:
        """Return the versions if the rows carry our token, None if it is open.

        Raises `UnavailableError` where another commit has made it undecidable.
        """
        keys = {check.key for check in txn.checks} | {w.key for w in txn.writes}
        try:
            rows = await self._fetch(
                "/v1/read", ReadRequest(sorted(keys)), timeout=self._exchange_time(txn)
            )
        except UnavailableError:
            return None
        found = {item.row.key: item for item in rows}
        kept = [write.key for write in txn.writes if write.value is not None]
        ours = [key for key in kept if key in found and found[key].token == txn.token]
        if kept and len(ours) == len(kept):
            return {write.key: _version(found, write.key) for write in txn.writes}
        if ours:
            raise _unknown("the commit was applied and partly overwritten since")
        if any(_version(found, c.key) != c.version for c in txn.checks):
            raise _unknown("another commit may have overwritten ours")
        return None

    async def _fetch(
        self,
        path: str,
        req: ReadRequest | ScanRequest,
        *,
        timeout: timedelta | None = None,
    ) -> list[_Found]:
        try:
            answer = await self._session.call(
                self._address, path, req, RowsAnswer, timeout=timeout
            )
        except UnavailableError as exc:
            raise UnavailableError(str(exc), verdict=Verdict.NOT_RUN) from exc
        return [_open(row) for row in answer.rows]

    def _time_left(self, txn: _Transaction) -> float:
        return txn.deadline - self._clock.monotonic()

    def _exchange_time(self, txn: _Transaction) -> timedelta:
        """Return how long the next exchange of `txn` may take."""
        seconds = self._time_left(txn) * SHARE_OF_TIME_PER_EXCHANGE
        return max(timedelta(seconds=seconds), PAUSE_BETWEEN_EXCHANGES)


def _version(rows: dict[str, _Found], key: str) -> int:
    """Return the version of `key` in `rows`, 0 where it is absent."""
    return rows[key].row.version if key in rows else 0


def _seal(token: str, value: bytes | None) -> bytes | None:
    """Return `value` inside its envelope; a deletion stays None."""
    if value is None:
        return None
    return msgspec.json.encode(Envelope(token, value))


def _open(row: Row) -> _Found:
    """Take `row` out of its envelope."""
    try:
        envelope = msgspec.json.decode(row.value, type=Envelope)
    except msgspec.DecodeError as exc:
        message = f"row {row.key} is malformed: {exc}"
        raise UnavailableError(message, verdict=Verdict.NOT_RUN) from exc
    return _Found(envelope.token, Row(row.key, row.version, envelope.value))


def _unknown(reason: str) -> UnavailableError:
    """Return the error for a commit whose outcome stays unknown."""
    message = f"outcome of the commit is unknown: {reason}"
    return UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN)
