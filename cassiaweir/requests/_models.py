"""The values that the parts of the request path pass to each other."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from cassiaweir.types import Urgency

REQUEST_ID_HEADER = "Cassiaweir-Request-Id"
NOT_RUN_HEADER = "Cassiaweir-Not-Run"
DEADLINE_HEADER = "Cassiaweir-Deadline-Ms"
TEAM_HEADER = "Cassiaweir-Team"
IDEMPOTENCY_KEY_HEADER = "Cassiaweir-Idempotency-Key"


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's request, checked and bound to a team.

    `deadline` is in seconds of the gateway's monotonic clock.  `idempotency_key` is
    set for every request that is not idempotent.  `headers` are the caller's own for
    the backend server.
    """

    request_id: str
    service: str
    team: str
    body: bytes
    deadline: float
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    idempotency_key: str = ""
    content_type: str = "application/octet-stream"
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The whole answer of a backend server.

    `repeated` marks an outcome that an earlier request with the same key got.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """A gateway's wish for one slot; `deadline` is in seconds of the broker's clock."""

    gateway: str
    ticket: int
    service: str
    team: str
    urgency: Urgency
    deadline: float
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot that a gateway tells a new owner of; `lease` is in seconds left."""

    ticket: int
    backend: str
    lease: float


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a want: one slot of `backend` for `lease` seconds."""

    gateway: str
    ticket: int
    backend: str
    address: str
    shard: str
    lease: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """The answer to a want that got no slot; `retry_after` is in seconds."""

    gateway: str
    ticket: int
    reason: str
    retry_after: float


class SlotOutcome(StrEnum):
    """How the use of a slot ended."""

    FREE = "free"
    """The backend server answered in full, or was never asked."""

    REFUSED = "refused"
    """The backend server refused, as one that is full does."""

    LEAVING = "leaving"
    """The backend server refused for long, as one that is leaving does."""

    SUSPECT = "suspect"
    """The connection broke or timed out; the request may still occupy the slot."""


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot in the hands of this gateway; `expires_at` is on its monotonic clock."""

    ticket: int
    owner: str
    shard: str
    backend: str
    address: str
    expires_at: float


class SlotSource(Protocol):
    """Where the router gets slots from."""

    async def acquire(self, req: ServiceRequest, avoid: frozenset[str]) -> Slot:
        """Return a slot, or raise `RefusedError` with NOT_RUN."""

    def release(self, slot: Slot, outcome: SlotOutcome) -> None:
        """Give `slot` back."""
