"""The messages of the administration API.

Amounts are in thousandths of a processor, megabytes and accelerators; times are
ISO 8601 in UTC; durations are seconds, null where unknown.
"""

from __future__ import annotations

from datetime import datetime
from enum import StrEnum
from typing import Annotated

import msgspec

from cassiaweir.types import Resources

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Comment = Annotated[str, msgspec.Meta(max_length=1_000)]
LARGEST_FILE_CHARACTERS = 1_000_000


class _Message(msgspec.Struct, kw_only=True):
    """An answer; readers of later versions ignore members that they do not know."""


class _Change(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What an operator sends; an unknown member is refused."""


class Amount(_Message):
    """Processors, memory and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of(cls, size: Resources) -> Amount:
        """Return the message for `size`."""
        return cls(
            cpu_millis=size.cpu_millis,
            memory_mb=size.memory_mb,
            accelerators=size.accelerators,
        )


class NewOperator(_Change):
    """Asks for an operator with these roles."""

    name: Name
    roles: Annotated[list[str], msgspec.Meta(min_length=1, max_length=8)]


class OperatorInfo(_Message):
    """An operator."""

    name: str
    roles: list[str]


class OperatorList(_Message):
    """All operators, by name."""

    operators: list[OperatorInfo]


class IssuedCredential(_Message):
    """A new operator's credential, which is shown this once."""

    name: str
    roles: list[str]
    credential: str


class KeyGrant(_Change):
    """Asks for a key of a team."""

    team: Name


class IssuedKey(_Message):
    """A new key, whose secret is shown this once."""

    team: str
    digest: str
    secret: str


class KeyInfo(_Message):
    """A key as operators see it; `last_use` is null where none was noted."""

    digest: str
    team: str
    withdrawn: bool
    granted_by: str
    granted_at: str
    last_use: datetime | None = None


class KeyList(_Message):
    """Keys, by digest."""

    keys: list[KeyInfo]


class WithdrawnKey(_Message):
    """The digest of a key that is withdrawn."""

    digest: str


class TeamInfo(_Message):
    """A team in force; `allotted` is what the shards may run for it now."""

    name: str
    share: int
    limit: Amount
    allotted: Amount
    keys: int


class TeamList(_Message):
    """The teams of the bundle in force."""

    bundle_version: int
    teams: list[TeamInfo]


class QueueInfo(_Message):
    """A queue in force and the services that it admits requests to."""

    name: str
    open: bool
    team: str
    services: list[str]


class QueueList(_Message):
    """The queues of the bundle in force."""

    bundle_version: int
    queues: list[QueueInfo]


class ServiceInfo(_Message):
    """A service in force; the first of its queues is the default."""

    name: str
    queues: list[str]
    servers: int
    slots: int


class ServiceList(_Message):
    """The services of the bundle in force."""

    bundle_version: int
    services: list[ServiceInfo]


class VmConditionName(StrEnum):
    """What an operator asks of a VM or a backend server."""

    OPEN = "open"
    DRAINED = "drained"
    QUARANTINED = "quarantined"


class ConditionChange(_Change):
    """Asks for a condition; `reason` is kept in the audit record."""

    condition: VmConditionName
    reason: Comment = ""


class VmInfo(_Message):
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


class VmsReport(_Message):
    """VMs, by name."""

    vms: list[VmInfo]


class JobInfo(_Message):
    """A job as it was submitted."""

    job: str
    team: str
    queue: str
    kind: str
    urgency: str
    tasks: int
    size: Amount
    submitted_at: datetime
    shards: list[str]
    cancelled: bool


class JobList(_Message):
    """A page of jobs by name; `after` asks for the next one, or is empty."""

    jobs: list[JobInfo]
    after: str = ""


class JobPart(_Message):
    """The part of a job in one shard; `answered` is false where its owner is silent."""

    shard: str
    answered: bool
    finished: bool
    queued: int = 0
    running: int = 0
    succeeded: int = 0
    failed: int = 0
    waiting_reason: str = ""


class JobDetail(_Message):
    """A job, its parts, and why it waits, one sentence an entry."""

    job: JobInfo
    finished: bool
    parts: list[JobPart]
    waiting: list[str] = []


class CancelSelector(_Change):
    """Selects the jobs of `team` whose names start with `prefix`.

    At least one of the two is given.
    """

    team: str = ""
    prefix: str = ""


class CancelledJobs(_Message):
    """The jobs that are cancelled now, and those that could not be."""

    cancelled: list[str]
    failed: list[str]


class ShardInfo(_Message):
    """A shard and its owner; an empty `process` says that none is known."""

    shard: str
    failure_domain: str
    process: str = ""
    epoch: int = 0
    capacity: Amount = msgspec.field(default_factory=Amount)
    free: Amount = msgspec.field(default_factory=Amount)
    queued_tasks: int = 0
    running_tasks: int = 0


class ShardList(_Message):
    """The shards of the cell."""

    shards: list[ShardInfo]


class ProcessInfo(_Message):
    """A process of the cell; the versions are 0 where it did not answer."""

    process: str
    role: str
    vm: str
    failure_domain: str
    answered: bool
    bundle_version: int = 0
    keys_version: int = 0
    view_age_seconds: float | None = None


class ProcessList(_Message):
    """The processes of the cell.

    The versions are the newest in the table, null while it cannot be read.
    """

    processes: list[ProcessInfo]
    bundle_version: int | None = None
    keys_version: int | None = None


class ProcessText(_Message):
    """A text that a process gave of itself."""

    process: str
    answered: bool
    text: str = ""


class AuditInfo(_Message):
    """A change that took effect."""

    at: str
    operator: str
    action: str
    area: str
    version: int
    digest: str = ""
    detail: str = ""
    outcome: str = "done"


class AuditList(_Message):
    """The newest changes, oldest first."""

    entries: list[AuditInfo]


class BundleFile(_Change):
    """One TOML file of a bundle."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
    text: Annotated[str, msgspec.Meta(max_length=LARGEST_FILE_CHARACTERS)]


class BundleDraft(_Change):
    """The TOML files of a bundle."""

    files: Annotated[list[BundleFile], msgspec.Meta(min_length=1, max_length=64)]


class BundleInfo(_Message):
    """A version of the bundle without its content."""

    version: int
    base: int
    digest: str
    author: str
    state: str
    approved_by: str = ""
    rolled_out_by: str = ""
    reverts_to: int = 0
    in_force: bool = False


class BundleList(_Message):
    """Versions of the bundle, lowest first."""

    bundles: list[BundleInfo]


class ProposeChange(_Change):
    """Asks for review of the content with `digest`."""

    digest: Digest


class ReviewChange(_Change):
    """Approves or rejects the content with `digest`."""

    digest: Digest
    approve: bool
    comment: Comment = ""


class RolloutChange(_Change):
    """Puts a version in force; `confirm` accepts the findings of its check."""

    digest: Digest
    confirm: bool = False


class RevertChange(_Change):
    """Puts earlier content in force in place of version `head`, and of no other.

    `confirm` accepts the findings of its check.
    """

    head: Annotated[int, msgspec.Meta(ge=1)]
    confirm: bool = False


class FindingKind(StrEnum):
    """What a check of a bundle against the cell may find."""

    LIMIT_BELOW_RUNNING = "limit_below_running"
    TEAM_REMOVED_WITH_WORK = "team_removed_with_work"
    EXCEEDS_CELL = "exceeds_cell"
    UNKNOWN_LOAD = "unknown_load"


class Finding(_Message):
    """One thing that roll-out would bring about and that asks for confirmation."""

    kind: FindingKind
    subject: str
    detail: str


class CheckReport(_Message):
    """What a bundle would change and what of it asks for confirmation."""

    digest: str
    base: int
    changes: list[str]
    findings: list[Finding]


class BundleStatus(_Message):
    """The version in force and which processes have it."""

    version: int
    digest: str
    operator: str
    complete: bool
    behind: list[str]
    silent: list[str]
    processes: list[ProcessInfo]


class TimelineReport(_Message):
    """Merged events as text or for a trace viewer, and who gave none."""

    lines: list[str]
    silent: list[str]


class StatusReport(_Message):
    """The cell on one screen; `refusals` counts by reason in the answering gateway."""

    at: datetime
    deployment: str
    table_reachable: bool
    bundle_version: int
    bundle_digest: str
    keys_version: int
    processes: list[ProcessInfo]
    shards: list[ShardInfo]
    teams: list[TeamInfo]
    refusals: dict[str, int] = {}
