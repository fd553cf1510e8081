"""Commands about the configuration bundle."""

from __future__ import annotations

import time
from pathlib import Path

import click

from cassiaweir.administration import (
    BundleDraft,
    BundleFile,
    BundleInfo,
    BundleList,
    BundleStatus,
    CheckReport,
    ProposeChange,
    RevertChange,
    ReviewChange,
    RolloutChange,
)
from cassiaweir.ctl._client import Call, CtlError, ExitCode
from cassiaweir.ctl._context import CtlContext, json_option, pass_ctl, watch_option
from cassiaweir.ctl._output import short, show_table
from cassiaweir.ctl._status import show_processes

PATH = "/v1/admin/bundles"
WAIT_INTERVAL_SECONDS = 0.2


@click.group()
def bundle() -> None:
    """Check, review and roll out the configuration bundle.

    The digest that was reviewed is the one that is rolled out.
    """


@bundle.command("check")
@click.argument("folder", type=click.Path(path_type=Path))
@json_option
@pass_ctl
def check(ctl: CtlContext, folder: Path, as_json: bool) -> None:
    """Check the TOML files in FOLDER against what is in force and what runs.

    Exits with 1 where the roll-out would ask for --confirm.

    Example: cassiaweir ctl bundle check examples/bundle
    """
    call = Call("POST", f"{PATH}/check", body=_read_draft(folder))
    report = ctl.ask(call, CheckReport, _show_report, as_json=as_json)
    if report.findings:
        raise CtlError(f"{len(report.findings)} findings; roll-out needs --confirm")


@bundle.command("diff")
@click.argument("version", type=int)
@click.option("--against", type=int, help="Version to compare with; else its base.")
@json_option
@pass_ctl
def diff(ctl: CtlContext, version: int, against: int | None, as_json: bool) -> None:
    """Show what VERSION changes.

    Example: cassiaweir ctl bundle diff 4 --against 2
    """
    query = {"against": str(against)} if against is not None else {}
    call = Call("GET", f"{PATH}/{version}/diff", query)
    ctl.ask(call, list[str], _show_lines, as_json=as_json)


