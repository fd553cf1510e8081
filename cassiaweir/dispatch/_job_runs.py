"""The counted runs of one job, found by task and by step."""

from __future__ import annotations

from collections.abc import Iterator

from cassiaweir.dispatch._runs import Run
from cassiaweir.jobs import Step, Task


class JobRuns:
    """The runs of a job that take room on a server, in the order of their start.

    Wide jobs have thousands of runs, and each end asks for those of one task.
    """

    def __init__(self) -> None:
        self._runs: dict[Run, None] = {}
        self._by_task: dict[Task, list[Run]] = {}

    def __len__(self) -> int:
        """Return the number of runs."""
        return len(self._runs)

    def __iter__(self) -> Iterator[Run]:
        """Yield the runs; they must not change meanwhile."""
        return iter(self._runs)

    def add(self, run: Run) -> None:
        """Add a run, once."""
        if run not in self._runs:
            self._runs[run] = None
            self._by_task.setdefault(run.task, []).append(run)

    def discard(self, run: Run) -> None:
        """Remove a run if it is there."""
        if run not in self._runs:
            return
        del self._runs[run]
        of_task = self._by_task[run.task]
        of_task.remove(run)
        if not of_task:
            del self._by_task[run.task]

    def of_task(self, task: Task) -> list[Run]:
        """Return the runs of `task`."""
        return list(self._by_task.get(task, ()))

    def of_step(self, step: Step) -> list[Run]:
        """Return the runs of `step`, after a look at all runs of the job."""
        return [run for run in self._runs if run.task.step is step]
