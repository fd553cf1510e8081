"""Detects stalled and crawling runs from the progress that servers report.

A speed of 1 is that at which a run would take exactly its estimated time.
"""

from __future__ import annotations

from dataclasses import dataclass

STALL_S = 0.9
"""Time without progress after which a run counts as stalled."""

GANG_STALL_S = 2.0
"""The same for a gang, whose restart loses the work of all its members."""

GANG_KEEP_PERCENT = 50.0
"""Progress from which a stalled gang without a checkpoint is not restarted."""

MIN_EXPECTED_PERCENT = 3.0
"""Progress that a run must be expected to have made before it counts as stalled.

Progress is reported in whole percents, so a long task may show none for a while.
"""

ESTIMATE_SLACK = 3.0
"""Factor by which a task may exceed its estimated time."""

CRAWL_SPEED_RATIO = 0.35
"""A run crawls while its speed is below this share of its own best speed."""

CRAWL_SAMPLES = 2
"""Consecutive crawling samples after which a run may be moved."""

RESTART_S = 0.5
"""Time that moving a run costs in addition to the work done so far."""

MIN_MOVE_GAIN = 1.5
"""A run is moved if staying takes more than this many times as long as moving."""

MIN_SAMPLE_S = 0.25


@dataclass(slots=True)
class RunProgress:
    """The progress of one run, in percent of its work, as reports have shown it.

    `changed_at` is the time at which the progress last changed.  `sampled_at` and
    `sampled_percent` belong to the last speed sample.  `crawl_samples` counts the
    crawling samples in a row.  All times are seconds on the leader's clock.
    """

    percent: float = 0.0
    changed_at: float | None = None
    sampled_at: float | None = None
    sampled_percent: float = 0.0
    crawl_samples: int = 0
    speed: float = 0.0
    best_speed: float = 0.0

    def record(self, percent: float, now: float) -> None:
        """Record the progress that a report shows."""
        if self.changed_at is None or percent != self.percent:
            self.percent = percent
            self.changed_at = now

    def stalled(self, now: float, estimate_s: float, stall_s: float = STALL_S) -> bool:
        """Return whether the run has stalled.

        It has if it made no progress for at least `stall_s` although it should have by
        its estimate.
        """
        if self.changed_at is None or self.percent >= 100:
            return False
        unchanged_s = now - self.changed_at
        expected_percent = unchanged_s * 100 / (estimate_s * ESTIMATE_SLACK)
        return unchanged_s >= stall_s and expected_percent >= MIN_EXPECTED_PERCENT

    def sample(self, now: float, estimate_s: float) -> float | None:
        """Return the speed since the last sample.

        Return None at the first call, which only begins the first sample, and if less
        than `MIN_SAMPLE_S` has passed since the last sample.
        """
        if self.sampled_at is None:
            self.sampled_at, self.sampled_percent = now, self.percent
            return None
        elapsed_s = now - self.sampled_at
        if elapsed_s < MIN_SAMPLE_S:
            return None
        gained_percent = self.percent - self.sampled_percent
        self.sampled_at, self.sampled_percent = now, self.percent
        self.speed = gained_percent / 100 * estimate_s / elapsed_s
        crawls = self.speed < CRAWL_SPEED_RATIO * self.best_speed
        self.crawl_samples = self.crawl_samples + 1 if crawls else 0
        self.best_speed = max(self.best_speed, self.speed)
        return self.speed

    def should_move(self, estimate_s: float) -> bool:
        """Return whether a new run on another server is likely to end much sooner.

        The new run is assumed to start from the beginning at this run's best speed.
        """
        if self.crawl_samples < CRAWL_SAMPLES or self.speed <= 0:
            return False
        whole_run_s = estimate_s / self.best_speed
        remaining_s = (100 - self.percent) / 100 * estimate_s / self.speed
        return remaining_s > MIN_MOVE_GAIN * (whole_run_s + RESTART_S)
