"""Prefers entry VMs with many cores as leader, since leading uses the most CPU."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

from cassiaweir.types import Clock

MIN_CORES_RATIO = 0.75
"""A VM with at least this fraction of another's cores is an equally good leader."""

WEAK_VM_TAKEOVER_DELAY = timedelta(milliseconds=200)
"""Weak VMs wait this long before a takeover, so that a strong one can do it first."""

LEADER_CHECK_INTERVAL = timedelta(milliseconds=120)
WEAK_VM_LEADER_CHECK_INTERVAL = timedelta(milliseconds=300)
"""Weak VMs check the leader less often, because there are many of them."""

HANDOVER_CHECK_INTERVAL = timedelta(seconds=1)
CHECKS_BEFORE_HANDOVER = 3
"""Consecutive successful checks that must precede a handover to a stronger VM."""


class EligibilityProbe(Protocol):
    """Asks other processes whether they are able to lead."""

    async def could_lead(self, address: str) -> bool:
        """Return whether the process at `address` answers and reaches the store."""


class PeerCores(Protocol):
    """Lists the CPU cores of the other entry VMs."""

    def cores_by_address(self) -> Mapping[str, float]:
        """Return the known core counts of the other VMs by peer address."""


class Candidacy:
    """Decides how eagerly this VM runs for leader, by comparing its cores with others.

    `cores` is the number of CPU cores of this VM.  While a VM with many more cores is
    registered, this VM counts as weak: it checks the leader less often, waits before it
    takes over, and as the leader hands over to the stronger VM.
    """

    def __init__(
        self, cores: float, peers: PeerCores, probe: EligibilityProbe, clock: Clock
    ) -> None:
        self._cores = cores
        self._peers = peers
        self._probe = probe
        self._clock = clock

    def takeover_delay(self) -> timedelta:
        """Return how long to wait before taking over the leadership."""
        return WEAK_VM_TAKEOVER_DELAY if self._stronger_vms() else timedelta(0)

    def leader_check_interval(self) -> timedelta:
        """Return the time between two checks of the leader."""
        return (
            WEAK_VM_LEADER_CHECK_INTERVAL
            if self._stronger_vms()
            else LEADER_CHECK_INTERVAL
        )

    async def wait_for_stronger_vm(self) -> str:
        """Wait until a much stronger VM is able to lead, and return its address.

        `CHECKS_BEFORE_HANDOVER` consecutive checks must have found such a VM, not
        necessarily the same one.
        """
        successes = 0
        while True:
            await self._clock.sleep(HANDOVER_CHECK_INTERVAL)
            address = await self._find_eligible_vm()
            successes = successes + 1 if address else 0
            if successes >= CHECKS_BEFORE_HANDOVER:
                return address

    async def _find_eligible_vm(self) -> str:
        for address in self._stronger_vms():
            if await self._probe.could_lead(address):
                return address
        return ""

    def _stronger_vms(self) -> list[str]:
        """Return the addresses of VMs with many more cores, those with most first."""
        cores = self._peers.cores_by_address()
        stronger = [
            address
            for address in cores
            if self._cores < MIN_CORES_RATIO * cores[address]
        ]
        return sorted(stronger, key=lambda address: -cores[address])
