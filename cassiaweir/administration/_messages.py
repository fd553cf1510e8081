"""The bases of the messages of the administration API, and what several of them hold.

Amounts are in thousandths of a processor, megabytes and accelerators; times are
ISO 8601 in UTC; durations are seconds, null where unknown.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from cassiaweir.types import Resources

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Comment = Annotated[str, msgspec.Meta(max_length=1_000)]
LARGEST_FILE_CHARACTERS = 1_000_000


class Message(msgspec.Struct, kw_only=True):
    """An answer; readers of later versions ignore members that they do not know."""


class Change(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What an operator sends; an unknown member is refused."""


class Amount(Message):
    """Processors, memory and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of(cls, size: Resources) -> Amount:
        """Return the message for `size`."""
        return cls(
            cpu_millis=size.cpu_millis,
            memory_mb=size.memory_mb,
            accelerators=size.accelerators,
        )
