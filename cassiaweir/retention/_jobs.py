"""Removes finished jobs together with the outcomes of their parts."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from cassiaweir.exceptions import ConflictError
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.retention._options import RetentionOptions
from cassiaweir.retention._removal import record_malformed_row, remove_unchanged
from cassiaweir.retention._row_groups import GroupOwnership, RowScanner
from cassiaweir.retention._watch import RowWatch, watch_period
from cassiaweir.types import Check, Clock, Row, Table, Write
from cassiaweir.work import (
    JOB_PREFIX,
    JobRow,
    decode_job,
    done_key,
    part_key,
)

METRIC_KIND = "job"
"""The value of the label `kind` in the retention metrics."""


class JobRule:
    """Marks jobs whose parts are all done, and removes them after `options.jobs`.

    The mark is `JobRow.finished_at`, the wall-clock time at which a scheduler found
    that the job had finished.
    """

    def __init__(
        self,
        table: Table,
        ownership: GroupOwnership,
        options: RetentionOptions,
        *,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._scanner = RowScanner(table, JOB_PREFIX, ownership)
        self._options = options
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._removal_watch = RowWatch(clock)

    def handle_clock_step(self) -> None:
        """Forget the watched rows, as their ages came from a clock that was set."""
        self._removal_watch.clear()

    async def clean_batch(self, max_rows: int, max_removals: int) -> None:
        """Examine the next `max_rows` jobs and remove at most `max_removals`.

        Raises `UnavailableError`.
        """
        unmarked = []
        for row in await self._scanner.next(max_rows):
            try:
                job = decode_job(row)
            except msgspec.MsgspecError as exc:
                record_malformed_row(self._events, row, exc)
                continue
            if job.finished_at:
                self._watch_if_old(row, job)
            else:
                unmarked.append((row, job))
        await self._mark_finished(unmarked)
        await self._remove_due(max_removals)

    def _watch_if_old(self, row: Row, job: JobRow) -> None:
        """Start to watch a finished job that is old enough to be removed."""
        period = watch_period(
            self._clock, job.finished_at, self._options.jobs, self._options.watch
        )
        if period is not None:
            self._removal_watch.track(row, period)

    async def _mark_finished(self, jobs: Sequence[tuple[Row, JobRow]]) -> None:
        """Set `finished_at` in those of `jobs` whose parts all have an outcome."""
        keys = [key for _, job in jobs for key in _end_keys(job)]
        found = await self._table.read(keys) if keys else {}
        for row, job in jobs:
            if all(key in found for key in _end_keys(job)):
                await self._mark_job(row, job)

    async def _mark_job(self, row: Row, job: JobRow) -> None:
        # A wall clock that is behind must not date the end before the submission.
        finished_at = max(self._clock.now().timestamp(), job.submitted_at)
        marked = msgspec.structs.replace(job, finished_at=finished_at)
        write = Write(row.key, msgspec.json.encode(marked))
        try:
            await self._table.commit([Check(row.key, row.version)], [write])
        except ConflictError:
            self._metrics.count("retention_races", kind=METRIC_KIND)

    async def _remove_due(self, limit: int) -> None:
        async for row in self._removal_watch.due_rows(self._table, limit):
            await self._remove(row)

    async def _remove(self, row: Row) -> None:
        """Remove a job with its outcomes, unless one of its parts is still open.

        A job that lacks an outcome is reported and stays.
        """
        job = decode_job(row)
        parts = [part_key(shard, job.job) for shard in job.shards]
        found = await self._table.read([*parts, *_end_keys(job)])
        ends = [found[key] for key in _end_keys(job) if key in found]
        if len(ends) < len(job.shards):
            self._events.record("job_not_removable", job.job, outcomes=len(ends))
            return
        checks = [Check(key, 0) for key in parts]
        if await remove_unchanged(
            self._table, [row, *ends], checks, self._metrics, kind=METRIC_KIND
        ):
            self._events.record("job_removed", job.job, team=job.team)


def _end_keys(job: JobRow) -> list[str]:
    """Return the keys of the outcome rows of all parts of `job`."""
    return [done_key(job.job, shard) for shard in job.shards]
