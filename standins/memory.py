"""An in-memory table with outages and lost responses.

Tests use it directly, and the simulated table service serves it over HTTP.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.types import Check, Row, Write
from cassiaweir.verdict import Verdict


@dataclass(slots=True)
class HeldCommit:
    """A commit that got no response and takes effect later."""

    checks: list[Check]
    writes: list[Write]


class MemoryTable:
    """Implements the `Table` protocol in memory.

    `down`: every call fails as not run.
    `lose_answers`: number of coming commits that take effect although the caller
    gets no response.
    `hold_commits`: number of coming commits that get no response and are kept in
    `held` until `apply_held`.
    `lose_requests`: number of coming commits that never take effect and get no
    response.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._version = 0
        self.down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.hold_commits = 0
        self.held: list[HeldCommit] = []
        self.reads = 0
        self.commits = 0
        self.rows_written = 0

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among `keys`."""
        self._require_up()
        self.reads += 1
        return {key: self._rows[key] for key in keys if key in self._rows}

    async def scan(self, prefix: str, *, after: str = "", limit: int = 0) -> list[Row]:
        """Return rows whose key starts with `prefix` and follows `after`, by key.

        At most `limit` rows are returned, or all if it is 0.
        """
        self._require_up()
        self.reads += 1
        found = [key for key in self._rows if key.startswith(prefix) and key > after]
        return [self._rows[key] for key in sorted(found)[: limit or None]]

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Apply all `writes` if all `checks` pass, and return the new versions."""
        self._require_up()
        if self.lose_requests:
            self.lose_requests -= 1
            raise UnavailableError(
                "commit request lost: the fault `lose_requests` is set",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        if self.hold_commits:
            self.hold_commits -= 1
            self.held.append(HeldCommit(list(checks), list(writes)))
            raise UnavailableError(
                "commit held, no response: the fault `hold_commits` is set",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        versions = self.apply(checks, writes)
        if self.lose_answers:
            self.lose_answers -= 1
            raise UnavailableError(
                "commit response lost: the fault `lose_answers` is set",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return versions

    def apply(self, checks: Sequence[Check], writes: Sequence[Write]) -> dict[str, int]:
        """Apply one transaction, ignoring the faults, or raise `ConflictError`."""
        for check in checks:
            self._check_version(check)
        self.commits += 1
        self.rows_written += len(writes)
        self._version += 1
        for write in writes:
            self._apply_write(write)
        return {write.key: self._version for write in writes}

    def apply_held(self) -> int:
        """Apply the held commits whose checks still pass, and return their number."""
        held, self.held = self.held, []
        applied = 0
        for commit in held:
            try:
                self.apply(commit.checks, commit.writes)
            except ConflictError:
                continue
            applied += 1
        return applied

    def _require_up(self) -> None:
        if self.down:
            raise UnavailableError(
                "table unavailable: the fault `down` is set", verdict=Verdict.NOT_RUN
            )

    def _check_version(self, check: Check) -> None:
        row = self._rows.get(check.key)
        version = row.version if row else 0
        if version != check.version:
            raise ConflictError(
                f"{check.key} is at version {version}, expected {check.version}"
            )

    def _apply_write(self, write: Write) -> None:
        if write.value is None:
            self._rows.pop(write.key, None)
        else:
            self._rows[write.key] = Row(write.key, self._version, write.value)
