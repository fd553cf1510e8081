"""Updates runs, tasks and jobs from the reports of servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from loguru import logger

from cassiaweir.dispatch._crash_tracker import CrashTracker
from cassiaweir.dispatch._interference import InterferenceSampler
from cassiaweir.dispatch._job_errors import JobAction
from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.dispatch._learning import Learner
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run, RunKey, RunState
from cassiaweir.dispatch._server import FailedEnd, Server
from cassiaweir.dispatch._server_entry import (
    EndKind,
    EndPosition,
    RunningTask,
    ServerReport,
    TaskEnd,
)
from cassiaweir.dispatch._speed import GANG_KEEP_PERCENT, GANG_STALL_S
from cassiaweir.jobs import Step, Task, TaskState
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock

MAX_END_RETRY_S = 5.0
"""The job of an end that cannot be applied is given up after this time.

Until then, the server keeps all later ends as well.
"""

END_HOLD_S = 2.0
"""Nothing of such a job starts for this time after each attempt to apply the end.

Servers report more often while they answer.
"""


class ReportProcessor:
    """Applies the reports of servers to runs, tasks and jobs.

    `stop` is called for each run that must not go on.  `stop_orphan` is called with the
    server, the task name and the run number of a listed run whose task belongs to no
    known job, `stop_late_start` likewise for one that may still be started late.
    `place_soon` is called with a step of which tasks may be startable again or for the
    first time.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        runs: RunRegistry,
        clock: Clock,
        metrics: Metrics,
        crashes: CrashTracker,
        *,
        stop: Callable[[Run], None],
        stop_orphan: Callable[[Server, str, int], None],
        stop_late_start: Callable[[Server, str, int], None],
        place_soon: Callable[[Step], None] = lambda _: None,
    ) -> None:
        self._place_soon = place_soon
        self._jobs = jobs
        self._runs = runs
        self._clock = clock
        self._metrics = metrics
        self._crashes = crashes
        self._stop = stop
        self._stop_orphan = stop_orphan
        self._stop_late_start = stop_late_start
        self.learner = Learner(jobs, runs, metrics)
        self.interference = InterferenceSampler(jobs.models.speeds, clock, metrics)

    def apply(
        self,
        server: Server,
        report: ServerReport,
        asked_at: float,
        fence: int | None = None,
    ) -> list[EndPosition]:
        """Apply a report that was requested at `asked_at` with `fence`.

        The fence is that of a call sent now if it is None.  Return what its ends rest
        on, by number; those are left out that the server may forget already.
        """
        fence = server.fence.value if fence is None else fence
        restarted = bool(report.born and server.born and report.born != server.born)
        if restarted:
            # Runs of the former lifetime are not listed any more and are removed below.
            # An order that was in transit may have started a run in the new lifetime.
            logger.warning(
                "server_restarted",
                server=server.server_id,
                former=server.born,
                born=report.born,
                entry=server.entry.born,
                tasks=",".join(run.task.name for run in server.runs.values()),
                unanswered=server.fence.unanswered_calls,
            )
            self._crashes.note_lifetime_end(server)
            server.begin_lifetime(report.born)
            if server.forgets_ends:
                logger.warning("server_may_forget_ends", server=server.server_id)
            self.learner.forget_server(server)
        elif report.born:
            server.born = report.born
        now = self._clock.monotonic()
        self.learner.begin_report(server, report, asked_at, now)
        server.update_from_report(report, now, asked_at, fence)
        positions = self._apply_ends(server, report)
        listed = {(running.task, running.run) for running in report.running}
        self._stop_late_starts(server, listed)
        server.orphan_runs = frozenset(
            (running.task, running.run)
            for running in report.running
            if not self._try_apply_running(server, running)
        )
        if report.ends_complete:
            self._remove_unlisted(server, listed, asked_at)
        self.interference.record_report(server, report)
        if restarted:
            self._crashes.resolve()
        self._stop_slow_runs(server)
        return positions

    def _apply_ends(self, server: Server, report: ServerReport) -> list[EndPosition]:
        """Apply the ends that are new; return what each end rests on.

        A server lists an end until it is acknowledged, which may take as long as the
        store is away.  An end that was applied before says nothing about later runs.
        """
        positions = []
        self._check_numbers(server, report)
        for end in sorted(report.ended, key=lambda each: each.number):
            if end.number <= server.acknowledged:
                continue
            if end.number > server.applied or end.number in server.failed_ends:
                self._try_apply_end(server, end)
            position = server.unstored_ends.get(end.task, 0)
            positions.append(EndPosition(end.number, position))
        if server.failed_ends:
            first = min(server.failed_ends)
            positions = [each for each in positions if each.number < first]
        return positions

    def _try_apply_end(self, server: Server, end: TaskEnd) -> None:
        """Apply an end; an error with its job keeps no other end from being applied.

        Ends from the one that failed on are not acknowledged before it is applied, or
        its job is given up: a successor would start a task again of which the end was
        acknowledged and not stored.
        """
        server.applied = max(server.applied, end.number)
        now = self._clock.monotonic()
        failed = server.failed_ends.get(end.number)
        if failed is None:
            run = self._runs.remove(server, (end.task, end.run))
            failed = FailedEnd(run, now)
        try:
            position = self._apply_end(server, end, failed.run)
            if end.number in server.failed_ends:
                position = self._save_again(end.task, position)
        except Exception as exc:
            job_id = end.task.partition(".")[0]
            self._jobs.errors.note(job_id, JobAction.REPORT, exc)
            if now - failed.since < MAX_END_RETRY_S:
                server.failed_ends[end.number] = failed
                self._jobs.withhold(job_id, END_HOLD_S)
                return
            position = self._give_up_job(end)
        server.failed_ends.pop(end.number, None)
        server.unstored_ends[end.task] = position

    def _save_again(self, task: str, position: int) -> int:
        """Save the job of a task again, as an error may have kept it from being saved.

        Return the position of the write, or `position` if the job is not known.
        """
        entry = self._jobs.entry_of(task)
        return position if entry is None else self._jobs.save(entry)

    def _give_up_job(self, end: TaskEnd) -> int:
        """Let a job fail of which an end cannot be applied.

        Return the position of the write that stores it.  Its caller learns that it has
        ended, and its runs are stopped.
        """
        entry = self._jobs.entry_of(end.task)
        if entry is None:
            return 0
        logger.error("end_given_up", task=end.task, run=end.run, how=end.kind.value)
        if not entry.outcome_queued:
            self._metrics.count("jobs_failed", cause="errors")
            self._jobs.give_up(entry)
        for run in list(entry.runs):
            with self._jobs.errors.contained(run.job_id, JobAction.REPORT):
                self._stop(run)
        return entry.write_position

    def _check_numbers(self, server: Server, report: ServerReport) -> None:
        """Find out from the numbers of listed ends whether the server forgets them.

        A lifetime that lists an end while it refuses earlier calls lists all later
        ones, until this leader acknowledges them.
        """
        first = min((end.number for end in report.ended), default=None)
        if first is None or not server.fenced:
            return
        server.forgets_ends = False
        if server.began_in_term and first > server.acknowledged + 1:
            self._metrics.count(
                "ends_forgotten_unread", first - server.acknowledged - 1
            )
            logger.error(
                "ends_forgotten_unread",
                server=server.server_id,
                born=server.born,
                acknowledged=server.acknowledged,
                first_listed=first,
            )
            server.acknowledged = first - 1

    def _stop_late_starts(self, server: Server, listed: set[RunKey]) -> None:
        """Stop what may still be started late; what is `listed` has been started."""
        now = self._clock.monotonic()
        for key in sorted(server.expect_late_starts()):
            if key not in listed:
                self._stop_late_start(server, *key)
                continue
            server.late_starts.discard(key)
            if key in server.runs:
                server.runs[key].answered_at = now

    def mark_runs_lost(self, server: Server, cause: str) -> int:
        """Remove the runs of `server` that are known to be gone; return how many.

        Runs whose order was not answered stay, as the server may still carry it out;
        the order is repeated until that is known.  So do those of which an earlier
        order may still be carried out by the next lifetime.
        """
        now = self._clock.monotonic()
        gone = [
            run
            for run in server.runs.values()
            if run.answered_at is not None and not run.must_wait_for_late_start(now)
        ]
        self.mark_all_lost(gone, cause)
        return len(gone)

    def mark_lost(self, run: Run, cause: str) -> None:
        """Remove `run`, which does not exist and never will, and requeue its task."""
        self.mark_all_lost([run], cause)

    def mark_all_lost(self, runs: Sequence[Run], cause: str) -> None:
        """Remove runs that do not exist and never will, and requeue their tasks.

        The members that began with them cannot go on, and are stopped.
        """
        broken_gangs: dict[tuple[Step, int], Run] = {}
        for run in runs:
            if self._runs.remove(run.server, run.key) is None:
                continue
            with self._jobs.errors.contained(run.job_id, JobAction.REPORT):
                self._requeue_lost(run, cause)
            step = run.task.step
            if step.spec.gang and not step.complete:
                broken_gangs[step, run.number] = run
        for run in broken_gangs.values():
            self._stop_gang(run)

    def _requeue_lost(self, run: Run, cause: str) -> None:
        """Let the task of a run that is gone wait again, and count what is lost."""
        if not run.server.reachable:
            self._crashes.note_loss(run, cause)
        run.server.record_lost_start(run.key)
        self._count_discarded(run, run.stop_cause or "lost")
        self._requeue(run, cause)

    def _stop_gang(self, lost: Run) -> None:
        """Stop the members that started with `lost` and cannot go on without it."""
        for run in self._runs.gang_runs(lost.task.step):
            if run.number == lost.number and run.state is not RunState.STOPPING:
                run.stop_cause = run.stop_cause or "gang"
                self._stop(run)

    def _try_apply_running(self, server: Server, running: RunningTask) -> bool:
        """Apply a listed run; return False if it belongs to no known job.

        An error with its job ends here: the other runs of the report are applied.
        """
        job_id = running.task.partition(".")[0]
        with self._jobs.errors.contained(job_id, JobAction.REPORT):
            return self._apply_running(server, running)
        return True

    def _apply_running(self, server: Server, running: RunningTask) -> bool:
        """Apply a listed run; return whether its task belongs to a known job."""
        run = server.runs.get((running.task, running.run))
        if run is not None:
            _record_checkpoint(run.task, run.number, running.checkpoint)
            run.note_checkpoint(running.checkpoint, self._clock.monotonic())
            self._clear_suspicion(run)
            self._record_progress(run, running.percent)
            return True
        task = self._jobs.find_task(running.task)
        if task is None:
            self._stop_orphan(server, running.task, running.run)
            return False
        adopted = self._runs.adopt(task, server, running.run)
        adopted.state = RunState.RUNNING
        adopted.answered_at = self._clock.monotonic()
        _record_checkpoint(task, running.run, running.checkpoint)
        needed = adopted.is_latest and task.state is TaskState.PLACED
        if needed and not task.step.job.ended:
            logger.info(
                "run_adopted",
                task=running.task,
                run=running.run,
                server=server.server_id,
            )
            return True
        logger.info(
            "unexpected_run_listed",
            task=running.task,
            run=running.run,
            newest=task.run,
            server=server.server_id,
        )
        self._stop(adopted)
        return True

    def _clear_suspicion(self, run: Run) -> None:
        """Let others run beside a suspected run that has lived for long enough."""
        began_at = run.answered_at or run.placed_at
        proof_s = run.task.step.job.crashes.proof_s
        if self._clock.monotonic() - began_at > proof_s:
            run.server.suspects.pop(run.key, None)

    def _record_progress(self, run: Run, percent: float) -> None:
        """Record the progress of a run."""
        spec = run.task.step.spec
        if spec.long_running:
            return
        now = self._clock.monotonic()
        run.progress.record(percent, now)
        run.progress.sample(now, spec.duration_s)
        # A cold server is slow for now only.
        if not run.server.cold:
            with self._jobs.errors.contained(run.job_id, JobAction.LEARN):
                self.learner.record_progress(run, percent)

    def _stop_slow_runs(self, server: Server) -> None:
        """Stop runs that have stalled or crawl, so that they start on other servers."""
        now = self._clock.monotonic()
        for run in list(server.runs.values()):
            with self._jobs.errors.contained(run.job_id, JobAction.REPORT):
                self._stop_if_slow(server, run, now)

    def _stop_if_slow(self, server: Server, run: Run, now: float) -> None:
        """Stop a run, and its gang, if it has stalled or crawls."""
        step = run.task.step
        if run.state is not RunState.RUNNING or step.spec.long_running:
            return
        stalled = _should_restart(run, now)
        crawls = not step.spec.gang and run.progress.should_move(step.spec.duration_s)
        if not stalled and not crawls:
            return
        logger.warning(
            "run_stalled" if stalled else "run_too_slow",
            task=run.task.name,
            run=run.number,
            server=server.server_id,
            percent=run.progress.percent,
        )
        step.avoided_servers |= {server.server_id}
        run.stop_cause = "stalled" if stalled else "too_slow"
        if step.spec.gang:
            self._stop_gang(run)
            return
        if stalled:
            server.health.record_stall(now)
            self.learner.forget_server(server)
        self._stop(run)

    def _remove_unlisted(
        self, server: Server, listed: set[tuple[str, int]], asked_at: float
    ) -> None:
        """Remove the runs that a report shows to be gone.

        These are the runs that it does not list although the server answered their
        order before the report was requested.
        """
        gone = [
            run
            for key, run in server.runs.items()
            if key not in listed
            and run.answered_at is not None
            and run.answered_at < asked_at
        ]
        self.mark_all_lost(gone, "the server no longer lists the run")

    def _apply_end(self, server: Server, end: TaskEnd, run: Run | None) -> int:
        """Apply the end of `run`, None if it was not known.

        Return the position of the write it led to, or 0.
        """
        entry = self._jobs.entry_of(end.task)
        if entry is None:
            return 0
        task = entry.job.find_task(end.task)
        if task is None:
            # Its occurrence is complete, which may not be stored yet.
            return entry.write_position
        if entry.job.crashes.unwatch(end.task, server.lifetime):
            entry.job.mark_unsaved(end.task)
        if run is not None:
            self._log_end(server, run, end)
        if end.kind is EndKind.DONE:
            if run is not None and not server.cold:
                with self._jobs.errors.contained(run.job_id, JobAction.LEARN):
                    self.learner.record_end(run)
            position = self._finish(server, entry, task, end)
        else:
            _record_checkpoint(task, end.run, end.checkpoint)
            position = 0
            if end.kind is EndKind.FAILED:
                position = self._fail(server, entry, task, end)
            if run is not None:
                run.note_checkpoint(end.checkpoint, self._clock.monotonic())
                self._count_discarded(run, run.stop_cause or end.kind.value)
        if run is not None:
            self._requeue(run, end.kind.value)
        return position

    def _requeue(self, run: Run, cause: str) -> None:
        """Let the task of a removed run wait for a new start, if it needs one."""
        self._runs.requeue(run, cause)
        if run.task.state is TaskState.WAITING:
            self._place_soon(run.task.step)

    def _count_discarded(self, run: Run, cause: str) -> None:
        """Count the work that is lost with a run, unless nobody needs it any more."""
        if run.task.state is TaskState.PLACED and not run.task.step.job.ended:
            self._metrics.count(
                "work_discarded_core_seconds",
                run.unsaved_core_s(self._clock.monotonic()),
                cause=cause,
            )

    def _log_end(self, server: Server, run: Run, end: TaskEnd) -> None:
        seconds = self._clock.monotonic() - run.placed_at
        self._metrics.count("runs_ended", how=end.kind.value)
        self._metrics.observe("run", seconds)
        logger.info(
            "run_ended",
            task=end.task,
            run=end.run,
            server=server.server_id,
            how=end.kind.value,
            seconds=round(seconds, 3),
        )

    def _finish(self, server: Server, entry: JobEntry, task: Task, end: TaskEnd) -> int:
        """Record that a task is done, or its whole gang, and stop their other runs.

        The members that began with `end.run` end with it.  Return the position of the
        write that stores it.
        """
        server.health.record_success()
        had_ended = entry.job.ended
        if not entry.job.finish_task(task) or had_ended:
            return entry.write_position
        others = entry.runs.of_task(task)
        if task.step.spec.gang:
            members = entry.runs.of_step(task.step)
            others += [run for run in members if run.number != end.run]
        for run in others:
            self._stop(run)
        if entry.job.ended:
            logger.info("job_ended", job=entry.job.job_id, state=entry.job.state.value)
        elif task.step.complete:
            for step in entry.job.startable_steps():
                self._place_soon(step)
        return self._jobs.save(entry)

    def _fail(self, server: Server, entry: JobEntry, task: Task, end: TaskEnd) -> int:
        """Record that a run failed; stop all runs of the job if that ends it.

        Return the position of the write that stores it.
        """
        task.step.avoided_servers |= {server.server_id}
        had_ended = entry.job.ended
        if not entry.job.record_run_failure(task, end.run):
            return entry.write_position
        now = self._clock.monotonic()
        if server.health.record_failure(entry.job.job_id, now):
            logger.warning("server_suspended", server=server.server_id)
            self.learner.forget_server(server)
        if had_ended or task.step.spec.long_running:
            return entry.write_position
        if entry.job.ended:
            logger.info("job_ended", job=entry.job.job_id, state=entry.job.state.value)
            for run in list(entry.runs):
                self._stop(run)
        return self._jobs.save(entry)


def _record_checkpoint(task: Task, run: int, checkpoint: str) -> None:
    """Record what `run` of `task` has written, empty if it has written nothing."""
    task.step.attempts_of(task).record_checkpoint(run, checkpoint)


def _should_restart(run: Run, now: float) -> bool:
    """Return whether a run has stalled and is better started again.

    A gang that is far on and has no checkpoint would lose too much work.
    """
    step = run.task.step
    if not step.spec.gang:
        return run.progress.stalled(now, step.spec.duration_s)
    far_on = run.progress.percent >= GANG_KEEP_PERCENT and not step.checkpoint
    return not far_on and run.progress.stalled(now, step.spec.duration_s, GANG_STALL_S)
