"""The group `cassiaweir ctl` and its commands that only read the state of the cell."""

from __future__ import annotations

from pathlib import Path

import click

from cassiaweir.administration import (
    AuditList,
    ProcessList,
    QueueList,
    ServiceList,
    ShardList,
    StatusReport,
    TeamList,
    TimelineReport,
)
from cassiaweir.ctl._bundle import bundle
from cassiaweir.ctl._client import Call
from cassiaweir.ctl._context import (
    DEFAULT_SERVER,
    CtlContext,
    OneLineErrorGroup,
    json_option,
    pass_ctl,
    watch_option,
)
from cassiaweir.ctl._jobs import explain, job
from cassiaweir.ctl._keys import key, operator
from cassiaweir.ctl._output import short_digest, show_table
from cassiaweir.ctl._status import show_processes, show_shards, show_status, show_teams
from cassiaweir.ctl._vms import vm
from cassiaweir.variables import SERVER_VARIABLE

EPILOG = (
    "Exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 conflict "
    "with another operator's change, 4 unavailable, try again. Completion in bash: "
    'eval "$(_CASSIAWEIR_COMPLETE=bash_source cassiaweir)".'
)


@click.group(cls=OneLineErrorGroup, epilog=EPILOG)
@click.option(
    "--server",
    envvar=SERVER_VARIABLE,
    default=DEFAULT_SERVER,
    show_default=True,
    help="Address of any entry VM or of the load balancer.",
)
@click.option(
    "--credential-file",
    type=click.Path(path_type=Path),
    help="File with the credential; without it, CASSIAWEIR_CREDENTIAL is used.",
)
@click.pass_context
def ctl(ctx: click.Context, server: str, credential_file: Path | None) -> None:
    """Operate a cell through the administration API of any entry VM.

    Example: cassiaweir ctl --server 10.0.0.1:7200 --credential-file me.key status
    """
    ctx.obj = CtlContext(server, credential_file)


@ctl.command()
@json_option
@watch_option
@pass_ctl
def status(ctl: CtlContext, as_json: bool) -> None:
    """Show the state of processes, shards and teams on one screen.

    Example: cassiaweir ctl status --watch
    """
    call = Call("GET", "/v1/admin/status")
    ctl.call_and_print(call, StatusReport, show_status, as_json=as_json)


@ctl.command()
@click.option("--job", default="", help="Only events about this job.")
@click.option("--request", default="", help="Only events about this request.")
@click.option("--vm", default="", help="Only events about this VM.")
@click.option("--kind", "kinds", multiple=True, help="Only events of these kinds.")
@click.option("--since", default="", help="Only events since this ISO 8601 time.")
@click.option(
    "--trace",
    type=click.Path(path_type=Path),
    help="Write the events to this file, for a trace viewer.",
)
@json_option
@pass_ctl
def timeline(
    ctl: CtlContext,
    job: str,
    request: str,
    vm: str,
    kinds: tuple[str, ...],
    since: str,
    trace: Path | None,
    as_json: bool,
) -> None:
    """Show the events of all processes in the order of their times.

    Example: cassiaweir ctl timeline --job fuel-audits.audit
    """
    query = {
        "job": job,
        "request": request,
        "vm": vm,
        "kinds": ",".join(kinds),
        "since": since,
    }
    if trace is not None:
        query["format"] = "trace"
        trace.write_bytes(
            ctl.client().call_raw(Call("GET", "/v1/admin/timeline", query))
        )
        click.echo(f"wrote {trace}")
        return
    call = Call("GET", "/v1/admin/timeline", query)
    ctl.call_and_print(call, TimelineReport, _show_timeline, as_json=as_json)


def _show_timeline(report: TimelineReport) -> None:
    for line in report.lines:
        click.echo(line)
    for process in report.silent:
        click.echo(f"no answer from {process}", err=True)


@ctl.group()
def team() -> None:
    """Show teams, which only a bundle changes."""


