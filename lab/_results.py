"""The results of `lab.capacity` as stored in its output file."""

from __future__ import annotations

import msgspec

from lab._lines import Line, fit_line
from lab._readings import Reading


class Point(msgspec.Struct):
    """The values measured at one size, by name."""

    size: float
    values: dict[str, float]


class PartResult(msgspec.Struct):
    """The points of one part.

    `size` says what the sizes of the points count, `at` is the time of the measurement.
    """

    size: str
    at: str
    points: list[Point]

    def lines(self) -> dict[str, Line]:
        """Return a fitted line for each value that all points have, by name."""
        sizes = [point.size for point in self.points]
        if len(set(sizes)) < 2:
            return {}
        names = set.intersection(*(set(point.values) for point in self.points))
        return {
            name: fit_line(sizes, [point.values[name] for point in self.points])
            for name in sorted(names)
        }


def make_point(size: float, reading: Reading) -> Point:
    """Return a point with the values of `reading` at `size`."""
    values = {
        "cpu_ms": reading.cpu_ms,
        "cpu_ms_most": reading.cpu_ms_most,
        "platform_cpu_ms": reading.platform_cpu_ms,
        "pss_mib": reading.pss_mib,
        "pss_mib_most": reading.pss_mib_most,
        "bytes": reading.total_bytes,
        "table_reads": reading.table_reads,
        "table_commits": reading.table_commits,
        "table_rows": reading.table_rows,
    }
    for kind, value in reading.bytes_a_second.items():
        values[f"bytes_{kind}"] = value
    return Point(size, values)
