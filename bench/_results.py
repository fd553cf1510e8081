"""The results of a bench run, as they are written and printed."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from bench._cost import Cost
from bench._drive import Outcome

MILLISECONDS = 1000
NANOSECONDS_IN_MICROSECOND = 1000
MOST_FRACTION = 0.95


class Waits(msgspec.Struct):
    """Waiting times of one class of work, in seconds."""

    kind: str
    tasks: int
    p50: float
    p99: float
    longest: float


class RunResult(msgspec.Struct):
    """One planner in one scenario.

    `packing_excess` is the VM time in use above its lower bound by volume, as a part
    of that bound; the 95th percentile is over seconds.  Distances are parts of a
    team's share, over a minute: `share_one_task` is the mean of the largest step in
    which a team can come to its share, `share_beyond_one_task` the mean of what is
    left of the distance after one task.
    """

    scenario: str
    planner: str
    waits: list[Waits]
    packing_excess: float
    packing_excess_p95: float
    use: float
    use_p95: float
    share_distance_mean: float
    share_distance_largest: float
    share_one_task: float
    share_beyond_one_task: float
    started: int
    never_started: int
    preempted: int


class CostResult(msgspec.Struct):
    """The cost of one planner at one size, in microseconds."""

    planner: str
    vms: int
    regime: str
    running: int
    decisions: int
    decision_p50: float
    decision_p999: float
    whole_p50: float
    whole_p999: float


class Report(msgspec.Struct):
    """All that one run of the bench measured."""

    seed: int
    python: str
    runs: list[RunResult] = []
    costs: list[CostResult] = []


def run_result(scenario: str, planner: str, outcome: Outcome) -> RunResult:
    """Return the result of one run."""
    in_use = sum(sample.in_use for sample in outcome.packing)
    bound = sum(sample.bound for sample in outcome.packing)
    excess = [sample.in_use / sample.bound - 1 for sample in outcome.packing]
    return RunResult(
        scenario=scenario,
        planner=planner,
        waits=[
            _waits(kind, histogram)
            for kind, histogram in outcome.waits.items()
            if histogram.get_total_count()
        ],
        packing_excess=in_use / bound - 1,
        packing_excess_p95=_high(excess),
        use=statistics.fmean(outcome.use),
        use_p95=_high(outcome.use),
        share_distance_mean=_mean(sample.furthest for sample in outcome.distances),
        share_distance_largest=max(
            (sample.furthest for sample in outcome.distances), default=0.0
        ),
        share_one_task=_mean(sample.one_task for sample in outcome.distances),
        share_beyond_one_task=_mean(sample.beyond for sample in outcome.distances),
        started=outcome.started,
        never_started=outcome.never_started,
        preempted=outcome.preempted,
    )


def cost_result(cost: Cost) -> CostResult:
    """Return the result of one measurement of cost."""
    return CostResult(
        planner=cost.planner,
        vms=cost.vms,
        regime=cost.regime,
        running=cost.running,
        decisions=cost.decision.get_total_count(),
        decision_p50=_micros(cost.decision, 50),
        decision_p999=_micros(cost.decision, 99.9),
        whole_p50=_micros(cost.whole, 50),
        whole_p999=_micros(cost.whole, 99.9),
    )


def _waits(kind: str, histogram: HdrHistogram) -> Waits:
    p50, p99, longest = (
        histogram.get_value_at_percentile(quantile) / MILLISECONDS
        for quantile in (50, 99, 100)
    )
    return Waits(kind, histogram.get_total_count(), p50, p99, longest)


def _micros(histogram: HdrHistogram, percentile: float) -> float:
    nanos = histogram.get_value_at_percentile(percentile)
    return float(nanos / NANOSECONDS_IN_MICROSECOND)


def _mean(values: Iterable[float]) -> float:
    return statistics.fmean(list(values) or [0.0])


def _high(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * MOST_FRACTION))]
