"""The work of a leader: accepts jobs, starts their tasks and follows the servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._advice_cache import AdviceCache
from cassiaweir.dispatch._call_fence import CallFences
from cassiaweir.dispatch._call_queue import CallQueues
from cassiaweir.dispatch._cancel_age import CancelAge
from cassiaweir.dispatch._cold_servers import ColdServers
from cassiaweir.dispatch._compaction import RowShrinker
from cassiaweir.dispatch._crash_tracker import CrashTracker
from cassiaweir.dispatch._customer_terms import ConfigurationSource
from cassiaweir.dispatch._evacuation import (
    Evacuations,
    EvacuationSource,
    StartPermit,
)
from cassiaweir.dispatch._former_servers import FormerServerProbe
from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_errors import JobAction
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._job_rows import CANCEL_SUFFIX, job_key, row_name
from cassiaweir.dispatch._leases import LeaseLimits
from cassiaweir.dispatch._load import LoadSampler
from cassiaweir.dispatch._loop_turns import LoopTurns
from cassiaweir.dispatch._occurrences import OccurrenceOpener
from cassiaweir.dispatch._orders import OrderSender
from cassiaweir.dispatch._placement_loop import PlacementLoop
from cassiaweir.dispatch._placer import Placer
from cassiaweir.dispatch._record_keeper import RecordKeeper
from cassiaweir.dispatch._refusal_expiry import RefusalExpiry
from cassiaweir.dispatch._refusal_rows import Refusal, decode_refusal
from cassiaweir.dispatch._reports import ReportProcessor
from cassiaweir.dispatch._run_control import RunControl
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_client import ServerClient
from cassiaweir.dispatch._server_entry import EndPosition, ServerEntry, ServerReport
from cassiaweir.dispatch._server_poller import ServerPoller
from cassiaweir.dispatch._server_records import ServerRecords
from cassiaweir.dispatch._term_tasks import TermTasks, cancel_all
from cassiaweir.dispatch._unapplied_rows import UnappliedRows
from cassiaweir.dispatch._urgent_placement import UrgentPlacement
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.jobs import JobState, Step
from cassiaweir.leadership import CommitStream, Leadership
from cassiaweir.observe import Metrics
from cassiaweir.scheduling import InterferenceModel, LoadSnapshot
from cassiaweir.types import Clock, Row

SWEEP_INTERVAL = timedelta(milliseconds=100)
MISSING_SERVER_TIMEOUT_S = 3.0
"""An unreachable server without runs is removed if its entry is missing this long."""

AdviceCacheFactory = Callable[[Callable[[Step], None]], AdviceCache]
"""Creates the advice cache of a term.

