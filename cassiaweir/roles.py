"""The roles that a process can have."""

from __future__ import annotations

from enum import StrEnum


class Role(StrEnum):
    """What a process does."""

    GATEWAY = "gateway"
    SCHEDULER = "scheduler"
    ENTRY = "entry"

    @property
    def included_roles(self) -> frozenset[Role]:
        """The roles that a process of this role fulfils."""
        if self is Role.ENTRY:
            return frozenset(Role)
        return frozenset({self})
