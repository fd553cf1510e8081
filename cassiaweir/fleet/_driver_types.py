"""The terms of a worker's driver, and what it works with."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from cassiaweir.types import TaskStart, WorkerReport

if TYPE_CHECKING:
    from cassiaweir.fleet._worker_driver import WorkerDriver


class Authority(Protocol):
    """The right to command the workers of a shard."""

    epoch: int

    def held(self) -> bool:
        """Tell whether nobody else can have taken the shard over yet."""

    def may_renew_tasks(self) -> bool:
        """Tell whether task leases may be renewed."""

    def may_start(self) -> bool:
        """Tell whether tasks may be started."""


class ReportSink(Protocol):
    """Receives what a worker says; called within the driver's task."""

    def worker_reported(self, driver: WorkerDriver, report: WorkerReport) -> None:
        """Take in a report made under the current epoch."""

    def worker_replaced(self, driver: WorkerDriver) -> None:
        """Note that the VM is another incarnation: all it ran has ended."""

    def start_settled(self, driver: WorkerDriver, start: TaskStart) -> None:
        """Note that `start` certainly did not, and will not, run."""

    def fenced(self, driver: WorkerDriver) -> None:
        """Note that the worker has seen a higher epoch."""


@dataclass(frozen=True, slots=True)
class DriverOptions:
    """The durations that a driver works with."""

    task_lease: timedelta
    task_renewal: timedelta
    command_expiry: timedelta
    clock_drift: timedelta
