"""Divides the rows among the owners of the shards, and pages through them."""

from __future__ import annotations

from collections.abc import Sequence

from cassiaweir.fleet import rendezvous_rank
from cassiaweir.types import OwnedShards, Row, Table

AFTER_SLASH = chr(ord("/") + 1)
"""Sorts behind the slash, and so behind all keys of a group."""


class Division:
    """Tells which groups of rows this process cleans.

    A group is the first two segments of a key: one job, or the claims of one team.
    It belongs to the shard that wins by rendezvous hashing.  While a shard changes
    hands two processes, or none, may clean a group; both are harmless.
    """

    def __init__(self, shards: Sequence[str], owned: OwnedShards) -> None:
        self._shards = shards
        self._owned = owned
        self._mine: set[str] = set()

    def refresh(self) -> bool:
        """Learn which shards are owned now; return False where none is."""
        self._mine = {owner.shard for owner in self._owned.owned()}
        return bool(self._mine)

    def mine(self, group: str) -> bool:
        """Tell whether this process cleans `group`."""
        shard = max(self._shards, key=lambda name: rendezvous_rank(name, group))
        return shard in self._mine


def group_of(key: str) -> str:
    """Return the first two segments of `key`."""
    return "/".join(key.split("/")[:2])


class Pages:
    """Goes round and round through the rows under a prefix.

    `laps` counts how often the end was reached.
    """

    def __init__(self, table: Table, prefix: str, division: Division) -> None:
        self.laps = 0
        self._table = table
        self._prefix = prefix
        self._division = division
        self._after = ""

    async def next(self, limit: int) -> list[Row]:
        """Read the next `limit` rows and return those that this process cleans."""
        rows = await self._table.scan(self._prefix, after=self._after, limit=limit)
        if len(rows) < limit:
            self._after = ""
            self.laps += 1
        else:
            self._after = self._continue_after(rows[-1].key)
        return [row for row in rows if self._division.mine(group_of(row.key))]

    def _continue_after(self, key: str) -> str:
        """Return where the next page begins; the rest of another's group is skipped."""
        group = group_of(key)
        if group == key or self._division.mine(group):
            return key
        return group + AFTER_SLASH
