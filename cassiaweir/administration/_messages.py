"""Base classes and common field types of the messages of the administration API.

Resource amounts are in thousandths of a CPU core, megabytes of memory and a number of
accelerators.  Times are in UTC in ISO 8601 format.  Durations are in seconds, and null
if unknown.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from cassiaweir.types import Resources

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Comment = Annotated[str, msgspec.Meta(max_length=1_000)]
MAX_FILE_CHARACTERS = 1_000_000


class ResponseMessage(msgspec.Struct, kw_only=True):
    """The base of responses; a client ignores fields that it does not know.

    So a server of a later version may add fields.
    """


class RequestMessage(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The base of what an operator sends; an unknown field is refused."""


class Amount(ResponseMessage):
    """An amount of CPU, memory and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of(cls, size: Resources) -> Amount:
        """Return the message that holds the resources `size`."""
        return cls(
            cpu_millis=size.cpu_millis,
            memory_mb=size.memory_mb,
            accelerators=size.accelerators,
        )
