"""Tests of the observed ratios that correct declared sizes and run times."""

from statistics import median

from hypothesis import given
from hypothesis import strategies as st

from cassiaweir.placement._estimates import (
    FEWEST_SAMPLES,
    HIGHEST_FACTOR,
    LOWEST_FACTOR,
    WINDOW_SAMPLES,
    RatioWindow,
)


@given(st.lists(st.floats(0, 2 * HIGHEST_FACTOR), max_size=3 * WINDOW_SAMPLES))
def test_the_factor_is_the_median_of_the_last_ratios_within_bounds(ratios):
    window = RatioWindow()
    for ratio in ratios:
        window.add(ratio)
    last = [min(max(r, LOWEST_FACTOR), HIGHEST_FACTOR) for r in ratios]
    last = last[-WINDOW_SAMPLES:]
    expected = median(last) if len(last) >= FEWEST_SAMPLES else 1.0
    assert window.factor == expected
