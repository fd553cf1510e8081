"""How long rows are kept."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RetentionOptions:
    """How long rows are kept and how fast they are looked at.

    `jobs` and `claims` count from the end of the job or request, by wall clocks.
    `watch` is how long one process must have seen a row unchanged, on its own
    monotonic clock, before it removes it.  `bundles` is the number of the newest
    bundle versions that are kept.  `rows_per_second` bounds what a process reads.
    """

    jobs: timedelta
    claims: timedelta
    watch: timedelta
    bundles: int
    rows_per_second: int
