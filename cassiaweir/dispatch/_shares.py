"""Tells which jobs a customer submits beyond its share."""

from __future__ import annotations

from dataclasses import dataclass

BURST_S = 1.0
"""A customer may use up the share of so long at once."""


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class ShareMeter:
    """A token bucket per customer that fills with `weight` jobs a second."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def record_submission(self, customer: str, weight: float, at: float) -> bool:
        """Count a job submitted at `at`; tell whether it goes beyond the share."""
        most = max(weight * BURST_S, 1.0)
        bucket = self._buckets.setdefault(customer, _Bucket(most, at))
        elapsed = max(at - bucket.filled_at, 0.0)
        bucket.tokens = min(bucket.tokens + elapsed * weight, most)
        bucket.filled_at = max(at, bucket.filled_at)
        if bucket.tokens < 1.0:
            return True
        bucket.tokens -= 1.0
        return False
