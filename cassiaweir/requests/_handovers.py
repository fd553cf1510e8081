"""Tracks when the grants made by earlier owners of a shard are accounted for."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cassiaweir.types import Clock

FIRST_EPOCH = 1
MIN_HANDOVER_SECONDS = 6.0
"""Minimum wait before reports alone complete a handover.

It exceeds the time for which a new gateway may be missing from the list of gateways.
"""


@dataclass(slots=True)
class _Handover:
    """The handover of one shard to this owner, at `epoch`.

    All leases of earlier owners have ended at `leases_ended_at`.  From
    `reports_suffice_at` on, reports of all gateways complete the handover earlier.
    Both are in seconds of the monotonic clock.
    """

    epoch: int
    leases_ended_at: float
    reports_suffice_at: float
    reported_gateways: set[str] = field(default_factory=set)


class ShardHandovers:
    """Tracks the handovers of an owner's shards.

    Grants of a shard's earlier owners may still be in use when this owner takes over.
    A handover is complete `max_lease_seconds` after the takeover, or earlier if all
    gateways listed within that period have reported the slots that they hold.
    """

    def __init__(self, clock: Clock, max_lease_seconds: float) -> None:
        self._clock = clock
        self._max_lease_seconds = max_lease_seconds
        self._handovers: dict[str, _Handover] = {}
        self._last_listed: dict[str, float] = {}
        self._gateways_known = False

    def set_owned(self, owned: Mapping[str, int]) -> set[str]:
        """Set the owned shards with their epochs.

        Returns the shards that were taken over or given up since the last call.
        """
        now = self._clock.monotonic()
        changed = self._handovers.keys() - owned.keys()
        for shard in changed:
            del self._handovers[shard]
        for shard, epoch in owned.items():
            handover = self._handovers.get(shard)
            if handover is None or handover.epoch != epoch:
                self._handovers[shard] = self._begin_handover(epoch, now)
                changed.add(shard)
        return changed

    def _begin_handover(self, epoch: int, now: float) -> _Handover:
        # The first owner of a shard has no predecessor whose grants could be in use.
        wait_seconds = 0.0 if epoch <= FIRST_EPOCH else self._max_lease_seconds
        return _Handover(
            epoch,
            leases_ended_at=now + wait_seconds,
            reports_suffice_at=now + MIN_HANDOVER_SECONDS,
        )

    def set_gateways(self, gateways: Iterable[str] | None) -> None:
        """Set the gateways that are listed now, or None if the list is unknown.

        A gateway that is no longer listed is remembered for the maximum lease time, as
        it may still hold slots.
        """
        now = self._clock.monotonic()
        self._gateways_known = gateways is not None
        for gateway in gateways or ():
            self._last_listed[gateway] = now
        oldest_relevant = now - self._max_lease_seconds
        for gateway in [
            name
            for name, listed_at in self._last_listed.items()
            if listed_at < oldest_relevant
        ]:
            del self._last_listed[gateway]

    def record_report(self, gateway: str) -> None:
        """Record that `gateway` reported its held slots of all shards owned now."""
        for handover in self._handovers.values():
            handover.reported_gateways.add(gateway)

    def is_complete(self, shard: str) -> bool:
        """Return whether no unreported grant of an earlier owner is in use."""
        handover = self._handovers[shard]
        now = self._clock.monotonic()
        if now >= handover.leases_ended_at:
            return True
        if not self._gateways_known or now < handover.reports_suffice_at:
            return False
        return self._last_listed.keys() <= handover.reported_gateways
