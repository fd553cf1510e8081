"""Messages about VMs, shards and processes."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from cassiaweir.administration._messages import Amount, Change, Comment, Message


class VmConditionName(StrEnum):
    """What an operator asks of a VM or a backend server."""

    OPEN = "open"
    DRAINED = "drained"
    QUARANTINED = "quarantined"


class ConditionChange(Change):
    """Asks for a condition; `reason` is kept in the audit record."""

    condition: VmConditionName
    reason: Comment = ""


class VmInfo(Message):
    """A VM of the platform's list and what operators asked of it."""

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


class VmsReport(Message):
    """VMs, by name."""

    vms: list[VmInfo]


class ShardInfo(Message):
    """A shard and its owner; an empty `process` says that none is known."""

    shard: str
    failure_domain: str
    process: str = ""
    epoch: int = 0
    capacity: Amount = msgspec.field(default_factory=Amount)
    free: Amount = msgspec.field(default_factory=Amount)
    queued_tasks: int = 0
    running_tasks: int = 0


class ShardList(Message):
    """The shards of the cell."""

    shards: list[ShardInfo]


class ProcessInfo(Message):
    """A process of the cell; the versions are 0 where it did not answer."""

    process: str
    role: str
    vm: str
    failure_domain: str
    answered: bool
    bundle_version: int = 0
    keys_version: int = 0
    view_age_seconds: float | None = None


class ProcessList(Message):
    """The processes of the cell.

    The versions are the newest in the table, null while it cannot be read.
    """

    processes: list[ProcessInfo]
    bundle_version: int | None = None
    keys_version: int | None = None


class ProcessText(Message):
    """A text that a process gave of itself."""

    process: str
    answered: bool
    text: str = ""
