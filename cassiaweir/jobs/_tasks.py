"""The tasks of a step; a task takes memory once something is known of it."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, overload

if TYPE_CHECKING:
    from cassiaweir.jobs._job import Step

MAX_KEPT_FAILURES = 16
"""Failed runs whose numbers are kept, the newest ones.

A server may list an end again after later ones; older runs than these were counted.
"""


class TaskState(StrEnum):
    """The state of a task; a PLACED task has a run that may exist on a server."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Attempts:
    """The failures and the newest checkpoint of a task, or of a gang as a whole.

    `failure_count` counts all failed runs; `failed_runs` holds the numbers of the
    newest ones.  `checkpoint_run` is the run that wrote `checkpoint`, 0 if it is
    unknown.
    """

    failed_runs: frozenset[int] = field(default=frozenset(), init=False)
    failure_count: int = field(default=0, init=False)
    checkpoint: str = field(default="", init=False)
    checkpoint_run: int = field(default=0, init=False)

    def record_failure(self, run: int) -> bool:
        """Count the failure of `run`; return whether it was not counted before."""
        if run in self.failed_runs:
            return False
        full = len(self.failed_runs) >= MAX_KEPT_FAILURES
        if full and run < min(self.failed_runs):
            return False
        self.restore_failures(self.failed_runs | {run}, self.failure_count + 1)
        return True

    def restore_failures(self, runs: Collection[int], count: int) -> None:
        """Set what is known of failed runs: the numbers of some, and the count."""
        self.failed_runs = frozenset(heapq.nlargest(MAX_KEPT_FAILURES, runs))
        self.failure_count = max(count, len(self.failed_runs))

    def record_checkpoint(self, run: int, checkpoint: str) -> None:
        """Record a checkpoint that `run` wrote; an empty one changes nothing.

        Reports of an older run may arrive after those of a newer one, and don't replace
        its checkpoint.
        """
        if checkpoint and run >= self.checkpoint_run:
            self.checkpoint = checkpoint
            self.checkpoint_run = run


@dataclass(slots=True, eq=False)
class Task(Attempts):
    """A task of a step.

    `run` is the number of its newest run, 0 before the first one.  `preempted` is true
    once a run of the task was stopped to make room for urgent work.
    """

    step: Step
    index: int
    _state: TaskState = TaskState.WAITING
    run: int = 0
    preempted: bool = False

    @property
    def state(self) -> TaskState:
        """The state of the task."""
        return self._state

    @state.setter
    def state(self, state: TaskState) -> None:
        former, self._state = self._state, state
        self.step.tasks.update(self, former)

    @property
    def name(self) -> str:
        """The name sent to servers: job id, occurrence, step number and task index."""
        return f"{self.step.name}.{self.index}"


class TaskList(Sequence[Task]):
    """The `count` tasks of a step, created when they are first asked for.

    Of tasks that are done only that is kept, and of tasks that nobody has asked for
    nothing, so that the memory of a wide step follows from how much of it is at work.
    """

    __slots__ = ("_count", "_done", "_known", "_step", "_untouched_from", "_waiting",
                 "done_count", "waiting_count")  # fmt: skip

    def __init__(self, step: Step, count: int) -> None:
        self._step = step
        self._count = count
        self._known: dict[int, Task] = {}
        self._waiting: set[int] | frozenset[int] = frozenset()
        """The indexes of the known tasks that wait."""
        self._done = 0
        """A set of bits; bit N is set once task N is done."""
        self._untouched_from = 0
        """All tasks before this index are known or done."""
        self.done_count = 0
        self.waiting_count = count

    def __len__(self) -> int:
        """Return the number of tasks, known or not."""
        return self._count

    @overload
    def __getitem__(self, index: int) -> Task: ...

    @overload
    def __getitem__(self, index: slice) -> list[Task]: ...

    def __getitem__(self, index: int | slice) -> Task | list[Task]:
        """Return one task or several; raise `IndexError` if there is none."""
        if isinstance(index, slice):
            return [self[each] for each in range(*index.indices(self._count))]
        if not -self._count <= index < self._count:
            raise IndexError(index)
        index %= self._count
        known = self._known.get(index)
        if known is not None:
            return known
        if self.is_done(index):
            return Task(self._step, index, TaskState.DONE)
        task = self._known[index] = Task(self._step, index)
        self._note_waiting(index)
        return task

    def _note_waiting(self, index: int) -> None:
        if not isinstance(self._waiting, set):
            # Most steps that wait for others have no known task.
            self._waiting = set()
        self._waiting.add(index)

    def is_done(self, index: int) -> bool:
        """Return whether the task with this index is done."""
        return bool(self._done >> index & 1)

    def is_waiting(self, index: int) -> bool:
        """Return whether there is a task with this index, and it needs a run."""
        if index in self._known:
            return index in self._waiting
        return 0 <= index < self._count and not self.is_done(index)

    def known_at(self, index: int) -> Task | None:
        """Return a task that is not done, None if nothing is known of it."""
        return self._known.get(index)

    def known(self) -> Iterator[Task]:
        """Yield the tasks of which something is known and that are not done."""
        yield from self._known.values()

    def waiting(
        self, limit: int | None = None, without: Collection[int] = ()
    ) -> list[Task]:
        """Return up to `limit` tasks that need a run, all without one, by index.

        Those with an index in `without` are left out.
        """
        limit = self._count if limit is None else limit
        found = heapq.nsmallest(limit, self._waiting.difference(without))
        for index in self._untouched():
            if len(found) >= limit:
                break
            if index not in without:
                found.append(index)
        return [self[index] for index in sorted(found)]

    def _untouched(self) -> Iterator[int]:
        """Yield the indexes of the tasks that are neither known nor done."""
        while self._is_touched(self._untouched_from):
            self._untouched_from += 1
        for index in range(self._untouched_from, self._count):
            if not self._is_touched(index):
                yield index

    def _is_touched(self, index: int) -> bool:
        in_range = index < self._count
        return in_range and (index in self._known or self.is_done(index))

    def update(self, task: Task, former: TaskState) -> None:
        """Note that the state of `task` has changed from `former`."""
        state = task.state
        self.waiting_count += (state is TaskState.WAITING) - (
            former is TaskState.WAITING
        )
        if state is TaskState.WAITING:
            self._note_waiting(task.index)
        elif isinstance(self._waiting, set):
            self._waiting.discard(task.index)
        if state is TaskState.DONE and former is not TaskState.DONE:
            self._done |= 1 << task.index
            self.done_count += 1
            self._known.pop(task.index, None)
