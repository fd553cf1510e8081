"""What operators ask of VMs and backend servers: drain, quarantine, open again."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Mapping
from datetime import timedelta

import msgspec

from cassiaweir.administration._fleet_messages import (
    VmConditionName,
)
from cassiaweir.configuration import AuditedTable, Operator, OperatorRole
from cassiaweir.configuration._rows import Counter, decode_counter, unchanged_check
from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.observe import EventLog
from cassiaweir.types import Clock, Row, Table, Vm, VmList, VmState, Write

VM_CONDITIONS = "vm/"
VMS_HEAD = "vms/head"
AUDIT_AREA = "vms"
MOST_RACES = 16


class VmConditionRow(msgspec.Struct, frozen=True):
    """The row `vm/<name>`; a VM without one is open."""

    condition: VmConditionName
    by: str
    reason: str = ""


class VmConditions:
    """Sets the conditions of VMs; each change raises `vms/head`."""

    def __init__(self, audited: AuditedTable) -> None:
        self._audited = audited
        self._table = audited.table

    async def all(self) -> dict[str, VmConditionRow]:
        """Return the conditions that were asked for, by VM."""
        return decode_conditions(await self._table.scan(VM_CONDITIONS))

    async def set(
        self, operator: Operator, vm: str, condition: VmConditionName, reason: str
    ) -> VmConditionRow:
        """Ask for `condition`; asking for the one in force changes nothing.

        Raises `ConflictError` naming the operator who changed the VM first.
        """
        operator.require(OperatorRole.ON_CALL)
        key = VM_CONDITIONS + vm
        before = (await self._table.read([key])).get(key)
        changed = VmConditionRow(condition, operator.name, reason)
        if _condition(before) is condition:
            return _decode(before) if before is not None else changed
        value = msgspec.json.encode(changed)
        write = Write(key, None if condition is VmConditionName.OPEN else value)
        for _race in range(MOST_RACES):
            rows = await self._table.read([key, VMS_HEAD])
            if unchanged_check(key, rows.get(key)) != unchanged_check(key, before):
                raise _lost_race(vm, rows.get(key))
            try:
                await self._commit(operator, vm, changed, before, rows, write)
            except ConflictError:
                continue
            return changed
        raise ConflictError(f"vm {vm}: other operators' changes came first; try again")

    async def _commit(
        self,
        operator: Operator,
        vm: str,
        changed: VmConditionRow,
        before: Row | None,
        rows: Mapping[str, Row],
        write: Write,
    ) -> None:
        head = rows.get(VMS_HEAD)
        version = decode_counter(head).version + 1
        await self._audited.commit(
            operator.name,
            f"set_{changed.condition}",
            [unchanged_check(write.key, before), unchanged_check(VMS_HEAD, head)],
            [write, Write(VMS_HEAD, msgspec.json.encode(Counter(version)))],
            area=AUDIT_AREA,
            version=version,
            detail=f"{vm} {changed.reason}".strip(),
        )


class AdministeredVmList:
    """Implements `VmList`: VMs that operators closed are shown as leaving.

    So the owner of a shard starts nothing more on such a worker, and no slot of such
    a backend server is granted, while what runs there goes on to its end.  While the
    table cannot be read the last known conditions stay.
    """

    def __init__(
        self,
        vm_list: VmList,
        table: Table,
        events: EventLog,
        clock: Clock,
        *,
        max_age: timedelta,
    ) -> None:
        self._vm_list = vm_list
        self._table = table
        self._events = events
        self._clock = clock
        self._max_age = max_age.total_seconds()
        self._conditions: dict[str, VmConditionRow] = {}
        self._version = 0
        self._asked_at = float("-inf")
        self._readable = True
        self._lock = asyncio.Lock()

    async def fetch(self) -> list[Vm]:
        """Return all VMs, or raise `UnavailableError`."""
        async with self._lock:
            if self._clock.monotonic() - self._asked_at >= self._max_age:
                self._asked_at = self._clock.monotonic()
                await self._refresh()
        vms = await self._vm_list.fetch()
        if not self._conditions:
            return vms
        return [self._administered(vm) for vm in vms]

    async def _refresh(self) -> None:
        """Load the conditions if their head has moved; keep them on an outage."""
        try:
            head = (await self._table.read([VMS_HEAD])).get(VMS_HEAD)
            version = decode_counter(head).version
            if version <= self._version:
                self._readable = True
                return
            found = decode_conditions(await self._table.scan(VM_CONDITIONS))
        except (UnavailableError, msgspec.MsgspecError) as exc:
            if self._readable:
                self._events.record("vm_conditions_unavailable", reason=str(exc))
            self._readable = False
            return
        self._readable = True
        self._version = version
        self._conditions = found
        self._events.record("vm_conditions_installed", version=version)

    def _administered(self, vm: Vm) -> Vm:
        if vm.name in self._conditions:
            return dataclasses.replace(vm, state=VmState.LEAVING)
        return vm


def decode_conditions(rows: list[Row]) -> dict[str, VmConditionRow]:
    """Return the conditions in `rows`, by VM."""
    return {row.key.removeprefix(VM_CONDITIONS): _decode(row) for row in rows}


def _decode(row: Row) -> VmConditionRow:
    return msgspec.json.decode(row.value, type=VmConditionRow)


def _condition(row: Row | None) -> VmConditionName:
    return _decode(row).condition if row is not None else VmConditionName.OPEN


def _lost_race(vm: str, row: Row | None) -> ConflictError:
    if row is None:
        return ConflictError(f"vm {vm}: another operator has opened it meanwhile")
    found = _decode(row)
    return ConflictError(f"vm {vm}: {found.by} has made it {found.condition} meanwhile")
