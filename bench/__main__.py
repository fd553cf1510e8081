"""Runs the bench: `python -m bench [run|slopes|plots]`."""

from __future__ import annotations

import gc
import platform
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import click
import msgspec

from bench._baselines import FirstComeFirstServed, FirstFit, FullScanBestFit
from bench._cost import FLEETS, measure
from bench._drive import Driver
from bench._load import (
    ESTIMATE_ERROR,
    PACIFICO_NORTE,
    SICILIA_EST,
    Scenario,
    batch_heavy,
    full,
    full_of_teams,
    mixed,
)
from bench._results import CostResult, Report, RunResult, cost_result, run_result
from bench._slopes import measure_events, measure_slopes
from bench._table import lines
from cassiaweir.placement import FairPlanner, Planner

RESULT_PATH = Path("build/bench.json")
SEED_STEP = 1000
DECISIONS_OF_ROUND = 8
FAIR = "fair"
PLANNERS: dict[str, Callable[[], Planner]] = {
    FAIR: FairPlanner,
    "by age": partial(FairPlanner, fair_share=False),
    "fcfs": FirstComeFirstServed,
    "first fit": FirstFit,
    "full scan": FullScanBestFit,
}


@click.group(invoke_without_command=True)
@click.option("--seed", default=1, show_default=True, help="Seed of the loads.")
@click.option("--only", default="", help="Part of the scenarios' names, or cost.")
@click.pass_context
def main(ctx: click.Context, seed: int, only: str) -> None:
    """Measure the policy against the baselines, print a table and write JSON."""
    if ctx.invoked_subcommand is not None:
        return
    report = Report(seed, platform.python_version())
    report.runs = list(_runs(seed, only))
    if only in ("", "cost"):
        report.costs = list(_costs(seed))
    for line in lines(report):
        click.echo(line)
    if not only:
        RESULT_PATH.parent.mkdir(exist_ok=True)
        RESULT_PATH.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


@main.command()
def slopes() -> None:
    """Measure bytes by running task, VM and team, and the time of mass events."""
    click.echo(f"{'thing':<14}{'count':>8}{'bytes':>12}{'bytes each':>12}")
    for slope in measure_slopes():
        click.echo(
            f"{slope.thing:<14}{slope.count:>8}{slope.total_bytes:>12}"
            f"{slope.bytes_each:>12.0f}"
        )
    click.echo(f"{'event':<14}{'count':>8}{'us each':>12}")
    for cost in measure_events():
        click.echo(f"{cost.event:<14}{cost.count:>8}{cost.microseconds_each:>12.1f}")


@main.command()
def plots() -> None:
    """Draw the plots of the last whole run into docs/."""
    if not RESULT_PATH.exists():
        raise click.ClickException(f"{RESULT_PATH} is missing; run 'make bench' first")
    from bench._plots import draw

    report = msgspec.json.decode(RESULT_PATH.read_bytes(), type=Report)
    for path in draw(report, Path("docs")):
        click.echo(path)


def _runs(seed: int, only: str) -> Iterator[RunResult]:
    for scenario in _scenarios(seed):
        if only not in scenario.name:
            continue
        for name, make in PLANNERS.items():
            _progress(f"{scenario.name}: {name}")
            outcome = Driver(make, scenario).run()
            yield run_result(scenario.name, name, outcome)
            gc.collect()


def _scenarios(seed: int) -> Iterator[Scenario]:
    for number, deployment in enumerate((SICILIA_EST, PACIFICO_NORTE)):
        own_seed = seed + number * SEED_STEP
        yield mixed(deployment, own_seed)
        yield mixed(deployment, own_seed, error=ESTIMATE_ERROR)
        yield full(deployment, own_seed)
        yield full(deployment, own_seed, small=True, horizon_seconds=300)
        yield batch_heavy(deployment, own_seed)
    yield full_of_teams(350, 320, seed)


def _costs(seed: int) -> Iterator[CostResult]:
    for backlog, per_plan in ((False, 1), (False, DECISIONS_OF_ROUND), (True, 1)):
        for vms, tasks in FLEETS:
            for name, make in PLANNERS.items():
                for rare_gc in (False, True):
                    if name != FAIR and (backlog or rare_gc):
                        continue
                    _progress(f"cost of {name} at {vms} VMs")
                    cost = measure(
                        name,
                        make,
                        vms,
                        tasks,
                        seed,
                        backlog=backlog,
                        per_plan=per_plan,
                        rare_gc=rare_gc,
                    )
                    yield cost_result(cost)
                    gc.collect()


def _progress(text: str) -> None:
    click.echo(text, err=True)


if __name__ == "__main__":
    main()
