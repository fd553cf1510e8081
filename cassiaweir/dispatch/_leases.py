"""The leases that a leader gives to one backend server, on the server's own clock.

Everything that runs on a server ends when its lease does.  A leader has two questions
about that: when all of it has certainly ended, so that the tasks may start elsewhere,
and whether a lease is certainly still in force, so that what ends now was there.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

LEASE_S = 3.0
"""Time that runs go on after the last lease renewal by a leader."""

SUSPECT_LEASE_S = 6.0
"""The same on a server with suspected tasks, whose row says so for a successor.

A server that crashes is heard from again within this time, so that the crash is known
to have happened while its tasks were there.
"""

MIN_START_LEASE_S = 1.5
"""Minimum lease of a start; the next renewal extends it."""

MIN_CLOCK_RATE = 0.98
"""Slowest rate of a server's clock, relative to the leader's clock."""

BRIEF_LEASE_MS = 6
"""A brief lease lasts this long at most from when its start arrives."""

MAX_BRIEF_ALLOWANCE_MS = 42
"""Limits what is added for the way of a start, or a slow clock, after late arrivals."""

LATE_BRIEF_S = 2.0
"""For this time after a late arrival, the server's clock is read more often."""

ALLOWANCE_INTERVAL_S = 0.05
"""Starts that were sent together and arrived too late count once."""

LEASE_EXPIRY_MARGIN_S = 0.1
MS_PER_SECOND = 1_000


def max_duration_s(lease_s: float) -> float:
    """Return how long a lease lasts at most on the leader's clock, in seconds."""
    return lease_s / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S


@dataclass(frozen=True, slots=True)
class LeaseLimits:
    """What bounds the leases that a leader gives.

    `longest` is the limit to which servers shorten leases.  Leases of
    `SUSPECT_LEASE_S` are given only while `successors_know_long_leases` returns true:
    a successor of an older build would not wait for them.
    """

    longest: timedelta = timedelta(seconds=SUSPECT_LEASE_S)
    successors_know_long_leases: Callable[[], bool] = lambda: True


