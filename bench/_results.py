"""The results of a benchmark run, as they are written to JSON and printed."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from bench._cost import Cost
from bench._drive import Outcome

MILLISECONDS_PER_SECOND = 1000
NANOSECONDS_PER_MICROSECOND = 1000
P95_FRACTION = 0.95


class Waits(msgspec.Struct):
    """Waiting times of the tasks of one class of work, in seconds."""

    kind: str
    tasks: int
    p50: float
    p99: float
    longest: float


class RunResult(msgspec.Struct):
    """The result of one planner in one scenario.

    `packing_excess` is the VM time in use above its lower bound by volume, as a
    fraction of that bound, and `use` the mean dominant fraction of the fleet in use;
    the 95th percentiles of both are over samples taken once a second.

    Share distances are fractions of a team's fair share, over windows of a minute:
    `share_distance_mean` and `share_distance_largest` are of the furthest team,
    `share_one_task` is the mean of the largest step by which one task changes what a
    team holds, and `share_beyond_one_task` the mean of the largest distance that is
    left after one task of the team is subtracted.

    `started` and `never_started` count tasks, `preempted` preemptions.
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
    """The processor time per placed task, in microseconds, at one fleet size.

    `decision_*` is the time of `plan` alone; `whole_*` includes the task ends and
    submissions before it.  `regime` and `running` are those of `Cost`.
    """

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
    """All results of one run of the benchmark."""

    seed: int
    python: str
    runs: list[RunResult] = []
    costs: list[CostResult] = []


def run_result(scenario: str, planner: str, outcome: Outcome) -> RunResult:
    """Return the result of one run of a planner."""
    vms_in_use = sum(sample.vms_in_use for sample in outcome.packing)
    lower_bound = sum(sample.lower_bound for sample in outcome.packing)
    excess = [sample.vms_in_use / sample.lower_bound - 1 for sample in outcome.packing]
    return RunResult(
        scenario=scenario,
        planner=planner,
        waits=[
            _waits(kind, histogram)
            for kind, histogram in outcome.waits.items()
            if histogram.get_total_count()
        ],
        packing_excess=vms_in_use / lower_bound - 1,
        packing_excess_p95=_p95(excess),
        use=statistics.fmean(outcome.use),
        use_p95=_p95(outcome.use),
        share_distance_mean=_mean(sample.furthest for sample in outcome.distances),
        share_distance_largest=max(
            (sample.furthest for sample in outcome.distances), default=0.0
        ),
        share_one_task=_mean(sample.one_task for sample in outcome.distances),
        share_beyond_one_task=_mean(
            sample.beyond_one_task for sample in outcome.distances
        ),
        started=outcome.started,
        never_started=outcome.never_started,
        preempted=outcome.preempted,
    )


def cost_result(cost: Cost) -> CostResult:
    """Return the result of one cost measurement."""
    return CostResult(
        planner=cost.planner,
        vms=cost.vms,
        regime=cost.regime,
        running=cost.running,
        decisions=cost.plan_ns.get_total_count(),
        decision_p50=_microseconds(cost.plan_ns, 50),
        decision_p999=_microseconds(cost.plan_ns, 99.9),
        whole_p50=_microseconds(cost.step_ns, 50),
        whole_p999=_microseconds(cost.step_ns, 99.9),
    )


def _waits(kind: str, histogram: HdrHistogram) -> Waits:
    p50, p99, longest = (
        histogram.get_value_at_percentile(percentile) / MILLISECONDS_PER_SECOND
        for percentile in (50, 99, 100)
    )
    return Waits(kind, histogram.get_total_count(), p50, p99, longest)


def _microseconds(histogram: HdrHistogram, percentile: float) -> float:
    nanoseconds = histogram.get_value_at_percentile(percentile)
    return float(nanoseconds / NANOSECONDS_PER_MICROSECOND)


def _mean(values: Iterable[float]) -> float:
    return statistics.fmean(list(values) or [0.0])


def _p95(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * P95_FRACTION))]