It is given what to call with a step after each answer about it.
"""


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
        job_rows_age: Callable[[], timedelta],
        evacuation_source: EvacuationSource,
        lease_limits: LeaseLimits,
    ) -> None:
        self._lease_limits = lease_limits
        self._failure_domain = failure_domain
        self._entries_age = entries_age
        self._cancel_age = CancelAge(job_rows_age)
        self._leadership = leadership
        self._commits = commits
        self._calls = calls
        self._clock = clock
        self._jobs = jobs
        self._records = RecordKeeper(
            records,
            commits,
            clock,
            metrics,
            self.wake,
            lease_limits.successors_know_long_leases,
            had_leaders=leadership.former is not None,
        )
        self._gate = gate
        self._shrinker = shrinker
        self._metrics = metrics
        self._refusals = RefusalExpiry(clock, shrinker.remove)
        self._occurrences = OccurrenceOpener(jobs, clock, metrics)
        self._usage = CustomerUsage()
        self._runs = RunRegistry(jobs, self._usage, clock, leadership.term_number)
        self._fences = CallFences(leadership.first_fence, leadership.epoch)
        self.servers: dict[str, Server] = {}
        self._cold = ColdServers()
        self._evacuations = Evacuations(evacuation_source, clock, self.servers)
        self._queues = CallQueues()
        turns = LoopTurns()
        self._orders = OrderSender(
            calls,
            clock,
            leadership,
            self.handle_superseded,
            self._permit_start,
            self._queues,
            turns,
        )
        self._background = TermTasks()
        self._control = RunControl(
            jobs,
            self._runs,
            self._records,
            self._orders,
            commits,
            clock,
            metrics,
            self._background,
            mark_lost=lambda run, cause: self._reports.mark_lost(run, cause),
            invalidate_ticket=lambda step, server: self._advice.invalidate(
                step, server
            ),
            wake=self.wake,
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
            stop=self._control.stop,
        )
        self._reports = ReportProcessor(
            jobs,
            self._runs,
            clock,
            metrics,
            self._crashes,
            stop=self._control.stop,
            stop_orphan=self._control.stop_orphan,
            stop_late_start=self._control.stop_late_start,
            place_soon=lambda step: self._urgent.request(step),
        )
        self._advice = advice_cache_factory(self._place_soon)
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
            preempt=self._control.preempt,
            launch=self._control.launch,
            turns=turns,
            metrics=metrics,
        )
        self._urgent = UrgentPlacement(
            self._placer, clock, leadership, self._cancel_age, jobs.errors
        )
        self._unapplied = UnappliedRows(clock)
        self._placement_requested = asyncio.Event()
        commits.on_stored = self._place_confirmed

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

    @property
    def fences_exhausted(self) -> bool:
        """Whether calls to a server cannot be told from earlier ones any more."""
        return self._fences.exhausted

    # Changes of stored rows.

    def apply_job_row(self, row: Row) -> None:
        """Apply a row that holds a job or a refusal, or a request to cancel a job.

        A row that cannot be applied is tried again.  Its job may be cancelled.
        """
        name = row_name(row.key)
        try:
            self._apply_job_row(row)
        except Exception as exc:
            job_id = name.removesuffix(CANCEL_SUFFIX)
            self._jobs.errors.note(job_id, JobAction.REGISTER, exc)
            self._unapplied.add(row)
        else:
            self._unapplied.discard(name)

    def _apply_job_row(self, row: Row) -> None:
        row_id = row_name(row.key)
        refusal = decode_refusal(row.value)
        if refusal is not None:
            self._apply_refusal(row, refusal)
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
            if entry.job.ended:
                logger.info("job_cancelled", job=row_id, runs=0)
            self._refusals.forget(row.key)
            self._load.record_job(entry)
            if row.version <= self._leadership.owner_version:
                self._crashes.restore(entry.job)
            self._commits.confirm_leadership(row.version)
            for step in entry.job.startable_steps():
                self._urgent.request(step)
            self.wake()

    def _apply_refusal(self, row: Row, refusal: Refusal) -> None:
        """Apply a row that blocks an id, for as long as it is needed."""
        job_id = row_name(row.key)
        # The feed may deliver the row after the job that has replaced it.
        if self._jobs.state(job_id) is not None:
            return
        self._refusals.note(row, refusal)
        if not refusal.cancelled:
            self._load.record_refusal(job_id, refusal)

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
        resized = entry.capacity != server.entry.capacity
        server.entry = entry
        if resized:
            self._sum_up_capacity()
        server.missing_since = None
        self._cold.note(server, self._clock.monotonic())
        self._record(server)
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
        self, server: Server, report: ServerReport, asked_at: float, fence: int
    ) -> Sequence[EndPosition]:
        """Apply a report; return what each of its ends rests on."""
        first = not server.has_reported
        positions = self._reports.apply(server, report, asked_at, fence)
        self._records.forget_stored_ends(server)
        if first:
            self._sum_up_capacity()
        if not server.settled and report.ends_complete:
            self._settle(server)
        if first:
            self._records.check_lifetime(server)
        self._record(server)
        self.wake()
        return positions

    def _record(self, server: Server) -> None:
        """Store the row that new runs on a server need, unless that is being done."""
        ready = server.fenced and server.entry_is_current
        if ready and not server.recorded and not server.recording:
            self._background.start(self._records.store(server))

    def _settle(self, server: Server) -> None:
        """Note that a server has listed all that former leaders started there."""
        server.settled = True
        self._gate.mark_settled(server.server_id)
        former = self._gate.settle_former_lifetimes(
            server.entry.address, server.server_id
        )
        self._crashes.note_replaced(former)
        logger.info(
            "server_first_report",
            server=server.server_id,
            former=",".join(sorted(former)),
        )

    def handle_unreachable(self, server: Server) -> None:
        """Mark an unreachable server's runs as lost once its leases have expired.

        This process has to have led after that: a successor would have prolonged the
        leases, and may know the ends of these runs.  Meanwhile the server's row names
        the runs for a successor.
        """
        if not server.has_reported:
            return
        self._records.narrow(server, self._clock.monotonic())
        if not server.leases_expired(self._leadership.confirmed_at):
            return
        lost = self._reports.mark_runs_lost(server, "the lease has expired")
        if lost:
            logger.warning("server_lease_expired", server=server.server_id, runs=lost)
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
        self._crashes.note_lifetime_end(server)
        self._reports.mark_all_lost([*server.runs.values()], "the server has ended")
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

    def _place_soon(self, step: Step) -> None:
        """Request a placement round; do not wait for it if the step is urgent."""
        self._urgent.request(step)
        self.wake()

    def _place_confirmed(self) -> None:
        """Place what waited for the leadership to be confirmed by a transaction."""
        for step in self._placer.take_unconfirmed():
            self._urgent.request(step)
        self.wake()

    async def run(self) -> None:
        """Start tasks until cancelled or until the leadership is lost."""
        sweep = asyncio.create_task(self._sweep_until_lost())
        probe = FormerServerProbe(
            self._gate,
            self._calls,
            self._clock,
            self._leadership,
            self.servers,
            self._queues,
            self._fences,
            self._crashes.note_replaced,
        )
        self._background.start(probe.run())
        try:
            placement = PlacementLoop(
                self._placer,
                self._clock,
                self._leadership,
                self._metrics,
                self._cancel_age,
            )
            while not self._leadership.lost:
                await self._placement_requested.wait()
                await placement.pause()
                self._placement_requested.clear()
                if not await placement.run_round():
                    self.wake()
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
        """Do what is due after some time rather than after an event.

        An error in one part keeps none of the others from being done.
        """
        for part in (
            self._open_gate,
            self._check_servers,
            self._crashes.resolve,
            self._age_knowledge,
            self._occurrences.open_due,
            self._remove_rows,
            self._remove_finished,
            self._remove_missing_servers,
            self._retry_rows,
            self._measure,
        ):
            try:
                part()
            except Exception as exc:
                logger.opt(exception=exc).error("sweep_failed", part=part.__name__)
        self.wake()

    def _open_gate(self) -> None:
        """Open the takeover gate once no former leader's runs are left unknown."""
        opened = self._gate.try_open(self._leadership.confirmed_at)
        self._leadership.settled = self._gate.is_open
        if opened:
            logger.info(
                "takeover_gate_opened", unsettled=",".join(self._gate.unsettled_servers)
            )
            self._records.remove_others(set(self.servers))

    def _check_servers(self) -> None:
        """Give up the runs of lost servers, and shorten leases that may be shorter."""
        now = self._clock.monotonic()
        for server in self.servers.values():
            if not server.reachable:
                self.handle_unreachable(server)
            self._records.shorten_leases(server, now)

    def _age_knowledge(self) -> None:
        """Forget what is too old, and warn of what operators should know."""
        if self._entries_age() != timedelta.max:
            self._evacuations.warn_of_unknown_domains()
        self.interference.age(self._clock.monotonic())

    def _remove_rows(self) -> None:
        """Delete rows that nothing needs any more."""
        self._jobs.delete_obsolete_rows()
        self._refusals.remove_expired()

    def _remove_finished(self) -> None:
        """Forget the steps and jobs that have ended."""
        for step in self._jobs.closed_steps:
            self._advice.forget_step(step)
        self._jobs.closed_steps.clear()
        for job in self._jobs.remove_finished(keep_held=not self._gate.is_open):
            self._shrinker.add(Row(job_key(job.job_id), job.version, b""))
            self._advice.forget_job(job)

    def _retry_rows(self) -> None:
        """Apply rows of jobs again that could not be applied."""
        for row in self._unapplied.due():
            self.apply_job_row(row)

    def _measure(self) -> None:
        """Measure the load and update the metrics."""
        self._reports.learner.publish()
        if self._gate.is_open:
            self._load.sample(self._clock.monotonic())
        self._metrics.set("rows_rejected", self._commits.rejected_rows)
        self._metrics.set("jobs_open", sum(1 for _ in self._jobs.open_jobs()))
        self._metrics.set("jobs_with_errors", self._jobs.errors.job_count)
        self._metrics.set("jobs_not_registered", len(self._unapplied))
        self._metrics.set(
            "runs", sum(len(server.runs) for server in self.servers.values())
        )

    def _remove_missing_servers(self) -> None:
        """Remove servers whose entry is missing and where nothing can run any more."""
        now = self._clock.monotonic()
        for server_id, server in list(self.servers.items()):
            since = server.missing_since
            if since is None or server.runs or now - since < MISSING_SERVER_TIMEOUT_S:
                continue
            if server.reachable or not server.leases_expired(now):
                continue
            if self._gate.may_run_on(server_id):
                continue
            self._pollers.pop(server_id).cancel()
            del self.servers[server_id]
            self._sum_up_capacity()
            self._records.remove(server_id)
            self._reports.interference.forget_server(server_id)
            self._reports.learner.forget_server(server)
            logger.info("server_removed", server=server_id)

    def _sum_up_capacity(self) -> None:
        """Sum up the CPU of the fleet, by which deadlines are set.

        An entry alone proves no server: it counts once the server has answered.
        """
        self._jobs.fleet_cpu_millis = sum(
            each.entry.capacity.cpu_millis
            for each in self.servers.values()
            if each.has_reported
        )

    def _add_server(self, entry: ServerEntry) -> None:
        """Add a server and begin to poll it."""
        restricted = entry.failure_domain == self._failure_domain
        known = self._fences.knows(entry.server_id)
        server = Server(
            entry,
            restricted=restricted,
            longest_lease_s=self._lease_limits.longest.total_seconds(),
            fence=self._fences.of(entry.server_id),
        )
        if known:
            server.expect_calls_to_former_lifetimes()
        self.servers[entry.server_id] = server
        self._cold.note(server, self._clock.monotonic())
        self._records.add(server)
        poller = ServerPoller(
            server,
            self._calls,
            self._clock,
            self._leadership,
            self,
            self._commits,
            self._queues,
        )
        self._pollers[entry.server_id] = asyncio.create_task(poller.run())

    def _permit_start(self, server: Server) -> StartPermit:
        """Return whether a task may be started on `server` now."""
        if not self._cancel_age.is_recent():
            return StartPermit.CANCELS_UNKNOWN
        return self._evacuations.permit(server)

    def _cancel(self, job_id: str) -> None:
        """Cancel a job and stop its runs."""
        if self._unapplied.discard(job_id) and self._jobs.state(job_id) is None:
            logger.info("job_cancelled", job=job_id, runs=0)
            self._jobs.cancel_unregistered(job_id)
            return
        entry = self._jobs.cancel(job_id)
        if entry is None:
            return
        logger.info("job_cancelled", job=job_id, runs=len(entry.runs))
        for run in list(entry.runs):
            with self._jobs.errors.contained(job_id, JobAction.START):
                self._control.stop(run)

    async def _close(self) -> None:
        self._urgent.close()
        self.interference.clear()
        await self._advice.close()
        await cancel_all(self._pollers.values())
        await self._background.close()
