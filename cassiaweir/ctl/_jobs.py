"""The commands of `cassiaweir ctl job`, and `cassiaweir ctl explain`."""

from __future__ import annotations

import time
import tomllib
from pathlib import Path
from urllib.parse import quote

import click
import msgspec

from cassiaweir.administration import (
    CancelledJobs,
    CancelSelector,
    JobDetail,
    JobInfo,
    JobList,
)
from cassiaweir.ctl._client import Call, CtlError, ExitCode
from cassiaweir.ctl._context import CtlContext, json_option, pass_ctl, watch_option
from cassiaweir.ctl._output import format_amount, show_table

FOLLOW_INTERVAL_SECONDS = 0.5


class SubmittedJob(msgspec.Struct):
    """The fields that are printed of the response to a submission."""

    job: str
    team: str
    shards: list[str]


@click.group()
def job() -> None:
    """Submit, list, show and cancel jobs."""


@job.command("list")
@click.option("--team", default="", help="Only jobs of this team.")
@click.option("--queue", default="", help="Only jobs of this queue.")
@click.option("--prefix", default="", help="Only jobs whose names start with this.")
@click.option("--after", default="", help="Only jobs whose names sort after this one.")
@click.option("--limit", default=100, show_default=True, help="Most jobs to list.")
@json_option
@watch_option
@pass_ctl
def job_list(
    ctl: CtlContext,
    team: str,
    queue: str,
    prefix: str,
    after: str,
    limit: int,
    as_json: bool,
) -> None:
    """List jobs sorted by name, one page at a time.

    Example: cassiaweir ctl job list --team fuel-audits
    """
    query = {
        "team": team,
        "queue": queue,
        "prefix": prefix,
        "after": after,
        "limit": str(limit),
    }
    call = Call("GET", "/v1/admin/jobs", query)
    ctl.call_and_print(call, JobList, _show_jobs, as_json=as_json)


def _show_jobs(response: JobList) -> None:
    show_table(
        ("job", "team", "queue", "kind", "urgency", "tasks", "submitted", "cancelled"),
        [
            (
                item.job,
                item.team,
                item.queue,
                item.kind,
                item.urgency,
                item.tasks,
                item.submitted_at,
                item.cancelled,
            )
            for item in response.jobs
        ],
    )
    if response.after:
        click.echo(f"more: --after {response.after}", err=True)


@job.command("show")
@click.argument("name")
@json_option
@watch_option
@pass_ctl
def job_show(ctl: CtlContext, name: str, as_json: bool) -> None:
    """Show the job NAME and the state of its part in each shard.

    Example: cassiaweir ctl job show fuel-audits.audit
    """
    _print_job(ctl, name, as_json)


@click.command()
@click.argument("name")
@json_option
@watch_option
@pass_ctl
def explain(ctl: CtlContext, name: str, as_json: bool) -> None:
    """Show why tasks of the job NAME are waiting.

    Example: cassiaweir ctl explain fuel-audits.audit
    """
    _print_job(ctl, name, as_json)


@job.command("submit")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--follow", is_flag=True, help="Wait until the job has ended.")
@json_option
@pass_ctl
def submit(ctl: CtlContext, file: Path, follow: bool, as_json: bool) -> None:
    """Submit the job that the TOML or JSON FILE describes.

    Give the key of the job's team as credential: an operator's credential is not
    accepted here, and the job belongs to the team of the key.

    Example: CASSIAWEIR_CREDENTIAL=$(cat team.key) cassiaweir ctl job submit audit.toml
    """
    call = Call("POST", "/v1/jobs", body=_read_job(file))
    response = ctl.call_and_print(call, SubmittedJob, _show_submitted, as_json=as_json)
    if follow:
        _follow(ctl, response.job)


class FollowedPart(msgspec.Struct):
    """Task counts of a job's part in one shard, as the job API returns them."""

    queued: int = 0
    running: int = 0
    succeeded: int = 0
    failed: int = 0


class FollowedJob(msgspec.Struct):
    """The state of a job, as the job API returns it to the job's team.

    `done` has the parts that have ended, `open` those that have not, and `live` the
    current counts of the open parts.
    """

    done: list[FollowedPart]
    open: list[msgspec.Raw]
    live: list[FollowedPart]


