"""A leader's term: loads the stored jobs, then dispatches until it is replaced."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._compaction import RowShrinker
from cassiaweir.dispatch._customer_terms import ConfigurationSource
from cassiaweir.dispatch._dispatcher import AdviceCacheFactory, Dispatcher
from cassiaweir.dispatch._evacuation import EvacuationSource, NoEvacuations
from cassiaweir.dispatch._gate import TakeoverGate, former_authority_end
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._job_rows import (
    JOB_PREFIXES,
    OUTCOMES_PREFIX,
    PROGRESS_PREFIX,
    progress_by_job,
    row_name,
)
from cassiaweir.dispatch._leases import LeaseLimits
from cassiaweir.dispatch._server_client import ServerClient
from cassiaweir.dispatch._server_entry import ServerEntry
from cassiaweir.dispatch._server_records import (
    RECORDS_PREFIX,
    ServerRecords,
    decode_former_tasks,
)
from cassiaweir.dispatch._shares import ShareAllowance
from cassiaweir.exceptions import InvalidInputError, UnavailableError
from cassiaweir.feeds import TableWatch
from cassiaweir.jobs import JobState, decode_outcome
from cassiaweir.leadership import CommitStream, Leadership, Owner
from cassiaweir.observe import Metrics
from cassiaweir.scheduling import InterferenceModel, LoadSnapshot
from cassiaweir.types import Clock, Feed, Row, Table

FEED_WAIT = timedelta(seconds=1)
"""The store holds back an answer of the feed for up to this time if nothing changes."""

JOBS_FEED_WAIT = timedelta(milliseconds=500)
"""The same for the job feed.

While nothing changes, the view of job rows grows as old as two answers and a pause, and
nothing starts by one that is older than `MAX_CANCELS_AGE`.
"""

JOBS_PAUSE = timedelta(milliseconds=150)
"""Pause between two answers of the job feed.

VMs announce the jobs that they store to the leader, so the feed is only needed for
those whose announcement was lost.
"""

SERVERS_PAUSE = timedelta(milliseconds=100)
"""Pause between two answers of the feed of server entries."""

RETRY_DELAY = timedelta(milliseconds=50)
LOADING_POLL_INTERVAL = timedelta(milliseconds=2)
REACHABILITY_CHECK_INTERVAL = timedelta(milliseconds=100)
MAX_UNREACHABLE_SHARE = 0.5
"""Share of the registered servers that the leader may be unable to reach."""

MAX_UNREACHABLE_TIME_S = 2.0
"""A leader that exceeds `MAX_UNREACHABLE_SHARE` for this long gives up the leadership.

