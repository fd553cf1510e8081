"""Commands about keys and operators."""

from __future__ import annotations

import hashlib
import sys
import time
from urllib.parse import quote

import click

from cassiaweir.administration import (
    IssuedCredential,
    IssuedKey,
    KeyGrant,
    KeyList,
    NewOperator,
    OperatorList,
    ProcessList,
    WithdrawnKey,
)
from cassiaweir.ctl._client import Call, CtlError, ExitCode
from cassiaweir.ctl._context import CtlContext, json_option, pass_ctl
from cassiaweir.ctl._output import short, show_table

SHORTEST_SECRET = 20
LONGEST_WAIT_SECONDS = 10.0
WAIT_INTERVAL_SECONDS = 0.2

wait_option = click.option(
    "--wait", is_flag=True, help="Wait until every process knows."
)


@click.group()
def key() -> None:
    """Grant, list and withdraw keys of teams."""


@key.command("grant")
@click.argument("team")
@wait_option
@json_option
@pass_ctl
def grant(ctl: CtlContext, team: str, wait: bool, as_json: bool) -> None:
    """Grant a key to TEAM; the secret is shown once, on standard output.

    Example: cassiaweir ctl key grant inspectors --wait
    """
    call = Call("POST", "/v1/admin/keys", body=KeyGrant(team=team))
    ctl.ask(call, IssuedKey, _show_issued, as_json=as_json)
    if wait:
        wait_for_keys(ctl)


def _show_issued(issued: IssuedKey) -> None:
    click.echo(
        f"granted {short(issued.digest)} to {issued.team}; shown once:", err=True
    )
    click.echo(issued.secret)


@key.command("list")
@click.option("--team", default="", help="Only the keys of this team.")
@json_option
@pass_ctl
def key_list(ctl: CtlContext, team: str, as_json: bool) -> None:
    """List keys by their digests.

    Example: cassiaweir ctl key list --team inspectors
    """
    call = Call("GET", "/v1/admin/keys", {"team": team})
    ctl.ask(call, KeyList, _show_keys, as_json=as_json)


def _show_keys(found: KeyList) -> None:
    show_table(
        ("digest", "team", "state", "granted by", "granted at", "last use"),
        [
            (
                short(item.digest),
                item.team,
                "withdrawn" if item.withdrawn else "in force",
                item.granted_by,
                item.granted_at,
                item.last_use,
            )
            for item in found.keys
        ],
    )


@key.command("withdraw")
@click.argument("digest")
@wait_option
@json_option
@pass_ctl
def withdraw(ctl: CtlContext, digest: str, wait: bool, as_json: bool) -> None:
    """Withdraw the key whose DIGEST starts so; it never works again.

    With --wait it exits with 4 where a process may still accept the key.

    Example: cassiaweir ctl key withdraw 8c1f0a2b --wait
    """
    call = Call("DELETE", f"/v1/admin/keys/{quote(digest, safe='')}")
    ctl.ask(
        call,
        WithdrawnKey,
        lambda found: click.echo(f"withdrawn {found.digest}"),
        as_json=as_json,
    )
    if wait:
        wait_for_keys(ctl)


def wait_for_keys(ctl: CtlContext) -> None:
    """Wait until every process has the keys as they are now, or raise `CtlError`."""
    client = ctl.client()
    until = time.monotonic() + LONGEST_WAIT_SECONDS
    while True:
        found = client.call(Call("GET", "/v1/admin/processes"), ProcessList)
        behind = [
            item.process
            for item in found.processes
            if found.keys_version is None
            or not item.answered
            or item.keys_version < found.keys_version
        ]
        if not behind:
            click.echo(f"in force in {len(found.processes)} processes", err=True)
            return
        if time.monotonic() > until:
            message = f"not in force, or no answer: {', '.join(behind)}"
            raise CtlError(message, ExitCode.UNAVAILABLE)
        time.sleep(WAIT_INTERVAL_SECONDS)


@click.group()
def operator() -> None:
    """Add, list and remove operators."""


@operator.command("add")
@click.argument("name")
@click.option(
    "--role", "roles", multiple=True, required=True, help="author, reviewer, on_call"
)
@json_option
@pass_ctl
def add(ctl: CtlContext, name: str, roles: tuple[str, ...], as_json: bool) -> None:
    """Add the operator NAME; the credential is shown once, on standard output.

    Example: cassiaweir ctl operator add agata --role author --role on_call
    """
    body = NewOperator(name=name, roles=list(roles))
    call = Call("POST", "/v1/admin/operators", body=body)
    ctl.ask(call, IssuedCredential, _show_credential, as_json=as_json)


def _show_credential(issued: IssuedCredential) -> None:
    click.echo(f"added {issued.name}; the credential is shown once:", err=True)
    click.echo(issued.credential)


@operator.command("list")
@json_option
@pass_ctl
def operator_list(ctl: CtlContext, as_json: bool) -> None:
    """List the operators.

    Example: cassiaweir ctl operator list
    """
    call = Call("GET", "/v1/admin/operators")
    ctl.ask(call, OperatorList, _show_operators, as_json=as_json)


@operator.command("remove")
@click.argument("name")
@json_option
@pass_ctl
def remove(ctl: CtlContext, name: str, as_json: bool) -> None:
    """Remove the operator NAME and the credential.

    Example: cassiaweir ctl operator remove agata
    """
    call = Call("DELETE", f"/v1/admin/operators/{quote(name, safe='')}")
    ctl.ask(call, OperatorList, _show_operators, as_json=as_json)


@operator.command("digest")
def digest() -> None:
    """Print the digest of a secret read from standard input.

    It goes into the setting cell.first_operator_digest.  Make the secret with
    a generator of random numbers, and keep it out of the shell's history.

    Example: cassiaweir ctl operator digest < first-operator.key
    """
    secret = sys.stdin.read().strip()
    if len(secret) < SHORTEST_SECRET:
        raise CtlError(
            f"a secret has at least {SHORTEST_SECRET} characters", ExitCode.USAGE
        )
    click.echo(hashlib.sha256(secret.encode()).hexdigest())


def _show_operators(found: OperatorList) -> None:
    show_table(
        ("operator", "roles"), [(item.name, item.roles) for item in found.operators]
    )
