"""Removes bundle versions that were superseded long ago."""

from __future__ import annotations

from cassiaweir.configuration import (
    BUNDLE_HEAD,
    BUNDLE_LAST,
    BUNDLE_VERSION_PREFIX,
    decode_counter,
    decode_head,
    version_key,
)
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.retention._division import Division
from cassiaweir.retention._removal import remove_unchanged
from cassiaweir.retention._terms import RetentionTerms
from cassiaweir.types import Check, Table

KIND = "bundle"


class BundleRule:
    """Removes versions below the head and beyond the count that is kept.

    No version below the head can come in force any more: a roll-out requires that the
    head is the version it was made from.  A revert copies what it read.
    """

    def __init__(
        self,
        table: Table,
        division: Division,
        terms: RetentionTerms,
        *,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._division = division
        self._terms = terms
        self._events = events
        self._metrics = metrics

    async def turn(self, removals: int) -> None:
        """Remove at most `removals` versions, oldest first; raises `UnavailableError`.

        Each is removed only while the head is the one that was read.
        """
        if not self._division.mine(BUNDLE_VERSION_PREFIX):
            return
        heads = await self._table.read([BUNDLE_HEAD, BUNDLE_LAST])
        if BUNDLE_HEAD not in heads:
            return
        head = decode_head(heads[BUNDLE_HEAD]).version
        last = decode_counter(heads.get(BUNDLE_LAST)).version
        end = version_key(max(0, min(head, last - self._terms.bundles + 1)))
        check = Check(BUNDLE_HEAD, heads[BUNDLE_HEAD].version)
        for row in await self._table.scan(BUNDLE_VERSION_PREFIX, limit=removals):
            if row.key >= end or not await remove_unchanged(
                self._table, [row], [check], self._metrics, kind=KIND
            ):
                return
            self._events.record("bundle_removed", row.key)
