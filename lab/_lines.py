"""Fits straight lines to values measured at several sizes."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    `misfit` is the largest absolute deviation of a point from the line, divided by the
    largest absolute value.
    """

    intercept: float
    slope: float
    misfit: float

    def at(self, size: float) -> float:
        """Return the value of the line at `size`."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least-squares line through the points.

    Raises `ValueError` where there are fewer than two different sizes.
    """
    if len(set(sizes)) < 2:
        raise ValueError("fitting a line needs at least two different sizes")
    count = len(sizes)
    mean_size = math.fsum(sizes) / count
    mean_value = math.fsum(values) / count
    spread = math.fsum((size - mean_size) ** 2 for size in sizes)
    product = math.fsum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = product / spread
    intercept = mean_value - slope * mean_size
    return Line(intercept, slope, _misfit(intercept, slope, sizes, values))


def _misfit(
    intercept: float, slope: float, sizes: Sequence[float], values: Sequence[float]
) -> float:
    """Return the largest deviation from the line over the largest absolute value."""
    largest = max(map(abs, values))
    if largest == 0:
        return 0.0
    distances = (
        abs(value - intercept - slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    return max(distances) / largest