@team.command("list")
@json_option
@watch_option
@pass_ctl
def team_list(ctl: CtlContext, as_json: bool) -> None:
    """List the teams of the bundle in force.

    Example: cassiaweir ctl team list
    """
    call = Call("GET", "/v1/admin/teams")
    ctl.call_and_print(
        call, TeamList, lambda response: show_teams(response.teams), as_json=as_json
    )


@ctl.group()
def queue() -> None:
    """Show queues, which only a bundle changes."""


@queue.command("list")
@json_option
@pass_ctl
def queue_list(ctl: CtlContext, as_json: bool) -> None:
    """List the queues of the bundle in force.

    Example: cassiaweir ctl queue list
    """
    call = Call("GET", "/v1/admin/queues")
    ctl.call_and_print(call, QueueList, _show_queues, as_json=as_json)


def _show_queues(response: QueueList) -> None:
    show_table(
        ("queue", "open", "team", "services"),
        [(item.name, item.open, item.team, item.services) for item in response.queues],
    )


@ctl.group()
def service() -> None:
    """Show the services that backend servers provide."""


@service.command("list")
@json_option
@pass_ctl
def service_list(ctl: CtlContext, as_json: bool) -> None:
    """List the services of the bundle in force.

    Example: cassiaweir ctl service list
    """
    call = Call("GET", "/v1/admin/services")
    ctl.call_and_print(call, ServiceList, _show_services, as_json=as_json)


def _show_services(response: ServiceList) -> None:
    show_table(
        ("service", "queues", "servers", "slots"),
        [
            (item.name, item.queues, item.servers, item.slots)
            for item in response.services
        ],
    )


@ctl.group()
def shard() -> None:
    """Show shards and the processes that own them."""


@shard.command("list")
@json_option
@watch_option
@pass_ctl
def shard_list(ctl: CtlContext, as_json: bool) -> None:
    """List the shards with their owners and loads.

    Example: cassiaweir ctl shard list
    """
    call = Call("GET", "/v1/admin/shards")
    ctl.call_and_print(
        call, ShardList, lambda response: show_shards(response.shards), as_json=as_json
    )


@ctl.group()
def process() -> None:
    """Show the processes of the cell."""


@process.command("list")
@json_option
@watch_option
@pass_ctl
def process_list(ctl: CtlContext, as_json: bool) -> None:
    """List the processes with the versions of bundle and keys in force in each.

    Example: cassiaweir ctl process list
    """
    call = Call("GET", "/v1/admin/processes")
    ctl.call_and_print(
        call,
        ProcessList,
        lambda response: show_processes(response.processes),
        as_json=as_json,
    )


@ctl.group()
def audit() -> None:
    """Show the audit record of operators' changes."""


@audit.command("list")
@click.option(
    "--area",
    default="",
    help="Only changes in this area: bundle, keys, operators, vms or jobs.",
)
@click.option("--operator", default="", help="Only changes of this operator.")
@click.option(
    "--limit", default=100, show_default=True, help="Number of newest entries to list."
)
@json_option
@pass_ctl
def audit_list(
    ctl: CtlContext, area: str, operator: str, limit: int, as_json: bool
) -> None:
    """List the newest changes with their operators, oldest first.

    Example: cassiaweir ctl audit list --area keys
    """
    query = {"area": area, "operator": operator, "limit": str(limit)}
    call = Call("GET", "/v1/admin/audit", query)
    ctl.call_and_print(call, AuditList, _show_audit, as_json=as_json)


def _show_audit(response: AuditList) -> None:
    show_table(
        ("at", "operator", "area", "action", "version", "digest", "detail"),
        [
            (
                item.at,
                item.operator,
                item.area,
                item.action,
                item.version or None,
                short_digest(item.digest),
                item.detail,
            )
            for item in response.entries
        ],
    )


for command in (bundle, explain, job, key, operator, vm):
    ctl.add_command(command)
