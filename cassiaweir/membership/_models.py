"""What a process tells of itself when it joins."""

from __future__ import annotations

import msgspec

from cassiaweir.roles import Role

PROTOCOL_MAJOR = 1
PROTOCOL_MINOR = 0
MAJOR_SHIFT = 16
PROTOCOL_VERSION = PROTOCOL_MAJOR << MAJOR_SHIFT | PROTOCOL_MINOR


class Member(msgspec.Struct, frozen=True):
    """The row `member/<process>`.

    `refreshes` counts the writes of the row, so that each of them changes it.
    """

    process: str
    role: Role
    vm: str
    failure_domain: str
    address: str
    protocol_version: int = PROTOCOL_VERSION
    refreshes: int = 0


def is_compatible(protocol_version: int) -> bool:
    """Tell whether a peer that speaks `protocol_version` can be used."""
    return protocol_version >> MAJOR_SHIFT == PROTOCOL_MAJOR
