"""The change feed, by which a copy of a table's rows is kept up to date."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from cassiaweir.types._store import Row


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows under a key prefix.

    Changes that the rows may lack have a version above `version`.
    """

    rows: Sequence[Row]
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """The rows written and the keys removed between two versions of the store.

    `version` is the later one, after which the next changes are asked for.  A row that
    was removed and written again is in both; one that was removed last is not in
    `written`.
    """

    written: Sequence[Row]
    removed: Sequence[str]
    version: int


class Feed(Protocol):
    """Reads snapshots of rows and the changes that follow them.

    Methods raise `UnavailableError` with NOT_RUN where the store gave no usable
    answer.
    """

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return the rows whose key starts with `prefix`, such as `jobs/main/`."""

    async def changes(self, table: str, after: int, wait: timedelta) -> Changes:
        """Return the changes to `table` after the version `after`.

        If there is none yet, the call waits up to `wait` for one.

        Raises `HistoryLostError` where the store no longer has those changes.
        """
