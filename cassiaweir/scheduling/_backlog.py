"""Measures the waiting work, and how long a new job of each queue would wait."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from cassiaweir.types import Resources

SETTLE_S = 1.0
"""A new leader measures this long before it reports any load.

Its first rounds see only a part of the servers and of what runs there.
"""

OFFERED_WINDOW_S = 2.0
"""The rate of a customer's submissions is measured over this time."""

BURST_S = 1.0
"""A customer may submit the jobs that its share allows for this time at once."""

MAX_FREE_SHARE = 0.05
"""A queue's servers are full if at most this share of their CPU is free for its tasks.

That is where the smallest waiting task of the queue fits.  Even full servers have a
little room between the end of a task and the next start.
"""

FULL_SAMPLES = 3
"""Servers count as full only after so many samples in a row."""

DRAIN_SMOOTHING = 0.2
"""The weight of a new sample in the moving average of the drain rate."""

DEFERRED_S = 300.0
"""Work whose latest start is further off than this does not make new jobs wait.

It is started after them, whatever its estimate says.
"""

MAX_COUNTED_TASK_S = 60.0
"""A task counts for the wait of new jobs as taking this long at most.

A longer one keeps only its own cores busy, while the others go on to drain the backlog.
"""

MAX_SUBMISSIONS = 10_000
MAX_PLACES = 4_096
"""Limits of what is remembered for a customer, and of places in all."""

PLACE_VALIDITY_S = 30.0
"""A refused job keeps its place for this time after its turn."""


class Durations(Protocol):
    """Provides expected durations of tasks."""

    def expected_s(self, queue: str, estimate_s: float) -> float:
        """Return the expected seconds of a task submitted with `estimate_s`."""


class EstimatedDurations:
    """Takes the estimates as they were submitted."""

    def expected_s(self, queue: str, estimate_s: float) -> float:
        """Return `estimate_s`."""
        return estimate_s


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """The load of a queue.

    `wait_s` is the expected wait of a new job while it can still be on time, which is
    the time that work takes which comes before it.  `late_wait_s` is its expected wait
    once it is late.  With `full`, the servers of the queue have no room.
    """

    wait_s: float
    late_wait_s: float
    full: bool


@dataclass(frozen=True, slots=True)
class CustomerLoad:
    """The load of a customer that submits more than its share.

    `allowed_share` is the share of its present submissions, from 0 to 1, that is within
    its share.  `wait_s` is how long its share takes to serve the excess.
    """

    allowed_share: float
    wait_s: float


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """The load that the leader of `epoch` measured.

    `time` is in seconds of the monotonic clock of the process that holds the object.
    `customers` are those beyond their share, `crowded` those with so many open steps
    that no more of their jobs are accepted.  `pending` counts the jobs of each queue
    that have not started.
    """

    epoch: int
    time: float
    fleet_cpu_millis: int = 0
    queues: Mapping[str, QueueLoad] = field(default_factory=dict)
    customers: Mapping[str, CustomerLoad] = field(default_factory=dict)
    crowded: frozenset[str] = frozenset()
    pending: Mapping[str, int] = field(default_factory=dict)

    def is_full(self, queue: str) -> bool:
        """Return whether the servers of `queue` have no room."""
        load = self.queues.get(queue)
        return load is not None and load.full


@dataclass(frozen=True, slots=True)
class QueuePlan:
    """The service that runs the tasks of a queue, and the queue's priority."""

    service: str
    priority: int


@dataclass(frozen=True, slots=True)
class ServerRoom:
    """A server that accepts tasks."""

    service: str
    capacity: Resources
    free: Resources


@dataclass(frozen=True, slots=True)
class WaitingTasks:
    """Alike tasks of one step that wait; `demand` and `estimate_s` are those of one.

    `startable` tasks wait only for room.  `on_time` and `late` say what their job can
    still be; a job that is neither has no value any more.  `starts_in_s` is the time
    until their latest start.
    """

    queue: str
    demand: Resources
    count: int
    estimate_s: float
    startable: bool = True
    on_time: bool = True
    late: bool = False
    over_share: bool = False
    starts_in_s: float = 0.0


