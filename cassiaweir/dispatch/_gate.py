"""Holds tasks back that a former leader may have started where we cannot look yet."""

from __future__ import annotations

from collections.abc import Iterable

from cassiaweir.dispatch._server import LAPSE_MARGIN_S, LEASE_S, SLOWEST_CLOCK
from cassiaweir.leadership import LEADERSHIP_VALIDITY, Owner

LONGEST_FORMER_LEASE_S = LEASE_S / SLOWEST_CLOCK + LAPSE_MARGIN_S


def former_authority_end(former: Owner | None, now: float) -> float:
    """Return until when leaders before this one may give orders.

    One that gave up the lead no longer does, nor do those before it if it had seen to
    that; else one of them may have been confirmed just before `now`.
    """
    if former is not None and former.released and former.settled:
        return now
    return now + LEADERSHIP_VALIDITY.total_seconds()


class TakeoverGate:
    """Opens when no server can still start or run tasks for a former leader.

    Each server is settled when it has answered in the new epoch, or has begun another
    lifetime.  Servers that stay unreachable are settled when the former leader may no
    longer act and the last lease it gave has lapsed: `former_authority_end` is the end
    of its authority, which moves to now when its process is known to be gone.
    """

    def __init__(
        self, server_ids: Iterable[str], *, former_authority_end: float
    ) -> None:
        self._waiting = set(server_ids)
        self._former_authority_end = former_authority_end
        self._open = not self._waiting

    @property
    def is_open(self) -> bool:
        """Whether tasks of the former leader's time may be started."""
        return self._open

    @property
    def unsettled_servers(self) -> frozenset[str]:
        """The servers that are not settled."""
        return frozenset(self._waiting)

    def mark_settled(self, server_id: str) -> None:
        """Note that nothing of the former leader can start on a server any more."""
        self._waiting.discard(server_id)

    def handle_former_leader_exit(self, now: float) -> None:
        """Note that the process of the former leader no longer exists."""
        self._former_authority_end = min(self._former_authority_end, now)

    def try_open(self, now: float) -> bool:
        """Open the gate where nothing is left to wait for; tell whether it opened."""
        if self._open:
            return False
        expired = now >= self._former_authority_end + LONGEST_FORMER_LEASE_S
        self._open = not self._waiting or expired
        return self._open
