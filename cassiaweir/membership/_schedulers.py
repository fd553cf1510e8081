"""What shard ownership needs to know about the other schedulers of the cell."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

from cassiaweir.membership._known_processes import KnownProcess
from cassiaweir.membership._models import Member, Role
from cassiaweir.membership._peers import Peers
from cassiaweir.types import Clock

SCHEDULER_ROLES = {role for role in Role if Role.SCHEDULER in role.included_roles}
LIVENESS_TIMEOUT = timedelta(seconds=5)


class SchedulerPeers:
    """Implements the queries of shard ownership about schedulers on top of `Peers`.

    `member` describes this process.
    """

    def __init__(self, member: Member, peers: Peers, clock: Clock) -> None:
        self._member = member
        self._peers = peers
        self._clock = clock
        self._first_asked_at: dict[str, float] = {}

    def schedulers(self, failure_domain: str) -> Sequence[str]:
        """Return the ids of the live schedulers of a failure domain, ours included.

        A scheduler that is leaving or cannot reach the table is left out: it cannot
        take over a shard, so a shard released in its favour would have no owner.
        """
        live = [
            known.state.process
            for known in self._known_schedulers()
            if known.state.failure_domain == failure_domain
            and self._can_take_shards(known)
        ]
        if self._member.failure_domain == failure_domain:
            live.append(self._member.process)
        return live

    def highest_epoch(self, shard: str) -> int:
        """Return the highest epoch of `shard` in any known state, or 0."""
        return max(
            (
                owned.epoch
                for known in self._known_schedulers()
                for owned in known.state.shards
                if owned.shard == shard
            ),
            default=0,
        )

    def is_replaced(self, process: str, address: str) -> bool:
        """Return whether a process other than `process` now listens at `address`.

        Two processes cannot listen at one address, so `process` has then ended.  Only
        states reported after the first call with this `process` count: an older state
        may come from a process that listened there before `process` started.
        """
        if self._member.address == address:
            return self._member.process != process
        first_asked_at = self._first_asked_at.setdefault(
            process, self._clock.monotonic()
        )
        return any(
            known.state.address == address and known.state.process != process
            for known in self._known_schedulers()
            if known.reported_at > first_asked_at
        )

    def _known_schedulers(self) -> list[KnownProcess]:
        return [
            known
            for known in self._peers.processes()
            if known.state.role in SCHEDULER_ROLES
        ]

    def _can_take_shards(self, known: KnownProcess) -> bool:
        state = known.state
        available = not state.leaving and not state.table_unreachable
        return available and self._is_live(known)

    def _is_live(self, known: KnownProcess) -> bool:
        return self._peers.alive_within(known.state.process, LIVENESS_TIMEOUT)
