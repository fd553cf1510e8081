"""Audited transactions: a change and its audit row are committed atomically."""

from __future__ import annotations

import secrets
from collections.abc import Sequence

import msgspec

from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.store import scan_in_pages
from cassiaweir.types import Check, Clock, Table, Write
from cassiaweir.verdict import Verdict

AUDIT_PREFIX = "audit/"
AUDIT_TOKEN_BYTES = 8
"""Length of the random token that makes the key of each audit row unique."""

MAX_COMMIT_ATTEMPTS = 4


class AuditEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """The row `audit/<area>/<version>/<token>`: one change by an operator.

    `at` is the wall-clock time in ISO 8601 format, for display only.  `digest` is
    that of the bundle, key or operator credential that was changed, and `detail`
    says more about it, such as the name of an operator.  An entry exists only for a
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
    """Commits changes with their audit rows, and finds out about lost answers.

    Every change has an audit row with a new, unique key.  Whether that row exists
    therefore shows whether a commit that got no answer took effect.
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

        At least one check must be on a row that is written: once the commit has been
        applied, that check fails, so that repeating the commit changes nothing.

        Raises `ConflictError` if a check fails.  Raises `UnavailableError` with
        verdict NOT_RUN if the change was not applied, or with MAY_HAVE_RUN if the
        outcome is still unknown after the retries.
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
        token = secrets.token_hex(AUDIT_TOKEN_BYTES)
        key = f"{AUDIT_PREFIX}{area}/{version:010d}/{token}"
        audited_writes = [*writes, Write(key, msgspec.json.encode(entry))]
        await self._commit_until_known(key, checks, audited_writes)

    async def entries(self, area: str = "") -> list[AuditEntry]:
        """Return the audit rows whose area starts with `area`, by area and version.

        By default these are all rows.
        """
        rows = await scan_in_pages(self.table, f"{AUDIT_PREFIX}{area}")
        return [msgspec.json.decode(row.value, type=AuditEntry) for row in rows]

    async def _commit_until_known(
        self, key: str, checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        """Commit; after a lost answer, look for the audit row `key` and retry."""
        outcome_unknown = False
        for _attempt in range(MAX_COMMIT_ATTEMPTS):
            try:
                await self.table.commit(checks, writes)
                return
            except ConflictError:
                # An earlier attempt that got no answer may have been applied and
                # have changed the checked row itself.
                if outcome_unknown and await self._audit_row_exists(key):
                    return
                raise
            except UnavailableError as exc:
                if exc.verdict is Verdict.NOT_RUN and not outcome_unknown:
                    raise
                outcome_unknown = True
            if await self._audit_row_exists(key):
                return
        raise UnavailableError(
            f"the outcome of the change is unknown after {MAX_COMMIT_ATTEMPTS} commits "
            "without an answer; read the state back before trying again",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _audit_row_exists(self, key: str) -> bool:
        """Return whether the audit row `key` exists.

        Raises `UnavailableError` with MAY_HAVE_RUN if the table cannot be read, as
        the outcome of the commit is then unknown.
        """
        try:
            return key in await self.table.read([key])
        except UnavailableError as exc:
            raise UnavailableError(
                "the table did not answer the commit and cannot be read back; the "
                "change may have taken effect",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from exc
