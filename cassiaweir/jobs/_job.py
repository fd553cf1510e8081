"""The state of a job, its steps and its tasks, in the memory of the leader."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from cassiaweir.jobs._crashes import CrashHistory
from cassiaweir.jobs._number_ranges import NumberRanges
from cassiaweir.jobs._specs import JobSpec, StepSpec
from cassiaweir.jobs._tasks import Attempts, Task, TaskList, TaskState
from cassiaweir.types import Resources

ChunkKey = tuple[int, int]
"""An occurrence, and the number of a chunk of its tasks, counted over all its steps."""

MAIN_CHUNK: ChunkKey = (0, 0)
"""The chunk with whose tasks the numbers of complete occurrences are stored."""

TASKS_PER_CHUNK = 64
"""Tasks whose progress is stored in one row."""


class JobState(StrEnum):
    """The state of a job as reported to callers; values are part of the API."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job has ended, so that no other state follows."""
        return self in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)


@dataclass(slots=True, eq=False)
class Step(Attempts):
    """A step of one occurrence of a job.

    `number` is the index of the step in the job's specification, and `first_task` how
    many tasks the steps before it have.  `blockers` counts the incomplete steps that it
    depends on.  The tasks of a gang share their failures and checkpoint, which are
    therefore kept here and not in the tasks.  `avoided_servers` holds the ids of
    servers where a task of the step failed, stalled or ran too slowly, and ids and
    addresses of those that crashed under one.  `demand` is the resources that one task
    uses.  `kind` is what tasks are compared by that may slow each other down: the
    queue, and the image where there is one.
    """

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    first_task: int = 0
    blockers: int = field(init=False)
    avoided_servers: frozenset[str] = frozenset()
    tasks: TaskList = field(init=False)
    demand: Resources = field(init=False)
    kind: str = field(init=False)

    def __post_init__(self) -> None:
        self.tasks = TaskList(self, self.spec.count)
        self.demand = self.spec.demand
        self.blockers = len(set(self.spec.after))
        queue, image = self.job.spec.queue.name, self.spec.image
        self.kind = f"{queue}/{image}" if image else queue

    @property
    def name(self) -> str:
        """The job id, occurrence and step number, joined by dots."""
        return f"{self.job.job_id}.{self.occurrence}.{self.number}"

    @property
    def bound_to_servers(self) -> bool:
        """Whether some servers with room may not be used, or not for several tasks."""
        spec = self.spec
        return bool(spec.label or spec.most_per_server or spec.same_rack or spec.rack)

    @property
    def done_count(self) -> int:
        """How many tasks are done."""
        return self.tasks.done_count

    @property
    def waiting_count(self) -> int:
        """How many tasks need a run."""
        return self.tasks.waiting_count

    @property
    def due_after_s(self) -> float:
        """How long after the job's submission the occurrence of the step is due.

        It is negative for an occurrence that was overdue by then.
        """
        spec = self.job.spec
        if not spec.times:
            return 0.0
        return spec.due_at(self.occurrence) - spec.submitted_at

    @property
    def complete(self) -> bool:
        """Whether all tasks of the step are done."""
        return self.tasks.done_count == len(self.tasks)

    def placed(self) -> list[Task]:
        """Return the tasks in state PLACED, which have a run."""
        return [task for task in self.tasks.known() if task.state is TaskState.PLACED]

    def attempts_of(self, task: Task) -> Attempts:
        """Return what holds the failures and the checkpoint of `task`."""
        return self if self.spec.gang else task

    def checkpoint_of(self, task: Task) -> str:
        """Return the checkpoint from which a run of `task` resumes."""
        return self.attempts_of(task).checkpoint

    def chunk_of(self, index: int) -> ChunkKey:
        """Return which chunk the task with this index belongs to."""
        return self.occurrence, (self.first_task + index) // TASKS_PER_CHUNK


