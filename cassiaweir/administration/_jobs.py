"""Jobs of all teams, as operators see and cancel them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from datetime import UTC, datetime
from typing import Protocol

from cassiaweir.administration._job_messages import (
    CancelledJobs,
    CancelSelector,
    JobDetail,
    JobInfo,
    JobList,
    JobPart,
)
from cassiaweir.administration._messages import (
    Amount,
)
from cassiaweir.configuration import AuditedTable, Operator, OperatorRole
from cassiaweir.exceptions import InvalidInputError, RefusedError
from cassiaweir.types import CellView, JobKind
from cassiaweir.work import (
    DoneRow,
    JobPage,
    JobRow,
    JobSpec,
    JobStatus,
    PartAnswer,
)

AUDIT_AREA = "jobs"
# Each page is one scan of all rows with the prefix, so that small pages cost more.
PAGE = 100_000
CANCELS_AT_ONCE = 16


class JobStore(Protocol):
    """What the administration needs of jobs."""

    async def status(self, job: str) -> JobStatus:
        """Return the state of a job, or raise `NotFoundError`."""

    async def cancel(self, job: str) -> JobRow:
        """Cancel a job, or raise `NotFoundError`."""

    async def list(self, prefix: str, *, after: str = "", limit: int = 100) -> JobPage:
        """Return jobs whose names start with `prefix` and follow `after`."""


class JobAdministration:
    """Lists, shows, explains and cancels the jobs of all teams."""

    def __init__(self, jobs: JobStore, view: CellView, audited: AuditedTable) -> None:
        self._jobs = jobs
        self._view = view
        self._audited = audited

    async def page(
        self, *, prefix: str, team: str, queue: str, after: str, limit: int
    ) -> JobList:
        """Return at most `limit` jobs that match; an empty filter matches all."""
        found: list[JobInfo] = []
        while True:
            page = await self._jobs.list(prefix, after=after, limit=PAGE)
            for row in page.jobs:
                if _matches(row, team, queue):
                    found.append(describe_job(row))
                if len(found) == limit:
                    more = page.after or row is not page.jobs[-1]
                    return JobList(jobs=found, after=row.job if more else "")
            if not page.after:
                return JobList(jobs=found)
            after = page.after

    async def show(self, job: str) -> JobDetail:
        """Return a job, its parts, and why it waits."""
        status = await self._jobs.status(job)
        return JobDetail(
            job=describe_job(status.row),
            finished=status.finished,
            parts=_parts(status),
            waiting=self._explain(status),
        )

    async def cancel(self, operator: Operator, job: str) -> JobInfo:
        """Cancel a job of any team; its running tasks are stopped soon after."""
        operator.require(OperatorRole.ON_CALL)
        row = await self._jobs.cancel(job)
        await self._audit(operator, f"{job} of {row.team}")
        return describe_job(row)

    async def cancel_selected(
        self, operator: Operator, selector: CancelSelector
    ) -> CancelledJobs:
        """Cancel every job that the selector matches."""
        operator.require(OperatorRole.ON_CALL)
        if not selector.team and not selector.prefix:
            raise InvalidInputError("selector: expected a team or a prefix, or both")
        names = [
            row.job
            async for row in self._rows(selector.prefix)
            if _matches(row, selector.team, "") and not row.cancelled
        ]
        limit = asyncio.Semaphore(CANCELS_AT_ONCE)

        async def cancel(name: str) -> bool:
            async with limit:
                try:
                    await self._jobs.cancel(name)
                except RefusedError:
                    return False
            return True

        results = await asyncio.gather(*(cancel(name) for name in names))
        done = [name for name, ok in zip(names, results, strict=True) if ok]
        failed = [name for name, ok in zip(names, results, strict=True) if not ok]
        scope = f"team={selector.team} prefix={selector.prefix}"
        if done:
            await self._audit(operator, f"{len(done)} jobs of {scope}")
        return CancelledJobs(cancelled=done, failed=failed)

    async def open_rows(self, team: str) -> list[JobStatus]:
        """Return the unfinished jobs of `team` with their live state."""
        rows = self._rows("")
        names = [
            row.job async for row in rows if row.team == team and not row.finished_at
        ]
        limit = asyncio.Semaphore(CANCELS_AT_ONCE)

        async def look(name: str) -> JobStatus:
            async with limit:
                return await self._jobs.status(name)

        found = await asyncio.gather(*(look(name) for name in names))
        return [status for status in found if not status.finished]

    async def _rows(self, prefix: str) -> AsyncIterator[JobRow]:
        after = ""
        while True:
            page = await self._jobs.list(prefix, after=after, limit=PAGE)
            for row in page.jobs:
                yield row
            if not page.after:
                return
            after = page.after

    async def _audit(self, operator: Operator, detail: str) -> None:
        """Record a cancellation that has taken effect."""
        await self._audited.commit(
            operator.name, "cancel", [], [], area=AUDIT_AREA, version=0, detail=detail
        )

    def _compare_with_limit(self, row: JobRow) -> list[str]:
        """Return why the job can never start under the limit in force, if so."""
        team = self._view.team(row.team)
        if team is None:
            return [f"team {row.team} is not in force"]
        needed = row.spec.size.resources() * _at_once(row.spec)
        if needed.fits(team.limit):
            return []
        return [
            f"it never starts under the limit of team {team.name}: what starts "
            f"together needs {needed.cpu_millis} cpu_millis and {needed.memory_mb} "
            f"memory_mb"
        ]

    def _explain(self, status: JobStatus) -> list[str]:
        """Return why tasks of the job do not run, one sentence an entry."""
        if status.finished:
            return []
        reasons = []
        if status.row.cancelled:
            reasons.append("the job is cancelled; its running tasks are being stopped")
        reasons += self._compare_with_limit(status.row)
        reasons += [
            f"shard {part.shard}: {part.queued} tasks wait: "
            f"{part.waiting_reason or 'no reason was given yet'}"
            for part in status.live
            if part.queued
        ]
        reasons += [
            f"shard {shard}: no owner answers, so its tasks wait for a takeover"
            for shard in status.silent
        ]
        return reasons


def _at_once(spec: JobSpec) -> int:
    """Return the tasks of a job that only start together."""
    return spec.tasks if spec.kind is JobKind.GANG else 1


def _matches(row: JobRow, team: str, queue: str) -> bool:
    return team in ("", row.team) and queue in ("", row.spec.queue)


def describe_job(row: JobRow) -> JobInfo:
    """Return the message for a job."""
    return JobInfo(
        job=row.job,
        team=row.team,
        queue=row.spec.queue,
        kind=row.spec.kind,
        urgency=row.spec.urgency,
        tasks=row.spec.tasks,
        size=Amount.of(row.spec.size.resources()),
        submitted_at=datetime.fromtimestamp(row.submitted_at, UTC),
        shards=row.shards,
        cancelled=row.cancelled,
    )


def _parts(status: JobStatus) -> list[JobPart]:
    """Return one entry a shard, from the rows and from what the owners say."""
    live = {part.shard: part for part in status.live}
    # The outcomes follow the order of the shards whose part is finished.
    ends = iter(status.done)
    parts = []
    for shard in status.row.shards:
        if shard in live:
            parts.append(_live_part(live[shard]))
        elif shard in status.silent:
            parts.append(JobPart(shard=shard, answered=False, finished=False))
        else:
            parts.append(_finished_part(shard, next(ends, None)))
    return parts


def _live_part(part: PartAnswer) -> JobPart:
    return JobPart(
        shard=part.shard,
        answered=True,
        finished=False,
        queued=part.queued,
        running=part.running,
        succeeded=part.succeeded,
        failed=part.failed,
        waiting_reason=part.waiting_reason,
    )


def _finished_part(shard: str, end: DoneRow | None) -> JobPart:
    return JobPart(
        shard=shard,
        answered=True,
        finished=True,
        succeeded=end.succeeded if end else 0,
        failed=end.failed if end else 0,
    )
