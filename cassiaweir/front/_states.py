"""Tells the state of jobs: as the leader knows it, else as it is stored."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch import PROGRESS_PREFIX, job_key, outcome_key
from cassiaweir.exceptions import UnavailableError
from cassiaweir.jobs import JobState, decode_outcome
from cassiaweir.leadership import Owner
from cassiaweir.types import Row, Table
from cassiaweir.verdict import Verdict


class LocalDirectory(Protocol):
    """What this process knows while it leads."""

    @property
    def serving_epoch(self) -> int:
        """The epoch that this process leads in, 0 where it does not lead."""

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Take rows that were just stored."""

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job, None where it is not known."""

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of `queue` have not begun."""


class LeaderCalls(Protocol):
    """Calls to the process that leads."""

    async def offer(self, address: str, rows: Sequence[Row]) -> None:
        """Hand rows that were just stored to the leader at `address`."""

    async def job_state(self, address: str, job_id: str) -> JobState | None:
        """Return the state of a job, None where the leader does not know it."""

    async def pending(self, address: str, queue: str) -> int:
        """Return how many jobs of `queue` have not begun."""


class LeaderSource(Protocol):
    """Tells who leads."""

    def owner(self) -> Owner | None:
        """Return who leads as far as this process knows."""


class JobDirectory:
    """Asks this process where it leads, else the leader, else the store."""

    def __init__(
        self,
        local: LocalDirectory,
        calls: LeaderCalls,
        leader: LeaderSource,
        table: Table,
    ) -> None:
        self._local = local
        self._calls = calls
        self._leader = leader
        self._table = table
        self._offers: set[asyncio.Task[None]] = set()

    async def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job, None where no such job is stored.

        Raises `UnavailableError` where neither the leader nor the store answers.
        """
        state = self._local.job_state(job_id)
        if state is None and not self._local.serving_epoch:
            state = await self._ask_leader(job_id)
        return state if state is not None else await self._read_state(job_id)

    async def count_pending(self, queue: str) -> int:
        """Return how many jobs of `queue` have not begun, as the leader knows it."""
        if self._local.serving_epoch:
            return self._local.count_pending(queue)
        return await self._calls.pending(self._leader_address(), queue)

    def announce(self, rows: Sequence[Row]) -> None:
        """Hand rows that were just stored to the leader, in the background."""
        if self._local.serving_epoch:
            self._local.apply_rows(rows)
            return
        task = asyncio.create_task(self._offer(rows))
        self._offers.add(task)
        task.add_done_callback(self._offers.discard)

    async def _offer(self, rows: Sequence[Row]) -> None:
        try:
            await self._calls.offer(self._leader_address(), rows)
        except UnavailableError as exc:
            logger.info("offer_failed", rows=len(rows), cause=str(exc))

    def _leader_address(self) -> str:
        """Return the address of the leader, or raise `UnavailableError`."""
        owner = self._leader.owner()
        if owner is None or owner.released:
            raise UnavailableError("nobody leads", verdict=Verdict.NOT_RUN)
        return owner.address

    async def _ask_leader(self, job_id: str) -> JobState | None:
        try:
            return await self._calls.job_state(self._leader_address(), job_id)
        except UnavailableError as exc:
            logger.info("leader_not_asked", job=job_id, cause=str(exc))
            return None

    async def _read_state(self, job_id: str) -> JobState | None:
        outcome = outcome_key(job_id)
        progress = f"{PROGRESS_PREFIX}{job_id}"
        rows = await self._table.read([outcome, job_key(job_id), progress])
        if outcome in rows:
            return decode_outcome(rows[outcome].value)
        if job_key(job_id) not in rows:
            return None
        return JobState.RUNNING if progress in rows else JobState.QUEUED
