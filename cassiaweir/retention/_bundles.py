"""Removes superseded bundle versions beyond the number that is kept."""

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
from cassiaweir.retention._options import RetentionOptions
from cassiaweir.retention._removal import remove_unchanged
from cassiaweir.retention._row_groups import GroupOwnership
from cassiaweir.types import Check, Table

METRIC_KIND = "bundle"
"""The value of the label `kind` in the retention metrics."""


class BundleRule:
    """Removes bundle versions that are below the head and not among the newest.

    `RetentionOptions.bundles` is the number of newest versions that are kept.  The
    head is the version in force.  A version below it can never be rolled out again: a
    roll-out requires that the head still is the version that the new one is based on.
    A revert does not need the old row either, as it writes a copy of what it read.
    """

    def __init__(
        self,
        table: Table,
        ownership: GroupOwnership,
        options: RetentionOptions,
        *,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._ownership = ownership
        self._options = options
        self._events = events
        self._metrics = metrics

    async def clean_batch(self, max_removals: int) -> None:
        """Remove at most `max_removals` versions, oldest first.

        Each removal is conditional on the head being unchanged since it was read.
        Raises `UnavailableError`.
        """
        if not self._ownership.owns(BUNDLE_VERSION_PREFIX):
            return
        heads = await self._table.read([BUNDLE_HEAD, BUNDLE_LAST])
        if BUNDLE_HEAD not in heads:
            return
        head = decode_head(heads[BUNDLE_HEAD]).version
        last = decode_counter(heads.get(BUNDLE_LAST)).version
        end = version_key(max(0, min(head, last - self._options.bundles + 1)))
        check = Check(BUNDLE_HEAD, heads[BUNDLE_HEAD].version)
        for row in await self._table.scan(BUNDLE_VERSION_PREFIX, limit=max_removals):
            if row.key >= end or not await remove_unchanged(
                self._table, [row], [check], self._metrics, kind=METRIC_KIND
            ):
                return
            self._events.record("bundle_removed", row.key)
