"""What a caller asks for: jobs made of steps, and steps made of equal tasks."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.queues import Queue
from cassiaweir.types import Resources

MAX_TASK_SPEC_BYTES = 4_000
"""Characters of the text that tells a server what to run."""

MOST_TASKS = 10_000
"""Tasks of one step; more are refused as a mistake."""

UNKNOWN_DURATION_S = 1.0
"""Stands in for an estimate that was not given."""


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step: `count` equal tasks that may start when the steps in `after` are done.

    `estimate_s` is a rough duration of a task.  `most_per_server` is 0 for no limit.
    `rack` names where the data is.  `goal_s` and `fills` are of tasks that serve users
    of their own, and of those that take what such tasks leave unused.
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

    @property
    def demand(self) -> Resources:
        """What a task takes of a server's capacity."""
        cpu = 0 if self.fills else self.cpu_millis
        return Resources(cpu, self.memory_mb, self.accelerators)

    @property
    def duration_s(self) -> float:
        """The expected seconds of a task."""
        return self.estimate_s or UNKNOWN_DURATION_S


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was submitted; `submitted_at` is in Unix seconds.

    A job with `times` runs its steps that many times, each due `interval_s` after the
    one before; `first_at` is in Unix seconds.  `queue` is its queue as it was then,
    which goes on to hold where operators remove the queue.
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

    def encode(self) -> bytes:
        """Return the job as it is stored."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, raw: bytes) -> JobSpec:
        """Return the job in `raw`, or raise `InvalidInputError`."""
        try:
            return msgspec.json.decode(raw, type=cls)
        except msgspec.DecodeError as exc:
            raise InvalidInputError(f"stored job cannot be read: {exc}") from exc


def check_steps(steps: Sequence[StepSpec]) -> None:
    """Raise `InvalidInputError` where steps cannot belong to one job."""
    if not steps:
        raise InvalidInputError("steps: a job needs at least one step")
    for number, step in enumerate(steps):
        _check_step(number, step)


def _check_step(number: int, step: StepSpec) -> None:
    where = f"steps[{number}]"
    if not 1 <= step.count <= MOST_TASKS:
        raise InvalidInputError(f"{where}.count: not between 1 and {MOST_TASKS}")
    amounts = (step.cpu_millis, step.memory_mb, step.accelerators)
    if min(amounts) < 0 or step.estimate_s < 0 or step.most_per_server < 0:
        raise InvalidInputError(f"{where}: amounts must not be negative")
    if any(not 0 <= earlier < number for earlier in step.after):
        raise InvalidInputError(f"{where}.after: only earlier steps may be named")
