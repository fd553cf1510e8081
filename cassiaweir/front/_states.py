"""Looks up the state of jobs, at the leader or else in the store."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Protocol

from loguru import logger

from cassiaweir.clock import SystemClock
from cassiaweir.dispatch import (
    PROGRESS_PREFIX,
    decode_refusal,
    job_key,
    outcome_key,
)
from cassiaweir.exceptions import UnavailableError
from cassiaweir.jobs import JobState, decode_outcome
from cassiaweir.leadership import Owner
from cassiaweir.scheduling import LoadSnapshot
from cassiaweir.types import Clock, Row, Table
from cassiaweir.verdict import Verdict

HEDGE_DELAY = timedelta(milliseconds=100)
"""The store is read too if the leader has not answered by then.

A leader with processor time to spare answers in a fraction of that.
"""

LEADER_RETRY_S = 1.0
"""After an answer that came too late, the leader is not asked again for this time."""

FRESH_COUNT_S = 1.0
MAX_COUNT_AGE_S = 2.0
"""The age up to which the numbers of pending jobs in a load are shown.

Beyond the first age the leader is asked for a newer number, and they are shown only if
it does not answer.
"""

MAX_NOTIFIED_ROWS = 100
"""Rows that the leader is sent in one call."""

MAX_BEGUN_JOBS = 4_096
"""Limits how many jobs are remembered that the leader has shown as running."""


class LocalLeader(Protocol):
    """The jobs known to this process while it is the leader."""

    @property
    def serving_epoch(self) -> int:
        """The epoch in which this process serves as leader, 0 if it does not."""

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Apply rows that were just stored."""

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job, None if it is not known."""

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of `queue` have not started."""


class LeaderClient(Protocol):
    """Calls to the leader in another process."""

    async def offer(self, address: str, rows: Sequence[Row]) -> LoadSnapshot | None:
        """Send rows that were just stored to the leader; return the load it tells."""

    async def job_state(self, address: str, job_id: str) -> JobState | None:
        """Return the state of a job, None if the leader does not know it."""

    async def pending(self, address: str, queue: str) -> int:
        """Return how many jobs of `queue` have not started."""


class LeaderSource(Protocol):
    """Provides the current leader."""

    def owner(self) -> Owner | None:
        """Return the leader as last seen by this process, None if there was none."""


