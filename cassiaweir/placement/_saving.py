"""Makes a team save up for old work that its own limit holds back.

Without it the small tasks of a team take each gap in the limit before its large ones
ever fit.
"""

from __future__ import annotations

from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._queue import Lane
from cassiaweir.placement._records import JobRecord
from cassiaweir.types import Urgency


class Saver:
    """Holds a team's other normal lanes back for one that has waited past `bound`.

    It does so while the limit does not allow that lane, or VMs are kept for it.
    Gangs are not held back.
    """

    def __init__(self, fleet: Fleet, bound: float) -> None:
        self._fleet = fleet
        self._bound = bound

    def save_for(self, lane: Lane, job: JobRecord, now: float) -> None:
        """Let the team save up for `lane` if that waits too long and may ever start."""
        if (
            job.team.saving_for is None
            and lane.demand.key.urgency is Urgency.NORMAL
            and self._deserves(lane, job, now)
        ):
            job.team.saving_for = lane

    def holds_back(self, lane: Lane, job: JobRecord, now: float) -> bool:
        """Tell whether `lane` has to wait for older work of its team."""
        team, saving_for = job.team, job.team.saving_for
        if saving_for is None or saving_for is lane or job.gang:
            return False
        head = saving_for.head()
        if head is None or not self._deserves(saving_for, head, now):
            team.saving_for = None
            return False
        return head.reserved > 0 or not team.allows(
            head.group.size, head.needed_at_once
        )

    def _deserves(self, lane: Lane, job: JobRecord, now: float) -> bool:
        """Tell whether the lane waits past the bound and its job may ever start."""
        size = job.group.size
        return (
            now - lane.waiting_since() >= self._bound
            and (size * job.needed_at_once).fits(job.team.allotment)
            and self._fleet.fits_open_vm(size)
        )
