"""Deadlines of jobs, and whether a job can still meet its own."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from cassiaweir.jobs import Job, JobSpec, Step
from cassiaweir.queues import Queue

MAX_LATENESS_FACTOR = 3
"""A result has no value once a job has taken this many times its allowed duration."""

MAX_WAVE_SHARE = 0.25
"""Share of the fleet's CPU that the tasks of one step are assumed to get at a time.

A step that needs more is assumed to run in several waves.
"""


class DeadlineStatus(IntEnum):
    """Whether a job can still meet its deadline; lower values are started first."""

    ON_TIME = 0
    LATE = 1
    """The job misses its deadline, but its result still has some value."""

    WORTHLESS = 2
    """The job ends too late for its result to have any value."""


@dataclass(frozen=True, slots=True)
class Objective:
    """When a job is due, and from when on its result has no value any more.

    Both are seconds on the leader's monotonic clock.
    """

    due_at: float
    worthless_at: float


def critical_path_s(spec: JobSpec, queue: Queue, fleet_cpu_millis: int) -> float:
    """Return the expected seconds of the longest chain of dependent steps.

    The time that the advice service takes to answer for each step is included.
    """
    ends: list[float] = []
    for step in spec.steps:
        begins = max((ends[earlier] for earlier in step.after), default=0.0)
        wave_cpu_millis = max(fleet_cpu_millis * MAX_WAVE_SHARE, 1.0)
        waves = max(step.count * step.demand.cpu_millis / wave_cpu_millis, 1.0)
        ends.append(begins + step.duration_s * waves + _advice_s(queue))
    return max(ends)


def objective_of(
    spec: JobSpec, queue: Queue, fleet_cpu_millis: int, submitted_at: float
) -> Objective:
    """Return the objective of a job that was submitted at `submitted_at`."""
    allowed_s = queue.stretch * critical_path_s(spec, queue, fleet_cpu_millis)
    allowed_s += queue.slack_s
    return Objective(
        submitted_at + allowed_s, submitted_at + MAX_LATENESS_FACTOR * allowed_s
    )


def remaining_critical_path_s(job: Job, step: Step) -> float:
    """Return the expected seconds from the start of `step` to the end of the job.

    Only `step` and the steps that depend on it count.
    """
    # Steps depend only on earlier ones, so the last step is computed first.
    remaining_s: dict[int, float] = {}
    for number in range(len(job.spec.steps) - 1, -1, -1):
        dependents = [
            remaining_s[later]
            for later in remaining_s
            if number in job.spec.steps[later].after
        ]
        spec = job.spec.steps[number]
        remaining_s[number] = spec.duration_s + max(dependents, default=0.0)
    return remaining_s[step.number]


def deadline_status(
    objective: Objective, remaining_s: float, now: float
) -> DeadlineStatus:
    """Return whether a job with `remaining_s` of work left can meet `objective`."""
    if now + remaining_s <= objective.due_at:
        return DeadlineStatus.ON_TIME
    if now + remaining_s <= objective.worthless_at:
        return DeadlineStatus.LATE
    return DeadlineStatus.WORTHLESS


def _advice_s(queue: Queue) -> float:
    """Return the expected seconds until the advice service has answered for a step."""
    if queue.advice is None:
        return 0.0
    expected_servers = 30
    return queue.advice.question_s + expected_servers * queue.advice.each_server_s
