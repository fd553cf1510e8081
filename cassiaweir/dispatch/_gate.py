"""Holds back tasks that a former leader may have started on unreachable servers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cassiaweir.dispatch._leases import LEASE_S, max_duration_s
from cassiaweir.dispatch._server_records import FormerTasks
from cassiaweir.leadership import LEADERSHIP_VALIDITY, Owner
from cassiaweir.types import Resources

MAX_FORMER_LEASE_S = max_duration_s(LEASE_S)
"""Time on this leader's clock after which the leases of a former leader have expired.

Where the row of a server allows `SUSPECT_LEASE_S`, it takes that much longer.
"""


def former_authority_end(former: Owner | None, now: float) -> float:
    """Return the time until which earlier leaders may still give orders.

    A leader that has released its leadership gives no more orders.  If its takeover was
    also settled, the leaders before it give none either, so the result is `now`.
    Otherwise one of them may have confirmed its leadership just before `now`.
    """
    if former is not None and former.released and former.settled:
        return now
    return now + LEADERSHIP_VALIDITY.total_seconds()


class TakeoverGate:
    """Opens once no server can still start or run tasks for a former leader.

    `former_tasks` are those that may have been started, by server id.  While the gate
    is closed, it holds back the tasks that may be on a server that is not settled.

    A server is settled once it has answered in the new epoch, or another lifetime has
    answered at its address.  A refused connection or a missing entry proves nothing: a
    cut may refuse connections to live servers and keep their entries from the store.
    The gate opens when all servers are settled, or when the last lease that a former
    leader can have given to an unreachable server has expired.  That lease is counted
    from `former_authority_end`, the end of the former leader's authority, which is
    brought forward to now when its process is known to be gone.
    """

    def __init__(
        self, former_tasks: Mapping[str, FormerTasks], *, former_authority_end: float
    ) -> None:
        self._unsettled = dict(former_tasks)
        self._former_authority_end = former_authority_end
        self._open = not self._unsettled
        self._holds_all = False
        self._held_tasks: frozenset[str] = frozenset()
        self._held_indexes: dict[str, frozenset[int]] = {}
        self._update_held()

    @property
    def is_open(self) -> bool:
        """Whether tasks that a former leader may have started may be started."""
        return self._open

    @property
    def unsettled_servers(self) -> frozenset[str]:
        """The ids of the servers that are not settled."""
        return frozenset(self._unsettled)

    @property
    def named_tasks(self) -> frozenset[str]:
        """The tasks that restricted rows of unsettled servers name."""
        return frozenset() if self._open else self._held_tasks

    @property
    def open_servers(self) -> frozenset[str]:
        """The unsettled servers on which any task of a former leader may run."""
        if self._open:
            return frozenset()
        return frozenset(
            server_id
            for server_id, tasks in self._unsettled.items()
            if tasks.names is None
        )

    def may_run_on(self, server_id: str) -> bool:
        """Return whether a server may still run what a former leader has started."""
        return not self._open and server_id in self._unsettled

    def capacity_of(self, server_id: str) -> Resources | None:
        """Return the capacity in the row of an unsettled server, None if unknown."""
        former = self._unsettled.get(server_id)
        return None if former is None else former.capacity

    def mark_settled(self, server_id: str) -> None:
        """Record that a server starts nothing more for a former leader."""
        if self._unsettled.pop(server_id, None) is not None:
            self._update_held()

    def settle_former_lifetimes(self, address: str, server_id: str) -> frozenset[str]:
        """Settle the other servers at `address`, as `server_id` answers there now.

        Return the ids of the servers that this settled.
        """
        found = frozenset(
            each
            for each, tasks in self._unsettled.items()
            if address and tasks.address == address and each != server_id
        )
        for each in found:
            self.mark_settled(each)
        return found

    def address_of(self, server_id: str) -> str:
        """Return the address of an unsettled server, empty if it is not known."""
        former = self._unsettled.get(server_id)
        return "" if former is None else former.address

    def holds(self, task: str) -> bool:
        """Return whether a former leader may have started this task somewhere."""
        if self._open:
            return False
        return self._holds_all or task in self._held_tasks

    def named_indexes(self, step_name: str) -> frozenset[int]:
        """Return the indexes of the tasks of a step that restricted rows name."""
        if self._open:
            return frozenset()
        return self._held_indexes.get(step_name, frozenset())

    @property
    def holds_all(self) -> bool:
        """Whether any task may have been started somewhere by a former leader."""
        return self._holds_all and not self._open

    def handle_former_leader_exit(self, now: float) -> None:
        """End the former leader's authority, as its process no longer exists."""
        self._former_authority_end = min(self._former_authority_end, now)

    def try_open(self, confirmed_at: float) -> bool:
        """Open the gate if nothing is left to wait for.

        `confirmed_at` is when this leadership was last confirmed.  Leases that expired
        later may have been prolonged by a successor.  Return whether this call opened
        the gate.
        """
        if self._open:
            return False
        leases_end = self._former_authority_end + self._max_former_lease_s()
        self._open = not self._unsettled or confirmed_at >= leases_end
        return self._open

    def _max_former_lease_s(self) -> float:
        """Return how long leases at the unsettled servers last at most."""
        longest_s = max((each.lease_s for each in self._unsettled.values()), default=0)
        return max(MAX_FORMER_LEASE_S, max_duration_s(longest_s))

    def _update_held(self) -> None:
        named = [each.names for each in self._unsettled.values() if each.names]
        self._holds_all = any(each.names is None for each in self._unsettled.values())
        self._held_tasks = frozenset().union(*named)
        self._held_indexes = _indexes_by_step(self._held_tasks)


def _indexes_by_step(names: Iterable[str]) -> dict[str, frozenset[int]]:
    """Return the indexes of tasks by the names of their steps."""
    found: dict[str, set[int]] = {}
    for name in names:
        step_name, _, index = name.rpartition(".")
        if index.isdecimal():
            found.setdefault(step_name, set()).add(int(index))
    return {step_name: frozenset(indexes) for step_name, indexes in found.items()}
