"""The true history of all tasks on all workers, and the violations in it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cassiaweir.types import Resources, TaskId, TaskState


class Run(msgspec.Struct):
    """One attempt of a task on one worker; times are of the platform's clock.

    `ended_at` is None and `state` is RUNNING while it runs.
    """

    task: str
    attempt: int
    worker: str
    incarnation: str
    team: str
    size: Resources
    started_at: float
    ended_at: float | None = None
    state: TaskState = TaskState.RUNNING


class Violation(msgspec.Struct):
    """Something that must never happen."""

    kind: str
    subject: str
    at: float
    detail: str


class LedgerAnswer(msgspec.Struct):
    """The whole ledger, as `GET /v1/ledger` returns it.

    `jobs` counts the succeeded tasks of each job, `running` what runs now by team.
    """

    now: float
    tasks_started: int
    tasks_succeeded: int
    ends: dict[str, int]
    jobs: dict[str, int]
    run_twice: int
    overcommitted: int
    running: dict[str, Resources]
    running_maximum: dict[str, Resources]
    violations: list[Violation]
    runs: list[Run]


@dataclass(slots=True)
class _TeamUsage:
    """What a team runs now, and the most of each dimension that it ever ran."""

    running: Resources = field(default_factory=Resources)
    maximum: Resources = field(default_factory=Resources)

    def add(self, size: Resources) -> None:
        """Count a start."""
        self.running += size
        self.maximum = Resources(
            max(self.maximum.cpu_millis, self.running.cpu_millis),
            max(self.maximum.memory_mb, self.running.memory_mb),
            max(self.maximum.accelerators, self.running.accelerators),
        )


class Ledger:
    """Records starts and ends of tasks and finds violations.

    `update_to` callbacks bring the ends of all workers up to a time before a start is
    judged, so that an attempt whose lease has lapsed does not count as running.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.runs: list[Run] = []
        self.violations: list[Violation] = []
        self._running_attempts: dict[str, list[Run]] = {}
        self._teams: dict[str, _TeamUsage] = {}
        self._update_callbacks: dict[str, Callable[[float], None]] = {}

    def add_update_callback(
        self, worker: str, update_to: Callable[[float], None]
    ) -> None:
        """Register what brings `worker` up to a time."""
        self._update_callbacks[worker] = update_to

    def record_start(
        self,
        task: TaskId,
        attempt: int,
        *,
        worker: str,
        incarnation: str,
        team: str,
        size: Resources,
    ) -> Run:
        """Record a start and the violation that it may be."""
        at = self.now()
        name = str(task)
        for other in list(self._running_attempts.get(name, ())):
            self._update_callbacks[other.worker](at)
        run = Run(name, attempt, worker, incarnation, team, size, at)
        for other in self._running_attempts.get(name, ()):
            detail = f"{_describe_run(other)} runs while {_describe_run(run)} starts"
            self.record_violation("run_twice", name, detail)
        self._running_attempts.setdefault(name, []).append(run)
        self.runs.append(run)
        self._teams.setdefault(team, _TeamUsage()).add(size)
        return run

    def record_end(self, run: Run, state: TaskState, at: float) -> None:
        """Record the end of `run`."""
        run.ended_at = at
        run.state = state
        still_open = self._running_attempts[run.task]
        still_open.remove(run)
        if not still_open:
            del self._running_attempts[run.task]
        self._teams[run.team].running -= run.size

    def record_violation(self, kind: str, subject: str, detail: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(kind, subject, self.now(), detail))

    def count(self, kind: str) -> int:
        """Return the number of violations of one kind."""
        return sum(violation.kind == kind for violation in self.violations)

    def response(self) -> LedgerAnswer:
        """Return the whole ledger at this moment."""
        now = self.now()
        for update_to in self._update_callbacks.values():
            update_to(now)
        succeeded = [run for run in self.runs if run.state is TaskState.SUCCEEDED]
        jobs = Counter(run.task.rpartition("/")[0] for run in succeeded)
        ends = Counter(run.state.value for run in self.runs if run.state.ended)
        return LedgerAnswer(
            now=now,
            tasks_started=len(self.runs),
            tasks_succeeded=len(succeeded),
            ends=dict(ends),
            jobs=dict(jobs),
            run_twice=self.count("run_twice"),
            overcommitted=self.count("overcommitted"),
            running={name: use.running for name, use in self._teams.items()},
            running_maximum={name: use.maximum for name, use in self._teams.items()},
            violations=self.violations,
            runs=self.runs,
        )


def _describe_run(run: Run) -> str:
    """Return a run as text."""
    return f"attempt {run.attempt} on {run.worker}"
