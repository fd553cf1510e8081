"""What has become of lifetimes of servers that were lost from sight with their runs.

A server that does not answer may have crashed, or be cut off: its runs then end with
their leases, and it may crash or start again much later.  Only the end of a lifetime
that is heard of while its leases are in force shows that its runs were there.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto

from cassiaweir.dispatch._leases import SUSPECT_LEASE_S
from cassiaweir.dispatch._server import Server

ABSENT_AFTER_S = 3.0
"""A server is not expected back if current entries lack it for this long."""

MAX_ENTRIES_AGE = timedelta(seconds=2)
"""Entries that are older say nothing about a server that they lack."""

MAX_CLOCK_SKEW_S = 2.0
"""The times of day of two leaders differ by less than this."""

LOSS_RETENTION_S = 600.0
"""Time after which a loss whose cause stays unknown is forgotten."""


class Fate(Enum):
    """What has become of a lost lifetime, as far as is known."""

    UNKNOWN = auto()
    ABSENT = auto()
    """Current entries lack the server; it may have ended, or be cut off."""

    GOES_ON = auto()
    CRASHED = auto()
    """It ended while the leases of its runs were in force."""

    ENDED = auto()
    """It ended, but its runs may have ended before, with their leases."""

    FORGOTTEN = auto()


@dataclass(slots=True)
class LostLifetime:
    """A lifetime of a server that ended or was lost from sight, with what it ran.

    `seen_at` is the time of its last report, minus infinity if only a former leader
    had one, which also knew what else ran there.  `noted_at` is the time of the first
    loss, and `absent_since` that since which current entries lack the server.
    `isolated` means that all its runs were those of one suspected job that had the
    server for itself.  `present` are the jobs of which a run had certainly begun there
    and held a lease when the end of the lifetime was heard of.  `in_force_until` is the
    time until which leases of a former leader are in force, minus infinity if that is
    not known.  `replaced` means that another lifetime answers at its address.
    """

    server_id: str
    address: str
    born: int
    seen_at: float
    noted_at: float
    jobs: set[str] = field(default_factory=set)
    present: set[str] = field(default_factory=set)
    isolated: bool = True
    draining: bool = False
    in_force_until: float = float("-inf")
    replaced: bool = False
    resolved: bool = False
    absent_since: float | None = None


def remaining_lease_s(lease_until: float, wall: float) -> float:
    """Return how long a former leader's lease is certainly in force, in seconds.

    Both times are in Unix seconds, by the clocks of two leaders.  A lease that would be
    longer than any says that one of the clocks is wrong.
    """
    left_s = lease_until - wall - MAX_CLOCK_SKEW_S
    return left_s if 0 < left_s <= SUSPECT_LEASE_S else 0.0


class FateFinder:
    """Finds out what has become of lost lifetimes."""

    def __init__(
        self,
        servers: Mapping[str, Server],
        entries_age: Callable[[], timedelta],
    ) -> None:
        self._servers = servers
        self._entries_age = entries_age

    def find(self, lost: LostLifetime, now: float) -> Fate:
        """Return what has become of a lost lifetime."""
        if lost.present:
            return Fate.CRASHED
        if now - lost.noted_at > LOSS_RETENTION_S:
            return Fate.FORGOTTEN
        server = self._servers.get(lost.server_id)
        if lost.replaced:
            return self._find_ended(lost, now)
        if server is None:
            absent = self._is_long_absent(lost, now)
            return Fate.ABSENT if absent else Fate.UNKNOWN
        lost.absent_since = None
        lost.draining |= server.is_draining and server.born == lost.born
        if server.ended or (server.has_reported and server.born != lost.born):
            return self._find_ended(lost, now)
        alive = server.reachable and server.reported_at > lost.noted_at
        return Fate.GOES_ON if server.has_reported and alive else Fate.UNKNOWN

    def _find_ended(self, lost: LostLifetime, now: float) -> Fate:
        """Return whether an ended lifetime held leases of a former leader until now."""
        if now >= lost.in_force_until:
            return Fate.ENDED
        lost.present |= lost.jobs
        return Fate.CRASHED

    def _is_long_absent(self, lost: LostLifetime, now: float) -> bool:
        """Return whether a server that is not known has had no entry for long enough.

        Entries that were lost in an outage of the store come back after it.
        """
        if self._entries_age() > MAX_ENTRIES_AGE:
            lost.absent_since = None
            return False
        if lost.absent_since is None:
            lost.absent_since = now
        return now - lost.absent_since > ABSENT_AFTER_S
