"""Gathers small commits of many callers into few transactions of the table."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from cassiaweir.exceptions import ConflictError, RefusedError, UnavailableError
from cassiaweir.observe import Metrics
from cassiaweir.store._pending_commit import PendingCommit
from cassiaweir.types import Check, Clock, Table, Write
from cassiaweir.verdict import Verdict

MOST_ROWS_PER_BATCH = 64
MOST_ROWS_WAITING = 2048
LONGEST_DELAY = timedelta(milliseconds=5)
LONGEST_WAIT = timedelta(seconds=2)
RETRY_AFTER = timedelta(seconds=1)

MOST_BATCH_CONFLICTS = 3
"""After this many conflicts of one batch its members are sent one by one."""


class GroupCommit:
    """Commits for many callers in batches, one batch at a time.

    Commits of which one writes what the other writes or checks are applied in the
    order of the calls and never share a batch.  The queue is bounded in rows and in
    the time that it takes; a commit that finds it full is refused at once.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        metrics: Metrics,
        *,
        most_rows: int = MOST_ROWS_PER_BATCH,
        most_waiting: int = MOST_ROWS_WAITING,
        delay: timedelta = LONGEST_DELAY,
        longest_wait: timedelta = LONGEST_WAIT,
    ) -> None:
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._most_rows = most_rows
        self._most_waiting = most_waiting
        self._delay = delay
        self._longest_wait = longest_wait.total_seconds()
        self._batch_began: float | None = None
        self._batch_seconds = 0.0
        self._waiting: list[PendingCommit] = []
        self._waiting_rows = 0
        self._arrived = asyncio.Event()
        self._stopping = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to commit."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Refuse new commits, finish those that wait, and end."""
        self._stopping = True
        self._arrived.set()
        if self._task is not None:
            await self._task

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Apply all `writes` if all `checks` hold, and return the new versions.

        Raises what `Table.commit` raises, for this commit alone, and `RefusedError`
        with reason `table_busy` when the queue is full.
        """
        fut = asyncio.get_running_loop().create_future()
        member = PendingCommit(list(checks), list(writes), fut)
        self._require_room(member)
        self._waiting.append(member)
        self._waiting_rows += member.rows
        self._arrived.set()
        return await fut

    def _require_room(self, member: PendingCommit) -> None:
        """Raise `RefusedError` where `member` would wait too long."""
        wait = self._expected_wait()
        full = self._waiting_rows + member.rows > self._most_waiting
        if self._stopping or full or wait > self._longest_wait:
            self._metrics.count("table_commits_refused")
            raise RefusedError(
                "table_busy",
                "too many commits wait for the table",
                retry_after=max(RETRY_AFTER, timedelta(seconds=wait)),
            )

    def _expected_wait(self) -> float:
        """Return the seconds that the queue takes at the pace of the last batch."""
        pace = self._batch_seconds
        if self._batch_began is not None:
            pace = max(pace, self._clock.monotonic() - self._batch_began)
        return pace * self._waiting_rows / self._most_rows

    async def _run(self) -> None:
        try:
            await self._run_until_stopped()
        finally:
            message = "the process ended before the commit was sent"
            cause = UnavailableError(message, verdict=Verdict.NOT_RUN)
            _fail_all(self._waiting, cause)

    async def _run_until_stopped(self) -> None:
        while self._waiting or not self._stopping:
            await self._arrived.wait()
            if self._waiting_rows < self._most_rows and not self._stopping:
                await self._clock.sleep(self._delay)
            batch = self._take_batch()
            if not self._waiting and not self._stopping:
                self._arrived.clear()
            await self._answer_batch(batch)

    def _take_batch(self) -> list[PendingCommit]:
        """Remove and return the next members that may share a transaction.

        They may check the same rows, such as that of their shard, but none of them
        writes what another one checks or writes.
        """
        batch: list[PendingCommit] = []
        left: list[PendingCommit] = []
        rows = 0
        written: set[str] = set()
        touched: set[str] = set()
        for member in self._waiting:
            if member.fut.done():
                continue
            apart = member.written.isdisjoint(touched)
            apart = apart and member.keys.isdisjoint(written)
            written |= member.written
            touched |= member.keys
            if apart and (not batch or rows + member.rows <= self._most_rows):
                batch.append(member)
                rows += member.rows
            else:
                left.append(member)
        self._waiting = left
        self._waiting_rows = sum(member.rows for member in left)
        return batch

    async def _answer_batch(self, batch: list[PendingCommit]) -> None:
        """Commit `batch`; whatever happens, each of its members gets an answer."""
        self._batch_began = self._clock.monotonic()
        try:
            await self._commit_batch(batch)
        except Exception as exc:
            self._metrics.count("table_batches_failed")
            _fail_all(batch, exc)
        finally:
            self._batch_seconds = self._clock.monotonic() - self._batch_began
            self._batch_began = None
            _fail_all(batch, _in_doubt("the process ended during the commit"))

    async def _commit_batch(self, batch: list[PendingCommit]) -> None:
        """Commit `batch`, setting aside members that lose, and answer them all."""
        for _ in range(MOST_BATCH_CONFLICTS):
            if len(batch) <= 1:
                break
            try:
                versions = await self._commit_once(batch)
            except ConflictError:
                batch = await self._drop_losers(batch)
            except UnavailableError as exc:
                await self._resolve(batch, exc)
                return
            else:
                for member in batch:
                    member.succeed(versions)
                return
        for member in batch:
            await self._commit_alone(member)

    async def _commit_alone(self, member: PendingCommit) -> None:
        """Commit one member and answer it."""
        try:
            member.succeed(await self._commit_once([member]))
        except (ConflictError, UnavailableError) as exc:
            member.fail(exc)

    async def _commit_once(self, batch: list[PendingCommit]) -> dict[str, int]:
        """Send one transaction with all of `batch`."""
        checks = [check for member in batch for check in member.checks]
        writes = [write for member in batch for write in member.writes]
        self._metrics.count("table_transactions")
        self._metrics.count("table_members", len(batch))
        self._metrics.count("table_rows_written", len(writes))
        began = self._clock.monotonic()
        try:
            return await self._table.commit(checks, writes)
        finally:
            self._metrics.observe("table_commit", self._clock.monotonic() - began)

    async def _drop_losers(self, batch: list[PendingCommit]) -> list[PendingCommit]:
        """Answer the members whose checks fail and return the others.

        The batch wrote nothing, so a check that fails now is a plain conflict.
        """
        self._metrics.count("table_batch_conflicts")
        keys = {check.key for member in batch for check in member.checks}
        try:
            rows = await self._table.read(sorted(keys))
        except UnavailableError as exc:
            _fail_all(batch, exc)
            return []
        kept = []
        for member in batch:
            if member.holds_against(rows):
                kept.append(member)
            else:
                member.fail(ConflictError("a row was changed by another commit"))
        return kept

    async def _resolve(
        self, batch: list[PendingCommit], cause: UnavailableError
    ) -> None:
        """Answer the members of a batch that the table did not answer.

        Each member is repeated alone with its own checks, which fail if the batch
        took effect.  A repeat that succeeds proves that the batch never did.
        """
        if cause.verdict is Verdict.NOT_RUN:
            _fail_all(batch, cause)
            return
        self._metrics.count("table_batches_in_doubt")
        conflicts: list[PendingCommit] = []
        proved = False
        for member in batch:
            if not member.repeatable:
                member.fail(_in_doubt(str(cause)))
                continue
            try:
                member.succeed(await self._commit_once([member]))
            except ConflictError:
                conflicts.append(member)
            except UnavailableError:
                _fail_all(batch, _in_doubt(str(cause)))
                return
            else:
                proved = proved or member.exclusive
        for member in conflicts:
            lost = ConflictError("a row was changed by another commit")
            member.fail(lost if proved else _in_doubt(str(cause)))


def _fail_all(members: Sequence[PendingCommit], exc: Exception) -> None:
    """Answer all `members` that have no answer yet with `exc`."""
    for member in members:
        member.fail(exc)


def _in_doubt(reason: str) -> UnavailableError:
    """Return the error for a commit whose outcome stays unknown."""
    message = f"outcome of the commit is unknown: {reason}"
    return UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN)
