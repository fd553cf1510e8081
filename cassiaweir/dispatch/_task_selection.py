"""Waiting tasks of a step that may be started, chosen without listing all of them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cassiaweir.jobs import Step, Task


@dataclass(frozen=True, slots=True)
class TaskSelection:
    """Waiting tasks of a step: those in `only`, or all but those in `without`.

    `without` holds indexes of tasks.  The length counts tasks that nothing is known of
    yet and that are created only when they are asked for.
    """

    step: Step
    without: frozenset[int] = frozenset()
    only: Sequence[Task] | None = None

    def __len__(self) -> int:
        """Return the number of tasks."""
        if self.only is not None:
            return len(self.only)
        left_out = sum(self.step.tasks.is_waiting(index) for index in self.without)
        return self.step.waiting_count - left_out

    def __contains__(self, index: int) -> bool:
        """Return whether the task with this index belongs to the selection."""
        if self.only is not None:
            return any(task.index == index for task in self.only)
        return index not in self.without and self.step.tasks.is_waiting(index)

    def first(self, count: int) -> Sequence[Task]:
        """Return up to `count` of the tasks, by index."""
        if self.only is not None:
            return self.only[:count]
        return self.step.tasks.waiting(count, self.without)

    def excluding(self, indexes: frozenset[int]) -> TaskSelection:
        """Return the selection without the tasks with these indexes."""
        if self.only is not None:
            left = [task for task in self.only if task.index not in indexes]
            return TaskSelection(self.step, only=left)
        return TaskSelection(self.step, self.without | indexes)
