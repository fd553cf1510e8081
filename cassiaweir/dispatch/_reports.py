"""Turns the reports of servers into what is known of runs, tasks and jobs."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_entry import (
    EndKind,
    RunningTask,
    ServerReport,
    TaskEnd,
)
from cassiaweir.dispatch._speed import GANG_LATE_PERCENT, GANG_STALL_S
from cassiaweir.jobs import Task, TaskState
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock


class ReportProcessor:
    """Applies reports.  `stop` is called for runs that must not go on.

    `stop_orphan` is called for a listed run that belongs to no open task.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        runs: RunRegistry,
        clock: Clock,
        metrics: Metrics,
        *,
        stop: Callable[[Run], None],
        stop_orphan: Callable[[Server, str, int], None],
    ) -> None:
        self._jobs = jobs
        self._runs = runs
        self._clock = clock
        self._metrics = metrics
        self._stop = stop
        self._stop_orphan = stop_orphan

    def apply(self, server: Server, report: ServerReport, asked_at: float) -> int:
        """Apply a report; return the place of the last write that it led to."""
        if report.born and server.born and report.born != server.born:
            # What went with the former lifetime is not listed and is lost below; an
            # order that was on its way may run in the new one.
            logger.warning("server_reborn", server=server.server_id)
            server.begin_lifetime(report.born)
        elif report.born:
            server.born = report.born
        server.update_from_report(report, self._clock.monotonic())
        place = 0
        for end in report.ended:
            if end.number > server.acknowledged:
                place = max(place, self._apply_end(server, end))
        listed = {(running.task, running.run) for running in report.running}
        server.orphan_runs = frozenset(
            (running.task, running.run)
            for running in report.running
            if not self._apply_running(server, running)
        )
        self._remove_unlisted(server, listed, asked_at)
        self._look_for_stalls(server)
        return place

    def mark_runs_lost(self, server: Server, cause: str) -> None:
        """Note that nothing of what `server` was known to run goes on.

        Runs with an unanswered order stay, as it may yet be carried out; the order is
        repeated until that is known.
        """
        for run in list(server.runs.values()):
            if run.answered_at is not None:
                self.mark_lost(run, cause)

    def mark_lost(self, run: Run, cause: str) -> None:
        """Note that `run` does not exist and never will."""
        if self._runs.remove(run.server, run.key) is not None:
            self._lose(run, cause)

    def _lose(self, run: Run, cause: str) -> None:
        self._runs.requeue(run, cause)
        if run.task.step.spec.gang and not run.task.step.complete:
            self._stop_gang(run)

    def _stop_gang(self, lost: Run) -> None:
        """Stop the members that wait in vain for a lost one."""
        for run in self._runs.gang_runs(lost.task.step):
            if run.number == lost.number and run.state is not RunState.STOPPING:
                self._stop(run)

    def _apply_running(self, server: Server, running: RunningTask) -> bool:
        """Apply a listed run; tell whether it belongs to a job that is known."""
        run = server.runs.get((running.task, running.run))
        if run is not None:
            run.task.step.record_checkpoint(run.task, running.checkpoint)
            self._note_progress(run, running.percent)
            return True
        task = self._jobs.find_task(running.task)
        if task is None:
            self._stop_orphan(server, running.task, running.run)
            return False
        adopted = self._runs.adopt(task, server, running.run)
        adopted.state = RunState.RUNNING
        adopted.answered_at = self._clock.monotonic()
        task.step.record_checkpoint(task, running.checkpoint)
        wanted = adopted.is_latest and task.state is TaskState.PLACED
        if wanted and not task.step.job.ended:
            logger.info(
                "run_adopted",
                task=running.task,
                run=running.run,
                server=server.server_id,
            )
            return True
        self._stop(adopted)
        return True

    def _note_progress(self, run: Run, percent: float) -> None:
        spec = run.task.step.spec
        if spec.long_running:
            return
        now = self._clock.monotonic()
        run.progress.record(percent, now)
        sample = run.progress.sample(now, spec.duration_s)
        # The members of a gang work at the pace of the slowest.
        if sample is not None and not spec.gang:
            run.server.speed.record(sample)

    def _look_for_stalls(self, server: Server) -> None:
        """Stop runs that stand still or crawl, to start them elsewhere."""
        now = self._clock.monotonic()
        for run in list(server.runs.values()):
            step = run.task.step
            if run.state is not RunState.RUNNING or step.spec.long_running:
                continue
            stalled = _stands_still(run, now)
            crawls = not step.spec.gang and run.progress.should_move(
                step.spec.duration_s
            )
            if not stalled and not crawls:
                continue
            logger.warning(
                "run_stalled" if stalled else "run_crawls",
                task=run.task.name,
                run=run.number,
                server=server.server_id,
                percent=run.progress.percent,
            )
            step.avoided_servers.add(server.server_id)
            if step.spec.gang:
                self._stop_gang(run)
                continue
            if stalled:
                server.health.record_stall(now)
            self._stop(run)

    def _remove_unlisted(
        self, server: Server, listed: set[tuple[str, int]], asked_at: float
    ) -> None:
        """Remove runs that were known before the report was asked for and are gone."""
        for key, run in list(server.runs.items()):
            settled = run.answered_at is not None and run.answered_at < asked_at
            if key not in listed and settled:
                self.mark_lost(run, "the server no longer lists the run")

    def _apply_end(self, server: Server, end: TaskEnd) -> int:
        """Apply an end; return the place of the write that it led to, or 0."""
        run = self._runs.remove(server, (end.task, end.run))
        task = self._jobs.find_task(end.task)
        if task is None:
            return 0
        entry = self._jobs.entries[task.step.job.job_id]
        if run is not None:
            self._log_end(server, run, end)
        if end.kind is EndKind.DONE:
            return self._finish(server, entry, task)
        task.step.record_checkpoint(task, end.checkpoint)
        place = 0
        if end.kind is EndKind.FAILED:
            place = self._fail(server, entry, task, end)
        if run is not None:
            self._runs.requeue(run, end.kind.value)
        return place

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

    def _finish(self, server: Server, entry: JobEntry, task: Task) -> int:
        server.health.record_success()
        if not entry.job.finish_task(task):
            return entry.write_position
        for run in list(entry.runs):
            if run.task is task:
                self._stop(run)
        if entry.job.ended:
            logger.info("job_ended", job=entry.job.job_id, state=entry.job.state.value)
        return self._jobs.save(entry)

    def _fail(self, server: Server, entry: JobEntry, task: Task, end: TaskEnd) -> int:
        task.step.avoided_servers.add(server.server_id)
        if not entry.job.record_run_failure(task, end.run):
            return entry.write_position
        now = self._clock.monotonic()
        if server.health.record_failure(entry.job.job_id, now):
            logger.warning("server_suspended", server=server.server_id)
        if entry.job.ended:
            logger.info("job_ended", job=entry.job.job_id, state=entry.job.state.value)
            for run in list(entry.runs):
                self._stop(run)
        return self._jobs.save(entry)


def _stands_still(run: Run, now: float) -> bool:
    """Tell whether a run stands still and is better started again."""
    step = run.task.step
    if not step.spec.gang:
        return run.progress.stalled(now, step.spec.duration_s)
    far = run.progress.percent >= GANG_LATE_PERCENT and not step.checkpoint
    return not far and run.progress.stalled(now, step.spec.duration_s, GANG_STALL_S)
