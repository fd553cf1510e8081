"""What a leader does: takes jobs, drives servers, starts tasks, stores what ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from datetime import timedelta
from typing import Any

from loguru import logger

from cassiaweir.dispatch._advice_cache import AdviceCache
from cassiaweir.dispatch._compaction import RowShrinker
from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._job_rows import CANCEL_SUFFIX, job_key, row_name
from cassiaweir.dispatch._orders import OrderSender, ServerClient, StartResult
from cassiaweir.dispatch._placer import Placer
from cassiaweir.dispatch._reports import ReportProcessor
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_entry import OrderOutcome, ServerEntry, ServerReport
from cassiaweir.dispatch._server_poller import ServerPoller
from cassiaweir.dispatch._server_records import ServerRecords
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.exceptions import LeadershipLostError
from cassiaweir.jobs import JobState, Step
from cassiaweir.leadership import CommitStream, Leadership
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock, Row

PLACE_DELAY = timedelta(milliseconds=2)
"""What happens within this time is placed in one go.

A pause is as long as the round before it, so that placing leaves half of the processor
to all else.
"""

SWEEP_EVERY = timedelta(milliseconds=100)
FORGET_AFTER_S = 3.0
"""A server whose entry is missing for so long and that runs nothing is dropped."""

REFUSED_BY_SERVER = (
    OrderOutcome.UNHEALTHY,
    OrderOutcome.INVALID,
    OrderOutcome.NO_ROOM,
)

AdviceCacheFactory = Callable[[Callable[[], None]], AdviceCache]


class Dispatcher:
    """One term's work.  Rows and entries are fed in; `run` works until cancelled."""

    def __init__(
        self,
        *,
        lead: Leadership,
        commits: CommitStream,
        calls: ServerClient,
        clock: Clock,
        jobs: JobRegistry,
        records: ServerRecords,
        gate: TakeoverGate,
        advice_cache_factory: AdviceCacheFactory,
        shrinker: RowShrinker,
        metrics: Metrics,
    ) -> None:
        self._lead = lead
        self._commits = commits
        self._calls = calls
        self._clock = clock
        self._jobs = jobs
        self._records = records
        self._gate = gate
        self._shrinker = shrinker
        self._metrics = metrics
        self._usage = CustomerUsage()
        self._runs = RunRegistry(jobs, self._usage, clock, lead.epoch)
        self._orders = OrderSender(calls, clock, lead, self.handle_superseded)
        self._reports = ReportProcessor(
            jobs,
            self._runs,
            clock,
            metrics,
            stop=self._stop,
            stop_orphan=self._stop_orphan,
        )
        self._advice = advice_cache_factory(self.wake)
        self.servers: dict[str, Server] = {}
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._placer = Placer(
            jobs,
            self._runs,
            self._usage,
            self._advice,
            clock,
            self.servers,
            confirm_leadership=commits.confirm_leadership,
            preempt=self._preempt,
            launch=self._launch,
        )
        self._work = asyncio.Event()
        commits.on_stored = self.wake
        self._tasks: set[asyncio.Task[None]] = set()

    # What others ask.

    def job_state(self, job_id: str) -> JobState | None:
        """Return what may be shown of a job, None where it is not known."""
        return self._jobs.state(job_id)

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of `queue` have not begun."""
        return self._jobs.count_pending(queue)

    # What is fed in.

    def take_job_row(self, row: Row) -> None:
        """Take a job or a request to cancel one."""
        own = row_name(row.key)
        if own.endswith(CANCEL_SUFFIX):
            self._cancel(own.removesuffix(CANCEL_SUFFIX))
            return
        if self._jobs.has_outcome(own):
            self._shrinker.add(row)
            return
        held = not self._gate.is_open and row.version <= self._lead.owner_version
        entry = self._jobs.add_row(row, held=held)
        if entry is not None:
            logger.info(
                "job_taken", job=own, queue=entry.job.spec.queue.name, held=held
            )
            self._commits.confirm_leadership(row.version)
            self.wake()

    def take_server(self, entry: ServerEntry) -> None:
        """Take a new or changed entry of a server."""
        server = self.servers.get(entry.server_id)
        if server is None:
            self._meet(entry)
            return
        if entry.draining and not server.entry.draining:
            logger.info("server_draining", server=entry.server_id)
        server.entry = entry
        server.missing_since = None
        self.wake()

    def miss_server(self, server_id: str) -> None:
        """Take note of an entry that was removed."""
        server = self.servers.get(server_id)
        if server is not None and server.missing_since is None:
            server.missing_since = self._clock.monotonic()
            logger.info("server_missing", server=server_id)

    def handle_former_leader_exit(self) -> None:
        """Take note that the process of the former leader no longer exists."""
        self._gate.handle_former_leader_exit(self._clock.monotonic())

    # What servers report.

    def handle_report(
        self, server: Server, report: ServerReport, asked_at: float
    ) -> int:
        """Apply a report; return the place of the last write that it led to."""
        place = self._reports.apply(server, report, asked_at)
        if not server.fenced:
            server.fenced = True
            self._gate.mark_settled(server.server_id)
            logger.info("server_reached", server=server.server_id)
        if not server.recorded and not self._records.has_row(server.server_id):
            self._spawn(self._record(server))
        self.wake()
        return place

    def handle_unreachable(self, server: Server) -> None:
        """Give up what ran on a silent server once its lease has lapsed."""
        known = sum(run.answered_at is not None for run in server.runs.values())
        if known and server.leases_expired(self._clock.monotonic()):
            logger.warning("lease_lapsed", server=server.server_id, runs=known)
            self._reports.mark_runs_lost(server, "the lease has lapsed")
            self.wake()

    def handle_superseded(self) -> None:
        """Stop acting: a server follows a later leader."""
        if not self._lead.lost:
            logger.warning("lead_superseded", epoch=self._lead.epoch)
        self._lead.lost = True

    # The work itself.

    def wake(self) -> None:
        """Look soon for tasks that can start."""
        self._work.set()

    async def run(self) -> None:
        """Start tasks until cancelled, or until the lead is lost."""
        sweep = asyncio.create_task(self._sweep_until_lost())
        try:
            took = timedelta(0)
            while not self._lead.lost:
                await self._work.wait()
                await self._clock.sleep(max(PLACE_DELAY, took))
                self._work.clear()
                began = self._clock.monotonic()
                if self._lead.may_act(began):
                    self._placer.place()
                took = timedelta(seconds=self._clock.monotonic() - began)
        finally:
            sweep.cancel()
            await self._close()

    async def _sweep_until_lost(self) -> None:
        while not self._lead.lost:
            await self._clock.sleep(SWEEP_EVERY)
            self._sweep()
        self.wake()

    def _sweep(self) -> None:
        """Do what time alone brings about."""
        now = self._clock.monotonic()
        opened = self._gate.try_open(now)
        self._lead.settled = self._gate.is_open
        if opened:
            logger.info("gate_opened", unsettled=",".join(self._gate.unsettled_servers))
            for entry in self._jobs.open_jobs():
                entry.held = False
            for server_id in self._records.server_ids - self.servers.keys():
                self._records.remove(server_id)
        for server in self.servers.values():
            if not server.reachable:
                self.handle_unreachable(server)
        self._open_due()
        for job in self._jobs.remove_finished():
            self._shrinker.add(Row(job_key(job.job_id), job.version, b""))
        self._drop_gone(now)
        self._metrics.set("jobs_open", sum(1 for _ in self._jobs.open_jobs()))
        self._metrics.set(
            "runs", sum(len(server.runs) for server in self.servers.values())
        )
        self.wake()

    def _open_due(self) -> None:
        wall = self._clock.now().timestamp()
        for entry in self._jobs.open_jobs():
            job = entry.job
            while job.has_more_occurrences and job.next_due_at <= wall:
                job.open_occurrence()

    def _drop_gone(self, now: float) -> None:
        for server_id, server in list(self.servers.items()):
            missing = server.missing_since
            if missing is None or server.runs or now - missing < FORGET_AFTER_S:
                continue
            if server.reachable or not server.leases_expired(now):
                continue
            self._pollers.pop(server_id).cancel()
            del self.servers[server_id]
            self._records.remove(server_id)
            logger.info("server_dropped", server=server_id)

    def _meet(self, entry: ServerEntry) -> None:
        server = Server(entry)
        self.servers[entry.server_id] = server
        self._jobs.fleet_cpu_millis = sum(
            each.entry.capacity.cpu_millis for each in self.servers.values()
        )
        server.recorded = self._records.has_row(entry.server_id)
        poller = ServerPoller(
            server, self._calls, self._clock, self._lead, self, self._commits
        )
        self._pollers[entry.server_id] = asyncio.create_task(poller.run())

    async def _record(self, server: Server) -> None:
        """Store that this server may run tasks, before any is started there."""
        place = self._records.add(server.entry)
        try:
            await self._commits.wait_until_stored(place)
        except LeadershipLostError:
            return
        server.recorded = True
        self.wake()

    def _cancel(self, job_id: str) -> None:
        entry = self._jobs.cancel(job_id)
        if entry is None:
            return
        logger.info("job_cancelled", job=job_id, runs=len(entry.runs))
        for run in list(entry.runs):
            self._stop(run)

    def _launch(self, runs: Sequence[Run]) -> None:
        for run in runs:
            self._spawn(self._start(run))

    async def _start(self, run: Run) -> None:
        began = self._clock.monotonic()
        result, outcome = await self._orders.start(run)
        self._metrics.observe("start_order", self._clock.monotonic() - began)
        self._metrics.count("start_orders", result=result.value)
        if result is not StartResult.NOT_STARTED:
            return
        logger.info(
            "run_not_started",
            task=run.task.name,
            run=run.number,
            server=run.server.server_id,
            outcome="unreachable" if outcome is None else outcome.value,
        )
        if outcome is OrderOutcome.NO_TICKET:
            self._advice.invalidate(run.task.step, run.server.server_id)
        elif outcome in REFUSED_BY_SERVER:
            run.server.health.record_refusal(self._clock.monotonic())
        self._reports.mark_lost(run, "the start was refused")
        self.wake()

    def _preempt(self, run: Run, step: Step) -> None:
        logger.info(
            "run_preempted",
            task=run.task.name,
            run=run.number,
            server=run.server.server_id,
            urgent=step.name,
        )
        self._metrics.count("preemptions")
        self._stop(run)

    def _stop(self, run: Run) -> None:
        if run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            self._spawn(self._stop_run(run))

    async def _stop_run(self, run: Run) -> None:
        if await self._orders.stop(run):
            self._reports.mark_lost(run, "the lease has lapsed")
            self.wake()

    def _stop_orphan(self, server: Server, task: str, run: int) -> None:
        self._spawn(self._orders.stop_orphan_run(server.entry, task, run))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("order_failed")

    async def _close(self) -> None:
        await self._advice.close()
        await _cancel_all([*self._pollers.values(), *self._tasks])


async def _cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    found = list(tasks)
    for task in found:
        task.cancel()
    await asyncio.gather(*found, return_exceptions=True)
