"""What all commands share: options, the credential, errors on one line."""

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

CREDENTIAL_VARIABLE = "CASSIAWEIR_CREDENTIAL"
SERVER_VARIABLE = "CASSIAWEIR_SERVER"
DEFAULT_SERVER = "http://127.0.0.1:7200"
WATCH_INTERVAL_SECONDS = 2.0

Message = TypeVar("Message")


class CtlContext:
    """The server and the credential of one invocation."""

    def __init__(self, server: str, credential_file: Path | None) -> None:
        self._server = server if "://" in server else f"http://{server}"
        self._credential_file = credential_file

    def client(self) -> Client:
        """Return a client with the credential, read from its file or variable."""
        return Client(self._server.rstrip("/"), self._read_credential())

    def ask(
        self,
        call: Call,
        kind: type[Message],
        show: Callable[[Message], None],
        *,
        as_json: bool,
    ) -> Message:
        """Send one call, print its answer, and return it."""
        raw = self.client().call_raw(call)
        answer = decode(raw, kind)
        if as_json:
            show_json(raw)
        else:
            show(answer)
        return answer

    def _read_credential(self) -> str:
        text = os.environ.get(CREDENTIAL_VARIABLE, "")
        if self._credential_file is not None:
            try:
                text = self._credential_file.read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as exc:
                raise CtlError(
                    f"{self._credential_file}: the credential cannot be read",
                    ExitCode.USAGE,
                ) from exc
        secret = text.strip()
        if not secret or not secret.isascii() or not secret.isprintable():
            raise CtlError(
                f"no credential: name its file with --credential-file or put it into "
                f"{CREDENTIAL_VARIABLE}",
                ExitCode.USAGE,
            )
        return secret


class OneLineErrors(click.Group):
    """Prints errors on one line to standard error and exits with their code."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
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
    """Add `--json`."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON.")(command)


def watch_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add `--watch`, which repeats the command until it is interrupted."""

    @click.option("--watch", is_flag=True, help="Repeat every 2 seconds.")
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
