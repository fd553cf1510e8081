"""The schedulers of the cell, as a candidate for the ownership of shards sees them."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

from cassiaweir.membership._known_processes import KnownProcess
from cassiaweir.membership._models import Member, Role
from cassiaweir.membership._peers import Peers
from cassiaweir.types import Clock

SCHEDULER_ROLES = {role for role in Role if Role.SCHEDULER in role.included_roles}
LIVE_WITHIN = timedelta(seconds=5)


class SchedulerPeers:
    """Answers what shard ownership asks about other schedulers.

    `member` is this process itself.
    """

    def __init__(self, member: Member, peers: Peers, clock: Clock) -> None:
        self._member = member
        self._peers = peers
        self._clock = clock
        self._asked_at: dict[str, float] = {}

    def schedulers(self, failure_domain: str) -> Sequence[str]:
        """Return the live schedulers of a failure domain, this one included.

        One that cannot reach the table cannot take a shard over, so it is left out:
        a shard given up for its sake would have no owner at all.
        """
        live = [
            known.state.process
            for known in self._known_schedulers()
            if known.state.failure_domain == failure_domain and self._usable(known)
        ]
        if self._member.failure_domain == failure_domain:
            live.append(self._member.process)
        return live

    def highest_epoch(self, shard: str) -> int:
        """Return the highest epoch of `shard` that any process told of, or 0."""
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
        """Tell whether another process than `process` answers at `address`.

        Two processes cannot listen on one address, so `process` has ended.  The
        other one must have answered after this was first asked: what is heard late
        of a process that listened there before `process` proves nothing.
        """
        if self._member.address == address:
            return self._member.process != process
        asked_at = self._asked_at.setdefault(process, self._clock.monotonic())
        return any(
            known.state.address == address and known.state.process != process
            for known in self._known_schedulers()
            if known.made_at > asked_at
        )

    def _known_schedulers(self) -> list[KnownProcess]:
        return [
            known
            for known in self._peers.processes()
            if known.state.role in SCHEDULER_ROLES
        ]

    def _usable(self, known: KnownProcess) -> bool:
        state = known.state
        able = not state.leaving and not state.table_unreachable
        return able and self._heard(known)

    def _heard(self, known: KnownProcess) -> bool:
        return self._peers.alive_within(known.state.process, LIVE_WITHIN)
