"""Removes rows of the table that nobody needs any more."""

from cassiaweir.retention._bundles import BundleRule
from cassiaweir.retention._claims import ClaimRule
from cassiaweir.retention._division import Division
from cassiaweir.retention._jobs import JobRule
from cassiaweir.retention._key_uses import KeyUseRule
from cassiaweir.retention._options import RetentionOptions
from cassiaweir.retention._retention import Retention

__all__ = [
    "BundleRule",
    "ClaimRule",
    "Division",
    "JobRule",
    "KeyUseRule",
    "Retention",
    "RetentionOptions",
]
