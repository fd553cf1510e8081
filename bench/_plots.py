"""Draws the results of a bench run as SVG files."""

from __future__ import annotations

from pathlib import Path

import matplotlib as mpl

mpl.use("svg")

import matplotlib.pyplot as plt
from matplotlib.axes import Axes

from bench._results import Report, RunResult

CLASSES = ("urgent", "batch", "gang")
SHORTEST_WAIT_SECONDS = 0.05
BAR_WIDTH = 0.2
DPI_SIZE = (8, 4)


def draw(report: Report, folder: Path) -> list[Path]:
    """Write all plots into `folder`, and return their paths."""
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
        chosen = [run for run in runs if run.scenario == scenario]
        _bars(axis, chosen, CLASSES, _wait_p99)
        axis.set_title(scenario, fontsize=8)
        axis.set_yscale("log")
    axes[0][0].set_ylabel("wait p99, s")
    axes[0][0].legend(fontsize=8)
    return _save(figure, path)


def _draw_shares(report: Report, path: Path) -> Path:
    runs = [run for run in report.runs if "full" in run.scenario]
    scenarios = tuple(dict.fromkeys(run.scenario for run in runs))
    figure, axis = plt.subplots(figsize=DPI_SIZE)
    _bars(axis, runs, scenarios, _share_distance)
    axis.set_yscale("log")
    axis.set_ylabel("furthest team from its share, mean")
    axis.legend(fontsize=8)
    return _save(figure, path)


def _draw_costs(report: Report, path: Path) -> Path:
    figure, axis = plt.subplots(figsize=DPI_SIZE)
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


def _bars(axis: Axes, runs: list[RunResult], groups: tuple[str, ...], value) -> None:
    """Draw one bar for each planner in each group."""
    planners = list(dict.fromkeys(run.planner for run in runs))
    for number, planner in enumerate(planners):
        chosen = [run for run in runs if run.planner == planner]
        places = [index + number * BAR_WIDTH for index in range(len(groups))]
        heights = [value(chosen, group) for group in groups]
        axis.bar(places, heights, width=BAR_WIDTH, label=planner)
    axis.set_xticks([index + 1.5 * BAR_WIDTH for index in range(len(groups))])
    axis.set_xticklabels(groups, fontsize=8)


def _wait_p99(runs: list[RunResult], kind: str) -> float:
    found = [wait.p99 for run in runs for wait in run.waits if wait.kind == kind]
    return max(SHORTEST_WAIT_SECONDS, *found)


def _share_distance(runs: list[RunResult], scenario: str) -> float:
    return next(run.share_distance_mean for run in runs if run.scenario == scenario)


def _save(figure, path: Path) -> Path:
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return path