class Job:
    """A job and the effect of its runs' ends on the state of tasks and job.

    `version` is the version of the job's row; a lower one was accepted earlier.  The
    job fails once a task or gang has had `most_failures` failed runs, or once `crashes`
    shows that one of its tasks crashes its servers.  `started` is true once a run of
    any task was ordered.

    A recurring job (`spec.times` is not 0) runs its steps once an occurrence.  `steps`
    holds those of the occurrences that are open: they were opened, normally once due,
    and are not complete.  Of complete ones only the numbers are kept, as ranges.

    `unsaved_chunks` are the chunks of tasks whose stored progress has to be written
    again, `closed_steps` the steps of occurrences that have become complete; whoever
    acts on either clears it.
    """

    def __init__(self, spec: JobSpec, version: int, most_failures: int) -> None:
        self.spec = spec
        self.job_id = spec.job_id
        self.version = version
        self.most_failures = most_failures
        self.state = JobState.QUEUED
        self.steps: dict[tuple[int, int], Step] = {}
        self.started = False
        self.crashes = CrashHistory()
        self.complete_occurrences = NumberRanges()
        self.unsaved_chunks: set[ChunkKey] = set()
        self.closed_steps: list[Step] = []
        self._open_occurrences: set[int] = set()
        self._next_occurrence = 0
        if not spec.times:
            self.open_occurrence()

    @property
    def ended(self) -> bool:
        """Whether the job is done, failed or cancelled."""
        return self.state.final

    @property
    def next_occurrence(self) -> int:
        """The number of the next occurrence to be opened."""
        number = self._next_occurrence
        while True:
            if number in self._open_occurrences:
                number += 1
            elif number in self.complete_occurrences:
                number = self.complete_occurrences.next_missing(number)
            else:
                self._next_occurrence = number
                return number

    @property
    def has_more_occurrences(self) -> bool:
        """Whether an occurrence of a recurring job has not been opened yet."""
        return self.next_occurrence < self.spec.times

    @property
    def next_due_at(self) -> float:
        """When the next occurrence to be opened is due, in Unix seconds."""
        return self.spec.due_at(self.next_occurrence)

    @property
    def open_occurrence_count(self) -> int:
        """How many occurrences are open."""
        return len(self._open_occurrences)

    def count_overdue(self, wall: float) -> int:
        """Return how many occurrences are due at `wall`, in Unix seconds, and not open.

        Occurrences that were opened out of their order, if there are any, count too.
        """
        spec, first = self.spec, self.next_occurrence
        if first >= spec.times or spec.due_at(first) > wall:
            return 0
        if spec.interval_s <= 0:
            return spec.times - first
        due = int(min((wall - spec.first_at) / spec.interval_s, spec.times - 1)) + 1
        return max(due - first, 1)

    def open_occurrence(self) -> list[Step]:
        """Create the steps of the next occurrence and return them."""
        return self._open(self.next_occurrence)

    def _open(self, occurrence: int) -> list[Step]:
        self._open_occurrences.add(occurrence)
        opened = []
        first_task = 0
        for number, spec in enumerate(self.spec.steps):
            step = Step(self, occurrence, number, spec, first_task)
            self.steps[occurrence, number] = step
            first_task += spec.count
            opened.append(step)
        return opened

    def find_task(self, name: str) -> Task | None:
        """Return the task with this name; None if there is none or it needs no run.

        The occurrence in the name may not have been opened by this process, if a former
        leader started the task; it is opened then.  Of complete occurrences no task is
        known any more.
        """
        found = self._parse(name)
        if found is None:
            return None
        occurrence, number, index = found
        step = self.step_at(occurrence, number)
        if step is None or not 0 <= index < len(step.tasks):
            return None
        return step.tasks[index]

    def step_at(self, occurrence: int, number: int) -> Step | None:
        """Return a step, None if there is none or its occurrence is complete."""
        known = occurrence in self._open_occurrences
        exists = 0 <= occurrence < self.spec.times
        if not known and exists and occurrence not in self.complete_occurrences:
            self._open(occurrence)
        return self.steps.get((occurrence, number))

    def mark_unsaved(self, task: str) -> None:
        """Note that what is stored of a task is out of date."""
        found = self._parse(task)
        step = self.steps.get(found[:2]) if found is not None else None
        if found is not None and step is not None:
            self.unsaved_chunks.add(step.chunk_of(found[2]))

    @staticmethod
    def _parse(name: str) -> tuple[int, int, int] | None:
        """Return occurrence, step number and index in the name of a task."""
        _, _, rest = name.partition(".")
        try:
            occurrence, number, index = (int(part) for part in rest.split("."))
        except ValueError:
            return None
        return occurrence, number, index

    def may_start(self, step: Step) -> bool:
        """Return whether all steps that `step` depends on are complete."""
        return step.blockers == 0

    def startable_steps(self) -> Iterator[Step]:
        """Yield the incomplete steps whose dependencies are complete."""
        if self.ended:
            return
        for step in self.steps.values():
            if not step.complete and self.may_start(step):
                yield step

    def mark_started(self) -> None:
        """Record that a run of a task was ordered."""
        self.started = True
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING

    def finish_task(self, task: Task) -> bool:
        """Record that a run of `task` succeeded; return whether a task became done.

        The success of one task completes its whole gang.  A long-running task never
        becomes done.
        """
        if task.step.spec.long_running or task.state is TaskState.DONE:
            return False
        step = task.step
        gang = step.spec.gang
        self._mark_done(step, range(len(step.tasks)) if gang else [task.index])
        if not self.ended and self._all_done():
            self.state = JobState.DONE
        return True

    def restore_done(self, step: Step, indexes: Iterable[int]) -> None:
        """Mark tasks of a step as done, as a former leader stored them."""
        self._mark_done(step, indexes)

    def _mark_done(self, step: Step, indexes: Iterable[int]) -> None:
        was_complete = step.complete
        for index in indexes:
            step.tasks[index].state = TaskState.DONE
            self.unsaved_chunks.add(step.chunk_of(0 if step.spec.gang else index))
        if not step.complete or was_complete:
            return
        for number in range(step.number + 1, len(self.spec.steps)):
            if step.number in self.spec.steps[number].after:
                self.steps[step.occurrence, number].blockers -= 1
        if self.spec.times:
            self._close_if_complete(step.occurrence)

    def _close_if_complete(self, occurrence: int) -> None:
        """Keep only the number of an occurrence of which all steps are complete."""
        keys = [(occurrence, number) for number in range(len(self.spec.steps))]
        if not all(self.steps[key].complete for key in keys):
            return
        self.closed_steps += [self.steps.pop(key) for key in keys]
        self.complete_occurrences.add(occurrence)
        self._open_occurrences.discard(occurrence)
        self.crashes.forget(f"{self.job_id}.{occurrence}.")
        self.unsaved_chunks.add(MAIN_CHUNK)

    def record_run_failure(self, task: Task, run: int) -> bool:
        """Record that `run` of `task` failed; return whether it is counted only now.

        A failure may be reported more than once, by each member of a gang too, and the
        failure of an earlier run may be reported after that of a later one, or after
        the task is done.  Failures are therefore counted by run number.  They never
        fail a long-running job, of which only the last one is kept.
        """
        step = task.step
        attempts = step.attempts_of(task)
        if step.spec.long_running:
            counted = run in attempts.failed_runs
            attempts.restore_failures({run}, 1)
            return not counted
        if not attempts.record_failure(run):
            return False
        self.unsaved_chunks.add(step.chunk_of(0 if step.spec.gang else task.index))
        needed = not self.ended and task.state is not TaskState.DONE
        if needed and attempts.failure_count >= self.most_failures:
            self.state = JobState.FAILED
        return True

    def fail_if_crashing(self, task: str) -> bool:
        """Fail the job if its task crashes its servers; return whether it does now.

        That holds for long-running tasks as well.
        """
        if self.ended or not self.crashes.exceeds_limit(task):
            return False
        self.state = JobState.FAILED
        return True

    def mark_waiting(self, task: Task) -> None:
        """Put a placed `task` back to WAITING after its newest run has ended."""
        if task.state is TaskState.PLACED:
            task.state = TaskState.WAITING

    def _all_done(self) -> bool:
        if self.spec.times:
            return len(self.complete_occurrences) >= self.spec.times
        return all(step.complete for step in self.steps.values())
