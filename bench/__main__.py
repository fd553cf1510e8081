"""Command line of the benchmark: `python -m bench [slopes|plots]`."""

from __future__ import annotations

import gc
import platform
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import click
import msgspec

from bench._baselines import FirstComeFirstServed, FirstFit, FullScanBestFit
from bench._cost import FLEET_SIZES, measure_cost
from bench._drive import Driver
from bench._load import (
    ESTIMATE_ERROR_FACTOR,
    PACIFICO_NORTE,
    SICILIA_EST,
    Scenario,
    batch_heavy,
    mixed,
    overloaded,
    overloaded_many_teams,
)
from bench._results import CostResult, Report, RunResult, cost_result, run_result
from bench._slopes import measure_events, measure_slopes
from bench._table import table_lines
from cassiaweir.placement import FairPlanner, Planner

RESULT_PATH = Path("build/bench.json")
# Distance between the seeds of two deployments.
SEED_STEP = 1000
DECISIONS_PER_PLAN = 8
FAIR_PLANNER_NAME = "fair"
PLANNERS: dict[str, Callable[[], Planner]] = {
    FAIR_PLANNER_NAME: FairPlanner,
    "by age": partial(FairPlanner, fair_share=False),
    "fcfs": FirstComeFirstServed,
    "first fit": FirstFit,
    "full scan": FullScanBestFit,
}


@click.group(invoke_without_command=True)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the generated workloads."
)
@click.option(
    "--only",
    default="",
    help="Run only the scenarios whose names contain this text; with 'cost', only the "
    "cost measurements.  Writes no JSON.",
)
@click.pass_context
def main(ctx: click.Context, seed: int, only: str) -> None:
    """Compare the policy with the baselines; print a table and write JSON."""
    if ctx.invoked_subcommand is not None:
        return
    report = Report(seed, platform.python_version())
    report.runs = list(_runs(seed, only))
    if only in ("", "cost"):
        report.costs = list(_costs(seed))
    for line in table_lines(report):
        click.echo(line)
    if not only:
        RESULT_PATH.parent.mkdir(exist_ok=True)
        RESULT_PATH.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


@main.command()
def slopes() -> None:
    """Measure the memory per VM, team and task, and the time of mass events."""
    click.echo(f"{'thing':<14}{'count':>8}{'bytes':>12}{'bytes each':>12}")
    for slope in measure_slopes():
        click.echo(
            f"{slope.object_type:<14}{slope.count:>8}{slope.total_bytes:>12}"
            f"{slope.bytes_each:>12.0f}"
        )
    click.echo(f"{'event':<14}{'count':>8}{'us each':>12}")
    for cost in measure_events():
        click.echo(f"{cost.event:<14}{cost.count:>8}{cost.microseconds_each:>12.1f}")


@main.command()
def plots() -> None:
    """Draw the plots of the last complete run into docs/."""
    if not RESULT_PATH.exists():
        raise click.ClickException(f"{RESULT_PATH} is missing; run 'make bench' first")
    from bench._plots import draw_plots

    report = msgspec.json.decode(RESULT_PATH.read_bytes(), type=Report)
    for path in draw_plots(report, Path("docs")):
        click.echo(path)


def _runs(seed: int, only: str) -> Iterator[RunResult]:
    for scenario in _scenarios(seed):
        if only not in scenario.name:
            continue
        for name, make_planner in PLANNERS.items():
            _print_progress(f"{scenario.name}: {name}")
            outcome = Driver(make_planner, scenario).run()
            yield run_result(scenario.name, name, outcome)
            gc.collect()


def _scenarios(seed: int) -> Iterator[Scenario]:
    for number, deployment in enumerate((SICILIA_EST, PACIFICO_NORTE)):
        deployment_seed = seed + number * SEED_STEP
        yield mixed(deployment, deployment_seed)
        yield mixed(
            deployment, deployment_seed, estimate_error_factor=ESTIMATE_ERROR_FACTOR
        )
        yield overloaded(deployment, deployment_seed)
        yield overloaded(
            deployment, deployment_seed, small_tasks=True, horizon_seconds=300
        )
        yield batch_heavy(deployment, deployment_seed)
    yield overloaded_many_teams(350, 320, seed)


def _costs(seed: int) -> Iterator[CostResult]:
    """Measure the baselines and the fair planner; the latter in more regimes.

    Only the fair planner is measured with a backlog and with rare garbage collection.
    """
    for backlog, decisions_per_plan in (
        (False, 1),
        (False, DECISIONS_PER_PLAN),
        (True, 1),
    ):
        for vms, tasks in FLEET_SIZES:
            for name, make_planner in PLANNERS.items():
                for rare_gc in (False, True):
                    if name != FAIR_PLANNER_NAME and (backlog or rare_gc):
                        continue
                    _print_progress(f"cost of {name} at {vms} VMs")
                    cost = measure_cost(
                        name,
                        make_planner,
                        vms,
                        tasks,
                        seed,
                        backlog=backlog,
                        decisions_per_plan=decisions_per_plan,
                        rare_gc=rare_gc,
                    )
                    yield cost_result(cost)
                    gc.collect()


def _print_progress(text: str) -> None:
    click.echo(text, err=True)


if __name__ == "__main__":
    main()
