"""The jobs that the leader knows, with their stored progress and outcomes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch._customer_terms import ConfigurationSource, CustomerTerms
from cassiaweir.dispatch._job_errors import JobAction, JobErrors
from cassiaweir.dispatch._job_rows import (
    SHRUNK_VALUE,
    outcome_key,
    progress_key,
    row_name,
)
from cassiaweir.dispatch._job_runs import JobRuns
from cassiaweir.dispatch._job_times import (
    NOTICEABLE_CHANGE,
    URGENT_PRIORITY,
    JobTimes,
    WorkModels,
    refresh_times,
)
from cassiaweir.dispatch._objective import Objective, objective_of
from cassiaweir.dispatch._shares import ShareAllowance, ShareMeter
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.jobs import (
    MAIN_CHUNK,
    ChunkKey,
    Job,
    JobSpec,
    JobState,
    Step,
    Task,
    apply_progress,
    encode_chunk,
    encode_outcome,
)
from cassiaweir.queues import Customer, Queue
from cassiaweir.types import Clock, Row, Write


class RowWriter(Protocol):
    """Stores queued rows."""

    def put(self, write: Write, *, urgent: bool = False) -> int:
        """Queue a write and return its position in the order of writes.

        Urgent writes are those that starts or callers of urgent jobs wait for; they are
        stored before others.
        """

    def is_stored(self, position: int) -> bool:
        """Return whether the write at `position` and those before it are stored."""

    def is_row_stored(self, position: int) -> bool:
        """Return whether the write at `position` is stored, whatever is before it."""


@dataclass(frozen=True, slots=True)
class _ObsoleteRow:
    """A row to be deleted once the writes up to `position` are stored."""

    key: str
    position: int


@dataclass(slots=True, eq=False)
class JobEntry:
    """A job that is not finished: it is open, has runs, or its end is not yet stored.

    `over_share` means that it was submitted beyond its customer's share.  If `held`, it
    was stored before the takeover, so that a former leader may have started its tasks.
    `write_position` is the position of its newest write; `stored_chunks` are those of
    which a progress row is stored or queued.  `submitted_at` and `last_start_at`, when
    a task of it was last started, are on the leader's clock.  `waiting_since` is when
    the job had a waiting step again after a round without one, `seen_in_round` the last
    round in which it had one, and `turn_at` when it was last taken out of turn.
    `times` are the expected durations, None before the job was first ranked.
    `fleet_cpu_millis` is the CPU capacity by which its objective was set.  Nothing of
    it is started before `withheld_until`, as an end of one of its tasks could not be
    applied.  `outcome_queued` means that its final state is stored or queued.
    """

    job: Job
    objective: Objective
    over_share: bool
    held: bool = False
    runs: JobRuns = field(default_factory=JobRuns)
    write_position: int = 0
    stored_chunks: set[ChunkKey] = field(default_factory=set)
    submitted_at: float = 0.0
    last_start_at: float = 0.0
    waiting_since: float = 0.0
    seen_in_round: int = -1
    turn_at: float = 0.0
    times: JobTimes | None = None
    fleet_cpu_millis: int = 0
    withheld_until: float = 0.0
    outcome_queued: bool = False


class JobRegistry:
    """Keeps the jobs read from the store and writes their progress and outcomes.

    `progress` and `outcomes` are what former leaders stored, by job id and, for
    progress, by chunk of the job's tasks.  `entries`
    holds the jobs that are not finished; of the others only the final state is kept.
    `fleet_cpu_millis` is the CPU capacity of all servers that have answered.  `models`
    are what this term has learnt of durations and of the speeds of servers, `errors`
    what went wrong with single jobs.
    `closed_steps` are those of complete occurrences of jobs that go on; whoever acts on
    them clears the list.
    """

    def __init__(
        self,
        writer: RowWriter,
        clock: Clock,
        configuration: ConfigurationSource,
        progress: Mapping[str, Mapping[ChunkKey, bytes]],
        outcomes: Mapping[str, JobState],
        allowance: ShareAllowance | None = None,
    ) -> None:
        self.entries: dict[str, JobEntry] = {}
        self.fleet_cpu_millis = 0
        self._writer = writer
        self._clock = clock
        self._configuration = configuration
        self._terms = CustomerTerms(configuration)
        self._progress = dict(progress)
        self._obsolete_rows: list[_ObsoleteRow] = []
        self._outcomes = dict(outcomes)
        self._early_cancels: set[str] = set()
        self._shares = ShareMeter(allowance)
        self.models = WorkModels()
        self.errors = JobErrors(clock)
        self.closed_steps: list[Step] = []
        self.objective_updates = 0

    @property
    def configuration_version(self) -> int:
        """The version of the configuration that is applied now."""
        return self._configuration.current().version

    def queue_of(self, job: Job) -> Queue:
        """Return the job's queue as configured now, or as it was at submission."""
        submitted = job.spec.queue
        return self._configuration.current().queue_named(submitted.name) or submitted

    def customer_of(self, job: Job) -> Customer | None:
        """Return the job's customer by the newest known terms, or None if unknown."""
        return self._terms.of(job.spec.customer)

    def has_share_left(self, customer: Customer) -> bool:
        """Return whether a job that `customer` submits now is within its share."""
        now = self._clock.now().timestamp()
        return self._shares.has_share_left(customer.name, customer.weight, now)

    def add_row(self, row: Row, *, held: bool) -> JobEntry | None:
        """Add the job that is stored in `row` and return its entry.

        A job whose cancel was seen before its row is added as cancelled.  Returns None
        if the job is already known.  Raises `InvalidInputError` if it is unreadable.
        """
        job_id = row_name(row.key)
        if job_id in self.entries or job_id in self._outcomes:
            return None
        spec = JobSpec.decode(row.value)
        self._terms.record(spec)
        entry = self._add(spec, row.version, held=held)
        entry.over_share = self._record_submission(entry.job)
        if job_id in self._early_cancels:
            self._early_cancels.discard(job_id)
            self.cancel(job_id)
        return entry

    def add_ended_row(self, row: Row) -> bool:
        """Add a job that ended before the takeover, as runs of it may go on.

        Return False if its row no longer holds it, as nothing of it can run.
        """
        job_id = row_name(row.key)
        if row.value == SHRUNK_VALUE:
            return False
        spec = _decode_spec(row)
        if spec is None:
            return False
        self._terms.record(spec)
        entry = self._add(spec, row.version, held=True)
        entry.job.state = self._outcomes.pop(job_id)
        entry.outcome_queued = True
        return True

    def times_of(self, entry: JobEntry, queue: Queue, now: float) -> JobTimes:
        """Return the expected durations of a job; update its objective to them."""
        times = refresh_times(entry.job, queue, self.models, entry.times, now)
        if times is not entry.times or self._fleet_has_changed(entry):
            if entry.times is not None:
                self.objective_updates += 1
            entry.times = times
            entry.fleet_cpu_millis = self.fleet_cpu_millis
            entry.objective = objective_of(
                entry.job.spec,
                queue,
                self.fleet_cpu_millis,
                entry.submitted_at,
                times.nominal_s,
            )
        return times

    def _fleet_has_changed(self, entry: JobEntry) -> bool:
        """Return whether the fleet differs from the one that set a job's objective."""
        change = abs(self.fleet_cpu_millis - entry.fleet_cpu_millis)
        return change > NOTICEABLE_CHANGE * entry.fleet_cpu_millis

    def entry_of(self, task: str) -> JobEntry | None:
        """Return the entry of the job of a task with this name, None if there is none.

        The job need not have such a task.
        """
        return self.entries.get(task.partition(".")[0])

    def find_task(self, name: str) -> Task | None:
        """Return the task called `name`, or None if no job in `entries` has it."""
        entry = self.entry_of(name)
        return entry.job.find_task(name) if entry is not None else None

    def state(self, job_id: str) -> JobState | None:
        """Return the state of a job that callers may see, or None if it is not known.

        A final state is shown only once it is stored.
        """
        entry = self.entries.get(job_id)
        if entry is None:
            return self._outcomes.get(job_id)
        state = entry.job.state
        if not state.final or self._is_outcome_stored(entry):
            return state
        return JobState.RUNNING if entry.job.started else JobState.QUEUED

    def _is_outcome_stored(self, entry: JobEntry) -> bool:
        """Return whether the final state of a job is stored."""
        stored = self._writer.is_row_stored(entry.write_position)
        return entry.outcome_queued and stored

    def count_pending(self, queue: str) -> int:
        """Return how many open jobs of `queue` have not started any task."""
        return sum(
            entry.job.spec.queue.name == queue and not entry.job.started
            for entry in self.entries.values()
            if not entry.job.ended
        )

    def open_jobs(self) -> Iterator[JobEntry]:
        """Yield the jobs that have not ended."""
        return (each for each in self.entries.values() if not each.job.ended)

    def visit_open(self, action: JobAction, visit: Callable[[JobEntry], None]) -> None:
        """Call `visit` for each open job; an error with one is noted and contained."""
        self.errors.visit_each(action, self.open_jobs(), _job_id, visit)

    def held_jobs(self) -> Iterator[JobEntry]:
        """Yield the jobs from before the takeover, among them those that have ended."""
        return (each for each in self.entries.values() if each.held)

    def cancel(self, job_id: str) -> JobEntry | None:
        """Mark a job as cancelled; return its entry, or None if it was not open.

        Notifications may overtake each other.  The cancel of a job that is not known
        yet is kept: it was stored after the job, so the job's row is on its way.
        """
        entry = self.entries.get(job_id)
        if entry is None and job_id not in self._outcomes:
            self._early_cancels.add(job_id)
        if entry is None or entry.job.ended:
            return None
        entry.job.state = JobState.CANCELLED
        self.save(entry)
        return entry

    def cancel_unregistered(self, job_id: str) -> None:
        """Store that a job is cancelled whose row could not be applied."""
        self._early_cancels.discard(job_id)
        outcome = Write(outcome_key(job_id), encode_outcome(JobState.CANCELLED))
        self._writer.put(outcome)
        self._outcomes[job_id] = JobState.CANCELLED

    def withhold(self, job_id: str, seconds: float) -> None:
        """Start nothing of a job for some time from now on."""
        entry = self.entries.get(job_id)
        if entry is not None:
            entry.withheld_until = self._clock.monotonic() + seconds

    def give_up(self, entry: JobEntry) -> None:
        """Store the end of a job whose progress cannot be kept any more.

        It has failed, unless it has ended otherwise.
        """
        job = entry.job
        if not job.ended:
            job.state = JobState.FAILED
        self._queue_outcome(entry, urgent=False)
        logger.error("job_ended", job=job.job_id, state=job.state.value, cause="errors")

    def _queue_outcome(self, entry: JobEntry, *, urgent: bool) -> None:
        """Queue the write of a job's final state."""
        job = entry.job
        outcome = Write(outcome_key(job.job_id), encode_outcome(job.state))
        entry.write_position = self._writer.put(outcome, urgent=urgent)
        entry.outcome_queued = True

    def save(self, entry: JobEntry) -> int:
        """Queue writes of what has changed of the job's progress, or of its outcome.

        Return the position of the job's newest write.
        """
        job = entry.job
        if not job.ended:
            self._save_progress(entry, urgent=False)
            return entry.write_position
        # The progress is kept for a new leader, which needs it while runs may go on.
        urgent = self.queue_of(job).priority == URGENT_PRIORITY
        self._queue_outcome(entry, urgent=urgent)
        return entry.write_position

    def save_for_start(self, entry: JobEntry) -> list[int]:
        """Queue urgent writes of what has changed of an open job's progress.

        Return their positions: a start may wait for these rows.
        """
        return self._save_progress(entry, urgent=True)

    def _save_progress(self, entry: JobEntry, *, urgent: bool) -> list[int]:
        """Queue writes of what has changed, and return their positions."""
        job = entry.job
        positions = []
        if job.unsaved_chunks and not entry.stored_chunks:
            # Fronts tell by this row that the job has begun.
            job.unsaved_chunks.add(MAIN_CHUNK)
        for chunk in sorted(job.unsaved_chunks):
            if chunk != MAIN_CHUNK and chunk[0] in job.complete_occurrences:
                continue
            write = Write(progress_key(job.job_id, chunk), encode_chunk(job, chunk))
            entry.write_position = self._writer.put(write, urgent=urgent)
            positions.append(entry.write_position)
            entry.stored_chunks.add(chunk)
        job.unsaved_chunks.clear()
        for step in job.closed_steps:
            self.models.forget_step(step)
        if job.closed_steps:
            self._drop_closed(entry)
        return positions

    def _drop_closed(self, entry: JobEntry) -> None:
        """Let the rows of complete occurrences be deleted, once that is stored."""
        job = entry.job
        self.closed_steps += job.closed_steps
        job.closed_steps.clear()
        closed = [
            chunk
            for chunk in entry.stored_chunks
            if chunk != MAIN_CHUNK and chunk[0] in job.complete_occurrences
        ]
        for chunk in sorted(closed):
            key = progress_key(job.job_id, chunk)
            self._obsolete_rows.append(_ObsoleteRow(key, entry.write_position))
        entry.stored_chunks.difference_update(closed)

    def delete_obsolete_rows(self) -> None:
        """Delete rows that nothing needs, as what replaces them is stored by now."""
        waiting = []
        for row in self._obsolete_rows:
            if self._writer.is_stored(row.position):
                self._writer.put(Write(row.key, None))
            else:
                waiting.append(row)
        self._obsolete_rows = waiting

    def has_outcome(self, job_id: str) -> bool:
        """Return whether a job's outcome is stored and it has no runs any more."""
        return job_id in self._outcomes

    def remove_finished(self, *, keep_held: bool) -> list[Job]:
        """Remove and return the jobs with a stored outcome of which nothing can run.

        With `keep_held`, jobs from before the takeover are kept: servers that have not
        answered may run tasks of them.  The final state of removed jobs is kept.
        """
        removed = []

        def visit(entry: JobEntry) -> None:
            done = entry.job.ended and not entry.runs
            kept = keep_held and entry.held
            if done and not entry.outcome_queued:
                # An error kept the end from being saved.
                self.save(entry)
            elif done and not kept and self._writer.is_stored(entry.write_position):
                self._remove(entry)
                removed.append(entry.job)

        entries = list(self.entries.values())
        self.errors.visit_each(JobAction.REMOVE, entries, _job_id, visit)
        return removed

    def _remove(self, entry: JobEntry) -> None:
        """Remove a finished job; only its final state is kept."""
        job_id = entry.job.job_id
        self._outcomes[job_id] = entry.job.state
        del self.entries[job_id]
        self.errors.forget(job_id)
        self.models.forget_job(entry.job)
        self._delete_progress(job_id, entry.stored_chunks)

    def delete_former_progress(self, job_id: str) -> None:
        """Delete the progress, if there is any, of a job that ended with its leader."""
        self._delete_progress(job_id, self._progress.pop(job_id, {}))

    def _delete_progress(self, job_id: str, chunks: Iterable[ChunkKey]) -> None:
        for chunk in sorted(chunks):
            self._writer.put(Write(progress_key(job_id, chunk), None))

    def _add(self, spec: JobSpec, version: int, *, held: bool) -> JobEntry:
        job = Job(spec, version, spec.queue.most_failures)
        progress = self._progress.pop(spec.job_id, {})
        self._restore_progress(job, list(progress.values()))
        now = self._clock.monotonic()
        age_s = self._clock.now().timestamp() - spec.submitted_at
        objective = objective_of(
            spec, self.queue_of(job), self.fleet_cpu_millis, now - age_s
        )
        entry = JobEntry(job, objective, over_share=False, held=held)
        entry.stored_chunks = set(progress)
        entry.submitted_at = now - age_s
        entry.fleet_cpu_millis = self.fleet_cpu_millis
        self.entries[spec.job_id] = entry
        if job.closed_steps:
            # A former leader stored the ends of an occurrence, but not that it is done.
            job.unsaved_chunks.add(MAIN_CHUNK)
            self.save(entry)
        return entry

    def _record_submission(self, job: Job) -> bool:
        """Count a submission; return whether it is beyond its customer's share."""
        customer = self.customer_of(job)
        weight = customer.weight if customer is not None else 1.0
        spec = job.spec
        return self._shares.record_submission(spec.customer, weight, spec.submitted_at)

    def _restore_progress(self, job: Job, rows: Sequence[bytes]) -> None:
        try:
            apply_progress(job, rows)
        except InvalidInputError as exc:
            logger.error("progress_unreadable", job=job.job_id, cause=str(exc))
        job.unsaved_chunks.clear()


def _job_id(entry: JobEntry) -> str:
    return entry.job.job_id


def _decode_spec(row: Row) -> JobSpec | None:
    """Return the job that is stored in `row`, or None if it cannot be decoded."""
    try:
        return JobSpec.decode(row.value)
    except InvalidInputError as exc:
        logger.error("job_unreadable", job=row_name(row.key), cause=str(exc))
        return None
