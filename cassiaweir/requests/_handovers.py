"""Tells when the grants of a shard's earlier owners have certainly ended."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cassiaweir.types import Clock

FIRST_EPOCH = 1
EARLY_SECONDS = 6.0
"""Longer than a new member may be missing from the list of gateways."""


@dataclass(slots=True)
class _Shard:
    """A shard owned at `epoch`, and the gateways that told what they hold there."""

    epoch: int
    settles_at: float
    early_at: float
    told: set[str] = field(default_factory=set)


class ShardHandovers:
    """Follows the shards of an owner from their takeover on.

    `longest_lease` is in seconds.  A shard settles when that has passed, or earlier
    when all gateways listed within that time have told what they hold.
    """

    def __init__(self, clock: Clock, longest_lease: float) -> None:
        self._clock = clock
        self._longest_lease = longest_lease
        self._shards: dict[str, _Shard] = {}
        self._gateways: dict[str, float] = {}
        self._gateways_known = False

    def set_owned(self, owned: Mapping[str, int]) -> set[str]:
        """Note the epochs of the shards owned; return those taken over or given up."""
        now = self._clock.monotonic()
        changed = self._shards.keys() - owned.keys()
        for shard in changed:
            del self._shards[shard]
        for shard, epoch in owned.items():
            known = self._shards.get(shard)
            if known is None or known.epoch != epoch:
                self._shards[shard] = self._take_over(epoch, now)
                changed.add(shard)
        return changed

    def _take_over(self, epoch: int, now: float) -> _Shard:
        # The first owner of a shard has no earlier one to wait for.
        wait = 0.0 if epoch <= FIRST_EPOCH else self._longest_lease
        return _Shard(epoch, settles_at=now + wait, early_at=now + EARLY_SECONDS)

    def set_gateways(self, gateways: Iterable[str] | None) -> None:
        """Note the gateways listed now, or None where they are not known.

        One that is no longer listed may still hold slots for the longest lease.
        """
        now = self._clock.monotonic()
        self._gateways_known = gateways is not None
        for gateway in gateways or ():
            self._gateways[gateway] = now
        oldest = now - self._longest_lease
        for gateway in [g for g, seen in self._gateways.items() if seen < oldest]:
            del self._gateways[gateway]

    def record_report(self, gateway: str) -> None:
        """Note that `gateway` has told what it holds in all shards owned now."""
        for shard in self._shards.values():
            shard.told.add(gateway)

    def settled(self, name: str) -> bool:
        """Tell whether no unknown grant is in use in the shard `name`."""
        shard = self._shards[name]
        now = self._clock.monotonic()
        if now >= shard.settles_at:
            return True
        if not self._gateways_known or now < shard.early_at:
            return False
        return self._gateways.keys() <= shard.told
