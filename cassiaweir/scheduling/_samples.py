"""Turns the progress that reports show into samples of the rate of a task."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

MIN_GAIN_PERCENT = 8.0
"""Progress from which a sample is taken.

Progress is reported in whole percents, so the gain is wrong by up to 1 percent; at 8
percent the standard error of the rate is 5%.
"""


class Progress(NamedTuple):
    """The progress that a task made within `elapsed_s`."""

    percent: float
    elapsed_s: float


@dataclass(slots=True)
class ProgressSampler:
    """Cuts the progress of one run into samples; times are those of its server's clock.

    `began_at` is when the run began, None if that is unknown.  `percent` and `at` are
    the end of the last sample, `at` is None before the first reading.
    """

    percent: float = 0.0
    at: float | None = None
    began_at: float | None = None

    def begin(self, began_at: float) -> None:
        """Note when the run began from the start, before the first reading."""
        self.began_at = self.at = began_at

    def read(self, percent: float, at: float) -> Progress | None:
        """Return a sample if enough progress was made since the last one.

        Readings outside of 0 to 100 percent, and those below the last sample, change
        nothing.
        """
        if not self.percent <= percent <= 100:
            return None
        if self.at is None:
            self.percent, self.at = percent, at
            return None
        gained, elapsed_s = percent - self.percent, at - self.at
        if gained < MIN_GAIN_PERCENT or elapsed_s <= 0:
            return None
        self.percent, self.at = percent, at
        return Progress(gained, elapsed_s)

    def end(self, at: float) -> Progress | None:
        """Return the progress since the last sample of a run that ended as done."""
        if self.at is None or at < self.at:
            return None
        gained, elapsed_s = 100 - self.percent, at - self.at
        self.percent, self.at = 100.0, at
        return Progress(gained, elapsed_s) if gained > 0 else None
