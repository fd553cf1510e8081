"""The platform's store in memory."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Sequence

from cassiaweir.exceptions import (
    ConflictError,
    HistoryLostError,
    TransactionRejectedError,
)
from cassiaweir.types import Changes, Check, Row, Write

MAX_ENTRIES = 100
MAX_ENCODED_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536


class MemoryStore:
    """Rows, and the history of changes that the change feed is served from."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.commits = 0
        self.row_bytes: dict[str, int] = {}
        """Lower limits of the rows of some tables, by the name of the table."""
        self._changes: list[tuple[int, str, Row | None]] = []
        self._oldest_version = 0
        self._change_event = asyncio.Event()

    def apply(self, checks: Sequence[Check], writes: Sequence[Write]) -> dict[str, int]:
        """Apply a transaction and return the new versions.

        Raises `ConflictError`, or `TransactionRejectedError` if it is too large.
        """
        _check_size(checks, writes)
        self._check_rows(writes)
        for check in checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                raise ConflictError(check.key)
        self.version += 1
        self.commits += 1
        for write in writes:
            row = None
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                row = self.rows[write.key] = Row(write.key, self.version, write.value)
            self._changes.append((self.version, write.key, row))
        self._change_event.set()
        self._change_event = asyncio.Event()
        return {write.key: self.version for write in writes}

    def _check_rows(self, writes: Sequence[Write]) -> None:
        for write in writes:
            table = write.key.partition("/")[0]
            limit = self.row_bytes.get(table, MAX_ROW_BYTES)
            if len(write.value or b"") > limit:
                raise TransactionRejectedError(f"{write.key} is over {limit} bytes")

    def forget_history(self) -> None:
        """Drop the history of changes, as the real store may at any time."""
        self._changes.clear()
        self._oldest_version = self.version

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes of `table` after version `after`.

        Without any, wait up to `wait_s` for the first one.
        """
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._oldest_version:
                raise HistoryLostError(table)
            first = bisect_right(self._changes, after, key=lambda each: each[0])
            found = [
                each
                for each in self._changes[first:]
                if each[1].startswith(f"{table}/")
            ]
            left = ends_at - asyncio.get_running_loop().time()
            if found or left < 1e-6:
                gone = {key: at for at, key, row in found if row is None}
                written = [
                    row
                    for at, key, row in found
                    if row is not None and at > gone.get(key, 0)
                ]
                removed = [key for _, key, row in found if row is None]
                return Changes(written, removed, self.version)
            try:
                async with asyncio.timeout(left):
                    await self._change_event.wait()
            except TimeoutError:
                continue


def _check_size(checks: Sequence[Check], writes: Sequence[Write]) -> None:
    """Raise `TransactionRejectedError` for what the real store refuses for good."""
    entries = len(checks) + len(writes)
    sizes = [len(write.value or b"") for write in writes]
    encoded = sum(size * 4 // 3 for size in sizes)
    if entries > MAX_ENTRIES or encoded > MAX_ENCODED_BYTES:
        raise TransactionRejectedError("over 100 entries or 1 MB")
    if max(sizes, default=0) > MAX_ROW_BYTES:
        raise TransactionRejectedError("a row is over 65,536 bytes")
