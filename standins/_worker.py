"""A worker VM: tasks under leases, fencing, expiry of commands, lagging usage."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cassiaweir.exceptions import CassiaweirError, FencedError
from cassiaweir.types import (
    Command,
    Resources,
    TaskId,
    TaskReport,
    TaskStart,
    TaskState,
    WorkerReport,
)
from standins._ledger import Ledger, Run
from standins._payload import TaskBehaviour, parse_payload


class ExpiredError(CassiaweirError):
    """A command arrived after its expiry on the worker's clock."""


REVISIONS_WHEN_RUNNING = 1
REVISIONS_WHEN_ENDED = 2
REVISIONS_WHEN_FORGOTTEN = 3


@dataclass(slots=True)
class _Attempt:
    """One attempt of a task on this worker; times are of the platform's clock."""

    start: TaskStart
    run: Run
    behaviour: TaskBehaviour
    progress_seconds: float
    lease_ends_at: float
    checkpoint: str = ""

    @property
    def key(self) -> tuple[TaskId, int]:
        """What names the attempt."""
        return (self.start.task, self.start.attempt)

    @property
    def running(self) -> bool:
        """Whether it still runs."""
        return not self.run.state.ended

    def finishes_at(self) -> float | None:
        """Return when it ends by itself."""
        if self.behaviour.seconds is None:
            return None
        return self.run.started_at + max(
            self.behaviour.seconds - self.progress_seconds, 0
        )


