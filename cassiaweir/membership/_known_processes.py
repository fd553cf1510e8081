"""What was heard of other processes, merged by process and freshness."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cassiaweir.rpc import cell_pb2
from cassiaweir.types import Resources, ShardOwner


@dataclass(slots=True)
class KnownProcess:
    """The newest statement of a process.

    It was made at `made_at` or later, in seconds of this process's monotonic clock;
    minus infinity where only an incoming call told of it.  The last sign
    of life came at `alive_at`: a call that came in, or a statement made then.
    """

    state: cell_pb2.ProcessState
    made_at: float
    alive_at: float


class KnownProcesses:
    """Keeps the newest statement of each other process.

    Statements of one process are ordered by its own sequence numbers.  A later
    statement is no older than an earlier one, so `made_at` never falls.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._known: dict[str, KnownProcess] = {}
        self._owners: dict[str, tuple[ShardOwner, KnownProcess]] = {}
        self._owners_valid = True
        self._turn = 0

    def merge(
        self, state: cell_pb2.ProcessState, made_at: float, *, alive_at: float
    ) -> None:
        """Take over `state`, which was stated at `made_at` or later.

        `alive_at` is the moment of the sign of life.
        """
        if state.process == self._process:
            return
        known = self._known.get(state.process)
        if known is None:
            self._known[state.process] = KnownProcess(state, made_at, alive_at)
            self._owners_valid = False
            return
        if state.sequence < known.state.sequence:
            return
        known.alive_at = max(known.alive_at, alive_at)
        if state.sequence > known.state.sequence:
            known.state = state
            self._owners_valid = False
        known.made_at = max(known.made_at, made_at)

    def get(self, process: str) -> KnownProcess | None:
        """Return what is known of `process`, or None."""
        return self._known.get(process)

    def all(self) -> Sequence[KnownProcess]:
        """Return what is known of every other process."""
        return list(self._known.values())

    def heard_since(self, moment: float) -> list[KnownProcess]:
        """Return the processes whose statement was made at `moment` or later."""
        return [known for known in self._known.values() if known.made_at >= moment]

    def silent_since(self, moment: float) -> list[str]:
        """Return the processes that gave no sign of life since `moment`."""
        return [
            known.state.process
            for known in self._known.values()
            if known.alive_at < moment
        ]

    def forget(self, processes: Iterable[str]) -> None:
        """Drop what is known of `processes`."""
        for process in processes:
            self._known.pop(process, None)
        self._owners_valid = False

    def take_turn(self, moment: float, most: int) -> list[KnownProcess]:
        """Return at most `most` owners of shards heard since `moment`, in turn."""
        heard = [known for known in self.heard_since(moment) if known.state.shards]
        if len(heard) <= most:
            return heard
        start = self._turn % len(heard)
        self._turn = start + most
        return (heard + heard)[start : start + most]

    def owners(self, moment: float) -> dict[str, ShardOwner]:
        """Return the owners that were heard since `moment`, by shard."""
        return {
            shard: owner
            for shard, (owner, known) in self._merged_owners().items()
            if known.made_at >= moment
        }

    def owner(self, shard: str, moment: float) -> ShardOwner | None:
        """Return the owner of `shard` if it was heard since `moment`."""
        owner, known = self._merged_owners().get(shard, (None, None))
        return owner if known is not None and known.made_at >= moment else None

    def _merged_owners(self) -> dict[str, tuple[ShardOwner, KnownProcess]]:
        """Return the owner with the highest epoch of each shard."""
        if not self._owners_valid:
            self._owners = {}
            for known in self._known.values():
                self._add_owners(known)
            self._owners_valid = True
        return self._owners

    def _add_owners(self, known: KnownProcess) -> None:
        for shard in known.state.shards:
            held = self._owners.get(shard.shard)
            if held is None or held[0].epoch < shard.epoch:
                owner = decode_owner(known.state, shard)
                self._owners[shard.shard] = (owner, known)


def decode_owner(
    state: cell_pb2.ProcessState, shard: cell_pb2.ShardState
) -> ShardOwner:
    """Return the owner that `state` tells of for `shard`."""
    return ShardOwner(
        shard=shard.shard,
        failure_domain=state.failure_domain,
        process=state.process,
        address=state.address,
        epoch=shard.epoch,
        capacity=_decode_amount(shard.capacity),
        free=_decode_amount(shard.free),
        queued_tasks=shard.queued_tasks,
        running_tasks=shard.running_tasks,
    )


def encode_owner(owner: ShardOwner) -> cell_pb2.ShardState:
    """Return the message that tells of an owned shard."""
    return cell_pb2.ShardState(
        shard=owner.shard,
        epoch=owner.epoch,
        capacity=_encode_amount(owner.capacity),
        free=_encode_amount(owner.free),
        queued_tasks=owner.queued_tasks,
        running_tasks=owner.running_tasks,
    )


def _decode_amount(amount: cell_pb2.Amount) -> Resources:
    return Resources(amount.cpu_millis, amount.memory_mb, amount.accelerators)


def _encode_amount(amount: Resources) -> cell_pb2.Amount:
    return cell_pb2.Amount(
        cpu_millis=amount.cpu_millis,
        memory_mb=amount.memory_mb,
        accelerators=amount.accelerators,
    )


NEVER = -math.inf
