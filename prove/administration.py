"""Changes keys and limits during a run, and lets two operators conflict."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from cassiaweir.clock import SystemClock
from cassiaweir.configuration import (
    AuditedTable,
    Bundle,
    BundleRepository,
    Operator,
    OperatorRole,
    read_bundle,
)
from cassiaweir.exceptions import CassiaweirError, ConflictError
from cassiaweir.platform import HttpTable, PlatformSession
from cassiaweir.teams import KeyRegistry
from cassiaweir.types import Resources
from prove.history import History, KeyWithdrawal, LimitChange, Rollout
from prove.operators import BUNDLE

TABLE_CALL_TIMEOUT = timedelta(seconds=5)
CHANGE_INTERVAL_SECONDS = 1.0
OPERATORS = ("agata", "josefina")
TEAM_WITH_CHANGING_LIMIT = "cooperatives"
INITIAL_CPU_MILLIS = 20_000
CPU_MILLIS_CHOICES = (20_000, 15_000, 10_000)


@dataclass(slots=True)
class TeamKey:
    """A key that the callers of a team use, even after it was withdrawn."""

    team: str
    secret: str
    digest: str


@dataclass(slots=True)
class Administration:
    """Changes keys and limits continuously and records the confirmed changes.

    A raised limit is recorded with the time before its roll-out was sent, as it may be
    in force before the answer arrives; a lowered one with the time of the answer.
    `conflicts` counts the roll-outs that were refused in `races`, in which two
    operators roll out at once.  `unconfirmed_changes` counts the changes that failed
    and may nevertheless have taken effect.  The first key of each team in `keys` is
    never withdrawn.
    """

    session: PlatformSession
    repository: BundleRepository
    registry: KeyRegistry
    history: History
    rng: random.Random
    bundle: Bundle = field(default_factory=lambda: read_bundle(BUNDLE))
    races: int = 0
    conflicts: int = 0
    unconfirmed_changes: int = 0
    keys: list[TeamKey] = field(default_factory=list)

    @classmethod
    async def open(
        cls, table_address: str, history: History, rng: random.Random
    ) -> Administration:
        """Connect to the table."""
        clock = SystemClock()
        session = PlatformSession("operators", TABLE_CALL_TIMEOUT)
        await session.start()
        audited = AuditedTable(HttpTable(session, table_address, clock), clock)
        repository = BundleRepository(audited)
        return cls(session, repository, KeyRegistry(audited, clock), history, rng)

    async def close(self) -> None:
        """Disconnect."""
        await self.session.stop()

    async def set_up(self, teams: Sequence[str]) -> None:
        """Roll out the first bundle and grant each team a key that is not withdrawn."""
        self.bundle = _with_limit(
            self.bundle, TEAM_WITH_CHANGING_LIMIT, INITIAL_CPU_MILLIS
        )
        await self._roll_out(self.bundle, *_operators())
        for entry in self.bundle.team:
            limit = entry.team().limit
            self.history.limits.append(LimitChange(entry.name, limit, 0.0))
        for team in teams:
            await self.grant(team)

    async def grant(self, team: str) -> TeamKey:
        """Grant a key to a team and record it."""
        granted = await self.registry.grant(_operators()[0], team)
        key = TeamKey(team, granted.secret, granted.digest)
        self.history.key_teams[key.secret] = team
        self.keys.append(key)
        return key

    async def withdraw(self, key: TeamKey) -> None:
        """Withdraw a key; the callers continue to use it."""
        await self.registry.withdraw(_operators()[0], key.digest)
        self.history.withdrawals.append(KeyWithdrawal(key.secret, time.monotonic()))

    async def change_limit(self, cpu_millis: int) -> None:
        """Roll out another CPU limit for one team and record it."""
        author, reviewer = _operators()
        changed = _with_limit(self.bundle, TEAM_WITH_CHANGING_LIMIT, cpu_millis)
        before = _limit(self.bundle, TEAM_WITH_CHANGING_LIMIT)
        after = _limit(changed, TEAM_WITH_CHANGING_LIMIT)
        sent_at = time.monotonic()
        raised = before.fits(after)
        if raised:
            # It may be in force from now on, even if the roll-out reports a failure.
            change = LimitChange(TEAM_WITH_CHANGING_LIMIT, after, sent_at)
            self.history.limits.append(change)
        await self._roll_out(changed, author, reviewer)
        if not raised:
            at = time.monotonic()
            self.history.limits.append(LimitChange(TEAM_WITH_CHANGING_LIMIT, after, at))
        self.bundle = changed

    async def race(self) -> None:
        """Let both operators draft and roll out the same bundle concurrently."""
        first, second = _operators()
        self.races += 1
        results = await asyncio.gather(
            self._roll_out(self.bundle, first, second),
            self._roll_out(self.bundle, second, first),
            return_exceptions=True,
        )
        self.conflicts += sum(isinstance(item, ConflictError) for item in results)

    async def run(self, teams: Sequence[str]) -> None:
        """Make changes until cancelled; a failed change does not end the loop."""
        change_number = 0
        while True:
            change_number += 1
            try:
                await self._make_change(change_number, teams)
            except CassiaweirError:
                self.unconfirmed_changes += 1
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)

    async def _make_change(self, change_number: int, teams: Sequence[str]) -> None:
        match change_number % 4:
            case 0:
                await self.race()
            case 1:
                await self.grant(self.rng.choice(teams))
            case 2:
                await self.change_limit(self.rng.choice(CPU_MILLIS_CHOICES))
            case 3:
                withdrawn_secrets = {item.key for item in self.history.withdrawals}
                withdrawable_keys = [
                    k
                    for k in self.keys[len(teams) :]
                    if k.secret not in withdrawn_secrets
                ]
                if withdrawable_keys:
                    await self.withdraw(withdrawable_keys[0])

    async def _roll_out(
        self, bundle: Bundle, author: Operator, reviewer: Operator
    ) -> None:
        draft = await self.repository.draft(author, bundle)
        version, digest = draft.version, draft.digest
        await self.repository.propose(author, version, digest)
        await self.repository.review(reviewer, version, digest, approve=True)
        await self.repository.roll_out(reviewer, version, digest)
        self.history.rollouts.append(Rollout(version, time.monotonic()))


def _operators() -> tuple[Operator, Operator]:
    first, second = (Operator(name, frozenset(OperatorRole)) for name in OPERATORS)
    return first, second


def _with_limit(bundle: Bundle, team: str, cpu_millis: int) -> Bundle:
    """Return `bundle` with the CPU limit of one team replaced."""
    entries = []
    for entry in bundle.team:
        if entry.name == team:
            limit = msgspec.structs.replace(entry.limit, cpu_millis=cpu_millis)
            entry = msgspec.structs.replace(entry, limit=limit)
        entries.append(entry)
    return msgspec.structs.replace(bundle, team=entries)


def _limit(bundle: Bundle, team: str) -> Resources:
    return next(entry.team().limit for entry in bundle.team if entry.name == team)
