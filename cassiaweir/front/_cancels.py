"""Stores requests to cancel jobs, and closes the ids of jobs that are not stored."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch import (
    Refusal,
    cancel_key,
    decode_refusal,
    encode_refusal,
    job_key,
    outcome_key,
)
from cassiaweir.exceptions import ConflictError, RefusedError, UnavailableError
from cassiaweir.front._cancel_retries import CancelRetries
from cassiaweir.jobs import JobState, decode_outcome
from cassiaweir.types import Check, Clock, Row, Table, Write
from cassiaweir.verdict import Verdict

STORE_TIMEOUT = timedelta(milliseconds=1_200)
"""Time after the call of `submit` or `cancel` from which failures are not retried."""

RETRY_DELAY = timedelta(milliseconds=60)
RETRY_AFTER = timedelta(seconds=1)
"""Sent with refusals: how long the caller should wait before it tries again."""

MAX_CLOSED_PER_S = 50.0
MAX_CLOSED_AT_ONCE = 200.0
"""Ids of unknown jobs that one front closes; each is a row for two minutes."""


class LeaderNotifier(Protocol):
    """Passes rows that were just stored to the leader."""

    def notify_leader(self, rows: Sequence[Row]) -> None:
        """Pass on `rows`; the leader's change feed delivers those that get lost."""


def notify_of_stored(notifier: LeaderNotifier, rows: Sequence[Row]) -> None:
    """Pass on rows that are stored; an error changes nothing about that.

    The change feed delivers them to the leader in any case, so that no caller may be
    told otherwise.
    """
    try:
        notifier.notify_leader(rows)
    except Exception as exc:
        logger.opt(exception=exc).error("leader_not_notified", rows=len(rows))


class CancelResult(StrEnum):
    """The result of a request to cancel; values are reasons in logs and metrics."""

    CANCELLED = "cancelled"
    ENDED = "ended"
    UNKNOWN_JOB = "unknown_job"


class JobCanceller:
    """Cancels jobs, whether or not they are stored yet.

    Where no job is stored under an id, a submission of it may still be under way, here
    or at another front, or have got no answer and take effect later.  The caller is
    told that there is no such job, which has to stay true.  So the id is closed by a
    row in place of the job, under the condition that none was stored meanwhile.

    A caller that got no acknowledgement may not ask again, and takes the job for
    cancelled all the same, so that the cancel is repeated in the background.
    """

    def __init__(self, table: Table, clock: Clock, notifier: LeaderNotifier) -> None:
        self._table = table
        self._clock = clock
        self._notifier = notifier
        self._closable = MAX_CLOSED_AT_ONCE
        self._counted_at = clock.monotonic()
        self._retries = CancelRetries(self._try_cancel, clock)

    async def cancel(self, job_id: str, customer: str = "") -> CancelResult:
        """Cancel a job, or close its id; retry for up to `STORE_TIMEOUT`.

        Raises `UnavailableError` if that could not be stored.  Its verdict is NOT_RUN
        if it is certainly not done, else MAY_HAVE_RUN: an attempt is in doubt, or it is
        repeated in the background.  Raises `RefusedError` if too many ids of unknown
        jobs were closed just before.
        """
        deadline = self._clock.monotonic() + STORE_TIMEOUT.total_seconds()
        in_doubt = self._retries.has(job_id)
        while True:
            try:
                result = await self._try_cancel(job_id, customer)
            except ConflictError:
                # The row of the job has changed since it was read.
                continue
            except RefusedError as exc:
                if in_doubt:
                    raise self._unfinished(job_id, customer, exc) from exc
                raise
            except UnavailableError as exc:
                in_doubt |= exc.verdict is not Verdict.NOT_RUN
                if self._clock.monotonic() < deadline:
                    await self._clock.sleep(RETRY_DELAY)
                    continue
                if in_doubt or self._retries.has_room():
                    raise self._unfinished(job_id, customer, exc) from exc
                raise
            self._retries.discard(job_id)
            return result

    def _unfinished(
        self, job_id: str, customer: str, cause: Exception
    ) -> UnavailableError:
        """Repeat a cancel in the background; return the error for its caller."""
        self._retries.add(job_id, customer)
        return UnavailableError(str(cause), verdict=Verdict.MAY_HAVE_RUN)

    async def _try_cancel(self, job_id: str, customer: str) -> CancelResult:
        """Try once; raise `ConflictError` if the job's row changed meanwhile."""
        key = job_key(job_id)
        rows = await self._table.read([key, outcome_key(job_id)])
        row = rows.get(key)
        refusal = decode_refusal(row.value) if row is not None else None
        if row is None or refusal is not None:
            if refusal is None or not refusal.cancelled:
                await self._close(key, row, customer)
            return CancelResult.UNKNOWN_JOB
        outcome = rows.get(outcome_key(job_id))
        if outcome is not None:
            cancelled = decode_outcome(outcome.value) is JobState.CANCELLED
            return CancelResult.CANCELLED if cancelled else CancelResult.ENDED
        await self._commit(Check(key, row.version), Write(cancel_key(job_id), b"{}"))
        return CancelResult.CANCELLED

    async def _close(self, key: str, row: Row | None, customer: str) -> None:
        """Store that no job is accepted under `key`, where `row` stood or nothing."""
        self._count_closed()
        at = self._clock.now().timestamp()
        value = encode_refusal(Refusal(customer, at, at, cancelled=True))
        version = row.version if row is not None else 0
        await self._commit(Check(key, version), Write(key, value))

    async def _commit(self, check: Check, write: Write) -> None:
        versions = await self._table.commit([check], [write])
        version = versions[write.key]
        row = Row(write.key, version, write.value or b"")
        notify_of_stored(self._notifier, [row])

    def _count_closed(self) -> None:
        """Count an id that is closed, or raise `RefusedError` if these are too many."""
        now = self._clock.monotonic()
        refilled = self._closable + (now - self._counted_at) * MAX_CLOSED_PER_S
        self._counted_at = now
        self._closable = min(refilled, MAX_CLOSED_AT_ONCE)
        if self._closable < 1:
            raise RefusedError(
                "cancels_busy",
                "too many unknown jobs are being cancelled",
                retry_after=RETRY_AFTER,
            )
        self._closable -= 1
