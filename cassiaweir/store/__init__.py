"""Helpers for the table: group commit of small commits, and scans in pages."""

from cassiaweir.store._group_commit import GroupCommit
from cassiaweir.store._pages import scan_in_pages

__all__ = ["GroupCommit", "scan_in_pages"]
