"""The settings `retention.*` as one value."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RetentionOptions:
    """How long rows are kept and how fast they are scanned.

    Each field bears the name of its setting `retention.*`.  `jobs` and `claims` are
    the periods for which a job or claim is kept after it ended, by wall clocks; `jobs`
    also applies to the last uses of withdrawn keys.  `watch` is how long a process
    must have seen a row unchanged, by its own monotonic clock, before it removes the
    row.  `bundles` is the number of newest bundle versions that are kept.
    `rows_per_second` limits how many rows a process scans.
    """

    jobs: timedelta
    claims: timedelta
    watch: timedelta
    bundles: int
    rows_per_second: int
