"""The commit of one caller while it waits in the queue or in a batch."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from cassiaweir.types import Check, Row, Write


@dataclass(slots=True, eq=False)
class PendingCommit:
    """The checks and writes of one caller, and the future that gets the result."""

    checks: list[Check]
    writes: list[Write]
    future: asyncio.Future[dict[str, int]]

    @property
    def rows(self) -> int:
        """The rows by which the commit counts towards the limits of batch and queue."""
        return max(len(self.writes), 1)

    @property
    def written_keys(self) -> set[str]:
        """The keys that the commit writes."""
        return {write.key for write in self.writes}

    @property
    def touched_keys(self) -> set[str]:
        """The keys that the commit writes or checks."""
        return self.written_keys | {check.key for check in self.checks}

    @property
    def safe_to_repeat(self) -> bool:
        """Whether the commit can take effect at most once when it is repeated.

        That is so if it checks a row that it also writes: having taken effect, it
        makes its own check fail.
        """
        written_keys = self.written_keys
        return any(check.key in written_keys for check in self.checks)

    @property
    def proves_single_application(self) -> bool:
        """Whether success proves that no other request for this commit took effect.

        It does if the commit checks a version of a row that it writes, as a key never
        returns to an earlier version.  A check that a row is absent proves nothing, as
        another process may have deleted the row since.
        """
        written_keys = self.written_keys
        return any(check.key in written_keys and check.version for check in self.checks)

    def checks_pass(self, rows: Mapping[str, Row]) -> bool:
        """Return whether all checks hold, where `rows` has all rows that exist."""
        return all(
            check.version == (rows[check.key].version if check.key in rows else 0)
            for check in self.checks
        )

    def succeed(self, versions: Mapping[str, int]) -> None:
        """Give the caller the new versions of its rows, unless it has a result."""
        if not self.future.done():
            self.future.set_result({key: versions[key] for key in self.written_keys})

    def fail(self, exc: Exception) -> None:
        """Give the caller an error, unless it has a result."""
        if not self.future.done():
            self.future.set_exception(exc)
