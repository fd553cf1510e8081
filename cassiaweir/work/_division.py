"""Divides a job into parts, one for each shard that runs some of its tasks."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.types import JobKind, Resources, ShardOwner, Write
from cassiaweir.work._models import JobRow, JobSpec, PartRow
from cassiaweir.work._rows import part_key

# A batch job up to this size stays in one shard even if not all its tasks fit now.
MAX_UNSPLIT_TASKS = 64


@dataclass(frozen=True, slots=True)
class ShardCandidate:
    """A shard that may get tasks, with its load and its worker VMs' capacities."""

    owner: ShardOwner
    vm_capacities: Sequence[Resources] = field(default_factory=tuple)

    @classmethod
    def without_owner(
        cls, shard: str, vm_capacities: Sequence[Resources]
    ) -> ShardCandidate:
        """Return a shard that has no known owner, with no free resources."""
        domain = shard.rpartition("-")[0]
        capacity = sum(vm_capacities, Resources())
        return cls(
            ShardOwner(shard, domain, "", "", 0, capacity, Resources(), 0, 0),
            vm_capacities,
        )

    def slots(self, size: Resources) -> int:
        """Return how many tasks of `size` fit into the shard while it is empty."""
        return sum(count_fitting(size, vm) for vm in self.vm_capacities)

    def free_slots(self, size: Resources) -> int:
        """Estimate how many tasks of `size` fit now.

        The free resources are summed over the VMs, so it may be too high.
        """
        return min(count_fitting(size, self.owner.free), self.slots(size))


@dataclass(frozen=True, slots=True)
class ShardAssignment:
    """The number of tasks of a job that a shard gets."""

    shard: str
    count: int


def count_fitting(size: Resources, capacity: Resources) -> int:
    """Return how many tasks of `size` fit into `capacity`."""
    ratios = [
        available // needed
        for needed, available in (
            (size.cpu_millis, capacity.cpu_millis),
            (size.memory_mb, capacity.memory_mb),
            (size.accelerators, capacity.accelerators),
        )
        if needed
    ]
    return max(0, min(ratios, default=0))


def divide_job(
    spec: JobSpec, candidates: Sequence[ShardCandidate]
) -> list[ShardAssignment]:
    """Return how many tasks each shard gets, without shards that get none.

    Raises `InvalidInputError` if no VM can hold a task, or no shard a whole gang.
    """
    size = spec.size.resources()
    fitting = [candidate for candidate in candidates if candidate.slots(size)]
    if not fitting:
        raise InvalidInputError(_no_vm_fits(spec, candidates))
    if spec.kind is JobKind.GANG:
        return _assign_gang(spec, fitting)
    if spec.kind is JobKind.SERVICE:
        return _spread_over_domains(spec, fitting)
    return _split_by_free_slots(spec, fitting)


def _assign_gang(
    spec: JobSpec, candidates: Sequence[ShardCandidate]
) -> list[ShardAssignment]:
    size = spec.size.resources()
    large_enough = [
        candidate for candidate in candidates if candidate.slots(size) >= spec.tasks
    ]
    if not large_enough:
        max_tasks = max(candidate.slots(size) for candidate in candidates)
        raise InvalidInputError(
            f"tasks: {spec.tasks} tasks have to start together, but the largest shard "
            f"holds {max_tasks} of this size"
        )
    best = max(large_enough, key=lambda candidate: _preference(candidate, size))
    return [ShardAssignment(best.owner.shard, spec.tasks)]


def _spread_over_domains(
    spec: JobSpec, candidates: Sequence[ShardCandidate]
) -> list[ShardAssignment]:
    """Spread the tasks evenly over the failure domains, to the best shard of each."""
    size = spec.size.resources()
    best: dict[str, ShardCandidate] = {}
    for candidate in sorted(
        candidates, key=lambda candidate: _preference(candidate, size)
    ):
        best[candidate.owner.failure_domain] = candidate
    # The emptiest failure domains get one task more if the division is uneven.
    by_preference = sorted(
        best.values(), key=lambda candidate: _preference(candidate, size), reverse=True
    )
    base, extra = divmod(spec.tasks, len(by_preference))
    assignments = [
        ShardAssignment(candidate.owner.shard, base + (position < extra))
        for position, candidate in enumerate(by_preference)
    ]
    return [assignment for assignment in assignments if assignment.count]


def _split_by_free_slots(
    spec: JobSpec, candidates: Sequence[ShardCandidate]
) -> list[ShardAssignment]:
    """Keep a small job in one shard, and split a large one in proportion to free slots.

    If no shard has a free slot, it is split in proportion to all slots.
    """
    size = spec.size.resources()
    best = max(candidates, key=lambda candidate: _preference(candidate, size))
    if spec.tasks <= max(MAX_UNSPLIT_TASKS, best.free_slots(size)):
        return [ShardAssignment(best.owner.shard, spec.tasks)]
    weights = [candidate.free_slots(size) for candidate in candidates]
    if not any(weights):
        weights = [candidate.slots(size) for candidate in candidates]
    return _apportion(spec.tasks, candidates, weights)


def _apportion(
    tasks: int, candidates: Sequence[ShardCandidate], weights: Sequence[int]
) -> list[ShardAssignment]:
    """Divide `tasks` in proportion to `weights`; the counts add up to `tasks`."""
    total = sum(weights)
    assignments = []
    assigned = cumulative_weight = 0
    for candidate, weight in zip(candidates, weights, strict=True):
        cumulative_weight += weight
        count = tasks * cumulative_weight // total - assigned
        assigned += count
        if count:
            assignments.append(ShardAssignment(candidate.owner.shard, count))
    return assignments


def _preference(candidate: ShardCandidate, size: Resources) -> tuple[int, int, str]:
    """Return the sort key of a shard: its free slots, then its queue, then its name.

    A shard with more free slots, or with as many and a shorter queue, is preferred.
    """
    owner = candidate.owner
    return (candidate.free_slots(size), -owner.queued_tasks, owner.shard)


def _no_vm_fits(spec: JobSpec, candidates: Sequence[ShardCandidate]) -> str:
    largest = max(
        (vm for candidate in candidates for vm in candidate.vm_capacities),
        default=Resources(),
    )
    return (
        f"size: no VM holds {spec.size.cpu_millis} cpu_millis, "
        f"{spec.size.memory_mb} memory_mb and {spec.size.accelerators} accelerators; "
        f"the largest has {largest.cpu_millis}, {largest.memory_mb} and "
        f"{largest.accelerators}"
    )


def part_writes(row: JobRow, assignments: Sequence[ShardAssignment]) -> list[Write]:
    """Return the writes of the part rows, each with the next range of the tasks."""
    writes = []
    first = 0
    for assignment in assignments:
        part = PartRow(
            row.job, row.team, row.spec, row.submitted_at, first, assignment.count
        )
        key = part_key(assignment.shard, row.job)
        writes.append(Write(key, msgspec.json.encode(part)))
        first += assignment.count
    return writes
