"""Learns for each queue how the durations of tasks relate to their estimates."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from statistics import NormalDist

MAX_QUEUES = 256
"""The queues without a sample for the longest time are forgotten beyond this number."""

HALF_LIFE_S = 120.0
"""A sample loses half of its weight in this time."""

PRIOR_WEIGHT = 2.0
"""Weight, in samples, of the assumption that estimates are right on average."""

PRIOR_SLOPE_WEIGHT = 2.0
"""Weight of the assumption that durations are proportional to their estimates.

In samples whose estimates differ by a standard deviation of 1 in the logarithm.
"""

PRIOR_SPREAD = 0.6
"""Standard deviation of the logarithm that is assumed before the first sample."""

PRIOR_SPREAD_WEIGHT = 4.0
MAX_ERROR_IN_SPREADS = 3.0
"""Larger errors count as this large, so that a straggler does not change the model."""

MAX_LOG_RATIO = 4.0
"""Limit for the logarithm of the ratio of a duration and its estimate."""

MAX_SLOPE = 1.5
"""Limit for the exponent of the estimate; the lower limit is 0.

A longer estimate never leads to a shorter expected duration.
"""

MIN_DURATION_S = 0.01
"""Shorter durations and estimates count as this long, as 0 has no logarithm."""

UNKNOWN_ESTIMATE_S = 1.0
"""Assumed duration of tasks without an estimate in a queue without samples."""


@dataclass(slots=True)
class _QueueModel:
    """The weighted sums of a queue's samples, as of the time `at`.

    `x` is the logarithm of the estimate, `r` that of the ratio of duration and
    estimate.  `durations` and `duration_weight` are for tasks without an estimate.
    """

    at: float
    weight: float = 0.0
    x: float = 0.0
    r: float = 0.0
    xx: float = 0.0
    xr: float = 0.0
    durations: float = 0.0
    duration_weight: float = 0.0
    errors: float = PRIOR_SPREAD_WEIGHT * PRIOR_SPREAD**2
    error_weight: float = PRIOR_SPREAD_WEIGHT

    def age(self, at: float) -> float:
        """Reduce the weight of old samples; return that of a sample taken at `at`."""
        elapsed_s = at - self.at
        factor: float = 0.5 ** (abs(elapsed_s) / HALF_LIFE_S)
        if elapsed_s < 0:
            return factor
        self.at = at
        self.weight *= factor
        self.x *= factor
        self.r *= factor
        self.xx *= factor
        self.xr *= factor
        self.durations *= factor
        self.duration_weight *= factor
        prior = PRIOR_SPREAD_WEIGHT
        self.error_weight = prior + (self.error_weight - prior) * factor
        prior *= PRIOR_SPREAD**2
        self.errors = prior + (self.errors - prior) * factor
        return 1.0

    def log_expected(self, estimate_s: float) -> float:
        """Return the logarithm of the expected duration."""
        if estimate_s <= 0:
            prior = PRIOR_WEIGHT * math.log(UNKNOWN_ESTIMATE_S)
            return (prior + self.durations) / (PRIOR_WEIGHT + self.duration_weight)
        x = math.log(max(estimate_s, MIN_DURATION_S))
        if not self.weight:
            return x
        mean_x = self.x / self.weight
        covariance = self.xr - mean_x * self.r
        variance = max(self.xx - mean_x * self.x, 0.0)
        slope = covariance / (variance + PRIOR_SLOPE_WEIGHT)
        slope = min(max(slope, -1.0), MAX_SLOPE - 1.0)
        ratio = self.r / (self.weight + PRIOR_WEIGHT) + slope * (x - mean_x)
        return x + min(max(ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO)

    def add(self, estimate_s: float, y: float, weight: float) -> None:
        """Add a sample with the logarithm `y` of its duration."""
        error = y - self.log_expected(estimate_s)
        limit = MAX_ERROR_IN_SPREADS * self.spread
        error = min(max(error, -limit), limit)
        y = self.log_expected(estimate_s) + error
        self.errors += weight * error**2
        self.error_weight += weight
        self.durations += weight * y
        self.duration_weight += weight
        if estimate_s <= 0:
            return
        x = math.log(max(estimate_s, MIN_DURATION_S))
        r = min(max(y - x, -MAX_LOG_RATIO), MAX_LOG_RATIO)
        self.weight += weight
        self.x += weight * x
        self.r += weight * r
        self.xx += weight * x * x
        self.xr += weight * x * r

    @property
    def spread(self) -> float:
        """The standard deviation of the logarithm around the expected duration."""
        return math.sqrt(self.errors / self.error_weight)


class DurationModel:
    """A regression of log(duration) on log(estimate) for each queue.

    It is shrunk towards the estimate while there are few samples.  Durations are those
    on a server of speed 1, and times are seconds on any clock that does not go back.
    """

    def __init__(self) -> None:
        self._queues: OrderedDict[str, _QueueModel] = OrderedDict()

    def record(
        self,
        queue: str,
        estimate_s: float,
        actual_s: float,
        at: float,
        weight: float = 1.0,
    ) -> None:
        """Add the duration of a task that ended at `at`.

        An estimate of 0 is unknown.  `weight` is below 1 for tasks that say less, such
        as each of many tasks of one step.  Invalid durations are ignored.
        """
        if not (math.isfinite(actual_s) and math.isfinite(estimate_s)):
            return
        if actual_s < 0 or weight <= 0:
            return
        model = self._queues.get(queue)
        if model is None:
            model = self._queues[queue] = _QueueModel(at)
            if len(self._queues) > MAX_QUEUES:
                self._queues.popitem(last=False)
        self._queues.move_to_end(queue)
        weight *= model.age(at)
        model.add(estimate_s, math.log(max(actual_s, MIN_DURATION_S)), weight)

    def expected_s(self, queue: str, estimate_s: float) -> float:
        """Return the expected duration: the estimate itself without samples.

        It is the median: half of the tasks take longer.
        """
        model = self._queues.get(queue)
        if model is None:
            return estimate_s if estimate_s > 0 else UNKNOWN_ESTIMATE_S
        if not model.weight and estimate_s > 0:
            return estimate_s
        return math.exp(model.log_expected(estimate_s))

    def spread(self, queue: str) -> float:
        """Return the standard deviation of the logarithm of durations."""
        model = self._queues.get(queue)
        return PRIOR_SPREAD if model is None else model.spread

    def quantile_s(self, queue: str, estimate_s: float, q: float) -> float:
        """Return the duration that a task exceeds with probability 1 - `q`."""
        factor = math.exp(self.spread(queue) * NormalDist().inv_cdf(q))
        return self.expected_s(queue, estimate_s) * factor

    def confidence(self, queue: str) -> float:
        """Return how far expected durations follow samples, from 0 (estimates) to 1."""
        model = self._queues.get(queue)
        return 0.0 if model is None else model.weight / (model.weight + PRIOR_WEIGHT)

    def ratio(self, queue: str) -> float:
        """Return the ratio of durations and estimates at the mean estimate."""
        model = self._queues.get(queue)
        if model is None or not model.weight:
            return 1.0
        return math.exp(model.r / (model.weight + PRIOR_WEIGHT))
