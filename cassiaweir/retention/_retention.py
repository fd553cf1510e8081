"""The component that cleans the table, slowly and all the time."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from cassiaweir.exceptions import UnavailableError
from cassiaweir.fleet import BackgroundTasks
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.retention._bundles import BundleRule
from cassiaweir.retention._claims import ClaimRule
from cassiaweir.retention._division import Division
from cassiaweir.retention._jobs import JobRule
from cassiaweir.retention._key_uses import KeyUseRule
from cassiaweir.retention._terms import RetentionTerms
from cassiaweir.retention._watch import WallClockGuard
from cassiaweir.types import Clock, OwnedShards, Table

ROWS_PER_TURN = 20
REMOVALS_PER_TURN = 10
SLOW_INTERVAL = timedelta(minutes=1)


class Rule(Protocol):
    """Goes through one kind of rows and removes those that are old."""

    def clock_stepped(self) -> None:
        """Judge all rows anew, as their ages were told by a clock that was wrong."""

    async def turn(self, rows: int, removals: int) -> None:
        """Look at the next `rows` rows and remove at most `removals` objects.

        Raises `UnavailableError`.
        """


class Retention:
    """Removes old jobs, claims and bundle versions.

    Schedulers clean what hashes to the shards they own; there is no election.  Every
    removal names the version that was judged, so that a row cleaned twice, or changed
    meanwhile, does no harm.
    """

    def __init__(
        self,
        table: Table,
        owned: OwnedShards,
        shards: Sequence[str],
        terms: RetentionTerms,
        *,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._division = Division(shards, owned)
        jobs, claims, key_uses = (
            rule(
                table,
                self._division,
                terms,
                clock=clock,
                events=events,
                metrics=metrics,
            )
            for rule in (JobRule, ClaimRule, KeyUseRule)
        )
        self._rules: list[Rule] = [jobs, claims]
        self._slow_rules: list[Rule] = [key_uses]
        self._bundles = BundleRule(
            table, self._division, terms, events=events, metrics=metrics
        )
        self._pause = timedelta(seconds=ROWS_PER_TURN / terms.rows_per_second)
        self._clock = clock
        self._events = events
        self._guard = WallClockGuard(clock)
        self._background = BackgroundTasks()

    async def start(self) -> None:
        """Begin to clean."""
        self._background.start(self._run, self._run_slowly)

    async def stop(self) -> None:
        """Stop at once; what is half done is harmless."""
        await self._background.stop()

    async def clean_rows(self, rule: Rule) -> None:
        """Take one turn of `rule`; an outage ends the turn."""
        if self._guard.stepped():
            self._events.record("wall_clock_stepped")
            for each in (*self._rules, *self._slow_rules):
                each.clock_stepped()
        if not self._division.refresh():
            return
        try:
            await rule.turn(ROWS_PER_TURN, REMOVALS_PER_TURN)
        except UnavailableError:
            return

    async def clean_bundles(self) -> None:
        """Remove some superseded bundle versions."""
        if not self._division.refresh():
            return
        try:
            await self._bundles.turn(REMOVALS_PER_TURN)
        except UnavailableError:
            return

    async def _run(self) -> None:
        while True:
            for rule in self._rules:
                await self._clock.sleep(self._pause)
                await self.clean_rows(rule)

    async def _run_slowly(self) -> None:
        """Clean the rows of which there are few."""
        while True:
            await self._clock.sleep(SLOW_INTERVAL)
            await self.clean_bundles()
            for rule in self._slow_rules:
                await self.clean_rows(rule)
