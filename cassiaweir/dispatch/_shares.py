"""Detects the jobs that a customer submits faster than its share allows."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareAllowance:
    """How many jobs a customer may submit in any time of `window_s` seconds.

    That is what its weight in jobs a second allows, the share `overage` more, and
    `slack` jobs more, but at least one.
    """

    window_s: float = 1.0
    overage: float = 0.0
    slack: int = 0

    def limit(self, weight: float) -> float:
        """Return the jobs that a customer of `weight` may submit in a window."""
        return max(weight * self.window_s * (1 + self.overage) + self.slack, 1.0)


class ShareMeter:
    """Counts the jobs of each customer in a sliding window of submission times.

    A job that finds the allowance used up is beyond the share, and does not count.
    """

    def __init__(self, allowance: ShareAllowance | None = None) -> None:
        self._allowance = allowance or ShareAllowance()
        self._times: dict[str, deque[float]] = {}

    def record_submission(self, customer: str, weight: float, at: float) -> bool:
        """Count a job submitted at `at`; return whether it is beyond the share.

        `weight` is the customer's share in jobs a second, `at` in Unix seconds.
        """
        if not self.has_share_left(customer, weight, at):
            return True
        self._times[customer].append(at)
        return False

    def has_share_left(self, customer: str, weight: float, at: float) -> bool:
        """Return whether a job submitted at `at` would be within the share."""
        times = self._times.setdefault(customer, deque())
        while times and times[0] <= at - self._allowance.window_s:
            times.popleft()
        return len(times) + 1 <= self._allowance.limit(weight)
