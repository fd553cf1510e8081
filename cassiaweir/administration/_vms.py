"""Conditions that operators set for VMs and backend servers.

A VM is open, drained or quarantined.
"""

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

VM_CONDITION_PREFIX = "vm/"
VMS_HEAD_KEY = "vms/head"
AUDIT_AREA = "vms"
MAX_COMMIT_ATTEMPTS = 16


class VmConditionRow(msgspec.Struct, frozen=True):
    """The row `vm/<name>`: its condition and who set it; a VM without one is open."""

    condition: VmConditionName
    by: str
    reason: str = ""


class VmConditions:
    """Sets the conditions of VMs.

    Each change raises the version in the row `vms/head`, so that readers notice it.
    """

    def __init__(self, audited: AuditedTable) -> None:
        self._audited = audited
        self._table = audited.table

    async def all(self) -> dict[str, VmConditionRow]:
        """Return the conditions that operators have set, by VM name."""
        return decode_conditions(await self._table.scan(VM_CONDITION_PREFIX))

    async def set(
        self, operator: Operator, vm: str, condition: VmConditionName, reason: str
    ) -> VmConditionRow:
        """Set the condition of `vm`; if it already has this one, nothing is written.

        Raises `ConflictError` if another operator changes this VM first.  Commits that
        fail because another VM was changed are repeated, up to `MAX_COMMIT_ATTEMPTS`
        in all; then `ConflictError` is raised as well.
        """
        operator.require(OperatorRole.ON_CALL)
        key = VM_CONDITION_PREFIX + vm
        before = (await self._table.read([key])).get(key)
        changed = VmConditionRow(condition, operator.name, reason)
        if _condition_of(before) is condition:
            return _decode_condition(before) if before is not None else changed
        value = msgspec.json.encode(changed)
        write = Write(key, None if condition is VmConditionName.OPEN else value)
        for _attempt in range(MAX_COMMIT_ATTEMPTS):
            rows = await self._table.read([key, VMS_HEAD_KEY])
            if unchanged_check(key, rows.get(key)) != unchanged_check(key, before):
                raise _concurrent_change_error(vm, rows.get(key))
            try:
                await self._commit(operator, vm, changed, before, rows, write)
            except ConflictError:
                continue
            return changed
        raise ConflictError(
            f"vm {vm}: not changed, as other changes came first in all "
            f"{MAX_COMMIT_ATTEMPTS} attempts; try again"
        )

    async def _commit(
        self,
        operator: Operator,
        vm: str,
        changed: VmConditionRow,
        before: Row | None,
        rows: Mapping[str, Row],
        write: Write,
    ) -> None:
        head = rows.get(VMS_HEAD_KEY)
        version = decode_counter(head).version + 1
        await self._audited.commit(
            operator.name,
            f"set_{changed.condition}",
            [unchanged_check(write.key, before), unchanged_check(VMS_HEAD_KEY, head)],
            [write, Write(VMS_HEAD_KEY, msgspec.json.encode(Counter(version)))],
            area=AUDIT_AREA,
            version=version,
            detail=f"{vm} {changed.reason}".strip(),
        )


class AdministeredVmList:
    """Implements `VmList`: drained and quarantined VMs are returned as leaving.

    So the owner of a shard starts no more tasks on such a worker and grants no more
    slots of such a backend server, while what runs there is left to finish.  While the
    table cannot be read, the last known conditions apply.

    The conditions are read again `max_age` after the last attempt to read them.
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
        self._last_attempt_at = float("-inf")
        self._readable = True
        self._lock = asyncio.Lock()

    async def fetch(self) -> list[Vm]:
        """Return all VMs, or raise `UnavailableError` if the list cannot be read."""
        async with self._lock:
            if self._clock.monotonic() - self._last_attempt_at >= self._max_age:
                self._last_attempt_at = self._clock.monotonic()
                await self._refresh()
        vms = await self._vm_list.fetch()
        if not self._conditions:
            return vms
        return [self._apply_condition(vm) for vm in vms]

    async def _refresh(self) -> None:
        """Load the conditions if their version has risen; keep them if this fails."""
        try:
            head = (await self._table.read([VMS_HEAD_KEY])).get(VMS_HEAD_KEY)
            version = decode_counter(head).version
            if version <= self._version:
                self._readable = True
                return
            found = decode_conditions(await self._table.scan(VM_CONDITION_PREFIX))
        except (UnavailableError, msgspec.MsgspecError) as exc:
            if self._readable:
                self._events.record("vm_conditions_unavailable", reason=str(exc))
            self._readable = False
            return
        self._readable = True
        self._version = version
        self._conditions = found
        self._events.record("vm_conditions_installed", version=version)

    def _apply_condition(self, vm: Vm) -> Vm:
        if vm.name in self._conditions:
            return dataclasses.replace(vm, state=VmState.LEAVING)
        return vm


def decode_conditions(rows: list[Row]) -> dict[str, VmConditionRow]:
    """Return the conditions in `rows`, by VM name."""
    return {
        row.key.removeprefix(VM_CONDITION_PREFIX): _decode_condition(row)
        for row in rows
    }


def _decode_condition(row: Row) -> VmConditionRow:
    return msgspec.json.decode(row.value, type=VmConditionRow)


def _condition_of(row: Row | None) -> VmConditionName:
    return _decode_condition(row).condition if row is not None else VmConditionName.OPEN


def _concurrent_change_error(vm: str, row: Row | None) -> ConflictError:
    if row is None:
        return ConflictError(f"vm {vm}: another operator has opened it in the meantime")
    found = _decode_condition(row)
    return ConflictError(
        f"vm {vm}: {found.by} has made it {found.condition} in the meantime"
    )
