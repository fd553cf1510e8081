"""Options of a worker driver, and the interfaces that it depends on."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from cassiaweir.types import TaskStart, WorkerReport

if TYPE_CHECKING:
    from cassiaweir.fleet._worker_driver import WorkerDriver


class Authority(Protocol):
    """The right of this process to command the workers of a shard.

    `epoch` grows with each change of owner and is sent with each command.
    """

    epoch: int

    def held(self) -> bool:
        """Return whether the lease is valid, so that no other process is owner."""

    def may_renew_tasks(self) -> bool:
        """Return whether task leases may be renewed."""

    def may_start(self) -> bool:
        """Return whether tasks may be started."""

    def may_end_tasks(self) -> bool:
        """Return whether tasks may be stopped and ended attempts acknowledged."""


class ReportSink(Protocol):
    """Receives the events of a worker; called from the driver's own asyncio task."""

    def worker_reported(self, driver: WorkerDriver, report: WorkerReport) -> None:
        """Process a report of the tasks on the driver's worker."""

    def worker_replaced(self, driver: WorkerDriver) -> None:
        """Handle a new incarnation of the VM; the former one's tasks have ended."""

    def start_not_run(self, driver: WorkerDriver, start: TaskStart) -> None:
        """Handle a start that certainly was not, and will not be, carried out."""

    def worker_fenced(self, driver: WorkerDriver) -> None:
        """Handle a worker's refusal of the epoch because it has seen a higher one."""


@dataclass(frozen=True, slots=True)
class DriverOptions:
    """The timing of a worker driver.

    A worker ends a task whose lease of `task_lease` was not renewed; the driver renews
    all leases of a worker every `task_renewal`.  A worker refuses a command that
    arrives more than `command_expiry` after it was issued.  `clock_drift` bounds how
    far two clocks drift apart within a lease.
    """

    task_lease: timedelta
    task_renewal: timedelta
    command_expiry: timedelta
    clock_drift: timedelta
