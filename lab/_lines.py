"""Fits straight lines to what was measured at several sizes."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    `misfit` is the largest distance of a point, as a part of the largest value.
    """

    base: float
    slope: float
    misfit: float

    def at(self, size: float) -> float:
        """Return the value of the line at `size`."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least-squares line through the points.

    Raises `ValueError` where there are fewer than two different sizes.
    """
    if len(set(sizes)) < 2:
        raise ValueError("a line needs two different sizes")
    count = len(sizes)
    mean_size = math.fsum(sizes) / count
    mean_value = math.fsum(values) / count
    spread = math.fsum((size - mean_size) ** 2 for size in sizes)
    product = math.fsum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = product / spread
    base = mean_value - slope * mean_size
    return Line(base, slope, _misfit(base, slope, sizes, values))


def _misfit(
    base: float, slope: float, sizes: Sequence[float], values: Sequence[float]
) -> float:
    """Return the largest distance from the line over the largest value."""
    largest = max(map(abs, values))
    if largest == 0:
        return 0.0
    distances = (
        abs(value - base - slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    return max(distances) / largest
