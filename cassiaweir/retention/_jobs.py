"""Removes finished jobs with the outcomes of their parts."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from cassiaweir.exceptions import ConflictError
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.retention._division import Division, Pages
from cassiaweir.retention._options import RetentionOptions
from cassiaweir.retention._removal import note_malformed, remove_unchanged
from cassiaweir.retention._watch import RowWatch, watch_period
from cassiaweir.types import Check, Clock, Row, Table, Write
from cassiaweir.work import (
    JOB_PREFIX,
    JobRow,
    decode_job,
    done_key,
    part_key,
)

KIND = "job"


class JobRule:
    """Marks jobs whose parts are all done, and removes them when they are old.

    The mark is the wall time at which a scheduler found the job finished.
    """

    def __init__(
        self,
        table: Table,
        division: Division,
        terms: RetentionOptions,
        *,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._pages = Pages(table, JOB_PREFIX, division)
        self._terms = terms
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._watch = RowWatch(clock)

    def clock_stepped(self) -> None:
        """Judge all rows anew, as their ages were told by a clock that was wrong."""
        self._watch.clear()

    async def turn(self, rows: int, removals: int) -> None:
        """Look at the next `rows` jobs and remove at most `removals`.

        Raises `UnavailableError`.
        """
        unmarked = []
        for row in await self._pages.next(rows):
            try:
                job = decode_job(row)
            except msgspec.MsgspecError as exc:
                note_malformed(self._events, row, exc)
                continue
            if job.finished_at:
                self._consider(row, job)
            else:
                unmarked.append((row, job))
        await self._mark_finished(unmarked)
        await self._remove_due(removals)

    def _consider(self, row: Row, job: JobRow) -> None:
        """Watch a finished job once it is old enough."""
        period = watch_period(
            self._clock, job.finished_at, self._terms.jobs, self._terms.watch
        )
        if period is not None:
            self._watch.note(row, period)

    async def _mark_finished(self, jobs: Sequence[tuple[Row, JobRow]]) -> None:
        """Write the mark into those of `jobs` whose parts are all done."""
        keys = [key for _, job in jobs for key in _end_keys(job)]
        found = await self._table.read(keys) if keys else {}
        for row, job in jobs:
            if all(key in found for key in _end_keys(job)):
                await self._mark(row, job)

    async def _mark(self, row: Row, job: JobRow) -> None:
        # A clock that is far behind must not make a job older than its submission.
        finished_at = max(self._clock.now().timestamp(), job.submitted_at)
        marked = msgspec.structs.replace(job, finished_at=finished_at)
        write = Write(row.key, msgspec.json.encode(marked))
        try:
            await self._table.commit([Check(row.key, row.version)], [write])
        except ConflictError:
            self._metrics.count("retention_races", kind=KIND)

    async def _remove_due(self, most: int) -> None:
        async for row in self._watch.due_rows(self._table, most):
            await self._remove(row)

    async def _remove(self, row: Row) -> None:
        """Remove a job and its outcomes, but none with a part that is open."""
        job = decode_job(row)
        parts = [part_key(shard, job.job) for shard in job.shards]
        found = await self._table.read([*parts, *_end_keys(job)])
        ends = [found[key] for key in _end_keys(job) if key in found]
        if len(ends) < len(job.shards):
            self._events.record("job_not_removable", job.job, outcomes=len(ends))
            return
        checks = [Check(key, 0) for key in parts]
        if await remove_unchanged(
            self._table, [row, *ends], checks, self._metrics, kind=KIND
        ):
            self._events.record("job_removed", job.job, team=job.team)


def _end_keys(job: JobRow) -> list[str]:
    """Return the keys of the outcomes of all parts of `job`."""
    return [done_key(job.job, shard) for shard in job.shards]
