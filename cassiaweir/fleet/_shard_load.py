"""The load of a shard and the status of its parts, as its owner reports them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cassiaweir.fleet._runner_types import PartStatus
from cassiaweir.placement import WaitReason
from cassiaweir.types import Resources, Vm
from cassiaweir.work import Part, TaskPhase

ACTIVE = (TaskPhase.STARTING, TaskPhase.RUNNING)
QUEUED = (TaskPhase.WAITING, TaskPhase.HELD_BACK)


@dataclass(frozen=True, slots=True)
class ShardLoad:
    """The total and free resources of a shard, and its numbers of tasks."""

    capacity: Resources
    free: Resources
    queued: int
    running: int


def shard_load(vms: Sequence[Vm], parts: Iterable[Part]) -> ShardLoad:
    """Return the load of a shard with `vms` and `parts`."""
    capacity = sum((vm.capacity for vm in vms), Resources())
    used = Resources()
    queued = running = 0
    for part in parts:
        active = part.count(ACTIVE)
        used += part.row.spec.size.resources() * active
        running += active
        queued += part.count(QUEUED)
    return ShardLoad(capacity, capacity - used, queued, running)


def part_status(shard: str, part: Part, reason: WaitReason) -> PartStatus:
    """Return the live state of a part."""
    return PartStatus(
        shard,
        part.count(QUEUED),
        part.count(ACTIVE),
        len(part.succeeded),
        len(part.failed),
        reason,
    )
