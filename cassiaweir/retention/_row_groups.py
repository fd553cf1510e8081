"""Divides the rows among the owners of the shards, and scans them in pages."""

from __future__ import annotations

from collections.abc import Sequence

from cassiaweir.fleet import rendezvous_rank
from cassiaweir.types import OwnedShards, Row, Table

AFTER_SLASH = chr(ord("/") + 1)
"""The character after the slash; `group + AFTER_SLASH` sorts after all its keys."""


class GroupOwnership:
    """Decides which groups of rows this process cleans.

    A group is all rows whose keys have the same first two segments, such as one job
    or the claims of one team.  It belongs to the shard that wins by rendezvous
    hashing, and the owner of that shard cleans it.  While a shard changes its owner,
    two processes or none may clean a group.  Both are harmless, as a removal requires
    that the row is unchanged.
    """

    def __init__(self, shards: Sequence[str], owned: OwnedShards) -> None:
        self._shards = shards
        self._owned = owned
        self._owned_shards: set[str] = set()

    def refresh(self) -> bool:
        """Update the owned shards; return False if this process owns none."""
        self._owned_shards = {owner.shard for owner in self._owned.owned()}
        return bool(self._owned_shards)

    def owns(self, group: str) -> bool:
        """Return whether this process cleans `group`."""
        shard = max(self._shards, key=lambda name: rendezvous_rank(name, group))
        return shard in self._owned_shards


def group_of(key: str) -> str:
    """Return the group of `key`: its first two segments."""
    return "/".join(key.split("/")[:2])


class RowScanner:
    """Scans the rows under a prefix page by page, and starts again after the last.

    `completed_scans` counts how often the last row was reached.
    """

    def __init__(self, table: Table, prefix: str, ownership: GroupOwnership) -> None:
        self.completed_scans = 0
        self._table = table
        self._prefix = prefix
        self._ownership = ownership
        self._after = ""

    async def next(self, limit: int) -> list[Row]:
        """Read the next `limit` rows and return those that this process cleans.

        Raises `UnavailableError`.
        """
        rows = await self._table.scan(self._prefix, after=self._after, limit=limit)
        if len(rows) < limit:
            self._after = ""
            self.completed_scans += 1
        else:
            self._after = self._next_start(rows[-1].key)
        return [row for row in rows if self._ownership.owns(group_of(row.key))]

    def _next_start(self, key: str) -> str:
        """Return the key after which the next page begins, if this one ends at `key`.

        The remaining rows of a group that this process does not clean are skipped.
        """
        group = group_of(key)
        if group == key or self._ownership.owns(group):
            return key
        return group + AFTER_SLASH
