"""Distinguishes VMs on which all jobs fail from jobs that fail on all VMs."""

from __future__ import annotations

from dataclasses import dataclass, field

from cassiaweir.placement._types import VmCondition
from cassiaweir.types import TaskState

# A VM is quarantined after this many different jobs have failed on it in a row.
FAILED_JOBS_TO_QUARANTINE = 3
# A job that never succeeded is poisoned after it has failed on this many VMs.
FAILED_VMS_TO_POISON = 3
# A VM on probation is open again after this many tasks have succeeded on it.
SUCCESSES_TO_OPEN = 2
INITIAL_QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 3600.0


@dataclass(slots=True)
class _VmHistory:
    """The jobs that failed on a VM since its last success, and its quarantine.

    `quarantine_seconds` is the length of the last quarantine, 0 if there was none.
    `successes` counts tasks that succeeded since the quarantine began.
    """

    failed_jobs: set[str] = field(default_factory=set)
    quarantine_seconds: float = 0.0
    quarantined_until: float = 0.0
    successes: int = 0

    @property
    def quarantined(self) -> bool:
        """Whether the VM is in quarantine or on probation."""
        return self.quarantine_seconds > 0


@dataclass(slots=True)
class _JobHistory:
    """The VMs on which a job failed, and whether one of its tasks ever succeeded."""

    failed_vms: set[str] = field(default_factory=set)
    succeeded: bool = False
    poisoned: bool = False


class WorkerHealth:
    """Quarantines VMs and marks jobs as poisoned, by how tasks end.

    A VM on which tasks of several jobs fail in a row is quarantined; afterwards it is
    on probation and runs one task at a time.  Each further failure on probation
    doubles the quarantine, up to `MAX_QUARANTINE_SECONDS`.

    A job that fails on several VMs and never succeeded is poisoned.  Its failures then
    no longer count against VMs, and failures on a quarantined VM do not count against
    jobs.
    """

    def __init__(self) -> None:
        self._vms: dict[str, _VmHistory] = {}
        self._jobs: dict[str, _JobHistory] = {}

    def task_ended(self, vm: str, job: str, state: TaskState, now: float) -> None:
        """Record how a task of `job` ended on `vm`; `now` is in monotonic seconds."""
        if state is TaskState.SUCCEEDED:
            self._succeeded(vm, job)
        elif state is TaskState.FAILED:
            self._failed(vm, job, now)

    def condition(self, vm: str, now: float) -> VmCondition:
        """Return OPEN, QUARANTINED or PROBATION."""
        history = self._vms.get(vm)
        if history is None or not history.quarantined:
            return VmCondition.OPEN
        if now < history.quarantined_until:
            return VmCondition.QUARANTINED
        return VmCondition.PROBATION

    def is_poisoned(self, job: str) -> bool:
        """Return whether `job` is poisoned and must not be started again."""
        history = self._jobs.get(job)
        return history is not None and history.poisoned

    def forget_vm(self, vm: str) -> None:
        """Drop the history of a VM that left or was replaced."""
        self._vms.pop(vm, None)

    def forget_job(self, job: str) -> None:
        """Drop the history of a finished job."""
        self._jobs.pop(job, None)

    def _succeeded(self, vm: str, job: str) -> None:
        record = self._jobs.setdefault(job, _JobHistory())
        record.succeeded = True
        record.failed_vms.clear()
        history = self._vms.get(vm)
        if history is None:
            return
        history.failed_jobs.clear()
        history.successes += 1
        if not history.quarantined or history.successes >= SUCCESSES_TO_OPEN:
            del self._vms[vm]

    def _failed(self, vm: str, job: str, now: float) -> None:
        history = self._vms.setdefault(vm, _VmHistory())
        record = self._jobs.setdefault(job, _JobHistory())
        if record.poisoned:
            return
        history.failed_jobs.add(job)
        if history.quarantined:
            if now >= history.quarantined_until:
                self._quarantine(vm, history, now)
            return
        if not record.succeeded:
            record.failed_vms.add(vm)
        if len(record.failed_vms) >= FAILED_VMS_TO_POISON:
            self._poison(job, record)
        elif len(history.failed_jobs) >= FAILED_JOBS_TO_QUARANTINE:
            self._quarantine(vm, history, now)

    def _quarantine(self, vm: str, history: _VmHistory, now: float) -> None:
        longer = max(INITIAL_QUARANTINE_SECONDS, 2 * history.quarantine_seconds)
        history.quarantine_seconds = min(longer, MAX_QUARANTINE_SECONDS)
        history.quarantined_until = now + history.quarantine_seconds
        history.successes = 0
        for job in history.failed_jobs:
            if job in self._jobs:
                self._jobs[job].failed_vms.discard(vm)

    def _poison(self, job: str, record: _JobHistory) -> None:
        record.poisoned = True
        for vm in record.failed_vms:
            if vm in self._vms:
                self._vms[vm].failed_jobs.discard(job)
