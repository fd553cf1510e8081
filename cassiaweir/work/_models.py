"""Models of a submitted job and of the rows that store it."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cassiaweir.types import JobKind, Resources, Urgency

MAX_TASKS = 10_000
MAX_CPU_MILLIS = 1_024_000
MAX_MEMORY_MB = 16_777_216
MAX_ACCELERATORS = 64
MAX_PAYLOAD_CHARS = 4_096
MAX_DECLARED_SECONDS = 30 * 86_400
MAX_ATTEMPTS = 20
DEFAULT_ATTEMPTS = 5

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class TaskSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The resources that each task of a job declares.

    `cpu_millis` is in thousandths of a core.
    """

    cpu_millis: Annotated[int, msgspec.Meta(ge=1, le=MAX_CPU_MILLIS)]
    memory_mb: Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_MB)]
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0

    def resources(self) -> Resources:
        """Convert the size to `Resources`."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as the caller submits it; all tasks of a job are alike.

    `job` is a name that the caller chooses: submitting the same job again under it
    changes nothing.  `declared_seconds` is the expected run time of a task, or 0 for
    services.
    """

    job: Name
    queue: Name
    kind: JobKind
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    size: TaskSize
    urgency: Urgency = Urgency.NORMAL
    declared_seconds: Annotated[float, msgspec.Meta(ge=0, le=MAX_DECLARED_SECONDS)] = 0
    payload: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_CHARS)] = ""
    attempts: Annotated[int, msgspec.Meta(ge=1, le=MAX_ATTEMPTS)] = DEFAULT_ATTEMPTS


class JobRow(msgspec.Struct, frozen=True):
    """The row `job/<job>`: a committed job and the shards that hold its parts.

    Times are in seconds since 1970, by the clock of the VM that recorded them.
    `finished_at` is 0 until some time after the last part has ended.
    """

    job: str
    team: str
    spec: JobSpec
    submitted_at: float
    shards: list[str]
    cancelled: bool = False
    finished_at: float = 0


class PartRow(msgspec.Struct, frozen=True):
    """The row `part/<shard>/<job>`: tasks `first` to `first + count - 1` of a job.

    `succeeded` and `failed` hold half-open ranges of task indexes: the first index
    belongs to the range and the second does not.  `tried` maps the index of each open
    task with failed attempts to the number of failures and the number of the last
    attempt that ended.
    """

    job: str
    team: str
    spec: JobSpec
    submitted_at: float
    first: int
    count: int
    succeeded: list[tuple[int, int]] = []
    failed: list[tuple[int, int]] = []
    tried: dict[int, tuple[int, int]] = {}
    cancelled: bool = False
