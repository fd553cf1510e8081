"""Runs the soak test for one seed after the other and prints the problems found."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from soak._regressions import REGRESSIONS
from soak._run import Report, RunOptions, run

LOG_DIRECTORY = Path("build/soak")


@click.command()
@click.option(
    "--seeds", default="1", show_default=True, help="One seed, or a range FIRST..LAST."
)
@click.option(
    "--regressions", is_flag=True, help="Run the seeds that failed before instead."
)
@click.option(
    "--seconds", default=20.0, show_default=True, help="Duration of load and faults."
)
@click.option("--fronts", default=4, show_default=True, help="Entry VM processes.")
@click.option("--servers", default=6, show_default=True, help="Backend servers.")
@click.option("--callers", default=6, show_default=True, help="Concurrent callers.")
def main(
    seeds: str,
    regressions: bool,
    seconds: float,
    fronts: int,
    servers: int,
    callers: int,
) -> None:
    """Run real entry VM processes under faults and check their responses."""
    failed = 0
    for seed in REGRESSIONS if regressions else _seeds(seeds):
        options = RunOptions(seed, seconds, fronts, servers, callers)
        log_directory = LOG_DIRECTORY / f"seed-{seed}"
        log_directory.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(run(options, log_directory))
        failed += bool(report.problems)
        _show(report)
    click.echo(f"seeds failed: {failed}")
    sys.exit(1 if failed else 0)


def _seeds(text: str) -> range:
    first, _, last = text.partition("..")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError as exc:
        raise click.BadParameter(
            "expected N or FIRST..LAST", param_hint="--seeds"
        ) from exc


def _show(report: Report) -> None:
    verdict = "FAILED" if report.problems else "passed"
    click.echo(
        f"seed {report.options.seed}: {verdict}: "
        f"{report.accepted} of {report.jobs} jobs accepted, "
        f"{report.refused} refused for the load, "
        f"{report.starts} task starts, calls carried out in another lifetime: "
        f"{report.crossed_calls}, faults: {'; '.join(report.faults)}"
    )
    for problem in report.problems:
        click.echo(f"  {problem}")


if __name__ == "__main__":
    main()
