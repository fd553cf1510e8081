"""When a job should be done, and in which order waiting steps are served."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from cassiaweir.jobs import Job, JobSpec, Step
from cassiaweir.queues import Queue

LATE_FACTOR = 3
"""A job has some worth until so many times its objective."""

WIDE_STEP_SHARE = 0.25
"""A step that needs more than this share of the capacity runs in several waves."""


class DeadlineStatus(IntEnum):
    """What a job can still reach; lower values are served first."""

    ON_TIME = 0
    LATE = 1
    WORTHLESS = 2


@dataclass(frozen=True, slots=True)
class Objective:
    """When a job is due, and until when being late has some worth."""

    due_at: float
    worthless_at: float


def critical_path_s(spec: JobSpec, queue: Queue, capacity_millis: int) -> float:
    """Return the seconds of the longest chain of steps, advice included."""
    ends: list[float] = []
    for step in spec.steps:
        begins = max((ends[earlier] for earlier in step.after), default=0.0)
        room = max(capacity_millis * WIDE_STEP_SHARE, 1.0)
        waves = max(step.count * step.demand.cpu_millis / room, 1.0)
        ends.append(begins + step.duration_s * waves + _advice_s(queue))
    return max(ends)


def objective_of(
    spec: JobSpec, queue: Queue, capacity_millis: int, submitted_at: float
) -> Objective:
    """Return the objective of a job that was submitted at `submitted_at`."""
    allowed = queue.stretch * critical_path_s(spec, queue, capacity_millis)
    allowed += queue.slack_s
    return Objective(submitted_at + allowed, submitted_at + LATE_FACTOR * allowed)


def remaining_critical_path_s(job: Job, step: Step) -> float:
    """Return the seconds from the start of `step` to the end of what follows it."""
    tails: dict[int, float] = {}
    for number in range(len(job.spec.steps) - 1, -1, -1):
        followers = [
            tails[later] for later in tails if number in job.spec.steps[later].after
        ]
        spec = job.spec.steps[number]
        tails[number] = spec.duration_s + max(followers, default=0.0)
    return tails[step.number]


def deadline_status(
    objective: Objective, remaining_s: float, now: float
) -> DeadlineStatus:
    """Return what a job can reach that has `remaining_s` of work left."""
    if now + remaining_s <= objective.due_at:
        return DeadlineStatus.ON_TIME
    if now + remaining_s <= objective.worthless_at:
        return DeadlineStatus.LATE
    return DeadlineStatus.WORTHLESS


def _advice_s(queue: Queue) -> float:
    if queue.advice is None:
        return 0.0
    servers = 30
    return queue.advice.question_s + servers * queue.advice.each_server_s
