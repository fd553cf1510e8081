"""Operators of a run: they set the cell up by `cassiaweir ctl`, as people would."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from cassiaweir.administration import BundleInfo
from cassiaweir.configuration import OperatorRole, secret_digest

REPOSITORY = Path(__file__).parent.parent
BUNDLE = Path("examples/bundle")
FIRST_OPERATOR_SECRET = "the-first-operator-of-a-run"
FIRST_OPERATOR_SETTING = (
    f"cell.first_operator_digest={secret_digest(FIRST_OPERATOR_SECRET)}"
)
EVERY_ROLE = [str(role) for role in OperatorRole]
FIRST = "first"
AUTHOR = "agata"
REVIEWER = "josefina"


class CtlFailedError(Exception):
    """A command of the command line failed."""


@dataclass(slots=True)
class OperatorDesk:
    """Two operators with every role, who type at `cassiaweir ctl`.

    Their credentials are files in `folder`.  With `echo` each command and its output
    are shown, but for credentials and keys.
    """

    server: str
    folder: Path
    echo: bool = False

    @classmethod
    async def open(
        cls, server: str, folder: Path, *, echo: bool = False
    ) -> OperatorDesk:
        """Add the two operators to the cell that `server` belongs to."""
        desk = cls(server, folder, echo)
        desk.keep(FIRST, FIRST_OPERATOR_SECRET)
        roles = [word for role in EVERY_ROLE for word in ("--role", role)]
        for name in (AUTHOR, REVIEWER):
            desk.keep(name, await desk.secret(FIRST, "operator", "add", name, *roles))
        return desk

    def keep(self, name: str, secret: str) -> None:
        """Store a credential for its owner's eyes only."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{name}.credential"
        path.touch(mode=0o600)
        path.write_text(secret, encoding="utf-8")

    async def roll_out(self, bundle: Path, *, confirm: bool = False) -> int:
        """Take `bundle` through its life to being in force; return its version."""
        raw = await self.run(AUTHOR, "bundle", "draft", str(bundle), "--json")
        draft = msgspec.json.decode(raw, type=BundleInfo)
        named = (str(draft.version), draft.digest)
        await self.run(AUTHOR, "bundle", "propose", *named)
        await self.run(REVIEWER, "bundle", "review", str(draft.version))
        await self.run(REVIEWER, "bundle", "approve", *named)
        flags = ("--confirm",) if confirm else ()
        await self.run(REVIEWER, "bundle", "rollout", *named, *flags)
        await self.run(REVIEWER, "bundle", "status", "--wait")
        return draft.version

    async def set_up(self, teams: Sequence[str]) -> dict[str, str]:
        """Roll the example bundle out and return a key for each of `teams`."""
        await self.roll_out(BUNDLE)
        return {
            team: await self.secret(AUTHOR, "key", "grant", team, "--wait")
            for team in teams
        }

    async def run(self, operator: str, *words: str) -> str:
        """Return the output of one command, or raise `CtlFailedError`."""
        output = await self._run(operator, words)
        if self.echo:
            click.echo(output.rstrip())
        return output

    async def secret(self, operator: str, *words: str) -> str:
        """Return the secret that a command prints, without showing it."""
        return (await self._run(operator, words)).strip()

    async def _run(self, operator: str, words: Sequence[str]) -> str:
        if self.echo:
            click.echo(f"{operator}$ cassiaweir ctl {' '.join(words)}")
        credential = self.folder / f"{operator}.credential"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cassiaweir",
            "ctl",
            "--server",
            self.server,
            "--credential-file",
            str(credential.absolute()),
            *words,
            cwd=REPOSITORY,
            env=dict(os.environ),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        if process.returncode:
            raise CtlFailedError(errors.decode().strip())
        return output.decode()
