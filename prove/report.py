"""The report of one run, and a table of the results of several runs."""

from __future__ import annotations

import math
from collections.abc import Sequence

import click
import msgspec

from prove.checkers import CHECKERS, Violation

MAX_SHOWN_VIOLATIONS = 5
RECOVERY = "recovery"


class Window(msgspec.Struct):
    """The failures of one step, and when they were injected and healed."""

    failures: list[str]
    began_at: float
    ended_at: float


class Report(msgspec.Struct):
    """The results of a run.

    `violations` are listed by invariant: the names in `CHECKERS`, and `RECOVERY` for
    work that did not finish or a configuration that did not arrive after healing.
    `reasons` counts the calls by reason of refusal, or else by outcome.
    `settle_seconds` is how long the remaining work took to finish after healing.
    """

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
        """Whether any invariant was violated."""
        return any(self.violations.values())


def print_report(report: Report) -> None:
    """Print one line per invariant with its first violations, and the totals."""
    for point in (*CHECKERS, RECOVERY):
        found = report.violations.get(point, [])
        click.echo(f"{point}: {f'{len(found)} violations' if found else 'pass'}")
        for item in found[:MAX_SHOWN_VIOLATIONS]:
            click.echo(f"    {item.at:.3f} {item.subject}: {item.detail}")
    click.echo(
        f"prove: seed {report.seed}, {report.calls} calls, {report.answered} answered, "
        f"{report.executions} executions, {report.task_starts} task starts, "
        f"{report.rollouts} roll-outs, {report.races} races with "
        f"{report.conflicts} conflicts, {report.withdrawals} withdrawals, "
        f"settled in {report.settle_seconds:.1f} s"
    )
    for seconds in report.takeover_seconds:
        click.echo(
            f"prove: the killed owner's shard started tasks again in {seconds:.1f} s"
        )
    reasons = sorted(report.reasons.items())
    click.echo(f"prove: outcomes {' '.join(f'{name}={n}' for name, n in reasons)}")


def print_table(reports: Sequence[Report]) -> None:
    """Print for each failure how many of its steps passed, by invariant.

    `2/3` means that the invariant held in two of the three steps with the failure.
    """
    columns = sorted({name for r in reports for w in r.windows for name in w.failures})
    points = (*CHECKERS, RECOVERY)
    for name in columns:
        cells = [f"{point} {_cell(reports, name, point)}" for point in points]
        click.echo(f"{name}: {', '.join(cells)}")


def _cell(reports: Sequence[Report], failure: str, point: str) -> str:
    """Return the steps that passed of all steps with a failure, such as `2/3`."""
    results = [
        not _violated(report, index, point)
        for report in reports
        for index, window in enumerate(report.windows)
        if failure in window.failures
    ]
    return f"{sum(results)}/{len(results)}"


def _violated(report: Report, index: int, point: str) -> bool:
    """Return whether `point` was violated between this step's start and the next."""
    windows = report.windows
    last = index + 1 == len(windows)
    end = math.inf if last else windows[index + 1].began_at
    return any(
        windows[index].began_at <= item.at < end
        for item in report.violations.get(point, [])
    )