class ServerLeases:
    """The leases given in the present lifetime of a server, and its clock.

    All times are seconds on the leader's clock, except those in milliseconds, which are
    on the server's clock.  `longest_s` is the limit to which the server shortens
    leases.  `allow_long` means that the server's row for a successor allows
    `SUSPECT_LEASE_S`, `long_suspended` that none is given nevertheless.
    """

    def __init__(self, longest_s: float = SUSPECT_LEASE_S) -> None:
        self.allow_long = False
        self.long_suspended = False
        self.longest_s = longest_s
        self._long_end_at = 0.0
        self._clock_ms: int | None = None
        self._clock_read_at = 0.0
        self._clock_asked_at = 0.0
        self._latest_end_ms = 0
        self._granted_end_ms = 0
        self._may_inherit = False
        self._inherited_end_ms = 0
        self._latest_brief_end_ms = 0
        self._brief_allowance_ms = 0
        self._allowance_raised_at = float("-inf")
        self._start_accepted_at = float("-inf")

    def expect_inherited(self) -> None:
        """Expect the longest lease from calls that were sent before the next ones.

        They may be those of a former leader, or meant for a former lifetime of the
        server.  Its clock has begun anew, so that the lease end in them lies far ahead.
        """
        self._may_inherit = True

    @property
    def clock_known(self) -> bool:
        """Whether a report has shown the server's clock in this lifetime."""
        return self._clock_ms is not None

    @property
    def clock_read_at(self) -> float:
        """When the last report arrived, 0.0 before the first one."""
        return self._clock_read_at

    def read_clock(
        self, clock_ms: int, asked_at: float, now: float, *, fenced: bool = True
    ) -> None:
        """Note the clock in a report that was requested at `asked_at`.

        Until the server is `fenced`, it may take inherited leases.
        """
        if self._may_inherit:
            self._inherited_end_ms = clock_ms + round(self.longest_s * MS_PER_SECOND)
            longest_s = max_duration_s(self.longest_s)
            self._long_end_at = max(self._long_end_at, now + longest_s)
            self._may_inherit = not fenced
        self._clock_ms = clock_ms
        self._clock_read_at = now
        self._clock_asked_at = asked_at
        if asked_at >= self._start_accepted_at:
            self._start_accepted_at = float("-inf")

    def note_start_accepted(self, now: float) -> None:
        """Note that a start was accepted, by a lifetime that the answer does not name.

        A report that is requested later shows whether that is the present one.  Until
        then, it may be the next one, which gives the start the longest lease.
        """
        self._start_accepted_at = now

    def begin_lifetime(self) -> None:
        """Forget the leases of the former lifetime, and expect its late calls."""
        self._clock_ms = None
        self._latest_end_ms = 0
        self._granted_end_ms = 0
        self._inherited_end_ms = 0
        self._latest_brief_end_ms = 0
        self._start_accepted_at = float("-inf")
        self.expect_inherited()

    def next_end_ms(self, now: float, *, observed: bool) -> int | None:
        """Return the end of a lease that is given now, None if no clock is known.

        It is a long one if the server is `observed`.
        """
        if self._clock_ms is None:
            return None
        lease_s = LEASE_S
        if observed:
            lease_s = SUSPECT_LEASE_S
            self._long_end_at = now + max_duration_s(SUSPECT_LEASE_S)
        elapsed_s = now - self._clock_read_at
        duration_s = elapsed_s + min(lease_s, self.longest_s)
        end_ms = self._clock_ms + round(duration_s * MS_PER_SECOND)
        self._latest_end_ms = max(self._latest_end_ms, end_ms)
        return end_ms

    def start_end_ms(self, now: float, *, observed: bool) -> int | None:
        """Return the end of the lease of a start sent now, None if no clock is known.

        It is the end of the last lease if that leaves at least `MIN_START_LEASE_S`, so
        that starts alone do not prolong the runs of a server that no longer answers.
        An `observed` server gets a new lease.
        """
        if self._clock_ms is None or observed:
            return self.next_end_ms(now, observed=observed)
        elapsed_s = now - self._clock_read_at
        min_duration_s = elapsed_s + MIN_START_LEASE_S
        min_end_ms = self._clock_ms + round(min_duration_s * MS_PER_SECOND)
        if self._latest_end_ms >= min_end_ms:
            return self._latest_end_ms
        return self.next_end_ms(now, observed=False)

    def brief_end_ms(self, now: float) -> int | None:
        """Return the end of a lease of a few milliseconds, None if no clock is known.

        The server's clock shows at least what it did at the last report, and the time
        since then at its slowest rate.
        """
        if self._clock_ms is None:
            return None
        elapsed_s = max(now - self._clock_read_at, 0.0) * MIN_CLOCK_RATE
        duration_ms = BRIEF_LEASE_MS + self._brief_allowance_ms
        end_ms = self._clock_ms + round(elapsed_s * MS_PER_SECOND) + duration_ms
        self._latest_brief_end_ms = max(self._latest_brief_end_ms, end_ms)
        return end_ms

    def note_brief_too_late(self, now: float) -> None:
        """Note that a start arrived after its brief lease was over.

        The next one has the time for the way of this one in addition, so that little
        more than that is left of its lease when it arrives.
        """
        if now - self._allowance_raised_at >= ALLOWANCE_INTERVAL_S:
            self._allowance_raised_at = now
            allowance_ms = self._brief_allowance_ms + BRIEF_LEASE_MS
            self._brief_allowance_ms = min(allowance_ms, MAX_BRIEF_ALLOWANCE_MS)

    def brief_was_late(self, now: float) -> bool:
        """Return whether a start arrived too late for its brief lease lately."""
        return now - self._allowance_raised_at < LATE_BRIEF_S

    def only_brief(self, now: float) -> bool:
        """Return whether no lease but brief ones can be in force in this lifetime."""
        if self._may_inherit or self._clock_ms is None:
            return False
        end_ms = max(self._latest_end_ms, self._inherited_end_ms)
        remaining_s = (end_ms - self._clock_ms) / MS_PER_SECOND
        return now > self._clock_read_at + max_duration_s(remaining_s)

    def note_granted(self, end_ms: int) -> None:
        """Note that the server has taken a lease that ends at `end_ms`."""
        self._granted_end_ms = max(self._granted_end_ms, end_ms)

    def may_be_inherited(self, now: float) -> bool:
        """Return whether a lease that this leader did not give may be in force."""
        if self._may_inherit:
            return True
        if self._clock_ms is None or not self._inherited_end_ms:
            return False
        remaining_s = (self._inherited_end_ms - self._clock_ms) / MS_PER_SECOND
        return now <= self._clock_read_at + max_duration_s(remaining_s)

    def in_force(self, now: float) -> bool:
        """Return whether a lease of the present lifetime is certainly in force.

        The server's clock shows at most what it did, and the time since then.
        """
        if self._clock_ms is None:
            return False
        elapsed_s = now - self._clock_asked_at + LEASE_EXPIRY_MARGIN_S
        latest_clock_ms = self._clock_ms + elapsed_s * MS_PER_SECOND
        return latest_clock_ms < self._granted_end_ms

    def expired(self, now: float) -> bool:
        """Return whether all leases given in this lifetime have certainly expired.

        The server's clock is assumed to run at `MIN_CLOCK_RATE` since its last report.
        No lease was given, and the result is true, before a report showed that clock.
        """
        if self._clock_ms is None:
            return True
        if now <= self._start_accepted_at + max_duration_s(self.longest_s):
            return False
        end_ms = max(
            self._latest_end_ms, self._inherited_end_ms, self._latest_brief_end_ms
        )
        remaining_s = (end_ms - self._clock_ms) / MS_PER_SECOND
        return now > self._clock_read_at + max_duration_s(remaining_s)

    def long_ones_expired(self, now: float) -> bool:
        """Return whether no lease longer than `LEASE_S` is in force any more."""
        return now > self._long_end_at
