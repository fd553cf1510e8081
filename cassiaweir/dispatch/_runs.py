"""A run: one start of a task on one server, from the order until its end is known."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiaweir.dispatch._speed import RunProgress
from cassiaweir.jobs import Isolation, Task
from cassiaweir.scheduling import ProgressSampler
from cassiaweir.types import Resources

if TYPE_CHECKING:
    from cassiaweir.dispatch._server import Server

RunKey = tuple[str, int]
"""The name of the task and the number of the run."""


class RunState(StrEnum):
    """The state of a run as far as the leader knows it."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
    """A run and the resources that it takes from its server.

    The resources are counted from before the order is sent until a report shows that
    the run has ended.  `answered_at` is the time at which the server last answered an
    order for the run: a report that was requested later and does not list the run shows
    that the run is gone.  `until_ms` is the end of the start's lease on the server's
    clock; it stays the same when the start is repeated.  `ticket` is the permission of
    the advice service for the start, empty if none is needed.  `born` is the lifetime
    of the server in which the room for the run was found.  `sent_at` is the time at
    which a start was sent that may have been carried out, None if there was none.
    `isolation` is what may run beside it while it is suspected of crashing servers.
    `checkpoint_at` is the time at which a report first showed its newest `checkpoint`.
    `stop_cause` says why it was told to stop, for the metrics.
    `from_start` means that this leader placed it and that it resumes no checkpoint.
    `urgent` means that its start goes before others to the same server.
    `resumed_checkpoint` is the checkpoint that each attempt of its start carries, empty
    if there is none.  It is set when the run is placed, as a later report of an earlier
    run may bring another one, and the members of a gang have to resume the same.
    `checks_numbers` means that it gets a lease that ends before it can be done, to find
    out whether the server lists its ends.
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
    born: int = 0
    sent_at: float | None = None
    isolation: Isolation = Isolation.NONE
    checkpoint: str = ""
    checkpoint_at: float | None = None
    stop_cause: str = ""
    from_start: bool = False
    urgent: bool = False
    resumed_checkpoint: str = ""
    checks_numbers: bool = False
    progress: RunProgress = field(default_factory=RunProgress)
    sampler: ProgressSampler = field(default_factory=ProgressSampler)

    @property
    def key(self) -> RunKey:
        """The key under which servers list the run."""
        return (self.task.name, self.number)

    @property
    def job_id(self) -> str:
        """The id of the job that the run belongs to."""
        return self.task.step.job.job_id

    def note_checkpoint(self, checkpoint: str, now: float) -> None:
        """Note the newest checkpoint that a report shows, empty if there is none."""
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.checkpoint_at = now

    def unsaved_core_s(self, now: float) -> float:
        """Return the core-seconds of work since the start or the last checkpoint."""
        began_at = self.answered_at or self.placed_at
        if self.checkpoint_at is not None:
            began_at = max(self.checkpoint_at, self.placed_at)
        return max(now - began_at, 0.0) * self.demand.cpu_millis / 1_000

    def must_wait_for_late_start(self, now: float) -> bool:
        """Return whether its task must not start elsewhere, as it may start late.

        Tasks that last do not wait: they are missed at once, and end with the lease.
        """
        lasts = self.task.step.spec.long_running
        return not lasts and self.server.may_start_late(self.key, now)

    @property
    def is_latest(self) -> bool:
        """Whether this is the newest run of its task."""
        return self.task.run == self.number
