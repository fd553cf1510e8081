"""The `Planner` protocol and the values that it takes and returns."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from cassiaweir.types import JobKind, Resources, TaskId, TaskState, Urgency


class VmCondition(StrEnum):
    """Whether a VM takes new tasks.

    Only OPEN and PROBATION VMs do; a VM on probation runs one task at a time.
    """

    OPEN = "open"
    PROBATION = "probation"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class VmOffer:
    """A worker VM: its name, location and total capacity."""

    name: str
    failure_domain: str
    rack: str
    capacity: Resources


@dataclass(frozen=True, slots=True)
class TaskGroup:
    """Tasks of one job in this shard, all with the same declared resources.

    `size` is what each task declares, and `indexes` are the numbers of the tasks
    within the job.  `submitted_at` is in seconds of the planner's clock; it may be
    negative after a takeover.  `declared_seconds` is the declared run time of each
    task, 0 for services.
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
    """A decision to checkpoint a running task, which then waits in the queue again."""

    task: TaskId
    vm: str
    reason: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The decisions of one scheduling round."""

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
    """Decides which tasks of one shard run on which VMs; does no input or output.

    `now` is in seconds of the monotonic clock of the process that owns the shard.  A
    task that `plan` places counts as running at once, until `task_ended` or
    `task_refused`.
    """

    def set_vm(self, vm: VmOffer, condition: VmCondition) -> None:
        """Add a VM, or update its capacity, rack and condition."""

    def remove_vm(self, name: str) -> None:
        """Remove a VM, whose tasks must have ended."""

    def set_team(self, name: str, share: int, allotment: Resources) -> None:
        """Add or update a team.

        `share` is its weight in the fair share; `allotment` limits the resources of
        its running tasks in this shard.
        """

    def enqueue(self, group: TaskGroup) -> None:
        """Add waiting tasks; those that already wait or run are left unchanged."""

    def cancel(self, job: str) -> list[tuple[TaskId, str]]:
        """Drop the job's waiting tasks; return its running tasks with their VMs."""

    def adopt(self, group: TaskGroup, task: TaskId, vm: str, started_at: float) -> None:
        """Count `task` of `group` as running on `vm`, even beyond the limits."""

    def task_refused(self, task: TaskId, now: float) -> None:
        """Return a placed task to the queue; it is certain that it did not start."""

    def task_ended(self, task: TaskId, state: TaskState, now: float) -> None:
        """Free the resources of `task`; it waits again only if it is enqueued again."""

    def task_usage(self, task: TaskId, usage: Resources) -> None:
        """Record the observed resource usage of a running task."""

    def plan(self, now: float, max_placements: int) -> Plan:
        """Decide on at most `max_placements` placements and the preemptions needed."""

    def excess_tasks(self, team: str) -> Sequence[tuple[TaskId, str]]:
        """Return the tasks, with their VMs, to stop to bring the team to its allotment.

        The list is empty if the team is within its allotment.
        """

    def demand(self, team: str) -> Resources:
        """Return the declared resources of the team's running and waiting tasks."""

    def allocated(self, team: str) -> Resources:
        """Return the declared resources of the team's running tasks in this shard."""

    def wait_reason(self, job: str, now: float) -> WaitReason:
        """Return the reason why the job's waiting tasks do not start."""

    def fits_some_vm(self, size: Resources) -> bool:
        """Return whether `size` fits the total capacity of a VM of this shard."""
