"""Bounds retries to a part of the requests."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
MOST_SAVED_RETRIES = 10.0


class RetryBudget:
    """Earns a tenth of a retry with each request and saves up a small burst."""

    def __init__(self) -> None:
        self._saved = MOST_SAVED_RETRIES

    def earn(self) -> None:
        """Count one request."""
        self._saved = min(MOST_SAVED_RETRIES, self._saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry; return False where none is left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
