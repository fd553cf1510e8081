"""Options, credential and error output that all commands share."""

from __future__ import annotations

import functools
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from cassiaweir.ctl._client import Call, Client, CtlError, ExitCode, decode
from cassiaweir.ctl._output import show_json
from cassiaweir.exceptions import CassiaweirError
from cassiaweir.variables import CREDENTIAL_VARIABLE

DEFAULT_SERVER = "http://127.0.0.1:7200"
WATCH_INTERVAL_SECONDS = 2.0

Response = TypeVar("Response")


class CtlContext:
    """The server address and the credential file of one invocation.

    Without a file, the credential comes from the environment.
    """

    def __init__(self, server: str, credential_file: Path | None) -> None:
        self._server = server if "://" in server else f"http://{server}"
        self._credential_file = credential_file

    def client(self) -> Client:
        """Read the credential and return a client that uses it.

        Raises `CtlError` if there is no usable credential.
        """
        return Client(self._server.rstrip("/"), self._read_credential())

    def call_and_print(
        self,
        call: Call,
        response_type: type[Response],
        show: Callable[[Response], None],
        *,
        as_json: bool,
    ) -> Response:
        """Send `call`, print the response and return it decoded.

        It is printed by `show`, or as JSON if `as_json` is set.
        """
        raw = self.client().call_raw(call)
        response = decode(raw, response_type)
        if as_json:
            show_json(raw)
        else:
            show(response)
        return response

    def _read_credential(self) -> str:
        text = os.environ.get(CREDENTIAL_VARIABLE, "")
        if self._credential_file is not None:
            try:
                text = self._credential_file.read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as exc:
                raise CtlError(
                    f"{self._credential_file}: cannot read the credential",
                    ExitCode.USAGE,
                ) from exc
        secret = text.strip()
        if not secret or not secret.isascii() or not secret.isprintable():
            raise CtlError(
                f"no credential, or not in printable ASCII: give its file with "
                f"--credential-file or set {CREDENTIAL_VARIABLE}",
                ExitCode.USAGE,
            )
        return secret


class OneLineErrorGroup(click.Group):
    """A command group that prints an error on one line of standard error.

    It exits with the code of a `CtlError`, and with 1 for another `CassiaweirError`.
    """

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command, and exit with the error's code if it fails."""
        try:
            return super().invoke(ctx)
        except CtlError as exc:
            click.echo(f"cassiaweir ctl: {exc}", err=True)
            ctx.exit(exc.code)
        except CassiaweirError as exc:
            click.echo(f"cassiaweir ctl: {' '.join(str(exc).split())}", err=True)
            ctx.exit(ExitCode.FAILED)


pass_ctl = click.make_pass_decorator(CtlContext)


def json_option(command: click.decorators.FC) -> click.decorators.FC:
    """Add the option `--json`, which the command takes as `as_json`."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON.")(command)


def watch_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the option `--watch`, which repeats the command until it is interrupted."""

    @click.option(
        "--watch", is_flag=True, help="Repeat every 2 seconds until interrupted."
    )
    @functools.wraps(command)
    def repeat(*args: Any, watch: bool, **options: Any) -> None:
        while True:
            if watch and sys.stdout.isatty():
                click.clear()
            command(*args, **options)
            if not watch:
                return
            time.sleep(WATCH_INTERVAL_SECONDS)

    return repeat
