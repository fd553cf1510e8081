"""Counters, gauges and HDR histograms, rendered in the Prometheus text format."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MIN_TRACKED_MICROSECONDS = 1
MAX_TRACKED_MICROSECONDS = 60_000_000
"""Durations outside of these two bounds are recorded as the nearer bound."""
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MICROSECONDS_PER_SECOND = 1_000_000

Labels = tuple[tuple[str, str], ...]
"""The names and values of the labels of a time series, sorted by name."""


@dataclass(slots=True)
class Metrics:
    """The metrics of one process.

    Give labels few distinct values: there is one histogram for each combination of
    them, and a histogram takes about 20 KB.
    """

    _counters: dict[tuple[str, Labels], float] = field(default_factory=dict)
    _gauges: dict[tuple[str, Labels], float] = field(default_factory=dict)
    _histograms: dict[tuple[str, Labels], HdrHistogram] = field(default_factory=dict)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add `amount` to the counter `name`."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge `name` to `value`."""
        self._gauges[(name, tuple(sorted(labels.items())))] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration of `seconds` in the histogram `name`."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_TRACKED_MICROSECONDS, MAX_TRACKED_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._histograms[key] = histogram
        micros = int(seconds * MICROSECONDS_PER_SECOND)
        bounded = min(max(micros, MIN_TRACKED_MICROSECONDS), MAX_TRACKED_MICROSECONDS)
        histogram.record_value(bounded)

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"cassiaweir_{name}_total{_label_text(labels)} {value:g}")
        for (name, labels), value in sorted(self._gauges.items()):
            lines.append(f"cassiaweir_{name}{_label_text(labels)} {value:g}")
        for (name, labels), histogram in sorted(self._histograms.items()):
            lines += _histogram_lines(name, labels, histogram)
        return "\n".join(lines) + "\n"


def _label_text(labels: Labels) -> str:
    """Return `labels` in braces, or an empty string if there are none."""
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{_escape(value)}"' for key, value in labels) + "}"


def _escape(value: str) -> str:
    """Return a label value with backslashes, quotes and line breaks escaped."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _histogram_lines(name: str, labels: Labels, histogram: HdrHistogram) -> list[str]:
    """Return the lines for the quantiles, in seconds, and the count of a histogram."""
    lines = []
    for quantile in QUANTILES:
        micros = histogram.get_value_at_percentile(quantile * 100)
        seconds = micros / MICROSECONDS_PER_SECOND
        text = _label_text((*labels, ("quantile", str(quantile))))
        lines.append(f"cassiaweir_{name}_seconds{text} {seconds:g}")
    count = histogram.get_total_count()
    lines.append(f"cassiaweir_{name}_seconds_count{_label_text(labels)} {count}")
    return lines
