"""Job specifications as submitted: a job has steps, a step has identical tasks."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.queues import Queue
from cassiaweir.types import (
    MAX_DURATION_S,
    MAX_UNIX_S,
    NO_RESOURCES,
    Resources,
    bound_fields,
)

MAX_TASK_SPEC_BYTES = 4_000
"""Limit of `JobSpec.task_spec`, encoded in UTF-8."""

MAX_TASKS_PER_STEP = 10_000
"""A step with more tasks is taken for a mistake of the caller and refused."""

MAX_TASKS_PER_JOB = 12_000
"""Limit of all steps together, so that the progress of a job fits into one row."""

DEFAULT_TASK_DURATION_S = 1.0
"""Duration assumed for a task submitted without an estimate."""

MAX_TASK_AMOUNT = 10**12
"""A task that asks for more waits like one that asks for this.

No server has as much of anything.
"""

MAX_OCCURRENCES = 10**12
"""A job that recurs more often goes on for as long as anybody can tell."""

STEP_LIMITS: Mapping[str, float] = {
    "cpu_millis": MAX_TASK_AMOUNT,
    "memory_mb": MAX_TASK_AMOUNT,
    "accelerators": MAX_TASK_AMOUNT,
    "estimate_s": MAX_DURATION_S,
    "most_per_server": MAX_TASK_AMOUNT,
    "goal_s": MAX_DURATION_S,
    "may_miss": MAX_TASK_AMOUNT,
}
JOB_LIMITS: Mapping[str, float] = {
    "submitted_at": MAX_UNIX_S,
    "times": MAX_OCCURRENCES,
    "first_at": MAX_UNIX_S,
    "interval_s": MAX_UNIX_S,
}
"""Bounds of the numbers that callers choose.

The expected duration of a whole job, which has the largest numbers, then stays far
within the range of floats.
"""


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of a job: `count` identical tasks.

    Resources and durations are those of one task.  Fields are stored under their own
    names.  `speculative`, `image`, `goal_s` and `may_miss` are stored and not used.
    Numbers beyond `STEP_LIMITS` are reduced to these, in stored steps as well.

    Attributes:
        estimate_s: Rough duration of a task in seconds, 0 if unknown.
        after: Indexes of the steps that must be complete before this one starts.
        checkpoints: Whether tasks write checkpoints, so that they may be preempted.
        gang: Whether all tasks start together and succeed or fail as one.
        same_rack: Whether all tasks must run in one rack.
        label: A label that the server must have; empty for any server.
        rack: The rack that holds the data, preferred when placing; empty for none.
        most_per_server: Tasks of the step allowed on one server, 0 for no limit.
        long_running: Whether tasks run without an end and are restarted after one.
        goal_s: Response time target in seconds, for tasks that serve their own users.
        fills: Whether tasks use only processor time that other tasks leave unused.
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    goal_s: float = 0.0
    fills: bool = False
    may_miss: int = 0

    def __post_init__(self) -> None:
        bound_fields(self, STEP_LIMITS)

    @property
    def demand(self) -> Resources:
        """The server capacity that one task uses."""
        cpu = 0 if self.fills else self.cpu_millis
        return Resources(cpu, self.memory_mb, self.accelerators)

    @property
    def duration_s(self) -> float:
        """The expected duration of a task."""
        return self.estimate_s or DEFAULT_TASK_DURATION_S


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was submitted.  Fields are stored under their own names.

    Numbers beyond `JOB_LIMITS` are reduced to these, in stored jobs as well.

    Attributes:
        queue: The queue as configured at submission, used if operators remove it.
        task_spec: Text that tells a server what to run.
        submitted_at: Unix time in seconds.
        times: Occurrences of a recurring job, 0 for a job that runs once.
        first_at: When the first occurrence is due, as Unix time in seconds.
        interval_s: Seconds from one occurrence to the next.
        cap: The customer's cap at submission, used if the leader has not read that
            version of the configuration, or if operators remove the customer.
        configuration: The version of the configuration at submission, 0 if unknown.
    """

    job_id: str
    queue: Queue
    customer: str
    task_spec: str
    steps: tuple[StepSpec, ...]
    submitted_at: float
    times: int = 0
    first_at: float = 0.0
    interval_s: float = 0.0
    cap: Resources = NO_RESOURCES
    configuration: int = 0

    def __post_init__(self) -> None:
        bound_fields(self, JOB_LIMITS)

    def due_at(self, occurrence: int) -> float:
        """Return when an occurrence of a recurring job is due, in Unix seconds."""
        return self.first_at + occurrence * self.interval_s

    def encode(self) -> bytes:
        """Return the stored form of the job."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, raw: bytes) -> JobSpec:
        """Return the job stored in `raw`, or raise `InvalidInputError`."""
        try:
            return msgspec.json.decode(raw, type=cls)
        except msgspec.DecodeError as exc:
            raise InvalidInputError(f"stored job cannot be decoded: {exc}") from exc


def check_steps(steps: Sequence[StepSpec]) -> None:
    """Raise `InvalidInputError` if `steps` are not the valid steps of a job."""
    if not steps:
        raise InvalidInputError("steps: a job needs at least one step")
    for number, step in enumerate(steps):
        _check_step(number, step)
    tasks = sum(step.count for step in steps)
    if tasks > MAX_TASKS_PER_JOB:
        raise InvalidInputError(
            f"steps: got {tasks} tasks, expected at most {MAX_TASKS_PER_JOB}"
        )


def _check_step(number: int, step: StepSpec) -> None:
    where = f"steps[{number}]"
    if not 1 <= step.count <= MAX_TASKS_PER_STEP:
        raise InvalidInputError(
            f"{where}.count: got {step.count}, expected 1 to {MAX_TASKS_PER_STEP}"
        )
    amounts = (step.cpu_millis, step.memory_mb, step.accelerators)
    if min(amounts) < 0 or step.estimate_s < 0 or step.most_per_server < 0:
        raise InvalidInputError(
            f"{where}: resources, estimate and limit per server must not be negative"
        )
    if any(not 0 <= earlier < number for earlier in step.after):
        raise InvalidInputError(
            f"{where}.after: got {list(step.after)}, expected indexes below {number}"
        )
