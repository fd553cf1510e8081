"""The expected durations of a job's steps, by what this term has learnt."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from cassiaweir.dispatch._objective import remaining_paths_s
from cassiaweir.jobs import Job, Step
from cassiaweir.queues import Queue
from cassiaweir.scheduling import DurationModel, ServerSpeeds, StepDurations

REFRESH_S = 0.25
"""The expected durations of a job are looked up again after this time."""

NOTICEABLE_CHANGE = 0.05
"""Smaller relative changes of all durations leave the objective of a job as it is."""

URGENT_PRIORITY = 0
"""The priority of queues with urgent jobs."""


class WorkModels:
    """What one term has learnt; a successor begins with estimates."""

    def __init__(self) -> None:
        self.durations = DurationModel()
        self.steps = StepDurations(self.durations)
        self.speeds = ServerSpeeds()

    def forget_job(self, job: Job) -> None:
        """Forget the steps of a job that has ended."""
        for step in job.steps.values():
            self.forget_step(step)

    def forget_step(self, step: Step) -> None:
        """Forget a step that has ended."""
        self.steps.forget(step.name)
        self.speeds.forget_step(step.name)


@dataclass(slots=True)
class JobTimes:
    """The expected durations of a job's steps, in the order of their numbers.

    `nominal_s` are those on a server of the mean speed, by which the deadline is set.
    `remaining_s` are the seconds from the start of each step to the end of the job, on
    the servers that it is likely to get.  `checked_at` is when they were last compared
    with the models.
    """

    nominal_s: Sequence[float]
    remaining_s: Sequence[float]
    speed: float
    checked_at: float = field(compare=False)


def refresh_times(
    job: Job, queue: Queue, models: WorkModels, known: JobTimes | None, now: float
) -> JobTimes:
    """Return the expected durations of a job: `known` unless they changed noticeably.

    They are looked up only if that was not done for `REFRESH_S`, so that the cost of
    ranking does not grow with the number of placement rounds.
    """
    if known is not None and now - known.checked_at < REFRESH_S:
        return known
    nominal_s = _nominal_durations_s(job, models)
    speed = _likely_speed(queue, models.speeds)
    if known is not None:
        known.checked_at = now
        pairs = zip((*nominal_s, speed), (*known.nominal_s, known.speed), strict=True)
        if all(abs(new - old) <= NOTICEABLE_CHANGE * old for new, old in pairs):
            return known
    remaining_s = [each / speed for each in remaining_paths_s(job.spec, nominal_s)]
    return JobTimes(nominal_s, remaining_s, speed, now)


def _nominal_durations_s(job: Job, models: WorkModels) -> list[float]:
    """Return the expected duration of a task of each step at the mean speed.

    Estimates are for a nominal server.  The median server, to which learnt durations
    refer, need not be one: where most servers are slow, the mean is closer.  Only the
    learnt part of an expected duration is converted.
    """
    queue = job.spec.queue.name
    scale = models.speeds.mean ** models.durations.confidence(queue)
    durations_s = []
    for number, spec in enumerate(job.spec.steps):
        if spec.long_running:
            durations_s.append(spec.duration_s)
            continue
        name = f"{job.job_id}.0.{number}"
        expected_s = models.steps.expected_s(name, queue, spec.estimate_s)
        durations_s.append(expected_s / scale)
    return durations_s


def _likely_speed(queue: Queue, speeds: ServerSpeeds) -> float:
    """Return the speed of the servers that a step will get, relative to the mean.

    Urgent steps prefer fast servers; others get any.
    """
    if queue.priority == URGENT_PRIORITY:
        return speeds.upper / speeds.mean
    return 1.0