@dataclass(slots=True)
class _Pool:
    """The servers of one service, and the tasks that wait for them.

    `average_cores` is the moving average of the cores in use.  `smallest` is the
    smallest demand of the startable tasks by queue, and `full_samples` the number of
    samples in a row in which that found no room.  The last two dicts hold the waiting
    core-seconds by priority.
    """

    average_cores: float | None = None
    drain_cores: float = 0.0
    capacity_millis: int = 0
    used_millis: int = 0
    largest_millis: int = 0
    rooms: list[Resources] = field(default_factory=list)
    smallest: dict[str, Resources] = field(default_factory=dict)
    full_samples: dict[str, int] = field(default_factory=dict)
    on_time: dict[int, float] = field(default_factory=dict)
    late: dict[int, float] = field(default_factory=dict)

    def reset(self) -> None:
        """Forget the last sample, except for averages and counts."""
        self.capacity_millis = self.used_millis = self.largest_millis = 0
        self.rooms.clear()
        self.smallest.clear()
        self.on_time.clear()
        self.late.clear()

    def add_server(self, server: ServerRoom) -> None:
        """Add a server that accepts tasks."""
        capacity = server.capacity.cpu_millis
        self.capacity_millis += capacity
        self.used_millis += capacity - server.free.cpu_millis
        self.largest_millis = max(self.largest_millis, capacity)
        self.rooms.append(server.free)

    def add_waiting(self, work: WaitingTasks, priority: int, core_s: float) -> None:
        """Add waiting tasks that are expected to take `core_s`.

        Work beyond a share, without value or with a lot of time comes after a new job,
        and work too large for every server never starts, so that these do not make a
        new job wait.
        """
        if work.demand.cpu_millis > self.largest_millis:
            return
        if work.startable:
            smallest = self.smallest.setdefault(work.queue, work.demand)
            if work.demand.cpu_millis < smallest.cpu_millis:
                self.smallest[work.queue] = work.demand
        if work.over_share or work.starts_in_s > DEFERRED_S:
            return
        if work.on_time:
            self.on_time[priority] = self.on_time.get(priority, 0.0) + core_s
        elif work.late:
            self.late[priority] = self.late.get(priority, 0.0) + core_s

    def finish(self) -> None:
        """Update the averages and counts after the sample is complete.

        The servers work off the waiting work at least as fast as they work now, also
        if they have just filled.
        """
        used = self.used_millis / 1_000
        average = used if self.average_cores is None else self.average_cores
        self.average_cores = average + DRAIN_SMOOTHING * (used - average)
        self.drain_cores = max(used, self.average_cores)
        self.full_samples = {
            queue: self.full_samples.get(queue, 0) + 1
            for queue, demand in self.smallest.items()
            if not self._has_room(demand)
        }

    def _has_room(self, demand: Resources) -> bool:
        free = sum(room.cpu_millis for room in self.rooms if demand.fits(room))
        return free > MAX_FREE_SHARE * self.capacity_millis

    def load(self, queue: str, priority: int) -> QueueLoad:
        """Return the load of `queue`, which has `priority`."""
        if self.drain_cores <= 0:
            return QueueLoad(0.0, 0.0, full=False)
        on_time = sum(work for each, work in self.on_time.items() if each <= priority)
        late = sum(work for each, work in self.late.items() if each <= priority)
        return QueueLoad(
            on_time / self.drain_cores,
            (on_time + late) / self.drain_cores,
            self.full_samples.get(queue, 0) >= FULL_SAMPLES,
        )


@dataclass(frozen=True, slots=True)
class _Place:
    """The place of a refused job; `turn_at` is its turn, in Unix seconds."""

    customer: str
    turn_at: float


