"""The records of a run: calls, task runs, executions, failures and changes.

All times are in seconds of the machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cassiaweir.types import Resources


@dataclass(frozen=True, slots=True)
class Call:
    """One call to a gateway, or to the balancer if `gateway` is empty.

    `outcome` is `answered`, `refused`, `broken` (the connection ended before the
    answer), `timed_out` or `unreached` (no connection was made).
    `verdict` is that of a refusal.  For an answered request, `body` must equal
    `expected` unless that is empty.  `gateway` is the name of an entry VM.
    `queue_open` says that the call went to a queue that needs no key.
    """

    name: str
    team: str
    key: str
    queue_open: bool
    invoked_at: float
    returned_at: float
    outcome: str
    verdict: str = ""
    status: int = 0
    gateway: str = ""
    idempotency_key: str = ""
    expected: bytes = b""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class TaskRun:
    """One attempt of a task on one worker, as the worker's stand-in recorded it.

    `ended_at` is infinite while the attempt still runs.
    """

    task: str
    attempt: int
    worker: str
    team: str
    size: Resources
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Execution:
    """An execution of a request; `ended_at` is infinite while it runs."""

    backend: str
    request: str
    idempotency_key: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Overload:
    """A request or a start of a task that exceeded the capacity of a VM."""

    vm: str
    at: float
    detail: str


@dataclass(frozen=True, slots=True)
class Disturbance:
    """The time during which an entry VM was killed or frozen."""

    vm: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Takeover:
    """The time from the kill of a shard's owner to its successor's first task start.

    `started_at` is infinite if no task started before the time-out.
    """

    vm: str
    killed_at: float
    started_at: float


@dataclass(frozen=True, slots=True)
class KeyWithdrawal:
    """The withdrawal of a key, confirmed to the operator at `at`."""

    key: str
    at: float


@dataclass(frozen=True, slots=True)
class LimitChange:
    """The limit of `team` that applies from `at` on.

    For a lowered limit `at` is the time of the confirmation, for a raised one the time
    at which the change was sent, as it may be in force before it is confirmed.
    """

    team: str
    limit: Resources
    at: float


@dataclass(frozen=True, slots=True)
class Leaving:
    """The time at which a backend server was reported as leaving."""

    backend: str
    at: float


@dataclass(frozen=True, slots=True)
class LateRequest:
    """A request that a leaving backend server received at `at` and refused."""

    backend: str
    at: float


@dataclass(frozen=True, slots=True)
class GracefulStop:
    """A graceful stop of the process of an entry VM."""

    gateway: str
    began_at: float
    exited_at: float
    exit_status: int


@dataclass(frozen=True, slots=True)
class Rollout:
    """A configuration version whose roll-out was confirmed at `at`."""

    version: int
    at: float


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """The configuration version that an entry VM's process reported as in force.

    `at` is the time before the process was asked.  `view_age` is the time in seconds
    since the process last confirmed that the version is the newest.
    """

    vm: str
    version: int
    at: float
    view_age: float = 0.0


@dataclass(slots=True)
class History:
    """Everything that one run recorded.

    `capacities` are those of workers and `slots` those of backend servers, by name;
    `key_teams` is the team of each key.
    """

    capacities: dict[str, Resources] = field(default_factory=dict)
    key_teams: dict[str, str] = field(default_factory=dict)
    slots: dict[str, int] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    runs: list[TaskRun] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    overloads: list[Overload] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    takeovers: list[Takeover] = field(default_factory=list)
    withdrawals: list[KeyWithdrawal] = field(default_factory=list)
    limits: list[LimitChange] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    late_requests: list[LateRequest] = field(default_factory=list)
    stops: list[GracefulStop] = field(default_factory=list)
    rollouts: list[Rollout] = field(default_factory=list)
    versions: list[VersionSeen] = field(default_factory=list)
