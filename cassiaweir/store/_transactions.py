"""The limits that the table sets for one transaction, kept by all that send some."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cassiaweir.types import Check, Write

MAX_ENTRIES = 100
"""Checks and writes, removals included, that one transaction may hold."""

MAX_BYTES = 1_000_000
"""Limit of an encoded transaction."""

MAX_ROW_BYTES = 65_536
"""Limit of the value of one row."""

ENTRY_OVERHEAD_BYTES = 64
"""Field names and punctuation around an encoded entry, rounded up."""

RESERVED_ENTRIES = 4
"""Left free for rows that a sender adds to each transaction, such as its guard row."""


@dataclass(frozen=True, slots=True)
class TransactionSize:
    """The entries of a transaction and an upper bound of its encoded bytes."""

    entries: int = 0
    encoded_bytes: int = 0

    @classmethod
    def of(cls, checks: Iterable[Check], writes: Iterable[Write]) -> TransactionSize:
        """Return the size of a transaction with these checks and writes."""
        size = cls()
        for check in checks:
            size = size + cls(1, _entry_bytes(check.key))
        for write in writes:
            size = size + cls(1, _entry_bytes(write.key, write.value or b""))
        return size

    def __add__(self, other: TransactionSize) -> TransactionSize:
        return TransactionSize(
            self.entries + other.entries, self.encoded_bytes + other.encoded_bytes
        )

    @property
    def fits(self) -> bool:
        """Whether a transaction of this size is accepted, with room for a few rows."""
        enough_entries = self.entries <= MAX_ENTRIES - RESERVED_ENTRIES
        return enough_entries and self.encoded_bytes <= MAX_BYTES


def _entry_bytes(key: str, value: bytes = b"") -> int:
    """Return a bound of an encoded entry; values are sent as base64."""
    encoded_value = (len(value) + 2) // 3 * 4
    return len(key.encode()) + encoded_value + ENTRY_OVERHEAD_BYTES
