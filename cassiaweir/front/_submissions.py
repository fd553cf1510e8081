"""Stores submitted jobs, several in one transaction, and requests to cancel jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from cassiaweir.dispatch import (
    Refusal,
    decode_refusal,
    encode_refusal,
    job_part,
)
from cassiaweir.exceptions import (
    ConflictError,
    InvalidInputError,
    RefusedError,
    TransactionRejectedError,
    UnavailableError,
)
from cassiaweir.front._cancels import (
    RETRY_AFTER,
    RETRY_DELAY,
    STORE_TIMEOUT,
    CancelResult,
    JobCanceller,
    LeaderNotifier,
    notify_of_stored,
)
from cassiaweir.front._pending_jobs import (
    Attempt,
    KnownRefusal,
    PendingJob,
    UnsettledIds,
)
from cassiaweir.jobs import JobSpec
from cassiaweir.store import TransactionSize
from cassiaweir.types import Check, Clock, Row, Table, Write
from cassiaweir.verdict import Verdict

MAX_JOBS_PER_TRANSACTION = 16
MAX_CONCURRENT_TRANSACTIONS = 16
MAX_QUEUED_JOBS = 400
MAX_KNOWN_REFUSALS = 4_096
"""Limits how many refusals are remembered to spare a conflict when callers return."""

CANCELLED_BEFORE = "the job was cancelled before it was stored"


class JobWriter:
    """Stores jobs under the condition that no job with their id is stored.

    A job that is refused for the load gets a refusal row instead, under the same
    condition.  Without it an earlier attempt with the same id, which got no answer, may
    be stored later and run.

    `store_unreachable` returns whether the store is known to be unreachable, and
    `store_version` a version of the store that this process has seen elsewhere.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        notifier: LeaderNotifier,
        *,
        store_unreachable: Callable[[], bool],
        store_version: Callable[[], int] = lambda: 0,
        max_row_bytes: int | None = None,
    ) -> None:
        self._max_row_bytes = max_row_bytes
        self._store_version = store_version
        self._newest_version = 0
        self._known_refusals: dict[str, KnownRefusal] = {}
        self._table = table
        self._clock = clock
        self._notifier = notifier
        self._store_unreachable = store_unreachable
        self._canceller = JobCanceller(table, clock, notifier)
        self._unsettled = UnsettledIds()
        self._queued: list[PendingJob] = []
        self._transactions: set[asyncio.Task[None]] = set()

    def newest_version(self) -> int:
        """Return the newest version of the store that this process has seen."""
        self._newest_version = max(self._newest_version, self._store_version())
        return self._newest_version

    async def submit(self, spec: JobSpec, attempt: Attempt | None = None) -> None:
        """Store a job, or do nothing if a job with its id is stored already.

        Raises `RefusedError` if the job is not stored and never will be,
        `InvalidInputError` if it is too large to be stored, and `UnavailableError` if
        it may have been stored.  The first is `OverloadError` if it is refused for the
        load, and the id is then blocked.
        """
        if attempt is None:
            attempt = Attempt(self.newest_version(), lambda: True)
        if self._store_unreachable():
            cause = "the store is unreachable"
            raise self._not_stored(spec.job_id, "store_out_of_reach", cause)
        if len(self._queued) >= MAX_QUEUED_JOBS:
            cause = f"{MAX_QUEUED_JOBS} jobs already wait to be stored"
            raise self._not_stored(spec.job_id, "store_busy", cause)
        value = spec.encode()
        self._check_size(spec.job_id, value)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        deadline = self._clock.monotonic() + STORE_TIMEOUT.total_seconds()
        received_at = self._clock.now().timestamp()
        job = PendingJob(
            spec,
            value,
            attempt,
            future,
            deadline,
            received_at,
            attempt.rejected,
        )
        known = self._known_refusals.get(spec.job_id)
        if known is not None:
            job.meet_refusal(known)
        self._queued.append(job)
        self._unsettled.begin(spec.job_id)
        self._start_transactions()
        await future

    def _check_size(self, job_id: str, value: bytes) -> None:
        """Raise `InvalidInputError` if the store takes no row of that size.

        The row would take several times its size until the store has refused it.
        """
        limit = self._max_row_bytes
        if limit is not None and len(value) > limit:
            logger.warning("job_not_storable", job=job_id, size=len(value))
            raise InvalidInputError(
                f"the job cannot be stored: it takes {len(value)} bytes of {limit}"
            )

    def _not_stored(self, job_id: str, reason: str, cause: str) -> Exception:
        """Return the error for an attempt that has certainly stored nothing.

        It is no refusal while another attempt with the id may still take effect.
        """
        if self._unsettled.has(job_id):
            return UnavailableError(cause, verdict=Verdict.MAY_HAVE_RUN)
        return RefusedError(reason, cause, retry_after=RETRY_AFTER)

    async def cancel(self, job_id: str, customer: str = "") -> CancelResult:
        """Cancel a job, or close its id if it is not stored; see `JobCanceller`."""
        return await self._canceller.cancel(job_id, customer)

    def _start_transactions(self) -> None:
        """Start transactions for queued jobs, up to `MAX_CONCURRENT_TRANSACTIONS`."""
        while self._queued and len(self._transactions) < MAX_CONCURRENT_TRANSACTIONS:
            batch = self._take_batch()
            task = asyncio.create_task(self._store_batch(batch))
            self._transactions.add(task)
            task.add_done_callback(self._on_transaction_done)

    def _take_batch(self) -> list[PendingJob]:
        """Remove and return queued jobs whose rows lie in one part of the table.

        Each key is written once in a transaction: of an accepted and a refused attempt
        with one id, the later write would win and the answer to the other be wrong.
        """
        part = job_part(self._queued[0].spec.job_id)
        size = TransactionSize()
        by_key: dict[str, PendingJob] = {}
        for job in self._queued:
            if job_part(job.spec.job_id) != part or job.key in by_key:
                continue
            size = size + job.size
            if by_key and not size.fits:
                break
            by_key[job.key] = job
            if len(by_key) == MAX_JOBS_PER_TRANSACTION:
                break
        batch = list(by_key.values())
        for job in batch:
            self._queued.remove(job)
        return batch

    def _on_transaction_done(self, task: asyncio.Task[None]) -> None:
        self._transactions.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("submission_failed")
        self._start_transactions()

    async def _store_batch(self, batch: list[PendingJob]) -> None:
        """Store `batch`, retrying until each job is stored or past its deadline.

        An error that nobody expected may come after the store has executed the
        transaction, so that jobs without a result are in doubt then.
        """
        try:
            while batch:
                batch = await self._try_store(batch)
        except BaseException as exc:
            for job in batch:
                self._abandon(job, exc)
            raise

    async def _try_store(self, batch: list[PendingJob]) -> list[PendingJob]:
        """Try once to store `batch`; return the jobs to retry."""
        refusals = [self._refusal_of(job) for job in batch]
        checks = [Check(job.key, job.version) for job in batch]
        writes = [
            Write(job.key, encode_refusal(refusal) if refusal else job.value)
            for job, refusal in zip(batch, refusals, strict=True)
        ]
        try:
            versions = await self._table.commit(checks, writes)
        except ConflictError:
            return await self._complete_stored(batch)
        except TransactionRejectedError as exc:
            await self._store_apart(batch, exc)
            return []
        except UnavailableError as exc:
            return await self._retry_or_fail(batch, exc)
        # Callers learn what is stored before anything else is done with it.
        for job, refusal in zip(batch, refusals, strict=True):
            try:
                self._answer_stored(job, refusal, versions[job.key])
            except Exception as exc:
                logger.opt(exception=exc).error("answer_failed", job=job.spec.job_id)
                self._abandon(job, exc)
        rows = [
            Row(write.key, versions[write.key], write.value or b"") for write in writes
        ]
        notify_of_stored(self._notifier, rows)
        return []

    def _answer_stored(
        self, job: PendingJob, refusal: Refusal | None, version: int
    ) -> None:
        """Tell the caller that the job, or its refusal, is stored at `version`."""
        if refusal is None:
            self._known_refusals.pop(job.spec.job_id, None)
            self._settle(job)
            job.succeed()
        else:
            self._remember(job, KnownRefusal(version, refusal))
            self._settle(job)
            job.reject()

    def _settle(self, job: PendingJob) -> None:
        """Note that it is known what is stored under the id of `job`."""
        job.settled = True
        self._unsettled.settle(job.spec.job_id)

    async def _store_apart(
        self, batch: list[PendingJob], exc: TransactionRejectedError
    ) -> None:
        """Store each job of a refused transaction alone, and fail one that cannot be.

        An earlier attempt with the same rows was refused as well, so such a job is
        certainly not stored.
        """
        if len(batch) == 1:
            logger.warning("job_not_storable", job=batch[0].spec.job_id, cause=str(exc))
            self._settle(batch[0])
            batch[0].fail(InvalidInputError(f"the job cannot be stored: {exc}"))
            return
        for job in batch:
            await self._store_batch([job])

    def _refusal_of(self, job: PendingJob) -> Refusal | None:
        """Return the refusal to store for `job`, None if the job is to be stored."""
        if job.rejected is None:
            return None
        now = self._clock.now().timestamp()
        turn_at = job.received_at + job.rejected.turn_in_s
        return Refusal(job.spec.customer, now, turn_at)

    def _remember(self, job: PendingJob, known: KnownRefusal) -> None:
        self._newest_version = max(self._newest_version, known.version)
        self._known_refusals.pop(job.spec.job_id, None)
        self._known_refusals[job.spec.job_id] = known
        if len(self._known_refusals) > MAX_KNOWN_REFUSALS:
            del self._known_refusals[next(iter(self._known_refusals))]

    async def _complete_stored(self, batch: list[PendingJob]) -> list[PendingJob]:
        """After a conflict, report success for stored jobs; return the others."""
        try:
            stored_rows = await self._table.read([job.key for job in batch])
        except UnavailableError as exc:
            for job in batch:
                # What stands in the way may be the job, stored by another attempt.
                job.in_doubt = True
            return await self._retry_or_fail(batch, exc)
        remaining = []
        versions = [job.version for job in batch]
        for job in batch:
            row = stored_rows.get(job.key)
            refusal = decode_refusal(row.value) if row is not None else None
            if row is not None and refusal is None:
                self._settle(job)
                job.succeed()
                continue
            if refusal is not None and refusal.cancelled:
                self._settle(job)
                job.fail(RefusedError("cancelled", CANCELLED_BEFORE))
                continue
            if row is None or refusal is None:
                job.version = 0
            else:
                job.meet_refusal(KnownRefusal(row.version, refusal))
            remaining.append(job)
        if [job.version for job in remaining] == versions:
            await self._clock.sleep(RETRY_DELAY)
        return remaining

    def _fail(self, job: PendingJob, cause: str) -> None:
        """Report failure: refused if certainly not stored, else `UnavailableError`."""
        job.settled = True
        self._unsettled.end(job.spec.job_id, in_doubt=job.in_doubt)
        job.fail(self._not_stored(job.spec.job_id, "store_unavailable", cause))

    def _abandon(self, job: PendingJob, exc: BaseException) -> None:
        """Report that a job without a result may be stored, after an error."""
        if not job.settled:
            job.in_doubt = True
            self._fail(job, f"storing was broken off: {type(exc).__name__}")

    async def _retry_or_fail(
        self, batch: list[PendingJob], exc: UnavailableError
    ) -> list[PendingJob]:
        """Fail the jobs whose deadline has passed; return the others after a pause."""
        now = self._clock.monotonic()
        remaining = []
        for job in batch:
            stores = job.rejected is None
            job.in_doubt |= stores and exc.verdict is not Verdict.NOT_RUN
            if now >= job.deadline:
                self._fail(job, str(exc))
            else:
                remaining.append(job)
        if remaining:
            await self._clock.sleep(RETRY_DELAY)
        return remaining
