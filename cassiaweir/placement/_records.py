"""The planner's mutable records of VMs, racks, teams, jobs and running tasks."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiaweir.placement._types import TaskGroup, VmCondition, VmOffer
from cassiaweir.types import NOTHING, JobKind, Resources, TaskId, Urgency

if TYPE_CHECKING:
    from cassiaweir.placement._estimates import KindEstimates
    from cassiaweir.placement._index import Place
    from cassiaweir.placement._queue import DemandClass, Lane

SMALLEST_SHARE = 1e-6
MOST_SLOTS = 1 << 30
NEVER_BUSY = -math.inf


@dataclass(slots=True, eq=False)
class Amounts:
    """A mutable sum of processors, memory and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, size: Resources, count: int = 1) -> None:
        """Add `size` `count` times; a negative count subtracts."""
        self.cpu_millis += size.cpu_millis * count
        self.memory_mb += size.memory_mb * count
        self.accelerators += size.accelerators * count

    def move(self, old: Amounts, new: Amounts) -> None:
        """Count `new` in place of `old`, and make `old` equal to `new`."""
        self.cpu_millis += new.cpu_millis - old.cpu_millis
        self.memory_mb += new.memory_mb - old.memory_mb
        self.accelerators += new.accelerators - old.accelerators
        old.cpu_millis = new.cpu_millis
        old.memory_mb = new.memory_mb
        old.accelerators = new.accelerators

    def holds(self, size: Resources, count: int = 1) -> bool:
        """Tell whether `size` fits `count` times in every dimension."""
        return (
            size.cpu_millis * count <= self.cpu_millis
            and size.memory_mb * count <= self.memory_mb
            and size.accelerators * count <= self.accelerators
        )

    def slots(self, size: Resources) -> int:
        """Return how many times `size` fits; none where a dimension is below zero."""
        if self.cpu_millis < 0 or self.memory_mb < 0 or self.accelerators < 0:
            return 0
        count = math.inf
        if size.cpu_millis:
            count = self.cpu_millis // size.cpu_millis
        if size.memory_mb:
            count = min(count, self.memory_mb // size.memory_mb)
        if size.accelerators:
            count = min(count, self.accelerators // size.accelerators)
        return int(min(count, MOST_SLOTS))

    def resources(self) -> Resources:
        """Return the sum as a value."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)


NO_ROOM = Amounts()


@dataclass(slots=True, eq=False)
class RackRecord:
    """The VMs of a rack that take new tasks, and the sum of their free amounts."""

    name: str
    vms: dict[str, VmRecord] = field(default_factory=dict)
    free: Amounts = field(default_factory=Amounts)


@dataclass(slots=True, eq=False)
class VmRecord:
    """A VM with what runs on it.

    `free` leaves out what is `promised` to claims, and falls below zero while their
    room is not free yet or where adopted tasks exceed the capacity.  `reclaimable`
    is `free` and what normal batch tasks hold.  `expected_cpu` is the processor use
    that is expected or was observed, in millis; `busy_until` is when the last task
    is expected to end.  `counted` is what the rack's sum
    has of the VM.  `held` keeps the VM for a reservation.
    """

    name: str
    rack: RackRecord
    capacity: Resources
    condition: VmCondition
    free: Amounts
    reclaimable: Amounts
    expected_cpu: int = 0
    busy_until: float = NEVER_BUSY
    promised: Amounts = field(default_factory=Amounts)
    counted: Amounts = field(default_factory=Amounts)
    held: bool = False
    removed: bool = False
    indexed: bool = False
    places: list[Place | None] = field(default_factory=lambda: [None, None, None])
    tasks: dict[TaskId, RunningTask] = field(default_factory=dict)

    @classmethod
    def from_offer(
        cls, offer: VmOffer, rack: RackRecord, condition: VmCondition
    ) -> VmRecord:
        """Return the record of an empty VM."""
        free, reclaimable = Amounts(), Amounts()
        free.add(offer.capacity)
        reclaimable.add(offer.capacity)
        return cls(offer.name, rack, offer.capacity, condition, free, reclaimable)

    def takes_tasks(self) -> bool:
        """Tell whether the VM's condition lets a task start on it now."""
        if self.condition is VmCondition.PROBATION:
            return not self.tasks
        return self.condition is VmCondition.OPEN

    def slots(self, size: Resources) -> int:
        """Return how many tasks of `size` may start on the VM now."""
        if not self.takes_tasks():
            return 0
        slots = self.free.slots(size)
        return slots if self.condition is VmCondition.OPEN else min(slots, 1)

    def usable_room(self) -> Amounts:
        """Return what is free, or nothing where a dimension is below zero."""
        free = self.free
        if free.cpu_millis < 0 or free.memory_mb < 0 or free.accelerators < 0:
            return NO_ROOM
        return free


@dataclass(slots=True, eq=False)
class RunningTask:
    """A task that runs, or that a plan has placed.

    `ends_at` is when it was expected to end as it started.
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

    `waiting` keeps indexes in the order in which they start.  `claimed` has those
    for which checkpoints are making room; `draining` says that all running tasks of a
    gang are to stop before any starts again; `reserved` counts its reservations;
    `racks` and `vms` count running tasks of a service.
    """

    group: TaskGroup
    team: TeamRecord
    sequence: int
    estimates: KindEstimates
    gang: bool = field(init=False)
    preemptible: bool = field(init=False)
    lane: Lane | None = None
    queued: bool = False
    draining: bool = False
    reserved: int = 0
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
        """The number of tasks that have to start together."""
        return len(self.waiting) if self.gang else 1


@dataclass(slots=True, eq=False)
class TeamRecord:
    """A team's share, limit and use.

    `promised` is what claims keep for it, `tasks` the number of its running tasks.
    `protected_lane` is a lane that waits too long for the team's own limit; the others
    then start nothing.  `order` is the dominant share by weight: the smaller, the
    sooner the team's turn.  It stays zero unless `fair_share` is set.
    """

    name: str
    share: float
    allotment: Resources
    fair_share: bool = True
    used: Amounts = field(default_factory=Amounts)
    promised: Amounts = field(default_factory=Amounts)
    tasks: int = 0
    wanted: Amounts = field(default_factory=Amounts)
    order: float = 0.0
    protected_lane: Lane | None = None
    lanes: dict[DemandClass, Lane] = field(default_factory=dict)
    jobs: dict[str, JobRecord] = field(default_factory=dict)

    def allows(self, size: Resources, count: int = 1) -> bool:
        """Tell whether `count` more tasks of `size` stay within the allotment."""
        used, promised, limit = self.used, self.promised, self.allotment
        return (
            used.cpu_millis + promised.cpu_millis + size.cpu_millis * count
            <= limit.cpu_millis
            and used.memory_mb + promised.memory_mb + size.memory_mb * count
            <= limit.memory_mb
            and used.accelerators + promised.accelerators + size.accelerators * count
            <= limit.accelerators
        )

    def is_within_limit(self, change: Resources = NOTHING) -> bool:
        """Tell whether what runs, with `change` added, is within the allotment."""
        return (self.used.resources() + change).fits(self.allotment)

    def reorder(self, total: Amounts) -> None:
        """Work out `order` again from the use and the capacity of all VMs."""
        if not self.fair_share:
            return
        dominant = max(
            self.used.cpu_millis / (total.cpu_millis or 1),
            self.used.memory_mb / (total.memory_mb or 1),
            self.used.accelerators / (total.accelerators or 1),
        )
        self.order = dominant / max(self.share, SMALLEST_SHARE)
