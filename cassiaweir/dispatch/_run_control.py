"""Starts and stops runs in the background, for one term of a leader."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeVar

from loguru import logger

from cassiaweir.dispatch._crash_tracker import lifetime_of
from cassiaweir.dispatch._job_errors import JobAction
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._orders import OrderSender, StartResult
from cassiaweir.dispatch._record_keeper import RecordKeeper
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run, RunKey, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_entry import OrderOutcome
from cassiaweir.dispatch._term_tasks import TermTasks
from cassiaweir.exceptions import LeadershipLostError, RowRejectedError
from cassiaweir.jobs import Step
from cassiaweir.leadership import CommitStream
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock

SERVER_REFUSALS = (
    OrderOutcome.UNHEALTHY,
    OrderOutcome.INVALID,
    OrderOutcome.NO_ROOM,
)
"""Answers to a start order after which the server gets no new runs for a while."""

REJECTED_ROW_DELAY = timedelta(seconds=2)
"""A task whose start no row can name waits this long before it is placed again."""

FAILED_STOP_DELAY = timedelta(milliseconds=250)
"""Pause after an order to stop has ended with an unexpected error."""

_T = TypeVar("_T")


@dataclass(slots=True)
class _RecordedStarts:
    """Runs on one server that start once rows are stored.

    `positions` are those of the writes that tell a successor where they are started.
    """

    server: Server
    runs: list[Run] = field(default_factory=list)
    positions: set[int] = field(default_factory=set)


class RunControl:
    """Starts runs, once what a successor relies on is stored, and stops them.

    `mark_lost` is called with a run that does not exist, and the cause;
    `invalidate_ticket` with a step and the id of a server that refused its ticket;
    `wake` when tasks may be placed again.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        runs: RunRegistry,
        records: RecordKeeper,
        orders: OrderSender,
        commits: CommitStream,
        clock: Clock,
        metrics: Metrics,
        background: TermTasks,
        *,
        mark_lost: Callable[[Run, str], None],
        invalidate_ticket: Callable[[Step, str], None],
        wake: Callable[[], None],
    ) -> None:
        self._jobs = jobs
        self._runs = runs
        self._records = records
        self._orders = orders
        self._commits = commits
        self._clock = clock
        self._metrics = metrics
        self._background = background
        self._mark_lost = mark_lost
        self._invalidate_ticket = invalidate_ticket
        self._wake = wake

    def launch(self, runs: Sequence[Run]) -> None:
        """Send the start orders of `runs`, which are of one step, in the background.

        Those on one server whose rows have to be stored first wait for these together,
        and for nothing else.
        """
        job_id = runs[0].job_id
        try:
            watched = self._watch(runs)
        except Exception as exc:
            # Noted before the tasks wait again, so that they are not placed at once.
            self._jobs.errors.note(job_id, JobAction.START, exc)
            for run in runs:
                self._mark_lost(run, "the start could not be prepared")
            return
        self._jobs.errors.clear(job_id, JobAction.START)
        recorded: dict[str, _RecordedStarts] = {}
        for run in runs:
            positions = watched.get(run.key, ())
            waits = run.isolation or (positions and self._commits.store_reachable)
            if run.server.restricted or waits:
                starts = recorded.setdefault(
                    run.server.server_id, _RecordedStarts(run.server)
                )
                starts.runs.append(run)
                starts.positions.update(positions)
            else:
                self._background.start(self._start(run))
        for starts in recorded.values():
            self._background.start(self._start_recorded(starts))

    def _must_watch(self, run: Run) -> bool:
        """Return whether a successor has to know where `run` was started.

        It does once a crash under the task may have been seen, by this leader or by a
        former one.
        """
        entry = self._jobs.entries[run.job_id]
        return entry.held or bool(entry.job.crashes.count(run.task.name))

    def _watch(self, runs: Sequence[Run]) -> dict[RunKey, list[int]]:
        """Queue writes that tell a successor where `runs` were started, if needed.

        Return their positions by run.  A job with several of the runs is written once.
        """
        watched = [run for run in runs if self._must_watch(run)]
        wall = self._clock.now().timestamp()
        for run in watched:
            job = self._jobs.entries[run.job_id].job
            lease_s = self._records.start_lease_s(run)
            job.crashes.watch(run.task.name, lifetime_of(run), wall + lease_s)
            job.mark_unsaved(run.task.name)
        saved = {
            job_id: self._jobs.save_for_start(self._jobs.entries[job_id])
            for job_id in dict.fromkeys(run.job_id for run in watched)
        }
        return {run.key: saved[run.job_id] for run in watched}

    def _unwatch(self, run: Run) -> None:
        """Withdraw what `_watch` wrote, as the run was never on its server.

        A successor would otherwise take a crash of that server for one under the task.
        """
        entry = self._jobs.entries.get(run.job_id)
        if entry is None or entry.job.ended:
            return
        if entry.job.crashes.unwatch(run.task.name, lifetime_of(run)):
            entry.job.mark_unsaved(run.task.name)
            self._jobs.save(entry)

    async def _start_recorded(self, starts: _RecordedStarts) -> None:
        """Start runs once the rows that a successor relies on are stored."""
        runs = starts.runs
        try:
            stored = await self._records.store_starts(
                starts.server, runs, starts.positions
            )
        except LeadershipLostError:
            return
        except RowRejectedError:
            # The next attempt writes the same row again, so that it has to wait.
            await self._clock.sleep(REJECTED_ROW_DELAY)
            stored = False
        for run in runs:
            if stored:
                self._background.start(self._start(run))
            else:
                self._unwatch(run)
                self._mark_lost(run, "the start could not be recorded")
        if not stored:
            self._wake()

    async def _start(self, run: Run) -> None:
        """Order the start of a run; if it was not started, let its task wait again."""
        began = self._clock.monotonic()
        self._metrics.observe("start_delay", began - run.placed_at)
        try:
            result, outcome = await self._orders.start(run)
        except Exception as exc:
            # It may be running: its task waits again once it was told to stop.
            logger.opt(exception=exc).error("start_failed", task=run.task.name)
            self.stop(run)
            return
        self._metrics.observe("start_order", self._clock.monotonic() - began)
        self._metrics.count("start_orders", result=result.value)
        if result is not StartResult.NOT_STARTED:
            if result is StartResult.UNKNOWN:
                self._stop_gang_of_abandoned(run)
            elif run.server.take_stopped_check(run):
                self._stop_to_check_numbers(run)
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
            after_ms=round((self._clock.monotonic() - run.placed_at) * 1_000),
        )
        if outcome is OrderOutcome.NO_TICKET:
            self._invalidate_ticket(run.task.step, run.server.server_id)
        elif outcome in SERVER_REFUSALS:
            run.server.health.record_refusal(self._clock.monotonic())
        if run.sent_at is None:
            self._unwatch(run)
        self._mark_lost(run, "the run was not started")
        self._wake()

    def _stop_to_check_numbers(self, run: Run) -> None:
        """Stop `run`, whose end need not be known, on a server that may forget ends.

        It would keep the lease in force in which no other run lapses.  If its end is
        listed, the server lists all later ones.
        """
        logger.info(
            "run_stopped_to_check_numbers",
            task=run.task.name,
            run=run.number,
            server=run.server.server_id,
        )
        run.stop_cause = "numbers"
        self.stop(run)

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
                    self.stop(member)

    def preempt(self, run: Run, step: Step) -> None:
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
        self.stop(run)

    def stop(self, run: Run) -> None:
        """Stop `run` in the background, unless it is being stopped already."""
        if run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            self._background.start(self._send_stop(run))

    async def _send_stop(self, run: Run) -> None:
        if await self._repeated(lambda: self._orders.stop(run), run.task.name):
            self._mark_lost(run, "the lease has expired")
            self._wake()

    async def _repeated(self, send: Callable[[], Awaitable[_T]], task: str) -> _T:
        """Return the result of an order to stop, sent again after unexpected errors.

        The run would otherwise go on, and no other part of the leader stops it.
        """
        while True:
            try:
                return await send()
            except Exception as exc:
                logger.opt(exception=exc).error("stop_failed", task=task)
                await self._clock.sleep(FAILED_STOP_DELAY)

    def stop_orphan(self, server: Server, task: str, run: int) -> None:
        """Stop a run on `server` that belongs to no known job, in the background.

        Each report lists it until it has ended, which may take longer than a report.
        """
        if (task, run) not in server.orphan_stops:
            server.orphan_stops.add((task, run))
            self._background.start(self._send_orphan_stop(server, task, run))

    async def _send_orphan_stop(self, server: Server, task: str, run: int) -> None:
        try:
            await self._orders.stop_orphan_run(server, task, run)
        finally:
            server.orphan_stops.discard((task, run))

    def stop_late_start(self, server: Server, task: str, run: int) -> None:
        """Keep `server` from carrying out a late start, in the background."""
        self._background.start(self._send_late_stop(server, task, run))

    async def _send_late_stop(self, server: Server, task: str, run: int) -> None:
        await self._repeated(
            lambda: self._orders.stop_late_start(server, task, run), task
        )
        self._wake()
