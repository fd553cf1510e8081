"""Submission, cancellation, status and listing of jobs in a gateway."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from cassiaweir.exceptions import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    RefusedError,
    UnavailableError,
)
from cassiaweir.observe import EventLog
from cassiaweir.types import (
    Check,
    Clock,
    Resources,
    ShardDirectory,
    ShardOwner,
    Table,
    Write,
)
from cassiaweir.verdict import Verdict
from cassiaweir.work._division import (
    ShardAssignment,
    ShardCandidate,
    divide_job,
    part_writes,
)
from cassiaweir.work._models import JobRow, JobSpec, PartRow
from cassiaweir.work._rows import (
    DoneRow,
    decode_done,
    decode_job,
    decode_part,
    done_key,
    job_key,
    part_key,
)
from cassiaweir.work._scheduler_client import PartAnswer, SchedulerClient

MAX_COMMIT_ATTEMPTS = 3
MAX_CANCEL_ATTEMPTS = 8
RETRY_AFTER = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class JobStatus:
    """The rows of a job and the live state that the owners of its shards report.

    `silent` names the shards with an open part whose owner did not respond.
    """

    row: JobRow
    done: list[DoneRow]
    open: list[PartRow]
    live: list[PartAnswer]
    silent: list[str]

    @property
    def finished(self) -> bool:
        """Whether no part of the job is open."""
        return not self.open


@dataclass(frozen=True, slots=True)
class JobPage:
    """A page of jobs in the order of their names.

    `after` is the value that asks for the next page, or is empty on the last one.
    """

    jobs: list[JobRow]
    after: str


class JobManager:
    """Writes the rows of jobs and parts, and notifies the owners of the shards.

    `vm_sizes` returns the capacities of the worker VMs of a shard.  `shards` names all
    shards of the cell, including those without a known owner.  `reaches` returns
    whether this gateway has a connection to an owner.
    """

    def __init__(
        self,
        *,
        table: Table,
        directory: ShardDirectory,
        vm_sizes: Callable[[str], Sequence[Resources]],
        schedulers: SchedulerClient,
        clock: Clock,
        events: EventLog,
        shards: Sequence[str] = (),
        reaches: Callable[[ShardOwner], bool] = lambda owner: True,
    ) -> None:
        self._reaches = reaches
        self._shards = shards
        self._table = table
        self._directory = directory
        self._vm_sizes = vm_sizes
        self._schedulers = schedulers
        self._clock = clock
        self._events = events
        self._notifications: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; there is no background work to start."""

    async def stop(self) -> None:
        """Wait for the notifications being sent."""
        await asyncio.gather(*self._notifications, return_exceptions=True)

    async def submit(self, spec: JobSpec, team: str) -> JobRow:
        """Commit the rows of a job and its parts, and return the row of the job.

        A repeated submission returns the row of the first one.  Raises
        `InvalidInputError` if the job can never run, `ConflictError` if another job
        has its name, and `RefusedError` if the job cannot be accepted now.
        """
        candidates = [
            ShardCandidate(owner, self._vm_sizes(owner.shard))
            for owner in self._directory.owners()
        ]
        if not any(candidate.vm_capacities for candidate in candidates):
            raise RefusedError(
                "no_scheduler",
                "no shard has a known owner and worker VMs",
                retry_after=RETRY_AFTER,
            )
        assignments = self._assign_to_reachable_shards(spec, candidates)
        now = self._clock.now().timestamp()
        row = JobRow(
            spec.job, team, spec, now, [assignment.shard for assignment in assignments]
        )
        committed = await self._commit_job(row, assignments)
        if committed is row:
            self._events.record(
                "job_submitted", spec.job, team=team, parts=len(assignments)
            )
        self._notify(committed)
        return committed

    def _assign_to_reachable_shards(
        self, spec: JobSpec, candidates: Sequence[ShardCandidate]
    ) -> Sequence[ShardAssignment]:
        """Assign the job to shards whose owners are reachable, if these can hold it.

        In a shard whose owner has died, a part would wait for the takeover.
        """
        reachable = [
            candidate for candidate in candidates if self._reaches(candidate.owner)
        ]
        if reachable and len(reachable) < len(candidates):
            with contextlib.suppress(InvalidInputError):
                return divide_job(spec, reachable)
        return self._assign_to_shards(spec, candidates)

    async def cancel(self, job: str) -> JobRow:
        """Mark a job and its unfinished parts as cancelled, and return the job's row.

        Raises `NotFoundError` and `RefusedError`.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            try:
                row = await self._cancel_once(job)
            except ConflictError:
                continue
            except UnavailableError as exc:
                raise _table_unavailable(exc) from exc
            self._notify(row)
            return row
        raise RefusedError(
            "busy",
            f"the rows of the job changed during each of {MAX_CANCEL_ATTEMPTS} "
            "attempts to cancel it",
            retry_after=RETRY_AFTER,
        )

    async def status(self, job: str) -> JobStatus:
        """Return the rows of a job and what the owners report of its unfinished parts.

        Raises `NotFoundError` and `RefusedError`.
        """
        try:
            row = await self._read_job(job)
            part_keys = [part_key(shard, job) for shard in row.shards]
            done_keys = [done_key(job, shard) for shard in row.shards]
            rows = await self._table.read(part_keys + done_keys)
        except UnavailableError as exc:
            raise _table_unavailable(exc) from exc
        open_shards = [shard for shard in row.shards if part_key(shard, job) in rows]
        answers = await asyncio.gather(
            *(self._query_owner(shard, job) for shard in open_shards)
        )
        live = [answer for answer in answers if answer is not None]
        answered = {answer.shard for answer in live}
        return JobStatus(
            row,
            [decode_done(rows[key]) for key in done_keys if key in rows],
            [decode_part(rows[key]) for key in part_keys if key in rows],
            live,
            [shard for shard in open_shards if shard not in answered],
        )

    async def list(self, prefix: str, *, after: str = "", limit: int = 100) -> JobPage:
        """Return a page of the jobs whose names start with `prefix`, ordered by name.

        The page has up to `limit` jobs, whose names follow `after`.
        """
        try:
            rows = await self._table.scan(
                job_key(prefix), after=job_key(after), limit=limit + 1
            )
        except UnavailableError as exc:
            raise _table_unavailable(exc) from exc
        jobs = [decode_job(row) for row in rows[:limit]]
        more = len(rows) > limit
        return JobPage(jobs, jobs[-1].job if more and jobs else "")

    def _assign_to_shards(
        self, spec: JobSpec, candidates: Sequence[ShardCandidate]
    ) -> Sequence[ShardAssignment]:
        """Divide a job over the shards that have an owner.

        Raises `InvalidInputError` if the job can never run, and `RefusedError` if only
        shards without an owner could hold it: between two owners a shard has none for
        some seconds.
        """
        try:
            return divide_job(spec, candidates)
        except InvalidInputError:
            owned = {candidate.owner.shard for candidate in candidates}
            unowned = [
                ShardCandidate.without_owner(shard, self._vm_sizes(shard))
                for shard in self._shards
                if shard not in owned
            ]
            divide_job(spec, [*candidates, *unowned])
        raise RefusedError(
            "shard_without_owner",
            "the shards that could hold the job have no owner at the moment",
            retry_after=RETRY_AFTER,
        )

    async def _commit_job(
        self, row: JobRow, assignments: Sequence[ShardAssignment]
    ) -> JobRow:
        """Write the rows, and return the row of the job, or the one stored before."""
        writes = [
            Write(job_key(row.job), msgspec.json.encode(row)),
            *part_writes(row, assignments),
        ]
        checks = [Check(write.key, 0) for write in writes]
        verdict = Verdict.NOT_RUN
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                await self._table.commit(checks, writes)
            except ConflictError:
                return await self._read_committed_job(row)
            except UnavailableError as exc:
                if exc.verdict is Verdict.NOT_RUN:
                    break
                # Sending the transaction again is safe: its checks let it apply once.
                verdict = Verdict.MAY_HAVE_RUN
            else:
                return row
        raise RefusedError(
            "table_unavailable",
            "the rows of the job could not be written",
            verdict=verdict,
            retry_after=RETRY_AFTER,
        )

    async def _read_committed_job(self, row: JobRow) -> JobRow:
        try:
            found = await self._read_job(row.job)
        except UnavailableError as exc:
            # The attempt that conflicted wrote nothing, but an earlier one may have.
            raise RefusedError(
                "table_unavailable",
                "the row of the job could not be read back",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after=RETRY_AFTER,
            ) from exc
        except NotFoundError as exc:
            raise ConflictError(
                f"{row.job}: a part of an earlier job of this name is still open"
            ) from exc
        if (found.spec, found.team) != (row.spec, row.team):
            raise ConflictError(f"{row.job}: another job has this name")
        return found

    async def _cancel_once(self, job: str) -> JobRow:
        row = await self._read_job(job)
        keys = [job_key(job), *(part_key(shard, job) for shard in row.shards)]
        rows = await self._table.read(keys)
        if row.cancelled:
            return row
        cancelled = msgspec.structs.replace(row, cancelled=True)
        writes = [Write(job_key(job), msgspec.json.encode(cancelled))]
        for key in keys[1:]:
            if key in rows:
                part = decode_part(rows[key])
                cancelled_part = msgspec.structs.replace(part, cancelled=True)
                writes.append(Write(key, msgspec.json.encode(cancelled_part)))
        checks = [Check(key, rows[key].version if key in rows else 0) for key in keys]
        await self._table.commit(checks, writes)
        self._events.record("job_cancelled", job, team=row.team)
        return cancelled

    async def _read_job(self, job: str) -> JobRow:
        rows = await self._table.read([job_key(job)])
        if job_key(job) not in rows:
            raise NotFoundError(f"{job}: there is no such job")
        return decode_job(rows[job_key(job)])

    async def _query_owner(self, shard: str, job: str) -> PartAnswer | None:
        owner = self._directory.owner(shard)
        if owner is None:
            return None
        try:
            answers = await self._schedulers.query_job(owner.address, job)
        except UnavailableError:
            return None
        return next((answer for answer in answers if answer.shard == shard), None)

    def _notify(self, row: JobRow) -> None:
        """Notify the owners in the background.

        A lost notification only delays the job, as owners also poll the rows.  The row
        is stored, so that an error here must not reach the caller.
        """
        try:
            self._start_notifications(row)
        except Exception as exc:
            self._events.record("notice_failed", row.job, reason=repr(exc))

    def _start_notifications(self, row: JobRow) -> None:
        """Start a notification of the owner of each of the job's shards."""
        for shard in row.shards:
            owner = self._directory.owner(shard)
            if owner is not None:
                notification = asyncio.create_task(self._notify_owner(owner, row.job))
                self._notifications.add(notification)
                notification.add_done_callback(self._notifications.discard)

    async def _notify_owner(self, owner: ShardOwner, job: str) -> None:
        try:
            await self._schedulers.notify_parts(owner.address, owner.shard, job)
        except UnavailableError:
            self._events.record("notice_failed", job, shard=owner.shard)


def _table_unavailable(exc: UnavailableError) -> RefusedError:
    return RefusedError(
        "table_unavailable",
        "the table did not answer",
        verdict=exc.verdict,
        retry_after=RETRY_AFTER,
    )
