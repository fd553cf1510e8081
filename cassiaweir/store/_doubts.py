"""Transactions without an answer, which the table may still apply later."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.types import Check, Clock, Table, Write
from cassiaweir.verdict import Verdict

DOUBT_RETENTION = timedelta(seconds=60)
"""A transaction that the table has not applied for this long is never applied."""


@dataclass(frozen=True, slots=True, eq=False)
class _Doubt:
    """A transaction without an answer, and when it was sent."""

    checks: Sequence[Check]
    writes: Sequence[Write]
    sent_at: float

    def may_undo(self, written_keys: Collection[str]) -> bool:
        """Return whether it could overwrite a later write of `written_keys`.

        It cannot if the later one also writes a row that this one checks, because the
        check fails from then on.
        """
        overlapping = any(write.key in written_keys for write in self.writes)
        return overlapping and not self.is_voided_by(written_keys)

    def is_voided_by(self, written_keys: Collection[str]) -> bool:
        """Return whether writing `written_keys` makes a check of this one fail."""
        return any(check.key in written_keys for check in self.checks)


class DoubtfulTransactions:
    """Remembers transactions without an answer and settles them before later ones.

    A transaction that checks none of the rows that it writes is not remembered: sent
    again, it might take effect twice.
    """

    def __init__(self, table: Table, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._doubts: list[_Doubt] = []

    def add(self, checks: Sequence[Check], writes: Sequence[Write]) -> None:
        """Remember a transaction that was just sent and got no answer."""
        written_keys = {write.key for write in writes}
        if any(check.key in written_keys for check in checks):
            self._doubts.append(_Doubt(checks, writes, self._clock.monotonic()))

    def note_applied(self, writes: Sequence[Write]) -> None:
        """Forget the transactions that can take no effect after these writes.

        A deleted row may have the version that a check for its absence expects, so
        deletions settle nothing.
        """
        stored_keys = {write.key for write in writes if write.value is not None}
        self._keep(lambda doubt: not doubt.is_voided_by(stored_keys))

    async def settle_before(self, writes: Sequence[Write]) -> None:
        """Settle the transactions that could undo `writes` if they came later.

        Each is sent again with its own checks.  Whether it takes effect now or its
        checks fail, the first attempt has no effect from then on.  Raises
        `UnavailableError` with verdict `NOT_RUN` if that stays unknown.
        """
        oldest = self._clock.monotonic() - DOUBT_RETENTION.total_seconds()
        self._keep(lambda doubt: doubt.sent_at >= oldest)
        written_keys = {write.key for write in writes}
        for doubt in list(self._doubts):
            # Settling one may have settled others, which are no longer remembered.
            if doubt in self._doubts and doubt.may_undo(written_keys):
                await self._settle(doubt)

    async def _settle(self, doubt: _Doubt) -> None:
        try:
            await self._table.commit(doubt.checks, doubt.writes)
        except ConflictError:
            self._doubts.remove(doubt)
        except UnavailableError as exc:
            raise UnavailableError(
                f"an earlier write of the same rows is still in doubt: {exc}",
                verdict=Verdict.NOT_RUN,
            ) from exc
        else:
            self._doubts.remove(doubt)
            self.note_applied(doubt.writes)

    def _keep(self, wanted: Callable[[_Doubt], bool]) -> None:
        self._doubts = [doubt for doubt in self._doubts if wanted(doubt)]
