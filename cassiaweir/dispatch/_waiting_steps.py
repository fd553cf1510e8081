"""Finds the steps whose tasks wait to be started, and ranks them."""

from __future__ import annotations

from dataclasses import dataclass

from cassiaweir.dispatch._crash_tracker import CrashTracker
from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.dispatch._objective import (
    DeadlineStatus,
    deadline_status,
    remaining_critical_path_s,
)
from cassiaweir.jobs import Step, Task
from cassiaweir.queues import Queue
from cassiaweir.types import Clock

URGENT_PRIORITY = 0
"""The priority of queues with urgent jobs."""

Rank = tuple[int, int, int, float]
"""The sort key of a waiting step, as `rank_of` returns it; lower ones start first."""


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step with tasks that could start, and its rank among these steps."""

    rank: Rank
    entry: JobEntry
    step: Step
    queue: Queue


class WaitingSteps:
    """Finds the steps of open jobs with tasks that may be started."""

    def __init__(
        self,
        jobs: JobRegistry,
        clock: Clock,
        gate: TakeoverGate,
        crashes: CrashTracker,
    ) -> None:
        self._jobs = jobs
        self._clock = clock
        self._gate = gate
        self._crashes = crashes

    def find(self, now: float) -> list[WaitingStep]:
        """Return the steps with tasks that may be started at `now`, in any order."""
        wall = self._clock.now().timestamp()
        found = []
        for entry in self._jobs.open_jobs():
            queue = self._jobs.queue_of(entry.job)
            for step in entry.job.startable_steps():
                if not _due(step, wall) or not self._has_startable(entry, step):
                    continue
                found.append(
                    WaitingStep(rank_of(entry, step, queue, now), entry, step, queue)
                )
        return found

    def _has_startable(self, entry: JobEntry, step: Step) -> bool:
        if not _has_waiting(step):
            return False
        unchecked = not entry.held and not entry.job.crashes
        return unchecked or bool(self.startable_tasks(entry, step))

    def startable_tasks(self, entry: JobEntry, step: Step) -> list[Task]:
        """Return the waiting tasks that may be started now.

        No former leader may have started them, and what is known of their crashes has
        to be stored.
        """
        tasks = step.waiting()
        if entry.job.crashes:
            tasks = [each for each in tasks if self._crashes.may_start(entry, each)]
        if not entry.held or self._gate.is_open:
            return tasks
        return [task for task in tasks if not self._gate.holds(task.name)]


def _due(step: Step, wall: float) -> bool:
    """Return whether the occurrence of `step` is due at `wall`, in Unix seconds."""
    spec = step.job.spec
    if not spec.times:
        return True
    return wall >= spec.first_at + step.occurrence * spec.interval_s


def _has_waiting(step: Step) -> bool:
    return len(step.placed()) + step.done_count < len(step.tasks)


def rank_of(entry: JobEntry, step: Step, queue: Queue, now: float) -> Rank:
    """Return the rank of a step; lower ranks start first.

    In this order: whether the job can meet its deadline, whether it is urgent and on
    time, whether it is within its customer's share, and the latest start that would
    still meet the deadline.
    """
    remaining = remaining_critical_path_s(entry.job, step)
    status = deadline_status(entry.objective, remaining, now)
    urgent = queue.priority == URGENT_PRIORITY
    latest_start = entry.objective.due_at - remaining
    if status is not DeadlineStatus.ON_TIME:
        urgent = False
    return (int(status), int(not urgent), int(entry.over_share), latest_start)
