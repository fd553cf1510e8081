"""Retry budget: limits retries to a fraction of the requests."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Token bucket of retries, which each request fills by `RETRIES_PER_REQUEST`."""

    def __init__(self) -> None:
        self._balance = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Add the fraction of a retry that one request earns."""
        self._balance = min(MAX_SAVED_RETRIES, self._balance + RETRIES_PER_REQUEST)

    def try_withdraw(self) -> bool:
        """Take one retry; return False if less than one is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
