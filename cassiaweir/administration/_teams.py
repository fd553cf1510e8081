"""Builds the messages on teams, queues, services, VMs and shards.

They combine the bundle in force with the state of the cell.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from cassiaweir.administration._access_messages import (
    QueueInfo,
    QueueList,
    ServiceInfo,
    ServiceList,
    TeamInfo,
    TeamList,
)
from cassiaweir.administration._fleet_messages import (
    ShardInfo,
    VmConditionName,
    VmInfo,
    VmsReport,
)
from cassiaweir.administration._messages import (
    Amount,
)
from cassiaweir.administration._vms import VmConditionRow
from cassiaweir.configuration import Bundle
from cassiaweir.teams import AllotmentRow, ListedKey
from cassiaweir.types import Resources, Row, ShardOwner, Vm, VmRole

ALLOTMENT_PREFIX = "allot/"


def describe_teams(
    bundle: Bundle, version: int, allotments: Iterable[Row], keys: Iterable[ListedKey]
) -> TeamList:
    """Return the teams, with what the shards may run for them at present."""
    allotted = {
        row.key.removeprefix(ALLOTMENT_PREFIX): _sum_allotment(row)
        for row in allotments
    }
    active_keys = Counter(key.team for key in keys if not key.withdrawn)
    teams = []
    for entry in bundle.team:
        team = entry.team()
        teams.append(
            TeamInfo(
                name=team.name,
                share=team.share,
                limit=Amount.of(team.limit),
                allotted=Amount.of(allotted.get(team.name, Resources())),
                keys=active_keys[team.name],
            )
        )
    return TeamList(bundle_version=version, teams=teams)


def describe_queues(bundle: Bundle, version: int) -> QueueList:
    """Return the queues, with the services that accept requests from them."""
    queues = []
    for entry in bundle.queue:
        services = [
            service.name for service in bundle.service if entry.name in service.queues()
        ]
        queues.append(
            QueueInfo(
                name=entry.name,
                open=entry.open,
                team=entry.team or "",
                services=services,
            )
        )
    return QueueList(bundle_version=version, queues=queues)


def describe_services(bundle: Bundle, version: int, vms: Sequence[Vm]) -> ServiceList:
    """Return the services, with the number and slots of their servers in `vms`."""
    services = []
    for entry in bundle.service:
        servers = [vm for vm in vms if vm.service == entry.name]
        services.append(
            ServiceInfo(
                name=entry.name,
                queues=list(entry.queues()),
                servers=len(servers),
                slots=sum(vm.slots for vm in servers),
            )
        )
    return ServiceList(bundle_version=version, services=services)


def describe_vms(
    vms: Iterable[Vm],
    conditions: Mapping[str, VmConditionRow],
    shard_of: Callable[[Vm], str],
) -> VmsReport:
    """Return the VMs in the order of names, with the conditions set by operators."""
    found = [_describe_vm(vm, conditions.get(vm.name), shard_of) for vm in vms]
    return VmsReport(vms=sorted(found, key=lambda item: item.name))


def describe_shard(name: str, owner: ShardOwner | None) -> ShardInfo:
    """Return a shard with its owner, or without one if `owner` is None."""
    if owner is None:
        return ShardInfo(shard=name, failure_domain=name.rpartition("-")[0])
    return ShardInfo(
        shard=name,
        failure_domain=name.rpartition("-")[0],
        process=owner.process,
        epoch=owner.epoch,
        capacity=Amount.of(owner.capacity),
        free=Amount.of(owner.free),
        queued_tasks=owner.queued_tasks,
        running_tasks=owner.running_tasks,
    )


def _describe_vm(
    vm: Vm, condition_row: VmConditionRow | None, shard_of: Callable[[Vm], str]
) -> VmInfo:
    is_entry = vm.role is VmRole.ENTRY
    return VmInfo(
        name=vm.name,
        role=vm.role,
        failure_domain=vm.failure_domain,
        rack=vm.rack,
        shard="" if is_entry else shard_of(vm),
        state=vm.state,
        condition=condition_row.condition if condition_row else VmConditionName.OPEN,
        by=condition_row.by if condition_row else "",
        service=vm.service,
        slots=vm.slots,
        capacity=Amount.of(vm.capacity),
    )


def _sum_allotment(row: Row) -> Resources:
    """Return the sum of what all shards may run for the team of the row."""
    total = Resources()
    for amount in msgspec.json.decode(row.value, type=AllotmentRow).amounts.values():
        total = total + Resources(
            amount.cpu_millis, amount.memory_mb, amount.accelerators
        )
    return total
