"""Detects the jobs that a customer submits faster than its share allows."""

from __future__ import annotations

from dataclasses import dataclass

BURST_S = 1.0
"""A customer may submit the jobs that its share allows for this time at once."""


@dataclass(slots=True)
class _Bucket:
    """The tokens of one customer as of `updated_at`, in Unix seconds."""

    tokens: float
    updated_at: float


class ShareMeter:
    """A token bucket for each customer, filled with `weight` tokens a second.

    Each submitted job takes one token; a job that finds none is beyond the share.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def record_submission(self, customer: str, weight: float, at: float) -> bool:
        """Count a job submitted at `at`; return whether it is beyond the share.

        `weight` is the customer's share in jobs a second.
        """
        bucket = self._refill(customer, weight, at)
        if bucket.tokens < 1.0:
            return True
        bucket.tokens -= 1.0
        return False

    def has_share_left(self, customer: str, weight: float, at: float) -> bool:
        """Return whether a job submitted at `at` would be within the share."""
        return self._refill(customer, weight, at).tokens >= 1.0

    def _refill(self, customer: str, weight: float, at: float) -> _Bucket:
        """Return the customer's bucket with the tokens that it has at `at`."""
        capacity = max(weight * BURST_S, 1.0)
        bucket = self._buckets.setdefault(customer, _Bucket(capacity, at))
        elapsed = max(at - bucket.updated_at, 0.0)
        bucket.tokens = min(bucket.tokens + elapsed * weight, capacity)
        bucket.updated_at = max(at, bucket.updated_at)
        return bucket
