"""Deadlines of jobs, and whether a job can still meet its own."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from cassiaweir.jobs import JobSpec
from cassiaweir.queues import Queue

MAX_LATENESS_FACTOR = 3
"""A result has no value once a job has taken this many times its allowed duration."""

EXPECTED_SERVERS_IN_QUESTION = 30
"""Number of servers that a question to the advice service is assumed to name."""

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

    def later_by(self, seconds: float) -> Objective:
        """Return the objective of a job that came `seconds` later."""
        if not seconds:
            return self
        return Objective(self.due_at + seconds, self.worthless_at + seconds)


def critical_path_s(
    spec: JobSpec,
    queue: Queue,
    fleet_cpu_millis: int,
    durations_s: Sequence[float] = (),
) -> float:
    """Return the expected seconds of the longest chain of dependent steps.

    `durations_s` are the expected durations of a task of each step, the estimates if
    empty.  The time that the advice service takes to answer for each step is included.
    """
    durations_s = durations_s or [step.duration_s for step in spec.steps]
    ends: list[float] = []
    for step, duration_s in zip(spec.steps, durations_s, strict=True):
        begins = max((ends[earlier] for earlier in step.after), default=0.0)
        wave_cpu_millis = max(fleet_cpu_millis * MAX_WAVE_SHARE, 1.0)
        waves = max(step.count * step.demand.cpu_millis / wave_cpu_millis, 1.0)
        ends.append(begins + duration_s * waves + expected_advice_s(queue))
    return max(ends)


def objective_of(
    spec: JobSpec,
    queue: Queue,
    fleet_cpu_millis: int,
    submitted_at: float,
    durations_s: Sequence[float] = (),
) -> Objective:
    """Return the objective of a job that was submitted at `submitted_at`.

    `durations_s` are as for `critical_path_s`.
    """
    path_s = critical_path_s(spec, queue, fleet_cpu_millis, durations_s)
    allowed_s = queue.stretch * path_s + queue.slack_s
    return Objective(
        submitted_at + allowed_s, submitted_at + MAX_LATENESS_FACTOR * allowed_s
    )


def remaining_paths_s(spec: JobSpec, durations_s: Sequence[float] = ()) -> list[float]:
    """Return for each step the expected seconds from its start to the end of the job.

    Only the step and those that depend on it count.  `durations_s` are as for
    `critical_path_s`.
    """
    durations_s = durations_s or [step.duration_s for step in spec.steps]
    remaining_s = list(durations_s)
    # Steps depend only on earlier ones, so the last step is complete first.
    for number in range(len(spec.steps) - 1, -1, -1):
        for earlier in spec.steps[number].after:
            through_s = durations_s[earlier] + remaining_s[number]
            remaining_s[earlier] = max(remaining_s[earlier], through_s)
    return remaining_s


def deadline_status(
    objective: Objective, remaining_s: float, now: float
) -> DeadlineStatus:
    """Return whether a job with `remaining_s` of work left can meet `objective`."""
    if now + remaining_s <= objective.due_at:
        return DeadlineStatus.ON_TIME
    if now + remaining_s <= objective.worthless_at:
        return DeadlineStatus.LATE
    return DeadlineStatus.WORTHLESS


def expected_advice_s(queue: Queue) -> float:
    """Return the expected seconds until the advice service has answered for a step."""
    if queue.advice is None:
        return 0.0
    asked = EXPECTED_SERVERS_IN_QUESTION
    return queue.advice.question_s + asked * queue.advice.each_server_s
