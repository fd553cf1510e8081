"""The commands of `cassiaweir ctl bundle`, for the configuration bundle."""

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
from cassiaweir.ctl._output import short_digest, show_table
from cassiaweir.ctl._status import show_processes

BUNDLES_PATH = "/v1/admin/bundles"
POLL_INTERVAL_SECONDS = 0.2


@click.group()
def bundle() -> None:
    """Check, review and roll out the configuration bundle.

    A bundle is the set of TOML files that defines teams, queues and services.  The
    commands that propose, approve and roll out a version also take its digest, so
    that only the content that was reviewed is rolled out.
    """


@bundle.command("check")
@click.argument("folder", type=click.Path(path_type=Path))
@json_option
@pass_ctl
def check(ctl: CtlContext, folder: Path, as_json: bool) -> None:
    """Check the TOML files in FOLDER.

    Compares them with the bundle in force and with the work that runs.  Exits with 1
    if there are findings, as a roll-out then needs --confirm.

    Example: cassiaweir ctl bundle check examples/bundle
    """
    call = Call("POST", f"{BUNDLES_PATH}/check", body=_read_draft(folder))
    report = ctl.call_and_print(call, CheckReport, _show_report, as_json=as_json)
    if report.findings:
        raise CtlError(f"{len(report.findings)} findings; roll-out needs --confirm")


@bundle.command("diff")
@click.argument("version", type=int)
@click.option(
    "--against",
    type=int,
    help="Version to compare with; by default, the version's base.",
)
@json_option
@pass_ctl
def diff(ctl: CtlContext, version: int, against: int | None, as_json: bool) -> None:
    """Show the changes that VERSION makes.

    It is compared with its base, or with the version given by --against.

    Example: cassiaweir ctl bundle diff 4 --against 2
    """
    query = {"against": str(against)} if against is not None else {}
    call = Call("GET", f"{BUNDLES_PATH}/{version}/diff", query)
    ctl.call_and_print(call, list[str], _show_lines, as_json=as_json)


