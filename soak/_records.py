"""The history of a run: each job with its requests and responses, and the faults."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cassiaweir.jobs import JobSpec

OVERLOADED = 429
REFUSALS = (OVERLOADED, 503)
STATUS_ACCEPTED = 200


@dataclass(slots=True)
class Attempt:
    """One request and its outcome.

    `status` is the HTTP status, 0 where the connection ended without a response, or
    -1 where the request timed out.  `sent` is false where no connection came about, so
    the request cannot have reached the process.  Times are those of the event loop.
    """

    method: str
    front: str
    began_at: float
    ended_at: float
    status: int
    key: str
    sent: bool = True
    retry_after: str = ""
    state: str = ""

    @property
    def valid_retry_after(self) -> bool:
        """Whether the response told the caller to wait for 1 or more whole seconds."""
        text = self.retry_after
        return text.isascii() and text.isdecimal() and int(text) >= 1


@dataclass(slots=True)
class JobRecord:
    """A job, the requests about it, and when it was accepted or cancelled.

    A task of a `deadly` job crashes its servers.
    """

    spec: JobSpec
    attempts: list[Attempt] = field(default_factory=list)
    accepted_at: float | None = None
    cancel_sent: bool = False
    cancelled_at: float | None = None
    deadly: bool = False

    @property
    def refused_by_all(self) -> bool:
        """Whether every submission was refused or never sent."""
        return all(each.status in REFUSALS or not each.sent for each in self.posts)

    @property
    def posts(self) -> list[Attempt]:
        """The submissions, in the order in which they were sent."""
        return [each for each in self.attempts if each.method == "POST"]

    @property
    def reported_done(self) -> bool:
        """Whether some response reported the job as done."""
        return any(each.state == "done" for each in self.attempts)


@dataclass(slots=True)
class FaultRecord:
    """An injected fault; `healed_at` is None while it lasts."""

    name: str
    target: str
    began_at: float
    healed_at: float | None = None

    def overlaps(self, began_at: float, ended_at: float, margin_s: float) -> bool:
        """Return whether the fault, extended by the margin, overlaps the given span."""
        healed = self.healed_at if self.healed_at is not None else float("inf")
        return self.began_at - margin_s <= ended_at and began_at <= healed + margin_s


@dataclass(slots=True)
class KeyRecord:
    """A withdrawn key and when the store had acknowledged the withdrawal."""

    key: str
    withdrawn_at: float


@dataclass(slots=True)
class EvacuationRecord:
    """The evacuation of the failure domain that consists of `servers`.

    `requested_at` is when the store had acknowledged the request, and `withdrawn_at`
    when it had removed it.  `work_waits` says that from then on there were more tasks
    waiting than the other servers have room for.
    """

    servers: frozenset[str]
    requested_at: float
    withdrawn_at: float = math.inf
    work_waits: bool = False


@dataclass(slots=True)
class History:
    """Everything that a run has recorded."""

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    faults: list[FaultRecord] = field(default_factory=list)
    keys: list[KeyRecord] = field(default_factory=list)
    evacuations: list[EvacuationRecord] = field(default_factory=list)
    late_starts: set[tuple[str, float]] = field(default_factory=set)
    """Task and time of the starts that a server carried out late."""

    bad_exits: list[str] = field(default_factory=list)
    unfinished_jobs: list[str] = field(default_factory=list)
