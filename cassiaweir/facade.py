"""All operations that operators may perform on a cell, in one class."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from cassiaweir.administration import (
    AuditInfo,
    AuditList,
    ConditionChange,
    IssuedCredential,
    IssuedKey,
    KeyInfo,
    KeyList,
    OperatorInfo,
    OperatorList,
    ProcessList,
    ProcessText,
    QueueList,
    ServiceList,
    ShardList,
    StatusReport,
    TeamList,
    VmConditionName,
    VmInfo,
    VmsReport,
    WithdrawnKey,
)
from cassiaweir.administration._bundles import BundleAdministration
from cassiaweir.administration._jobs import JobAdministration, JobStore
from cassiaweir.administration._operator_cache import OperatorCache
from cassiaweir.administration._processes import ProcessProbe
from cassiaweir.administration._selection import (
    EventFilter,
    count_refusals,
    select_events,
)
from cassiaweir.administration._teams import (
    ALLOTMENT_PREFIX,
    describe_queues,
    describe_services,
    describe_shard,
    describe_teams,
    describe_vms,
)
from cassiaweir.administration._vms import VmConditions
from cassiaweir.configuration import (
    AuditedTable,
    BundleRepository,
    Operator,
    OperatorRole,
    Operators,
    TableView,
)
from cassiaweir.configuration._rows import (
    BUNDLE_HEAD,
    KEYS_HEAD,
    decode_counter,
    decode_head,
)
from cassiaweir.exceptions import (
    InvalidInputError,
    NotFoundError,
    UnavailableError,
)
from cassiaweir.observe import Event
from cassiaweir.teams import KeyRegistry
from cassiaweir.types import Clock, ShardDirectory, Vm, VmList


class CollectedEvents(Protocol):
    """Merged events, and the names of the processes that returned none."""

    events: list[Event]
    silent: list[str]


class EventSource(Protocol):
    """Collects the events of all processes."""

    async def collect(self) -> CollectedEvents:
        """Return the recorded events of all processes, causes before their effects."""


@dataclass(frozen=True, slots=True)
class CellSources:
    """The sources that the state of a cell is read from.

    `vm_list` is the platform's list, without the conditions that operators set.
    `shard_of` returns the name of the shard of a VM.  `shard_names` are all shards of
    the cell, also those without an owner.
    """

    deployment: str
    view: TableView
    directory: ShardDirectory
    vm_list: VmList
    shard_of: Callable[[Vm], str]
    shard_names: Sequence[str]
    probe: ProcessProbe
    events: EventSource
    clock: Clock


class CellAdministration:
    """The operations that operators may perform; each change requires a role.

    Methods raise `UnavailableError` if the table does not answer.  Changes raise
    `RefusedError` if the operator lacks the role, and `ConflictError`, which names the
    other operator, if their change came first.
    """

    def __init__(
        self,
        sources: CellSources,
        audited: AuditedTable,
        jobs: JobStore,
        *,
        first_operator_digest: str = "",
    ) -> None:
        self._sources = sources
        self._audited = audited
        self._operators = Operators(audited, first_operator_digest)
        self.operator_cache = OperatorCache(self._operators, sources.clock)
        self._keys = KeyRegistry(audited, sources.clock)
        self._conditions = VmConditions(audited)
        self.jobs = JobAdministration(jobs, sources.view, audited)
        self.bundles = BundleAdministration(
            BundleRepository(audited), self.jobs, sources.directory, sources.probe
        )

    async def authenticate(self, secret: str, *, reading: bool) -> Operator:
        """Return the operator whose credential is `secret`.

        While the table is down, operators are authenticated from a copy, for reading
        only; `reading` is whether the call changes nothing.
        """
        return await self.operator_cache.authenticate(secret, reading=reading)

    async def operators(self) -> OperatorList:
        """Return all operators."""
        rows = await self._operators.list()
        return OperatorList(
            operators=[
                OperatorInfo(name=row.name, roles=[str(role) for role in row.roles])
                for row in rows
            ]
        )

    async def add_operator(
        self, by: Operator, name: str, roles: Sequence[str]
    ) -> IssuedCredential:
        """Add an operator and return their credential, which cannot be read again."""
        wanted = [_parse_role(role) for role in roles]
        secret = await self._operators.add(by, name, wanted)
        return IssuedCredential(name=name, roles=list(roles), credential=secret)

    async def remove_operator(self, by: Operator, name: str) -> OperatorList:
        """Remove an operator and return the remaining ones."""
        await self._operators.remove(by, name)
        return await self.operators()

    async def keys(self, team: str) -> KeyList:
        """Return the API keys of `team`, or of all teams if it is empty."""
        found = await self._keys.list(team)
        return KeyList(
            keys=[
                KeyInfo(
                    digest=key.digest,
                    team=key.team,
                    withdrawn=key.withdrawn,
                    granted_by=key.granted_by,
                    granted_at=key.granted_at,
                    last_use=key.last_use,
                )
                for key in found
            ]
        )

    async def grant_key(self, by: Operator, team: str) -> IssuedKey:
        """Create an API key of a team; its secret cannot be read again."""
        by.require(OperatorRole.ON_CALL)
        if self._sources.view.team(team) is None:
            raise NotFoundError(f"team {team} is not in the bundle in force")
        key = await self._keys.grant(by, team)
        return IssuedKey(team=key.team, digest=key.digest, secret=key.secret)

    async def withdraw_key(self, by: Operator, prefix: str) -> WithdrawnKey:
        """Withdraw the API key whose digest starts with `prefix`."""
        return WithdrawnKey(digest=await self._keys.withdraw(by, prefix))

    async def teams(self) -> TeamList:
        """Return the teams in force, with what the shards may run for them."""
        view = self._sources.view
        allotments = await self._audited.table.scan(ALLOTMENT_PREFIX)
        keys = await self._keys.list()
        return describe_teams(view.bundle, view.bundle_version, allotments, keys)

    def queues(self) -> QueueList:
        """Return the queues in force."""
        view = self._sources.view
        return describe_queues(view.bundle, view.bundle_version)

    async def services(self) -> ServiceList:
        """Return the services in force, with their backend servers counted."""
        view = self._sources.view
        vms = await self._sources.vm_list.fetch()
        return describe_services(view.bundle, view.bundle_version, vms)

    async def vms(self) -> VmsReport:
        """Return the VMs of the platform, with the conditions set by operators."""
        vms = await self._sources.vm_list.fetch()
        return describe_vms(vms, await self._conditions.all(), self._sources.shard_of)

    async def set_vm_condition(
        self, by: Operator, name: str, change: ConditionChange
    ) -> VmInfo:
        """Set the condition of a VM or backend server and return it.

        Raises `NotFoundError` if it is not in the platform's list.  Opening is done
        even then, so that no condition is left of a VM that has gone.
        """
        by.require(OperatorRole.ON_CALL)
        listed = {vm.name: vm for vm in await self._sources.vm_list.fetch()}
        if name not in listed and change.condition is not VmConditionName.OPEN:
            raise NotFoundError(f"vm {name} is not in the platform's list")
        row = await self._conditions.set(by, name, change.condition, change.reason)
        if name not in listed:
            raise NotFoundError(
                f"vm {name} is now open, but it is not in the platform's list"
            )
        conditions = {name: row}
        return describe_vms([listed[name]], conditions, self._sources.shard_of).vms[0]

    def shards(self) -> ShardList:
        """Return every shard of the cell, with its owner if one is known."""
        sources = self._sources
        owners = [(name, sources.directory.owner(name)) for name in sources.shard_names]
        return ShardList(shards=[describe_shard(*item) for item in owners])

    async def processes(self) -> ProcessList:
        """Return every process with the versions that it has in force.

        The newest versions are read from the table before the processes are asked.  So
        a process that has them has every change that was made before the call.  While
        the table is down the newest versions are unknown and therefore null.
        """
        try:
            rows = await self._audited.table.read([BUNDLE_HEAD, KEYS_HEAD])
        except UnavailableError:
            return ProcessList(processes=await self._sources.probe.fetch_versions())
        return ProcessList(
            bundle_version=decode_head(rows.get(BUNDLE_HEAD)).version,
            keys_version=decode_counter(rows.get(KEYS_HEAD)).version,
            processes=await self._sources.probe.fetch_versions(),
        )

    async def fetch_texts(self, name: str, process: str) -> list[ProcessText]:
        """Return the text `metrics` or `state` of one process, or of all.

        An empty `process` stands for all processes.
        """
        return await self._sources.probe.fetch_texts(name, process)

    async def audit(self, *, area: str, operator: str, limit: int) -> AuditList:
        """Return the newest `limit` entries of the audit log, the oldest first."""
        entries = await self._audited.entries(f"{area}/" if area else "")
        wanted = [entry for entry in entries if operator in ("", entry.operator)]
        newest = sorted(wanted, key=lambda entry: entry.at)[-limit:]
        return AuditList(
            entries=[
                msgspec.convert(entry, AuditInfo, from_attributes=True)
                for entry in newest
            ]
        )

    async def timeline(
        self, event_filter: EventFilter
    ) -> tuple[list[Event], list[str]]:
        """Return the selected events, and the processes that returned no events."""
        collected = await self._sources.events.collect()
        return select_events(collected.events, event_filter), collected.silent

    async def status(self) -> StatusReport:
        """Return an overview of the cell; without teams while the table is down."""
        view = self._sources.view
        processes = await self._sources.probe.fetch_versions()
        metrics = await self._sources.probe.fetch_texts("metrics")
        try:
            teams = (await self.teams()).teams
        except UnavailableError:
            teams = []
        return StatusReport(
            at=self._sources.clock.now(),
            deployment=self._sources.deployment,
            table_reachable=view.table_reachable,
            bundle_version=view.bundle_version,
            bundle_digest=view.bundle.digest() if view.bundle_version else "",
            keys_version=view.keys_version,
            processes=processes,
            shards=self.shards().shards,
            teams=teams,
            refusals=count_refusals([item.text for item in metrics]),
        )


def _parse_role(name: str) -> OperatorRole:
    try:
        return OperatorRole(name)
    except ValueError as exc:
        known = ", ".join(OperatorRole)
        raise InvalidInputError(f"role {name}: expected one of {known}") from exc
