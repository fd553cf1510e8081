"""Bounds how much accepted work of customers the leader has to keep in memory."""

from __future__ import annotations

from collections.abc import Mapping

MAX_OPEN_STEPS = 30_000
MAX_OPEN_STEPS_OF_CUSTOMER = 10_000
"""Steps of open jobs; each takes 2 to 6 kB of the leader's memory."""


def crowded_customers(open_steps: Mapping[str, int]) -> frozenset[str]:
    """Return the customers of which no more jobs may be accepted.

    `open_steps` holds the steps of each customer's open jobs.  These are customers at
    their own limit and, once all together are at the common one, those with more than
    the average, so that one customer cannot take the room of the others.
    """
    total = sum(open_steps.values())
    limit = MAX_OPEN_STEPS_OF_CUSTOMER
    if total >= MAX_OPEN_STEPS:
        limit = min(limit, total // len(open_steps))
    return frozenset(name for name, steps in open_steps.items() if steps >= limit)
