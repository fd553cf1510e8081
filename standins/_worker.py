"""A simulated worker VM.

It runs tasks under leases, rejects commands that are fenced or expired, and reports
resource usage with a lag.
"""

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
    """A command arrived too late, or was meant for another incarnation."""


REVISIONS_WHEN_RUNNING = 1
REVISIONS_WHEN_ENDED = 2
REVISIONS_WHEN_FORGOTTEN = 3


@dataclass(slots=True)
class _Attempt:
    """One attempt of a task on this worker; times are of the ledger's clock.

    `progress_seconds` is the work that earlier attempts saved in a checkpoint.
    `checkpoint` is the name of the one that this attempt saved, if any.
    """

    start: TaskStart
    run: Run
    behaviour: TaskBehaviour
    progress_seconds: float
    lease_ends_at: float
    checkpoint: str = ""

    @property
    def key(self) -> tuple[TaskId, int]:
        """The task and the number of the attempt."""
        return (self.start.task, self.start.attempt)

    @property
    def running(self) -> bool:
        """Whether the attempt still runs."""
        return not self.run.state.ended

    def finishes_at(self) -> float | None:
        """Return when the attempt ends by itself, or None if it never does."""
        if self.behaviour.seconds is None:
            return None
        return self.run.started_at + max(
            self.behaviour.seconds - self.progress_seconds, 0
        )


class SimulatedWorker:
    """Executes the commands of the `Worker` protocol.

    `clock_offset` is added to the ledger's clock, in seconds.  `fences` says whether
    commands of older epochs are rejected.  Usage is reported from `usage_lag` seconds
    after the start of a task.  While `fail_all` is set, each new task fails at once.
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
        """Report all attempts that run, or ended and are not acknowledged yet."""
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
        """A number that rises when an attempt starts, ends or is forgotten.

        Each attempt contributes a constant for its stage.  The constants rise from
        stage to stage, so that each transition raises the sum.
        """
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
        """Extend all leases by `lease_seconds` from now and forget `ended` attempts."""
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
        """Start the attempts that fit and are not listed yet."""
        now = self._check_command(command)
        for start in starts:
            if (start.task, start.attempt) not in self._attempts:
                self._start_one(start, now + lease_seconds)
        return self.list()

    def stop(
        self, command: Command, tasks: Sequence[TaskId], *, checkpoint: bool
    ) -> WorkerReport:
        """Stop tasks, saving their progress first if `checkpoint` is set."""
        now = self._check_command(command)
        stopped_tasks = set(tasks)
        for attempt in self._attempts.values():
            if attempt.running and attempt.start.task in stopped_tasks:
                self._stop_one(attempt, now, checkpoint=checkpoint)
        return self.list()

    def update_to(self, now: float) -> None:
        """Record the end of tasks that finished or whose lease expired by `now`."""
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
        """Lose all tasks and epochs at once and restart as `incarnation`."""
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
        """Reject an expired or fenced command, or return the ledger's time.

        The epoch is compared with the highest one seen from the same shard.
        """
        now = self._ledger.now()
        self.update_to(now)
        if command.incarnation not in ("", self.incarnation):
            raise ExpiredError(
                f"{self.name}: command is for incarnation {command.incarnation},"
                f" not {self.incarnation}"
            )
        if now + self.clock_offset > command.expires_at:
            raise ExpiredError(f"{self.name}: command expired before it arrived")
        highest = self._highest_epochs.get(command.shard, 0)
        if self.fences and command.epoch < highest:
            raise FencedError(
                f"{self.name}: command has epoch {command.epoch}, below {highest}"
            )
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
    """Return the progress in seconds, which follows the last `:` of `checkpoint`."""
    return float(checkpoint.rpartition(":")[2] or 0)


def _scale_resources(size: Resources, factor: float) -> Resources:
    """Return `size` times `factor`; accelerators are used whole or not at all."""
    return Resources(
        int(size.cpu_millis * factor),
        int(size.memory_mb * factor),
        size.accelerators if factor else 0,
    )