@bundle.command("draft")
@click.argument("folder", type=click.Path(path_type=Path))
@json_option
@pass_ctl
def draft(ctl: CtlContext, folder: Path, as_json: bool) -> None:
    """Store the TOML files in FOLDER as a new version.

    Example: cassiaweir ctl bundle draft examples/bundle
    """
    call = Call("POST", BUNDLES_PATH, body=_read_draft(folder))
    ctl.call_and_print(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("propose")
@click.argument("version", type=int)
@click.argument("digest")
@json_option
@pass_ctl
def propose(ctl: CtlContext, version: int, digest: str, as_json: bool) -> None:
    """Ask for a review of the draft VERSION with DIGEST.

    Example: cassiaweir ctl bundle propose 4 0f3c...
    """
    call = Call(
        "POST", f"{BUNDLES_PATH}/{version}/propose", body=ProposeChange(digest=digest)
    )
    ctl.call_and_print(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("review")
@click.argument("version", type=int)
@json_option
@pass_ctl
def review(ctl: CtlContext, version: int, as_json: bool) -> None:
    """Show VERSION for its review.

    Prints its digest, its changes from the version in force, and the findings of the
    check.

    Example: cassiaweir ctl bundle review 4
    """
    call = Call("GET", f"{BUNDLES_PATH}/{version}/check")
    ctl.call_and_print(call, CheckReport, _show_report, as_json=as_json)


@bundle.command("approve")
@click.argument("version", type=int)
@click.argument("digest")
@click.option("--comment", default="", help="Text to store with the review.")
@click.option(
    "--reject", is_flag=True, help="Reject the version instead of approving it."
)
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
    """Approve VERSION with the DIGEST that was reviewed.

    The author of a version cannot approve it.

    Example: cassiaweir ctl bundle approve 4 0f3c... --comment "as agreed"
    """
    body = ReviewChange(digest=digest, approve=not reject, comment=comment)
    call = Call("POST", f"{BUNDLES_PATH}/{version}/review", body=body)
    ctl.call_and_print(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("rollout")
@click.argument("version", type=int)
@click.argument("digest")
@click.option(
    "--confirm", is_flag=True, help="Roll out despite the findings of the check."
)
@json_option
@pass_ctl
def rollout(
    ctl: CtlContext, version: int, digest: str, confirm: bool, as_json: bool
) -> None:
    """Put the approved VERSION with DIGEST in force.

    Example: cassiaweir ctl bundle rollout 4 0f3c...
    """
    body = RolloutChange(digest=digest, confirm=confirm)
    call = Call("POST", f"{BUNDLES_PATH}/{version}/rollout", body=body)
    ctl.call_and_print(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("revert-to")
@click.argument("version", type=int)
@click.option(
    "--from",
    "head",
    type=int,
    required=True,
    help="Version now in force; if another one is in force, nothing changes.",
)
@click.option(
    "--confirm", is_flag=True, help="Revert despite the findings of the check."
)
@json_option
@pass_ctl
def revert_to(
    ctl: CtlContext, version: int, head: int, confirm: bool, as_json: bool
) -> None:
    """Put the content of the earlier VERSION in force, as a new version.

    Example: cassiaweir ctl bundle revert-to 3 --from 5
    """
    body = RevertChange(head=head, confirm=confirm)
    call = Call("POST", f"{BUNDLES_PATH}/{version}/revert", body=body)
    ctl.call_and_print(call, BundleInfo, _show_bundle, as_json=as_json)


@bundle.command("history")
@json_option
@pass_ctl
def history(ctl: CtlContext, as_json: bool) -> None:
    """List all versions.

    Example: cassiaweir ctl bundle history
    """
    call = Call("GET", BUNDLES_PATH)
    ctl.call_and_print(
        call,
        BundleList,
        lambda response: _show_bundles(response.bundles),
        as_json=as_json,
    )


@bundle.command("status")
@click.option("--wait", is_flag=True, help="Wait until every process has the version.")
@click.option(
    "--timeout", default=10.0, show_default=True, help="Seconds to wait with --wait."
)
@json_option
@watch_option
@pass_ctl
def status(ctl: CtlContext, wait: bool, timeout: float, as_json: bool) -> None:
    """Show the version in force and which processes have it.

    With --wait, exits with 4 if a process has an older version or does not answer
    when the timeout ends.

    Example: cassiaweir ctl bundle status --wait
    """
    if wait:
        _wait_until_complete(ctl, timeout)
    call = Call("GET", f"{BUNDLES_PATH}/status")
    response = ctl.call_and_print(
        call, BundleStatus, _show_bundle_status, as_json=as_json
    )
    if wait and not response.complete:
        names = ", ".join([*response.behind, *response.silent])
        raise CtlError(
            f"version not confirmed in force in: {names}", ExitCode.UNAVAILABLE
        )


def _wait_until_complete(ctl: CtlContext, timeout: float) -> None:
    """Poll the status until it is complete or `timeout` seconds have passed.

    Prints the names of the processes that are waited for whenever they change.
    """
    client = ctl.client()
    deadline = time.monotonic() + timeout
    last_printed = ""
    while time.monotonic() < deadline:
        response = client.call(Call("GET", f"{BUNDLES_PATH}/status"), BundleStatus)
        if response.complete:
            return
        pending = ", ".join([*response.behind, *response.silent])
        if pending != last_printed:
            click.echo(f"waiting for {pending}", err=True)
            last_printed = pending
        time.sleep(POLL_INTERVAL_SECONDS)


def _read_draft(folder: Path) -> BundleDraft:
    """Return the TOML files in `folder`; the server checks their content."""
    paths = sorted(folder.glob("*.toml"))
    if not paths:
        raise CtlError(f"{folder}: contains no *.toml file", ExitCode.USAGE)
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
                short_digest(item.digest),
                item.state,
                item.author,
                item.approved_by,
                item.rolled_out_by,
                _remarks(item),
            )
            for item in bundles
        ],
    )


def _remarks(item: BundleInfo) -> str:
    remarks = []
    if item.in_force:
        remarks.append("in force")
    if item.reverts_to:
        remarks.append(f"reverts to {item.reverts_to}")
    return ", ".join(remarks)


def _show_bundle_status(response: BundleStatus) -> None:
    click.echo(
        f"version {response.version} digest {short_digest(response.digest)} by "
        f"{response.operator or 'nobody yet'}"
    )
    show_processes(response.processes)
