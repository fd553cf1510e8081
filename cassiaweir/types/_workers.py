"""The platform's interface to worker VMs, and what goes over it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Protocol, runtime_checkable

from cassiaweir.types._values import NO_RESOURCES, Resources
from cassiaweir.types._vms import Vm


class TaskState(StrEnum):
    """The state of a task as its worker reports it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_EXPIRED = "lapsed"

    @property
    def ended(self) -> bool:
        """Whether the task no longer runs."""
        return self is not TaskState.RUNNING


@dataclass(frozen=True, slots=True)
class TaskId:
    """Names a task: the job and the task's index in it."""

    job: str
    index: int

    def __str__(self) -> str:
        return f"{self.job}/{self.index}"


@dataclass(frozen=True, slots=True)
class Command:
    """The authority under which a scheduler commands a worker.

    A worker that fences refuses an `epoch` below the highest one it has seen from
    the shard.  `expires_at` is in seconds of the worker's own clock; a worker
    refuses a command that arrives later.  A worker refuses a command for another
    `incarnation` than its own, as it has forgotten which epochs it has seen; empty
    addresses any.
    """

    shard: str
    epoch: int
    expires_at: float
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class TaskStart:
    """Asks a worker to start one attempt of a task.

    `team` and `declared_seconds` are informative to the worker; `payload` is what
    the task runs.  `resume` names a checkpoint or is empty.
    """

    task: TaskId
    attempt: int
    team: str
    size: Resources
    payload: str
    resume: str = ""


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What a worker says of one attempt of a task.

    `usage` lags behind.  `checkpoint` names the state saved on the way out.
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
    """A worker's whole list at one moment.

    Ended attempts stay listed until they are acknowledged.  `clock` is the
    worker's own clock in seconds.  `epoch` is the highest epoch it has seen.
    `revision` rises when an attempt is added, ends or is forgotten; it is 0 where the
    worker does not count.
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
    `UnavailableError` where no answer came; its verdict tells whether the command
    may have been carried out.
    """

    async def list(self) -> WorkerReport:
        """Return what the worker runs, without taking part in fencing."""

    async def renew(
        self, command: Command, lease: timedelta, ended: Sequence[TaskReport]
    ) -> WorkerReport:
        """Extend the lease of all tasks, forget `ended` ones, and return the list."""

    async def start(
        self, command: Command, lease: timedelta, starts: Sequence[TaskStart]
    ) -> WorkerReport:
        """Start tasks; those that the worker refused are missing in the report.

        Starting an attempt that is already listed changes nothing.
        """

    async def stop(
        self, command: Command, tasks: Sequence[TaskId], *, checkpoint: bool
    ) -> WorkerReport:
        """Stop tasks, saving their state first where `checkpoint` is set."""


@runtime_checkable
class WatchableWorker(Worker, Protocol):
    """A worker that can tell of a change of its list as soon as it happens.

    The method is optional: a worker without it is asked with each renewal.
    """

    async def watch(self, revision: int, wait: timedelta) -> WorkerReport:
        """Return the list once it is past `revision`, or after `wait`."""


class Workers(Protocol):
    """Gives access to workers by their entry in the VM list."""

    def connect(self, vm: Vm) -> Worker:
        """Return the interface to the worker on `vm`."""
