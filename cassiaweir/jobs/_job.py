"""A job in the memory of the process that runs it: its steps, tasks and their ends."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from cassiaweir.jobs._specs import JobSpec, StepSpec
from cassiaweir.types import Resources


class JobState(StrEnum):
    """What a caller is told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job has ended for good."""
        return self in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)


class TaskState(StrEnum):
    """Where a task is; a PLACED one has a run that may exist on a server."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Task:
    """A task of a step and the number of its newest run.

    `preempted` tells that a run of it was stopped for urgent work.
    """

    step: Step
    index: int
    state: TaskState = TaskState.WAITING
    run: int = 0
    failed_runs: set[int] = field(default_factory=set)
    checkpoint: str = ""
    preempted: bool = False

    @property
    def name(self) -> str:
        """The name under which servers know the task."""
        return f"{self.step.name}.{self.index}"


@dataclass(slots=True, eq=False)
class Step:
    """A step of one occurrence of a job.

    For a gang, failures and the checkpoint are kept here, as its tasks share them.
    `avoided_servers` names servers where tasks of the step failed or stood still;
    `demand` is what a task takes.
    """

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    done_count: int = 0
    failed_runs: set[int] = field(default_factory=set)
    checkpoint: str = ""
    avoided_servers: set[str] = field(default_factory=set)
    demand: Resources = field(init=False)

    def __post_init__(self) -> None:
        self.demand = self.spec.demand

    @property
    def name(self) -> str:
        """The step's own name, as job, occurrence and number."""
        return f"{self.job.job_id}.{self.occurrence}.{self.number}"

    @property
    def complete(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == len(self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that have no run."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    def placed(self) -> list[Task]:
        """Return the tasks that have a run."""
        return [task for task in self.tasks if task.state is TaskState.PLACED]

    def checkpoint_of(self, task: Task) -> str:
        """Return the checkpoint from which a run of `task` resumes."""
        return self.checkpoint if self.spec.gang else task.checkpoint

    def record_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Remember the newest checkpoint; an empty one says nothing new."""
        if not checkpoint:
            return
        if self.spec.gang:
            self.checkpoint = checkpoint
        else:
            task.checkpoint = checkpoint


class Job:
    """A job with the rules for what its tasks' ends mean.

    `version` is the version of its row, which orders jobs by their acceptance.
    `most_failures` bounds the failures of a task or of a gang.
    """

    def __init__(self, spec: JobSpec, version: int, most_failures: int) -> None:
        self.spec = spec
        self.job_id = spec.job_id
        self.version = version
        self.most_failures = most_failures
        self.state = JobState.QUEUED
        self.steps: dict[tuple[int, int], Step] = {}
        self.started = False
        self._opened = 0
        if not spec.times:
            self.open_occurrence()

    @property
    def ended(self) -> bool:
        """Whether the job has ended for good."""
        return self.state.final

    @property
    def has_more_occurrences(self) -> bool:
        """Whether some occurrence has not been opened yet."""
        return self._opened < self.spec.times

    @property
    def next_due_at(self) -> float:
        """When the next occurrence is due, in Unix seconds."""
        return self.spec.first_at + self._opened * self.spec.interval_s

    def open_occurrence(self) -> list[Step]:
        """Add the steps of the next occurrence and return them."""
        occurrence = self._opened
        self._opened += 1
        opened = []
        for number, spec in enumerate(self.spec.steps):
            step = Step(self, occurrence, number, spec)
            step.tasks = [Task(step, index) for index in range(spec.count)]
            self.steps[occurrence, number] = step
            opened.append(step)
        return opened

    def find_task(self, name: str) -> Task | None:
        """Return the task called `name`, or None where the job has no such task."""
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
        """Whether all steps that `step` comes after are done."""
        return all(
            self.steps[step.occurrence, earlier].complete for earlier in step.spec.after
        )

    def startable_steps(self) -> Iterator[Step]:
        """Yield the steps that have waiting tasks and may start."""
        if self.ended:
            return
        for step in self.steps.values():
            if not step.complete and self.may_start(step):
                yield step

    def mark_started(self) -> None:
        """Note that a run of some task was started."""
        self.started = True
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING

    def finish_task(self, task: Task) -> bool:
        """Note that a run of `task` ended as done; tell whether that is news.

        One such end stands for the whole gang.  Tasks that last are never done.
        """
        if task.step.spec.long_running:
            self.mark_waiting(task)
            return False
        step = task.step
        tasks = step.tasks if step.spec.gang else [task]
        news = [each for each in tasks if each.state is not TaskState.DONE]
        for each in news:
            each.state = TaskState.DONE
        step.done_count += len(news)
        if news and not self.ended and self._all_done():
            self.state = JobState.DONE
        return bool(news)

    def record_run_failure(self, task: Task, run: int) -> bool:
        """Note that `run` of `task` failed; tell whether that is news.

        The same failure may be reported again, also by each member of a gang, and
        failures of earlier runs may be reported after those of later ones.
        """
        step = task.step
        holder: Step | Task = step if step.spec.gang else task
        if run in holder.failed_runs:
            return False
        holder.failed_runs.add(run)
        if step.spec.long_running or self.ended:
            return True
        if len(holder.failed_runs) >= self.most_failures:
            self.state = JobState.FAILED
        return True

    def mark_waiting(self, task: Task) -> None:
        """Let `task` wait again after its newest run has gone."""
        if task.state is TaskState.PLACED:
            task.state = TaskState.WAITING

    def _all_done(self) -> bool:
        if self.has_more_occurrences:
            return False
        return all(step.complete for step in self.steps.values())
