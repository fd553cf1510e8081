"""Combines the learnt durations of a queue with the progress of a step's own tasks."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from statistics import NormalDist

from cassiaweir.scheduling._durations import DurationModel

MAX_STEPS = 8_192
"""The steps without progress for the longest time are forgotten beyond this number."""

TASK_SPREAD = 0.25
"""Standard deviation of the logarithm of durations assumed within a step."""

MAX_SLOWNESS = 3.0
"""Progress that took more than this many times the expected time counts as this slow.

A single straggler then does not make all other tasks of its step look slow.
"""


@dataclass(slots=True)
class _Evidence:
    """The progress that tasks of one step made, and the time it took at speed 1."""

    percent: float = 0.0
    seconds: float = 0.0

    @property
    def tasks(self) -> float:
        """The progress in whole tasks."""
        return self.percent / 100

    @property
    def task_s(self) -> float:
        """The time that a whole task takes at this rate."""
        return self.seconds / self.tasks


class StepDurations:
    """Expects durations from the tasks of the same step, as soon as some have run.

    Tasks of one step are alike, so their rate is better than any estimate.
    """

    def __init__(self, durations: DurationModel) -> None:
        self._durations = durations
        self._steps: OrderedDict[str, _Evidence] = OrderedDict()

    def record_progress(
        self, step: str, speed: float, percent: float, elapsed_s: float
    ) -> None:
        """Add `percent` of progress that one task made within `elapsed_s`.

        `speed` is that of its server.  Progress that is not positive is ignored.
        """
        seconds = elapsed_s * speed
        if not 0 < percent <= 100 or not math.isfinite(seconds) or seconds < 0:
            return
        evidence = self._steps.get(step)
        if evidence is None:
            evidence = self._steps[step] = _Evidence()
            if len(self._steps) > MAX_STEPS:
                self._steps.popitem(last=False)
        elif evidence.tasks >= 1:
            seconds = min(seconds, MAX_SLOWNESS * evidence.task_s * percent / 100)
        evidence.percent += percent
        evidence.seconds += seconds
        self._steps.move_to_end(step)

    def forget(self, step: str) -> None:
        """Forget a step that has ended."""
        self._steps.pop(step, None)

    def expected_s(self, step_name: str, queue: str, estimate_s: float) -> float:
        """Return the expected duration of a task of the step on a server of speed 1."""
        expected_s = self._durations.expected_s(queue, estimate_s)
        evidence = self._steps.get(step_name)
        if evidence is None or evidence.seconds <= 0 or expected_s <= 0:
            return expected_s
        share = self._evidence_share(evidence, queue)
        return float(expected_s ** (1 - share) * evidence.task_s**share)

    def spread(self, step_name: str, queue: str) -> float:
        """Return the standard deviation of the logarithm for tasks of the step."""
        evidence = self._steps.get(step_name)
        spread = self._durations.spread(queue)
        if evidence is None:
            return spread
        left = 1 - self._evidence_share(evidence, queue)
        return math.sqrt(left * spread**2 + (1 - left) * TASK_SPREAD**2)

    def quantile_s(
        self, step_name: str, queue: str, estimate_s: float, q: float
    ) -> float:
        """Return the duration that a task of the step exceeds with probability 1-`q`.

        It is that on a server of speed 1.
        """
        factor = math.exp(self.spread(step_name, queue) * NormalDist().inv_cdf(q))
        return self.expected_s(step_name, queue, estimate_s) * factor

    def _evidence_share(self, evidence: _Evidence, queue: str) -> float:
        """Return the weight of the step's own rate against that of its queue."""
        variance = self._durations.spread(queue) ** 2
        return variance / (variance + TASK_SPREAD**2 / evidence.tasks)