@bundle.command("draft")
@click.argument("folder", type=click.Path(path_type=Path))
@json_option
@pass_ctl
def draft(ctl: CtlContext, folder: Path, as_json: bool) -> None:
    """Store the TOML files in FOLDER as a new version.

    Example: cassiaweir ctl bundle draft examples/bundle
    """
    call = Call("POST", PATH, body=_read_draft(folder))
    ctl.ask(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("propose")
@click.argument("version", type=int)
@click.argument("digest")
@json_option
@pass_ctl
def propose(ctl: CtlContext, version: int, digest: str, as_json: bool) -> None:
    """Ask for the review of the draft VERSION with DIGEST.

    Example: cassiaweir ctl bundle propose 4 0f3c...
    """
    call = Call("POST", f"{PATH}/{version}/propose", body=ProposeChange(digest=digest))
    ctl.ask(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("review")
@click.argument("version", type=int)
@json_option
@pass_ctl
def review(ctl: CtlContext, version: int, as_json: bool) -> None:
    """Show what VERSION changes, with its digest and findings, for its review.

    Example: cassiaweir ctl bundle review 4
    """
    call = Call("GET", f"{PATH}/{version}/check")
    ctl.ask(call, CheckReport, _show_report, as_json=as_json)


@bundle.command("approve")
@click.argument("version", type=int)
@click.argument("digest")
@click.option("--comment", default="", help="Kept with the review.")
@click.option("--reject", is_flag=True, help="Reject it instead.")
@json_option
@pass_ctl
def approve(
    ctl: CtlContext,
    version: int,
    digest: str,
    comment: str,
    reject: bool,
    as_json: bool,
) -> None:
    """Approve VERSION with the DIGEST that was read; not for its author.

    Example: cassiaweir ctl bundle approve 4 0f3c... --comment "as agreed"
    """
    body = ReviewChange(digest=digest, approve=not reject, comment=comment)
    call = Call("POST", f"{PATH}/{version}/review", body=body)
    ctl.ask(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("rollout")
@click.argument("version", type=int)
@click.argument("digest")
@click.option("--confirm", is_flag=True, help="Accept the findings of the check.")
@json_option
@pass_ctl
def rollout(
    ctl: CtlContext, version: int, digest: str, confirm: bool, as_json: bool
) -> None:
    """Put the approved VERSION with DIGEST in force.

    Example: cassiaweir ctl bundle rollout 4 0f3c...
    """
    body = RolloutChange(digest=digest, confirm=confirm)
    call = Call("POST", f"{PATH}/{version}/rollout", body=body)
    ctl.ask(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("revert-to")
@click.argument("version", type=int)
@click.option(
    "--from",
    "head",
    type=int,
    required=True,
    help="Version in force that you have seen; no other one is undone.",
)
@click.option("--confirm", is_flag=True, help="Accept the findings of the check.")
@json_option
@pass_ctl
def revert_to(
    ctl: CtlContext, version: int, head: int, confirm: bool, as_json: bool
) -> None:
    """Put the content of the earlier VERSION in force, as a new version.

    Example: cassiaweir ctl bundle revert-to 3 --from 5
    """
    body = RevertChange(head=head, confirm=confirm)
    call = Call("POST", f"{PATH}/{version}/revert", body=body)
    ctl.ask(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("history")
@json_option
@pass_ctl
def history(ctl: CtlContext, as_json: bool) -> None:
    """List all versions.

    Example: cassiaweir ctl bundle history
    """
    call = Call("GET", PATH)
    ctl.ask(
        call, BundleList, lambda found: _show_bundles(found.bundles), as_json=as_json
    )


@bundle.command("status")
@click.option("--wait", is_flag=True, help="Wait until every process has it.")
@click.option("--timeout", default=10.0, show_default=True, help="Seconds to wait.")
@json_option
@watch_option
@pass_ctl
def status(ctl: CtlContext, wait: bool, timeout: float, as_json: bool) -> None:
    """Show the version in force and which processes have it.

    With --wait it exits with 4 where a process is behind or silent at the end.

    Example: cassiaweir ctl bundle status --wait
    """
    if wait:
        _wait_complete(ctl, timeout)
    call = Call("GET", f"{PATH}/status")
    found = ctl.ask(call, BundleStatus, _show_bundle_status, as_json=as_json)
    if wait and not found.complete:
        names = ", ".join([*found.behind, *found.silent])
        raise CtlError(f"not in force in: {names}", ExitCode.UNAVAILABLE)


def _wait_complete(ctl: CtlContext, timeout: float) -> None:
    """Ask until the status is complete or the time is over; say who is awaited."""
    client = ctl.client()
    until = time.monotonic() + timeout
    shown = ""
    while time.monotonic() < until:
        found = client.call(Call("GET", f"{PATH}/status"), BundleStatus)
        if found.complete:
            return
        awaited = ", ".join([*found.behind, *found.silent])
        if awaited != shown:
            click.echo(f"waiting for {awaited}", err=True)
            shown = awaited
        time.sleep(WAIT_INTERVAL_SECONDS)


def _read_draft(folder: Path) -> BundleDraft:
    """Return the TOML files of a folder; the server checks them."""
    paths = sorted(folder.glob("*.toml"))
    if not paths:
        raise CtlError(f"{folder}: holds no *.toml file", ExitCode.USAGE)
    try:
        files = [
            BundleFile(name=path.name, text=path.read_text(encoding="utf-8"))
            for path in paths
        ]
    except (OSError, UnicodeDecodeError) as exc:
        raise CtlError(f"{folder}: cannot be read: {exc}", ExitCode.USAGE) from exc
    return BundleDraft(files=files)


def _show_lines(lines: list[str]) -> None:
    for line in lines or ["no change"]:
        click.echo(line)


def _show_report(report: CheckReport) -> None:
    click.echo(f"digest {report.digest}, compared with version {report.base}")
    _show_lines(report.changes)
    for finding in report.findings:
        click.echo(f"{finding.kind}: {finding.detail}")


def _show_bundle(item: BundleInfo) -> None:
    click.echo(f"version {item.version} digest {item.digest} is {item.state}")


def _show_bundles(bundles: list[BundleInfo]) -> None:
    show_table(
        ("version", "base", "digest", "state", "author", "approved", "rolled out", ""),
        [
            (
                item.version,
                item.base,
                short(item.digest),
                item.state,
                item.author,
                item.approved_by,
                item.rolled_out_by,
                _remark(item),
            )
            for item in bundles
        ],
    )


def _remark(item: BundleInfo) -> str:
    words = []
    if item.in_force:
        words.append("in force")
    if item.reverts_to:
        words.append(f"reverts to {item.reverts_to}")
    return ", ".join(words)


def _show_bundle_status(found: BundleStatus) -> None:
    click.echo(
        f"version {found.version} digest {short(found.digest)} by "
        f"{found.operator or 'nobody yet'}"
    )
    show_processes(found.processes)
