"""The work of a leader: accepts jobs, starts their tasks and follows the servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from datetime import timedelta
from typing import Any

from loguru import logger

from cassiaweir.dispatch._advice_cache import AdviceCache
from cassiaweir.dispatch._cold_servers import ColdServers
from cassiaweir.dispatch._compaction import RowShrinker
from cassiaweir.dispatch._crash_tracker import CrashTracker, lifetime_of
from cassiaweir.dispatch._customer_terms import ConfigurationSource
from cassiaweir.dispatch._evacuation import Evacuations, EvacuationSource
from cassiaweir.dispatch._former_servers import FormerServerProbe
from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._job_rows import CANCEL_SUFFIX, job_key, row_name
from cassiaweir.dispatch._load import LoadSampler
from cassiaweir.dispatch._orders import OrderSender, ServerClient, StartResult
from cassiaweir.dispatch._placer import Placer
from cassiaweir.dispatch._record_keeper import RecordKeeper
from cassiaweir.dispatch._refusal_rows import decode_refusal
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
from cassiaweir.scheduling import InterferenceModel, LoadSnapshot
from cassiaweir.types import Clock, Row

PLACEMENT_DELAY = timedelta(milliseconds=2)
"""Pause before a placement round, so that events close together share one round."""

PLACEMENT_PAUSE_FACTOR = 3
"""The pause lasts at least this many times the previous round.

