"""Divides a job into parts, one for each shard that runs some of its tasks."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.types import JobKind, Resources, ShardOwner, Write
from cassiaweir.work._models import JobRow, JobSpec, PartRow
from cassiaweir.work._rows import part_key

MOST_TASKS_KEPT_TOGETHER = 64


@dataclass(frozen=True, slots=True)
class ShardRoom:
    """A shard with its load and the capacities of its worker VMs."""

    owner: ShardOwner
    vms: Sequence[Resources] = field(default_factory=tuple)

    @classmethod
    def without_owner(cls, shard: str, vms: Sequence[Resources]) -> ShardRoom:
        """Return a shard whose load nobody tells of just now."""
        domain = shard.rpartition("-")[0]
        capacity = sum(vms, Resources())
        return cls(
            ShardOwner(shard, domain, "", "", 0, capacity, Resources(), 0, 0), vms
        )

    def slots(self, size: Resources) -> int:
        """Return how many tasks of `size` the empty shard holds."""
        return sum(count_fitting(size, vm) for vm in self.vms)

    def free_slots(self, size: Resources) -> int:
        """Return about how many tasks of `size` have room now."""
        return min(count_fitting(size, self.owner.free), self.slots(size))


@dataclass(frozen=True, slots=True)
class Share:
    """How many tasks of a job a shard gets."""

    shard: str
    count: int


def count_fitting(size: Resources, room: Resources) -> int:
    """Return how many times `size` fits into `room`."""
    ratios = [
        available // needed
        for needed, available in (
            (size.cpu_millis, room.cpu_millis),
            (size.memory_mb, room.memory_mb),
            (size.accelerators, room.accelerators),
        )
        if needed
    ]
    return max(0, min(ratios, default=0))


def divide(spec: JobSpec, rooms: Sequence[ShardRoom]) -> list[Share]:
    """Return the shares of the shards, without empty ones.

    Raises `InvalidInputError` where no VM, or for a gang no shard, could hold it.
    """
    size = spec.size.resources()
    fitting = [room for room in rooms if room.slots(size)]
    if not fitting:
        raise InvalidInputError(_too_large(spec, rooms))
    if spec.kind is JobKind.GANG:
        return _keep_together(spec, fitting)
    if spec.kind is JobKind.SERVICE:
        return _spread(spec, fitting)
    return _split(spec, fitting)


def _keep_together(spec: JobSpec, rooms: Sequence[ShardRoom]) -> list[Share]:
    size = spec.size.resources()
    able = [room for room in rooms if room.slots(size) >= spec.tasks]
    if not able:
        most = max(room.slots(size) for room in rooms)
        raise InvalidInputError(
            f"tasks: {spec.tasks} tasks have to start together, but the largest shard "
            f"holds {most} of this size"
        )
    best = max(able, key=lambda room: _attraction(room, size))
    return [Share(best.owner.shard, spec.tasks)]


def _spread(spec: JobSpec, rooms: Sequence[ShardRoom]) -> list[Share]:
    """Deal the tasks out over the failure domains in turn."""
    size = spec.size.resources()
    best: dict[str, ShardRoom] = {}
    for room in sorted(rooms, key=lambda room: _attraction(room, size)):
        best[room.owner.failure_domain] = room
    # The emptiest failure domain gets the tasks that do not divide evenly.
    turn = sorted(best.values(), key=lambda room: _attraction(room, size), reverse=True)
    each, extra = divmod(spec.tasks, len(turn))
    shares = [
        Share(room.owner.shard, each + (position < extra))
        for position, room in enumerate(turn)
    ]
    return [share for share in shares if share.count]


def _split(spec: JobSpec, rooms: Sequence[ShardRoom]) -> list[Share]:
    """Keep a small job in one shard and split a large one by free room."""
    size = spec.size.resources()
    best = max(rooms, key=lambda room: _attraction(room, size))
    if spec.tasks <= max(MOST_TASKS_KEPT_TOGETHER, best.free_slots(size)):
        return [Share(best.owner.shard, spec.tasks)]
    weights = [room.free_slots(size) for room in rooms]
    if not any(weights):
        weights = [room.slots(size) for room in rooms]
    return _apportion(spec.tasks, rooms, weights)


def _apportion(
    tasks: int, rooms: Sequence[ShardRoom], weights: Sequence[int]
) -> list[Share]:
    """Divide `tasks` in proportion to `weights`, the sum being exact."""
    total = sum(weights)
    shares = []
    given = reached = 0
    for room, weight in zip(rooms, weights, strict=True):
        reached += weight
        count = tasks * reached // total - given
        given += count
        if count:
            shares.append(Share(room.owner.shard, count))
    return shares


def _attraction(room: ShardRoom, size: Resources) -> tuple[int, int, str]:
    """Return what to compare shards by: free room, short queue, and name."""
    owner = room.owner
    return (room.free_slots(size), -owner.queued_tasks, owner.shard)


def _too_large(spec: JobSpec, rooms: Sequence[ShardRoom]) -> str:
    largest = max((vm for room in rooms for vm in room.vms), default=Resources())
    return (
        f"size: no VM holds {spec.size.cpu_millis} cpu_millis, "
        f"{spec.size.memory_mb} memory_mb and {spec.size.accelerators} accelerators; "
        f"the largest has {largest.cpu_millis}, {largest.memory_mb} and "
        f"{largest.accelerators}"
    )


def part_writes(row: JobRow, shares: Sequence[Share]) -> list[Write]:
    """Return the writes of the rows of the parts, which take the tasks in order."""
    writes = []
    first = 0
    for share in shares:
        part = PartRow(
            row.job, row.team, row.spec, row.submitted_at, first, share.count
        )
        key = part_key(share.shard, row.job)
        writes.append(Write(key, msgspec.json.encode(part)))
        first += share.count
    return writes
