"""Prints the state of the cell as tables."""

from __future__ import annotations

from collections.abc import Sequence

import click

from cassiaweir.administration import (
    Amount,
    ProcessInfo,
    ShardInfo,
    StatusReport,
    TeamInfo,
)
from cassiaweir.ctl._output import short_digest, show_table


def show_status(report: StatusReport) -> None:
    """Print the processes, shards and teams of the cell, and the refusal counts.

    Refusals are those of the gateway that answers.
    """
    table = "reachable" if report.table_reachable else "NOT REACHABLE"
    click.echo(
        f"{report.deployment} at {report.at.isoformat(timespec='seconds')}: table "
        f"{table}, bundle {report.bundle_version} "
        f"({short_digest(report.bundle_digest)}), keys {report.keys_version}"
    )
    click.echo()
    show_processes(report.processes)
    click.echo()
    show_shards(report.shards)
    if report.teams:
        click.echo()
        show_teams(report.teams)
    click.echo()
    refusals = [f"{reason} {count}" for reason, count in report.refusals.items()]
    click.echo(f"refusals: {', '.join(refusals) or 'none'}")


def show_processes(processes: Sequence[ProcessInfo]) -> None:
    """Print processes with the versions of bundle and keys in force in each."""
    show_table(
        ("process", "role", "domain", "answers", "bundle", "keys", "view age s"),
        [
            (
                item.process,
                item.role,
                item.failure_domain,
                item.answered,
                item.bundle_version if item.answered else None,
                item.keys_version if item.answered else None,
                item.view_age_seconds,
            )
            for item in processes
        ],
    )


def show_shards(shards: Sequence[ShardInfo]) -> None:
    """Print shards with their owners and loads."""
    show_table(
        ("shard", "owner", "epoch", "capacity", "free", "queued", "running"),
        [
            (
                item.shard,
                item.process or "NONE KNOWN",
                item.epoch or None,
                item.capacity,
                item.free,
                item.queued_tasks,
                item.running_tasks,
            )
            for item in shards
        ],
    )


def show_teams(teams: Sequence[TeamInfo]) -> None:
    """Print teams with their shares, limits and allotments.

    `target %` is the team's percentage of all shares, `allotted %` its percentage of
    all allotted processors.
    """
    shares = sum(team.share for team in teams)
    allotted = sum(team.allotted.cpu_millis for team in teams)
    show_table(
        ("team", "share", "target %", "allotted %", "allotted", "limit", "keys"),
        [
            (
                team.name,
                team.share,
                _percent(team.share, shares),
                _percent(team.allotted.cpu_millis, allotted),
                team.allotted if team.allotted != Amount() else None,
                team.limit,
                team.keys,
            )
            for team in teams
        ],
    )


def _percent(part: int, whole: int) -> float | None:
    return 100 * part / whole if whole else None
