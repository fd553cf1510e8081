"""Configures a cell through its table, without the API for operators.

The measurements do not cover that API.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from cassiaweir.clock import SystemClock
from cassiaweir.configuration import (
    AuditedTable,
    Bundle,
    BundleRepository,
    Operator,
    OperatorRole,
    Operators,
    read_bundle,
    secret_digest,
)
from cassiaweir.platform import HttpTable, PlatformSession
from cassiaweir.teams import KeyRegistry

BUNDLE = Path(__file__).parent.parent / "examples" / "bundle"
FIRST_OPERATOR_SECRET = "first-operator"
ALL_ROLES = list(OperatorRole)
CALL_TIMEOUT = timedelta(seconds=5)


@dataclass(slots=True)
class OperatorSession:
    """Two operators with all roles, who work on the table of a run.

    `author` writes bundles and grants keys, `reviewer` reviews and rolls out bundles.
    """

    session: PlatformSession
    audited: AuditedTable
    repository: BundleRepository
    keys: KeyRegistry
    author: Operator
    reviewer: Operator

    @classmethod
    async def open(cls, table_address: str) -> OperatorSession:
        """Connect to the table and add the two operators."""
        clock = SystemClock()
        session = PlatformSession("operators", CALL_TIMEOUT)
        await session.start()
        audited = AuditedTable(HttpTable(session, table_address, clock), clock)
        operators = Operators(audited, secret_digest(FIRST_OPERATOR_SECRET))
        first = await operators.authenticate(FIRST_OPERATOR_SECRET)
        accounts = []
        for name in ("agata", "josefina"):
            secret = await operators.add(first, name, ALL_ROLES)
            accounts.append(await operators.authenticate(secret))
        repository = BundleRepository(audited)
        keys = KeyRegistry(audited, clock)
        return cls(session, audited, repository, keys, *accounts)

    async def close(self) -> None:
        """Close the connection to the table."""
        await self.session.stop()

    async def roll_out(self, bundle: Bundle) -> int:
        """Draft, propose, review and roll out `bundle`; return its version."""
        draft = await self.repository.draft(self.author, bundle)
        version, digest = draft.version, draft.digest
        await self.repository.propose(self.author, version, digest)
        await self.repository.review(self.reviewer, version, digest, approve=True)
        await self.repository.roll_out(self.reviewer, version, digest)
        return version

    async def set_up(self, teams: Sequence[str]) -> dict[str, str]:
        """Roll out the example bundle and return a key for each of `teams`."""
        await self.roll_out(read_bundle(BUNDLE))
        return {
            team: (await self.keys.grant(self.author, team)).secret for team in teams
        }
