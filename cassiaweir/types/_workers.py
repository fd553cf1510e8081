"""The protocol of worker VMs, and the commands and reports exchanged with them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Protocol, runtime_checkable

from cassiaweir.types._values import NO_RESOURCES, Resources
from cassiaweir.types._vms import Vm


class TaskState(StrEnum):
    """The state of a task's attempt as its worker reports it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_EXPIRED = "lapsed"

    @property
    def ended(self) -> bool:
        """Whether the attempt no longer runs."""
        return self is not TaskState.RUNNING


@dataclass(frozen=True, slots=True)
class TaskId:
    """Identifies a task by its job and its index in the job."""

    job: str
    index: int

    def __str__(self) -> str:
        return f"{self.job}/{self.index}"


@dataclass(frozen=True, slots=True)
class Command:
    """The authority under which a scheduler commands a worker.

    A worker refuses a command in three cases.  One that supports fencing refuses an
    `epoch` below the highest one that it has seen from the shard.  It refuses a command
    that arrives after `expires_at`, in seconds of its own clock.  And it refuses a
    command for another `incarnation` than its own, because a replaced VM does not know
    which epochs its predecessor has seen; an empty `incarnation` matches any.
    """

    shard: str
    epoch: int
    expires_at: float
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class TaskStart:
    """Asks a worker to start one attempt of a task.

    `team` is only informative to the worker, and `payload` is what the task runs.
    `resume` names the checkpoint to resume from, or is empty.
    """

    task: TaskId
    attempt: int
    team: str
    size: Resources
    payload: str
    resume: str = ""


@dataclass(frozen=True, slots=True)
class TaskReport:
    """A worker's report on one attempt of a task.

    `usage` lags behind the actual use.  `checkpoint` names the state that was saved
    when the attempt was stopped.
    """

    task: TaskId
    attempt: int
    team: str
    size: Resources
    state: TaskState
    usage: Resources = NO_RESOURCES
    checkpoint: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """All attempts of tasks on a worker at one moment.

    Ended attempts stay listed until they are acknowledged.  `clock` is the worker's own
    clock in seconds.  `epoch` is the highest epoch that it has seen.  `revision` rises
    when an attempt is added, ends or is dropped from the list; it is 0 if the worker
    does not count revisions.
    """

    worker: str
    incarnation: str
    clock: float
    epoch: int
    tasks: list[TaskReport] = field(default_factory=list)
    revision: int = 0


class Worker(Protocol):
    """The platform's interface to one worker VM.

    Each method raises `FencedError` where the worker refused the epoch, and
    `UnavailableError` where no answer arrived; its verdict says whether the command
    may have been carried out.
    """

    async def list(self) -> WorkerReport:
        """Return the worker's report, without taking part in fencing."""

    async def renew(
        self, command: Command, lease: timedelta, ended: Sequence[TaskReport]
    ) -> WorkerReport:
        """Extend the lease of all tasks, drop `ended` attempts, return the report."""

    async def start(
        self, command: Command, lease: timedelta, starts: Sequence[TaskStart]
    ) -> WorkerReport:
        """Start tasks; the report does not list those that the worker refused.

        Starting an attempt that is already listed changes nothing.
        """

    async def stop(
        self, command: Command, tasks: Sequence[TaskId], *, checkpoint: bool
    ) -> WorkerReport:
        """Stop tasks, saving their state first where `checkpoint` is set."""


@runtime_checkable
class WatchableWorker(Worker, Protocol):
    """A worker that can report a change of its list as soon as it happens.

    Support is optional: a worker without `watch` reports only with each renewal.
    """

    async def watch(self, revision: int, wait: timedelta) -> WorkerReport:
        """Return the report once its revision is above `revision`, or after `wait`."""


class Workers(Protocol):
    """Gives access to workers by their entry in the VM list."""

    def connect(self, vm: Vm) -> Worker:
        """Return the interface to the worker on `vm`."""
