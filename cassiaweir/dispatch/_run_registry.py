"""Creates and removes the runs of a leader's term and counts what they take."""

from __future__ import annotations

from loguru import logger

from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.dispatch._job_times import URGENT_PRIORITY
from cassiaweir.dispatch._number_checks import ends_may_be_unread
from cassiaweir.dispatch._runs import Run, RunKey
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.jobs import Isolation, Step, Task, TaskState
from cassiaweir.types import Clock

RUNS_PER_TERM = 1 << 20
"""Run numbers set aside for each leader's term.

The numbers of a term start above all that earlier leaders can have used, so that
servers tell the newer run of a task from an older one.  A task that is started ten
times a second uses as many in 29 hours.
"""


class RunRegistry:
    """Creates and removes runs, counting them by server, customer and job.

    Run numbers are at least those of the term with this number.
    """

    def __init__(
        self, jobs: JobRegistry, usage: CustomerUsage, clock: Clock, term: int
    ) -> None:
        self._jobs = jobs
        self._usage = usage
        self._clock = clock
        self._lowest_run = (term - 1) * RUNS_PER_TERM

    def next_number(self, task: Task) -> int:
        """Return the number of the next run of `task`, which is in no gang."""
        return max(self._lowest_run, task.run) + 1

    def next_gang_number(self, step: Step) -> int:
        """Return the number of the next run of a gang, which its members share."""
        newest = max((member.run for member in step.tasks.known()), default=0)
        return max(self._lowest_run, newest) + 1

    def place(
        self,
        task: Task,
        server: Server,
        number: int,
        ticket: str = "",
        isolation: Isolation = Isolation.NONE,
    ) -> Run:
        """Create and count a run whose start order is about to be sent."""
        entry, run = self._new_run(task, server, number, ticket)
        run.isolation = isolation
        run.resumed_checkpoint = task.step.checkpoint_of(task)
        run.from_start = not run.resumed_checkpoint
        unread = bool(isolation) or ends_may_be_unread(task.step)
        run.checks_numbers = server.forgets_ends and not unread
        run.urgent = self._jobs.queue_of(entry.job).priority == URGENT_PRIORITY
        entry.last_start_at = run.placed_at
        task.run = number
        task.state = TaskState.PLACED
        entry.job.mark_started()
        self._count(entry, run)
        return run

    def adopt(self, task: Task, server: Server, number: int) -> Run:
        """Create and count a run that a former leader started and a server lists."""
        entry, run = self._new_run(task, server, number)
        run.sent_at = run.placed_at
        run.isolation = entry.job.crashes.isolation([task.name])
        if task.state is TaskState.WAITING:
            task.run = max(task.run, number)
            task.state = TaskState.PLACED
            entry.job.mark_started()
        self._count(entry, run)
        return run

    def remove(self, server: Server, key: RunKey) -> Run | None:
        """Stop counting a run; return it, or None if it was not counted."""
        run = server.remove(key)
        if run is None:
            return None
        self._usage.remove(run.customer, run.demand)
        entry = self._jobs.entries.get(run.task.step.job.job_id)
        if entry is not None:
            entry.runs.discard(run)
        return run

    def requeue(self, run: Run, cause: str) -> None:
        """Let the task of a removed run wait for a new start.

        Nothing happens if a newer run of the task exists.  The newest run may have
        ended before an older one was adopted.
        """
        if run.task.state is not TaskState.PLACED:
            return
        if run.is_latest or not self._has_runs(run.task):
            run.task.step.job.mark_waiting(run.task)
            logger.info(
                "task_requeued",
                task=run.task.name,
                run=run.number,
                server=run.server.server_id,
                cause=cause,
            )

    def _has_runs(self, task: Task) -> bool:
        entry = self._jobs.entries.get(task.step.job.job_id)
        return entry is not None and bool(entry.runs.of_task(task))

    def gang_runs(self, step: Step) -> list[Run]:
        """Return the counted runs of `step`."""
        entry = self._jobs.entries.get(step.job.job_id)
        return [] if entry is None else entry.runs.of_step(step)

    def _new_run(
        self, task: Task, server: Server, number: int, ticket: str = ""
    ) -> tuple[JobEntry, Run]:
        """Return the entry of the task's job and a new run that is not counted yet."""
        entry = self._jobs.entries[task.step.job.job_id]
        run = Run(
            task=task,
            number=number,
            server=server,
            demand=task.step.demand,
            customer=entry.job.spec.customer,
            placed_at=self._clock.monotonic(),
            ticket=ticket,
            born=server.born,
        )
        return entry, run

    def _count(self, entry: JobEntry, run: Run) -> None:
        """Count a run for its server, its customer and its job."""
        run.server.add(run)
        self._usage.add(run.customer, run.demand)
        entry.runs.add(run)
