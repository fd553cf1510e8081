"""The protocol of the platform's list of VMs, and the entries of that list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from cassiaweir.types._values import NO_RESOURCES, Resources


class VmState(StrEnum):
    """The state of a VM according to the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(StrEnum):
    """The purpose of a VM in the platform's list."""

    WORKER = "worker"
    BACKEND = "backend"
    ENTRY = "entry"


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry of the platform's VM list.

    `incarnation` changes when the platform replaces a VM under the same name.
    `service` names the service of a backend server and is empty for other VMs.
    `slots` is the number of requests that a backend server takes at once.
    """

    name: str
    role: VmRole
    address: str
    failure_domain: str
    rack: str
    incarnation: str
    state: VmState
    capacity: Resources = NO_RESOURCES
    service: str = ""
    slots: int = 0


class VmList(Protocol):
    """The platform's list of VMs, which may lag behind their actual state."""

    async def fetch(self) -> list[Vm]:
        """Return all VMs, or raise `UnavailableError`."""
