"""A leader's term: loads what is stored, then dispatches until the lead is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._compaction import RowShrinker
from cassiaweir.dispatch._dispatcher import AdviceCacheFactory, Dispatcher
from cassiaweir.dispatch._gate import TakeoverGate, former_authority_end
from cassiaweir.dispatch._job_registry import (
    ConfigurationSource,
    JobRegistry,
)
from cassiaweir.dispatch._job_rows import (
    JOB_PREFIXES,
    OUTCOMES_PREFIX,
    PROGRESS_PREFIX,
    row_name,
)
from cassiaweir.dispatch._orders import ServerClient
from cassiaweir.dispatch._server_entry import ServerEntry
from cassiaweir.dispatch._server_records import RECORDS_PREFIX, ServerRecords
from cassiaweir.exceptions import InvalidInputError, UnavailableError
from cassiaweir.feeds import TableWatch
from cassiaweir.jobs import JobState, decode_outcome
from cassiaweir.leadership import CommitStream, Leadership, Owner
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock, Feed, Row, Table

FEED_WAIT = timedelta(seconds=1)
JOBS_PAUSE = timedelta(milliseconds=150)
"""New jobs are announced by those who store them; the feed brings what got lost."""

SERVERS_PAUSE = timedelta(milliseconds=100)
RETRY_DELAY = timedelta(milliseconds=50)
LISTING_DELAY = timedelta(milliseconds=2)
LOOK_EVERY = timedelta(milliseconds=100)
UNREACHED_SHARE = 0.5
UNREACHED_PATIENCE_S = 2.0
"""A leader that reaches fewer servers than this share for so long lets others try."""


@dataclass(frozen=True, slots=True)
class _Stored:
    """The rows that a former leader has left."""

    progress: Sequence[Row]
    outcomes: Sequence[Row]
    records: Sequence[Row]

    def decode_outcomes(self) -> dict[str, JobState]:
        """Return how jobs ended, by job id."""
        found = {}
        for row in self.outcomes:
            outcome = decode_outcome(row.value)
            if outcome is None:
                logger.error("outcome_unreadable", job=row_name(row.key))
                continue
            found[row_name(row.key)] = outcome
        return found


class _JobListener:
    """Feeds rows of jobs to the dispatcher."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def on_row(self, key: str, row: Row | None) -> None:
        """Take a new row; removed ones say nothing."""
        if row is not None:
            self._dispatcher.take_job_row(row)


class _ServerListener:
    """Feeds the entries of servers to the dispatcher."""

    def __init__(
        self, prefix: str, decode: Callable[[str, bytes], ServerEntry]
    ) -> None:
        self._prefix = prefix
        self._decode = decode
        self.dispatcher: Dispatcher | None = None

    def on_row(self, key: str, row: Row | None) -> None:
        """Take an entry; one that cannot be read names no server to use."""
        if self.dispatcher is None:
            return
        server_id = key.removeprefix(self._prefix)
        if row is None:
            self.dispatcher.miss_server(server_id)
            return
        try:
            entry = self._decode(server_id, row.value)
        except InvalidInputError as exc:
            logger.warning("server_entry_unreadable", server=server_id, cause=str(exc))
            self.dispatcher.miss_server(server_id)
            return
        self.dispatcher.take_server(entry)


