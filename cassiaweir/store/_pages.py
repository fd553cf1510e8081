"""Scans the rows under a key prefix in pages, so that each answer stays small."""

from __future__ import annotations

from cassiaweir.types import Row, Table

ROWS_PER_PAGE = 500


async def scan_in_pages(
    table: Table, prefix: str, *, page: int = ROWS_PER_PAGE
) -> list[Row]:
    """Return all rows whose key starts with `prefix`, ordered by key.

    `page` is the number of rows read by one call.  Each page is a snapshot of its own,
    so a row that is written during the scan may be missing.  Raises `UnavailableError`
    where the read of a page got no answer.
    """
    found: list[Row] = []
    after = ""
    while True:
        rows = await table.scan(prefix, after=after, limit=page)
        found += rows
        if len(rows) < page:
            return found
        after = rows[-1].key