class BacklogMeter:
    """Measures the load in one term of a leader.

    Times `now` are monotonic; `wall`, `at` and `turn_at` are Unix times.  All are in
    seconds.  Refused submissions count as submitted, so that a customer which goes on
    at the same rate stays beyond its share while its jobs are refused.
    """

    def __init__(self, epoch: int, durations: Durations | None = None) -> None:
        self._epoch = epoch
        self._durations = durations or EstimatedDurations()
        self._began_at: float | None = None
        self._pools: defaultdict[str, _Pool] = defaultdict(_Pool)
        self._offered: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=MAX_SUBMISSIONS)
        )
        self._places: dict[str, _Place] = {}

    def record_job(self, job_id: str, customer: str, at: float) -> None:
        """Count an accepted job that was submitted at `at`."""
        self._places.pop(job_id, None)
        self._offered[customer].append(at)

    def record_refusal(
        self, job_id: str, customer: str, at: float, turn_at: float
    ) -> None:
        """Count a submission that was refused at `at`; repeats count once."""
        place = _Place(customer, turn_at)
        if self._places.get(job_id) == place:
            return
        self._offered[customer].append(at)
        self._places[job_id] = place
        if len(self._places) > MAX_PLACES:
            del self._places[next(iter(self._places))]

    def measure(
        self,
        now: float,
        wall: float,
        *,
        queues: Mapping[str, QueuePlan],
        servers: Iterable[ServerRoom],
        waiting: Iterable[WaitingTasks],
        waiting_excess: Mapping[str, int],
        weight_of: Callable[[str], float | None],
    ) -> LoadSnapshot:
        """Take a sample and return the load.

        `waiting_excess` counts the waiting jobs beyond the share of each customer.
        `weight_of` returns the jobs a second that a customer's share allows, None for
        one that is not beyond it: it has no share, or accepted jobs left some of it.
        """
        if self._began_at is None:
            self._began_at = now
        self._sample(queues, servers, waiting)
        if now - self._began_at < SETTLE_S:
            return LoadSnapshot(self._epoch, now)
        loads = {
            name: self._pools[plan.service].load(name, plan.priority)
            for name, plan in queues.items()
        }
        fleet = sum(pool.capacity_millis for pool in self._pools.values())
        customers = self._beyond_share(wall, waiting_excess, weight_of)
        return LoadSnapshot(self._epoch, now, fleet, loads, customers)

    def _sample(
        self,
        queues: Mapping[str, QueuePlan],
        servers: Iterable[ServerRoom],
        waiting: Iterable[WaitingTasks],
    ) -> None:
        for pool in self._pools.values():
            pool.reset()
        for server in servers:
            self._pools[server.service].add_server(server)
        for work in waiting:
            plan = queues.get(work.queue)
            if plan is None:
                continue
            seconds = self._durations.expected_s(work.queue, work.estimate_s)
            seconds = min(seconds, MAX_COUNTED_TASK_S)
            core_s = work.count * seconds * work.demand.cpu_millis / 1_000
            self._pools[plan.service].add_waiting(work, plan.priority, core_s)
        for pool in self._pools.values():
            pool.finish()

    def _beyond_share(
        self,
        wall: float,
        waiting_excess: Mapping[str, int],
        weight_of: Callable[[str], float | None],
    ) -> dict[str, CustomerLoad]:
        """Return the customers that submitted more than their share lately."""
        self._places = {
            job_id: place
            for job_id, place in self._places.items()
            if place.turn_at + PLACE_VALIDITY_S > wall
        }
        places = Counter(place.customer for place in self._places.values())
        found = {}
        for customer, times in list(self._offered.items()):
            offered = _count_recent(times, wall - OFFERED_WINDOW_S)
            if not offered:
                del self._offered[customer]
                continue
            weight = weight_of(customer)
            if weight is None or weight <= 0:
                continue
            allowed = weight * OFFERED_WINDOW_S + max(weight * BURST_S, 1.0)
            if offered > allowed:
                excess = waiting_excess.get(customer, 0) + places[customer]
                found[customer] = CustomerLoad(allowed / offered, excess / weight)
        return found


def _count_recent(times: deque[float], since: float) -> int:
    """Remove the times before `since` from the front, and return how many are later.

    Clocks of entry VMs differ, so the times are only roughly in order.
    """
    while times and times[0] < since:
        times.popleft()
    return sum(each >= since for each in times)
