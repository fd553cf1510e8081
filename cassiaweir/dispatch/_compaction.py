"""Shrinks the rows of jobs that have ended, so that a new leader has less to load.

A row is whole as long as runs of its job may go on: a new leader counts these against
the cap of the customer.  The row itself is kept, as it prevents the id of the job from
being used again.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._job_rows import SHRUNK_VALUE
from cassiaweir.exceptions import (
    ConflictError,
    TransactionRejectedError,
    UnavailableError,
)
from cassiaweir.store import TransactionSize
from cassiaweir.types import Check, Clock, Row, Table, Write

SHRINK_INTERVAL = timedelta(seconds=3)


class RowShrinker:
    """Replaces the values of rows of jobs whose outcome is stored by a short one.

    It also removes rows that nothing needs any more.  A row that has changed since it
    was passed in stays as it is.
    """

    def __init__(self, table: Table, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._versions: dict[str, int] = {}
        self._removed: set[str] = set()

    def add(self, row: Row) -> None:
        """Queue the row of a job that has ended, unless it is already shrunk."""
        if row.value != SHRUNK_VALUE:
            self._versions[row.key] = row.version
            self._removed.discard(row.key)

    def remove(self, row: Row) -> None:
        """Queue the removal of a row."""
        self._versions[row.key] = row.version
        self._removed.add(row.key)

    async def run(self) -> None:
        """Shrink the queued rows at regular intervals, until cancelled."""
        while True:
            await self._clock.sleep(SHRINK_INTERVAL)
            for batch in list(self._batches()):
                if not await self._shrink(batch):
                    break

    def _batches(self) -> Iterator[list[str]]:
        """Yield keys for one transaction from each part, which a transaction covers."""
        by_part: dict[str, list[str]] = {}
        for key in self._versions:
            by_part.setdefault(key.rpartition("/")[0], []).append(key)
        for keys in by_part.values():
            yield keys[: self._count_fitting(keys)]

    def _count_fitting(self, keys: list[str]) -> int:
        """Return how many of `keys` one transaction can shrink."""
        size = TransactionSize()
        for count, key in enumerate(keys):
            size = size + TransactionSize.of(*self._entries([key]))
            if not size.fits:
                return max(count, 1)
        return len(keys)

    def _entries(self, keys: list[str]) -> tuple[list[Check], list[Write]]:
        checks = [Check(key, self._versions[key]) for key in keys]
        return checks, [Write(key, self._new_value(key)) for key in keys]

    def _new_value(self, key: str) -> bytes | None:
        return None if key in self._removed else SHRUNK_VALUE

    async def _shrink(self, keys: list[str]) -> bool:
        """Shrink the rows `keys`; return whether the store answered.

        Rows that the store refuses to shrink stay as they are.
        """
        checks, writes = self._entries(keys)
        try:
            await self._table.commit(checks, writes)
        except UnavailableError as exc:
            logger.info("rows_not_shrunk", rows=len(keys), cause=str(exc))
            return False
        except TransactionRejectedError as exc:
            logger.error("rows_not_shrinkable", rows=len(keys), cause=str(exc))
        except ConflictError:
            if len(keys) > 1:
                return all([await self._shrink([key]) for key in keys])
            # An earlier attempt without an answer, or another leader, has shrunk them.
            logger.info("rows_already_shrunk", rows=len(keys))
        for key in keys:
            self._versions.pop(key, None)
            self._removed.discard(key)
        return True
