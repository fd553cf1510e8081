"""Stores jobs and cancellations, several in one transaction."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch import cancel_key, job_key, job_part, outcome_key
from cassiaweir.exceptions import ConflictError, RefusedError, UnavailableError
from cassiaweir.jobs import JobSpec, JobState, decode_outcome
from cassiaweir.types import Check, Clock, Row, Table, Write
from cassiaweir.verdict import Verdict

MOST_JOBS_PER_TRANSACTION = 16
MOST_TRANSACTIONS = 16
MOST_WAITING = 400
PATIENCE = timedelta(milliseconds=1_200)
"""A job that could not be stored for so long is given up."""

RETRY_DELAY = timedelta(milliseconds=60)
RETRY_AFTER = timedelta(seconds=1)


class Announcer(Protocol):
    """Tells the leader of rows that were just stored."""

    def announce(self, rows: Sequence[Row]) -> None:
        """Hand over `rows`; what gets lost comes by the feed."""


class CancelResult(StrEnum):
    """What came of a request to cancel a job."""

    CANCELLED = "cancelled"
    ENDED = "ended"
    UNKNOWN_JOB = "unknown_job"


@dataclass(slots=True, eq=False)
class _Waiting:
    """A job on its way to the store; `in_doubt` after an attempt without an answer."""

    spec: JobSpec
    value: bytes
    fut: asyncio.Future[None]
    give_up_at: float
    in_doubt: bool = field(default=False)


class JobWriter:
    """Writes jobs under the condition that their id is not taken.

    `store_unreachable` tells whether the store is known to be out of reach.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        announcer: Announcer,
        *,
        store_unreachable: Callable[[], bool],
    ) -> None:
        self._table = table
        self._clock = clock
        self._announcer = announcer
        self._store_unreachable = store_unreachable
        self._waiting: list[_Waiting] = []
        self._sending: set[asyncio.Task[None]] = set()

    async def submit(self, spec: JobSpec) -> None:
        """Store a job; a job that is there already counts as stored.

        Raises `RefusedError` where the job is not stored and never will be, and
        `UnavailableError` where that is not known.
        """
        if self._store_unreachable():
            raise RefusedError(
                "store_out_of_reach",
                "the store is out of reach",
                retry_after=RETRY_AFTER,
            )
        if len(self._waiting) >= MOST_WAITING:
            raise RefusedError(
                "store_busy", "too many jobs wait to be stored", retry_after=RETRY_AFTER
            )
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        give_up_at = self._clock.monotonic() + PATIENCE.total_seconds()
        self._waiting.append(_Waiting(spec, spec.encode(), fut, give_up_at))
        self._pump()
        await fut

    async def cancel(self, job_id: str) -> CancelResult:
        """Store the request to cancel a job.

        Raises `UnavailableError` where it is not known whether it was stored.
        """
        give_up_at = self._clock.monotonic() + PATIENCE.total_seconds()
        while True:
            try:
                result = await self._try_cancel(job_id)
            except ConflictError:
                result = None
            except UnavailableError:
                if self._clock.monotonic() >= give_up_at:
                    raise
                await self._clock.sleep(RETRY_DELAY)
                continue
            if result is not None:
                return result

    async def _try_cancel(self, job_id: str) -> CancelResult:
        key = job_key(job_id)
        rows = await self._table.read([key, outcome_key(job_id)])
        row = rows.get(key)
        if row is None:
            return CancelResult.UNKNOWN_JOB
        ended = rows.get(outcome_key(job_id))
        if ended is not None:
            cancelled = decode_outcome(ended.value) is JobState.CANCELLED
            return CancelResult.CANCELLED if cancelled else CancelResult.ENDED
        write = Write(cancel_key(job_id), b"{}")
        versions = await self._table.commit([Check(key, row.version)], [write])
        version = versions[write.key]
        self._announcer.announce([Row(write.key, version, b"{}")])
        return CancelResult.CANCELLED

    def _pump(self) -> None:
        while self._waiting and len(self._sending) < MOST_TRANSACTIONS:
            batch = self._take_batch()
            task = asyncio.create_task(self._send(batch))
            self._sending.add(task)
            task.add_done_callback(self._on_sent)

    def _take_batch(self) -> list[_Waiting]:
        """Remove and return the next jobs of one part."""
        part = job_part(self._waiting[0].spec.job_id)
        batch = [each for each in self._waiting if job_part(each.spec.job_id) == part][
            :MOST_JOBS_PER_TRANSACTION
        ]
        for each in batch:
            self._waiting.remove(each)
        return batch

    def _on_sent(self, task: asyncio.Task[None]) -> None:
        self._sending.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("submission_failed")
        self._pump()

    async def _send(self, batch: list[_Waiting]) -> None:
        """Store `batch`, repeating until each job's fate is known or given up."""
        try:
            while batch:
                batch = await self._try_store(batch)
        finally:
            for each in batch:
                _fail(each, "the process is stopping")

    async def _try_store(self, batch: list[_Waiting]) -> list[_Waiting]:
        """Try once to store `batch` and return the jobs to be tried again."""
        checks = [Check(job_key(each.spec.job_id), 0) for each in batch]
        writes = [Write(job_key(each.spec.job_id), each.value) for each in batch]
        try:
            versions = await self._table.commit(checks, writes)
        except ConflictError:
            return await self._drop_stored(batch)
        except UnavailableError as exc:
            return await self._after_failure(batch, exc)
        rows = [
            Row(write.key, versions[write.key], write.value or b"") for write in writes
        ]
        self._announcer.announce(rows)
        for each in batch:
            _succeed(each)
        return []

    async def _drop_stored(self, batch: list[_Waiting]) -> list[_Waiting]:
        """Answer the jobs that are stored already and return the others."""
        try:
            found = await self._table.read(
                [job_key(each.spec.job_id) for each in batch]
            )
        except UnavailableError as exc:
            return await self._after_failure(batch, exc)
        left = []
        for each in batch:
            if job_key(each.spec.job_id) in found:
                _succeed(each)
            else:
                left.append(each)
        if len(left) == len(batch):
            await self._clock.sleep(RETRY_DELAY)
        return left

    async def _after_failure(
        self, batch: list[_Waiting], exc: UnavailableError
    ) -> list[_Waiting]:
        """Return the jobs that still have time, after a pause."""
        now = self._clock.monotonic()
        left = []
        for each in batch:
            each.in_doubt = each.in_doubt or exc.verdict is not Verdict.NOT_RUN
            if now >= each.give_up_at:
                _fail(each, str(exc))
            else:
                left.append(each)
        if left:
            await self._clock.sleep(RETRY_DELAY)
        return left


def _succeed(waiting: _Waiting) -> None:
    if not waiting.fut.done():
        waiting.fut.set_result(None)


def _fail(waiting: _Waiting, cause: str) -> None:
    """Answer a job that is given up: refused, or in doubt."""
    if waiting.fut.done():
        return
    if waiting.in_doubt:
        exc: Exception = UnavailableError(cause, verdict=Verdict.MAY_HAVE_RUN)
    else:
        exc = RefusedError("store_unavailable", cause, retry_after=RETRY_AFTER)
    waiting.fut.set_exception(exc)
