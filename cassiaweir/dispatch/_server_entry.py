"""The data exchanged with backend servers: entries, reports, orders and answers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from cassiaweir.types import NO_RESOURCES, Resources, bounded_float

MAX_PERCENT = 1e3
MAX_LOAD = 1e12
"""Bounds what a server says of a run; beyond it, the number is reduced."""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as it is registered in the store.

    `born` distinguishes the lifetimes of a server: it is the time of its start in Unix
    milliseconds, or 0 if the server does not tell.  `leaves_in_s` is the minimum time
    until a draining server is gone, None if it does not tell.  `cold_left_s` is how
    much longer the server is slow after its start, 0 if it is not.
    """

    server_id: str
    address: str
    service: str
    failure_domain: str
    capacity: Resources = NO_RESOURCES
    labels: frozenset[str] = frozenset()
    rack: str = ""
    draining: bool = False
    leaves_in_s: float | None = None
    born: int = 0
    cold_left_s: float = 0.0


class EndKind(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    """The lease of the run expired."""

    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a server lists as running.

    `percent` is the share of its work that is done.  `load` is its processor use or
    tail latency, None from servers that do not report it.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float | None

    def __post_init__(self) -> None:
        object.__setattr__(self, "percent", bounded_float(self.percent, MAX_PERCENT))
        if self.load is not None:
            object.__setattr__(self, "load", bounded_float(self.load, MAX_LOAD))


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """A run that ended; `number` counts the ends within a lifetime of the server."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class EndPosition:
    """The position of the write that has to be stored before an end is acknowledged.

    `number` is that of the end; the position is 0 if there is nothing to store.
    """

    number: int
    position: int


@dataclass(frozen=True, slots=True)
class ServerReport:
    """All runs on a server, and the ends that are not acknowledged yet.

    `clock_ms` is the server's clock at the time of the report.  `ends_complete` is
    false if more ends may follow those listed: a run that is not listed may then have
    ended.
    """

    clock_ms: int
    born: int
    running: Sequence[RunningTask]
    ended: Sequence[TaskEnd]
    ends_complete: bool = True


class OrderOutcome(StrEnum):
    """The answer of a server to an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    """The server follows a higher epoch."""

    OLD_RUN = "old_run"
    """The server knows a newer run of the task, or was told to stop this one."""

    TOO_LATE = "too_late"
    """The lease in the order had expired when the order arrived."""

    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    """The server does not accept the ticket of the start, or needs one."""

    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other_lifetime"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run.

    `until_ms` is the end of its lease on the server's clock.  `spec` is the text that
    tells the server what to run, and `checkpoint` where the run resumes, empty for a
    start from the beginning.
    """

    task: str
    run: int
    spec: str
    until_ms: int
    epoch: int
    checkpoint: str = ""
    ticket: str = ""
