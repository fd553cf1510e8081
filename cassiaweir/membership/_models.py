"""The row that a process writes when it joins, and the protocol version."""

from __future__ import annotations

import msgspec

from cassiaweir.roles import Role

PROTOCOL_MAJOR = 1
PROTOCOL_MINOR = 0
MAJOR_VERSION_SHIFT_BITS = 16
PROTOCOL_VERSION = PROTOCOL_MAJOR << MAJOR_VERSION_SHIFT_BITS | PROTOCOL_MINOR


class Member(msgspec.Struct, frozen=True):
    """The value of the row `member/<process>`.

    `refreshes` counts the writes of the row, so that each write changes its value.
    """

    process: str
    role: Role
    vm: str
    failure_domain: str
    address: str
    protocol_version: int = PROTOCOL_VERSION
    refreshes: int = 0


def is_compatible(protocol_version: int) -> bool:
    """Return whether `protocol_version` has the same major version as this process."""
    return protocol_version >> MAJOR_VERSION_SHIFT_BITS == PROTOCOL_MAJOR
