"""Keeps VMs free for a job that waits too long, one job at a time.

A lane is overdue when its oldest job has waited, and nothing of the lane has
started, for a bound.  The lane that has been overdue longest gets a reservation: VMs
that take no other work, except backfill that ends by its declared time before the
reservation is expected to be ready.  What overdue lanes start is paid for by a part
of what all others start, so that ageing does not replace the fair share.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from cassiaweir.placement._choice import choose, choose_for_gang
from cassiaweir.placement._estimates import NEVER, expected_end
from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._queue import Lane
from cassiaweir.placement._records import Amounts, JobRecord, VmRecord
from cassiaweir.placement._types import VmCondition
from cassiaweir.types import JobKind, Resources

MOST_CANDIDATES = 24
CREDIT_OF_STARTED_WORK = 0.05
ROOM_BOUND_PART = 0.125

_tie = itertools.count()


@dataclass(slots=True, eq=False)
class Reservation:
    """The VMs kept for a job, and when they are expected to hold it.

    `tried` is set once the job was found not to fit what is free now.
    """

    lane: Lane
    job: JobRecord
    vms: list[VmRecord]
    made_at: float
    ready_at: float
    tried: bool = False


@dataclass(slots=True)
class _Readiness:
    """When a VM will hold how many tasks."""

    at: float
    slots: int
    vm: VmRecord


class Reserver:
    """Watches the lanes of one urgency and reserves VMs for the overdue ones."""

    def __init__(self, fleet: Fleet, bound: float, level: Callable[[], float]) -> None:
        self._fleet = fleet
        self._bound = bound
        self._room_bound = bound * ROOM_BOUND_PART
        self._level = level
        self._watched: list[tuple[float, int, Lane]] = []
        self._credit = 0.0
        self.current: Reservation | None = None

    def watch(self, lane: Lane) -> None:
        """Note that `lane` has waiting work."""
        if not lane.watched:
            lane.watched = True
            self._push(lane, self._since(lane) + self._room_bound)

    def started(self, size: Resources, count: int) -> None:
        """Let work that started in fair order pay for overdue work."""
        volume = _volume(size, self._fleet.total) * count
        self._credit = min(0.0, self._credit + CREDIT_OF_STARTED_WORK * volume)

    def next_job(self, now: float) -> JobRecord | None:
        """Return the job that holds or gets the reservation, or None."""
        if self.current is not None:
            if self._still_valid(self.current, now):
                return self.current.job
            self.release()
        while self._watched and self._watched[0][0] <= now:
            lane = heapq.heappop(self._watched)[2]
            lane.watched = False
            job = lane.head()
            if job is None:
                continue
            if self._is_overdue(lane, now) and self._reserve(lane, job, now):
                return job
            lane.watched = True
            self._push(lane, max(now, self._since(lane)) + self._room_bound)
        return None

    def _is_overdue(self, lane: Lane, now: float) -> bool:
        """Tell whether the lane has waited too long, for room or for its turn."""
        waited = now - self._since(lane)
        if waited >= self._bound and self._credit >= 0:
            return True
        return waited >= self._room_bound and lane.team.order <= self._level()

    def choose(self, job: JobRecord, now: float, *, grown: bool) -> list[VmRecord]:
        """Return VMs for the job of the reservation, kept ones included.

        `grown` says whether any VM got more room since the last call.
        """
        current = self.current
        if current is None or (current.tried and not grown):
            return []
        current.tried = True
        size = job.group.size
        if job.group.kind is JobKind.GANG:
            return choose_for_gang(self._fleet, size, len(job.waiting), current.vms)
        return choose(self._fleet, job, now) or self._first_kept(size)

    def backfill(self, job: JobRecord, now: float) -> list[VmRecord]:
        """Return a kept VM for a task of `job` that ends before it is needed."""
        if self.current is None or job.group.kind is not JobKind.BATCH:
            return []
        if not job.group.declared_seconds:
            return []
        if now + job.estimates.longest_seconds(job.group) > self.current.ready_at:
            return []
        return self._first_kept(job.group.size)

    def yield_to_urgent(self, job: JobRecord) -> list[VmRecord]:
        """Return a kept VM with room for a task of the urgent `job`."""
        if self.current is None or job.group.kind is JobKind.GANG:
            return []
        return self._first_kept(job.group.size)

    def fulfilled(self, job: JobRecord, count: int) -> None:
        """Note that `count` tasks of the reservation's job have started."""
        if self.current is not None and self.current.job is job:
            if job.team.order > self._level():
                volume = _volume(job.group.size, self._fleet.total) * count
                self._credit -= volume
            self.release()

    def release(self) -> None:
        """Give up the reservation; its lane is watched again."""
        current, self.current = self.current, None
        if current is None:
            return
        for vm in current.vms:
            self._fleet.hold(vm, held=False)
        if current.lane.head() is not None:
            self.watch(current.lane)

    def _first_kept(self, size: Resources) -> list[VmRecord]:
        kept = self.current.vms if self.current else []
        return next(([vm] for vm in kept if vm.slots(size)), [])

    def _since(self, lane: Lane) -> float:
        head = lane.head()
        waiting_since = head.group.submitted_at if head else 0.0
        return max(waiting_since, lane.served_at)

    def _push(self, lane: Lane, due: float) -> None:
        heapq.heappush(self._watched, (due, next(_tie), lane))

    def _still_valid(self, current: Reservation, now: float) -> bool:
        job = current.job
        return (
            bool(job.waiting and current.vms)
            and job.lane is current.lane
            and current.lane.head() is job
            and current.lane.served_at < current.made_at
            and now < current.ready_at + self._bound
            and job.team.allows(job.group.size, job.needed_at_once)
            and all(_usable(vm) for vm in current.vms)
        )

    def _reserve(self, lane: Lane, job: JobRecord, now: float) -> bool:
        """Keep the VMs that are expected to hold `job` first; tell whether any are."""
        size, need = job.group.size, job.needed_at_once
        if not job.team.allows(size, need):
            return False
        if choose(self._fleet, job, now):
            self.current = Reservation(lane, job, [], now, now)
            return True
        chosen: list[_Readiness] = []
        for readiness in self._soonest(size, need, now):
            chosen.append(readiness)
            need -= readiness.slots
            if need <= 0:
                break
        else:
            return False
        ready_at = max(readiness.at for readiness in chosen)
        vms = [readiness.vm for readiness in chosen]
        self.current = Reservation(lane, job, vms, now, ready_at)
        for vm in vms:
            self._fleet.hold(vm)
        return True

    def _soonest(self, size: Resources, need: int, now: float) -> list[_Readiness]:
        """Return when some VMs will hold tasks of `size`, soonest first."""
        able = (
            vm
            for vm in self._fleet.room.roomiest(Resources())
            if size.fits(vm.capacity) and vm.condition is VmCondition.OPEN
        )
        found = []
        for vm in islice(able, MOST_CANDIDATES + 2 * need):
            readiness = self._readiness(vm, size, need, now)
            if readiness is not None:
                found.append(readiness)
        found.sort(key=lambda readiness: readiness.at)
        return found

    def _readiness(
        self, vm: VmRecord, size: Resources, need: int, now: float
    ) -> _Readiness | None:
        """Return when `vm` will hold as many of `need` tasks as it ever will."""
        room = Amounts()
        room.add(vm.free.resources())
        ends = [
            (expected_end(task, now), task.job.group.size) for task in vm.tasks.values()
        ]
        ends.sort(key=lambda end: end[0])
        at, slots = now, room.slots(size)
        for end, freed in ends:
            if end == NEVER or slots >= need:
                break
            room.add(freed)
            if room.slots(size) > slots:
                at, slots = end, room.slots(size)
        return _Readiness(at, slots, vm) if slots else None


def _usable(vm: VmRecord) -> bool:
    return vm.condition is VmCondition.OPEN and not vm.removed


def _volume(size: Resources, total: Amounts) -> float:
    """Return the largest part that `size` takes of the whole fleet."""
    return max(
        size.cpu_millis / (total.cpu_millis or 1),
        size.memory_mb / (total.memory_mb or 1),
        size.accelerators / (total.accelerators or 1),
    )
