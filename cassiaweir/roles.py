"""The roles of processes on an entry VM."""

from __future__ import annotations

from enum import StrEnum


class Role(StrEnum):
    """The role of a process; `ENTRY` is gateway and scheduler in one process."""

    GATEWAY = "gateway"
    SCHEDULER = "scheduler"
    ENTRY = "entry"

    @property
    def included_roles(self) -> frozenset[Role]:
        """All roles that a process with this role performs, itself included."""
        if self is Role.ENTRY:
            return frozenset(Role)
        return frozenset({self})
