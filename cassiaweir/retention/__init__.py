"""Removes rows from the platform's table once their retention period is over.

This covers finished jobs, settled claims of requests, superseded bundle versions and
the last-use rows of withdrawn team keys.
"""

from cassiaweir.retention._bundles import BundleRule
from cassiaweir.retention._claims import ClaimRule
from cassiaweir.retention._jobs import JobRule
from cassiaweir.retention._key_uses import KeyUseRule
from cassiaweir.retention._options import RetentionOptions
from cassiaweir.retention._retention import Retention
from cassiaweir.retention._row_groups import GroupOwnership

__all__ = [
    "BundleRule",
    "ClaimRule",
    "GroupOwnership",
    "JobRule",
    "KeyUseRule",
    "Retention",
    "RetentionOptions",
]
