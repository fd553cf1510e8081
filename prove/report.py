"""What a run found, point by point, and a table over several runs."""

from __future__ import annotations

import math
from collections.abc import Sequence

import click
import msgspec

from prove.checkers import CHECKERS, Violation

MOST_SHOWN = 5
RECOVERY = "recovery"


class Window(msgspec.Struct):
    """The failures of one step, and when they were brought about and healed."""

    failures: list[str]
    began_at: float
    ended_at: float


class Report(msgspec.Struct):
    """What a run found."""

    seed: int
    deployment: str
    without: str
    windows: list[Window] = []
    takeover_seconds: list[float] = []
    violations: dict[str, list[Violation]] = {}
    calls: int = 0
    answered: int = 0
    executions: int = 0
    task_starts: int = 0
    settle_seconds: float = 0
    reasons: dict[str, int] = {}
    rollouts: int = 0
    races: int = 0
    conflicts: int = 0
    withdrawals: int = 0

    @property
    def failed(self) -> bool:
        """Whether any point did not hold."""
        return any(self.violations.values())


def show(report: Report) -> None:
    """Print a line for each point, and its first violations."""
    for point in (*CHECKERS, RECOVERY):
        found = report.violations.get(point, [])
        click.echo(f"{point}: {f'{len(found)} violations' if found else 'pass'}")
        for item in found[:MOST_SHOWN]:
            click.echo(f"    {item.at:.3f} {item.subject}: {item.detail}")
    click.echo(
        f"prove: seed {report.seed}, {report.calls} calls, {report.answered} answered, "
        f"{report.executions} executions, {report.task_starts} task starts, "
        f"{report.rollouts} roll-outs, {report.races} races with "
        f"{report.conflicts} conflicts, {report.withdrawals} withdrawals, "
        f"settled in {report.settle_seconds:.1f} s"
    )
    for seconds in report.takeover_seconds:
        click.echo(f"prove: the shard of the killed owner ran again in {seconds:.1f} s")
    reasons = sorted(report.reasons.items())
    click.echo(f"prove: outcomes {' '.join(f'{name}={n}' for name, n in reasons)}")


def show_table(reports: Sequence[Report]) -> None:
    """Print point by failure: the steps that passed of those that were run."""
    columns = sorted({name for r in reports for w in r.windows for name in w.failures})
    points = (*CHECKERS, RECOVERY)
    for name in columns:
        cells = [f"{point} {_cell(reports, name, point)}" for point in points]
        click.echo(f"{name}: {', '.join(cells)}")


def _cell(reports: Sequence[Report], failure: str, point: str) -> str:
    """Return what became of a point in all steps with a failure."""
    results = [
        not _violated(report, index, point)
        for report in reports
        for index, window in enumerate(report.windows)
        if failure in window.failures
    ]
    return f"{sum(results)}/{len(results)}"


def _violated(report: Report, index: int, point: str) -> bool:
    """Tell whether a point was violated from the step on until the next one."""
    windows = report.windows
    last = index + 1 == len(windows)
    end = math.inf if last else windows[index + 1].began_at
    return any(
        windows[index].began_at <= item.at < end
        for item in report.violations.get(point, [])
    )
