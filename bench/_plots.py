"""Draws the results of a benchmark run as SVG files."""

from __future__ import annotations

from pathlib import Path

import matplotlib as mpl

mpl.use("svg")

import matplotlib.pyplot as plt
from matplotlib.axes import Axes

from bench._results import Report, RunResult

PLOTTED_CLASSES = ("urgent", "batch", "gang")
# Shorter waits are drawn as this one, because a logarithmic axis has no zero.
MIN_PLOTTED_WAIT_SECONDS = 0.05
# As a fraction of the distance between two groups of bars.
BAR_WIDTH = 0.2
FIGURE_SIZE_INCHES = (8, 4)


def draw_plots(report: Report, folder: Path) -> list[Path]:
    """Write all plots into `folder`, and return their paths."""
    # A fixed salt keeps the ids in the SVG files the same from run to run.
    mpl.rcParams["svg.hashsalt"] = "cassiaweir"
    return [
        _draw_waits(report, folder / "bench-waits.svg"),
        _draw_shares(report, folder / "bench-shares.svg"),
        _draw_costs(report, folder / "bench-decisions.svg"),
    ]


def _draw_waits(report: Report, path: Path) -> Path:
    runs = [run for run in report.runs if "mixed" in run.scenario]
    scenarios = list(dict.fromkeys(run.scenario for run in runs))
    figure, axes = plt.subplots(
        1, len(scenarios), figsize=(4 * len(scenarios), 4), sharey=True, squeeze=False
    )
    for axis, scenario in zip(axes[0], scenarios, strict=True):
        scenario_runs = [run for run in runs if run.scenario == scenario]
        _draw_bars(axis, scenario_runs, PLOTTED_CLASSES, _wait_p99)
        axis.set_title(scenario, fontsize=8)
        axis.set_yscale("log")
    axes[0][0].set_ylabel("wait p99, s")
    axes[0][0].legend(fontsize=8)
    return _save(figure, path)


def _draw_shares(report: Report, path: Path) -> Path:
    runs = [run for run in report.runs if "full" in run.scenario]
    scenarios = tuple(dict.fromkeys(run.scenario for run in runs))
    figure, axis = plt.subplots(figsize=FIGURE_SIZE_INCHES)
    _draw_bars(axis, runs, scenarios, _mean_share_distance)
    axis.set_yscale("log")
    axis.set_ylabel("furthest team from its share, mean")
    axis.legend(fontsize=8)
    return _save(figure, path)


def _draw_costs(report: Report, path: Path) -> Path:
    figure, axis = plt.subplots(figsize=FIGURE_SIZE_INCHES)
    costs = [cost for cost in report.costs if cost.regime == "room/1"]
    for planner in dict.fromkeys(cost.planner for cost in costs):
        points = [cost for cost in costs if cost.planner == planner]
        axis.plot(
            [cost.vms for cost in points],
            [cost.decision_p50 for cost in points],
            marker="o",
            label=planner,
        )
    axis.set_xscale("log")
    axis.set_xlabel("VMs")
    axis.set_ylabel("decision p50, us")
    axis.set_ylim(bottom=0)
    axis.legend(fontsize=8)
    return _save(figure, path)


def _draw_bars(
    axis: Axes, runs: list[RunResult], groups: tuple[str, ...], bar_height
) -> None:
    """Draw one bar for each planner in each group.

    `bar_height` takes the planner's runs and the group.
    """
    planners = list(dict.fromkeys(run.planner for run in runs))
    for number, planner in enumerate(planners):
        planner_runs = [run for run in runs if run.planner == planner]
        positions = [index + number * BAR_WIDTH for index in range(len(groups))]
        heights = [bar_height(planner_runs, group) for group in groups]
        axis.bar(positions, heights, width=BAR_WIDTH, label=planner)
    axis.set_xticks([index + 1.5 * BAR_WIDTH for index in range(len(groups))])
    axis.set_xticklabels(groups, fontsize=8)


def _wait_p99(runs: list[RunResult], kind: str) -> float:
    p99s = [wait.p99 for run in runs for wait in run.waits if wait.kind == kind]
    return max(MIN_PLOTTED_WAIT_SECONDS, *p99s)


def _mean_share_distance(runs: list[RunResult], scenario: str) -> float:
    return next(run.share_distance_mean for run in runs if run.scenario == scenario)


def _save(figure, path: Path) -> Path:
    figure.tight_layout()
    # Without a date, the same results give the same file.
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return path
