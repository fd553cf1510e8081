"""Which crashes of servers hit the tasks of one job, and what follows from them."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum

MAX_CRASHES = 3
"""Crashes under a task after which its job fails, if one of them is proof enough."""

CRASHES_OF_WIDE_JOB = 2
"""Crashes under a task after which its job fails, if other tasks crash servers too."""

MAX_PROVEN_CRASHES = 3
"""Crashes under the tasks of a job that have no other cause, after which it fails."""

MAX_UNPROVEN_CRASHES = 4
"""Crashes under a task after which its job fails in any case."""

CRASHES_TO_RUN_ALONE = 2
SERVERS_TO_RUN_ALONE = 3
"""Servers that crashed under the tasks of one job, after which these run alone."""

DEFAULT_PROOF_S = 3.0
"""Time that a run has to survive if the age of earlier runs is not known."""

MAX_PROOF_S = 10.0


class Isolation(IntEnum):
    """What may run beside a task on its server."""

    NONE = 0
    APART = 1
    """No suspected task of another job."""

    ALONE = 2
    """No task of another job."""


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of a server's lifetime, as evidence against one job that had runs there.

    `alone` means that no other job had runs there, and that all servers lost at that
    time had runs of the job.  `widespread` means that several of them had none, so that
    the job is unlikely to be the cause.
    """

    alone: bool = False
    widespread: bool = False


@dataclass(slots=True)
class _Lifetime:
    """A lifetime of a server that ended, or was lost from sight, under some tasks."""

    crash: Crash
    confirmed: bool
    tasks: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class CrashRow:
    """The stored form of what is known about one lifetime."""

    lifetime: str
    tasks: list[str]
    confirmed: bool = False
    alone: bool = False
    widespread: bool = False


