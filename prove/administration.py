"""Operators of a run: keys come and go, limits change, two operators race."""

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

CALL_TIMEOUT = timedelta(seconds=5)
PAUSE_SECONDS = 1.0
OPERATORS = ("agata", "josefina")
VARIED_TEAM = "cooperatives"
FIRST_CPU_MILLIS = 20_000
VARIED_CPU_MILLIS = (20_000, 15_000, 10_000)


@dataclass(slots=True)
class TeamKey:
    """A key in use by the callers of a team."""

    team: str
    secret: str
    digest: str


@dataclass(slots=True)
class Administration:
    """Changes keys and limits all the time and records what was confirmed.

    A raised limit counts from before its roll-out was sent, as it may be in force
    before the answer; a lowered one from the answer on.
    """

    session: PlatformSession
    repository: BundleRepository
    registry: KeyRegistry
    history: History
    rng: random.Random
    bundle: Bundle = field(default_factory=lambda: read_bundle(BUNDLE))
    races: int = 0
    conflicts: int = 0
    unsure: int = 0
    keys: list[TeamKey] = field(default_factory=list)

    @classmethod
    async def open(
        cls, table_address: str, history: History, rng: random.Random
    ) -> Administration:
        """Connect to the table."""
        clock = SystemClock()
        session = PlatformSession("operators", CALL_TIMEOUT)
        await session.start()
        audited = AuditedTable(HttpTable(session, table_address, clock), clock)
        repository = BundleRepository(audited)
        return cls(session, repository, KeyRegistry(audited, clock), history, rng)

    async def close(self) -> None:
        """Disconnect."""
        await self.session.stop()

    async def set_up(self, teams: Sequence[str]) -> None:
        """Roll the first bundle out and grant each team a lasting key."""
        self.bundle = _with_limit(self.bundle, VARIED_TEAM, FIRST_CPU_MILLIS)
        await self._roll_out(self.bundle, *_operators())
        for entry in self.bundle.team:
            limit = entry.team().limit
            self.history.limits.append(LimitChange(entry.name, limit, 0.0))
        for team in teams:
            await self.grant(team)

    async def grant(self, team: str) -> TeamKey:
        """Grant a key, known to the history from now on."""
        granted = await self.registry.grant(_operators()[0], team)
        key = TeamKey(team, granted.secret, granted.digest)
        self.history.key_teams[key.secret] = team
        self.keys.append(key)
        return key

    async def withdraw(self, key: TeamKey) -> None:
        """Withdraw a key; its callers go on using it."""
        await self.registry.withdraw(_operators()[0], key.digest)
        self.history.withdrawals.append(KeyWithdrawal(key.secret, time.monotonic()))

    async def change_limit(self, cpu_millis: int) -> None:
        """Roll another limit of one team out."""
        author, reviewer = _operators()
        changed = _with_limit(self.bundle, VARIED_TEAM, cpu_millis)
        before = _limit(self.bundle, VARIED_TEAM)
        after = _limit(changed, VARIED_TEAM)
        sent_at = time.monotonic()
        raised = before.fits(after)
        if raised:
            # Whatever the answer, it may be in force from now on.
            change = LimitChange(VARIED_TEAM, after, sent_at)
            self.history.limits.append(change)
        await self._roll_out(changed, author, reviewer)
        if not raised:
            at = time.monotonic()
            self.history.limits.append(LimitChange(VARIED_TEAM, after, at))
        self.bundle = changed

    async def race(self) -> None:
        """Let both operators roll a change of the same bundle out at once."""
        first, second = _operators()
        self.races += 1
        results = await asyncio.gather(
            self._roll_out(self.bundle, first, second),
            self._roll_out(self.bundle, second, first),
            return_exceptions=True,
        )
        self.conflicts += sum(isinstance(item, ConflictError) for item in results)

    async def run(self, teams: Sequence[str]) -> None:
        """Make changes until cancelled; an outage only delays them."""
        turn = 0
        while True:
            turn += 1
            try:
                await self._one_change(turn, teams)
            except CassiaweirError:
                self.unsure += 1
            await asyncio.sleep(PAUSE_SECONDS)

    async def _one_change(self, turn: int, teams: Sequence[str]) -> None:
        match turn % 4:
            case 0:
                await self.race()
            case 1:
                await self.grant(self.rng.choice(teams))
            case 2:
                await self.change_limit(self.rng.choice(VARIED_CPU_MILLIS))
            case 3:
                in_force = {item.key for item in self.history.withdrawals}
                passing = [
                    k for k in self.keys[len(teams) :] if k.secret not in in_force
                ]
                if passing:
                    await self.withdraw(passing[0])

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
    """Return `bundle` with another limit of processors for one team."""
    entries = []
    for entry in bundle.team:
        if entry.name == team:
            limit = msgspec.structs.replace(entry.limit, cpu_millis=cpu_millis)
            entry = msgspec.structs.replace(entry, limit=limit)
        entries.append(entry)
    return msgspec.structs.replace(bundle, team=entries)


def _limit(bundle: Bundle, team: str) -> Resources:
    return next(entry.team().limit for entry in bundle.team if entry.name == team)
