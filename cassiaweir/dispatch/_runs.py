"""A run: one start of a task on one server, from the order to the listed end."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiaweir.dispatch._speed import RunProgress
from cassiaweir.jobs import Task
from cassiaweir.types import Resources

if TYPE_CHECKING:
    from cassiaweir.dispatch._server import Server

RunKey = tuple[str, int]
"""The name of a task and the number of the run."""


class RunState(StrEnum):
    """What is known of a run."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
    """A run and what it takes of its server until the server lists its end.

    `answered_at` is when the server last answered an order for the run: a report that
    was asked for later and does not list the run shows that it is gone.  `until_ms` is
    the lease of the start on the server's clock, the same each time it is repeated.
    """

    task: Task
    number: int
    server: Server
    demand: Resources
    customer: str
    placed_at: float
    ticket: str = ""
    state: RunState = RunState.STARTING
    answered_at: float | None = None
    until_ms: int | None = None
    progress: RunProgress = field(default_factory=RunProgress)

    @property
    def key(self) -> RunKey:
        """What servers know the run by."""
        return (self.task.name, self.number)

    @property
    def is_latest(self) -> bool:
        """Whether no newer run of the task was ordered."""
        return self.task.run == self.number
