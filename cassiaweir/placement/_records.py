"""The planner's mutable records of VMs, racks, teams, jobs and running tasks."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiaweir.placement._types import TaskGroup, VmCondition, VmOffer
from cassiaweir.types import NO_RESOURCES, JobKind, Resources, TaskId, Urgency

if TYPE_CHECKING:
    from cassiaweir.placement._estimates import KindEstimates
    from cassiaweir.placement._index import IndexEntry
    from cassiaweir.placement._queue import DemandClass, Lane

# Stands in for a share of 0, so that the weighted share stays finite.
MIN_SHARE = 1e-6
# The number of slots reported for a task that declares no resources.
MAX_SLOTS = 1 << 30
# `busy_until` of a VM without tasks.
NEVER_BUSY = -math.inf


@dataclass(slots=True, eq=False)
class ResourceSum:
    """A mutable sum of resources; its amounts may be negative."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, size: Resources, count: int = 1) -> None:
        """Add `size` `count` times; a negative count subtracts."""
        self.cpu_millis += size.cpu_millis * count
        self.memory_mb += size.memory_mb * count
        self.accelerators += size.accelerators * count

    def replace(self, old: ResourceSum, new: ResourceSum) -> None:
        """Replace the summand `old` by `new`, and set `old` to the amounts of `new`."""
        self.cpu_millis += new.cpu_millis - old.cpu_millis
        self.memory_mb += new.memory_mb - old.memory_mb
        self.accelerators += new.accelerators - old.accelerators
        old.cpu_millis = new.cpu_millis
        old.memory_mb = new.memory_mb
        old.accelerators = new.accelerators

    def holds(self, size: Resources, count: int = 1) -> bool:
        """Return whether `size` fits `count` times in every dimension."""
        return (
            size.cpu_millis * count <= self.cpu_millis
            and size.memory_mb * count <= self.memory_mb
            and size.accelerators * count <= self.accelerators
        )

    def slots(self, size: Resources) -> int:
        """Return how many times `size` fits; 0 if any amount is negative."""
        if self.cpu_millis < 0 or self.memory_mb < 0 or self.accelerators < 0:
            return 0
        count = math.inf
        if size.cpu_millis:
            count = self.cpu_millis // size.cpu_millis
        if size.memory_mb:
            count = min(count, self.memory_mb // size.memory_mb)
        if size.accelerators:
            count = min(count, self.accelerators // size.accelerators)
        return int(min(count, MAX_SLOTS))

    def resources(self) -> Resources:
        """Return the sum as an immutable value."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)


NOTHING_FREE = ResourceSum()


@dataclass(slots=True, eq=False)
class RackRecord:
    """The VMs of a rack that take new tasks, and the sum of their free resources."""

    name: str
    vms: dict[str, VmRecord] = field(default_factory=dict)
    free: ResourceSum = field(default_factory=ResourceSum)


@dataclass(slots=True, eq=False)
class VmRecord:
    """A VM, its running tasks and its free resources.

    `free` is the capacity less what running tasks declare and less `claimed_room`,
    which open claims of urgent work have set aside.  It is negative while the tasks
    that make room for a claim still run, or when adopted tasks exceed the capacity.
    `reclaimable` is `free` plus what preemptible tasks hold.

    `expected_cpu` is the CPU usage, in thousandths of a core, that was observed
    or else is expected of the tasks.  `busy_until` is when the last task is expected
    to end.  `counted_in_rack` is the VM's part of the free resources of its rack.

    A VM is `reserved` while a reservation keeps other work off it, `removed` when it
    only waits for its last task to end, and `indexed` when it is in the indexes of
    free and of reclaimable room.  `index_entries` has its entry in each `RoomIndex`.
    """

    name: str
    rack: RackRecord
    capacity: Resources
    condition: VmCondition
    free: ResourceSum
    reclaimable: ResourceSum
    expected_cpu: int = 0
    busy_until: float = NEVER_BUSY
    claimed_room: ResourceSum = field(default_factory=ResourceSum)
    counted_in_rack: ResourceSum = field(default_factory=ResourceSum)
    reserved: bool = False
    removed: bool = False
    indexed: bool = False
    index_entries: list[IndexEntry | None] = field(
        default_factory=lambda: [None, None, None]
    )
    tasks: dict[TaskId, RunningTask] = field(default_factory=dict)

    @classmethod
    def from_offer(
        cls, offer: VmOffer, rack: RackRecord, condition: VmCondition
    ) -> VmRecord:
        """Return the record of a VM without tasks."""
        free, reclaimable = ResourceSum(), ResourceSum()
        free.add(offer.capacity)
        reclaimable.add(offer.capacity)
        return cls(offer.name, rack, offer.capacity, condition, free, reclaimable)

    def takes_tasks(self) -> bool:
        """Return whether a task may start on the VM in its current condition."""
        if self.condition is VmCondition.PROBATION:
            return not self.tasks
        return self.condition is VmCondition.OPEN

    def slots(self, size: Resources) -> int:
        """Return how many tasks of `size` may start on the VM now."""
        if not self.takes_tasks():
            return 0
        slots = self.free.slots(size)
        return slots if self.condition is VmCondition.OPEN else min(slots, 1)

    def usable_room(self) -> ResourceSum:
        """Return the free resources, or none if any amount is negative."""
        free = self.free
        if free.cpu_millis < 0 or free.memory_mb < 0 or free.accelerators < 0:
            return NOTHING_FREE
        return free


@dataclass(slots=True, eq=False)
class RunningTask:
    """A task that runs, or that a plan has placed.

    `rack` is the rack of the VM when the task started.  `ends_at` is the end that was
    expected at the start, and `expected_cpu` the expected or observed CPU usage
    in thousandths of a core.  `stopping` is set while the task is being checkpointed
    for a claim.
    """

    task: TaskId
    job: JobRecord
    vm: VmRecord
    rack: str
    started_at: float
    ends_at: float
    expected_cpu: int
    stopping: bool = False

    @property
    def preemptible(self) -> bool:
        """Whether the task may be checkpointed for urgent work."""
        return self.job.preemptible and not self.stopping


@dataclass(slots=True, eq=False)
class JobRecord:
    """A job's waiting and running tasks in this shard.

    `waiting` has task indexes in the order in which they start.  `claimed` has the
    indexes for which preempted tasks are making room.  `queued` says whether the heap
    of `lane` has an entry for the job.  `gang_stopping` is set while all running tasks
    of a gang have to stop before any may start again.  `sequence` numbers jobs in the
    order in which they became known.  `racks` and `vms` count the running tasks of a
    service by rack and by VM.
    """

    group: TaskGroup
    team: TeamRecord
    sequence: int
    estimates: KindEstimates
    gang: bool = field(init=False)
    preemptible: bool = field(init=False)
    lane: Lane | None = None
    queued: bool = False
    gang_stopping: bool = False
    reservation_count: int = 0
    waiting: dict[int, None] = field(default_factory=dict)
    running: dict[int, RunningTask] = field(default_factory=dict)
    claimed: dict[int, None] = field(default_factory=dict)
    racks: dict[str, int] = field(default_factory=dict)
    vms: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        kind, urgency = self.group.kind, self.group.urgency
        self.gang = kind is JobKind.GANG
        self.preemptible = kind is JobKind.BATCH and urgency is Urgency.NORMAL

    @property
    def needed_at_once(self) -> int:
        """The number of tasks that have to start together: all of a gang, else one."""
        return len(self.waiting) if self.gang else 1


@dataclass(slots=True, eq=False)
class TeamRecord:
    """A team's share, allotment and usage in this shard.

    `used` sums what its running tasks declare, `wanted` what its running and waiting
    tasks declare, and `claimed_room` what open claims have set aside for it.  `tasks`
    is the number of its running tasks.

    `weighted_share` is its dominant share (the largest fraction of a resource that it
    uses of all VMs) divided by `share`; the team with the smallest is served first.
    It stays 0 unless `fair_share` is set.  `protected_lane` has waited too long for
    room within the allotment; meanwhile the team's other lanes may be held back (see
    `StarvationGuard`).
    """

    name: str
    share: float
    allotment: Resources
    fair_share: bool = True
    used: ResourceSum = field(default_factory=ResourceSum)
    claimed_room: ResourceSum = field(default_factory=ResourceSum)
    tasks: int = 0
    wanted: ResourceSum = field(default_factory=ResourceSum)
    weighted_share: float = 0.0
    protected_lane: Lane | None = None
    lanes: dict[DemandClass, Lane] = field(default_factory=dict)
    jobs: dict[str, JobRecord] = field(default_factory=dict)

    def allows(self, size: Resources, count: int = 1) -> bool:
        """Return whether `count` more tasks of `size` fit the allotment.

        Room that open claims have set aside counts as used.
        """
        used, claimed_room, limit = self.used, self.claimed_room, self.allotment
        return (
            used.cpu_millis + claimed_room.cpu_millis + size.cpu_millis * count
            <= limit.cpu_millis
            and used.memory_mb + claimed_room.memory_mb + size.memory_mb * count
            <= limit.memory_mb
            and used.accelerators
            + claimed_room.accelerators
            + size.accelerators * count
            <= limit.accelerators
        )

    def is_within_limit(self, change: Resources = NO_RESOURCES) -> bool:
        """Return whether `used` plus `change` is within the allotment."""
        return (self.used.resources() + change).fits(self.allotment)

    def update_weighted_share(self, total: ResourceSum) -> None:
        """Recompute `weighted_share`; `total` is the capacity of all VMs."""
        if not self.fair_share:
            return
        dominant = max(
            self.used.cpu_millis / (total.cpu_millis or 1),
            self.used.memory_mb / (total.memory_mb or 1),
            self.used.accelerators / (total.accelerators or 1),
        )
        self.weighted_share = dominant / max(self.share, MIN_SHARE)
