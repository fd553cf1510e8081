"""The commands of `cassiaweir ctl key` and `cassiaweir ctl operator`."""

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
from cassiaweir.ctl._output import short_digest, show_table

MIN_SECRET_CHARACTERS = 20
MAX_WAIT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.2

wait_option = click.option(
    "--wait",
    is_flag=True,
    help="Wait up to 10 seconds until every process applies the change.",
)


@click.group()
def key() -> None:
    """Grant, list and withdraw the keys of teams."""


@key.command("grant")
@click.argument("team")
@wait_option
@json_option
@pass_ctl
def grant(ctl: CtlContext, team: str, wait: bool, as_json: bool) -> None:
    """Grant a new key to TEAM and print its secret, which cannot be shown again.

    Only the secret goes to standard output.

    Example: cassiaweir ctl key grant inspectors --wait
    """
    call = Call("POST", "/v1/admin/keys", body=KeyGrant(team=team))
    ctl.call_and_print(call, IssuedKey, _show_issued, as_json=as_json)
    if wait:
        wait_for_keys(ctl)


def _show_issued(issued: IssuedKey) -> None:
    click.echo(
        f"granted {short_digest(issued.digest)} to {issued.team}; secret, shown once:",
        err=True,
    )
    click.echo(issued.secret)


@key.command("list")
@click.option("--team", default="", help="Only the keys of this team.")
@json_option
@pass_ctl
def key_list(ctl: CtlContext, team: str, as_json: bool) -> None:
    """List keys; a key is named by its digest, as its secret is not stored.

    Example: cassiaweir ctl key list --team inspectors
    """
    call = Call("GET", "/v1/admin/keys", {"team": team})
    ctl.call_and_print(call, KeyList, _show_keys, as_json=as_json)


def _show_keys(response: KeyList) -> None:
    show_table(
        ("digest", "team", "state", "granted by", "granted at", "last use"),
        [
            (
                short_digest(item.digest),
                item.team,
                "withdrawn" if item.withdrawn else "in force",
                item.granted_by,
                item.granted_at,
                item.last_use,
            )
            for item in response.keys
        ],
    )


@key.command("withdraw")
@click.argument("digest")
@wait_option
@json_option
@pass_ctl
def withdraw(ctl: CtlContext, digest: str, wait: bool, as_json: bool) -> None:
    """Withdraw the key whose digest starts with DIGEST, for good.

    With --wait, exits with 4 if a process may still accept the key at the end.

    Example: cassiaweir ctl key withdraw 8c1f0a2b --wait
    """
    call = Call("DELETE", f"/v1/admin/keys/{quote(digest, safe='')}")
    ctl.call_and_print(
        call,
        WithdrawnKey,
        lambda response: click.echo(f"withdrawn {response.digest}"),
        as_json=as_json,
    )
    if wait:
        wait_for_keys(ctl)


def wait_for_keys(ctl: CtlContext) -> None:
    """Wait until every process has the newest version of the keys.

    Raises `CtlError` with the processes that are behind or did not answer when
    `MAX_WAIT_SECONDS` have passed.
    """
    client = ctl.client()
    deadline = time.monotonic() + MAX_WAIT_SECONDS
    while True:
        response = client.call(Call("GET", "/v1/admin/processes"), ProcessList)
        behind = [
            item.process
            for item in response.processes
            if response.keys_version is None
            or not item.answered
            or item.keys_version < response.keys_version
        ]
        if not behind:
            click.echo(
                f"change of keys in force in all {len(response.processes)} processes",
                err=True,
            )
            return
        if time.monotonic() > deadline:
            message = f"change of keys not confirmed in force in: {', '.join(behind)}"
            raise CtlError(message, ExitCode.UNAVAILABLE)
        time.sleep(POLL_INTERVAL_SECONDS)


@click.group()
def operator() -> None:
    """Add, list and remove operators."""


@operator.command("add")
@click.argument("name")
@click.option(
    "--role",
    "roles",
    multiple=True,
    required=True,
    help="author, reviewer or on_call; may be repeated.",
)
@json_option
@pass_ctl
def add(ctl: CtlContext, name: str, roles: tuple[str, ...], as_json: bool) -> None:
    """Add the operator NAME and print the credential, which cannot be shown again.

    Only the credential goes to standard output.

    Example: cassiaweir ctl operator add agata --role author --role on_call
    """
    body = NewOperator(name=name, roles=list(roles))
    call = Call("POST", "/v1/admin/operators", body=body)
    ctl.call_and_print(call, IssuedCredential, _show_credential, as_json=as_json)


def _show_credential(issued: IssuedCredential) -> None:
    click.echo(f"added {issued.name}; the credential is shown once:", err=True)
    click.echo(issued.credential)


@operator.command("list")
@json_option
@pass_ctl
def operator_list(ctl: CtlContext, as_json: bool) -> None:
    """List the operators and their roles.

    Example: cassiaweir ctl operator list
    """
    call = Call("GET", "/v1/admin/operators")
    ctl.call_and_print(call, OperatorList, _show_operators, as_json=as_json)


@operator.command("remove")
@click.argument("name")
@json_option
@pass_ctl
def remove(ctl: CtlContext, name: str, as_json: bool) -> None:
    """Remove the operator NAME, whose credential becomes invalid.

    Example: cassiaweir ctl operator remove agata
    """
    call = Call("DELETE", f"/v1/admin/operators/{quote(name, safe='')}")
    ctl.call_and_print(call, OperatorList, _show_operators, as_json=as_json)


@operator.command("digest")
def digest() -> None:
    """Print the digest of a secret read from standard input.

    Put the digest into the setting cell.first_operator_digest.  Make the secret
    with a random generator, and keep it out of the shell's history.

    Example: cassiaweir ctl operator digest < first-operator.key
    """
    secret = sys.stdin.read().strip()
    if len(secret) < MIN_SECRET_CHARACTERS:
        raise CtlError(
            f"the secret has {len(secret)} characters; expected at least "
            f"{MIN_SECRET_CHARACTERS}",
            ExitCode.USAGE,
        )
    click.echo(hashlib.sha256(secret.encode()).hexdigest())


def _show_operators(response: OperatorList) -> None:
    show_table(
        ("operator", "roles"), [(item.name, item.roles) for item in response.operators]
    )
