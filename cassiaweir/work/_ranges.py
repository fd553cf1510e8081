"""Converts sets of task indexes to the ranges that rows store, and back."""

from __future__ import annotations

from collections.abc import Iterable

Ranges = list[tuple[int, int]]


def expand_ranges(ranges: Iterable[tuple[int, int]]) -> set[int]:
    """Return all indexes in `ranges`; the second bound of each is exclusive."""
    return {index for first, end in ranges for index in range(first, end)}


def collect_ranges(indexes: Iterable[int]) -> Ranges:
    """Return `indexes` as the fewest half-open ranges, in ascending order."""
    ranges: Ranges = []
    for index in sorted(indexes):
        if ranges and ranges[-1][1] == index:
            ranges[-1] = (ranges[-1][0], index + 1)
        else:
            ranges.append((index, index + 1))
    return ranges
