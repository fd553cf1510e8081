"""Removes rows on condition that they are unchanged since they were read."""

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
    """Delete `rows` in one transaction and count them in the metrics as `kind`.

    Returns False, and deletes none, if a row is no longer at the given version or one
    of `checks` fails.  Raises `UnavailableError`.  The rows may have been deleted then,
    which is harmless: they are missing when they are read again.
    """
    versions = [Check(row.key, row.version) for row in rows]
    try:
        await table.commit([*versions, *checks], [Write(row.key, None) for row in rows])
    except ConflictError:
        metrics.count("retention_races", kind=kind)
        return False
    metrics.count("retention_rows_removed", len(rows), kind=kind)
    return True


def record_malformed_row(events: EventLog, row: Row, exc: Exception) -> None:
    """Record that `row` cannot be decoded; it is kept for an operator to inspect."""
    events.record("row_malformed", row.key, error=str(exc))