class LeaderTerm:
    """Serves the terms of this process, one at a time; between them it knows nothing.

    `former_leader_gone` tells whether the process of a former leader has been replaced.
    `servers_prefix` and `decode_entry` say where servers register and in what form.
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
    ) -> None:
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
        self._lead: Leadership | None = None

    @property
    def held_epoch(self) -> int:
        """The epoch that this process leads in, also while it still loads the jobs."""
        if self._lead is None or self._lead.lost:
            return 0
        return self._lead.epoch

    @property
    def serving_epoch(self) -> int:
        """The epoch that this process leads in, 0 where it does not lead."""
        return 0 if self._dispatcher is None else self.held_epoch

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Take rows that were just stored, which the feed will bring again."""
        if self._dispatcher is not None:
            for row in rows:
                self._dispatcher.take_job_row(row)

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job, None where it is not known."""
        if not self.serving_epoch or self._dispatcher is None:
            return None
        return self._dispatcher.job_state(job_id)

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of `queue` have not begun."""
        return 0 if self._dispatcher is None else self._dispatcher.count_pending(queue)

    async def serve(self, lead: Leadership, commits: CommitStream) -> None:
        """Leadership until cancelled, or return where others may reach more servers."""
        self._lead = lead
        try:
            await self._serve(lead, commits)
        finally:
            self._dispatcher = None
            self._lead = None

    async def _serve(self, lead: Leadership, commits: CommitStream) -> None:
        listener = _ServerListener(self._servers_prefix, self._decode_entry)
        servers = TableWatch(
            self._feed,
            [self._servers_prefix],
            self._clock,
            wait=FEED_WAIT,
            pause=SERVERS_PAUSE,
            listener=listener,
        )
        stored = _Stored(
            *await asyncio.gather(
                self._scan(PROGRESS_PREFIX),
                self._scan(OUTCOMES_PREFIX),
                self._scan(RECORDS_PREFIX),
            )
        )
        shrinker = RowShrinker(self._table, self._clock)
        dispatcher = self._build(lead, commits, stored, shrinker)
        jobs = TableWatch(
            self._feed,
            JOB_PREFIXES,
            self._clock,
            wait=FEED_WAIT,
            pause=JOBS_PAUSE,
            listener=_JobListener(dispatcher),
        )
        listener.dispatcher = dispatcher
        self._metrics.count("terms")
        jobs_task = asyncio.create_task(jobs.run())
        tasks = [jobs_task]
        try:
            # A server's report means nothing before the jobs are known.
            while not jobs.listed:
                await self._clock.sleep(LISTING_DELAY)
            self._dispatcher = dispatcher
            work = asyncio.create_task(dispatcher.run())
            watch = asyncio.create_task(self._watch_servers(lead, dispatcher))
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
        lead: Leadership,
        commits: CommitStream,
        stored: _Stored,
        shrinker: RowShrinker,
    ) -> Dispatcher:
        book = JobRegistry(
            commits,
            self._clock,
            self._configuration,
            {row_name(row.key): row.value for row in stored.progress},
            stored.decode_outcomes(),
        )
        server_records = ServerRecords(commits, stored.records)
        gate = TakeoverGate(
            server_records.server_ids,
            former_authority_end=former_authority_end(
                lead.former, self._clock.monotonic()
            ),
        )
        return Dispatcher(
            lead=lead,
            commits=commits,
            calls=self._calls,
            clock=self._clock,
            jobs=book,
            records=server_records,
            gate=gate,
            advice_cache_factory=self._advice_cache_factory,
            shrinker=shrinker,
            metrics=self._metrics,
        )

    async def _scan(self, prefix: str) -> list[Row]:
        while True:
            try:
                return await self._table.scan(prefix)
            except UnavailableError as exc:
                logger.warning("takeover_waits", prefix=prefix, cause=str(exc))
                await self._clock.sleep(RETRY_DELAY)

    async def _watch_servers(self, lead: Leadership, dispatcher: Dispatcher) -> None:
        """Return when most servers have been out of reach for long."""
        unreached_since: float | None = None
        while True:
            await self._clock.sleep(LOOK_EVERY)
            former = lead.former
            if (
                former is not None
                and former.settled
                and self._former_leader_gone(former)
            ):
                dispatcher.handle_former_leader_exit()
            now = self._clock.monotonic()
            if not _mostly_unreached(dispatcher):
                unreached_since = None
                continue
            if unreached_since is None:
                unreached_since = now
            if now - unreached_since > UNREACHED_PATIENCE_S:
                logger.warning("servers_out_of_reach", epoch=lead.epoch)
                return


def _mostly_unreached(dispatcher: Dispatcher) -> bool:
    present = [
        server for server in dispatcher.servers.values() if server.missing_since is None
    ]
    unreached = sum(not server.reachable for server in present)
    return unreached > len(present) * UNREACHED_SHARE
