"""All jobs that the leader knows, and what is stored of them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch._job_rows import PROGRESS_PREFIX, outcome_key, own_key
from cassiaweir.dispatch._objective import Objective, objective_of
from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._shares import ShareMeter
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.jobs import (
    Job,
    JobSpec,
    JobState,
    Task,
    apply_progress,
    encode_outcome,
    encode_progress,
)
from cassiaweir.queues import Customer, Queue, QueueConfiguration
from cassiaweir.types import Clock, Row, Write


class RowWriter(Protocol):
    """Stores rows in the order in which they are put."""

    def put(self, write: Write) -> int:
        """Queue a write and return its place in the order."""

    def is_stored(self, place: int) -> bool:
        """Tell whether everything up to `place` is stored."""


class ConfigurationSource(Protocol):
    """Tells the configuration in force."""

    def current(self) -> QueueConfiguration:
        """Return the newest configuration that is known."""


@dataclass(slots=True, eq=False)
class JobEntry:
    """A job that has not ended, or still has runs.

    `held` keeps its tasks from starting while a former leader may have started them.
    """

    job: Job
    objective: Objective
    over_share: bool
    held: bool = False
    runs: set[Run] = field(default_factory=set)
    write_position: int = 0
    progress_stored: bool = False


class JobRegistry:
    """Takes jobs and cancellations from rows and writes progress and outcomes back."""

    def __init__(
        self,
        writer: RowWriter,
        clock: Clock,
        configuration: ConfigurationSource,
        progress: Mapping[str, bytes],
        outcomes: Mapping[str, JobState],
    ) -> None:
        self.entries: dict[str, JobEntry] = {}
        self.capacity_millis = 0
        self._writer = writer
        self._clock = clock
        self._configuration = configuration
        self._progress = dict(progress)
        self._outcomes = dict(outcomes)
        self._shares = ShareMeter()

    def queue_of(self, job: Job) -> Queue:
        """Return the job's queue as configured now, or as it was at submission."""
        kept = job.spec.queue
        return self._configuration.current().queue_named(kept.name) or kept

    def customer_of(self, job: Job) -> Customer | None:
        """Return the job's customer as configured now."""
        return self._configuration.current().customers.get(job.spec.customer)

    def take_row(self, row: Row, *, held: bool) -> JobEntry | None:
        """Take the row of a job; return the job where it is new and has not ended."""
        own = own_key(row.key)
        if own in self.entries or own in self._outcomes:
            return None
        try:
            spec = JobSpec.decode(row.value)
        except InvalidInputError as exc:
            logger.error("job_unreadable", job=own, cause=str(exc))
            return None
        return self._open(spec, row.version, held=held)

    def find_task(self, name: str) -> Task | None:
        """Return the task called `name`, None where no open job has it."""
        entry = self.entries.get(name.partition(".")[0])
        return entry.job.find_task(name) if entry is not None else None

    def state(self, job_id: str) -> JobState | None:
        """Return what may be shown of a job; an end only once it is stored."""
        entry = self.entries.get(job_id)
        if entry is None:
            return self._outcomes.get(job_id)
        state = entry.job.state
        if not state.final or self._writer.is_stored(entry.write_position):
            return state
        return JobState.RUNNING if entry.job.started else JobState.QUEUED

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of `queue` have not begun."""
        return sum(
            entry.job.spec.queue.name == queue and not entry.job.started
            for entry in self.entries.values()
            if not entry.job.ended
        )

    def open_jobs(self) -> Iterator[JobEntry]:
        """Yield the jobs that have not ended."""
        return (each for each in self.entries.values() if not each.job.ended)

    def cancel(self, job_id: str) -> JobEntry | None:
        """End a job because its caller asked for that; return it if it was open."""
        entry = self.entries.get(job_id)
        if entry is None or entry.job.ended:
            return None
        entry.job.state = JobState.CANCELLED
        self.save(entry)
        return entry

    def save(self, entry: JobEntry) -> int:
        """Queue what has changed of a job to be stored; return the write's place."""
        job = entry.job
        key = f"{PROGRESS_PREFIX}{job.job_id}"
        if not job.ended:
            entry.progress_stored = True
            entry.write_position = self._writer.put(Write(key, encode_progress(job)))
            return entry.write_position
        # The outcome comes first, as a job without progress would be run again.
        outcome = Write(outcome_key(job.job_id), encode_outcome(job))
        entry.write_position = self._writer.put(outcome)
        if entry.progress_stored:
            self._writer.put(Write(key, None))
        return entry.write_position

    def has_outcome(self, job_id: str) -> bool:
        """Tell whether a job has ended with a stored outcome and has no runs."""
        return job_id in self._outcomes

    def drop_settled(self) -> list[Job]:
        """Forget all but the outcome of jobs that have ended and have no runs.

        Returns these jobs.
        """
        dropped = []
        for job_id, entry in list(self.entries.items()):
            settled = entry.job.ended and not entry.runs
            if settled and self._writer.is_stored(entry.write_position):
                self._outcomes[job_id] = entry.job.state
                del self.entries[job_id]
                dropped.append(entry.job)
        return dropped

    def _open(self, spec: JobSpec, version: int, *, held: bool) -> JobEntry:
        job = Job(spec, version, spec.queue.most_failures)
        progress = self._progress.pop(spec.job_id, None)
        if progress is not None:
            self._apply(job, progress)
        now = self._clock.monotonic()
        age_s = self._clock.now().timestamp() - spec.submitted_at
        objective = objective_of(
            spec, self.queue_of(job), self.capacity_millis, now - age_s
        )
        customer = self.customer_of(job)
        weight = customer.weight if customer is not None else 1.0
        over = self._shares.record_submission(spec.customer, weight, spec.submitted_at)
        entry = JobEntry(job, objective, over, held)
        entry.progress_stored = progress is not None
        self.entries[spec.job_id] = entry
        return entry

    def _apply(self, job: Job, progress: bytes) -> None:
        try:
            apply_progress(job, progress)
        except InvalidInputError as exc:
            logger.error("progress_unreadable", job=job.job_id, cause=str(exc))
