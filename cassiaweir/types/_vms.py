"""The platform's list of VMs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from cassiaweir.types._values import NO_RESOURCES, Resources


class VmState(StrEnum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(StrEnum):
    """What a VM in the platform's list is for."""

    WORKER = "worker"
    BACKEND = "backend"
    ENTRY = "entry"


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry of the platform's lagging VM list.

    `incarnation` changes when the platform replaces a VM under the same name.
    `service` names the service of a backend server and is empty otherwise.
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
    """The platform's list of VMs, which may lag behind the truth."""

    async def fetch(self) -> list[Vm]:
        """Return all VMs, or raise `UnavailableError`."""
