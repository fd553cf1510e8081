"""The VMs of a shard: conditions, racks, free room and the indexes over it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cassiaweir.placement._index import RoomIndex
from cassiaweir.placement._records import (
    NEVER_BUSY,
    NO_ROOM,
    Amounts,
    RackRecord,
    RunningTask,
    VmRecord,
)
from cassiaweir.placement._types import VmCondition, VmOffer
from cassiaweir.types import Resources


@dataclass(slots=True)
class ShapeCount:
    """How many VMs have one capacity, and how many of them take new tasks."""

    known: int = 0
    open: int = 0


class Fleet:
    """Keeps the VMs, what runs on them and where there is room.

    `grown` holds the VMs that got more room since the planner last looked.
    """

    def __init__(self) -> None:
        self.vms: dict[str, VmRecord] = {}
        self.racks: dict[str, RackRecord] = {}
        self.total = Amounts()
        self.room = RoomIndex(0)
        self.reclaimable = RoomIndex(1)
        self.kept = RoomIndex(2)
        self.shapes: dict[Resources, ShapeCount] = {}
        self.grown: dict[str, VmRecord] = {}

    def set_vm(self, offer: VmOffer, condition: VmCondition) -> None:
        """Add or change a VM; what runs on it stays counted."""
        vm = self.vms.get(offer.name)
        if vm is None:
            rack = self.racks.setdefault(offer.rack, RackRecord(offer.rack))
            vm = VmRecord.from_offer(offer, rack, condition)
            self.vms[offer.name] = vm
            self._count_shape(vm, 1)
        else:
            self._unlist(vm)
            self._count_shape(vm, -1)
            vm.free.add(vm.capacity, -1)
            vm.reclaimable.add(vm.capacity, -1)
            vm.capacity, vm.condition = offer.capacity, condition
            vm.rack = self.racks.setdefault(offer.rack, RackRecord(offer.rack))
            vm.free.add(vm.capacity)
            vm.reclaimable.add(vm.capacity)
            vm.removed = False
            self._count_shape(vm, 1)
        self.refresh(vm)

    def remove_vm(self, name: str) -> None:
        """Forget a VM, or close it until its last task has ended."""
        vm = self.vms.get(name)
        if vm is None:
            return
        vm.removed = True
        self.refresh(vm)
        if not vm.tasks:
            self._count_shape(vm, -1)
            del self.vms[name]
            self.grown.pop(name, None)

    def _count_shape(self, vm: VmRecord, sign: int) -> None:
        shape = self.shapes.setdefault(vm.capacity, ShapeCount())
        shape.known += sign
        if vm.condition in (VmCondition.OPEN, VmCondition.PROBATION):
            shape.open += sign
        if not shape.known:
            del self.shapes[vm.capacity]
        self.total.add(vm.capacity, sign)

    def start(self, task: RunningTask) -> None:
        """Count `task` on its VM."""
        vm, size = task.vm, task.job.group.size
        vm.tasks[task.task] = task
        vm.expected_cpu += task.expected_cpu
        if task.ends_at > vm.busy_until:
            vm.busy_until = task.ends_at
        vm.free.add(size, -1)
        if task.preemptible and vm.indexed and vm.condition is VmCondition.OPEN:
            self._room_changed(vm)
            return
        if not task.preemptible:
            vm.reclaimable.add(size, -1)
        self.refresh(vm)

    def end(self, task: RunningTask) -> None:
        """Free what `task` held."""
        vm, size = task.vm, task.job.group.size
        del vm.tasks[task.task]
        vm.expected_cpu -= task.expected_cpu
        if task.ends_at >= vm.busy_until:
            left = (other.ends_at for other in vm.tasks.values())
            vm.busy_until = max(left, default=NEVER_BUSY)
        vm.free.add(size)
        self.grown[vm.name] = vm
        if task.preemptible and vm.indexed and vm.condition is VmCondition.OPEN:
            self._room_changed(vm)
            return
        if not task.preemptible:
            vm.reclaimable.add(size)
        self.refresh(vm)
        if vm.removed and not vm.tasks:
            self.remove_vm(vm.name)

    def mark_stopping(self, task: RunningTask, *, stopping: bool = True) -> None:
        """Note whether `task` is being checkpointed and cannot be chosen again."""
        if task.stopping != stopping:
            task.stopping = stopping
            task.vm.reclaimable.add(task.job.group.size, -1 if stopping else 1)
            self.refresh(task.vm)

    def promise(self, vm: VmRecord, size: Resources, count: int = 1) -> None:
        """Keep room for `count` tasks of `size`; a negative count undoes it."""
        vm.promised.add(size, count)
        vm.free.add(size, -count)
        vm.reclaimable.add(size, -count)
        if count < 0:
            self.grown[vm.name] = vm
        self.refresh(vm)

    def hold(self, vm: VmRecord, *, held: bool = True) -> None:
        """Keep `vm` out of the indexes for a reservation, or list it again."""
        vm.held = held
        self.refresh(vm)

    def refresh(self, vm: VmRecord) -> None:
        """List `vm` in the indexes as its state demands."""
        usable = vm.takes_tasks() and not vm.removed
        if usable and vm.held:
            self.kept.update(vm, vm.free)
        else:
            self.kept.discard(vm)
        if not usable or vm.held:
            self._unlist(vm)
            return
        if not vm.indexed:
            vm.indexed = True
            vm.rack.vms[vm.name] = vm
            self.grown[vm.name] = vm
        self._room_changed(vm)
        self.reclaimable.update(vm, vm.reclaimable)

    def _room_changed(self, vm: VmRecord) -> None:
        """Note what is free on a listed VM."""
        vm.rack.free.move(vm.counted, vm.usable_room())
        self.room.update(vm, vm.free)

    def _unlist(self, vm: VmRecord) -> None:
        if vm.indexed:
            vm.indexed = False
            del vm.rack.vms[vm.name]
            vm.rack.free.move(vm.counted, NO_ROOM)
            self.room.discard(vm)
            self.reclaimable.discard(vm)

    def fitting(self, size: Resources) -> Iterator[VmRecord]:
        """Return listed VMs that have room for `size` now, tightest first."""
        return self.room.fitting(size)

    def kept_fitting(self, size: Resources) -> Iterator[VmRecord]:
        """Return VMs kept by reservations with room for `size`, tightest first."""
        return self.kept.fitting(size)

    def fits_some_vm(self, size: Resources) -> bool:
        """Tell whether the capacity of a VM holds `size`."""
        return any(size.fits(shape) for shape in self.shapes)

    def fits_open_vm(self, size: Resources) -> bool:
        """Tell whether the capacity of a VM that takes tasks holds `size`."""
        return any(
            count.open and size.fits(shape) for shape, count in self.shapes.items()
        )
