"""Opens the due occurrences of recurring jobs as earlier ones make way.

A caller may submit a job of which any number of occurrences are overdue.  What is open
at a time follows from what can run: an occurrence is opened when its tasks are likely
to be next, and those behind it are known by their numbers only.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cassiaweir.dispatch._job_errors import JobAction
from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.jobs import Job
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock

MAX_WAITING_TASKS = 512
"""Tasks of all recurring jobs that wait for a server before more are opened."""

MAX_WAITING_TASKS_PER_JOB = 64
"""Occurrences are opened ten times a second, so this many starts ten times a second."""

MAX_OPEN_STEPS = 5_000
"""Steps of recurring jobs that are open; beyond it each job has one occurrence."""


class OccurrenceOpener:
    """Opens occurrences of the jobs in a registry, those of each job in their order."""

    def __init__(self, jobs: JobRegistry, clock: Clock, metrics: Metrics) -> None:
        self._jobs = jobs
        self._clock = clock
        self._metrics = metrics

    def open_due(self) -> None:
        """Open due occurrences, as far as there is room for their tasks."""
        wall = self._clock.now().timestamp()
        recurring = [each for each in self._jobs.open_jobs() if each.job.spec.times]
        due: list[JobEntry] = []
        open_steps = sum(len(each.job.steps) for each in recurring)

        def find(entry: JobEntry) -> None:
            if _has_due(entry.job, wall):
                due.append(entry)

        def open_steps_of(entry: JobEntry) -> None:
            nonlocal open_steps
            open_steps += self._open(entry.job, wall, _allowance(due), open_steps)

        self._visit(recurring, find)
        self._visit(due, open_steps_of)
        self._metrics.set("occurrences_overdue", self._count_overdue(due, wall))

    def _visit(
        self, entries: Sequence[JobEntry], visit: Callable[[JobEntry], None]
    ) -> None:
        """Call `visit` for each job; an error with one keeps no other back."""
        self._jobs.errors.visit_each(
            JobAction.OCCURRENCES, entries, lambda entry: entry.job.job_id, visit
        )

    def _open(self, job: Job, wall: float, allowance: int, open_steps: int) -> int:
        """Open occurrences of one job; return the number of steps that are new."""
        opened = 0
        waiting = _waiting_tasks(job)
        while _has_due(job, wall):
            full = open_steps + opened + len(job.spec.steps) > MAX_OPEN_STEPS
            if job.open_occurrence_count and (full or waiting >= allowance):
                break
            steps = job.open_occurrence()
            opened += len(steps)
            waiting += sum(len(step.tasks) for step in steps if job.may_start(step))
        return opened

    def _count_overdue(self, due: Sequence[JobEntry], wall: float) -> int:
        overdue: list[int] = []
        self._visit(due, lambda each: overdue.append(each.job.count_overdue(wall)))
        return sum(overdue)


def _allowance(due: Sequence[JobEntry]) -> int:
    """Return how many tasks of each of the `due` jobs may wait for a server."""
    share = MAX_WAITING_TASKS // max(len(due), 1)
    return max(1, min(share, MAX_WAITING_TASKS_PER_JOB))


def _has_due(job: Job, wall: float) -> bool:
    return job.has_more_occurrences and job.next_due_at <= wall


def _waiting_tasks(job: Job) -> int:
    """Return how many tasks of a job only wait for a server."""
    return sum(step.waiting_count for step in job.startable_steps())
