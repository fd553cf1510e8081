"""The rows that the leader has to store, in the order in which they are sent."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass

from cassiaweir.store import MAX_BYTES, TransactionSize
from cassiaweir.types import Write

MAX_URGENT_FIRST = 64
"""Urgent rows that go before the others in one transaction."""

MAX_URGENT_FIRST_BYTES = MAX_BYTES // 2
"""The same in encoded bytes, so that large urgent rows leave room as well."""


@dataclass(frozen=True, slots=True)
class QueuedWrite:
    """A queued write, with its position after those of the writes that it replaces."""

    positions: tuple[int, ...]
    write: Write


class WriteQueue:
    """Holds at most one write of each row.

    A write that replaces a queued one takes over its place, so that a row is stored in
    its turn however often it is written again.  A removal goes to the end, behind all
    that it may rest on.  Urgent writes go before the others, up to `MAX_URGENT_FIRST`
    and `MAX_URGENT_FIRST_BYTES`, or one that is larger, in each transaction.
    """

    def __init__(self) -> None:
        self._urgent: dict[str, QueuedWrite] = {}
        self._others: dict[str, QueuedWrite] = {}
        self.last_position = 0

    def __len__(self) -> int:
        """Return the number of queued rows."""
        return len(self._urgent) + len(self._others)

    def __contains__(self, key: str) -> bool:
        """Return whether a write of the row `key` is queued."""
        return key in self._urgent or key in self._others

    def put(self, write: Write, *, urgent: bool = False) -> int:
        """Queue `write` and return its position, which counts all writes."""
        self.last_position += 1
        queued = self._urgent.get(write.key) or self._others.get(write.key)
        replaced = () if queued is None else queued.positions
        lane = self._lane_of(write, urgent)
        if write.key not in lane or write.value is None:
            self._urgent.pop(write.key, None)
            self._others.pop(write.key, None)
        lane[write.key] = QueuedWrite((*replaced, self.last_position), write)
        return self.last_position

    def _lane_of(self, write: Write, urgent: bool) -> dict[str, QueuedWrite]:
        stays_urgent = urgent or write.key in self._urgent
        return (
            self._urgent if stays_urgent and write.value is not None else self._others
        )

    def take(self) -> list[QueuedWrite]:
        """Remove and return the writes of the next transaction."""
        taken: list[QueuedWrite] = []
        size = TransactionSize()
        for queued in self._in_order():
            size = size + TransactionSize.of((), [queued.write])
            if taken and not size.fits:
                break
            taken.append(queued)
        for queued in taken:
            self._urgent.pop(queued.write.key, None)
            self._others.pop(queued.write.key, None)
        return taken

    def _in_order(self) -> Iterator[QueuedWrite]:
        urgent = self._urgent.values()
        first = self._count_first()
        return itertools.chain(
            itertools.islice(urgent, first),
            self._others.values(),
            itertools.islice(urgent, first, None),
        )

    def _count_first(self) -> int:
        """Return how many urgent writes go before the others."""
        size = TransactionSize()
        first = 0
        for queued in itertools.islice(self._urgent.values(), MAX_URGENT_FIRST):
            size = size + TransactionSize.of((), [queued.write])
            if first and size.encoded_bytes > MAX_URGENT_FIRST_BYTES:
                break
            first += 1
        return first

    @property
    def complete_position(self) -> int:
        """The last position before which, itself included, nothing is queued."""
        queued = itertools.chain(self._urgent.values(), self._others.values())
        first = min((each.positions[0] for each in queued), default=None)
        return self.last_position if first is None else first - 1
