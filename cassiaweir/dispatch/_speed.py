"""Tells from the progress of runs which stand still, and how fast a server works."""

from __future__ import annotations

import math
from dataclasses import dataclass

STALL_S = 0.9
"""A run that has made no progress for so long stands still."""

GANG_STALL_S = 2.0
"""Starting a gang again loses the work of all its members."""

GANG_LATE_PERCENT = 50.0
"""A gang without a checkpoint that has got so far is left to go on."""

LEAST_EXPECTED_PERCENT = 3.0
"""Progress comes in whole percents, so a long task may show none for a while."""

ESTIMATE_SLACK = 3.0
"""A task may take so many times its estimate."""

CRAWL_SHARE = 0.35
CRAWL_SAMPLES = 2
"""A run crawls at less than this share of its own best pace for so many samples."""

RESTART_S = 0.5
"""What a move costs besides the work done so far."""

MOVE_GAIN = 1.5
"""A run is moved where staying takes so many times longer."""

SHORTEST_SAMPLE_S = 0.25
WEIGHT = 0.25
SLOW_PACE = 0.45
"""A server that works at less than this share of the usual pace is slow."""

FAST_PACE = 1.1
LONGEST_LOG_SAMPLE = 2.5


@dataclass(slots=True)
class RunProgress:
    """The progress of one run, in percent of its work, as reports have shown it."""

    percent: float = 0.0
    changed_at: float | None = None
    sampled_at: float | None = None
    sampled_percent: float = 0.0
    crawling: int = 0
    speed: float = 0.0
    best_speed: float = 0.0

    def record(self, percent: float, now: float) -> None:
        """Take note of the progress that a report shows."""
        if self.changed_at is None or percent != self.percent:
            self.percent = percent
            self.changed_at = now

    def stalled(
        self, now: float, estimate_s: float, patience_s: float = STALL_S
    ) -> bool:
        """Tell whether the run stands still."""
        if self.changed_at is None or self.percent >= 100:
            return False
        still_s = now - self.changed_at
        expected = still_s * 100 / (estimate_s * ESTIMATE_SLACK)
        return still_s >= patience_s and expected >= LEAST_EXPECTED_PERCENT

    def sample(self, now: float, estimate_s: float) -> float | None:
        """Return the pace since the last sample, 1 being that of the estimate.

        None where too little time has passed.
        """
        if self.sampled_at is None:
            self.sampled_at, self.sampled_percent = now, self.percent
            return None
        elapsed = now - self.sampled_at
        if elapsed < SHORTEST_SAMPLE_S:
            return None
        gained = self.percent - self.sampled_percent
        self.sampled_at, self.sampled_percent = now, self.percent
        self.speed = gained / 100 * estimate_s / elapsed
        crawls = self.speed < CRAWL_SHARE * self.best_speed
        self.crawling = self.crawling + 1 if crawls else 0
        self.best_speed = max(self.best_speed, self.speed)
        return self.speed

    def should_move(self, estimate_s: float) -> bool:
        """Tell whether a new run elsewhere is likely to end much sooner."""
        if self.crawling < CRAWL_SAMPLES or self.speed <= 0:
            return False
        whole_s = estimate_s / self.best_speed
        left_s = (100 - self.percent) / 100 * estimate_s / self.speed
        return left_s > MOVE_GAIN * (whole_s + RESTART_S)


class ServerSpeed:
    """The pace of one server, averaged over its runs; 1 is that of the estimates."""

    def __init__(self) -> None:
        self._log = 0.0

    @property
    def value(self) -> float:
        """The pace."""
        return math.exp(self._log)

    @property
    def slow(self) -> bool:
        """Whether work is better placed elsewhere."""
        return self.value < SLOW_PACE

    @property
    def fast(self) -> bool:
        """Whether the server is quicker than most."""
        return self.value > FAST_PACE

    def record(self, sample: float) -> None:
        """Take note of the pace of one run."""
        if sample <= 0:
            log = -LONGEST_LOG_SAMPLE
        else:
            log = max(min(math.log(sample), LONGEST_LOG_SAMPLE), -LONGEST_LOG_SAMPLE)
        self._log += (log - self._log) * WEIGHT