Placement then leaves three quarters of the processor time to everything else.
"""

SWEEP_INTERVAL = timedelta(milliseconds=100)
MISSING_SERVER_TIMEOUT_S = 3.0
"""An unreachable server without runs is removed if its entry is missing this long."""

SERVER_REFUSALS = (
    OrderOutcome.UNHEALTHY,
    OrderOutcome.INVALID,
    OrderOutcome.NO_ROOM,
)
"""Answers to a start order after which the server gets no new runs for a while."""

AdviceCacheFactory = Callable[[Callable[[], None]], AdviceCache]
"""Creates the advice cache of a term, given the function to call after each answer."""


class Dispatcher:
    """Does the work of one term.

    The caller passes in rows of jobs and entries of servers as they change.  `run`
    starts tasks until it is cancelled or the leadership is lost.
    """

    def __init__(
        self,
        *,
        leadership: Leadership,
        commits: CommitStream,
        calls: ServerClient,
        clock: Clock,
        jobs: JobRegistry,
        configuration: ConfigurationSource,
        records: ServerRecords,
        gate: TakeoverGate,
        advice_cache_factory: AdviceCacheFactory,
        shrinker: RowShrinker,
        metrics: Metrics,
        failure_domain: str,
        entries_age: Callable[[], timedelta],
        evacuation_source: EvacuationSource,
    ) -> None:
        self._failure_domain = failure_domain
        self._entries_age = entries_age
        self._leadership = leadership
        self._commits = commits
        self._calls = calls
        self._clock = clock
        self._jobs = jobs
        self._records = RecordKeeper(records, commits, self.wake)
        self._gate = gate
        self._shrinker = shrinker
        self._metrics = metrics
        self._usage = CustomerUsage()
        self._runs = RunRegistry(jobs, self._usage, clock, leadership.epoch)
        self.servers: dict[str, Server] = {}
        self._cold = ColdServers()
        self._evacuations = Evacuations(evacuation_source, clock, self.servers)
        self._orders = OrderSender(
            calls,
            clock,
            leadership,
            self.handle_superseded,
            self._evacuations.permit,
        )
        self._load = LoadSampler(
            jobs,
            self.servers,
            self._usage,
            configuration,
            clock,
            metrics,
            leadership.epoch,
            durations=jobs.models.durations,
            usable=self._evacuations.usable,
        )
        self._crashes = CrashTracker(
            jobs,
            self.servers,
            clock,
            metrics,
            store_reachable=lambda: commits.store_reachable,
            is_stored=commits.is_stored,
            entries_age=entries_age,
            stop=self._stop,
        )
        self._reports = ReportProcessor(
            jobs,
            self._runs,
            clock,
            metrics,
            self._crashes,
            stop=self._stop,
            stop_orphan=self._stop_orphan,
            stop_late_start=self._stop_late_start,
        )
        self._advice = advice_cache_factory(self.wake)
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._placer = Placer(
            jobs,
            self._runs,
            self._usage,
            self._advice,
            clock,
            self.servers,
            gate=gate,
            crashes=self._crashes,
            evacuations=self._evacuations,
            cold=self._cold,
            interference=self.interference,
            confirm_leadership=commits.confirm_leadership,
            store_reachable=lambda: commits.store_reachable,
            entries_age=entries_age,
            preempt=self._preempt,
            launch=self._launch,
            metrics=metrics,
        )
        self._placement_requested = asyncio.Event()
        commits.on_stored = self.wake
        self._tasks: set[asyncio.Task[None]] = set()

    # State of jobs for callers.

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job for callers, or None if the job is not known."""
        return self._jobs.state(job_id)

    def count_pending(self, queue: str) -> int:
        """Return how many open jobs of `queue` have not started any task."""
        return self._jobs.count_pending(queue)

    def load(self) -> LoadSnapshot | None:
        """Return the newest load, or None before one was measured."""
        return self._load.snapshot

    @property
    def interference(self) -> InterferenceModel:
        """What is known of tasks that slow each other down."""
        return self._reports.interference.model

    # Changes of stored rows.

    def apply_job_row(self, row: Row) -> None:
        """Apply a row that holds a job or a refusal, or a request to cancel a job."""
        row_id = row_name(row.key)
        refusal = decode_refusal(row.value)
        if refusal is not None:
            # The feed may deliver the row after the job that has replaced it.
            if self._jobs.state(row_id) is None:
                self._load.record_refusal(row_id, refusal)
            return
        if row_id.endswith(CANCEL_SUFFIX):
            self._cancel(row_id.removesuffix(CANCEL_SUFFIX))
            return
        held = not self._gate.is_open and row.version <= self._leadership.owner_version
        if self._jobs.has_outcome(row_id):
            self._apply_ended_row(row, held=held)
            return
        entry = self._jobs.add_row(row, held=held)
        if entry is not None:
            logger.info(
                "job_registered", job=row_id, queue=entry.job.spec.queue.name, held=held
            )
            self._load.record_job(entry)
            self._crashes.restore(entry.job)
            self._commits.confirm_leadership(row.version)
            self.wake()

    def _apply_ended_row(self, row: Row, *, held: bool) -> None:
        """Apply the row of a job with a stored outcome.

        If it is `held`, runs of it may go on at servers that have not answered.
        """
        if held and self._jobs.add_ended_row(row):
            return
        self._jobs.delete_former_progress(row_name(row.key))
        self._shrinker.add(row)

    def update_server(self, entry: ServerEntry) -> None:
        """Apply a new or changed entry of a server."""
        server = self.servers.get(entry.server_id)
        if server is None:
            self._add_server(entry)
            return
        if entry.draining and not server.entry.draining:
            logger.info("server_draining", server=entry.server_id)
        if entry.born != server.entry.born:
            logger.info(
                "server_entry_of_new_lifetime",
                server=entry.server_id,
                former=server.entry.born,
                entry=entry.born,
                reported=server.born,
            )
        server.entry = entry
        server.missing_since = None
        self._cold.note(server, self._clock.monotonic())
        self.wake()

    def mark_server_missing(self, server_id: str) -> None:
        """Note that the entry of a server was removed or cannot be read."""
        server = self.servers.get(server_id)
        if server is not None and server.missing_since is None:
            server.missing_since = self._clock.monotonic()
            logger.info("server_missing", server=server_id)

    def handle_former_leader_exit(self) -> None:
        """Note that the process of the former leader no longer exists."""
        self._gate.handle_former_leader_exit(self._clock.monotonic())

    # Reports of servers.

    def handle_report(
        self, server: Server, report: ServerReport, asked_at: float
    ) -> int:
        """Apply a report; return the position of the last write that it caused."""
        position = self._reports.apply(server, report, asked_at)
        self._records.forget_stored_ends(server)
        if not server.fenced:
            server.fenced = True
            self._gate.mark_settled(server.server_id)
            former = self._gate.settle_former_lifetimes(
                server.entry.address, server.server_id
            )
            logger.info(
                "server_first_report",
                server=server.server_id,
                former=",".join(sorted(former)),
            )
        if not server.recorded and not server.recording:
            self._run_in_background(self._records.store(server))
        self.wake()
        return position

    def handle_unreachable(self, server: Server) -> None:
        """Mark an unreachable server's runs as lost once its leases have expired.

        This process has to have led after that: a successor would have prolonged the
        leases, and may know the ends of these runs.  Meanwhile the server's row names
        the runs for a successor.
        """
        if not server.fenced:
            return
        self._records.narrow(server, self._clock.monotonic())
        answered = sum(run.answered_at is not None for run in server.runs.values())
        if answered and server.leases_expired(self._leadership.confirmed_at):
            logger.warning(
                "server_lease_expired", server=server.server_id, runs=answered
            )
            self._reports.mark_runs_lost(server, "the lease has expired")
            self.wake()

    def handle_lifetime_ended(self, server: Server) -> None:
        """Note that another lifetime answers at the address of a server."""
        if server.ended:
            return
        server.ended = True
        logger.warning(
            "server_replaced",
            server=server.server_id,
            born=server.born,
            draining=server.entry.draining,
            tasks=",".join(run.task.name for run in server.runs.values()),
        )
        for run in list(server.runs.values()):
            self._reports.mark_lost(run, "the server has ended")
        self._gate.mark_settled(server.server_id)
        self._crashes.resolve()
        self.wake()

    def handle_superseded(self) -> None:
        """Stop giving orders, as a server follows a later leader."""
        if not self._leadership.lost:
            logger.warning("leadership_superseded", epoch=self._leadership.epoch)
        self._leadership.lost = True

    # Placement, periodic work and orders.

    def wake(self) -> None:
        """Request a placement round."""
        self._placement_requested.set()

    async def run(self) -> None:
        """Start tasks until cancelled or until the leadership is lost."""
        sweep = asyncio.create_task(self._sweep_until_lost())
        probe = FormerServerProbe(
            self._gate, self._calls, self._clock, self._leadership, self.servers
        )
        self._run_in_background(probe.run())
        try:
            round_took = timedelta(0)
            while not self._leadership.lost:
                await self._placement_requested.wait()
                pause = round_took * PLACEMENT_PAUSE_FACTOR
                await self._clock.sleep(max(PLACEMENT_DELAY, pause))
                self._placement_requested.clear()
                began = self._clock.monotonic()
                if self._leadership.may_act(began):
                    self._placer.place()
                    self._placer.waits.end_round()
                round_took = timedelta(seconds=self._clock.monotonic() - began)
        finally:
            sweep.cancel()
            await self._close()

    async def _sweep_until_lost(self) -> None:
        while not self._leadership.lost:
            await self._clock.sleep(SWEEP_INTERVAL)
            try:
                self._sweep()
            except Exception as exc:
                logger.opt(exception=exc).error("sweep_failed")
        self.wake()

    def _sweep(self) -> None:
        """Do what is due after some time rather than after an event."""
        now = self._clock.monotonic()
        opened = self._gate.try_open(self._leadership.confirmed_at)
        self._leadership.settled = self._gate.is_open
        if opened:
            logger.info(
                "takeover_gate_opened", unsettled=",".join(self._gate.unsettled_servers)
            )
            self._records.remove_others(set(self.servers))
        for server in self.servers.values():
            if not server.reachable:
                self.handle_unreachable(server)
        self._crashes.resolve()
        if self._entries_age() != timedelta.max:
            self._evacuations.warn_of_unknown_domains()
        self.interference.age(now)
        self._jobs.open_due_occurrences()
        for job in self._jobs.remove_finished(keep_held=not self._gate.is_open):
            self._shrinker.add(Row(job_key(job.job_id), job.version, b""))
        self._remove_missing_servers(now)
        self._reports.learner.publish()
        if self._gate.is_open:
            self._load.sample(now)
        self._metrics.set("jobs_open", sum(1 for _ in self._jobs.open_jobs()))
        self._metrics.set(
            "runs", sum(len(server.runs) for server in self.servers.values())
        )
        self.wake()

    def _remove_missing_servers(self, now: float) -> None:
        """Remove servers whose entry is missing and where nothing can run any more."""
        for server_id, server in list(self.servers.items()):
            since = server.missing_since
            if since is None or server.runs or now - since < MISSING_SERVER_TIMEOUT_S:
                continue
            if server.reachable or not server.leases_expired(now):
                continue
            self._pollers.pop(server_id).cancel()
            del self.servers[server_id]
            self._records.remove(server_id)
            self._crashes.note_removed(server)
            self._reports.interference.forget_server(server_id)
            self._reports.learner.forget_server(server)
            logger.info("server_removed", server=server_id)

    def _add_server(self, entry: ServerEntry) -> None:
        """Add a server and begin to poll it."""
        restricted = entry.failure_domain == self._failure_domain
        server = Server(entry, restricted=restricted)
        self.servers[entry.server_id] = server
        self._cold.note(server, self._clock.monotonic())
        self._jobs.fleet_cpu_millis = sum(
            each.entry.capacity.cpu_millis for each in self.servers.values()
        )
        self._records.add(server)
        poller = ServerPoller(
            server, self._calls, self._clock, self._leadership, self, self._commits
        )
        self._pollers[entry.server_id] = asyncio.create_task(poller.run())

    def _cancel(self, job_id: str) -> None:
        """Cancel a job and stop its runs."""
        entry = self._jobs.cancel(job_id)
        if entry is None:
            return
        logger.info("job_cancelled", job=job_id, runs=len(entry.runs))
        for run in list(entry.runs):
            self._stop(run)

    def _launch(self, runs: Sequence[Run]) -> None:
        """Send the start orders of `runs` in the background."""
        recorded = []
        position = 0
        for run in runs:
            watched_at = self._watch(run)
            waits = run.isolation or (watched_at and self._commits.store_reachable)
            if run.server.restricted or waits:
                recorded.append(run)
                position = max(position, watched_at)
            else:
                self._run_in_background(self._start(run))
        if recorded:
            self._run_in_background(self._start_recorded(recorded, position))

    def _watch(self, run: Run) -> int:
        """Queue a write that tells a successor where `run` was started, if needed.

        That is needed once a crash under the task may have been seen, by this leader or
        by a former one.  Return the position of the write, 0 if there is none.
        """
        entry = self._jobs.entries[run.job_id]
        if not entry.held and not entry.job.crashes.count(run.task.name):
            return 0
        entry.job.crashes.watch(run.task.name, lifetime_of(run))
        return self._jobs.save(entry)

    def _unwatch(self, run: Run) -> None:
        """Withdraw what `_watch` wrote, as the run was never on its server.

        A successor would otherwise take a crash of that server for one under the task.
        """
        entry = self._jobs.entries.get(run.job_id)
        if entry is None or entry.job.ended:
            return
        if entry.job.crashes.unwatch(run.task.name, lifetime_of(run)):
            self._jobs.save(entry)

    async def _start_recorded(self, runs: Sequence[Run], position: int) -> None:
        """Start `runs` once the rows that a successor relies on are stored.

        These are the rows of restricted servers and the writes up to `position`.
        """
        try:
            stored = await self._records.store_starts(runs, position)
        except LeadershipLostError:
            return
        for run in runs:
            if stored:
                self._run_in_background(self._start(run))
            else:
                self._unwatch(run)
                self._reports.mark_lost(run, "the start could not be recorded")
        if not stored:
            self.wake()

    async def _start(self, run: Run) -> None:
        """Order the start of a run; if it was not started, let its task wait again."""
        began = self._clock.monotonic()
        result, outcome = await self._orders.start(run)
        self._metrics.observe("start_order", self._clock.monotonic() - began)
        self._metrics.count("start_orders", result=result.value)
        if result is not StartResult.NOT_STARTED:
            if result is StartResult.UNKNOWN:
                self._stop_gang_of_abandoned(run)
            return
        logger.info(
            "run_not_started",
            task=run.task.name,
            run=run.number,
            server=run.server.server_id,
            outcome="unreachable" if outcome is None else outcome.value,
            load=run.server.load_text,
            lifetime=run.server.born,
            entry=run.server.entry.born,
        )
        if outcome is OrderOutcome.NO_TICKET:
            self._advice.invalidate(run.task.step, run.server.server_id)
        elif outcome in SERVER_REFUSALS:
            run.server.health.record_refusal(self._clock.monotonic())
        if run.sent_at is None:
            self._unwatch(run)
        self._reports.mark_lost(run, "the run was not started")
        self.wake()

    def _stop_gang_of_abandoned(self, run: Run) -> None:
        """Stop the other members of a gang if the start of `run` was abandoned.

        Its end, if it had begun, is reported as that of a stopped run, which says
        nothing about the others.
        """
        step = run.task.step
        abandoned = run.state is RunState.STOPPING
        if abandoned and step.spec.gang and not step.complete:
            for member in self._runs.gang_runs(step):
                if member.number == run.number:
                    self._stop(member)

    def _preempt(self, run: Run, step: Step) -> None:
        """Stop `run` to make room for the urgent `step`."""
        logger.info(
            "run_preempted",
            task=run.task.name,
            run=run.number,
            server=run.server.server_id,
            urgent=step.name,
            lost_core_s=round(run.unsaved_core_s(self._clock.monotonic()), 3),
        )
        run.stop_cause = "preempted"
        self._metrics.count("preemptions")
        self._stop(run)

    def _stop(self, run: Run) -> None:
        """Stop `run` in the background, unless it is being stopped already."""
        if run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            self._run_in_background(self._send_stop(run))

    async def _send_stop(self, run: Run) -> None:
        if await self._orders.stop(run):
            self._reports.mark_lost(run, "the lease has expired")
            self.wake()

    def _stop_orphan(self, server: Server, task: str, run: int) -> None:
        self._run_in_background(self._orders.stop_orphan_run(server.entry, task, run))

    def _stop_late_start(self, server: Server, task: str, run: int) -> None:
        self._run_in_background(self._send_late_stop(server, task, run))

    async def _send_late_stop(self, server: Server, task: str, run: int) -> None:
        await self._orders.stop_late_start(server, task, run)
        self.wake()

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("dispatcher_coroutine_failed")

    async def _close(self) -> None:
        self.interference.clear()
        await self._advice.close()
        await _cancel_all([*self._pollers.values(), *self._tasks])


async def _cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    found = list(tasks)
    for task in found:
        task.cancel()
    await asyncio.gather(*found, return_exceptions=True)
