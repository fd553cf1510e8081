"""An index that finds VMs by free resources without a scan of all VMs.

Free CPU and free memory are quantized into levels whose width grows with the amount.
A pair of levels is a cell.  The bits of one integer say which cells contain a VM, in
ascending order of free resources, so a few bit operations give the cells whose VMs
may fit a size, tightest first.  There is one such grid per number of free
accelerators.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cassiaweir.placement._records import ResourceSum, VmRecord
from cassiaweir.types import Resources

CPU_UNIT_MILLIS = 250
MEMORY_UNIT_MB = 512
LEVELS = 64
# Levels per doubling of the amount; `_level_of_units` shifts by its logarithm.
STEPS_PER_OCTAVE = 8
# Amounts of this many units or more are in the highest level.
LEVEL_TABLE_UNITS = 1 << 10


def _level_of_units(units: int) -> int:
    """Return the level of an amount; a larger amount never has a lower level."""
    if units < STEPS_PER_OCTAVE:
        return units
    shift = units.bit_length() - STEPS_PER_OCTAVE.bit_length()
    return min(LEVELS - 1, (shift << 3) + (units >> shift))


LEVEL_OF_UNITS = [_level_of_units(units) for units in range(LEVEL_TABLE_UNITS)]
# (CPU level, memory level) of each cell, in ascending order of free resources.
_CELLS_IN_ORDER = sorted(
    ((cpu, memory) for cpu in range(LEVELS) for memory in range(LEVELS)),
    key=lambda cell: (cell[0] + cell[1], abs(cell[0] - cell[1]), cell),
)
# The bit position of the cell of a CPU level and a memory level.
POSITION = [[0] * LEVELS for _ in range(LEVELS)]
for _position, (_cpu, _memory) in enumerate(_CELLS_IN_ORDER):
    POSITION[_cpu][_memory] = _position


def cpu_level(cpu_millis: int) -> int:
    """Return the level of an amount of CPU."""
    units = cpu_millis // CPU_UNIT_MILLIS
    return LEVEL_OF_UNITS[units] if units < LEVEL_TABLE_UNITS else LEVELS - 1


def memory_level(memory_mb: int) -> int:
    """Return the level of an amount of memory."""
    units = memory_mb // MEMORY_UNIT_MB
    return LEVEL_OF_UNITS[units] if units < LEVEL_TABLE_UNITS else LEVELS - 1


def _cumulative_masks(cells_by_level: list[list[int]]) -> list[int]:
    """Return, for each level, a mask of the cells at this level or a higher one.

    `cells_by_level` has the bit positions of the cells of each level.
    """
    masks, bits = [], 0
    for positions in reversed(cells_by_level):
        for position in positions:
            bits |= 1 << position
        masks.append(bits)
    return masks[::-1]


CPU_AT_LEAST = _cumulative_masks(POSITION)
MEMORY_AT_LEAST = _cumulative_masks(
    [list(column) for column in zip(*POSITION, strict=True)]
)


def cells_at_least(size: Resources) -> int:
    """Return a mask of the cells whose VMs may have room for `size`."""
    return (
        CPU_AT_LEAST[cpu_level(size.cpu_millis)]
        & MEMORY_AT_LEAST[memory_level(size.memory_mb)]
    )


class Grid:
    """The cells for one number of free accelerators.

    `cells` maps the bit position of a cell to its VMs by name; cells without VMs are
    absent.  `bits` has the bit of each cell that is present.
    """

    __slots__ = ("bits", "cells")

    def __init__(self) -> None:
        self.bits = 0
        self.cells: dict[int, dict[str, VmRecord]] = {}

    def add(self, position: int, vm: VmRecord) -> None:
        """Add `vm` to the cell at `position`."""
        cell = self.cells.get(position)
        if cell is None:
            self.cells[position] = {vm.name: vm}
            self.bits |= 1 << position
        else:
            cell[vm.name] = vm

    def remove(self, position: int, vm: VmRecord) -> None:
        """Remove `vm` from the cell at `position`."""
        cell = self.cells[position]
        del cell[vm.name]
        if not cell:
            del self.cells[position]
            self.bits ^= 1 << position


@dataclass(slots=True)
class IndexEntry:
    """The cell that contains a VM in one index."""

    grid: Grid
    position: int


class RoomIndex:
    """VMs by an amount of resources that the owner of the index passes to `update`.

    `entry_index` is the position in `VmRecord.index_entries` that this index uses.
    """

    def __init__(self, entry_index: int) -> None:
        self._entry_index = entry_index
        self._grids: dict[int, Grid] = {}
        self._accelerators: list[int] = []

    def update(self, vm: VmRecord, room: ResourceSum) -> None:
        """Add `vm`, or move it, to the cell of `room`.

        A VM with a negative amount is not in the index.
        """
        cpu, memory, accelerators = room.cpu_millis, room.memory_mb, room.accelerators
        if cpu < 0 or memory < 0 or accelerators < 0:
            self.discard(vm)
            return
        grid = self._grids.get(accelerators) or self._new_grid(accelerators)
        position = POSITION[cpu_level(cpu)][memory_level(memory)]
        entry = vm.index_entries[self._entry_index]
        if entry is not None:
            if entry.position == position and entry.grid is grid:
                return
            entry.grid.remove(entry.position, vm)
            entry.grid, entry.position = grid, position
        else:
            vm.index_entries[self._entry_index] = IndexEntry(grid, position)
        grid.add(position, vm)

    def discard(self, vm: VmRecord) -> None:
        """Remove `vm` if the index contains it."""
        entry = vm.index_entries[self._entry_index]
        if entry is not None:
            entry.grid.remove(entry.position, vm)
            vm.index_entries[self._entry_index] = None

    def _new_grid(self, accelerators: int) -> Grid:
        grid = self._grids[accelerators] = Grid()
        self._accelerators = sorted(self._grids)
        return grid

    def fitting(self, size: Resources) -> Iterator[VmRecord]:
        """Yield VMs whose free resources fit `size`, least room first.

        The order is that of the cells: it is approximate within a cell.
        """
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
        """Yield VMs that may have room for `size`, most room first.

        Cells are coarse, so the caller has to compare the exact amounts.
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
