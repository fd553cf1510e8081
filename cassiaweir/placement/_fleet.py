"""The VMs of a shard with their racks, conditions and free resources."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cassiaweir.placement._index import RoomIndex
from cassiaweir.placement._records import (
    NEVER_BUSY,
    NOTHING_FREE,
    RackRecord,
    ResourceSum,
    RunningTask,
    VmRecord,
)
from cassiaweir.placement._types import VmCondition, VmOffer
from cassiaweir.types import Resources


@dataclass(slots=True)
class CapacityCount:
    """How many VMs of one capacity there are, and how many of them are open.

    VMs on probation count as open.
    """

    known: int = 0
    open: int = 0


class Fleet:
    """Keeps the VMs, their running tasks, and indexes to find VMs with room.

    `room` indexes VMs by free resources and `reclaimable` by free resources plus what
    preemptible tasks hold; VMs that take no tasks or are reserved are in neither.
    `reserved_room` indexes reserved VMs by free resources.  `total` is the capacity
    of all VMs.  `gained_room` has the VMs whose room grew since the planner last
    cleared it.
    """

    def __init__(self) -> None:
        self.vms: dict[str, VmRecord] = {}
        self.racks: dict[str, RackRecord] = {}
        self.total = ResourceSum()
        self.room = RoomIndex(0)
        self.reclaimable = RoomIndex(1)
        self.reserved_room = RoomIndex(2)
        self.capacities: dict[Resources, CapacityCount] = {}
        self.gained_room: dict[str, VmRecord] = {}

    def set_vm(self, offer: VmOffer, condition: VmCondition) -> None:
        """Add or update a VM; its running tasks stay counted."""
        vm = self.vms.get(offer.name)
        if vm is None:
            rack = self.racks.setdefault(offer.rack, RackRecord(offer.rack))
            vm = VmRecord.from_offer(offer, rack, condition)
            self.vms[offer.name] = vm
            self._count_capacity(vm, 1)
        else:
            self._remove_from_indexes(vm)
            self._count_capacity(vm, -1)
            vm.free.add(vm.capacity, -1)
            vm.reclaimable.add(vm.capacity, -1)
            vm.capacity, vm.condition = offer.capacity, condition
            vm.rack = self.racks.setdefault(offer.rack, RackRecord(offer.rack))
            vm.free.add(vm.capacity)
            vm.reclaimable.add(vm.capacity)
            vm.removed = False
            self._count_capacity(vm, 1)
        self.refresh(vm)

    def remove_vm(self, name: str) -> None:
        """Remove a VM; while tasks run on it, it only takes no new ones."""
        vm = self.vms.get(name)
        if vm is None:
            return
        vm.removed = True
        self.refresh(vm)
        if not vm.tasks:
            self._count_capacity(vm, -1)
            del self.vms[name]
            self.gained_room.pop(name, None)

    def _count_capacity(self, vm: VmRecord, sign: int) -> None:
        count = self.capacities.setdefault(vm.capacity, CapacityCount())
        count.known += sign
        if vm.condition in (VmCondition.OPEN, VmCondition.PROBATION):
            count.open += sign
        if not count.known:
            del self.capacities[vm.capacity]
        self.total.add(vm.capacity, sign)

    def start(self, task: RunningTask) -> None:
        """Add `task` to its VM and subtract what it declares from the free room."""
        vm, size = task.vm, task.job.group.size
        vm.tasks[task.task] = task
        vm.expected_cpu += task.expected_cpu
        if task.ends_at > vm.busy_until:
            vm.busy_until = task.ends_at
        vm.free.add(size, -1)
        if task.preemptible and vm.indexed and vm.condition is VmCondition.OPEN:
            self._update_free_room(vm)
            return
        if not task.preemptible:
            vm.reclaimable.add(size, -1)
        self.refresh(vm)

    def end(self, task: RunningTask) -> None:
        """Remove `task` from its VM and free what it declares."""
        vm, size = task.vm, task.job.group.size
        del vm.tasks[task.task]
        vm.expected_cpu -= task.expected_cpu
        if task.ends_at >= vm.busy_until:
            left = (other.ends_at for other in vm.tasks.values())
            vm.busy_until = max(left, default=NEVER_BUSY)
        vm.free.add(size)
        self.gained_room[vm.name] = vm
        if task.preemptible and vm.indexed and vm.condition is VmCondition.OPEN:
            self._update_free_room(vm)
            return
        if not task.preemptible:
            vm.reclaimable.add(size)
        self.refresh(vm)
        if vm.removed and not vm.tasks:
            self.remove_vm(vm.name)

    def mark_stopping(self, task: RunningTask, *, stopping: bool = True) -> None:
        """Record whether `task` is being checkpointed, so not preemptible again."""
        if task.stopping != stopping:
            task.stopping = stopping
            task.vm.reclaimable.add(task.job.group.size, -1 if stopping else 1)
            self.refresh(task.vm)

    def claim_room(self, vm: VmRecord, size: Resources, count: int = 1) -> None:
        """Set aside room for `count` tasks of `size`; a negative count releases it."""
        vm.claimed_room.add(size, count)
        vm.free.add(size, -count)
        vm.reclaimable.add(size, -count)
        if count < 0:
            self.gained_room[vm.name] = vm
        self.refresh(vm)

    def reserve(self, vm: VmRecord, *, reserved: bool = True) -> None:
        """Mark `vm` as reserved, or as no longer reserved, and index it accordingly."""
        vm.reserved = reserved
        self.refresh(vm)

    def refresh(self, vm: VmRecord) -> None:
        """Put `vm` into the indexes that its condition and reservation call for."""
        usable = vm.takes_tasks() and not vm.removed
        if usable and vm.reserved:
            self.reserved_room.update(vm, vm.free)
        else:
            self.reserved_room.discard(vm)
        if not usable or vm.reserved:
            self._remove_from_indexes(vm)
            return
        if not vm.indexed:
            vm.indexed = True
            vm.rack.vms[vm.name] = vm
            self.gained_room[vm.name] = vm
        self._update_free_room(vm)
        self.reclaimable.update(vm, vm.reclaimable)

    def _update_free_room(self, vm: VmRecord) -> None:
        """Update the rack's sum and the index of free room for an indexed VM."""
        vm.rack.free.replace(vm.counted_in_rack, vm.usable_room())
        self.room.update(vm, vm.free)

    def _remove_from_indexes(self, vm: VmRecord) -> None:
        if vm.indexed:
            vm.indexed = False
            del vm.rack.vms[vm.name]
            vm.rack.free.replace(vm.counted_in_rack, NOTHING_FREE)
            self.room.discard(vm)
            self.reclaimable.discard(vm)

    def fitting(self, size: Resources) -> Iterator[VmRecord]:
        """Return the VMs in `room` with room for `size`, least free room first."""
        return self.room.fitting(size)

    def reserved_fitting(self, size: Resources) -> Iterator[VmRecord]:
        """Return the reserved VMs with room for `size`, least free room first."""
        return self.reserved_room.fitting(size)

    def fits_some_vm(self, size: Resources) -> bool:
        """Return whether `size` fits the total capacity of some VM."""
        return any(size.fits(capacity) for capacity in self.capacities)

    def fits_open_vm(self, size: Resources) -> bool:
        """Return whether `size` fits the total capacity of some open VM."""
        return any(
            count.open and size.fits(capacity)
            for capacity, count in self.capacities.items()
        )
