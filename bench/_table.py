"""Formats the results as a table for the terminal."""

from __future__ import annotations

from collections.abc import Iterator

from bench._results import CostResult, Report, RunResult

RUN_HEADER = (
    f"{'planner':<12}{'class':<9}{'tasks':>7}{'wait p50':>10}{'p99':>10}{'max':>10}"
)
COST_HEADER = (
    f"{'planner':<12}{'fleet':<11}{'VMs':>6}{'running':>9}{'decisions':>11}"
    f"{'p50 us':>10}{'p99.9 us':>10}{'whole p50':>11}{'p99.9':>10}"
)


def table_lines(report: Report) -> Iterator[str]:
    """Yield the lines of the table."""
    yield f"seed {report.seed}, Python {report.python}; waits in seconds"
    scenario = ""
    for run in report.runs:
        if run.scenario != scenario:
            scenario = run.scenario
            yield from ("", f"== {scenario}", RUN_HEADER)
        yield from _run_lines(run)
    if report.costs:
        yield from ("", "== cost of a decision", COST_HEADER)
    for cost in report.costs:
        yield _cost_line(cost)


def _run_lines(run: RunResult) -> Iterator[str]:
    for wait in run.waits:
        yield (
            f"{run.planner:<12}{wait.kind:<9}{wait.tasks:>7}{wait.p50:>10.2f}"
            f"{wait.p99:>10.2f}{wait.longest:>10.2f}"
        )
    yield (
        f"{run.planner:<12}use {run.use:.1%} (p95 {run.use_p95:.1%}); VMs above the "
        f"lower bound {run.packing_excess:.1%} (p95 {run.packing_excess_p95:.1%}); "
        f"furthest team {run.share_distance_mean:.1%} "
        f"(largest {run.share_distance_largest:.1%}), "
        f"one task {run.share_one_task:.1%}, beyond one task "
        f"{run.share_beyond_one_task:.1%}; started {run.started}, "
        f"never started {run.never_started}, preempted {run.preempted}"
    )


def _cost_line(cost: CostResult) -> str:
    return (
        f"{cost.planner:<12}{cost.regime:<11}{cost.vms:>6}{cost.running:>9}"
        f"{cost.decisions:>11}{cost.decision_p50:>10.1f}{cost.decision_p999:>10.1f}"
        f"{cost.whole_p50:>11.1f}{cost.whole_p999:>10.1f}"
    )
