"""Keeps numbers that come from outside within what arithmetic can carry.

A float that is infinite, or an integer beyond the range of floats, makes sums,
quotients and roundings fail or turn into NaN, far from where the number came from.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_UNIX_S = 1e12
"""Bounds points in time, in seconds since 1970; some 30,000 years."""

MAX_DURATION_S = 1e9
"""Bounds durations, in seconds; some 30 years."""


def bounded_float(value: float, limit: float) -> float:
    """Return `value`, or the nearest of `-limit` and `limit` beyond that range.

    NaN, which is near to nothing, becomes 0.
    """
    if value != value:
        return 0.0
    return min(max(value, -limit), limit)


def bounded_int(value: int, limit: int) -> int:
    """Return `value`, or the nearest of `-limit` and `limit` beyond that range."""
    return min(max(value, -limit), limit)


def bound_fields(record: object, limits: Mapping[str, float]) -> None:
    """Bound the fields of a new frozen dataclass that `limits` names.

    The limit of a whole number is an `int`, that of any other number a `float`.
    """
    for name, limit in limits.items():
        value = getattr(record, name)
        if -limit <= value <= limit:
            continue
        if isinstance(limit, int):
            bounded: float = bounded_int(value, limit)
        else:
            bounded = bounded_float(value, limit)
        object.__setattr__(record, name, bounded)
