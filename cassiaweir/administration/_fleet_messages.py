"""Messages about VMs, shards and processes."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from cassiaweir.administration._messages import (
    Amount,
    Comment,
    RequestMessage,
    ResponseMessage,
)


class VmConditionName(StrEnum):
    """The condition that an operator sets for a VM or a backend server."""

    OPEN = "open"
    DRAINED = "drained"
    QUARANTINED = "quarantined"


class ConditionChange(RequestMessage):
    """A request to set a condition; `reason` is written to the audit log."""

    condition: VmConditionName
    reason: Comment = ""


class VmInfo(ResponseMessage):
    """A VM in the platform's list, and the condition that an operator set for it.

    `by` is the operator who set the condition, or empty.  `shard` is empty for an
    entry VM.  `service` and `slots` are those of a backend server.
    """

    name: str
    role: str
    failure_domain: str
    rack: str
    shard: str
    state: str
    condition: VmConditionName
    by: str
    service: str
    slots: int
    capacity: Amount


class VmsReport(ResponseMessage):
    """VMs, in the order of their names."""

    vms: list[VmInfo]


class ShardInfo(ResponseMessage):
    """A shard and the scheduler process that owns it.

    If no owner is known, `process` is empty and `epoch` and the amounts are 0.
    """

    shard: str
    failure_domain: str
    process: str = ""
    epoch: int = 0
    capacity: Amount = msgspec.field(default_factory=Amount)
    free: Amount = msgspec.field(default_factory=Amount)
    queued_tasks: int = 0
    running_tasks: int = 0


class ShardList(ResponseMessage):
    """The shards of the cell."""

    shards: list[ShardInfo]


class ProcessInfo(ResponseMessage):
    """A process of the cell and the versions of bundle and keys that it has in force.

    If it did not answer, the versions are 0.  `view_age_seconds` is the time since
    these versions were last known to be the newest, null if unknown.
    """

    process: str
    role: str
    vm: str
    failure_domain: str
    answered: bool
    bundle_version: int = 0
    keys_version: int = 0
    view_age_seconds: float | None = None


class ProcessList(ResponseMessage):
    """The processes of the cell.

    `bundle_version` and `keys_version` are the newest in the table, and null while the
    table cannot be read.
    """

    processes: list[ProcessInfo]
    bundle_version: int | None = None
    keys_version: int | None = None


class ProcessText(ResponseMessage):
    """A text that a process returned, such as its metrics; empty without an answer."""

    process: str
    answered: bool
    text: str = ""
