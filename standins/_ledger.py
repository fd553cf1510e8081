"""Records all task attempts on the simulated workers and detects violations.

It sees what the workers do themselves, whatever the scheduler is told of it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cassiaweir.types import Resources, TaskId, TaskState


class Run(msgspec.Struct):
    """One attempt of a task on one worker; times are of the ledger's clock.

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
    """A breach of the scheduler's guarantees.

    `kind` is `run_twice` (`subject` is the task) or `overcommitted` (`subject` is the
    worker).  `at` is of the ledger's clock.
    """

    kind: str
    subject: str
    at: float
    detail: str


class LedgerAnswer(msgspec.Struct):
    """The whole ledger, as the body of a response to `GET /v1/ledger`.

    `ends` counts the ended attempts by final state, `jobs` the succeeded tasks by
    job.  `running` and `running_maximum` hold the resources that each team's running
    tasks use now and used at most, each dimension by itself.  `run_twice` and
    `overcommitted` count the violations of these kinds.
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
    """The resources of a team's running tasks, and the maximum of each dimension."""

    running: Resources = field(default_factory=Resources)
    maximum: Resources = field(default_factory=Resources)

    def add(self, size: Resources) -> None:
        """Add the resources of a started attempt."""
        self.running += size
        self.maximum = Resources(
            max(self.maximum.cpu_millis, self.running.cpu_millis),
            max(self.maximum.memory_mb, self.running.memory_mb),
            max(self.maximum.accelerators, self.running.accelerators),
        )


class Ledger:
    """Records starts and ends of task attempts and detects violations.

    Before a start is checked, the update callbacks of workers with another running
    attempt of the task record all ends up to that time, so that an attempt whose
    lease has expired does not count as running.
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
        """Register the callback that records ends on `worker` up to a given time."""
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
        """Record a start, and a violation if the task already runs somewhere."""
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
        """Record a violation at the present time."""
        self.violations.append(Violation(kind, subject, self.now(), detail))

    def count(self, kind: str) -> int:
        """Return the number of violations of one kind."""
        return sum(violation.kind == kind for violation in self.violations)

    def response(self) -> LedgerAnswer:
        """Return the whole ledger, after updating all workers to the present time."""
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
    """Return the attempt number and worker of `run` as text."""
    return f"attempt {run.attempt} on {run.worker}"
