"""Runs `cassiaweir ctl` as two operators, to set up a cell."""

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
FIRST_OPERATOR = "first"
AUTHOR = "agata"
REVIEWER = "josefina"


class CtlFailedError(Exception):
    """A command of `cassiaweir ctl` exited with an error."""


@dataclass(slots=True)
class CtlOperators:
    """Two operators with all roles, each of whom runs commands of `cassiaweir ctl`.

    `folder` holds their credential files.  With `echo`, each command and its output is
    printed, except for an output that is a credential or a key.
    """

    server: str
    folder: Path
    echo: bool = False

    @classmethod
    async def open(
        cls, server: str, folder: Path, *, echo: bool = False
    ) -> CtlOperators:
        """Add the two operators to the cell of `server` as its first operator."""
        operators = cls(server, folder, echo)
        operators.store_credential(FIRST_OPERATOR, FIRST_OPERATOR_SECRET)
        roles = [word for role in EVERY_ROLE for word in ("--role", role)]
        for name in (AUTHOR, REVIEWER):
            operators.store_credential(
                name,
                await operators.run_silent(
                    FIRST_OPERATOR, "operator", "add", name, *roles
                ),
            )
        return operators

    def store_credential(self, name: str, secret: str) -> None:
        """Store a credential in a file that only its owner can read."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{name}.credential"
        path.touch(mode=0o600)
        path.write_text(secret, encoding="utf-8")

    async def roll_out(self, bundle: Path, *, confirm: bool = False) -> int:
        """Draft, propose, approve and roll out `bundle`; return its version.

        Returns once all processes have the version in force.
        """
        raw = await self.run(AUTHOR, "bundle", "draft", str(bundle), "--json")
        draft = msgspec.json.decode(raw, type=BundleInfo)
        version_and_digest = (str(draft.version), draft.digest)
        await self.run(AUTHOR, "bundle", "propose", *version_and_digest)
        await self.run(REVIEWER, "bundle", "review", str(draft.version))
        await self.run(REVIEWER, "bundle", "approve", *version_and_digest)
        flags = ("--confirm",) if confirm else ()
        await self.run(REVIEWER, "bundle", "rollout", *version_and_digest, *flags)
        await self.run(REVIEWER, "bundle", "status", "--wait")
        return draft.version

    async def set_up(self, teams: Sequence[str]) -> dict[str, str]:
        """Roll out the example bundle and return a new key for each of `teams`."""
        await self.roll_out(BUNDLE)
        return {
            team: await self.run_silent(AUTHOR, "key", "grant", team, "--wait")
            for team in teams
        }

    async def run(self, operator: str, *words: str) -> str:
        """Return the output of one command, or raise `CtlFailedError`."""
        output = await self._run(operator, words)
        if self.echo:
            click.echo(output.rstrip())
        return output

    async def run_silent(self, operator: str, *words: str) -> str:
        """Return the secret that a command prints, without echoing the output."""
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
