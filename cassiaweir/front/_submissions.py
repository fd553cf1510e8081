"""Stores submitted jobs, several in one transaction, and requests to cancel jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch import cancel_key, job_key, job_part, outcome_key
from cassiaweir.exceptions import (
    ConflictError,
    InvalidInputError,
    RefusedError,
    TransactionRejectedError,
    UnavailableError,
)
from cassiaweir.jobs import JobSpec, JobState, decode_outcome
from cassiaweir.store import TransactionSize
from cassiaweir.types import Check, Clock, Row, Table, Write
from cassiaweir.verdict import Verdict

MAX_JOBS_PER_TRANSACTION = 16
MAX_CONCURRENT_TRANSACTIONS = 16
MAX_QUEUED_JOBS = 400
STORE_TIMEOUT = timedelta(milliseconds=1_200)
"""Time after the call of `submit` or `cancel` from which failures are not retried."""

RETRY_DELAY = timedelta(milliseconds=60)
RETRY_AFTER = timedelta(seconds=1)
"""Sent with refusals: how long the caller should wait before it tries again."""


class LeaderNotifier(Protocol):
    """Passes rows that were just stored to the leader."""

    def notify_leader(self, rows: Sequence[Row]) -> None:
        """Pass on `rows`; the leader's change feed delivers those that get lost."""


class CancelResult(StrEnum):
    """The result of a request to cancel; values are reasons in logs and metrics."""

    CANCELLED = "cancelled"
    ENDED = "ended"
    UNKNOWN_JOB = "unknown_job"


@dataclass(slots=True, eq=False)
class _PendingJob:
    """A job that is to be stored, and the future that its caller waits for.

    `in_doubt` is true after an attempt that may have been executed.  `deadline` is in
    monotonic seconds.
    """

    spec: JobSpec
    value: bytes
    future: asyncio.Future[None]
    deadline: float
    in_doubt: bool = field(default=False)


