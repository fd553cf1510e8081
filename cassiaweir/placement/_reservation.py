"""Keeps VMs free for work that waits too long.

A lane is overdue when its oldest job has waited, and nothing of the lane has started
in fair order, for a bound.  The bound is short for a team that holds less than the
mean share: such work waits for room that smaller work keeps taking.  It is longer for
a team that holds more: such work waits for its turn, and what it starts is paid for
by a part of what others start, so that ageing does not replace the fair share.

An overdue job gets a reservation: VMs that take no other normal work, except backfill
that ends by its declared time before the reservation is expected to be ready.  One
gang at a time has a reservation, so two gangs never hold VMs that the other needs.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Collection
from dataclasses import dataclass
from itertools import islice

from cassiaweir.placement._choice import choose, choose_for_gang
from cassiaweir.placement._estimates import NEVER, expected_end
from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._queue import Lane
from cassiaweir.placement._records import Amounts, JobRecord, VmRecord
from cassiaweir.placement._starvation import StarvationGuard
from cassiaweir.placement._types import VmCondition
from cassiaweir.placement._workload import Workload
from cassiaweir.types import JobKind, Resources

MOST_CANDIDATES = 16
MOST_BACKFILL_CANDIDATES = 8
CREDIT_OF_STARTED_WORK = 0.05
ROOM_BOUND_PART = 0.125
KEPT_PART_OF_FLEET = 1 / 12
SWEEP_SECONDS = 1.0

_tie = itertools.count()


@dataclass(slots=True, eq=False)
class Reservation:
    """The VMs kept for a job, and when they are expected to hold it."""

    lane: Lane
    job: JobRecord
    vms: list[VmRecord]
    made_at: float
    ready_at: float


@dataclass(slots=True)
class _Readiness:
    """When a VM will hold how many tasks."""

    at: float
    slots: int
    vm: VmRecord


class Reserver:
    """Watches the lanes of one urgency and reserves VMs for the overdue ones."""

    def __init__(
        self,
        fleet: Fleet,
        workload: Workload,
        starvation_guard: StarvationGuard,
        bound: float,
    ) -> None:
        self._fleet = fleet
        self._bound = bound
        self._room_bound = bound * ROOM_BOUND_PART
        self._workload = workload
        self._starvation_guard = starvation_guard
        self._watched: list[tuple[float, int, Lane]] = []
        self._credit = 0.0
        self._by_vm: dict[str, Reservation] = {}
        self._gang: Reservation | None = None
        self._sweep_at = 0.0

    def watch(self, lane: Lane) -> None:
        """Note that `lane` has waiting work."""
        if not lane.watched:
            lane.watched = True
            self._push(lane, lane.waiting_since() + self._room_bound)

    def started(self, lane: Lane, count: int, now: float) -> None:
        """Note that `count` tasks started in fair order; they pay for overdue work."""
        lane.served_at = now
        if self._credit < 0:
            volume = _volume(lane.demand.key.size, self._fleet.total) * count
            self._credit = min(0.0, self._credit + CREDIT_OF_STARTED_WORK * volume)

    def is_needed(self, now: float) -> bool:
        """Tell whether VMs are kept, or a lane may have become overdue."""
        watched = self._watched
        return bool(self._by_vm) or (bool(watched) and watched[0][0] <= now)

    def due(self, now: float, grown: Collection[VmRecord]) -> list[Reservation]:
        """Return the reservations to try now, those of `grown` VMs above all."""
        if not self._by_vm:
            return []
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_SECONDS
            found = {id(kept): kept for kept in self._by_vm.values()}
            return list(found.values())
        names = (vm.name for vm in grown)
        found = {id(r): r for name in names if (r := self._by_vm.get(name))}
        if grown and self._gang is not None:
            found[id(self._gang)] = self._gang
        return list(found.values())

    def pick(self, now: float) -> Reservation | None:
        """Reserve VMs for the job that has been overdue longest, if there is one."""
        while self._watched and self._watched[0][0] <= now and self._may_keep_more():
            lane = heapq.heappop(self._watched)[2]
            lane.watched = False
            job = lane.head()
            if job is None:
                continue
            if self._is_overdue(lane, now):
                reservation = self._reserve(lane, job, now)
                if reservation is not None:
                    self.watch(lane)
                    return reservation
            lane.watched = True
            self._push(lane, max(now, lane.waiting_since()) + self._room_bound)
        return None

    def choose(self, reservation: Reservation, now: float) -> list[VmRecord]:
        """Return VMs for the next tasks of the reservation, or nothing yet."""
        job = reservation.job
        if job.gang:
            size, count = job.group.size, len(job.waiting)
            return choose_for_gang(self._fleet, size, count, reservation.vms)
        kept = [vm for vm in reservation.vms if vm.slots(job.group.size)]
        return kept[:1] or choose(self._fleet, job, now)

    def backfill(self, job: JobRecord, now: float) -> list[VmRecord]:
        """Return a kept VM for a task of `job` that ends before it is needed."""
        if not self._by_vm or job.group.kind is not JobKind.BATCH:
            return []
        if not job.group.declared_seconds:
            return []
        ends_at = now + job.estimates.longest_seconds(job.group)
        kept = self._fleet.kept_fitting(job.group.size)
        for vm in islice(kept, MOST_BACKFILL_CANDIDATES):
            reservation = self._by_vm.get(vm.name)
            if reservation is not None and ends_at <= reservation.ready_at:
                return [vm]
        return []

    def yield_to_urgent(self, job: JobRecord) -> list[VmRecord]:
        """Return a kept VM with room for a task of the urgent `job`."""
        if not self._by_vm or job.gang:
            return []
        kept = self._fleet.kept_fitting(job.group.size)
        return next(([vm] for vm in kept if vm.name in self._by_vm), [])

    def fulfilled(self, reservation: Reservation, count: int, now: float) -> None:
        """Note that `count` tasks of a reservation start now."""
        job = reservation.job
        if job.team.order > self._workload.level(now):
            reservation.lane.served_at = now
            self._credit -= _volume(job.group.size, self._fleet.total) * count
        self.release(reservation)

    def release(self, reservation: Reservation) -> None:
        """Give up a reservation; its lane is watched again."""
        reservation.job.reserved -= 1
        if self._gang is reservation:
            self._gang = None
        for vm in reservation.vms:
            del self._by_vm[vm.name]
            self._fleet.hold(vm, held=False)
        reservation.vms = []
        if reservation.lane.head() is not None:
            self.watch(reservation.lane)

    def is_valid(self, reservation: Reservation, now: float) -> bool:
        """Tell whether the job still needs the VMs and they can still serve it."""
        job, lane = reservation.job, reservation.lane
        return (
            job.reserved <= len(job.waiting)
            and job.lane is lane
            and lane.head() is job
            and lane.served_at < reservation.made_at
            and now < reservation.ready_at + self._bound
            and job.team.allows(job.group.size, job.needed_at_once)
            and all(_usable(vm) for vm in reservation.vms)
        )

    def _may_keep_more(self) -> bool:
        most = max(1.0, KEPT_PART_OF_FLEET * len(self._fleet.vms))
        return len(self._by_vm) < most

    def _is_overdue(self, lane: Lane, now: float) -> bool:
        """Tell whether the lane has waited too long, for room or for its turn."""
        waited = now - lane.waiting_since()
        if waited >= self._bound and self._credit >= 0:
            return True
        return waited >= self._room_bound and lane.team.order <= self._workload.level(
            now
        )

    def _push(self, lane: Lane, due: float) -> None:
        heapq.heappush(self._watched, (due, next(_tie), lane))

    def _reserve(self, lane: Lane, job: JobRecord, now: float) -> Reservation | None:
        """Keep the VMs that are expected to hold the next tasks of `job` first."""
        size, need = job.group.size, job.needed_at_once
        wanted = need if job.gang else job.reserved + 1
        if job.reserved >= len(job.waiting) or not job.team.allows(size, wanted):
            return None
        if self._starvation_guard.holds_back(lane, job, now):
            return None
        if job.gang and self._gang is not None:
            return None
        chosen: list[_Readiness] = []
        if not choose(self._fleet, job, now):
            chosen = _first_that_suffice(self._soonest(size, need, now), need)
            if not chosen:
                return None
        ready_at = max((readiness.at for readiness in chosen), default=now)
        vms = [readiness.vm for readiness in chosen]
        reservation = Reservation(lane, job, vms, now, ready_at)
        job.reserved += 1
        for vm in vms:
            self._by_vm[vm.name] = reservation
            self._fleet.hold(vm)
        if job.gang and vms:
            self._gang = reservation
        return reservation

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


def _first_that_suffice(soonest: list[_Readiness], need: int) -> list[_Readiness]:
    """Return the first VMs whose slots add up to `need`, or nothing."""
    chosen: list[_Readiness] = []
    for readiness in soonest:
        chosen.append(readiness)
        need -= readiness.slots
        if need <= 0:
            return chosen
    return []


def _usable(vm: VmRecord) -> bool:
    return vm.condition is VmCondition.OPEN and not vm.removed


def _volume(size: Resources, total: Amounts) -> float:
    """Return the largest part that `size` takes of the whole fleet."""
    return max(
        size.cpu_millis / (total.cpu_millis or 1),
        size.memory_mb / (total.memory_mb or 1),
        size.accelerators / (total.accelerators or 1),
    )
