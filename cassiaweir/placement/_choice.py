"""Chooses VMs for the tasks of a job, by the policy of its kind."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from itertools import islice

from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._records import JobRecord, RackRecord, VmRecord
from cassiaweir.types import JobKind, Resources

MOST_SERVICE_CANDIDATES = 24
MOST_BATCH_CANDIDATES = 8
BUSY_PART_OF_VM = 0.9


def choose(fleet: Fleet, job: JobRecord, now: float) -> list[VmRecord]:
    """Return a VM for each task that has to start now, or nothing.

    One task of a batch run or a service, all waiting tasks of a gang.
    """
    if job.group.kind is JobKind.GANG:
        return choose_for_gang(fleet, job.group.size, len(job.waiting))
    if job.group.kind is JobKind.SERVICE:
        vm = choose_for_service(fleet, job)
    else:
        vm = choose_for_batch(fleet, job, now)
    return [vm] if vm else []


def choose_for_batch(fleet: Fleet, job: JobRecord, now: float) -> VmRecord | None:
    """Return a tight VM whose other tasks are expected to run as long as this one.

    A VM becomes empty the sooner, the less its tasks outlast each other.
    """
    ends_at = now + job.estimates.expected_seconds(job.group)
    best, least = None, math.inf
    for vm in islice(fleet.fitting(job.group.size), MOST_BATCH_CANDIDATES):
        if vm.busy_until >= ends_at:
            return vm
        if best is None or ends_at - vm.busy_until < least:
            best, least = vm, ends_at - vm.busy_until
    return best


def choose_for_service(fleet: Fleet, job: JobRecord) -> VmRecord | None:
    """Return the VM whose rack, then which itself, has fewest of the job's tasks.

    Among equals a tight VM that is not busy is taken: services of different jobs then
    share VMs, and others stay whole for large tasks.
    """
    candidates = islice(fleet.fitting(job.group.size), MOST_SERVICE_CANDIDATES)
    return min(
        candidates,
        key=lambda vm: (
            job.racks.get(vm.rack.name, 0),
            job.vms.get(vm.name, 0),
            vm.expected_cpu > BUSY_PART_OF_VM * vm.capacity.cpu_millis,
        ),
        default=None,
    )


def choose_for_gang(
    fleet: Fleet, size: Resources, count: int, kept: Sequence[VmRecord] = ()
) -> list[VmRecord]:
    """Return VMs for `count` tasks, in one rack where possible, or nothing.

    `kept` are VMs that are not listed but reserved for these tasks.
    """
    kept_slots = _slots(kept, size)
    missing = count - _total_slots(kept_slots)
    if not enough_free(fleet, size, missing):
        return []
    for rack in _racks_that_may_hold(fleet, size, count):
        vms = _fill(_slots(rack.vms.values(), size), count)
        if vms:
            return vms
    by_rack = [_slots(rack.vms.values(), size) for rack in fleet.racks.values()]
    by_rack.sort(key=_total_slots, reverse=True)
    return _fill(kept_slots + [pair for slots in by_rack for pair in slots], count)


def enough_free(fleet: Fleet, size: Resources, count: int) -> bool:
    """Tell whether the free amounts of all racks add up to `count` times `size`."""
    return sum(rack.free.slots(size) for rack in fleet.racks.values()) >= count


def _racks_that_may_hold(fleet: Fleet, size: Resources, count: int) -> list[RackRecord]:
    """Return the racks whose free amounts suffice, least free first."""
    racks = [rack for rack in fleet.racks.values() if rack.free.holds(size, count)]
    return sorted(racks, key=lambda rack: rack.free.cpu_millis)


def _slots(vms: Iterable[VmRecord], size: Resources) -> list[tuple[int, VmRecord]]:
    """Return how many tasks of `size` fit each VM, most first, without the zeros."""
    slots = [(vm.slots(size), vm) for vm in vms]
    slots = [pair for pair in slots if pair[0]]
    slots.sort(key=lambda pair: pair[0], reverse=True)
    return slots


def _total_slots(slots: list[tuple[int, VmRecord]]) -> int:
    return sum(count for count, _ in slots)


def _fill(slots: list[tuple[int, VmRecord]], count: int) -> list[VmRecord]:
    """Return `count` VMs, each as often as it has slots, or nothing."""
    chosen: list[VmRecord] = []
    for room, vm in slots:
        chosen += [vm] * min(room, count - len(chosen))
        if len(chosen) == count:
            return chosen
    return []
