"""Finds out which tasks crash their servers, and gives their jobs up."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from contextlib import AbstractContextManager
from datetime import timedelta
from math import isfinite

from loguru import logger

from cassiaweir.dispatch._job_errors import JobAction
from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.dispatch._lost_lifetimes import (
    Fate,
    FateFinder,
    LostLifetime,
    remaining_lease_s,
)
from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._server import Server, lifetime_name
from cassiaweir.jobs import Crash, CrashHistory, Isolation, Job, Task
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock

SAME_MOMENT_S = 1.5
"""Servers whose last reports are closer than this may have been lost at one moment."""

WIDESPREAD_SERVERS = 2
"""Servers without runs of a job, lost together with one that had some."""

LOSSES_TO_WAIT = 3
"""A task that was lost this often waits until its last loss is explained."""

MAX_RESOLUTION_S = 15.0
"""A task whose limit depends on an unresolved loss waits for this long."""

REMEMBERED_S = 60.0
"""Time for which an ended lifetime is compared with others."""

REPORT_GAP_S = 1.0
"""A run may be older by this when its server ends than at the last report."""


class CrashTracker:
    """Ties the ends of servers' lifetimes to the tasks that were running there.

    A crash needs proof that the lifetime ended while the run was there: another one
    reports, or answers at the server's address, while the leases given to the former
    one are in force.  Without it the run may have ended with its lease, on a server
    that was only cut off: that is a loss, which keeps the task apart from others and
    bounds how often it is started, but fails no job.  A report of the same lifetime
    dismisses a loss.  `stop` is called for each run of a job that is given up.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        servers: Mapping[str, Server],
        clock: Clock,
        metrics: Metrics,
        *,
        store_reachable: Callable[[], bool],
        is_stored: Callable[[int], bool],
        entries_age: Callable[[], timedelta],
        stop: Callable[[Run], None],
    ) -> None:
        self._jobs = jobs
        self._servers = servers
        self._clock = clock
        self._metrics = metrics
        self._store_reachable = store_reachable
        self._is_stored = is_stored
        self._fates = FateFinder(servers, entries_age)
        self._stop = stop
        self._lost: dict[str, LostLifetime] = {}

    def restore(self, job: Job) -> None:
        """Take over a job, with the losses that a former leader has stored."""
        job.crashes.taken_over = True
        now = self._clock.monotonic()
        wall = self._clock.now().timestamp()
        for name in list(job.crashes.losses):
            server_id, _, born = name.rpartition("@")
            if not born.isdigit():
                logger.error("lifetime_unreadable", job=job.job_id, lifetime=name)
                job.crashes.dismiss(name)
                continue
            lost = self._lost.get(name)
            if lost is None:
                lost = LostLifetime(
                    server_id, "", int(born), float("-inf"), now, isolated=False
                )
                self._lost[name] = lost
            lost.jobs.add(job.job_id)
            left_s = remaining_lease_s(job.crashes.lease_until(name), wall)
            if left_s:
                lost.in_force_until = max(lost.in_force_until, now + left_s)

    def note_replaced(self, server_ids: Collection[str]) -> None:
        """Note that other lifetimes answer at the addresses of these servers."""
        for lost in self._lost.values():
            lost.replaced |= lost.server_id in server_ids

    def note_lifetime_end(self, server: Server) -> None:
        """Note that a lifetime of a server has ended, with all of its runs.

        One that ran nothing shows that jobs elsewhere are not to blame for the end of
        others at that moment, whichever server reports first.
        """
        if not server.runs and server.has_reported and not server.is_draining:
            self._lost_lifetime(server).isolated = False
        in_force = server.leases.in_force(self._clock.monotonic())
        for run in server.runs.values():
            self.note_loss(run, "another lifetime")
            if in_force and _has_begun(run):
                self._lost_lifetime(server).present.add(run.job_id)

    def note_loss(self, run: Run, cause: str) -> None:
        """Note that a run was lost with its server, which may have crashed.

        `cause` says for the log how that is known.
        """
        with self._jobs.errors.contained(run.job_id, JobAction.LOSS):
            self._note_loss(run, cause)

    def _note_loss(self, run: Run, cause: str) -> None:
        server = run.server
        if run.sent_at is None or run.born != server.born:
            return
        lost = self._lost_lifetime(server)
        lost.draining |= server.is_draining
        lost.jobs.add(run.job_id)
        lost.isolated &= run.isolation is Isolation.ALONE
        entry = self._jobs.entries.get(run.job_id)
        if entry is None or entry.job.ended or lost.draining:
            return
        age_s = max(server.reported_at - run.placed_at, 0.0) + REPORT_GAP_S
        entry.job.crashes.record_age(age_s)
        crash = self._judge(lost, run.job_id)
        if entry.job.crashes.add_loss(run.task.name, server.lifetime, crash):
            self._log_loss(run, cause)
            entry.job.mark_unsaved(run.task.name)
            self._jobs.save(entry)

    def _log_loss(self, run: Run, cause: str) -> None:
        now = self._clock.monotonic()
        logger.info(
            "run_lost_with_server",
            task=run.task.name,
            run=run.number,
            server=run.server.server_id,
            born=run.born,
            cause=cause,
            answered=run.answered_at is not None,
            since_start_ms=round((now - (run.sent_at or now)) * 1_000),
            since_report_ms=round((now - run.server.reported_at) * 1_000),
            lease_expired=run.server.leases_expired(now),
            lease_in_force=run.server.leases.in_force(now),
        )

    def _log_withheld(self, history: CrashHistory, task: str) -> None:
        """Log it if a task is withheld from now on."""
        if not history.withholds(task):
            return
        self._metrics.count("tasks_withheld")
        logger.warning(
            "task_withheld",
            task=task,
            losses=history.count(task),
            crashes=len(history.confirmed(task)),
        )

    def _lost_lifetime(self, server: Server) -> LostLifetime:
        """Return what is known of the end or loss of a server's present lifetime."""
        lost = self._lost.get(server.lifetime)
        if lost is None or lost.resolved:
            lost = LostLifetime(
                server.server_id,
                server.entry.address,
                server.born,
                server.reported_at,
                self._clock.monotonic(),
            )
            self._lost[server.lifetime] = lost
        return lost

    def resolve(self) -> None:
        """Confirm or dismiss the losses of which the cause is known by now."""
        now = self._clock.monotonic()
        for name, lost in list(self._lost.items()):
            old = now - lost.noted_at > REMEMBERED_S
            if old and (lost.resolved or not self._is_needed(name, lost)):
                del self._lost[name]
            elif not lost.resolved:
                self._resolve(name, lost, self._fates.find(lost, now))

    def _is_needed(self, name: str, lost: LostLifetime) -> bool:
        """Return whether a loss counts for a job that has not ended."""
        entries = (self._jobs.entries.get(job_id) for job_id in lost.jobs)
        return any(
            entry is not None and not entry.job.ended and name in entry.job.crashes
            for entry in entries
        )

    def _resolve(self, name: str, lost: LostLifetime, fate: Fate) -> None:
        gone = fate in (Fate.CRASHED, Fate.ENDED, Fate.ABSENT)
        if (gone and lost.draining) or fate in (Fate.GOES_ON, Fate.FORGOTTEN):
            lost.resolved = True
            self._dismiss(name, lost, fate)
            if fate is Fate.FORGOTTEN:
                self._keep_others(lost)
        elif fate is Fate.CRASHED:
            lost.resolved = True
            self._confirm(name, lost)
        elif gone:
            self._mark_over(name, lost, fate)

    def _keep_others(self, forgotten: LostLifetime) -> None:
        """Keep other losses of the same jobs for longer, so that few starts follow."""
        now = self._clock.monotonic()
        for lost in self._lost.values():
            if not lost.resolved and lost.jobs & forgotten.jobs:
                lost.noted_at = now

    def may_start(self, entry: JobEntry, task: Task) -> bool:
        """Return whether a task may be started, as far as crashes are concerned.

        A suspected task waits until its crashes are stored, and before its last starts
        until it is known whether its last server crashed.  At the limit it waits until
        a loss is dismissed.
        """
        history = entry.job.crashes
        if not history.isolation([task.name]):
            return True
        if not self._store_reachable():
            return False
        if history.confirmed(task.name) and not self._is_stored(entry.write_position):
            return False
        if history.withholds(task.name):
            return False
        if history.count(task.name) < LOSSES_TO_WAIT:
            return True
        now = self._clock.monotonic()
        recent = (
            self._lost[each]
            for each in history.open_losses(task.name)
            if each in self._lost
        )
        return all(now - lost.noted_at > MAX_RESOLUTION_S for lost in recent)

    def _confirm(self, name: str, lost: LostLifetime) -> None:
        for entry in self._entries_of(lost):
            with self._contained(entry):
                if entry.job.job_id in lost.present:
                    self._confirm_for(entry, name, lost)
                else:
                    self._mark_over_for(entry, name, lost, Fate.ENDED)

    def _entries_of(self, lost: LostLifetime) -> list[JobEntry]:
        """Return the jobs with runs in a lost lifetime, as far as they are known."""
        found = (self._jobs.entries.get(job_id) for job_id in sorted(lost.jobs))
        return [entry for entry in found if entry is not None]

    def _contained(self, entry: JobEntry) -> AbstractContextManager[None]:
        """Return a context in which an error with one job ends there."""
        return self._jobs.errors.contained(entry.job.job_id, JobAction.LOSS)

    def _confirm_for(self, entry: JobEntry, name: str, lost: LostLifetime) -> None:
        crash = self._judge(lost, entry.job.job_id)
        tasks = entry.job.crashes.confirm(name, crash)
        for task in tasks:
            entry.job.mark_unsaved(task)
            self._metrics.count("task_crashes")
            self._avoid(task, lost)
            logger.warning(
                "server_crashed_under_task",
                task=task,
                server=lost.server_id,
                born=lost.born,
                alone=crash.alone,
                widespread=crash.widespread,
                crashes=len(entry.job.crashes.confirmed(task)),
            )
        if tasks and not entry.job.ended:
            self._give_up(entry, tasks)
            self._jobs.save(entry)

    def _avoid(self, name: str, lost: LostLifetime) -> None:
        """Prefer other servers for a task: one that crashes again may be to blame."""
        task = self._jobs.find_task(name)
        if task is not None:
            task.step.avoided_servers |= {lost.server_id, lost.address}

    def _give_up(self, entry: JobEntry, tasks: list[str]) -> None:
        """Fail a job if one of `tasks` crashes its servers; log those withheld."""
        for task in tasks:
            if not entry.job.fail_if_crashing(task):
                continue
            self._metrics.count("jobs_failed", cause="crashes")
            logger.warning(
                "job_ended",
                job=entry.job.job_id,
                state=entry.job.state.value,
                cause="crashes",
                task=task,
                crashes=len(entry.job.crashes.confirmed(task)),
            )
            for run in list(entry.runs):
                self._stop(run)
            return
        for task in tasks:
            self._log_withheld(entry.job.crashes, task)

    def _mark_over(self, name: str, lost: LostLifetime, fate: Fate) -> None:
        """Note that a lost lifetime is not expected back; it may still be dismissed."""
        for entry in self._entries_of(lost):
            with self._contained(entry):
                self._mark_over_for(entry, name, lost, fate)

    def _mark_over_for(
        self, entry: JobEntry, name: str, lost: LostLifetime, fate: Fate
    ) -> None:
        tasks = entry.job.crashes.mark_over(name)
        if not tasks:
            return
        for task in tasks:
            entry.job.mark_unsaved(task)
        logger.info(
            "loss_unexplained",
            job=entry.job.job_id,
            server=lost.server_id,
            born=lost.born,
            cause=fate.name.lower(),
            tasks=len(tasks),
        )
        if not entry.job.ended:
            self._give_up(entry, tasks)
            self._jobs.save(entry)

    def _dismiss(self, name: str, lost: LostLifetime, fate: Fate) -> None:
        for entry in self._entries_of(lost):
            with self._contained(entry):
                self._dismiss_for(entry, name, lost, fate)

    def _dismiss_for(
        self, entry: JobEntry, name: str, lost: LostLifetime, fate: Fate
    ) -> None:
        tasks = entry.job.crashes.dismiss(name)
        if not tasks:
            return
        for task in tasks:
            entry.job.mark_unsaved(task)
        logger.info(
            "loss_was_no_crash",
            job=entry.job.job_id,
            server=lost.server_id,
            born=lost.born,
            draining=lost.draining,
            forgotten=fate is Fate.FORGOTTEN,
        )
        if not entry.job.ended:
            self._jobs.save(entry)

    def _judge(self, lost: LostLifetime, job_id: str) -> Crash:
        """Return what the end of a lifetime says about a job that had runs there."""
        others = self._count_lost_without(lost, job_id)
        return Crash(
            alone=lost.jobs == {job_id} and others == 0 and isfinite(lost.seen_at),
            widespread=others >= WIDESPREAD_SERVERS,
        )

    def _count_lost_without(self, lost: LostLifetime, job_id: str) -> int:
        """Return how many servers without runs of a job were lost at that moment.

        Servers that a suspected job had for itself don't count, as it explains them.
        """
        known = sum(
            other is not lost
            and abs(other.seen_at - lost.seen_at) <= SAME_MOMENT_S
            and job_id not in other.jobs
            and not other.isolated
            for other in self._lost.values()
        )
        unreachable = sum(
            not server.reachable
            and server.lifetime not in self._lost
            and abs(server.reported_at - lost.seen_at) <= SAME_MOMENT_S
            and not server.isolated_job
            and all(run.job_id != job_id for run in server.runs.values())
            for server in self._servers.values()
        )
        return known + unreachable


def _has_begun(run: Run) -> bool:
    """Return whether the server has answered that a run began, or listed it."""
    return run.answered_at is not None


def lifetime_of(run: Run) -> str:
    """Return the name of the lifetime in which a run is to be started."""
    return lifetime_name(run.server.server_id, run.born)
