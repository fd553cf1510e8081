"""Audited transactions: a change and its audit row are written together or not."""

from __future__ import annotations

import secrets
from collections.abc import Sequence

import msgspec

from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.store import scan_in_pages
from cassiaweir.types import Check, Clock, Table, Write
from cassiaweir.verdict import Verdict

AUDIT_PREFIX = "audit/"
TOKEN_BYTES = 8
MOST_ATTEMPTS = 4


class AuditEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """The row `audit/<area>/<version>/<token>`; `at` is for display only.

    `digest` is that of the bundle or key concerned.  An entry exists only for a
    change that took effect.
    """

    at: str
    operator: str
    action: str
    area: str
    version: int
    digest: str = ""
    detail: str = ""
    outcome: str = "done"


class AuditedTable:
    """Commits changes with their audit rows and settles answers that were lost.

    The key of the audit row is new with every change.  So the row tells, for good,
    whether a commit without an answer took effect.
    """

    def __init__(self, table: Table, clock: Clock) -> None:
        self.table = table
        self._clock = clock

    async def commit(
        self,
        operator: str,
        action: str,
        checks: Sequence[Check],
        writes: Sequence[Write],
        *,
        area: str,
        version: int,
        digest: str = "",
        detail: str = "",
    ) -> None:
        """Apply `writes` and the audit row if all `checks` hold.

        At least one check must be on a row that is written: repeating the commit is
        then harmless.  Raises `ConflictError` where a check failed, and
        `UnavailableError` with MAY_HAVE_RUN where the outcome stayed unknown.
        """
        entry = AuditEntry(
            at=self._clock.now().isoformat(),
            operator=operator,
            action=action,
            area=area,
            version=version,
            digest=digest,
            detail=detail,
        )
        token = secrets.token_hex(TOKEN_BYTES)
        key = f"{AUDIT_PREFIX}{area}/{version:010d}/{token}"
        audited = [*writes, Write(key, msgspec.json.encode(entry))]
        await self._settle(key, checks, audited)

    async def entries(self, area: str = "") -> list[AuditEntry]:
        """Return the audit rows of `area`, or all of them, by area and version."""
        rows = await scan_in_pages(self.table, f"{AUDIT_PREFIX}{area}")
        return [msgspec.json.decode(row.value, type=AuditEntry) for row in rows]

    async def _settle(
        self, key: str, checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        """Commit, and after a lost answer read back and commit again."""
        doubtful = False
        for _attempt in range(MOST_ATTEMPTS):
            try:
                await self.table.commit(checks, writes)
                return
            except ConflictError:
                # The first commit may be what moved the row that was checked.
                if doubtful and await self._applied(key):
                    return
                raise
            except UnavailableError as exc:
                if exc.verdict is Verdict.NOT_RUN and not doubtful:
                    raise
                doubtful = True
            if await self._applied(key):
                return
        raise UnavailableError(
            "the table gave no answer; read the state back before trying again",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _applied(self, key: str) -> bool:
        """Tell whether the audit row `key` exists; errors leave the change in doubt."""
        try:
            return key in await self.table.read([key])
        except UnavailableError as exc:
            raise UnavailableError(
                "the table gave no answer and cannot be read back",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from exc