class SimulatedWorker:
    """Carries out the commands of the `Worker` protocol.

    `clock_offset` is added to the platform's clock.  `fences` turns the refusal of
    older epochs on and off.  `fail_all` lets each task fail at once.
    """

    def __init__(
        self,
        name: str,
        capacity: Resources,
        ledger: Ledger,
        *,
        incarnation: str,
        fences: bool = True,
        clock_offset: float = 0.0,
        usage_lag: float = 2.0,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.incarnation = incarnation
        self.fences = fences
        self.clock_offset = clock_offset
        self.usage_lag = usage_lag
        self.fail_all = False
        self._ledger = ledger
        self._highest_epochs: dict[str, int] = {}
        self._attempts: dict[tuple[TaskId, int], _Attempt] = {}
        self._saved_progress: dict[str, float] = {}
        self._base_revision = 1
        ledger.add_update_callback(name, self.update_to)

    def list(self) -> WorkerReport:
        """Return all attempts that run or are not acknowledged."""
        now = self._ledger.now()
        self.update_to(now)
        return WorkerReport(
            worker=self.name,
            incarnation=self.incarnation,
            clock=now + self.clock_offset,
            epoch=max(self._highest_epochs.values(), default=0),
            tasks=[self._report(attempt, now) for attempt in self._attempts.values()],
            revision=self.revision,
        )

    @property
    def revision(self) -> int:
        """A number that rises when an attempt is added, ends or is forgotten."""
        running = sum(attempt.running for attempt in self._attempts.values())
        ended = len(self._attempts) - running
        return (
            self._base_revision
            + REVISIONS_WHEN_RUNNING * running
            + REVISIONS_WHEN_ENDED * ended
        )

    def renew(
        self, command: Command, lease_seconds: float, ended: Sequence[TaskReport]
    ) -> WorkerReport:
        """Extend the lease of all running tasks and forget `ended` attempts."""
        now = self._check_command(command)
        for report in ended:
            attempt = self._attempts.get((report.task, report.attempt))
            if attempt is not None and not attempt.running:
                del self._attempts[attempt.key]
                self._base_revision += REVISIONS_WHEN_FORGOTTEN
        for attempt in self._attempts.values():
            attempt.lease_ends_at = max(attempt.lease_ends_at, now + lease_seconds)
        return self.list()

    def start(
        self, command: Command, lease_seconds: float, starts: Sequence[TaskStart]
    ) -> WorkerReport:
        """Start the tasks that fit and are not listed yet."""
        now = self._check_command(command)
        for start in starts:
            if (start.task, start.attempt) not in self._attempts:
                self._start_one(start, now + lease_seconds)
        return self.list()

    def stop(
        self, command: Command, tasks: Sequence[TaskId], *, checkpoint: bool
    ) -> WorkerReport:
        """Stop tasks, saving their progress first where `checkpoint` is set."""
        now = self._check_command(command)
        stopped_tasks = set(tasks)
        for attempt in self._attempts.values():
            if attempt.running and attempt.start.task in stopped_tasks:
                self._stop_one(attempt, now, checkpoint=checkpoint)
        return self.list()

    def update_to(self, now: float) -> None:
        """End the tasks that finished by themselves or whose lease lapsed."""
        for attempt in self._attempts.values():
            if not attempt.running:
                continue
            finish = attempt.finishes_at()
            if finish is not None and finish <= min(now, attempt.lease_ends_at):
                self._ledger.record_end(attempt.run, attempt.behaviour.end, finish)
            elif attempt.lease_ends_at <= now:
                expired_at = attempt.lease_ends_at
                self._ledger.record_end(
                    attempt.run, TaskState.LEASE_EXPIRED, expired_at
                )

    def die(self, incarnation: str) -> None:
        """Lose all tasks at once and come back as another incarnation."""
        now = self._ledger.now()
        self.update_to(now)
        for attempt in self._attempts.values():
            if attempt.running:
                self._ledger.record_end(attempt.run, TaskState.LEASE_EXPIRED, now)
        self._base_revision += REVISIONS_WHEN_FORGOTTEN * len(self._attempts)
        self._attempts.clear()
        self._highest_epochs.clear()
        self._saved_progress.clear()
        self.incarnation = incarnation

    def _check_command(self, command: Command) -> float:
        """Refuse an expired or fenced command, and return the time."""
        now = self._ledger.now()
        self.update_to(now)
        if command.incarnation not in ("", self.incarnation):
            raise ExpiredError(f"{self.name}: the command is for another incarnation")
        if now + self.clock_offset > command.expires_at:
            raise ExpiredError(f"{self.name}: the command has expired")
        highest = self._highest_epochs.get(command.shard, 0)
        if self.fences and command.epoch < highest:
            raise FencedError(f"{self.name}: has seen epoch {highest}")
        self._highest_epochs[command.shard] = max(highest, command.epoch)
        return now

    def _start_one(self, start: TaskStart, lease_ends_at: float) -> None:
        used = Resources()
        for attempt in self._attempts.values():
            if attempt.running:
                used += attempt.start.size
        if not (used + start.size).fits(self.capacity):
            detail = f"attempt {start.attempt} of {start.task} does not fit"
            self._ledger.record_violation("overcommitted", self.name, detail)
            return
        behaviour = parse_payload(start.payload)
        if self.fail_all:
            behaviour = TaskBehaviour(0.0, TaskState.FAILED)
        run = self._ledger.record_start(
            start.task,
            start.attempt,
            worker=self.name,
            incarnation=self.incarnation,
            team=start.team,
            size=start.size,
        )
        done = _parse_progress(start.resume)
        attempt = _Attempt(start, run, behaviour, done, lease_ends_at)
        self._attempts[attempt.key] = attempt

    def _stop_one(self, attempt: _Attempt, now: float, *, checkpoint: bool) -> None:
        if not checkpoint:
            self._ledger.record_end(attempt.run, TaskState.STOPPED, now)
            return
        done = attempt.progress_seconds + now - attempt.run.started_at
        start = attempt.start
        attempt.checkpoint = f"{start.task}@{start.attempt}:{done:.3f}"
        self._ledger.record_end(attempt.run, TaskState.CHECKPOINTED, now)

    def _report(self, attempt: _Attempt, now: float) -> TaskReport:
        start = attempt.start
        usage_visible = (
            attempt.running and now - attempt.run.started_at >= self.usage_lag
        )
        return TaskReport(
            task=start.task,
            attempt=start.attempt,
            team=start.team,
            size=start.size,
            state=attempt.run.state,
            usage=_scale_resources(
                start.size, attempt.behaviour.usage if usage_visible else 0.0
            ),
            checkpoint=attempt.checkpoint,
        )


def _parse_progress(checkpoint: str) -> float:
    """Return the progress that the name of a checkpoint carries."""
    return float(checkpoint.rpartition(":")[2] or 0)


def _scale_resources(size: Resources, factor: float) -> Resources:
    """Return `size` times `factor`; accelerators are held whole."""
    return Resources(
        int(size.cpu_millis * factor),
        int(size.memory_mb * factor),
        size.accelerators if factor else 0,
    )
