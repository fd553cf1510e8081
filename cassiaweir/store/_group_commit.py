"""Gathers small commits of many callers into fewer transactions of the table."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from cassiaweir.exceptions import ConflictError, RefusedError, UnavailableError
from cassiaweir.observe import Metrics
from cassiaweir.store._doubts import DoubtfulTransactions
from cassiaweir.store._pending_commit import PendingCommit
from cassiaweir.types import Check, Clock, Table, Write
from cassiaweir.verdict import Verdict

MAX_ROWS_PER_BATCH = 64
MAX_QUEUED_ROWS = 2048
BATCH_DELAY = timedelta(milliseconds=5)
"""How long a batch that is not full waits for more commits."""

MAX_WAIT = timedelta(seconds=2)
"""Commits are refused while the expected wait in the queue is longer than this."""

MIN_RETRY_AFTER = timedelta(seconds=1)

MAX_BATCH_CONFLICTS = 3
"""After this many conflicts of a batch its remaining commits are sent one by one."""


class GroupCommit:
    """Commits for many callers in batches, one batch at a time.

    Two commits conflict if one writes a key that the other writes or checks.  They
    never share a batch and are applied in the order of the calls.  That holds too if
    the table gives no answer and applies a transaction later: before a later commit
    writes the same rows, the one in doubt is settled.

    The queue is bounded in rows, and in the expected time until it is empty.  A commit
    that finds it full is refused at once.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        metrics: Metrics,
        *,
        max_batch_rows: int = MAX_ROWS_PER_BATCH,
        max_queued_rows: int = MAX_QUEUED_ROWS,
        batch_delay: timedelta = BATCH_DELAY,
        max_wait: timedelta = MAX_WAIT,
    ) -> None:
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._doubts = DoubtfulTransactions(table, clock)
        self._max_batch_rows = max_batch_rows
        self._max_queued_rows = max_queued_rows
        self._batch_delay = batch_delay
        self._max_wait_s = max_wait.total_seconds()
        self._batch_started_at: float | None = None
        self._last_batch_s = 0.0
        self._queue: list[PendingCommit] = []
        self._queued_rows = 0
        self._work_available = asyncio.Event()
        self._stopping = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to commit what is in the queue."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Refuse new commits, and return when those in the queue are done."""
        self._stopping = True
        self._work_available.set()
        if self._task is not None:
            await self._task

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Apply all `writes` if all `checks` hold, and return the new versions.

        Raises what `Table.commit` raises, for this commit alone, and `RefusedError`
        with reason `table_busy` when the queue is full.
        """
        future = asyncio.get_running_loop().create_future()
        pending = PendingCommit(list(checks), list(writes), future)
        self._refuse_if_full(pending)
        self._queue.append(pending)
        self._queued_rows += pending.rows
        self._work_available.set()
        return await future

    def _refuse_if_full(self, pending: PendingCommit) -> None:
        """Raise `RefusedError` if the queue is full or closed."""
        wait_s = self._expected_wait_s()
        full = self._queued_rows + pending.rows > self._max_queued_rows
        if self._stopping or full or wait_s > self._max_wait_s:
            self._metrics.count("table_commits_refused")
            raise RefusedError(
                "table_busy",
                "the queue of commits to the table is full or closed: it has"
                f" {self._queued_rows} rows and an expected wait of {wait_s:.1f} s",
                retry_after=max(MIN_RETRY_AFTER, timedelta(seconds=wait_s)),
            )

    def _expected_wait_s(self) -> float:
        """Return the seconds until the queue is empty, judging by the last batch.

        If the batch under way already takes longer, its time so far counts.
        """
        batch_s = self._last_batch_s
        if self._batch_started_at is not None:
            batch_s = max(batch_s, self._clock.monotonic() - self._batch_started_at)
        return batch_s * self._queued_rows / self._max_batch_rows

    async def _run(self) -> None:
        try:
            await self._run_until_stopped()
        finally:
            message = "the process ended before the commit was sent"
            cause = UnavailableError(message, verdict=Verdict.NOT_RUN)
            _fail_all(self._queue, cause)

    async def _run_until_stopped(self) -> None:
        while self._queue or not self._stopping:
            await self._work_available.wait()
            if self._queued_rows < self._max_batch_rows and not self._stopping:
                await self._clock.sleep(self._batch_delay)
            batch = self._take_batch()
            if not self._queue and not self._stopping:
                self._work_available.clear()
            await self._process_batch(batch)

    def _take_batch(self) -> list[PendingCommit]:
        """Remove and return the next commits that may share a transaction.

        They may check the same rows, such as that of their shard, but none of them
        writes what another one checks or writes.  A commit that has no room or that
        conflicts with an earlier one stays in the queue, and so do later commits that
        conflict with it.
        """
        batch: list[PendingCommit] = []
        remaining: list[PendingCommit] = []
        rows = 0
        written_keys: set[str] = set()
        touched: set[str] = set()
        for pending in self._queue:
            if pending.future.done():
                continue
            independent = pending.written_keys.isdisjoint(touched)
            independent = independent and pending.touched_keys.isdisjoint(written_keys)
            written_keys |= pending.written_keys
            touched |= pending.touched_keys
            if independent and (
                not batch or rows + pending.rows <= self._max_batch_rows
            ):
                batch.append(pending)
                rows += pending.rows
            else:
                remaining.append(pending)
        self._queue = remaining
        self._queued_rows = sum(pending.rows for pending in remaining)
        return batch

    async def _process_batch(self, batch: list[PendingCommit]) -> None:
        """Commit `batch` and make sure that each of its callers gets a result."""
        self._batch_started_at = self._clock.monotonic()
        try:
            await self._commit_batch(batch)
        except Exception as exc:
            self._metrics.count("table_batches_failed")
            _fail_all(batch, exc)
        finally:
            self._last_batch_s = self._clock.monotonic() - self._batch_started_at
            self._batch_started_at = None
            _fail_all(batch, _unknown_outcome("the process ended during the commit"))

    async def _commit_batch(self, batch: list[PendingCommit]) -> None:
        """Commit `batch` in one transaction, and give each caller its result.

        After a conflict the commits whose checks fail are rejected, and the rest is
        sent again.
        """
        for _ in range(MAX_BATCH_CONFLICTS):
            if len(batch) <= 1:
                break
            try:
                versions = await self._commit_once(batch)
            except ConflictError:
                batch = await self._reject_conflicting(batch)
            except UnavailableError as exc:
                await self._resolve_unanswered(batch, exc)
                return
            else:
                for pending in batch:
                    pending.succeed(versions)
                return
        for pending in batch:
            await self._commit_alone(pending)

    async def _commit_alone(self, pending: PendingCommit) -> None:
        """Send one commit in a transaction of its own, and answer its caller."""
        try:
            pending.succeed(await self._commit_once([pending]))
        except (ConflictError, UnavailableError) as exc:
            pending.fail(exc)

    async def _commit_once(self, batch: list[PendingCommit]) -> dict[str, int]:
        """Send one transaction with all commits of `batch`."""
        checks = [check for pending in batch for check in pending.checks]
        writes = [write for pending in batch for write in pending.writes]
        await self._doubts.settle_before(writes)
        self._metrics.count("table_transactions")
        self._metrics.count("table_members", len(batch))
        self._metrics.count("table_rows_written", len(writes))
        started_at = self._clock.monotonic()
        try:
            versions = await self._table.commit(checks, writes)
        except UnavailableError as exc:
            if exc.verdict is not Verdict.NOT_RUN:
                self._doubts.add(checks, writes)
            raise
        finally:
            self._metrics.observe("table_commit", self._clock.monotonic() - started_at)
        self._doubts.note_applied(writes)
        return versions

    async def _reject_conflicting(
        self, batch: list[PendingCommit]
    ) -> list[PendingCommit]:
        """Reject the commits whose checks fail, and return the others.

        The batch wrote nothing, so a check that fails now shows a write by another
        process, and the caller gets a `ConflictError`.
        """
        self._metrics.count("table_batch_conflicts")
        keys = {check.key for pending in batch for check in pending.checks}
        try:
            rows = await self._table.read(sorted(keys))
        except UnavailableError as exc:
            _fail_all(batch, exc)
            return []
        passing = []
        for pending in batch:
            if pending.checks_pass(rows):
                passing.append(pending)
            else:
                pending.fail(ConflictError("a row was changed by another commit"))
        return passing

    async def _resolve_unanswered(
        self, batch: list[PendingCommit], cause: UnavailableError
    ) -> None:
        """Find out the results of a batch to which the table gave no answer.

        Each commit is repeated alone with its own checks, which fail if the batch took
        effect.  Where a repeat can succeed only if the batch did not take effect, its
        success turns the conflicts of the others into a `ConflictError`; without such
        a proof their outcome is unknown.
        """
        if cause.verdict is Verdict.NOT_RUN:
            _fail_all(batch, cause)
            return
        self._metrics.count("table_batches_in_doubt")
        conflicting: list[PendingCommit] = []
        batch_not_applied = False
        for pending in batch:
            if not pending.safe_to_repeat:
                pending.fail(_unknown_outcome(str(cause)))
                continue
            try:
                pending.succeed(await self._commit_once([pending]))
            except ConflictError:
                conflicting.append(pending)
            except UnavailableError:
                _fail_all(batch, _unknown_outcome(str(cause)))
                return
            else:
                batch_not_applied = (
                    batch_not_applied or pending.proves_single_application
                )
        for pending in conflicting:
            conflict = ConflictError("a row was changed by another commit")
            pending.fail(
                conflict if batch_not_applied else _unknown_outcome(str(cause))
            )


def _fail_all(commits: Sequence[PendingCommit], exc: Exception) -> None:
    """Give `exc` to the callers of `commits` that have no result yet."""
    for pending in commits:
        pending.fail(exc)


def _unknown_outcome(reason: str) -> UnavailableError:
    """Return the error for a commit that may or may not have been applied."""
    message = f"outcome of the commit is unknown: {reason}"
    return UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN)