Another VM may be able to reach the servers.
"""


@dataclass(frozen=True, slots=True)
class _StoredRows:
    """The rows that former leaders have stored.

    `records` are those of the servers on which tasks may have been started.
    """

    progress: Sequence[Row]
    outcomes: Sequence[Row]
    records: Sequence[Row]

    def decode_outcomes(self) -> dict[str, JobState]:
        """Return the final states of jobs by job id, without unreadable ones."""
        found = {}
        for row in self.outcomes:
            outcome = decode_outcome(row.value)
            if outcome is None:
                logger.error("outcome_unreadable", job=row_name(row.key))
                continue
            found[row_name(row.key)] = outcome
        return found


class _JobListener:
    """Passes the rows of jobs on to the dispatcher."""

    def __init__(self) -> None:
        self.dispatcher: Dispatcher | None = None

    def on_row(self, key: str, row: Row | None) -> None:
        """Apply a new row; the removal of a row changes nothing."""
        if row is not None and self.dispatcher is not None:
            self.dispatcher.apply_job_row(row)


class _ServerListener:
    """Passes the entries of servers on to the dispatcher."""

    def __init__(
        self, prefix: str, decode: Callable[[str, bytes], ServerEntry]
    ) -> None:
        self._prefix = prefix
        self._decode = decode
        self.dispatcher: Dispatcher | None = None

    def on_row(self, key: str, row: Row | None) -> None:
        """Apply an entry; a server with an unreadable one counts as missing."""
        if self.dispatcher is None:
            return
        server_id = key.removeprefix(self._prefix)
        if row is None:
            self.dispatcher.mark_server_missing(server_id)
            return
        try:
            entry = self._decode(server_id, row.value)
        except InvalidInputError as exc:
            logger.warning("server_entry_unreadable", server=server_id, cause=str(exc))
            self.dispatcher.mark_server_missing(server_id)
            return
        self.dispatcher.update_server(entry)


class LeaderTerm:
    """Does the leader's work while this process is the leader.

    Nothing is kept from one term to the next.  Servers register under `servers_prefix`,
    and `decode_entry` decodes such a row, given the server's id and the value.
    `former_leader_gone` returns whether the process of a former leader has been
    replaced.  `failure_domain` is that of this VM.  `evacuations` provides the failure
    domains where no tasks may be started; without it there are none.  `lease_limits`
    bounds the leases of servers.
    """

    def __init__(
        self,
        *,
        table: Table,
        feed: Feed,
        clock: Clock,
        configuration: ConfigurationSource,
        calls: ServerClient,
        servers_prefix: str,
        decode_entry: Callable[[str, bytes], ServerEntry],
        advice_cache_factory: AdviceCacheFactory,
        former_leader_gone: Callable[[Owner], bool],
        metrics: Metrics,
        failure_domain: str = "",
        share_allowance: ShareAllowance | None = None,
        evacuations: EvacuationSource | None = None,
        lease_limits: LeaseLimits | None = None,
    ) -> None:
        self._lease_limits = lease_limits or LeaseLimits()
        self._evacuations = evacuations or NoEvacuations()
        self._failure_domain = failure_domain
        self._share_allowance = share_allowance
        self._table = table
        self._feed = feed
        self._clock = clock
        self._configuration = configuration
        self._calls = calls
        self._servers_prefix = servers_prefix
        self._decode_entry = decode_entry
        self._advice_cache_factory = advice_cache_factory
        self._former_leader_gone = former_leader_gone
        self._metrics = metrics
        self._dispatcher: Dispatcher | None = None
        self._leadership: Leadership | None = None

    @property
    def held_epoch(self) -> int:
        """The epoch that this process leads in or loads the jobs for, 0 if neither."""
        if self._leadership is None or self._leadership.lost:
            return 0
        return self._leadership.epoch

    @property
    def serving_epoch(self) -> int:
        """The epoch in which this process dispatches jobs, 0 if it does not."""
        return 0 if self._dispatcher is None else self.held_epoch

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Apply rows of jobs that were just stored, without waiting for the feed.

        An error with one row keeps none of the others back.
        """
        if self._dispatcher is None:
            return
        for row in rows:
            try:
                self._dispatcher.apply_job_row(row)
            except Exception as exc:
                logger.opt(exception=exc).error("row_not_applied", key=row.key)

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job, or None if it is not known here."""
        if not self.serving_epoch or self._dispatcher is None:
            return None
        return self._dispatcher.job_state(job_id)

    def count_pending(self, queue: str) -> int:
        """Return how many open jobs of `queue` have not started any task."""
        return 0 if self._dispatcher is None else self._dispatcher.count_pending(queue)

    def load(self) -> LoadSnapshot | None:
        """Return the load if this process serves as leader and has measured it."""
        if not self.serving_epoch or self._dispatcher is None:
            return None
        return self._dispatcher.load()

    @property
    def interference(self) -> InterferenceModel | None:
        """What this leader knows of tasks that slow each other down; None if none."""
        return None if self._dispatcher is None else self._dispatcher.interference

    async def serve(self, leadership: Leadership, commits: CommitStream) -> None:
        """Dispatch jobs until cancelled or the leadership is lost.

        Also returns if most servers stay unreachable, as another VM may reach them.
        """
        self._leadership = leadership
        try:
            await self._serve(leadership, commits)
        finally:
            self._dispatcher = None
            self._leadership = None

    async def _serve(self, leadership: Leadership, commits: CommitStream) -> None:
        began = self._clock.monotonic()
        listener = _ServerListener(self._servers_prefix, self._decode_entry)
        servers = TableWatch(
            self._feed,
            [self._servers_prefix],
            self._clock,
            wait=FEED_WAIT,
            pause=SERVERS_PAUSE,
            listener=listener,
        )
        stored = _StoredRows(
            *await asyncio.gather(
                self._scan(PROGRESS_PREFIX),
                self._scan(OUTCOMES_PREFIX),
                self._scan(RECORDS_PREFIX),
            )
        )
        shrinker = RowShrinker(self._table, self._clock)
        job_listener = _JobListener()
        jobs = TableWatch(
            self._feed,
            JOB_PREFIXES,
            self._clock,
            wait=JOBS_FEED_WAIT,
            pause=JOBS_PAUSE,
            listener=job_listener,
            keep_values=False,
        )
        dispatcher = self._build(
            leadership, commits, stored, shrinker, servers.age, jobs.age
        )
        job_listener.dispatcher = dispatcher
        listener.dispatcher = dispatcher
        self._metrics.count("terms")
        jobs_task = asyncio.create_task(jobs.run())
        tasks = [jobs_task]
        try:
            # Reports of servers can only be applied once the jobs are known.
            while not jobs.listed:
                await self._clock.sleep(LOADING_POLL_INTERVAL)
            logger.info(
                "jobs_loaded",
                epoch=leadership.epoch,
                rows=len(jobs.rows),
                outcomes=len(stored.outcomes),
                took_ms=round((self._clock.monotonic() - began) * 1_000),
            )
            self._dispatcher = dispatcher
            work = asyncio.create_task(dispatcher.run())
            watch = asyncio.create_task(
                self._watch_reachability(leadership, dispatcher)
            )
            tasks += [asyncio.create_task(servers.run()), work, watch]
            tasks.append(asyncio.create_task(shrinker.run()))
            done, _ = await asyncio.wait(
                (work, watch), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _build(
        self,
        leadership: Leadership,
        commits: CommitStream,
        stored: _StoredRows,
        shrinker: RowShrinker,
        entries_age: Callable[[], timedelta],
        job_rows_age: Callable[[], timedelta],
    ) -> Dispatcher:
        registry = JobRegistry(
            commits,
            self._clock,
            self._configuration,
            progress_by_job(stored.progress),
            stored.decode_outcomes(),
            self._share_allowance,
        )
        former_tasks = decode_former_tasks(stored.records, leadership.former)
        gate = TakeoverGate(
            former_tasks,
            former_authority_end=former_authority_end(
                leadership.former, self._clock.monotonic()
            ),
        )
        return Dispatcher(
            leadership=leadership,
            commits=commits,
            calls=self._calls,
            clock=self._clock,
            jobs=registry,
            configuration=self._configuration,
            records=ServerRecords(commits, former_tasks, leadership.epoch),
            gate=gate,
            advice_cache_factory=self._advice_cache_factory,
            shrinker=shrinker,
            metrics=self._metrics,
            failure_domain=self._failure_domain,
            entries_age=entries_age,
            job_rows_age=job_rows_age,
            evacuation_source=self._evacuations,
            lease_limits=self._lease_limits,
        )

    async def _scan(self, prefix: str) -> list[Row]:
        """Return the rows under `prefix`, repeating the call until it succeeds."""
        while True:
            try:
                return await self._table.scan(prefix)
            except UnavailableError as exc:
                logger.warning("takeover_delayed", prefix=prefix, cause=str(exc))
                await self._clock.sleep(RETRY_DELAY)

    async def _watch_reachability(
        self, leadership: Leadership, dispatcher: Dispatcher
    ) -> None:
        """Return once most servers have been unreachable for too long.

        Return as well once the next leader's fences are needed.

        Also tells the dispatcher when the former leader's process is gone.
        """
        unreachable_since: float | None = None
        while True:
            await self._clock.sleep(REACHABILITY_CHECK_INTERVAL)
            former = leadership.former
            if (
                former is not None
                and former.settled
                and self._former_leader_gone(former)
            ):
                dispatcher.handle_former_leader_exit()
            if dispatcher.fences_exhausted:
                logger.warning("fences_exhausted", epoch=leadership.epoch)
                return
            now = self._clock.monotonic()
            if not _mostly_unreachable(dispatcher):
                unreachable_since = None
                continue
            if unreachable_since is None:
                unreachable_since = now
            if now - unreachable_since > MAX_UNREACHABLE_TIME_S:
                logger.warning("most_servers_unreachable", epoch=leadership.epoch)
                return


def _mostly_unreachable(dispatcher: Dispatcher) -> bool:
    """Return whether more servers are unreachable than a leader may tolerate."""
    present = [
        server for server in dispatcher.servers.values() if server.missing_since is None
    ]
    unreachable = sum(not server.reachable for server in present)
    return unreachable > len(present) * MAX_UNREACHABLE_SHARE
