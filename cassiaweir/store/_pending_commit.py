"""One caller's commit inside a batch of the group commit."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from cassiaweir.types import Check, Row, Write


@dataclass(slots=True, eq=False)
class PendingCommit:
    """The checks and writes of one caller, and where its answer goes."""

    checks: list[Check]
    writes: list[Write]
    fut: asyncio.Future[dict[str, int]]

    @property
    def rows(self) -> int:
        """The room that the member takes in a batch and in the queue."""
        return max(len(self.writes), 1)

    @property
    def written(self) -> set[str]:
        """The keys that the member writes."""
        return {write.key for write in self.writes}

    @property
    def keys(self) -> set[str]:
        """The keys that the member writes or checks."""
        return self.written | {check.key for check in self.checks}

    @property
    def repeatable(self) -> bool:
        """Whether one application makes the checks fail for any other."""
        written = self.written
        return any(check.key in written for check in self.checks)

    @property
    def exclusive(self) -> bool:
        """Whether its application proves that no other one came before or follows.

        A row that was absent may be absent again, but no version comes twice.
        """
        written = self.written
        return any(check.key in written and check.version for check in self.checks)

    def holds_against(self, rows: Mapping[str, Row]) -> bool:
        """Tell whether all checks hold against `rows`."""
        return all(
            check.version == (rows[check.key].version if check.key in rows else 0)
            for check in self.checks
        )

    def succeed(self, versions: Mapping[str, int]) -> None:
        """Answer the caller with the new versions of its own rows."""
        if not self.fut.done():
            self.fut.set_result({key: versions[key] for key in self.written})

    def fail(self, exc: Exception) -> None:
        """Answer the caller with an error."""
        if not self.fut.done():
            self.fut.set_exception(exc)
