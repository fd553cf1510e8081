"""Finds VMs by free size without looking at all of them.

Free processors and free memory are cut into levels whose width grows with the
amount.  Each pair of levels is a cell.  One integer has a bit for each cell that
holds a VM, in rising order of free room, so a few operations on it give the cells
that may hold a size, tightest first.  VMs are further parted by free accelerators.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cassiaweir.placement._records import Amounts, VmRecord
from cassiaweir.types import Resources

CPU_UNIT_MILLIS = 250
MEMORY_UNIT_MB = 512
LEVELS = 64
STEPS_PER_OCTAVE = 8
LARGEST_UNIT = 1 << 10


def _level_of_units(units: int) -> int:
    """Return the level of a number of units; it never falls as units rise."""
    if units < STEPS_PER_OCTAVE:
        return units
    shift = units.bit_length() - STEPS_PER_OCTAVE.bit_length()
    return min(LEVELS - 1, (shift << 3) + (units >> shift))


LEVEL_OF_UNITS = [_level_of_units(units) for units in range(LARGEST_UNIT)]
_CELLS_IN_ORDER = sorted(
    ((cpu, memory) for cpu in range(LEVELS) for memory in range(LEVELS)),
    key=lambda cell: (cell[0] + cell[1], abs(cell[0] - cell[1]), cell),
)
POSITION = [[0] * LEVELS for _ in range(LEVELS)]
for _position, (_cpu, _memory) in enumerate(_CELLS_IN_ORDER):
    POSITION[_cpu][_memory] = _position


def cpu_level(cpu_millis: int) -> int:
    """Return the level of an amount of processors."""
    units = cpu_millis // CPU_UNIT_MILLIS
    return LEVEL_OF_UNITS[units] if units < LARGEST_UNIT else LEVELS - 1


def memory_level(memory_mb: int) -> int:
    """Return the level of an amount of memory."""
    units = memory_mb // MEMORY_UNIT_MB
    return LEVEL_OF_UNITS[units] if units < LARGEST_UNIT else LEVELS - 1


def _at_least(floors: list[list[int]]) -> list[int]:
    """Return, for each level, the bits of the cells listed at it and above."""
    masks, bits = [], 0
    for positions in reversed(floors):
        for position in positions:
            bits |= 1 << position
        masks.append(bits)
    return masks[::-1]


CPU_AT_LEAST = _at_least(POSITION)
MEMORY_AT_LEAST = _at_least([list(column) for column in zip(*POSITION, strict=True)])


def cells_at_least(size: Resources) -> int:
    """Return the bits of the cells whose VMs may hold `size`."""
    return (
        CPU_AT_LEAST[cpu_level(size.cpu_millis)]
        & MEMORY_AT_LEAST[memory_level(size.memory_mb)]
    )


class Grid:
    """The cells of the VMs with one number of free accelerators."""

    __slots__ = ("bits", "cells")

    def __init__(self) -> None:
        self.bits = 0
        self.cells: dict[int, dict[str, VmRecord]] = {}

    def add(self, position: int, vm: VmRecord) -> None:
        """Put `vm` into a cell."""
        cell = self.cells.get(position)
        if cell is None:
            self.cells[position] = {vm.name: vm}
            self.bits |= 1 << position
        else:
            cell[vm.name] = vm

    def remove(self, position: int, vm: VmRecord) -> None:
        """Take `vm` out of a cell."""
        cell = self.cells[position]
        del cell[vm.name]
        if not cell:
            del self.cells[position]
            self.bits ^= 1 << position


@dataclass(slots=True)
class Place:
    """The cell of an index that a VM is in."""

    grid: Grid
    position: int


class RoomIndex:
    """VMs by an amount of room that the owner of the index tells.

    `number` tells where in `VmRecord.places` this index notes where the VM is.
    """

    def __init__(self, number: int) -> None:
        self._number = number
        self._grids: dict[int, Grid] = {}
        self._accelerators: list[int] = []

    def update(self, vm: VmRecord, room: Amounts) -> None:
        """Put `vm` where `room` belongs."""
        cpu, memory, accelerators = room.cpu_millis, room.memory_mb, room.accelerators
        if cpu < 0 or memory < 0 or accelerators < 0:
            self.discard(vm)
            return
        grid = self._grids.get(accelerators) or self._new_grid(accelerators)
        position = POSITION[cpu_level(cpu)][memory_level(memory)]
        place = vm.places[self._number]
        if place is not None:
            if place.position == position and place.grid is grid:
                return
            place.grid.remove(place.position, vm)
            place.grid, place.position = grid, position
        else:
            vm.places[self._number] = Place(grid, position)
        grid.add(position, vm)

    def discard(self, vm: VmRecord) -> None:
        """Take `vm` out, if it is in."""
        place = vm.places[self._number]
        if place is not None:
            place.grid.remove(place.position, vm)
            vm.places[self._number] = None

    def _new_grid(self, accelerators: int) -> Grid:
        grid = self._grids[accelerators] = Grid()
        self._accelerators = sorted(self._grids)
        return grid

    def fitting(self, size: Resources) -> Iterator[VmRecord]:
        """Yield VMs whose free amounts hold `size`, least room first."""
        cpu, memory, wanted = size.cpu_millis, size.memory_mb, size.accelerators
        mask = cells_at_least(size)
        for accelerators in self._accelerators:
            if accelerators < wanted:
                continue
            grid = self._grids[accelerators]
            bits = grid.bits & mask
            while bits:
                lowest = bits & -bits
                for vm in grid.cells[lowest.bit_length() - 1].values():
                    free = vm.free
                    if cpu <= free.cpu_millis and memory <= free.memory_mb:
                        yield vm
                bits ^= lowest

    def roomiest(self, size: Resources) -> Iterator[VmRecord]:
        """Yield VMs that may hold `size`, most room first.

        The caller checks the exact amounts, and stops when it has what it needs.
        """
        mask = cells_at_least(size)
        for accelerators in self._accelerators:
            if accelerators < size.accelerators:
                continue
            grid = self._grids[accelerators]
            bits = grid.bits & mask
            while bits:
                position = bits.bit_length() - 1
                yield from grid.cells[position].values()
                bits ^= 1 << position
