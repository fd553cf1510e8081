"""Submission, cancellation and status of jobs, as gateways serve them."""

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
from cassiaweir.work._division import ShardRoom, Share, divide, part_writes
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

COMMIT_ATTEMPTS = 3
CANCEL_ATTEMPTS = 8
RETRY_AFTER = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class JobStatus:
    """The rows of a job and what the owners of its shards say.

    `silent` names the shards with an open part whose owner did not answer.
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
    """Some jobs in the order of their names; `after` continues, or is empty."""

    jobs: list[JobRow]
    after: str


class JobManager:
    """Writes jobs and their parts, and tells the owners of the shards.

    `vm_sizes` returns the capacities of the worker VMs of a shard, and `shards` names
    all shards of the cell, also those whose owner is not known just now.
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
        self._notices: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; there is no work between calls."""

    async def stop(self) -> None:
        """Wait for the notices in flight."""
        await asyncio.gather(*self._notices, return_exceptions=True)

    async def submit(self, spec: JobSpec, team: str) -> JobRow:
        """Commit a job and its parts, and return its row.

        A repeat returns the row of the first submission.  Raises
        `InvalidInputError` for a job that can never run, `ConflictError` where the
        name is taken by another job, and `RefusedError`.
        """
        rooms = [
            ShardRoom(owner, self._vm_sizes(owner.shard))
            for owner in self._directory.owners()
        ]
        if not any(room.vms for room in rooms):
            raise RefusedError(
                "no_scheduler", "no owner of a shard is known", retry_after=RETRY_AFTER
            )
        shares = self._divide_among_reached(spec, rooms)
        now = self._clock.now().timestamp()
        row = JobRow(spec.job, team, spec, now, [share.shard for share in shares])
        committed = await self._commit(row, shares)
        if committed is row:
            self._events.record("job_submitted", spec.job, team=team, parts=len(shares))
        self._notify(committed)
        return committed

    def _divide_among_reached(
        self, spec: JobSpec, rooms: Sequence[ShardRoom]
    ) -> Sequence[Share]:
        """Bind the job to shards whose owners are reached, if these can hold it.

        A part of a shard whose owner has died waits for the takeover.
        """
        reached = [room for room in rooms if self._reaches(room.owner)]
        if reached and len(reached) < len(rooms):
            with contextlib.suppress(InvalidInputError):
                return divide(spec, reached)
        return self._divide(spec, rooms)

    async def cancel(self, job: str) -> JobRow:
        """Mark a job and its open parts as cancelled.

        Raises `NotFoundError` and `RefusedError`.
        """
        for _ in range(CANCEL_ATTEMPTS):
            try:
                row = await self._cancel_once(job)
            except ConflictError:
                continue
            except UnavailableError as exc:
                raise _refused(exc) from exc
            self._notify(row)
            return row
        raise RefusedError("busy", "the job changes too often", retry_after=RETRY_AFTER)

    async def status(self, job: str) -> JobStatus:
        """Return the rows of a job and the live state of its parts.

        Raises `NotFoundError` and `RefusedError`.
        """
        try:
            row = await self._read_job(job)
            parts = [part_key(shard, job) for shard in row.shards]
            ends = [done_key(job, shard) for shard in row.shards]
            rows = await self._table.read(parts + ends)
        except UnavailableError as exc:
            raise _refused(exc) from exc
        open_shards = [shard for shard in row.shards if part_key(shard, job) in rows]
        answers = await asyncio.gather(
            *(self._ask(shard, job) for shard in open_shards)
        )
        live = [answer for answer in answers if answer is not None]
        heard = {answer.shard for answer in live}
        return JobStatus(
            row,
            [decode_done(rows[key]) for key in ends if key in rows],
            [decode_part(rows[key]) for key in parts if key in rows],
            live,
            [shard for shard in open_shards if shard not in heard],
        )

    async def list(self, prefix: str, *, after: str = "", limit: int = 100) -> JobPage:
        """Return jobs whose names start with `prefix` and follow `after`."""
        try:
            rows = await self._table.scan(
                job_key(prefix), after=job_key(after), limit=limit + 1
            )
        except UnavailableError as exc:
            raise _refused(exc) from exc
        jobs = [decode_job(row) for row in rows[:limit]]
        more = len(rows) > limit
        return JobPage(jobs, jobs[-1].job if more and jobs else "")

    def _divide(self, spec: JobSpec, rooms: Sequence[ShardRoom]) -> Sequence[Share]:
        """Divide a job, and tell one that never fits from one that does not just now.

        A shard between two owners is in no list of owners for some seconds.
        """
        try:
            return divide(spec, rooms)
        except InvalidInputError:
            known = {room.owner.shard for room in rooms}
            silent = [
                ShardRoom.without_owner(shard, self._vm_sizes(shard))
                for shard in self._shards
                if shard not in known
            ]
            divide(spec, [*rooms, *silent])
        raise RefusedError(
            "shard_without_owner",
            "the shards that could hold the job have no owner just now",
            retry_after=RETRY_AFTER,
        )

    async def _commit(self, row: JobRow, shares: Sequence[Share]) -> JobRow:
        """Write the rows, or return those that an earlier attempt wrote."""
        writes = [
            Write(job_key(row.job), msgspec.json.encode(row)),
            *part_writes(row, shares),
        ]
        checks = [Check(write.key, 0) for write in writes]
        verdict = Verdict.NOT_RUN
        for _ in range(COMMIT_ATTEMPTS):
            try:
                await self._table.commit(checks, writes)
            except ConflictError:
                return await self._committed_before(row)
            except UnavailableError as exc:
                if exc.verdict is Verdict.NOT_RUN:
                    break
                # The same transaction can be sent again: it applies at most once.
                verdict = Verdict.MAY_HAVE_RUN
            else:
                return row
        raise RefusedError(
            "table_unavailable",
            "the job could not be recorded",
            verdict=verdict,
            retry_after=RETRY_AFTER,
        )

    async def _committed_before(self, row: JobRow) -> JobRow:
        try:
            found = await self._read_job(row.job)
        except UnavailableError as exc:
            # A conflict wrote nothing now, but an earlier attempt may have.
            raise RefusedError(
                "table_unavailable",
                "the job could not be read back",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after=RETRY_AFTER,
            ) from exc
        except NotFoundError as exc:
            raise ConflictError(f"{row.job}: a part of this name is open") from exc
        if (found.spec, found.team) != (row.spec, row.team):
            raise ConflictError(f"{row.job}: the name is taken by another job")
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
                value = msgspec.structs.replace(part, cancelled=True)
                writes.append(Write(key, msgspec.json.encode(value)))
        checks = [Check(key, rows[key].version if key in rows else 0) for key in keys]
        await self._table.commit(checks, writes)
        self._events.record("job_cancelled", job, team=row.team)
        return cancelled

    async def _read_job(self, job: str) -> JobRow:
        rows = await self._table.read([job_key(job)])
        if job_key(job) not in rows:
            raise NotFoundError(f"{job}: there is no such job")
        return decode_job(rows[job_key(job)])

    async def _ask(self, shard: str, job: str) -> PartAnswer | None:
        owner = self._directory.owner(shard)
        if owner is None:
            return None
        try:
            answers = await self._schedulers.query_job(owner.address, job)
        except UnavailableError:
            return None
        return next((answer for answer in answers if answer.shard == shard), None)

    def _notify(self, row: JobRow) -> None:
        """Tell the owners without waiting; they also look by themselves."""
        for shard in row.shards:
            owner = self._directory.owner(shard)
            if owner is not None:
                notice = asyncio.create_task(self._notify_owner(owner, row.job))
                self._notices.add(notice)
                notice.add_done_callback(self._notices.discard)

    async def _notify_owner(self, owner: ShardOwner, job: str) -> None:
        try:
            await self._schedulers.notify_parts(owner.address, owner.shard, job)
        except UnavailableError:
            self._events.record("notice_failed", job, shard=owner.shard)


def _refused(exc: UnavailableError) -> RefusedError:
    return RefusedError(
        "table_unavailable",
        "the table gave no answer",
        verdict=exc.verdict,
        retry_after=RETRY_AFTER,
    )
