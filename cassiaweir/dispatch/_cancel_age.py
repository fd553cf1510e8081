"""Decides whether a leader knows well enough which jobs are cancelled."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

MAX_CANCELS_AGE = timedelta(milliseconds=2_500)
"""Nothing starts by an older view of the requests to cancel jobs.

Users rely on no task of a cancelled job starting from 3 s after the acknowledgement;
the rest is for orders on their way.
"""


class CancelAge:
    """Tells whether the leader's view of cancelled jobs is recent.

    A front acknowledges a cancel once it is stored.  Its notification may be lost, and
    the leader then hears of it by its feed of job rows, which may fail while the store
    serves the fronts.  `rows_age` returns how long ago those rows were current for
    sure.
    """

    def __init__(self, rows_age: Callable[[], timedelta]) -> None:
        self._rows_age = rows_age
        self._recent = True

    def is_recent(self) -> bool:
        """Return whether tasks may be started by what is known of cancels now."""
        age = self._rows_age()
        recent = age <= MAX_CANCELS_AGE
        if recent != self._recent:
            self._recent = recent
            logger.info(
                "cancels_recent" if recent else "cancels_too_old",
                age_ms=round(age.total_seconds() * 1_000),
            )
        return recent
