"""Decides when the tasks that a former owner may have started can be placed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.fleet._driver_types import DriverOptions
from cassiaweir.fleet._lease import LeaseOptions
from cassiaweir.fleet._worker_driver import WorkerDriver


@dataclass(slots=True)
class TakeoverHold:
    """Watches the workers of a shard after a takeover at `taken_at`.

    `gone_at` is when the former owner was known to command nothing any more.
    `max_list_lag` bounds how long a VM stays out of the list that a reader gets.
    """

    taken_at: float
    lease: LeaseOptions
    driver: DriverOptions
    max_list_lag: timedelta
    gone_at: float | None = None
    listed_at: float | None = None

    def former_owner_gone(self, now: float) -> None:
        """Note that the former owner commands nothing from `now` on."""
        if self.gone_at is None:
            self.gone_at = now

    def former_commands_expire_at(self) -> float:
        """Return from when on a worker that cannot fence gets no old command."""
        if self.gone_at is not None:
            return self.gone_at + self.driver.command_expiry.total_seconds()
        wait = self.lease.lease + self.lease.clock_drift + self.driver.command_expiry
        return self.taken_at + wait.total_seconds()

    def is_over(self, drivers: Iterable[WorkerDriver], now: float) -> bool:
        """Tell whether no task can run that no worker listed."""
        lists_settled = self.taken_at + self.max_list_lag.total_seconds()
        if self.listed_at is None or self.listed_at < lists_settled:
            return False
        return all(self._worker_settled(driver, now) for driver in drivers)

    def _worker_settled(self, driver: WorkerDriver, now: float) -> bool:
        if self._answered(driver):
            return True
        sent_at = self._last_command_at()
        if driver.lease_sent_at is not None:
            sent_at = max(sent_at, driver.lease_sent_at)
        return now >= driver.lapses_at(sent_at)

    def _answered(self, driver: WorkerDriver) -> bool:
        if driver.answered_at is None:
            return False
        return (
            self.lease.workers_fence
            or driver.answered_at >= self.former_commands_expire_at()
        )

    def _last_command_at(self) -> float:
        """Return when the former owner sent its last renewal of a task lease."""
        if self.gone_at is not None:
            return self.gone_at
        limit = self.lease.lease + self.lease.clock_drift + self.lease.autonomy
        return self.taken_at + limit.total_seconds()
