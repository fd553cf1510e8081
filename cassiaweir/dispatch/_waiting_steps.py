"""Finds the steps whose tasks wait to be started, and ranks them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple

from loguru import logger

from cassiaweir.dispatch._crash_tracker import CrashTracker
from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_errors import JobAction
from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.dispatch._job_times import URGENT_PRIORITY
from cassiaweir.dispatch._objective import DeadlineStatus, deadline_status
from cassiaweir.dispatch._task_selection import TaskSelection
from cassiaweir.jobs import Step
from cassiaweir.queues import Queue
from cassiaweir.types import Clock

AGED_S = 30.0
"""A job of which no task has started for this long may be taken out of turn."""

TURN_S = 1.0
"""Time for which a step that is taken out of turn stays the only one.

A backlog that has waited for long then does not keep new work from being on time.
"""

FINISH_MARGIN_S = 0.25
FINISH_MARGIN_SHARE = 0.15
"""A job counts as on time only if it ends this much before its deadline.

That covers the order of a start, the store of the end, and tasks that take longer than
expected.  Under overload the work that is nearest to its deadline comes first; without
the margin all of it would end just after its deadline.
"""

NEW_JOB_SHARE = 0.2
"""A job counts as on time for this share of its allowed time after its submission.

On slow servers the expected duration and the margin may exceed the allowed time of a
short job, which would then be late from the start.
"""

PRESSURE_S = 0.5
"""Steps whose latest starts fall into the same interval are equally pressing."""

WITHIN_SHARE = 0
BEYOND_SHARE = 1
OUT_OF_TURN = -1


class Rank(NamedTuple):
    """The sort key of a waiting step; lower ones start first.

    `share` is one of `OUT_OF_TURN`, `WITHIN_SHARE` and `BEYOND_SHARE`, `status` a
    `DeadlineStatus`, `pressure` the latest start in units of `PRESSURE_S`.

    A late urgent step comes before all work that is not urgent: a short delay of it
    would otherwise last for as long as there is batch work that can be on time.
    """

    share: int
    worthless: int
    not_urgent: int
    status: int
    pressure: int
    not_begun: int
    latest_start: float


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step with tasks that could start, and its rank among these steps."""

    rank: Rank
    entry: JobEntry
    step: Step
    queue: Queue


