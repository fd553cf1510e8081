"""Shared value types and the Protocols of everything outside the process."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum
from typing import Protocol, runtime_checkable


class Clock(Protocol):
    """Tells the time; passed in wherever time matters."""

    def now(self) -> datetime:
        """Return the time of day in UTC, for display only."""

    def monotonic(self) -> float:
        """Return seconds that never go back and count while the process is stopped."""

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for `duration`."""


@dataclass(frozen=True, slots=True, order=True)
class Resources:
    """An amount of processors, memory and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> Resources:
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits(self, room: Resources) -> bool:
        """Tell whether this amount fits into `room` in every dimension."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


class JobKind(StrEnum):
    """The kinds of workload."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class Urgency(StrEnum):
    """How soon a job or a request has to start."""

    URGENT = "urgent"
    NORMAL = "normal"


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the platform's table; `version` rises with every write of the key."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Check:
    """Requires that `key` is at `version` when a transaction commits; 0 is absent."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets `key` to `value`, or deletes it where `value` is None."""

    key: str
    value: bytes | None


class Table(Protocol):
    """The platform's transactional table service.

    Every method raises `UnavailableError` where the service gave no answer.  The
    verdict of that error is NOT_RUN for reads.
    """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among `keys`, from one snapshot."""

    async def scan(self, prefix: str, *, after: str = "", limit: int = 0) -> list[Row]:
        """Return rows whose key starts with `prefix`, ordered by key.

        Only keys that follow `after` are returned, and at most `limit` rows, all of
        them where it is 0.
        """

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Apply all `writes` if all `checks` hold, and return the new versions.

        Raises `ConflictError` when a check failed and nothing was written.  Raises
        `UnavailableError` with MAY_HAVE_RUN when the outcome stayed unknown.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, body: bytes) -> None:
        """Store `body` under `name`, replacing what was there."""

    async def get(self, name: str) -> bytes:
        """Return the body stored under `name`, or raise `NotFoundError`."""


class VmState(StrEnum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(StrEnum):
    """What a VM in the platform's list is for."""

    WORKER = "worker"
    BACKEND = "backend"
    ENTRY = "entry"


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry of the platform's lagging VM list.

    `incarnation` changes when the platform replaces a VM under the same name.
    `service` names the service of a backend server and is empty otherwise.
    """

    name: str
    role: VmRole
    address: str
    failure_domain: str
    rack: str
    incarnation: str
    state: VmState
    capacity: Resources = Resources()
    service: str = ""
    slots: int = 0


class VmList(Protocol):
    """The platform's list of VMs, which may lag behind the truth."""

    async def fetch(self) -> list[Vm]:
        """Return all VMs, or raise `UnavailableError`."""


class TaskState(StrEnum):
    """The state of a task as its worker reports it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LAPSED = "lapsed"

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
    usage: Resources = Resources()
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


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its weight when the fleet is full and its upper limit."""

    name: str
    share: int
    limit: Resources


@dataclass(frozen=True, slots=True)
class Queue:
    """Where work is submitted.

    An open queue takes work without a key, on behalf of `team`.  A keyed queue has
    an empty `team` and takes work for the team whose key came with it.
    """

    name: str
    open: bool
    team: str = ""


class CellView(Protocol):
    """What this process knows of the configuration in force and of the keys."""

    @property
    def bundle_version(self) -> int:
        """The version of the bundle in force; 0 before any is known."""

    @property
    def keys_version(self) -> int:
        """The version of the view of the keys."""

    def age(self) -> timedelta:
        """Return the time since the view was known to be the newest."""

    def teams(self) -> Sequence[Team]:
        """Return all teams in force."""

    def team(self, name: str) -> Team | None:
        """Return the team called `name`, or None."""

    def queue(self, name: str) -> Queue | None:
        """Return the queue called `name`, or None."""

    def service_queues(self, service: str) -> Sequence[str]:
        """Return the queues that admit requests to `service`, the default first.

        Empty where no such service is in force.
        """

    def authenticate(self, secret: str) -> str:
        """Return the team that the key `secret` belongs to.

        Raises `RefusedError` with verdict NOT_RUN: reason `key_unknown` or
        `key_withdrawn`, or `view_too_old` with Retry-After where the view is older
        than the limit and a key may have been withdrawn meanwhile.
        """


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """The owner of a shard and the load it told of last."""

    shard: str
    failure_domain: str
    process: str
    address: str
    epoch: int
    capacity: Resources
    free: Resources
    queued_tasks: int
    running_tasks: int


class ShardDirectory(Protocol):
    """Which scheduler owns which shard, as heard from the schedulers themselves."""

    def owners(self) -> Sequence[ShardOwner]:
        """Return the known owners, one a shard, that were heard from lately."""

    def owner(self, shard: str) -> ShardOwner | None:
        """Return the owner of `shard`, or None."""


class OwnedShards(Protocol):
    """The shards that this scheduler process owns now."""

    def owned(self) -> Sequence[ShardOwner]:
        """Return the shards whose lease, or autonomy, this process holds."""
