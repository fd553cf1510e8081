"""Data types of the request path."""

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
    """A caller's validated request, with the team that it belongs to.

    `deadline` is in seconds of the gateway's monotonic clock.  `idempotency_key` is
    set for every request that is not idempotent.  `headers` are the headers of the
    caller that are forwarded to the backend server.
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
    """The complete response of a backend server.

    `repeated` marks the stored outcome of an earlier request with the same key.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """A gateway's request for one slot of `service`, sent as the message `SlotWant`.

    `ticket` is unique per gateway process.  `deadline` is in seconds of the broker's
    monotonic clock.  `avoid` names backend servers that were tried before.
    """

    gateway: str
    ticket: int
    service: str
    team: str
    urgency: Urgency
    deadline: float
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot that a gateway reports to an owner in the message `SlotHold`.

    `lease_seconds` is the time left of its lease.
    """

    ticket: int
    backend: str
    lease_seconds: float


@dataclass(frozen=True, slots=True)
class Grant:
    """Grants an acquire request one slot of the backend server `backend`."""

    gateway: str
    ticket: int
    backend: str
    address: str
    shard: str
    lease_seconds: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refuses an acquire request; `reason` is a code such as `queue_full`."""

    gateway: str
    ticket: int
    reason: str
    retry_after_seconds: float


class SlotOutcome(StrEnum):
    """How the use of a slot ended."""

    FREE = "free"
    """The backend server responded completely, or was never called."""

    REFUSED = "refused"
    """The backend server refused the request, as a full one does."""

    LEAVING = "leaving"
    """The backend server refused with a long Retry-After, as a leaving one does."""

    SUSPECT = "suspect"
    """The connection broke or timed out; the request may still occupy the slot."""


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot granted to this gateway.

    `owner` is the process that granted it.  `expires_at` is in seconds of the
    gateway's monotonic clock.
    """

    ticket: int
    owner: str
    shard: str
    backend: str
    address: str
    expires_at: float


class SlotSource(Protocol):
    """Acquires and releases slots for the router; see `SlotClient`."""

    async def acquire(self, req: ServiceRequest, avoid: frozenset[str]) -> Slot:
        """Return a slot of a backend server that is not in `avoid`.

        Raises `RefusedError` with the verdict NOT_RUN.
        """

    def release(self, slot: Slot, outcome: SlotOutcome) -> None:
        """Release `slot`, whose use ended with `outcome`."""
