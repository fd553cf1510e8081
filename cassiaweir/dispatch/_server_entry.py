"""What a backend server says of itself, and what it reports when asked."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from cassiaweir.types import NOTHING, Resources


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as it is registered in the store.

    `born` tells its lifetimes apart (Unix milliseconds of its start, 0 if not told).
    `leaves_in_s` is the least time until a draining server is gone.
    """

    server_id: str
    address: str
    service: str
    failure_domain: str
    capacity: Resources = NOTHING
    labels: frozenset[str] = frozenset()
    rack: str = ""
    draining: bool = False
    leaves_in_s: float | None = None
    born: int = 0


class EndKind(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a server lists; `load` is its processor use or tail latency."""

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float | None


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """A run that ended; `number` counts the ends of one lifetime of the server."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ServerReport:
    """All that runs on a server, and the ends that it has not forgotten yet."""

    clock_ms: int
    born: int
    running: Sequence[RunningTask]
    ended: Sequence[TaskEnd]


class OrderOutcome(StrEnum):
    """What a server answered to an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other_lifetime"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts a run; `until_ms` is a time on the server's clock."""

    task: str
    run: int
    spec: str
    until_ms: int
    epoch: int
    checkpoint: str = ""
    ticket: str = ""
