"""Reserves VMs for work that has waited too long.

A lane is overdue when its oldest job has waited for a bound of time, and no task of
the lane has started in fair order meanwhile.  The bound depends on the team's weighted
share:

* At or below the mean the bound is short.  Such work waits for room that smaller tasks
  keep taking.
* Above the mean it is longer.  Such work waits for its turn in fair order.  Tasks that
  it starts by reservation are charged to a credit account, and only a fraction of what
  starts in fair order pays it back.  No further lane is overdue this way while the
  account is negative, so ageing does not replace the fair share.

An overdue job gets a reservation: VMs that take no other normal work except backfill,
which has to end before the reservation is expected to be ready.  Only one gang at a
time has a reservation, so two gangs never hold VMs that the other one needs.
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
from cassiaweir.placement._records import JobRecord, ResourceSum, VmRecord
from cassiaweir.placement._starvation import StarvationGuard
from cassiaweir.placement._types import VmCondition
from cassiaweir.placement._workload import Workload
from cassiaweir.types import JobKind, Resources

# A reservation examines this many VMs, and two more for each task it is for.
MAX_CANDIDATE_VMS = 16
MAX_BACKFILL_CANDIDATES = 8
# The part of the resources of tasks started in fair order that is added to the credit.
CREDIT_FRACTION_OF_STARTS = 0.05
# The bound for teams up to the mean weighted share, as a part of the bound for others.
UNDER_SHARE_BOUND_FRACTION = 0.125
# A reservation is made only if less than this fraction of the VMs is reserved, or none.
MAX_RESERVED_FRACTION = 1 / 12
# All reservations are tried this often, otherwise those of VMs that gained room.
FULL_RETRY_SECONDS = 1.0

# Makes every heap entry unique, so that lanes themselves are never compared.
_tie_breaker = itertools.count()


@dataclass(slots=True, eq=False)
class Reservation:
    """VMs reserved for the tasks of a job that start next.

    `vms` is empty if the job had room already when the reservation was made.
    `ready_at` is when the VMs are expected to have room for the tasks.
    """

    lane: Lane
    job: JobRecord
    vms: list[VmRecord]
    made_at: float
    ready_at: float


@dataclass(slots=True)
class _Readiness:
    """A VM that is expected to have room for `slots` tasks from `at` on."""

    at: float
    slots: int
    vm: VmRecord


class Reserver:
    """Checks the lanes of one urgency and reserves VMs for the overdue ones.

    `bound_seconds` is the wait after which a lane is overdue if its team is above the
    mean weighted share.
    """

    def __init__(
        self,
        fleet: Fleet,
        workload: Workload,
        starvation_guard: StarvationGuard,
        bound_seconds: float,
    ) -> None:
        self._fleet = fleet
        self._bound_seconds = bound_seconds
        self._under_share_bound_seconds = bound_seconds * UNDER_SHARE_BOUND_FRACTION
        self._workload = workload
        self._starvation_guard = starvation_guard
        self._scheduled_checks: list[tuple[float, int, Lane]] = []
        # In parts of the resources of all VMs; never above 0.
        self._credit = 0.0
        self._by_vm: dict[str, Reservation] = {}
        self._gang_reservation: Reservation | None = None
        self._full_retry_at = 0.0

    def watch(self, lane: Lane) -> None:
        """Schedule a check of `lane`, which has waiting work, unless there is one."""
        if not lane.watched:
            lane.watched = True
            self._check_at(lane, lane.waiting_since() + self._under_share_bound_seconds)

    def record_starts(self, lane: Lane, count: int, now: float) -> None:
        """Record that `count` tasks of `lane` started in fair order."""
        lane.served_at = now
        if self._credit < 0:
            fraction = (
                _dominant_fraction(lane.demand.key.size, self._fleet.total) * count
            )
            self._credit = min(0.0, self._credit + CREDIT_FRACTION_OF_STARTS * fraction)

    def has_work(self, now: float) -> bool:
        """Return whether VMs are reserved, or a check of a lane is due."""
        watched = self._scheduled_checks
        return bool(self._by_vm) or (bool(watched) and watched[0][0] <= now)

    def reservations_to_try(
        self, now: float, gained_room: Collection[VmRecord]
    ) -> list[Reservation]:
        """Return the reservations whose tasks may be able to start now.

        These are the ones of VMs in `gained_room`, and of a gang if any VM gained
        room; every `FULL_RETRY_SECONDS` they are all reservations.
        """
        if not self._by_vm:
            return []
        if now >= self._full_retry_at:
            self._full_retry_at = now + FULL_RETRY_SECONDS
            found = {
                id(reservation): reservation for reservation in self._by_vm.values()
            }
            return list(found.values())
        names = (vm.name for vm in gained_room)
        found = {id(r): r for name in names if (r := self._by_vm.get(name))}
        if gained_room and self._gang_reservation is not None:
            found[id(self._gang_reservation)] = self._gang_reservation
        return list(found.values())

    def reserve_next(self, now: float) -> Reservation | None:
        """Make a reservation for the next overdue lane that can get one, or None."""
        while (
            self._scheduled_checks
            and self._scheduled_checks[0][0] <= now
            and self._may_reserve_more()
        ):
            lane = heapq.heappop(self._scheduled_checks)[2]
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
            self._check_at(
                lane, max(now, lane.waiting_since()) + self._under_share_bound_seconds
            )
        return None

    def choose(self, reservation: Reservation, now: float) -> list[VmRecord]:
        """Return VMs on which the tasks can start now, or an empty list."""
        job = reservation.job
        if job.gang:
            size, count = job.group.size, len(job.waiting)
            return choose_for_gang(self._fleet, size, count, reservation.vms)
        reserved = [vm for vm in reservation.vms if vm.slots(job.group.size)]
        return reserved[:1] or choose(self._fleet, job, now)

    def backfill(self, job: JobRecord, now: float) -> list[VmRecord]:
        """Return a reserved VM for a task that ends before the reservation is ready.

        The list has one VM or none.
        """
        if not self._by_vm or job.group.kind is not JobKind.BATCH:
            return []
        if not job.group.declared_seconds:
            return []
        ends_at = now + job.estimates.conservative_seconds(job.group)
        reserved = self._fleet.reserved_fitting(job.group.size)
        for vm in islice(reserved, MAX_BACKFILL_CANDIDATES):
            reservation = self._by_vm.get(vm.name)
            if reservation is not None and ends_at <= reservation.ready_at:
                return [vm]
        return []

    def yield_to_urgent(self, job: JobRecord) -> list[VmRecord]:
        """Return a reserved VM with room for a task of the urgent `job`, or none."""
        if not self._by_vm or job.gang:
            return []
        reserved = self._fleet.reserved_fitting(job.group.size)
        return next(([vm] for vm in reserved if vm.name in self._by_vm), [])

    def fulfil(self, reservation: Reservation, count: int, now: float) -> None:
        """Release a reservation as `count` of its tasks start.

        They are charged to the credit if the team is above the mean weighted share.
        """
        job = reservation.job
        if job.team.weighted_share > self._workload.mean_weighted_share(now):
            reservation.lane.served_at = now
            self._credit -= (
                _dominant_fraction(job.group.size, self._fleet.total) * count
            )
        self.release(reservation)

    def release(self, reservation: Reservation) -> None:
        """Release the VMs of a reservation, and schedule a check of its lane."""
        reservation.job.reservation_count -= 1
        if self._gang_reservation is reservation:
            self._gang_reservation = None
        for vm in reservation.vms:
            del self._by_vm[vm.name]
            self._fleet.reserve(vm, reserved=False)
        reservation.vms = []
        if reservation.lane.head() is not None:
            self.watch(reservation.lane)

    def is_valid(self, reservation: Reservation, now: float) -> bool:
        """Return whether the job still needs the VMs, and can still start on them."""
        job, lane = reservation.job, reservation.lane
        return (
            job.reservation_count <= len(job.waiting)
            and job.lane is lane
            and lane.head() is job
            and lane.served_at < reservation.made_at
            and now < reservation.ready_at + self._bound_seconds
            and job.team.allows(job.group.size, job.needed_at_once)
            and all(_is_usable(vm) for vm in reservation.vms)
        )

    def _may_reserve_more(self) -> bool:
        max_reserved = max(1.0, MAX_RESERVED_FRACTION * len(self._fleet.vms))
        return len(self._by_vm) < max_reserved

    def _is_overdue(self, lane: Lane, now: float) -> bool:
        """Return whether the lane has waited for the bound that applies to its team."""
        waited = now - lane.waiting_since()
        if waited >= self._bound_seconds and self._credit >= 0:
            return True
        return (
            waited >= self._under_share_bound_seconds
            and lane.team.weighted_share <= self._workload.mean_weighted_share(now)
        )

    def _check_at(self, lane: Lane, due_at: float) -> None:
        heapq.heappush(self._scheduled_checks, (due_at, next(_tie_breaker), lane))

    def _reserve(self, lane: Lane, job: JobRecord, now: float) -> Reservation | None:
        """Reserve the VMs that are expected to have room for `job` earliest.

        Return None if the job may not have a reservation, or no VMs will have room.
        """
        size, need = job.group.size, job.needed_at_once
        wanted = need if job.gang else job.reservation_count + 1
        if job.reservation_count >= len(job.waiting) or not job.team.allows(
            size, wanted
        ):
            return None
        if self._starvation_guard.holds_back(lane, job, now):
            return None
        if job.gang and self._gang_reservation is not None:
            return None
        chosen: list[_Readiness] = []
        if not choose(self._fleet, job, now):
            chosen = _take_enough(self._earliest_ready(size, need, now), need)
            if not chosen:
                return None
        ready_at = max((readiness.at for readiness in chosen), default=now)
        vms = [readiness.vm for readiness in chosen]
        reservation = Reservation(lane, job, vms, now, ready_at)
        job.reservation_count += 1
        for vm in vms:
            self._by_vm[vm.name] = reservation
            self._fleet.reserve(vm)
        if job.gang and vms:
            self._gang_reservation = reservation
        return reservation

    def _earliest_ready(
        self, size: Resources, need: int, now: float
    ) -> list[_Readiness]:
        """Return VMs that will have room for tasks of `size`, earliest first."""
        able = (
            vm
            for vm in self._fleet.room.roomiest(Resources())
            if size.fits(vm.capacity) and vm.condition is VmCondition.OPEN
        )
        found = []
        for vm in islice(able, MAX_CANDIDATE_VMS + 2 * need):
            readiness = self._readiness(vm, size, need, now)
            if readiness is not None:
                found.append(readiness)
        found.sort(key=lambda readiness: readiness.at)
        return found

    def _readiness(
        self, vm: VmRecord, size: Resources, need: int, now: float
    ) -> _Readiness | None:
        """Return when `vm` will have room for `need` tasks, or for as many as it can.

        Return None if it will have none; services are not expected to end.
        """
        room = ResourceSum()
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


def _take_enough(candidates: list[_Readiness], need: int) -> list[_Readiness]:
    """Return the first candidates whose slots add up to `need`, or an empty list."""
    chosen: list[_Readiness] = []
    for readiness in candidates:
        chosen.append(readiness)
        need -= readiness.slots
        if need <= 0:
            return chosen
    return []


def _is_usable(vm: VmRecord) -> bool:
    return vm.condition is VmCondition.OPEN and not vm.removed


def _dominant_fraction(size: Resources, total: ResourceSum) -> float:
    """Return the largest fraction that `size` takes of a resource of all VMs."""
    return max(
        size.cpu_millis / (total.cpu_millis or 1),
        size.memory_mb / (total.memory_mb or 1),
        size.accelerators / (total.accelerators or 1),
    )
