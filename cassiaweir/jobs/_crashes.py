"""Which crashes of servers hit the tasks of one job, and what follows from them."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum

MIN_PROVEN_CRASHES = 2
"""No job fails with fewer crashes under one of its tasks."""

MAX_ENDED_LIFETIMES = 3
"""Lifetimes that ended under a task after which its job fails, if one is proof enough.

Those that are over count beside proven crashes, as a task may have ended them.
"""

MAX_PROVEN_CRASHES = 3
"""Crashes under the tasks of a job that have no other cause, after which it fails."""

MAX_LOST_LIFETIMES = 5
"""Lifetimes that were lost under a task after which it is not started any more.

If enough of them are proven crashes, its job fails.  It is one less for a job that a
successor has taken over: its former leader may have ended before it noticed a crash
under a first start.
"""

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
    """A lifetime of a server that ended, or was lost from sight, under some tasks.

    `confirmed` means that it ended while these were there, and `over` that nobody
    expects to hear from it again.  `lease_until` is as in `CrashRow`.
    """

    crash: Crash
    confirmed: bool = False
    over: bool = False
    lease_until: float = 0.0
    tasks: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _WatchedStart:
    """Where a suspected task is started, and until when its lease is in force.

    `lease_until` is in Unix seconds by the clock of the leader that starts it.
    """

    lifetime: str
    lease_until: float


@dataclass(frozen=True, slots=True)
class CrashRow:
    """The stored form of what is known about one lifetime.

    `lease_until` is the time in Unix seconds until which the lease of a watched start
    is in force there, 0 if that is not known.  `proven` is that of a confirmed one;
    older builds also confirmed lifetimes by silence, and don't store it.
    """

    lifetime: str
    tasks: list[str]
    confirmed: bool = False
    alone: bool = False
    widespread: bool = False
    over: bool = False
    lease_until: float = 0.0
    proven: bool = False


class CrashHistory:
    """The lifetimes of servers that ended, or may have ended, under a job's tasks.

    A lifetime that was only lost from sight is a loss: it counts like a crash for how
    tasks are placed, and how often, until it is confirmed or dismissed.  Without
    crashes, losses never fail the job: the server may have been cut off, and the tasks
    may have ended there, as their lease expired, before its lifetime did.
    `proof_s` is how long a run has to survive to be no longer suspected.  `taken_over`
    means that a former leader may have started tasks of the job.
    """

    def __init__(self) -> None:
        self.proof_s = DEFAULT_PROOF_S
        self.taken_over = False
        self._lifetimes: dict[str, _Lifetime] = {}
        self._by_task: dict[str, dict[str, None]] = {}
        """The names of the lifetimes of each task, in the order of the losses."""
        self._watched: dict[str, _WatchedStart] = {}

    def __bool__(self) -> bool:
        """Return whether anything is recorded."""
        return bool(self._lifetimes or self._watched)

    def __contains__(self, lifetime: str) -> bool:
        """Return whether a lifetime ended, or was lost, under a task."""
        return lifetime in self._lifetimes

    @property
    def losses(self) -> Iterator[str]:
        """The lifetimes that are neither confirmed nor dismissed."""
        return (name for name, each in self._lifetimes.items() if not each.confirmed)

    def open_losses(self, task: str) -> Iterator[str]:
        """Return the losses of a task of which the lifetime may still be heard from."""
        return (
            name
            for name in self._by_task.get(task, ())
            if not (self._lifetimes[name].confirmed or self._lifetimes[name].over)
        )

    def add_loss(self, task: str, lifetime: str, crash: Crash) -> bool:
        """Record that a run of `task` was lost; return whether that is new."""
        self._watched.pop(task, None)
        found = self._lifetimes.setdefault(lifetime, _Lifetime(crash))
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

    def mark_over(self, lifetime: str) -> list[str]:
        """Note that a lost lifetime is not expected to be heard from again.

        Return the tasks for which that is new.
        """
        found = self._lifetimes.get(lifetime)
        if found is None or found.confirmed or found.over:
            return []
        found.over = True
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

    def watch(self, task: str, lifetime: str, lease_until: float = 0.0) -> None:
        """Record on which lifetime a suspected task is about to be started.

        `lease_until` is as in `CrashRow`.
        """
        self._watched[task] = _WatchedStart(lifetime, lease_until)

    def unwatch(self, task: str, lifetime: str | None = None) -> bool:
        """Forget where a task was started, as it is known not to run there.

        With `lifetime`, only if the start was there.  Return whether it was known.
        """
        watched = self._watched.get(task)
        if watched is None or lifetime not in (None, watched.lifetime):
            return False
        del self._watched[task]
        return True

    def lease_until(self, lifetime: str) -> float:
        """Return until when a lost lifetime held leases, in Unix seconds.

        It is 0 unless a former leader has stored that with a start there.
        """
        found = self._lifetimes.get(lifetime)
        return 0.0 if found is None else found.lease_until

    def record_age(self, seconds: float) -> None:
        """Note how old a run was, at most, when its server was lost."""
        self.proof_s = min(max(self.proof_s, seconds), MAX_PROOF_S)

    def confirmed(self, task: str) -> list[Crash]:
        """Return the crashes under a task."""
        return [each.crash for each in self._of(task) if each.confirmed]

    def count(self, task: str) -> int:
        """Return the number of crashes and losses of a task."""
        return len(self._of(task))

    def isolation(self, tasks: Iterable[str]) -> Isolation:
        """Return what may run beside any of `tasks`."""
        return max((self._isolation(task) for task in tasks), default=Isolation.NONE)

    def exceeds_limit(self, task: str) -> bool:
        """Return whether the job fails for the crashes under `task`."""
        if len(self.confirmed(task)) < MIN_PROVEN_CRASHES:
            return False
        ended = sum(each.confirmed or each.over for each in self._of(task))
        alone = sum(
            each.confirmed and each.crash.alone for each in self._lifetimes.values()
        )
        if ended >= MAX_ENDED_LIFETIMES and alone:
            return True
        return alone >= MAX_PROVEN_CRASHES or ended >= self._max_lost_lifetimes

    def withholds(self, task: str) -> bool:
        """Return whether a task was lost too often to be started again for now."""
        return self.count(task) >= self._max_lost_lifetimes

    @property
    def _max_lost_lifetimes(self) -> int:
        unnoticed = 1 if self.taken_over else 0
        return MAX_LOST_LIFETIMES - unnoticed

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
                    each.over,
                    proven=each.confirmed,
                )
            )
        return rows + [
            CrashRow(start.lifetime, [task], lease_until=start.lease_until)
            for task in tasks
            if (start := self._watched.get(task)) is not None
        ]

    def restore(self, rows: Iterable[CrashRow]) -> None:
        """Add what a former leader has stored.

        A task may still run where it was lost from sight, so that stays recorded even
        if the loss is dismissed.
        """
        self.taken_over = True
        for row in rows:
            for task in row.tasks:
                self.add_loss(task, row.lifetime, Crash(widespread=row.widespread))
                if not row.confirmed and not row.over:
                    self.watch(task, row.lifetime, row.lease_until)
            found = self._lifetimes.get(row.lifetime)
            if found is not None:
                found.lease_until = max(found.lease_until, row.lease_until)
            if row.over or (row.confirmed and not row.proven):
                self.mark_over(row.lifetime)
            elif row.confirmed:
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
