"""Protects a team's large work from starvation by its own small work.

When a team is at its allotment, its small tasks would use up whatever an ended task
frees, so that its large tasks would never fit.
"""

from __future__ import annotations

from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._queue import Lane
from cassiaweir.placement._records import JobRecord
from cassiaweir.types import Urgency


class StarvationGuard:
    """Holds back a team's other normal lanes while one lane is starved.

    A lane is starved when it has waited for `bound_seconds` without a start although
    its oldest job would fit the whole allotment and an open VM.  The others are held
    back while the allotment has no room left for that job, or VMs are reserved for it.
    Gangs are not held back.
    """

    def __init__(self, fleet: Fleet, bound_seconds: float) -> None:
        self._fleet = fleet
        self._bound_seconds = bound_seconds

    def protect(self, lane: Lane, job: JobRecord, now: float) -> None:
        """Hold back the team's other lanes from now on if `lane` is starved.

        Only one normal lane of a team is protected at a time.
        """
        if (
            job.team.protected_lane is None
            and lane.demand.key.urgency is Urgency.NORMAL
            and self._is_starved(lane, job, now)
        ):
            job.team.protected_lane = lane

    def holds_back(self, lane: Lane, job: JobRecord, now: float) -> bool:
        """Return whether `lane` has to wait for the protected lane of its team."""
        team, protected_lane = job.team, job.team.protected_lane
        if protected_lane is None or protected_lane is lane or job.gang:
            return False
        head = protected_lane.head()
        if head is None or not self._is_starved(protected_lane, head, now):
            team.protected_lane = None
            return False
        return head.reservation_count > 0 or not team.allows(
            head.group.size, head.needed_at_once
        )

    def _is_starved(self, lane: Lane, job: JobRecord, now: float) -> bool:
        """Return whether the lane has waited too long and `job` could start at all.

        It could if the tasks that start together fit the whole allotment, and one task
        fits the total capacity of an open VM.
        """
        size = job.group.size
        return (
            now - lane.waiting_since() >= self._bound_seconds
            and (size * job.needed_at_once).fits(job.team.allotment)
            and self._fleet.fits_open_vm(size)
        )
