"""Attempts to submit a job that wait to be stored, and what is known of their ids."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from cassiaweir.dispatch import Refusal, job_key
from cassiaweir.exceptions import RefusedError
from cassiaweir.jobs import JobSpec
from cassiaweir.scheduling import PLACE_VALIDITY_S, Rejected
from cassiaweir.store import TransactionSize
from cassiaweir.types import Check, Write

TURN_TOLERANCE_S = 0.5
"""A caller is accepted this long before its turn, as the clocks of VMs differ."""

REFUSED_MEANWHILE = "refused_meanwhile"
"""Another front refused the id, perhaps after this submission had arrived.

The caller may have given up this attempt and taken that refusal for final.
"""

MAX_MEANWHILE_S = 3
"""The longest Retry-After for that reason."""

MAX_IDS_IN_DOUBT = 4_096
"""Limits how many ids are remembered whose attempt got no answer."""


class OverloadError(RefusedError):
    """A job was refused for the load; its id is blocked, so that it never runs."""

    def __init__(self, rejected: Rejected) -> None:
        super().__init__(
            rejected.reason,
            "refused for the load",
            retry_after=timedelta(seconds=rejected.retry_after_s),
        )
        self.rejected = rejected


@dataclass(frozen=True, slots=True)
class Attempt:
    """A caller's attempt to submit a job.

    `received_version` is the newest version of the store that this process had seen
    when the attempt arrived; `connected` returns whether the caller still waits.
    `rejected` says why the job is to be refused, None if it is to be accepted.
    """

    received_version: int
    connected: Callable[[], bool]
    rejected: Rejected | None = None


@dataclass(frozen=True, slots=True)
class KnownRefusal:
    """A refusal row and its version."""

    version: int
    refusal: Refusal


@dataclass(slots=True, eq=False)
class PendingJob:
    """A job that is to be stored or refused, and the future that its caller waits for.

    `value` is the row that stores the job.  `settled` means that its caller has been
    told the result, as far as it still waits for one.
    `version` is that of the refusal row to replace, 0 if there is none.  `rejected`
    says why the job is to be refused.  `in_doubt` is true after an attempt to store the
    job that may have been executed or still be.  `deadline` is in monotonic seconds,
    `received_at` in Unix seconds.
    """

    spec: JobSpec
    value: bytes
    attempt: Attempt
    future: asyncio.Future[None]
    deadline: float
    received_at: float
    rejected: Rejected | None
    version: int = 0
    in_doubt: bool = field(default=False)
    settled: bool = field(default=False)

    @property
    def size(self) -> TransactionSize:
        """The share of the job in the transaction that stores it."""
        return TransactionSize.of([Check(self.key, 0)], [Write(self.key, self.value)])

    @property
    def key(self) -> str:
        """The key of the row in which the job or its refusal is stored."""
        return job_key(self.spec.job_id)

    def meet_refusal(self, known: KnownRefusal) -> None:
        """Adapt to a refusal row that is stored under the job's key.

        A job that is refused again writes the row again, so that attempts to replace
        this version that are still in transit fail.
        """
        self.version = known.version
        waits_s = known.refusal.turn_at - self.received_at
        if self.rejected is not None and waits_s > -PLACE_VALIDITY_S:
            if waits_s <= TURN_TOLERANCE_S:
                self.rejected = None
            elif waits_s < self.rejected.turn_in_s:
                self.rejected = self.rejected.with_turn(waits_s)
        if self.rejected is None and not self._may_replace(known.version):
            spread_s = zlib.crc32(self.spec.job_id.encode()) % MAX_MEANWHILE_S
            self.rejected = Rejected(REFUSED_MEANWHILE, 1 + spread_s)

    def _may_replace(self, version: int) -> bool:
        """Return whether the refusal at `version` is older than this attempt."""
        return version <= self.attempt.received_version and self.attempt.connected()

    def succeed(self) -> None:
        """Report that the job is stored."""
        if not self.future.done():
            self.future.set_result(None)

    def fail(self, exc: Exception) -> None:
        """Report why the job is not stored, or may not be."""
        if not self.future.done():
            self.future.set_exception(exc)

    def reject(self) -> None:
        """Report that the job is refused for the load and that its id is blocked."""
        if self.rejected is not None:
            self.fail(OverloadError(self.rejected))


class UnsettledIds:
    """The ids of which an attempt to store a job may take effect, now or later.

    An attempt that got no answer is remembered, up to a number of them: by then, the
    caller has it answered at another front, or it has failed.
    """

    def __init__(self) -> None:
        self._under_way: Counter[str] = Counter()
        self._in_doubt: dict[str, None] = {}

    def has(self, job_id: str) -> bool:
        """Return whether there is such an attempt with this id."""
        return job_id in self._under_way or job_id in self._in_doubt

    def begin(self, job_id: str) -> None:
        """Note that an attempt is under way."""
        self._under_way[job_id] += 1

    def end(self, job_id: str, *, in_doubt: bool) -> None:
        """Note that an attempt has ended, which may take effect if it is in doubt."""
        self._under_way[job_id] -= 1
        if self._under_way[job_id] <= 0:
            del self._under_way[job_id]
        if in_doubt:
            self._in_doubt[job_id] = None
            if len(self._in_doubt) > MAX_IDS_IN_DOUBT:
                del self._in_doubt[next(iter(self._in_doubt))]

    def settle(self, job_id: str) -> None:
        """Note that an attempt has ended that shows what is stored under the id."""
        self.end(job_id, in_doubt=False)
        self._in_doubt.pop(job_id, None)
