"""Tests of the ratios that correct declared CPU usage and run times."""

from statistics import median

from hypothesis import given
from hypothesis import strategies as st

from cassiaweir.placement._estimates import (
    MAX_FACTOR,
    MIN_FACTOR,
    MIN_SAMPLES,
    WINDOW_SAMPLES,
    RatioWindow,
)


@given(st.lists(st.floats(0, 2 * MAX_FACTOR), max_size=3 * WINDOW_SAMPLES))
def test_the_factor_is_the_median_of_the_last_ratios_within_bounds(ratios):
    window = RatioWindow()
    for ratio in ratios:
        window.add(ratio)
    last = [min(max(r, MIN_FACTOR), MAX_FACTOR) for r in ratios]
    last = last[-WINDOW_SAMPLES:]
    expected = median(last) if len(last) >= MIN_SAMPLES else 1.0
    assert window.factor == expected
