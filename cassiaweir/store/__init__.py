"""Helpers for the table: group commit, scans in pages, limits of transactions."""

from cassiaweir.store._group_commit import GroupCommit
from cassiaweir.store._pages import scan_in_pages
from cassiaweir.store._transactions import (
    MAX_BYTES,
    MAX_ENTRIES,
    MAX_ROW_BYTES,
    TransactionSize,
)

__all__ = [
    "MAX_BYTES",
    "MAX_ENTRIES",
    "MAX_ROW_BYTES",
    "GroupCommit",
    "TransactionSize",
    "scan_in_pages",
]
