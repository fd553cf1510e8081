"""The newest state of each other process, and the shard owners derived from it."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cassiaweir.rpc import cell_pb2
from cassiaweir.types import Resources, ShardOwner


@dataclass(slots=True)
class KnownProcess:
    """The newest state that another process has reported.

    Both times are in seconds of this process's monotonic clock.  The process reported
    the state at `reported_at` or later; minus infinity means that the state came only
    in incoming calls, whose age is unknown.  `last_alive_at` is the latest time at
    which the process is known to have been alive, either because it called or because
    it reported its state then.
    """

    state: cell_pb2.ProcessState
    reported_at: float
    last_alive_at: float


class KnownProcesses:
    """Keeps the newest state of each other process.

    Each process numbers the states that it reports, and the highest sequence number
    wins.  A state with a higher number was reported later, so the `reported_at` of a
    lower one remains a valid bound, and it never decreases.
    """

    def __init__(self, process: str) -> None:
        self._own_process = process
        self._known: dict[str, KnownProcess] = {}
        self._owners: dict[str, tuple[ShardOwner, KnownProcess]] = {}
        self._owners_valid = True
        self._next_start = 0

    def merge(
        self, state: cell_pb2.ProcessState, reported_at: float, *, last_alive_at: float
    ) -> None:
        """Store `state` unless a newer state of its process is known.

        The process reported it at `reported_at` or later, and was alive at
        `last_alive_at`.  A state of this process itself is ignored.
        """
        if state.process == self._own_process:
            return
        known = self._known.get(state.process)
        if known is None:
            self._known[state.process] = KnownProcess(state, reported_at, last_alive_at)
            self._owners_valid = False
            return
        if state.sequence < known.state.sequence:
            return
        known.last_alive_at = max(known.last_alive_at, last_alive_at)
        if state.sequence > known.state.sequence:
            known.state = state
            self._owners_valid = False
        known.reported_at = max(known.reported_at, reported_at)

    def get(self, process: str) -> KnownProcess | None:
        """Return the entry of `process`, or None if it is unknown."""
        return self._known.get(process)

    def all(self) -> Sequence[KnownProcess]:
        """Return the entries of all other processes."""
        return list(self._known.values())

    def reported_since(self, since: float) -> list[KnownProcess]:
        """Return the processes whose state was reported at `since` or later."""
        return [known for known in self._known.values() if known.reported_at >= since]

    def silent_since(self, since: float) -> list[str]:
        """Return the ids of the processes not known to be alive at `since` or later."""
        return [
            known.state.process
            for known in self._known.values()
            if known.last_alive_at < since
        ]

    def forget(self, processes: Iterable[str]) -> None:
        """Remove the entries of `processes`."""
        for process in processes:
            self._known.pop(process, None)
        self._owners_valid = False

    def next_shard_owners(self, since: float, limit: int) -> list[KnownProcess]:
        """Return at most `limit` shard owners that reported at `since` or later.

        If there are more than `limit`, successive calls rotate through all of them.
        """
        recent = [known for known in self.reported_since(since) if known.state.shards]
        if len(recent) <= limit:
            return recent
        start = self._next_start % len(recent)
        self._next_start = start + limit
        return (recent + recent)[start : start + limit]

    def owners(self, since: float) -> dict[str, ShardOwner]:
        """Return the owners that reported at `since` or later, by shard.

        A shard is left out if its owner with the highest epoch reported earlier.
        """
        return {
            shard: owner
            for shard, (owner, known) in self._merged_owners().items()
            if known.reported_at >= since
        }

    def owner(self, shard: str, since: float) -> ShardOwner | None:
        """Return the owner of `shard`, or None if it has not reported since `since`."""
        owner, known = self._merged_owners().get(shard, (None, None))
        return owner if known is not None and known.reported_at >= since else None

    def _merged_owners(self) -> dict[str, tuple[ShardOwner, KnownProcess]]:
        """Return the owner with the highest epoch for each shard, with its process."""
        if not self._owners_valid:
            self._owners = {}
            for known in self._known.values():
                self._add_owners(known)
            self._owners_valid = True
        return self._owners

    def _add_owners(self, known: KnownProcess) -> None:
        for shard in known.state.shards:
            current = self._owners.get(shard.shard)
            if current is None or current[0].epoch < shard.epoch:
                owner = decode_owner(known.state, shard)
                self._owners[shard.shard] = (owner, known)


def decode_owner(
    state: cell_pb2.ProcessState, shard: cell_pb2.ShardState
) -> ShardOwner:
    """Return the owner of `shard`, which is one of the shards in `state`."""
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
    """Return the message that describes the shard of `owner`."""
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


# The `reported_at` for an incoming call, which gives no bound on the age of its state.
NEVER_REPORTED = -math.inf