@dataclass(frozen=True, slots=True)
class HeldTasks:
    """Waiting tasks of one job that may not be started, whatever room there is."""

    entry: JobEntry
    queue: str
    tasks: int


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
        self._round = 0
        self._turn: JobEntry | None = None
        self._turn_ends_at = 0.0

    def find(self, now: float) -> list[WaitingStep]:
        """Return the steps with tasks that may be started at `now`, in any order."""
        wall = self._clock.now().timestamp()
        found: list[WaitingStep] = []
        aged: list[JobEntry] = []
        self._round += 1

        def visit(entry: JobEntry) -> None:
            ranked = self._rank_all(entry, now, wall)
            if not ranked:
                return
            found.extend(ranked)
            if self._note_waiting(entry, now):
                aged.append(entry)

        self._jobs.visit_open(JobAction.RANK, visit)
        self._take_turn(found, aged, now)
        return found

    def _rank_all(self, entry: JobEntry, now: float, wall: float) -> list[WaitingStep]:
        """Return the steps of a job with tasks that may be started."""
        ranked = (
            self._rank(entry, step, now, wall) for step in entry.job.startable_steps()
        )
        return [each for each in ranked if each is not None]

    def find_among(self, steps: Iterable[Step], now: float) -> list[WaitingStep]:
        """Return those of `steps` with tasks that may be started, in any order."""
        wall = self._clock.now().timestamp()
        found = []

        def visit(step: Step) -> None:
            entry = self._jobs.entries.get(step.job.job_id)
            if entry is None or step not in entry.job.startable_steps():
                return
            waiting = self._rank(entry, step, now, wall)
            if waiting is not None:
                found.append(waiting)

        self._jobs.errors.visit_each(
            JobAction.RANK, steps, lambda step: step.job.job_id, visit
        )
        return found

    def _rank(
        self, entry: JobEntry, step: Step, now: float, wall: float
    ) -> WaitingStep | None:
        """Return a startable step with its rank, None if no task may be started."""
        if not _due(step, wall) or not self._has_startable(entry, step):
            return None
        queue = self._jobs.queue_of(entry.job)
        remaining_s = self._jobs.times_of(entry, queue, now).remaining_s
        rank = rank_of(
            entry, queue, remaining_s[step.number], now, due_after_s=step.due_after_s
        )
        return WaitingStep(rank, entry, step, queue)

    def _note_waiting(self, entry: JobEntry, now: float) -> bool:
        """Note that a job has a waiting step; return whether it waits for too long."""
        if entry.seen_in_round < self._round - 1:
            entry.waiting_since = now
        entry.seen_in_round = self._round
        return now - max(entry.waiting_since, entry.last_start_at) > AGED_S

    def _take_turn(
        self, found: list[WaitingStep], aged: list[JobEntry], now: float
    ) -> None:
        """Put a step of the job that has waited for longest before all others.

        Nothing then waits for ever, even if other work always comes first by rank.
        """
        if not aged:
            return
        if now >= self._turn_ends_at:
            # A job that cannot start in its turn, such as one whose customer is at its
            # cap, waits for its next one behind the others.
            self._turn = min(
                aged,
                key=lambda each: max(
                    each.waiting_since, each.last_start_at, each.turn_at
                ),
            )
            self._turn.turn_at = now
            self._turn_ends_at = now + TURN_S
            logger.info("job_taken_out_of_turn", job=self._turn.job.job_id)
        if self._turn not in aged:
            return
        for number, waiting in enumerate(found):
            if waiting.entry is self._turn:
                rank = waiting.rank._replace(share=OUT_OF_TURN)
                found[number] = replace(waiting, rank=rank)
                return

    def _has_startable(self, entry: JobEntry, step: Step) -> bool:
        if not step.waiting_count:
            return False
        unchecked = not (entry.held or entry.job.crashes or entry.withheld_until)
        return unchecked or len(self.startable_tasks(entry, step)) > 0

    def startable_tasks(self, entry: JobEntry, step: Step) -> TaskSelection:
        """Return the waiting tasks that may be started now.

        No former leader may have started them, what is known of their crashes has to be
        stored, and no end of the job may wait to be applied.
        """
        if self._clock.monotonic() < entry.withheld_until:
            return TaskSelection(step, only=())
        held: frozenset[int] = frozenset()
        if entry.held and not self._gate.is_open:
            if self._gate.holds_all:
                return TaskSelection(step, only=())
            held = self._gate.named_indexes(step.name)
        if entry.job.crashes:
            held |= self._suspects_held(entry, step)
        return TaskSelection(step, held)

    def _suspects_held(self, entry: JobEntry, step: Step) -> frozenset[int]:
        """Return the indexes of suspected tasks that may not be started yet."""
        found = set()
        for name in entry.job.crashes.suspects(f"{step.name}."):
            task = entry.job.find_task(name)
            if task is not None and not self._crashes.may_start(entry, task):
                found.add(task.index)
        return frozenset(found)

    def held_tasks(self) -> list[HeldTasks]:
        """Return the due tasks that may not be started yet."""
        wall = self._clock.now().timestamp()
        found: list[HeldTasks] = []

        def visit(entry: JobEntry) -> None:
            if not entry.job.crashes and (not entry.held or self._gate.is_open):
                return
            for step in entry.job.startable_steps():
                if _due(step, wall):
                    tasks = self.startable_tasks(entry, step)
                    held = step.waiting_count - len(tasks)
                    if held:
                        queue = self._jobs.queue_of(entry.job).name
                        found.append(HeldTasks(entry, queue, held))

        self._jobs.visit_open(JobAction.WAIT_CAUSE, visit)
        return found

    def unranked_tasks(self) -> list[HeldTasks]:
        """Return the tasks that wait as an error keeps their jobs from being ranked."""
        found: list[HeldTasks] = []
        for job_id in self._jobs.errors.jobs_failing(JobAction.RANK):
            entry = self._jobs.entries.get(job_id)
            if entry is not None and not entry.job.ended:
                tasks = sum(step.waiting_count for step in entry.job.steps.values())
                found.append(HeldTasks(entry, entry.job.spec.queue.name, tasks))
        return found


def _due(step: Step, wall: float) -> bool:
    """Return whether the occurrence of `step` is due at `wall`, in Unix seconds."""
    spec = step.job.spec
    return not spec.times or wall >= spec.due_at(step.occurrence)


def rank_of(
    entry: JobEntry,
    queue: Queue,
    remaining_s: float,
    now: float,
    *,
    due_after_s: float = 0.0,
) -> Rank:
    """Return the rank of a step whose job needs `remaining_s` from its start on.

    The times of an occurrence of a recurring job count from when it is due, which is
    `due_after_s` after the submission.  Of equally pressing steps, those of jobs that
    have begun come first: a job is worth something only once it is complete.
    """
    submitted_at = entry.submitted_at + due_after_s
    objective = entry.objective.later_by(due_after_s)
    expected_s = remaining_s * (1 + FINISH_MARGIN_SHARE) + FINISH_MARGIN_S
    latest_start = objective.due_at - remaining_s
    status = deadline_status(objective, expected_s, now)
    allowed_s = objective.due_at - submitted_at
    if now < submitted_at + NEW_JOB_SHARE * allowed_s:
        status = DeadlineStatus.ON_TIME
    return Rank(
        BEYOND_SHARE if entry.over_share else WITHIN_SHARE,
        int(status is DeadlineStatus.WORTHLESS),
        int(queue.priority != URGENT_PRIORITY),
        int(status),
        int(latest_start // PRESSURE_S),
        int(not entry.job.started),
        latest_start,
    )
