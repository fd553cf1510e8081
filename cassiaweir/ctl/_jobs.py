"""Commands about jobs."""

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
from cassiaweir.ctl._output import amount_text, show_table

FOLLOW_INTERVAL_SECONDS = 0.5


class SubmittedJob(msgspec.Struct):
    """The part of the answer to a submission that is shown."""

    job: str
    team: str
    shards: list[str]


@click.group()
def job() -> None:
    """Submit, list, show and cancel jobs."""


@job.command("list")
@click.option("--team", default="", help="Only jobs of this team.")
@click.option("--queue", default="", help="Only jobs of this queue.")
@click.option("--prefix", default="", help="Only names that start so.")
@click.option("--after", default="", help="Continue after this job.")
@click.option("--limit", default=100, show_default=True, help="Jobs a page.")
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
    """List the jobs of all teams by name.

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
    ctl.ask(call, JobList, _show_jobs, as_json=as_json)


def _show_jobs(found: JobList) -> None:
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
            for item in found.jobs
        ],
    )
    if found.after:
        click.echo(f"more: --after {found.after}", err=True)


@job.command("show")
@click.argument("name")
@json_option
@watch_option
@pass_ctl
def job_show(ctl: CtlContext, name: str, as_json: bool) -> None:
    """Show the job NAME and the state of its parts.

    Example: cassiaweir ctl job show fuel-audits.audit
    """
    _ask_job(ctl, name, as_json)


@click.command()
@click.argument("name")
@json_option
@watch_option
@pass_ctl
def explain(ctl: CtlContext, name: str, as_json: bool) -> None:
    """Say why tasks of the job NAME wait.

    Example: cassiaweir ctl explain fuel-audits.audit
    """
    _ask_job(ctl, name, as_json)


@job.command("submit")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--follow", is_flag=True, help="Wait until the job has ended.")
@json_option
@pass_ctl
def submit(ctl: CtlContext, file: Path, follow: bool, as_json: bool) -> None:
    """Submit the job in the TOML or JSON FILE with the key of a team.

    The credential is here the team's key: work is accepted only for the team whose
    key comes with it, from operators too.

    Example: CASSIAWEIR_CREDENTIAL=$(cat team.key) cassiaweir ctl job submit audit.toml
    """
    call = Call("POST", "/v1/jobs", body=_read_job(file))
    found = ctl.ask(call, SubmittedJob, _show_submitted, as_json=as_json)
    if follow:
        _follow(ctl, found.job)


class FollowedPart(msgspec.Struct):
    """The part of a job in one shard, as its team sees it."""

    queued: int = 0
    running: int = 0
    succeeded: int = 0
    failed: int = 0


class FollowedJob(msgspec.Struct):
    """A job as its team sees it."""

    done: list[FollowedPart]
    open: list[msgspec.Raw]
    live: list[FollowedPart]


def _follow(ctl: CtlContext, name: str) -> None:
    """Print one line a change until the job has ended; fail where a task did."""
    client = ctl.client()
    shown = ""
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
        if line != shown:
            click.echo(line, err=True)
            shown = line
        if not state.open:
            break
        time.sleep(FOLLOW_INTERVAL_SECONDS)
    if failed:
        raise CtlError(f"{name}: {failed} tasks failed")


@job.command("cancel")
@click.argument("name", required=False, default="")
@click.option("--team", default="", help="All jobs of this team.")
@click.option("--prefix", default="", help="All jobs whose names start so.")
@json_option
@pass_ctl
def cancel(ctl: CtlContext, name: str, team: str, prefix: str, as_json: bool) -> None:
    """Cancel the job NAME, or those that --team and --prefix select.

    Example: cassiaweir ctl job cancel --team fuel-audits --prefix fuel-audits.night
    """
    if bool(name) == bool(team or prefix):
        raise click.UsageError("give either NAME or a selector")
    if name:
        call = Call("DELETE", f"/v1/admin/jobs/{quote(name, safe='')}")
        ctl.ask(
            call,
            JobInfo,
            lambda found: click.echo(f"cancelled {found.job} of {found.team}"),
            as_json=as_json,
        )
        return
    body = CancelSelector(team=team, prefix=prefix)
    call = Call("POST", "/v1/admin/jobs/cancel", body=body)
    found = ctl.ask(call, CancelledJobs, _show_cancelled, as_json=as_json)
    if found.failed:
        raise CtlError(f"{len(found.failed)} jobs were not cancelled; repeat")


def _show_cancelled(found: CancelledJobs) -> None:
    for name in found.cancelled:
        click.echo(f"cancelled {name}")
    for name in found.failed:
        click.echo(f"not cancelled {name}", err=True)


def _show_submitted(found: SubmittedJob) -> None:
    click.echo(f"submitted {found.job} of {found.team} to {', '.join(found.shards)}")


def _ask_job(ctl: CtlContext, name: str, as_json: bool) -> None:
    call = Call("GET", f"/v1/admin/jobs/{quote(name, safe='')}")
    ctl.ask(call, JobDetail, _show_detail, as_json=as_json)


def _show_detail(detail: JobDetail) -> None:
    item = detail.job
    state = "finished" if detail.finished else "open"
    if item.cancelled:
        state += ", cancelled"
    click.echo(
        f"{item.job}: {item.kind} of team {item.team}, queue {item.queue}, "
        f"{item.urgency}, {item.tasks} tasks of {amount_text(item.size)}, {state}, "
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
    """Return the job in a TOML or JSON file as JSON; the server checks it."""
    try:
        raw = path.read_bytes()
        if path.suffix == ".json":
            return raw
        return msgspec.json.encode(tomllib.loads(raw.decode()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise CtlError(f"{path}: cannot be read: {exc}", ExitCode.USAGE) from exc
