"""A set of whole numbers, kept as ranges."""

from __future__ import annotations

import bisect
from collections.abc import Iterable


class NumberRanges:
    """A set of numbers from 0 on; its memory grows with the number of gaps.

    Ranges are pairs of the first number and the one after the last.
    """

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._ranges = [(first, end) for first, end in sorted(ranges) if first < end]

    def __contains__(self, number: int) -> bool:
        """Return whether `number` is in the set."""
        return self._at_or_before(number)[1] > number

    def __len__(self) -> int:
        """Return how many numbers are in the set."""
        return sum(end - first for first, end in self._ranges)

    @property
    def ranges(self) -> list[tuple[int, int]]:
        """The ranges in ascending order, with gaps between them."""
        return list(self._ranges)

    def add(self, number: int) -> None:
        """Add `number`, unless it is in the set."""
        position = bisect.bisect_right(self._ranges, (number, number))
        first, end = number, number + 1
        if position < len(self._ranges) and self._ranges[position][0] <= end:
            if self._ranges[position][0] == number:
                return
            end = self._ranges.pop(position)[1]
        if position and self._ranges[position - 1][1] >= number:
            if self._ranges[position - 1][1] > number:
                return
            first = self._ranges.pop(position - 1)[0]
            position -= 1
        self._ranges.insert(position, (first, end))

    def next_missing(self, number: int) -> int:
        """Return the first number from `number` on that is not in the set."""
        return max(self._at_or_before(number)[1], number)

    def _at_or_before(self, number: int) -> tuple[int, int]:
        """Return the last range that begins at `number` or before, empty if none."""
        position = bisect.bisect_right(self._ranges, number, key=lambda each: each[0])
        return self._ranges[position - 1] if position else (0, 0)
