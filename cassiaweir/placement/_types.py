"""The values that go into and come out of a planner."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from cassiaweir.types import JobKind, Resources, TaskId, TaskState, Urgency


class VmCondition(StrEnum):
    """Whether a VM takes new tasks; on probation it takes one at a time."""

    OPEN = "open"
    PROBATION = "probation"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class VmOffer:
    """A worker VM as the planner sees it."""

    name: str
    failure_domain: str
    rack: str
    capacity: Resources


@dataclass(frozen=True, slots=True)
class TaskGroup:
    """Tasks of one job with equal demand, bound to this shard.

    `submitted_at` is in seconds of the planner's clock and may be negative after a
    takeover.  `declared_seconds` is 0 for services.
    """

    job: str
    team: str
    kind: JobKind
    urgency: Urgency
    size: Resources
    indexes: tuple[int, ...]
    submitted_at: float
    declared_seconds: float = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """A decision to start a task on a VM."""

    task: TaskId
    vm: str


@dataclass(frozen=True, slots=True)
class Preemption:
    """A decision to checkpoint a running task; it goes back to the queue."""

    task: TaskId
    vm: str
    reason: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The decisions of one round."""

    placements: list[Placement]
    preemptions: list[Preemption]


class WaitReason(StrEnum):
    """Why a job's tasks are not running."""

    NOTHING_WAITS = "nothing_waits"
    TEAM_LIMIT = "team_limit"
    BEHIND_OTHERS = "behind_others"
    NO_ROOM = "no_room"
    WAITING_FOR_ALL = "waiting_for_all"
    FITS_NO_VM = "fits_no_vm"
    ALL_FITTING_VMS_CLOSED = "all_fitting_vms_closed"
    POISONED = "poisoned"


class Planner(Protocol):
    """Decides what runs where within one shard; does no input or output.

    `now` is in seconds of the owner's monotonic clock.  A placement that `plan`
    returns counts as running at once, until `task_ended` or `task_refused`.
    """

    def set_vm(self, vm: VmOffer, condition: VmCondition) -> None:
        """Add or change a VM."""

    def remove_vm(self, name: str) -> None:
        """Forget a VM; its tasks must have ended before."""

    def set_team(self, name: str, share: int, allotment: Resources) -> None:
        """Add or change a team; `allotment` bounds what it runs in this shard."""

    def enqueue(self, group: TaskGroup) -> None:
        """Add waiting tasks; those already known are left as they are."""

    def cancel(self, job: str) -> list[tuple[TaskId, str]]:
        """Drop the job's waiting tasks and return its running ones with their VMs."""

    def adopt(self, group: TaskGroup, task: TaskId, vm: str, started_at: float) -> None:
        """Count `task` of `group` as running on `vm`, whatever the limits say."""

    def task_refused(self, task: TaskId, now: float) -> None:
        """Put a placed task that certainly did not start back into the queue."""

    def task_ended(self, task: TaskId, state: TaskState, now: float) -> None:
        """Free what `task` held; it is not queued again unless enqueued again."""

    def task_usage(self, task: TaskId, usage: Resources) -> None:
        """Note the observed use of a running task."""

    def plan(self, now: float, max_placements: int) -> Plan:
        """Decide on up to `max_placements` starts and the preemptions they need."""

    def excess_tasks(self, team: str) -> Sequence[tuple[TaskId, str]]:
        """Return the tasks to stop so that the team is within its allotment."""

    def demand(self, team: str) -> Resources:
        """Return what the team runs and waits for in this shard."""

    def allocated(self, team: str) -> Resources:
        """Return what the team runs in this shard."""

    def wait_reason(self, job: str, now: float) -> WaitReason:
        """Say why the job's tasks wait."""

    def fits_some_vm(self, size: Resources) -> bool:
        """Tell whether a VM of this shard could ever hold `size`."""
