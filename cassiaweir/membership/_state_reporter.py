"""The process states that a process sends: its own and those it forwards."""

from __future__ import annotations

from collections.abc import Sequence

from cassiaweir.configuration import TableView
from cassiaweir.membership._known_processes import KnownProcess, encode_owner
from cassiaweir.membership._models import Member
from cassiaweir.rpc import cell_pb2
from cassiaweir.rpc._peer import age_to_ms, seconds_to_ms
from cassiaweir.types import Clock, OwnedShards, ShardOwner


class NoShards:
    """Implements `OwnedShards` for a process that owns no shards."""

    def owned(self) -> Sequence[ShardOwner]:
        """Return an empty sequence."""
        return ()


class StateReporter:
    """Builds the states that a process sends in heartbeats.

    Each state of its own gets the next sequence number, so that receivers can tell
    the newest.
    """

    def __init__(
        self, member: Member, view: TableView, owned: OwnedShards, clock: Clock
    ) -> None:
        self._member = member
        self._view = view
        self._owned = owned
        self._clock = clock
        self._sequence = 0

    def own_state(self, *, leaving: bool) -> cell_pb2.ProcessState:
        """Return the current state of this process."""
        self._sequence += 1
        return cell_pb2.ProcessState(
            process=self._member.process,
            role=self._member.role,
            vm=self._member.vm,
            failure_domain=self._member.failure_domain,
            address=self._member.address,
            protocol_version=self._member.protocol_version,
            leaving=leaving,
            bundle_version=self._view.bundle_version,
            keys_version=self._view.keys_version,
            view_age_ms=age_to_ms(self._view.age()),
            shards=[encode_owner(owner) for owner in self._owned.owned()],
            sequence=self._sequence,
            table_unreachable=not self._view.table_reachable,
        )

    def forwarded_state(self, known: KnownProcess) -> cell_pb2.ProcessState:
        """Return a copy of the state of another process, with its current age."""
        state = cell_pb2.ProcessState()
        state.CopyFrom(known.state)
        state.age_ms = seconds_to_ms(self._clock.monotonic() - known.reported_at)
        return state
