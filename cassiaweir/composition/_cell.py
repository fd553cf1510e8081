"""Wires the administration of the cell, which the admin API of a gateway offers."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from cassiaweir.administration._processes import ProcessAddress, ProcessProbe
from cassiaweir.composition._common import CommonComponents
from cassiaweir.configuration import AuditedTable
from cassiaweir.exceptions import UnavailableError
from cassiaweir.facade import CellAdministration, CellSources
from cassiaweir.membership import EventCollector, Member
from cassiaweir.membership._rows import MEMBER_KEY_PREFIX
from cassiaweir.work import JobManager


def build_cell(common: CommonComponents, jobs: JobManager) -> CellAdministration:
    """Return the facade for administering the cell that this process belongs to."""
    settings = common.settings

    async def list_processes() -> list[ProcessAddress]:
        return await _list_processes(common)

    async def list_addresses() -> dict[str, str]:
        return {item.process: item.address for item in await _list_processes(common)}

    sources = CellSources(
        deployment=settings.vm_deployment,
        view=common.view,
        directory=common.peers,
        vm_list=common.platform_vm_list,
        shard_of=common.shard_of,
        shard_names=common.shard_names(),
        probe=ProcessProbe(list_processes, common.channels),
        events=EventCollector(list_addresses, common.channels, common.events),
        clock=common.clock,
    )
    return CellAdministration(
        sources,
        AuditedTable(common.table, common.clock),
        jobs,
        first_operator_digest=settings.cell_first_operator_digest,
    )


async def _list_processes(common: CommonComponents) -> list[ProcessAddress]:
    """Return the processes known from member rows or heartbeats, and this process.

    The member rows are read from the table on each call, because the rows read earlier
    lack a process that has just started.  Those are used only if the read fails.
    Processes that are leaving are omitted if known from heartbeats alone.
    """
    members: Sequence[Member]
    try:
        rows = await common.table.scan(MEMBER_KEY_PREFIX)
        members = [msgspec.json.decode(row.value, type=Member) for row in rows]
    except (UnavailableError, msgspec.MsgspecError):
        members = common.rows.members()
    found = {
        known.state.process: ProcessAddress(
            known.state.process,
            known.state.role,
            known.state.vm,
            known.state.failure_domain,
            known.state.address,
        )
        for known in common.peers.processes()
        if not known.state.leaving
    }
    found.update({item.process: _address(item) for item in (*members, common.member)})
    return list(found.values())


def _address(member: Member) -> ProcessAddress:
    return ProcessAddress(
        member.process, member.role, member.vm, member.failure_domain, member.address
    )
