"""Tests of `NumberRanges` against a set of numbers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cassiaweir.jobs._number_ranges import NumberRanges


# Guards against occurrences that run again or never, as their numbers are lost or made
# up when ranges are joined.
@given(st.lists(st.integers(0, 40)))
def test_ranges_hold_the_numbers_that_were_added(numbers: list[int]) -> None:
    found = NumberRanges()
    expected: set[int] = set()
    for number in numbers:
        found.add(number)
        expected.add(number)
        assert len(found) == len(expected)
    missing = [number for number in range(50) if number not in expected]
    for number in range(42):
        assert (number in found) == (number in expected)
        assert found.next_missing(number) == min(m for m in missing if m >= number)
    gaps = [
        later[0] - earlier[1]
        for earlier, later in zip(found.ranges, found.ranges[1:], strict=False)
    ]
    assert all(gap > 0 for gap in gaps)
    again = NumberRanges(found.ranges)
    assert again.ranges == found.ranges
