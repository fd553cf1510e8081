"""Lists, explains and cancels the jobs of all teams on behalf of operators."""

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
# Reading a page scans all rows with the prefix, so that small pages cost more in total.
JOBS_PER_PAGE = 100_000
MAX_CONCURRENT_CALLS = 16


class JobStore(Protocol):
    """The operations on jobs that the administration uses."""

    async def status(self, job: str) -> JobStatus:
        """Return the state of a job, or raise `NotFoundError`."""

    async def cancel(self, job: str) -> JobRow:
        """Cancel a job, or raise `NotFoundError`."""

    async def list(self, prefix: str, *, after: str = "", limit: int = 100) -> JobPage:
        """Return jobs whose names start with `prefix` and come after `after`."""


class JobAdministration:
    """Lists, shows, explains and cancels the jobs of all teams."""

    def __init__(self, jobs: JobStore, view: CellView, audited: AuditedTable) -> None:
        self._jobs = jobs
        self._view = view
        self._audited = audited

    async def page(
        self, *, prefix: str, team: str, queue: str, after: str, limit: int
    ) -> JobList:
        """Return a page of at most `limit` jobs; an empty filter matches every job."""
        found: list[JobInfo] = []
        while True:
            page = await self._jobs.list(prefix, after=after, limit=JOBS_PER_PAGE)
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
        """Return a job, its parts, and the reasons why it waits."""
        status = await self._jobs.status(job)
        return JobDetail(
            job=describe_job(status.row),
            finished=status.finished,
            parts=_describe_parts(status),
            waiting=self._explain(status),
        )

    async def cancel(self, operator: Operator, job: str) -> JobInfo:
        """Cancel a job of any team; its running tasks are stopped afterwards."""
        operator.require(OperatorRole.ON_CALL)
        row = await self._jobs.cancel(job)
        await self._audit(operator, f"{job} of {row.team}")
        return describe_job(row)

    async def cancel_selected(
        self, operator: Operator, selector: CancelSelector
    ) -> CancelledJobs:
        """Cancel all jobs that the selector matches and that are not cancelled yet."""
        operator.require(OperatorRole.ON_CALL)
        if not selector.team and not selector.prefix:
            raise InvalidInputError(
                "selector: expected a team, a prefix or both, got neither"
            )
        names = [
            row.job
            async for row in self._rows(selector.prefix)
            if _matches(row, selector.team, "") and not row.cancelled
        ]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def cancel(name: str) -> bool:
            async with semaphore:
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

    async def unfinished_jobs(self, team: str) -> list[JobStatus]:
        """Return the state of the unfinished jobs of `team`."""
        rows = self._rows("")
        names = [
            row.job async for row in rows if row.team == team and not row.finished_at
        ]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def fetch_status(name: str) -> JobStatus:
            async with semaphore:
                return await self._jobs.status(name)

        statuses = await asyncio.gather(*(fetch_status(name) for name in names))
        return [status for status in statuses if not status.finished]

    async def _rows(self, prefix: str) -> AsyncIterator[JobRow]:
        """Yield the rows of all jobs whose names start with `prefix`."""
        after = ""
        while True:
            page = await self._jobs.list(prefix, after=after, limit=JOBS_PER_PAGE)
            for row in page.jobs:
                yield row
            if not page.after:
                return
            after = page.after

    async def _audit(self, operator: Operator, detail: str) -> None:
        """Write a cancellation that has taken effect to the audit log."""
        await self._audited.commit(
            operator.name, "cancel", [], [], area=AUDIT_AREA, version=0, detail=detail
        )

    def _explain_limit(self, row: JobRow) -> list[str]:
        """Return a reason if the limit in force keeps the job from ever starting."""
        team = self._view.team(row.team)
        if team is None:
            return [f"team {row.team} is not in the bundle in force"]
        needed = row.spec.size.resources() * _tasks_started_together(row.spec)
        if needed.fits(team.limit):
            return []
        return [
            f"it never starts under the limit of team {team.name}: the tasks that must "
            f"start together need {needed.cpu_millis} cpu_millis and "
            f"{needed.memory_mb} memory_mb"
        ]

    def _explain(self, status: JobStatus) -> list[str]:
        """Return the reasons why tasks of the job do not run, one for each entry."""
        if status.finished:
            return []
        reasons = []
        if status.row.cancelled:
            reasons.append("the job is cancelled; its running tasks are being stopped")
        reasons += self._explain_limit(status.row)
        reasons += [
            f"shard {part.shard}: {part.queued} tasks wait: "
            f"{part.waiting_reason or 'the scheduler has not given a reason yet'}"
            for part in status.live
            if part.queued
        ]
        reasons += [
            f"shard {shard}: no owner answers, so its tasks wait for a takeover"
            for shard in status.silent
        ]
        return reasons


def _tasks_started_together(spec: JobSpec) -> int:
    """Return the number of tasks of a job that must start together."""
    return spec.tasks if spec.kind is JobKind.GANG else 1


def _matches(row: JobRow, team: str, queue: str) -> bool:
    """Return whether a job is of this team and queue; an empty name matches all."""
    return team in ("", row.team) and queue in ("", row.spec.queue)


def describe_job(row: JobRow) -> JobInfo:
    """Return the message for a job row."""
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


def _describe_parts(status: JobStatus) -> list[JobPart]:
    """Return one part for each shard, from the rows and the answers of the owners."""
    live = {part.shard: part for part in status.live}
    # `status.done` is in the order of the shards whose parts are finished.
    outcomes = iter(status.done)
    parts = []
    for shard in status.row.shards:
        if shard in live:
            parts.append(_live_part(live[shard]))
        elif shard in status.silent:
            parts.append(JobPart(shard=shard, answered=False, finished=False))
        else:
            parts.append(_finished_part(shard, next(outcomes, None)))
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


def _finished_part(shard: str, outcome: DoneRow | None) -> JobPart:
    return JobPart(
        shard=shard,
        answered=True,
        finished=True,
        succeeded=outcome.succeeded if outcome else 0,
        failed=outcome.failed if outcome else 0,
    )
