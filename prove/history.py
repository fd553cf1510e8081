"""What a concurrent run recorded: calls, task runs, executions and changes.

All times are seconds of one clock, that of the machine which runs the processes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cassiaweir.types import Resources


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a caller.

    `outcome` is `answered`, `refused`, `broken` (the connection ended first),
    `timed_out` or `unreached` (no connection was made).
    `verdict` is what a refusal said.  `expected` and `body` are compared for answered
    requests.  `gateway` is the entry VM that was called, empty for the balancer.
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
    """One attempt of a task on one worker, as the worker's stand-in saw it.

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
    """A request that a backend server began to execute."""

    backend: str
    request: str
    idempotency_key: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Overload:
    """A worker or a backend server was asked for more than it can take."""

    vm: str
    at: float
    detail: str


@dataclass(frozen=True, slots=True)
class Disturbance:
    """From `began_at` to `ended_at` an entry VM was killed, frozen or cut off."""

    vm: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Takeover:
    """The owner of a shard was killed at `killed_at`; a successor's first task start.

    `started_at` is infinite where none came in time.
    """

    vm: str
    killed_at: float
    started_at: float


@dataclass(frozen=True, slots=True)
class KeyWithdrawal:
    """A withdrawal of a key that was confirmed to the operator at `at`."""

    key: str
    at: float


@dataclass(frozen=True, slots=True)
class LimitChange:
    """The upper limit of `team` from `at` on, when the change was confirmed."""

    team: str
    limit: Resources
    at: float


@dataclass(frozen=True, slots=True)
class Leaving:
    """A backend server said at `at` that it is leaving."""

    backend: str
    at: float


@dataclass(frozen=True, slots=True)
class LateRequest:
    """A leaving backend server was sent a request at `at`, and refused it."""

    backend: str
    at: float


@dataclass(frozen=True, slots=True)
class GracefulStop:
    """A planned stop of the gateway of an entry VM."""

    gateway: str
    began_at: float
    exited_at: float
    exit_status: int


@dataclass(frozen=True, slots=True)
class Rollout:
    """A version of the configuration whose roll-out was confirmed at `at`."""

    version: int
    at: float


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """The version that an entry VM's process had in force at `at` or later.

    `view_age` is how long before the process last knew it to be the newest.
    """

    vm: str
    version: int
    at: float
    view_age: float = 0.0


@dataclass(slots=True)
class History:
    """Everything that one run recorded."""

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
