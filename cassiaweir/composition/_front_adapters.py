"""Small adapters between the parts of an entry VM's process."""

from __future__ import annotations

from collections.abc import Sequence

from cassiaweir.dispatch import Advice
from cassiaweir.exceptions import UnavailableError
from cassiaweir.feeds import TableWatch
from cassiaweir.front import FrontServer
from cassiaweir.leadership import Owner
from cassiaweir.peers import MEMBERS_PREFIX, Members, PeerClient, registered_instance
from cassiaweir.verdict import Verdict


class UnavailableAdvisor:
    """Implements `Advisor` on a platform without an advice service."""

    async def advise(
        self, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Raise `UnavailableError` in every case."""
        raise UnavailableError("no advice service", verdict=Verdict.NOT_RUN)


class PeerAdvisors:
    """Calls the advice service through the other entry VMs."""

    def __init__(self, members: Members, client: PeerClient) -> None:
        self._members = members
        self._client = client

    def addresses(self) -> Sequence[str]:
        """Return the addresses of the other entry VMs."""
        return self._members.addresses()

    async def advise(
        self, address: str, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Return the advice that the entry VM at `address` obtains."""
        return await self._client.advise(address, step, server_ids, timeout_s)


class DrainOnStop:
    """Keeps the front serving until the balancer sends no more connections.

    It is the last component and is therefore stopped first.
    """

    def __init__(self, front: FrontServer) -> None:
        self._front = front

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Fail readiness checks and wait until the balancer has noticed."""
        await self._front.drain()


class FormerLeaderCheck:
    """Checks in the member rows whether a former leader's process was replaced."""

    def __init__(self, watch: TableWatch) -> None:
        self._watch = watch

    def was_replaced(self, owner: Owner) -> bool:
        """Return whether another process now runs on the VM that `owner` led from."""
        row = self._watch.rows.get(f"{MEMBERS_PREFIX}{owner.node}")
        instance = None if row is None else registered_instance(row)
        return instance is not None and instance != owner.instance
