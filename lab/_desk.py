"""Sets a cell up on its table directly, as trials measure no operators."""

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
EVERY_ROLE = list(OperatorRole)
CALL_TIMEOUT = timedelta(seconds=5)


@dataclass(slots=True)
class OperatorDesk:
    """Two operators with every role, working on the table of a run."""

    session: PlatformSession
    audited: AuditedTable
    repository: BundleRepository
    keys: KeyRegistry
    author: Operator
    reviewer: Operator

    @classmethod
    async def open(cls, table_address: str) -> OperatorDesk:
        """Connect to the table and add the two operators."""
        clock = SystemClock()
        session = PlatformSession("operators", CALL_TIMEOUT)
        await session.start()
        audited = AuditedTable(HttpTable(session, table_address, clock), clock)
        operators = Operators(audited, secret_digest(FIRST_OPERATOR_SECRET))
        first = await operators.authenticate(FIRST_OPERATOR_SECRET)
        people = []
        for name in ("agata", "josefina"):
            secret = await operators.add(first, name, EVERY_ROLE)
            people.append(await operators.authenticate(secret))
        repository = BundleRepository(audited)
        keys = KeyRegistry(audited, clock)
        return cls(session, audited, repository, keys, *people)

    async def close(self) -> None:
        """Disconnect."""
        await self.session.stop()

    async def roll_out(self, bundle: Bundle) -> int:
        """Take `bundle` through its life to being in force; return its version."""
        draft = await self.repository.draft(self.author, bundle)
        version, digest = draft.version, draft.digest
        await self.repository.propose(self.author, version, digest)
        await self.repository.review(self.reviewer, version, digest, approve=True)
        await self.repository.roll_out(self.reviewer, version, digest)
        return version

    async def set_up(self, teams: Sequence[str]) -> dict[str, str]:
        """Roll the example bundle out and return a key for each of `teams`."""
        await self.roll_out(read_bundle(BUNDLE))
        return {
            team: (await self.keys.grant(self.author, team)).secret for team in teams
        }
