"""Reading a table as a list that is kept up to date."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from cassiaweir.types._store import Row


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows under a prefix; later changes have a version above `version`."""

    rows: Sequence[Row]
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows written and keys removed since a version, up to `version`."""

    written: Sequence[Row]
    removed: Sequence[str]
    version: int


class Feed(Protocol):
    """Tells the changes of tables as they happen.

    Methods raise `UnavailableError` with NOT_RUN where the store gave no answer.
    """

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return the rows whose key starts with `prefix`, such as `jobs/main/`."""

    async def changes(self, table: str, after: int, wait: timedelta) -> Changes:
        """Return the changes of `table` after a version, waiting for the first one.

        Raises `HistoryLostError` where the store no longer holds that history.
        """
