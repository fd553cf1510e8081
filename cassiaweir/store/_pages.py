"""Reads the rows under a prefix in pages, so that each answer stays small."""

from __future__ import annotations

from cassiaweir.types import Row, Table

ROWS_PER_PAGE = 500


async def scan_in_pages(
    table: Table, prefix: str, *, page: int = ROWS_PER_PAGE
) -> list[Row]:
    """Return all rows whose key starts with `prefix`, ordered by key.

    Each page is a snapshot of its own: a row that is written meanwhile may be missing.
    Raises `UnavailableError` where any page got no answer.
    """
    found: list[Row] = []
    after = ""
    while True:
        rows = await table.scan(prefix, after=after, limit=page)
        found += rows
        if len(rows) < page:
            return found
        after = rows[-1].key
