"""Decides whether a submitted job is accepted while the servers are full."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, replace

from cassiaweir.scheduling._backlog import CustomerLoad, LoadSnapshot, QueueLoad

MAX_SNAPSHOT_AGE_S = 2.0
"""Nothing is refused by a snapshot that is older."""

CERTAINTY_FACTOR = 1.5
"""A job is taken to have no value only if it would with a wait this much shorter.

Expected durations are off by about this factor.
"""

MIN_SPREAD_S = 3.0
SPREAD_SHARE = 0.5
"""Callers are told to return within this time, or share of the wait, after its end."""

MAX_RETRY_AFTER_S = 30
CROWDED_RETRY_AFTER_S = 10
MAX_TURN_S = 300.0
"""Limits of Retry-After, and of the time until the turn of a refused job.

A caller whose turn is later than its Retry-After is refused again until its turn, for
the load that came before it, but does not lose its place.
"""


@dataclass(frozen=True, slots=True)
class Submission:
    """What the decision needs to know of a submitted job.

    `path_s` is the expected duration of its critical path.  The job is on time if it
    ends `allowed_s` after its submission, and has no value after `worthless_s`.
    """

    job_id: str
    queue: str
    customer: str
    path_s: float = 0.0
    allowed_s: float = math.inf
    worthless_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Admitted:
    """The job is accepted."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The job is refused for `reason`, which is also used in logs and metrics.

    `wait_s` is the expected wait that led to this, `turn_in_s` the time until a caller
    that returns is accepted.
    """

    reason: str
    retry_after_s: int
    wait_s: float = 0.0
    turn_in_s: float = 0.0

    def with_turn(self, turn_in_s: float) -> Rejected:
        """Return the same decision with another turn."""
        return replace(
            self, turn_in_s=turn_in_s, retry_after_s=whole_seconds(turn_in_s)
        )


ADMITTED = Admitted()
Decision = Admitted | Rejected


def decide(
    job: Submission, load: LoadSnapshot | None, now: float, *, within_share: bool
) -> Decision:
    """Return the decision about `job` at the monotonic time `now`.

    `within_share` says that the job is one of those that its customer's share allows.
    Without a current and plausible load every job is accepted.
    """
    if load is None or not 0 <= now - load.time <= MAX_SNAPSHOT_AGE_S:
        return ADMITTED
    queue = load.queues.get(job.queue)
    if queue is None or not queue.full:
        return ADMITTED
    customer = load.customers.get(job.customer)
    if customer is not None and _plausible(customer) and not within_share:
        return _rejected("beyond_share", job, customer.wait_s, customer.wait_s)
    return _decide_by_value(job, queue)


def _decide_by_value(job: Submission, queue: QueueLoad) -> Decision:
    """Refuse a job that would end neither on time nor with any value."""
    waits = (queue.wait_s, queue.late_wait_s)
    if not all(_is_amount(each) for each in (*waits, job.path_s)):
        return ADMITTED
    late_by = queue.wait_s + job.path_s - job.allowed_s
    certain_wait_s = queue.late_wait_s / CERTAINTY_FACTOR
    worthless_by = certain_wait_s + job.path_s - job.worthless_s
    if late_by <= 0 or worthless_by <= 0:
        return ADMITTED
    turn_in_s = min(late_by, worthless_by * CERTAINTY_FACTOR)
    return _rejected("no_value", job, queue.late_wait_s, turn_in_s)


def _rejected(
    reason: str, job: Submission, wait_s: float, turn_in_s: float
) -> Rejected:
    """Return a refusal whose turn is spread by the job's id."""
    fraction = zlib.crc32(job.job_id.encode()) / 2**32
    turn_in_s += fraction * max(MIN_SPREAD_S, turn_in_s * SPREAD_SHARE)
    turn_in_s = min(turn_in_s, MAX_TURN_S)
    return Rejected(reason, whole_seconds(turn_in_s), wait_s, turn_in_s)


def too_many_jobs(customer: str, load: LoadSnapshot) -> Rejected | None:
    """Refuse a job of a customer that has too many open ones, whatever the load.

    It gets no turn for a long time: it is accepted once others have ended.
    """
    if customer not in load.crowded:
        return None
    return Rejected("too_many_jobs", CROWDED_RETRY_AFTER_S, turn_in_s=MAX_TURN_S)


def whole_seconds(seconds: float) -> int:
    """Return `seconds` rounded up, within the limits of Retry-After."""
    return min(max(math.ceil(seconds), 1), MAX_RETRY_AFTER_S)


def _is_amount(value: float) -> bool:
    """Return whether `value` is a number from 0 on, not NaN and not infinite."""
    return 0 <= value < math.inf


def _plausible(customer: CustomerLoad) -> bool:
    return 0 <= customer.allowed_share < 1 and _is_amount(customer.wait_s)


class AdmissionPolicy:
    """Keeps the newest load and decides about submissions by it.

    Of a customer beyond its share, that part of the jobs is accepted which the share
    allows: each front accepts the same part of what reaches it, beginning with its
    first job.
    """

    def __init__(self) -> None:
        self._load: LoadSnapshot | None = None
        self._epoch = 0
        self._credits: dict[str, float] = {}

    def update(self, load: LoadSnapshot) -> None:
        """Use `load` if it is of the newest epoch seen, and newer than the last one."""
        self.note_epoch(load.epoch)
        if load.epoch < self._epoch:
            return
        if self._load is not None and load.time < self._load.time:
            return
        self._load = load
        for customer in self._credits.keys() - load.customers.keys():
            del self._credits[customer]

    def note_epoch(self, epoch: int) -> None:
        """Note that a leader of `epoch` exists; loads of former leaders are dropped."""
        if epoch > self._epoch:
            self._epoch = epoch
            self._load = None

    def current(self, now: float) -> LoadSnapshot | None:
        """Return the load, or None if there is none that may be used at `now`."""
        load = self._load
        if load is None or not 0 <= now - load.time <= MAX_SNAPSHOT_AGE_S:
            return None
        return load

    def decide(self, job: Submission, now: float) -> Decision:
        """Return the decision about a job that was submitted at `now`."""
        load = self.current(now)
        within_share = load is None or self._take_credit(job, load)
        return decide(job, load, now, within_share=within_share)

    def _take_credit(self, job: Submission, load: LoadSnapshot) -> bool:
        """Return whether this job is one of those that its customer's share allows."""
        customer = load.customers.get(job.customer)
        if customer is None or not load.is_full(job.queue):
            return True
        if not _plausible(customer):
            return True
        credit = self._credits.get(job.customer, 1.0) + customer.allowed_share
        within = credit >= 1.0
        self._credits[job.customer] = credit - 1.0 if within else credit
        return within
