"""Removes rows of the version that was judged."""

from __future__ import annotations

from collections.abc import Sequence

from cassiaweir.exceptions import ConflictError
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.types import Check, Row, Table, Write


async def remove_unchanged(
    table: Table,
    rows: Sequence[Row],
    checks: Sequence[Check],
    metrics: Metrics,
    *,
    kind: str,
) -> bool:
    """Delete `rows` together; return False where one or a check has changed.

    Raises `UnavailableError`.  The rows may be gone then, which does no harm: the
    next look finds out.
    """
    versions = [Check(row.key, row.version) for row in rows]
    try:
        await table.commit([*versions, *checks], [Write(row.key, None) for row in rows])
    except ConflictError:
        metrics.count("retention_races", kind=kind)
        return False
    metrics.count("retention_rows_removed", len(rows), kind=kind)
    return True


def note_malformed(events: EventLog, row: Row, exc: Exception) -> None:
    """Tell of a row that cannot be read; it stays for somebody to look at."""
    events.record("row_malformed", row.key, error=str(exc))
