"""The queue of waiting work, ordered by the weighted share of the teams.

Jobs with equal demand form a `DemandClass`; those of one team in it form a `Lane`.  A
class for which there is no room is blocked as a whole until a VM gains enough room.

The heaps of classes and lanes are lazy.  The weighted share in an entry may be lower
than the team's current one, never higher; it is corrected when the entry comes first.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

from cassiaweir.placement._records import JobRecord, TeamRecord
from cassiaweir.types import JobKind, Resources, Urgency

# As `entry`: the heap has no entry.  Negative as `served_at`: never served.
INFINITY = float("inf")
MAX_CLASSES_BEFORE_CLEANUP = 512

# Makes every heap entry unique, so that records themselves are never compared.
_tie_breaker = itertools.count()


@dataclass(frozen=True, slots=True)
class DemandKey:
    """The properties that jobs of one demand class have in common.

    `needed_at_once` is 1 except for gangs.  `duration_octave` is the exponent of the
    power of two above the declared run time in seconds, 0 if none is declared.
    """

    kind: JobKind
    urgency: Urgency
    size: Resources
    needed_at_once: int
    duration_octave: int


def demand_key(job: JobRecord) -> DemandKey:
    """Return the key of the class that the waiting tasks of `job` belong to."""
    group = job.group
    octave = int(group.declared_seconds).bit_length() if group.declared_seconds else 0
    return DemandKey(group.kind, group.urgency, group.size, job.needed_at_once, octave)


@dataclass(slots=True, eq=False)
class Lane:
    """The waiting jobs of one team with equal demand, oldest first.

    `entry` is the weighted share in the lane's valid entry in the heap of its class,
    or infinity if there is none; entries with another value are stale.  `served_at`
    is when a task of the lane last started, in monotonic seconds.  `watched` says
    whether the `Reserver` has scheduled a check of the lane.  `heap` has the jobs by
    the time of submission, including some that no longer wait.
    """

    team: TeamRecord
    demand: DemandClass
    entry: float = INFINITY
    served_at: float = -INFINITY
    watched: bool = False
    heap: list[tuple[float, int, int, JobRecord]] = field(default_factory=list)

    def add(self, job: JobRecord) -> None:
        """Add `job`, ordered by the time of its submission."""
        entry = (job.group.submitted_at, job.sequence, next(_tie_breaker), job)
        heapq.heappush(self.heap, entry)

    def head(self) -> JobRecord | None:
        """Return the oldest job that still waits in this lane."""
        while self.heap:
            job = self.heap[0][3]
            if job.waiting and job.lane is self:
                return job
            job.queued = job.queued and job.lane is not self
            heapq.heappop(self.heap)
        return None

    def waiting_since(self) -> float:
        """Return since when the lane has waited without a start; infinity if empty."""
        head = self.head()
        return max(head.group.submitted_at, self.served_at) if head else INFINITY


@dataclass(slots=True, eq=False)
class DemandClass:
    """The lanes of all teams with equal demand.

    `lanes` is a heap by weighted share, then by submission of the oldest job.
    `entry` is the weighted share in the valid entry of this class in the heap of the
    `WaitingQueue`, or infinity.  A `blocked` class is not served.
    """

    key: DemandKey
    team_count: int = 0
    blocked: bool = False
    entry: float = INFINITY
    lanes: list[tuple[float, float, int, Lane]] = field(default_factory=list)

    def push(self, lane: Lane) -> bool:
        """Add a heap entry for `lane` if its team's share is below the valid entry.

        Return whether an entry was added.
        """
        weighted_share = lane.team.weighted_share
        if weighted_share >= lane.entry:
            return False
        head = lane.head()
        if head is None:
            return False
        lane.entry = weighted_share
        entry = (weighted_share, head.group.submitted_at, next(_tie_breaker), lane)
        heapq.heappush(self.lanes, entry)
        return True

    def first(self) -> Lane | None:
        """Return the lane whose team has the lowest weighted share, or None.

        Its entry in the heap is up to date then.
        """
        while self.lanes:
            weighted_share, submitted_at, _, lane = self.lanes[0]
            if weighted_share != lane.entry:
                heapq.heappop(self.lanes)
            elif lane.team.weighted_share > weighted_share:
                lane.entry = lane.team.weighted_share
                entry = (lane.entry, submitted_at, next(_tie_breaker), lane)
                heapq.heapreplace(self.lanes, entry)
            elif lane.head() is None:
                heapq.heappop(self.lanes)
                lane.entry = INFINITY
            else:
                return lane
        return None

    def withdraw(self, lane: Lane) -> None:
        """Remove `lane`, which must be the first, until it is pushed again."""
        heapq.heappop(self.lanes)
        lane.entry = INFINITY


class WaitingQueue:
    """All waiting work of one urgency, by demand class."""

    def __init__(self) -> None:
        self.classes: dict[DemandKey, DemandClass] = {}
        self._heap: list[tuple[float, float, int, DemandClass]] = []
        self._blocked: dict[Resources, dict[DemandKey, DemandClass]] = {}

    def add(self, job: JobRecord) -> Lane:
        """Add `job` to the lane of its waiting tasks, and return the lane."""
        demand = self._demand(job)
        lane = job.team.lanes.get(demand) or self._new_lane(job.team, demand)
        if job.lane is not lane or not job.queued:
            job.lane = lane
            job.queued = True
            lane.add(job)
        self.push(lane)
        return lane

    def _demand(self, job: JobRecord) -> DemandClass:
        """Return the class of the waiting tasks of `job`."""
        key = demand_key(job)
        demand = self.classes.get(key)
        if demand is None:
            if len(self.classes) >= MAX_CLASSES_BEFORE_CLEANUP:
                self._forget_idle_classes()
            demand = self.classes[key] = DemandClass(key)
        return demand

    def _forget_idle_classes(self) -> None:
        for key, demand in list(self.classes.items()):
            if not demand.team_count:
                self.unblock(demand)
                del self.classes[key]

    def _new_lane(self, team: TeamRecord, demand: DemandClass) -> Lane:
        demand.team_count += 1
        lane = team.lanes[demand] = Lane(team, demand)
        return lane

    def push(self, lane: Lane) -> None:
        """Add `lane` to the heaps again after its team's share fell or limit rose."""
        if lane.demand.push(lane):
            self._push_class(lane.demand)

    def _push_class(self, demand: DemandClass) -> None:
        """Add a heap entry for `demand` if its first lane is below the valid entry."""
        if demand.blocked or not demand.lanes:
            return
        weighted_share, submitted_at = demand.lanes[0][:2]
        if weighted_share < demand.entry:
            demand.entry = weighted_share
            heapq.heappush(
                self._heap, (weighted_share, submitted_at, next(_tie_breaker), demand)
            )

    def first(self) -> Lane | None:
        """Return the lane to serve next, or None if none may be served."""
        while self._heap:
            weighted_share, _, _, demand = self._heap[0]
            if weighted_share != demand.entry or demand.blocked:
                heapq.heappop(self._heap)
                if weighted_share == demand.entry:
                    demand.entry = INFINITY
                continue
            lane = demand.first()
            if lane is not None and lane.entry <= weighted_share:
                return lane
            heapq.heappop(self._heap)
            demand.entry = INFINITY
            self._push_class(demand)
        return None

    def block(self, demand: DemandClass) -> None:
        """Do not serve `demand` until it is unblocked."""
        demand.blocked = True
        self._blocked.setdefault(demand.key.size, {})[demand.key] = demand

    def unblock(self, demand: DemandClass) -> None:
        """Serve `demand` again if it was blocked."""
        if demand.blocked:
            demand.blocked = False
            same_size = self._blocked[demand.key.size]
            del same_size[demand.key]
            if not same_size:
                del self._blocked[demand.key.size]
            self._push_class(demand)

    @property
    def has_entries(self) -> bool:
        """Whether a class may have work to serve; its entry may be stale."""
        return bool(self._heap)

    @property
    def has_blocked(self) -> bool:
        """Whether a class is blocked."""
        return bool(self._blocked)

    def blocked_sizes(self) -> list[Resources]:
        """Return the distinct task sizes of the blocked classes."""
        return list(self._blocked)

    def unblock_size(self, size: Resources) -> None:
        """Unblock all classes with tasks of `size`."""
        for demand in list(self._blocked.get(size, {}).values()):
            self.unblock(demand)

    def forget_if_empty(self, lane: Lane) -> None:
        """Remove `lane` if no job waits in it."""
        demand = lane.demand
        if lane.head() is None and lane.team.lanes.get(demand) is lane:
            del lane.team.lanes[demand]
            lane.entry = INFINITY
            demand.team_count -= 1
            if not demand.team_count:
                self.unblock(demand)
