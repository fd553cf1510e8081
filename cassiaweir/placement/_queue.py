"""The order of waiting work: equal demands together, least weighted share first.

Jobs with equal demand form a `DemandClass`; the jobs of one team in it a `Lane`.  A
class that found no room is blocked as a whole until a VM frees enough.  Heaps are
lazy: an entry may be too small, never too large, and is put right when it is taken.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

from cassiaweir.placement._records import JobRecord, TeamRecord
from cassiaweir.types import JobKind, Resources, Urgency

NO_ENTRY = float("inf")
MOST_IDLE_CLASSES = 512

# Makes every heap entry unique, so that records themselves are never compared.
_tie = itertools.count()


@dataclass(frozen=True, slots=True)
class ClassKey:
    """What makes demands equal; `together` is 1 but for gangs.

    `duration_octave` is the power of two above the declared seconds, 0 if unknown.
    """

    kind: JobKind
    urgency: Urgency
    size: Resources
    together: int
    duration_octave: int


def class_key(job: JobRecord) -> ClassKey:
    """Return the key of the class that the waiting tasks of `job` belong to."""
    group = job.group
    octave = int(group.declared_seconds).bit_length() if group.declared_seconds else 0
    return ClassKey(group.kind, group.urgency, group.size, job.needed_at_once, octave)


@dataclass(slots=True, eq=False)
class Lane:
    """The waiting jobs of one team with equal demand, oldest first.

    `entry` is the order of the lane's valid entry in the heap of its class.
    `served_at` is when a task of the lane last started, in monotonic seconds.
    """

    team: TeamRecord
    demand: DemandClass
    entry: float = NO_ENTRY
    served_at: float = -NO_ENTRY
    watched: bool = False
    heap: list[tuple[float, int, int, JobRecord]] = field(default_factory=list)

    def add(self, job: JobRecord) -> None:
        """Queue `job` by the time of its submission."""
        entry = (job.group.submitted_at, job.sequence, next(_tie), job)
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
        """Return since when the lane waits without a start, or infinity if empty."""
        head = self.head()
        return max(head.group.submitted_at, self.served_at) if head else NO_ENTRY


@dataclass(slots=True, eq=False)
class DemandClass:
    """The lanes of all teams with equal demand."""

    key: ClassKey
    teams: int = 0
    blocked: bool = False
    entry: float = NO_ENTRY
    lanes: list[tuple[float, float, int, Lane]] = field(default_factory=list)

    def offer(self, lane: Lane) -> bool:
        """Enter `lane` with its team's order; tell whether that came first."""
        order = lane.team.order
        if order >= lane.entry:
            return False
        head = lane.head()
        if head is None:
            return False
        lane.entry = order
        entry = (order, head.group.submitted_at, next(_tie), lane)
        heapq.heappush(self.lanes, entry)
        return True

    def first(self) -> Lane | None:
        """Return the lane whose team has the least order, with its entry right."""
        while self.lanes:
            order, submitted_at, _, lane = self.lanes[0]
            if order != lane.entry:
                heapq.heappop(self.lanes)
            elif lane.team.order > order:
                lane.entry = lane.team.order
                entry = (lane.entry, submitted_at, next(_tie), lane)
                heapq.heapreplace(self.lanes, entry)
            elif lane.head() is None:
                heapq.heappop(self.lanes)
                lane.entry = NO_ENTRY
            else:
                return lane
        return None

    def withdraw(self, lane: Lane) -> None:
        """Take the first lane out until it is offered again."""
        heapq.heappop(self.lanes)
        lane.entry = NO_ENTRY


class WaitingQueue:
    """All waiting work of one urgency."""

    def __init__(self) -> None:
        self.classes: dict[ClassKey, DemandClass] = {}
        self._heap: list[tuple[float, float, int, DemandClass]] = []
        self._blocked: dict[Resources, dict[ClassKey, DemandClass]] = {}

    def add(self, job: JobRecord) -> Lane:
        """Queue the waiting tasks of `job`, and return their lane."""
        demand = self._demand(job)
        lane = job.team.lanes.get(demand) or self._new_lane(job.team, demand)
        if job.lane is not lane or not job.queued:
            job.lane = lane
            job.queued = True
            lane.add(job)
        self.offer(lane)
        return lane

    def _demand(self, job: JobRecord) -> DemandClass:
        """Return the class of the waiting tasks of `job`."""
        key = class_key(job)
        demand = self.classes.get(key)
        if demand is None:
            if len(self.classes) >= MOST_IDLE_CLASSES:
                self._forget_idle_classes()
            demand = self.classes[key] = DemandClass(key)
        return demand

    def _forget_idle_classes(self) -> None:
        for key, demand in list(self.classes.items()):
            if not demand.teams:
                self.unblock(demand)
                del self.classes[key]

    def _new_lane(self, team: TeamRecord, demand: DemandClass) -> Lane:
        demand.teams += 1
        lane = team.lanes[demand] = Lane(team, demand)
        return lane

    def offer(self, lane: Lane) -> None:
        """Enter `lane` again after its team's order fell or its limit rose."""
        if lane.demand.offer(lane):
            self._enter(lane.demand)

    def _enter(self, demand: DemandClass) -> None:
        if demand.blocked or not demand.lanes:
            return
        order, submitted_at = demand.lanes[0][:2]
        if order < demand.entry:
            demand.entry = order
            heapq.heappush(self._heap, (order, submitted_at, next(_tie), demand))

    def first(self) -> Lane | None:
        """Return the lane to serve next, or None where none may be served."""
        while self._heap:
            order, _, _, demand = self._heap[0]
            if order != demand.entry or demand.blocked:
                heapq.heappop(self._heap)
                if order == demand.entry:
                    demand.entry = NO_ENTRY
                continue
            lane = demand.first()
            if lane is not None and lane.entry <= order:
                return lane
            heapq.heappop(self._heap)
            demand.entry = NO_ENTRY
            self._enter(demand)
        return None

    def block(self, demand: DemandClass) -> None:
        """Leave `demand` out until `room_grew` finds room for it."""
        demand.blocked = True
        self._blocked.setdefault(demand.key.size, {})[demand.key] = demand

    def unblock(self, demand: DemandClass) -> None:
        """Let `demand` be served again."""
        if demand.blocked:
            demand.blocked = False
            same_size = self._blocked[demand.key.size]
            del same_size[demand.key]
            if not same_size:
                del self._blocked[demand.key.size]
            self._enter(demand)

    @property
    def any_entered(self) -> bool:
        """Whether a class may have work to serve."""
        return bool(self._heap)

    @property
    def any_blocked(self) -> bool:
        """Whether a class is blocked."""
        return bool(self._blocked)

    def blocked_sizes(self) -> list[Resources]:
        """Return the sizes of the blocked classes."""
        return list(self._blocked)

    def unblock_size(self, size: Resources) -> None:
        """Let all classes of `size` be served again."""
        for demand in list(self._blocked.get(size, {}).values()):
            self.unblock(demand)

    def forget_if_empty(self, lane: Lane) -> None:
        """Drop `lane` once nothing waits in it."""
        demand = lane.demand
        if lane.head() is None and lane.team.lanes.get(demand) is lane:
            del lane.team.lanes[demand]
            lane.entry = NO_ENTRY
            demand.teams -= 1
            if not demand.teams:
                self.unblock(demand)