def _follow(ctl: CtlContext, name: str) -> None:
    """Print a line whenever the task counts change, until the job has ended.

    Raises `CtlError` if a task has failed.
    """
    client = ctl.client()
    last_printed = ""
    while True:
        call = Call("GET", f"/v1/jobs/{quote(name, safe='')}")
        state = client.call(call, FollowedJob)
        parts = [*state.done, *state.live]
        failed = sum(part.failed for part in parts)
        line = (
            f"{name}: {sum(part.queued for part in state.live)} queued, "
            f"{sum(part.running for part in state.live)} running, "
            f"{sum(part.succeeded for part in parts)} succeeded, {failed} failed"
        )
        if line != last_printed:
            click.echo(line, err=True)
            last_printed = line
        if not state.open:
            break
        time.sleep(FOLLOW_INTERVAL_SECONDS)
    if failed:
        raise CtlError(f"{name}: {failed} tasks failed")


@job.command("cancel")
@click.argument("name", required=False, default="")
@click.option("--team", default="", help="Cancel jobs of this team only.")
@click.option("--prefix", default="", help="Cancel jobs whose names start with this.")
@json_option
@pass_ctl
def cancel(ctl: CtlContext, name: str, team: str, prefix: str, as_json: bool) -> None:
    """Cancel the job NAME, or all jobs that match --team and --prefix.

    Example: cassiaweir ctl job cancel --team fuel-audits --prefix fuel-audits.night
    """
    if bool(name) == bool(team or prefix):
        raise click.UsageError(
            "give either NAME or at least one of --team and --prefix"
        )
    if name:
        call = Call("DELETE", f"/v1/admin/jobs/{quote(name, safe='')}")
        ctl.call_and_print(
            call,
            JobInfo,
            lambda response: click.echo(f"cancelled {response.job} of {response.team}"),
            as_json=as_json,
        )
        return
    body = CancelSelector(team=team, prefix=prefix)
    call = Call("POST", "/v1/admin/jobs/cancel", body=body)
    response = ctl.call_and_print(call, CancelledJobs, _show_cancelled, as_json=as_json)
    if response.failed:
        raise CtlError(
            f"{len(response.failed)} jobs were not cancelled; repeat the command"
        )


def _show_cancelled(response: CancelledJobs) -> None:
    for name in response.cancelled:
        click.echo(f"cancelled {name}")
    for name in response.failed:
        click.echo(f"not cancelled {name}", err=True)


def _show_submitted(response: SubmittedJob) -> None:
    click.echo(
        f"submitted {response.job} of {response.team} to {', '.join(response.shards)}"
    )


def _print_job(ctl: CtlContext, name: str, as_json: bool) -> None:
    call = Call("GET", f"/v1/admin/jobs/{quote(name, safe='')}")
    ctl.call_and_print(call, JobDetail, _show_detail, as_json=as_json)


def _show_detail(detail: JobDetail) -> None:
    item = detail.job
    state = "finished" if detail.finished else "open"
    if item.cancelled:
        state += ", cancelled"
    click.echo(
        f"{item.job}: {item.kind} of team {item.team}, queue {item.queue}, "
        f"{item.urgency}, {item.tasks} tasks of {format_amount(item.size)}, {state}, "
        f"submitted {item.submitted_at.isoformat(timespec='seconds')}"
    )
    show_table(
        ("shard", "answers", "finished", "queued", "running", "succeeded", "failed"),
        [
            (
                part.shard,
                part.answered,
                part.finished,
                part.queued,
                part.running,
                part.succeeded,
                part.failed,
            )
            for part in detail.parts
        ],
    )
    for reason in detail.waiting:
        click.echo(reason)


def _read_job(path: Path) -> bytes:
    """Return the job in a TOML or JSON file as JSON; the server validates it."""
    try:
        raw = path.read_bytes()
        if path.suffix == ".json":
            return raw
        return msgspec.json.encode(tomllib.loads(raw.decode()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise CtlError(f"{path}: cannot be read: {exc}", ExitCode.USAGE) from exc