class JobWriter:
    """Stores jobs under the condition that no job with their id is stored.

    `store_unreachable` returns whether the store is known to be unreachable.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        notifier: LeaderNotifier,
        *,
        store_unreachable: Callable[[], bool],
    ) -> None:
        self._table = table
        self._clock = clock
        self._notifier = notifier
        self._store_unreachable = store_unreachable
        self._queued: list[_PendingJob] = []
        self._transactions: set[asyncio.Task[None]] = set()

    async def submit(self, spec: JobSpec) -> None:
        """Store a job, or do nothing if a job with its id is stored already.

        Raises `RefusedError` if the job is not stored and never will be,
        `InvalidInputError` if it is too large to be stored, and `UnavailableError` if
        it may have been stored.
        """
        if self._store_unreachable():
            raise RefusedError(
                "store_out_of_reach",
                "the store is unreachable",
                retry_after=RETRY_AFTER,
            )
        if len(self._queued) >= MAX_QUEUED_JOBS:
            raise RefusedError(
                "store_busy",
                f"{MAX_QUEUED_JOBS} jobs already wait to be stored",
                retry_after=RETRY_AFTER,
            )
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        deadline = self._clock.monotonic() + STORE_TIMEOUT.total_seconds()
        self._queued.append(_PendingJob(spec, spec.encode(), future, deadline))
        self._start_transactions()
        await future

    async def cancel(self, job_id: str) -> CancelResult:
        """Store a request to cancel a job, retrying for up to `STORE_TIMEOUT`.

        Raises `UnavailableError` if it is not known whether the request was stored.
        """
        deadline = self._clock.monotonic() + STORE_TIMEOUT.total_seconds()
        while True:
            try:
                result = await self._try_cancel(job_id)
            except ConflictError:
                result = None
            except UnavailableError:
                if self._clock.monotonic() >= deadline:
                    raise
                await self._clock.sleep(RETRY_DELAY)
                continue
            if result is not None:
                return result

    async def _try_cancel(self, job_id: str) -> CancelResult:
        """Try once; raise `ConflictError` if the job's row changed meanwhile."""
        key = job_key(job_id)
        rows = await self._table.read([key, outcome_key(job_id)])
        row = rows.get(key)
        if row is None:
            return CancelResult.UNKNOWN_JOB
        outcome = rows.get(outcome_key(job_id))
        if outcome is not None:
            cancelled = decode_outcome(outcome.value) is JobState.CANCELLED
            return CancelResult.CANCELLED if cancelled else CancelResult.ENDED
        write = Write(cancel_key(job_id), b"{}")
        versions = await self._table.commit([Check(key, row.version)], [write])
        version = versions[write.key]
        self._notifier.notify_leader([Row(write.key, version, b"{}")])
        return CancelResult.CANCELLED

    def _start_transactions(self) -> None:
        """Start transactions for queued jobs, up to `MAX_CONCURRENT_TRANSACTIONS`."""
        while self._queued and len(self._transactions) < MAX_CONCURRENT_TRANSACTIONS:
            batch = self._take_batch()
            task = asyncio.create_task(self._store_batch(batch))
            self._transactions.add(task)
            task.add_done_callback(self._on_transaction_done)

    def _take_batch(self) -> list[_PendingJob]:
        """Remove and return queued jobs whose rows lie in one part of the table."""
        part = job_part(self._queued[0].spec.job_id)
        size = TransactionSize()
        batch: list[_PendingJob] = []
        for job in self._queued:
            if job_part(job.spec.job_id) != part:
                continue
            size = size + TransactionSize.of(*_entries([job]))
            full = len(batch) >= MAX_JOBS_PER_TRANSACTION or not size.fits
            if batch and full:
                break
            batch.append(job)
        for job in batch:
            self._queued.remove(job)
        return batch

    def _on_transaction_done(self, task: asyncio.Task[None]) -> None:
        self._transactions.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("submission_failed")
        self._start_transactions()

    async def _store_batch(self, batch: list[_PendingJob]) -> None:
        """Store `batch`, retrying until each job is stored or past its deadline."""
        try:
            while batch:
                batch = await self._try_store(batch)
        finally:
            for job in batch:
                _fail(job, "the process is stopping")

    async def _try_store(self, batch: list[_PendingJob]) -> list[_PendingJob]:
        """Try once to store `batch`; return the jobs to retry."""
        checks, writes = _entries(batch)
        try:
            versions = await self._table.commit(checks, writes)
        except ConflictError:
            return await self._complete_stored(batch)
        except TransactionRejectedError as exc:
            await self._store_apart(batch, exc)
            return []
        except UnavailableError as exc:
            return await self._retry_or_fail(batch, exc)
        rows = [
            Row(write.key, versions[write.key], write.value or b"") for write in writes
        ]
        self._notifier.notify_leader(rows)
        for job in batch:
            _succeed(job)
        return []

    async def _store_apart(
        self, batch: list[_PendingJob], exc: TransactionRejectedError
    ) -> None:
        """Store each job of a refused transaction alone, and fail one that cannot be.

        An earlier attempt with the same rows was refused as well, so such a job is
        certainly not stored.
        """
        if len(batch) == 1:
            logger.warning("job_not_storable", job=batch[0].spec.job_id, cause=str(exc))
            _reject(batch[0], f"the job cannot be stored: {exc}")
            return
        for job in batch:
            await self._store_batch([job])

    async def _complete_stored(self, batch: list[_PendingJob]) -> list[_PendingJob]:
        """After a conflict, report success for stored jobs; return the others."""
        try:
            stored_rows = await self._table.read(
                [job_key(job.spec.job_id) for job in batch]
            )
        except UnavailableError as exc:
            return await self._retry_or_fail(batch, exc)
        remaining = []
        for job in batch:
            if job_key(job.spec.job_id) in stored_rows:
                _succeed(job)
            else:
                remaining.append(job)
        if len(remaining) == len(batch):
            await self._clock.sleep(RETRY_DELAY)
        return remaining

    async def _retry_or_fail(
        self, batch: list[_PendingJob], exc: UnavailableError
    ) -> list[_PendingJob]:
        """Fail the jobs whose deadline has passed; return the others after a pause."""
        now = self._clock.monotonic()
        remaining = []
        for job in batch:
            job.in_doubt = job.in_doubt or exc.verdict is not Verdict.NOT_RUN
            if now >= job.deadline:
                _fail(job, str(exc))
            else:
                remaining.append(job)
        if remaining:
            await self._clock.sleep(RETRY_DELAY)
        return remaining


def _entries(batch: Sequence[_PendingJob]) -> tuple[list[Check], list[Write]]:
    """Return the conditions and writes of the transaction that stores `batch`."""
    keys = [job_key(job.spec.job_id) for job in batch]
    writes = [Write(key, job.value) for key, job in zip(keys, batch, strict=True)]
    return [Check(key, 0) for key in keys], writes


def _reject(job: _PendingJob, cause: str) -> None:
    if not job.future.done():
        job.future.set_exception(InvalidInputError(cause))


def _succeed(job: _PendingJob) -> None:
    if not job.future.done():
        job.future.set_result(None)


def _fail(job: _PendingJob, cause: str) -> None:
    """Report failure: refused if certainly not stored, else `UnavailableError`."""
    if job.future.done():
        return
    if job.in_doubt:
        exc: Exception = UnavailableError(cause, verdict=Verdict.MAY_HAVE_RUN)
    else:
        exc = RefusedError("store_unavailable", cause, retry_after=RETRY_AFTER)
    job.future.set_exception(exc)
