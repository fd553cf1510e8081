"""The background component that applies the retention rules to the table."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from cassiaweir.exceptions import UnavailableError
from cassiaweir.fleet import BackgroundTasks
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.retention._bundles import BundleRule
from cassiaweir.retention._claims import ClaimRule
from cassiaweir.retention._jobs import JobRule
from cassiaweir.retention._key_uses import KeyUseRule
from cassiaweir.retention._options import RetentionOptions
from cassiaweir.retention._row_groups import GroupOwnership
from cassiaweir.retention._watch import ClockStepDetector
from cassiaweir.types import Clock, OwnedShards, Table

ROWS_PER_BATCH = 20
MAX_REMOVALS_PER_BATCH = 10
INFREQUENT_INTERVAL = timedelta(minutes=1)
"""The time between two batches of those kinds of rows of which there are few."""


class Rule(Protocol):
    """Scans one kind of rows and removes those past their retention period."""

    def handle_clock_step(self) -> None:
        """Forget the watched rows, as their ages came from a clock that was set."""

    async def clean_batch(self, max_rows: int, max_removals: int) -> None:
        """Examine the next `max_rows` rows and remove at most `max_removals` objects.

        An object is a job with its outcomes, a claim, or the last use of a key.
        Raises `UnavailableError`.
        """


class Retention:
    """Removes old jobs, claims, last uses of keys and bundle versions.

    Each scheduler cleans the groups of rows that hash to the shards it owns, so no
    leader is elected for this.  Every removal requires the row version that was read.
    It is therefore harmless if two schedulers clean a row, or if the row changes
    meanwhile.
    """

    def __init__(
        self,
        table: Table,
        owned: OwnedShards,
        shards: Sequence[str],
        options: RetentionOptions,
        *,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._ownership = GroupOwnership(shards, owned)
        jobs, claims, key_uses = (
            rule(
                table,
                self._ownership,
                options,
                clock=clock,
                events=events,
                metrics=metrics,
            )
            for rule in (JobRule, ClaimRule, KeyUseRule)
        )
        self._rules: list[Rule] = [jobs, claims]
        self._infrequent_rules: list[Rule] = [key_uses]
        self._bundles = BundleRule(
            table, self._ownership, options, events=events, metrics=metrics
        )
        self._batch_interval = timedelta(
            seconds=ROWS_PER_BATCH / options.rows_per_second
        )
        self._clock = clock
        self._events = events
        self._step_detector = ClockStepDetector(clock)
        self._background = BackgroundTasks()

    async def start(self) -> None:
        """Start cleaning in the background."""
        self._background.start(self._run, self._run_infrequently)

    async def stop(self) -> None:
        """Stop at once; an interrupted batch leaves the table consistent."""
        await self._background.stop()

    async def apply_rule(self, rule: Rule) -> None:
        """Run one batch of `rule`; the batch ends early if the table is unavailable."""
        if self._step_detector.has_stepped():
            self._events.record("wall_clock_stepped")
            for each_rule in (*self._rules, *self._infrequent_rules):
                each_rule.handle_clock_step()
        if not self._ownership.refresh():
            return
        try:
            await rule.clean_batch(ROWS_PER_BATCH, MAX_REMOVALS_PER_BATCH)
        except UnavailableError:
            return

    async def clean_bundles(self) -> None:
        """Run one batch of the removal of superseded bundle versions."""
        if not self._ownership.refresh():
            return
        try:
            await self._bundles.clean_batch(MAX_REMOVALS_PER_BATCH)
        except UnavailableError:
            return

    async def _run(self) -> None:
        while True:
            for rule in self._rules:
                await self._clock.sleep(self._batch_interval)
                await self.apply_rule(rule)

    async def _run_infrequently(self) -> None:
        """Clean the kinds of rows of which there are few."""
        while True:
            await self._clock.sleep(INFREQUENT_INTERVAL)
            await self.clean_bundles()
            for rule in self._infrequent_rules:
                await self.apply_rule(rule)
