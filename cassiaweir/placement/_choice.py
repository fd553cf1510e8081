"""Chooses VMs for the tasks of a job; each kind of job has its own rule."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from itertools import islice

from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._records import JobRecord, RackRecord, VmRecord
from cassiaweir.types import JobKind, Resources

MAX_SERVICE_CANDIDATES = 24
MAX_BATCH_CANDIDATES = 8
# A VM is busy if its expected CPU usage is more than this fraction of its capacity.
BUSY_CPU_FRACTION = 0.9


def choose(fleet: Fleet, job: JobRecord, now: float) -> list[VmRecord]:
    """Return a VM for each task that has to start at once, or an empty list.

    These are all waiting tasks of a gang, and one task of a batch run or a service.
    """
    if job.group.kind is JobKind.GANG:
        return choose_for_gang(fleet, job.group.size, len(job.waiting))
    if job.group.kind is JobKind.SERVICE:
        vm = choose_for_service(fleet, job)
    else:
        vm = choose_for_batch(fleet, job, now)
    return [vm] if vm else []


def choose_for_batch(fleet: Fleet, job: JobRecord, now: float) -> VmRecord | None:
    """Return a VM with little free room whose busy time the task extends least.

    It is the first candidate that is expected to be busy until the task ends, else the
    one that the task keeps busy least longer.  The less the tasks on a VM outlast each
    other, the sooner the VM is empty.
    """
    ends_at = now + job.estimates.expected_seconds(job.group)
    best, smallest_gap = None, math.inf
    for vm in islice(fleet.fitting(job.group.size), MAX_BATCH_CANDIDATES):
        if vm.busy_until >= ends_at:
            return vm
        if best is None or ends_at - vm.busy_until < smallest_gap:
            best, smallest_gap = vm, ends_at - vm.busy_until
    return best


def choose_for_service(fleet: Fleet, job: JobRecord) -> VmRecord | None:
    """Return the VM with the fewest tasks of the job in its rack, then on itself.

    Ties go to a VM that is not busy, then to the one with the least free room:
    services of different jobs then share VMs, and other VMs stay empty for large
    tasks.
    """
    candidates = islice(fleet.fitting(job.group.size), MAX_SERVICE_CANDIDATES)
    return min(
        candidates,
        key=lambda vm: (
            job.racks.get(vm.rack.name, 0),
            job.vms.get(vm.name, 0),
            vm.expected_cpu > BUSY_CPU_FRACTION * vm.capacity.cpu_millis,
        ),
        default=None,
    )


def choose_for_gang(
    fleet: Fleet, size: Resources, count: int, reserved: Sequence[VmRecord] = ()
) -> list[VmRecord]:
    """Return VMs for `count` tasks, in one rack if possible, or an empty list.

    `reserved` are VMs reserved for these tasks, which the racks do not contain.
    """
    reserved_slots = _slots(reserved, size)
    missing = count - _total_slots(reserved_slots)
    if not enough_free(fleet, size, missing):
        return []
    for rack in _racks_that_may_hold(fleet, size, count):
        vms = _fill(_slots(rack.vms.values(), size), count)
        if vms:
            return vms
    by_rack = [_slots(rack.vms.values(), size) for rack in fleet.racks.values()]
    by_rack.sort(key=_total_slots, reverse=True)
    return _fill(reserved_slots + [pair for slots in by_rack for pair in slots], count)


def enough_free(fleet: Fleet, size: Resources, count: int) -> bool:
    """Return whether the free resources of the racks have `count` slots for `size`.

    This is only a necessary condition: the room of a rack may be split between VMs.
    """
    return sum(rack.free.slots(size) for rack in fleet.racks.values()) >= count


def _racks_that_may_hold(fleet: Fleet, size: Resources, count: int) -> list[RackRecord]:
    """Return the racks with enough free resources in sum, least free CPU first."""
    racks = [rack for rack in fleet.racks.values() if rack.free.holds(size, count)]
    return sorted(racks, key=lambda rack: rack.free.cpu_millis)


def _slots(vms: Iterable[VmRecord], size: Resources) -> list[tuple[int, VmRecord]]:
    """Return (slots for `size`, VM) of the VMs with a slot, most slots first."""
    slots = [(vm.slots(size), vm) for vm in vms]
    slots = [pair for pair in slots if pair[0]]
    slots.sort(key=lambda pair: pair[0], reverse=True)
    return slots


def _total_slots(slots: list[tuple[int, VmRecord]]) -> int:
    return sum(count for count, _ in slots)


def _fill(slots: list[tuple[int, VmRecord]], count: int) -> list[VmRecord]:
    """Return `count` VMs, each at most as often as it has slots, or an empty list."""
    chosen: list[VmRecord] = []
    for room, vm in slots:
        chosen += [vm] * min(room, count - len(chosen))
        if len(chosen) == count:
            return chosen
    return []
