"""Makes a team save up for old work that its own limit holds back.

Without it the small tasks of a team take each gap in the limit before its large ones
ever fit.
"""

from __future__ import annotations

from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._queue import Lane
from cassiaweir.placement._records import JobRecord
from cassiaweir.types import Urgency


class StarvationGuard:
    """Holds a team's other normal lanes back for one that has waited past `bound`.

    It does so while the limit does not allow that lane, or VMs are kept for it.
    Gangs are not held back.
    """

    def __init__(self, fleet: Fleet, bound: float) -> None:
        self._fleet = fleet
        self._bound = bound

    def protect(self, lane: Lane, job: JobRecord, now: float) -> None:
        """Let the team save up for `lane` if that waits too long and may ever start."""
        if (
            job.team.protected_lane is None
            and lane.demand.key.urgency is Urgency.NORMAL
            and self._is_starved(lane, job, now)
        ):
            job.team.protected_lane = lane

    def holds_back(self, lane: Lane, job: JobRecord, now: float) -> bool:
        """Tell whether `lane` has to wait for older work of its team."""
        team, protected_lane = job.team, job.team.protected_lane
        if protected_lane is None or protected_lane is lane or job.gang:
            return False
        head = protected_lane.head()
        if head is None or not self._is_starved(protected_lane, head, now):
            team.protected_lane = None
            return False
        return head.reserved > 0 or not team.allows(
            head.group.size, head.needed_at_once
        )

    def _is_starved(self, lane: Lane, job: JobRecord, now: float) -> bool:
        """Tell whether the lane waits past the bound and its job may ever start."""
        size = job.group.size
        return (
            now - lane.waiting_since() >= self._bound
            and (size * job.needed_at_once).fits(job.team.allotment)
            and self._fleet.fits_open_vm(size)
        )