class CrashHistory:
    """The lifetimes of servers that ended, or may have ended, under a job's tasks.

    A lifetime that was only lost from sight is a loss: it counts like a crash for how
    tasks are placed, until it is confirmed or dismissed, but it never fails the job.
    `proof_s` is how long a run has to survive to be no longer suspected.
    """

    def __init__(self) -> None:
        self.proof_s = DEFAULT_PROOF_S
        self._lifetimes: dict[str, _Lifetime] = {}
        self._by_task: dict[str, dict[str, None]] = {}
        """The names of the lifetimes of each task, in the order of the losses."""
        self._watched: dict[str, str] = {}

    def __bool__(self) -> bool:
        """Return whether anything is recorded."""
        return bool(self._lifetimes or self._watched)

    @property
    def losses(self) -> Iterator[str]:
        """The lifetimes that are neither confirmed nor dismissed."""
        return (name for name, each in self._lifetimes.items() if not each.confirmed)

    def add_loss(self, task: str, lifetime: str, crash: Crash) -> bool:
        """Record that a run of `task` was lost; return whether that is new."""
        self._watched.pop(task, None)
        found = self._lifetimes.setdefault(lifetime, _Lifetime(crash, confirmed=False))
        if task in found.tasks:
            return False
        found.tasks.add(task)
        self._by_task.setdefault(task, {})[lifetime] = None
        return True

    def confirm(self, lifetime: str, crash: Crash) -> list[str]:
        """Count a loss as a crash; return the tasks for which that is new."""
        found = self._lifetimes.get(lifetime)
        if found is None or found.confirmed:
            return []
        found.confirmed = True
        found.crash = crash
        return sorted(found.tasks)

    def dismiss(self, lifetime: str) -> list[str]:
        """Forget a loss that was no crash; return the tasks that it was recorded for.

        There are none if it is not known, or counts as a crash.
        """
        found = self._lifetimes.get(lifetime)
        if found is None or found.confirmed:
            return []
        del self._lifetimes[lifetime]
        for task in found.tasks:
            del self._by_task[task][lifetime]
            if not self._by_task[task]:
                del self._by_task[task]
        return sorted(found.tasks)

    def forget(self, prefix: str) -> None:
        """Forget the tasks whose names begin with `prefix`, as they are done."""
        for task in self.suspects(prefix):
            for name in self._by_task.pop(task):
                self._lifetimes[name].tasks.discard(task)
                if not self._lifetimes[name].tasks:
                    del self._lifetimes[name]
        for task in [each for each in self._watched if each.startswith(prefix)]:
            del self._watched[task]

    def suspects(self, prefix: str) -> list[str]:
        """Return the tasks with crashes or losses whose names begin with `prefix`."""
        return [task for task in self._by_task if task.startswith(prefix)]

    def watch(self, task: str, lifetime: str) -> None:
        """Record on which lifetime a suspected task is about to be started."""
        self._watched[task] = lifetime

    def unwatch(self, task: str, lifetime: str | None = None) -> bool:
        """Forget where a task was started, as it is known not to run there.

        With `lifetime`, only if the start was there.  Return whether it was known.
        """
        if lifetime is not None and self._watched.get(task) != lifetime:
            return False
        return self._watched.pop(task, None) is not None

    def record_age(self, seconds: float) -> None:
        """Note how old a run was, at most, when its server was lost."""
        self.proof_s = min(max(self.proof_s, seconds), MAX_PROOF_S)

    def confirmed(self, task: str) -> list[Crash]:
        """Return the crashes under a task."""
        return [each.crash for each in self._of(task) if each.confirmed]

    def has_losses(self, task: str) -> bool:
        """Return whether a loss of a task is neither confirmed nor dismissed."""
        return any(not each.confirmed for each in self._of(task))

    def count(self, task: str) -> int:
        """Return the number of crashes and losses of a task."""
        return len(self._of(task))

    def isolation(self, tasks: Iterable[str]) -> Isolation:
        """Return what may run beside any of `tasks`."""
        return max((self._isolation(task) for task in tasks), default=Isolation.NONE)

    def exceeds_limit(self, task: str) -> bool:
        """Return whether the job fails for the crashes under `task`."""
        crashes = self.confirmed(task)
        proven = sum(
            each.confirmed and each.crash.alone for each in self._lifetimes.values()
        )
        if len(crashes) >= MAX_CRASHES and proven:
            return True
        if len(crashes) >= CRASHES_OF_WIDE_JOB and proven >= MAX_PROVEN_CRASHES:
            return True
        return len(crashes) >= MAX_UNPROVEN_CRASHES

    def rows(self, tasks: Collection[str]) -> list[CrashRow]:
        """Return the stored form of what is known of `tasks`.

        A watched start may be lost with this leader.
        """
        names = {name for task in tasks for name in self._by_task.get(task, ())}
        rows = []
        for name in sorted(names):
            each = self._lifetimes[name]
            rows.append(
                CrashRow(
                    name,
                    sorted(each.tasks.intersection(tasks)),
                    each.confirmed,
                    each.crash.alone,
                    each.crash.widespread,
                )
            )
        return rows + [
            CrashRow(self._watched[task], [task])
            for task in tasks
            if task in self._watched
        ]

    def restore(self, rows: Iterable[CrashRow]) -> None:
        """Add what a former leader has stored.

        A task may still run where it was lost from sight, so that stays recorded even
        if the loss is dismissed.
        """
        for row in rows:
            for task in row.tasks:
                self.add_loss(task, row.lifetime, Crash(widespread=row.widespread))
                if not row.confirmed:
                    self.watch(task, row.lifetime)
            if row.confirmed:
                self.confirm(row.lifetime, Crash(row.alone, row.widespread))

    def _of(self, task: str) -> list[_Lifetime]:
        return [self._lifetimes[name] for name in self._by_task.get(task, ())]

    def _isolation(self, task: str) -> Isolation:
        found = self._of(task)
        if not found:
            return Isolation.NONE
        local = sum(not each.crash.widespread for each in self._lifetimes.values())
        if len(found) >= CRASHES_TO_RUN_ALONE or local >= SERVERS_TO_RUN_ALONE:
            return Isolation.ALONE
        return Isolation.NONE if found[0].crash.widespread else Isolation.APART
