"""Shared value types, and the protocols of what lies outside the process."""

from cassiaweir.types._cell import (
    CellView,
    OwnedShards,
    Queue,
    ShardDirectory,
    ShardOwner,
    Team,
)
from cassiaweir.types._feed import Changes, Feed, Snapshot
from cassiaweir.types._number_bounds import (
    MAX_DURATION_S,
    MAX_UNIX_S,
    bound_fields,
    bounded_float,
    bounded_int,
)
from cassiaweir.types._store import (
    Check,
    ObjectStore,
    Row,
    Table,
    Write,
)
from cassiaweir.types._values import (
    NO_RESOURCES,
    Clock,
    JobKind,
    Resources,
    Urgency,
)
from cassiaweir.types._vms import (
    Vm,
    VmList,
    VmRole,
    VmState,
)
from cassiaweir.types._workers import (
    Command,
    TaskId,
    TaskReport,
    TaskStart,
    TaskState,
    WatchableWorker,
    Worker,
    WorkerReport,
    Workers,
)

__all__ = [
    "MAX_DURATION_S",
    "MAX_UNIX_S",
    "NO_RESOURCES",
    "CellView",
    "Changes",
    "Check",
    "Clock",
    "Command",
    "Feed",
    "JobKind",
    "ObjectStore",
    "OwnedShards",
    "Queue",
    "Resources",
    "Row",
    "ShardDirectory",
    "ShardOwner",
    "Snapshot",
    "Table",
    "TaskId",
    "TaskReport",
    "TaskStart",
    "TaskState",
    "Team",
    "Urgency",
    "Vm",
    "VmList",
    "VmRole",
    "VmState",
    "WatchableWorker",
    "Worker",
    "WorkerReport",
    "Workers",
    "Write",
    "bound_fields",
    "bounded_float",
    "bounded_int",
]
