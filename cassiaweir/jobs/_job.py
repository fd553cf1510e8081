"""The state of a job, its steps and its tasks, in the memory of the leader."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from cassiaweir.jobs._crashes import CrashHistory
from cassiaweir.jobs._specs import JobSpec, StepSpec
from cassiaweir.types import Resources


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


class TaskState(StrEnum):
    """The state of a task; a PLACED task has a run that may exist on a server."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Task:
    """A task of a step.

    `run` is the number of its newest run, 0 before the first one.  `checkpoint_run` is
    the run that wrote `checkpoint`, 0 if a former leader has not stored it.
    `preempted` is true once a run of the task was stopped to make room for urgent work.
    """

    step: Step
    index: int
    _state: TaskState = field(default=TaskState.WAITING, init=False)
    run: int = 0
    failed_runs: set[int] = field(default_factory=set)
    checkpoint: str = ""
    checkpoint_run: int = 0
    preempted: bool = False

    @property
    def state(self) -> TaskState:
        """The state of the task."""
        return self._state

    @state.setter
    def state(self, state: TaskState) -> None:
        waits = state is TaskState.WAITING
        waited = self._state is TaskState.WAITING
        self.step.waiting_count += waits - waited
        self._state = state

    @property
    def name(self) -> str:
        """The name sent to servers: job id, occurrence, step number and task index."""
        return f"{self.step.name}.{self.index}"


@dataclass(slots=True, eq=False)
class Step:
    """A step of one occurrence of a job.

    `number` is the index of the step in the job's specification.  The tasks of a gang
    share their failures and checkpoint, which are therefore kept here and not in the
    tasks.  `avoided_servers` holds the ids of servers where a task of the step failed,
    stalled or ran too slowly, and ids and addresses of those that crashed under one.
    `demand` is the resources that one task uses.  `kind` is what tasks are compared by
    that may slow each other down: the queue, and the image where there is one.
    `waiting_count` is kept by the tasks, as it is read far more often than it changes.
    """

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    done_count: int = 0
    waiting_count: int = 0
    failed_runs: set[int] = field(default_factory=set)
    checkpoint: str = ""
    checkpoint_run: int = 0
    avoided_servers: set[str] = field(default_factory=set)
    demand: Resources = field(init=False)
    kind: str = field(init=False)

    def __post_init__(self) -> None:
        self.demand = self.spec.demand
        queue, image = self.job.spec.queue.name, self.spec.image
        self.kind = f"{queue}/{image}" if image else queue

    @property
    def name(self) -> str:
        """The job id, occurrence and step number, joined by dots."""
        return f"{self.job.job_id}.{self.occurrence}.{self.number}"

    @property
    def complete(self) -> bool:
        """Whether all tasks of the step are done."""
        return self.done_count == len(self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks in state WAITING, which need a run."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    def placed(self) -> list[Task]:
        """Return the tasks in state PLACED, which have a run."""
        return [task for task in self.tasks if task.state is TaskState.PLACED]

    def checkpoint_of(self, task: Task) -> str:
        """Return the checkpoint from which a run of `task` resumes."""
        return self.checkpoint if self.spec.gang else task.checkpoint

    def record_checkpoint(self, task: Task, run: int, checkpoint: str) -> None:
        """Record a checkpoint that `run` of `task` wrote; an empty one changes nothing.

        Reports of an older run may arrive after those of a newer one, and don't replace
        its checkpoint.
        """
        holder: Step | Task = self if self.spec.gang else task
        if checkpoint and run >= holder.checkpoint_run:
            holder.checkpoint = checkpoint
            holder.checkpoint_run = run


class Job:
    """A job and the effect of its runs' ends on the state of tasks and job.

    `version` is the version of the job's row; a lower one was accepted earlier.  The
    job fails once a task or gang has had `most_failures` failed runs, or once `crashes`
    shows that one of its tasks crashes its servers.  `started` is true once a run of
    any task was ordered.

    A recurring job (`spec.times` is not 0) runs its steps once an occurrence.  The
    steps of an occurrence are created when it opens, normally when it is due.
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
        self._opened = 0
        if not spec.times:
            self.open_occurrence()

    @property
    def ended(self) -> bool:
        """Whether the job is done, failed or cancelled."""
        return self.state.final

    @property
    def has_more_occurrences(self) -> bool:
        """Whether an occurrence of a recurring job has not been opened yet."""
        return self._opened < self.spec.times

    @property
    def next_due_at(self) -> float:
        """When the next occurrence to be opened is due, in Unix seconds."""
        return self.spec.first_at + self._opened * self.spec.interval_s

    def open_occurrence(self) -> list[Step]:
        """Create the steps of the next occurrence and return them."""
        occurrence = self._opened
        self._opened += 1
        opened = []
        for number, spec in enumerate(self.spec.steps):
            step = Step(self, occurrence, number, spec)
            step.tasks = [Task(step, index) for index in range(spec.count)]
            step.waiting_count = spec.count
            self.steps[occurrence, number] = step
            opened.append(step)
        return opened

    def find_task(self, name: str) -> Task | None:
        """Return the task with this name, or None if the job has no such task.

        The occurrence in the name may not have been opened by this process, if a former
        leader started the task; it is opened then, with all occurrences before it.
        """
        _, _, rest = name.partition(".")
        try:
            occurrence, number, index = (int(part) for part in rest.split("."))
        except ValueError:
            return None
        while self.has_more_occurrences and occurrence >= self._opened:
            self.open_occurrence()
        step = self.steps.get((occurrence, number))
        if step is None or not 0 <= index < len(step.tasks):
            return None
        return step.tasks[index]

    def may_start(self, step: Step) -> bool:
        """Return whether all steps that `step` depends on are complete."""
        return all(
            self.steps[step.occurrence, earlier].complete for earlier in step.spec.after
        )

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
        if task.step.spec.long_running:
            return False
        step = task.step
        tasks = step.tasks if step.spec.gang else [task]
        newly_done = [each for each in tasks if each.state is not TaskState.DONE]
        for each in newly_done:
            each.state = TaskState.DONE
        step.done_count += len(newly_done)
        if newly_done and not self.ended and self._all_done():
            self.state = JobState.DONE
        return bool(newly_done)

    def record_run_failure(self, task: Task, run: int) -> bool:
        """Record that `run` of `task` failed; return whether it is counted only now.

        A failure may be reported more than once, by each member of a gang too, and the
        failure of an earlier run may be reported after that of a later one, or after
        the task is done.  Failures are therefore counted by run number.  They never
        fail a long-running job, of which only the last one is kept.
        """
        step = task.step
        holder: Step | Task = step if step.spec.gang else task
        if run in holder.failed_runs:
            return False
        if step.spec.long_running:
            holder.failed_runs.clear()
        holder.failed_runs.add(run)
        if step.spec.long_running or self.ended or task.state is TaskState.DONE:
            return True
        if len(holder.failed_runs) >= self.most_failures:
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
        if self.has_more_occurrences:
            return False
        return all(step.complete for step in self.steps.values())