class JobDirectory:
    """Looks up jobs in this process if it leads, else at the leader or in the store.

    A final state in the store is final, so that it is shown without the leader if that
    does not answer soon.  A leader that does not keep up is asked seldom.  `on_load` is
    called with each load that a leader in another process tells.
    """

    def __init__(
        self,
        local: LocalLeader,
        client: LeaderClient,
        leader: LeaderSource,
        table: Table,
        on_load: Callable[[LoadSnapshot], None] | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._on_load = on_load
        self._clock = clock or SystemClock()
        self._ask_again_at = -math.inf
        self._begun: dict[str, None] = {}
        self._newest_load: LoadSnapshot | None = None
        self._local = local
        self._client = client
        self._leader = leader
        self._table = table
        self._unsent_rows: list[Row] = []
        self._notification: asyncio.Task[None] | None = None

    async def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job, None if no such job is stored.

        Raises `UnavailableError` if neither the leader nor the store answers.
        """
        if self._local.serving_epoch:
            state = self._local.job_state(job_id)
            return state if state is not None else await self._read_state(job_id)
        if self._clock.monotonic() < self._ask_again_at:
            try:
                return await self._read_state(job_id)
            except UnavailableError as exc:
                logger.info("job_not_read", job=job_id, cause=str(exc))
        return await self._ask_and_read(job_id)

    async def _ask_and_read(self, job_id: str) -> JobState | None:
        """Ask the leader, and read the store if it does not know the job or is slow."""
        query = asyncio.create_task(self._ask_leader(job_id))
        try:
            await asyncio.wait({query}, timeout=HEDGE_DELAY.total_seconds())
            if query.done():
                state = query.result()
                return state if state is not None else await self._read_state(job_id)
            self._ask_again_at = self._clock.monotonic() + LEADER_RETRY_S
            return await self._read_beside(query, job_id)
        finally:
            query.cancel()

    async def _read_beside(
        self, query: asyncio.Task[JobState | None], job_id: str
    ) -> JobState | None:
        """Return a final state as soon as it is read, else what the leader answers."""
        try:
            stored = await self._read_state(job_id)
        except UnavailableError as exc:
            state = await query
            if state is None:
                raise
            logger.info("job_not_read", job=job_id, cause=str(exc))
            return state
        if stored is not None and stored.final:
            return stored
        state = await query
        return state if state is not None else stored

    async def count_pending(self, queue: str) -> int:
        """Return how many jobs of `queue` have not started, as known to the leader.

        The number may be `MAX_COUNT_AGE_S` old.  Raises `UnavailableError` if the
        leader has told none since, and does not answer.
        """
        if self._local.serving_epoch:
            return self._local.count_pending(queue)
        recent = self._recent_count(queue, FRESH_COUNT_S)
        if recent is not None:
            return recent
        try:
            return await self._client.pending(self._leader_address(), queue)
        except UnavailableError:
            recent = self._recent_count(queue, MAX_COUNT_AGE_S)
            if recent is None:
                raise
            return recent

    def _recent_count(self, queue: str, max_age_s: float) -> int | None:
        """Return the number of pending jobs in the newest load, None if it is older."""
        load = self._newest_load
        if load is None or self._clock.monotonic() - load.time > max_age_s:
            return None
        return load.pending.get(queue)

    def notify_leader(self, rows: Sequence[Row]) -> None:
        """Pass rows that were just stored to the leader, ahead of its change feed.

        A leader in another process is called in the background, one call at a time: it
        accepts few calls a second while it is busy.  Failures are only logged, as the
        change feed delivers the rows in any case.
        """
        if self._local.serving_epoch:
            self._local.apply_rows(rows)
            return
        self._unsent_rows += rows
        if self._notification is None or self._notification.done():
            self._notification = asyncio.create_task(self._send_notifications())

    async def _send_notifications(self) -> None:
        """Send the stored rows to the leader, all that have come since in one call.

        After a failure the change feed delivers them sooner than another attempt.
        """
        while self._unsent_rows:
            rows = self._unsent_rows[:MAX_NOTIFIED_ROWS]
            del self._unsent_rows[:MAX_NOTIFIED_ROWS]
            try:
                load = await self._client.offer(self._leader_address(), rows)
            except UnavailableError as exc:
                logger.info(
                    "leader_notification_failed", rows=len(rows), cause=str(exc)
                )
                self._unsent_rows.clear()
                continue
            if load is not None:
                self._note_load(load)

    def _note_load(self, load: LoadSnapshot) -> None:
        if self._newest_load is None or load.time > self._newest_load.time:
            self._newest_load = load
        if self._on_load is not None:
            self._on_load(load)

    def _leader_address(self) -> str:
        """Return the address of the leader, or raise `UnavailableError`."""
        owner = self._leader.owner()
        if owner is None or owner.released:
            raise UnavailableError("no leader is known", verdict=Verdict.NOT_RUN)
        return owner.address

    async def _ask_leader(self, job_id: str) -> JobState | None:
        """Return the state known to the leader, None if unknown or unreachable."""
        try:
            state = await self._client.job_state(self._leader_address(), job_id)
        except UnavailableError as exc:
            logger.info("leader_query_failed", job=job_id, cause=str(exc))
            return None
        if state is JobState.RUNNING:
            self._remember_begun(job_id)
        return state

    def _remember_begun(self, job_id: str) -> None:
        """Remember that a job was shown as running, so that its state never goes back.

        The store shows it as queued until a part of its progress is stored.
        """
        self._begun[job_id] = None
        if len(self._begun) > MAX_BEGUN_JOBS:
            del self._begun[next(iter(self._begun))]

    async def _read_state(self, job_id: str) -> JobState | None:
        """Return the state that a job's stored rows show, None if it has no row."""
        end_key = outcome_key(job_id)
        progress_key = f"{PROGRESS_PREFIX}{job_id}"
        rows = await self._table.read([end_key, job_key(job_id), progress_key])
        if end_key in rows:
            return decode_outcome(rows[end_key].value)
        job_row = rows.get(job_key(job_id))
        if job_row is None or decode_refusal(job_row.value) is not None:
            self._begun.pop(job_id, None)
            return None
        begun = progress_key in rows or job_id in self._begun
        return JobState.RUNNING if begun else JobState.QUEUED
