"""Delays the placement of tasks that the former owner of a shard may have started."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.fleet._driver_types import DriverOptions
from cassiaweir.fleet._lease import LeaseOptions
from cassiaweir.fleet._worker_driver import WorkerDriver


@dataclass(slots=True)
class TakeoverHold:
    """Decides when the tasks of a shard can be placed after a takeover at `taken_at`.

    From `former_exited_at` on, the former owner is known to send no more commands.
    `listed_at` is when the last successful read of the VM list began.  `max_list_lag`
    bounds how long a new VM may be missing from that list.  All times are those of the
    monotonic clock, in seconds.
    """

    taken_at: float
    lease: LeaseOptions
    driver: DriverOptions
    max_list_lag: timedelta
    former_exited_at: float | None = None
    listed_at: float | None = None

    def handle_former_owner_exit(self, now: float) -> None:
        """Record that the former owner sends no command after `now`."""
        if self.former_exited_at is None:
            self.former_exited_at = now

    def former_commands_expire_at(self) -> float:
        """Return when the last start that the former owner may have sent has expired.

        A worker that does not fence would carry out such a start until then; to such
        a worker the former owner sends no start after its lease.
        """
        if self.former_exited_at is not None:
            return self.former_exited_at + self.driver.command_expiry.total_seconds()
        wait = self.lease.lease + self.lease.clock_drift + self.driver.command_expiry
        return self.taken_at + wait.total_seconds()

    def former_leases_expired(self, driver: WorkerDriver, now: float) -> bool:
        """Return whether no task lease can be left that the former owner extended.

        A worker that fences refuses its renewals once it has answered this owner.  One
        that does not fence accepts them until the autonomy of the former owner ends.
        """
        if self.lease.workers_fence:
            return True
        return now >= driver.leases_expire_at(self._last_command_at())

    def is_over(self, drivers: Iterable[WorkerDriver], now: float) -> bool:
        """Return whether every task that still runs has been reported by its worker."""
        list_complete_at = self.taken_at + self.max_list_lag.total_seconds()
        if self.listed_at is None or self.listed_at < list_complete_at:
            return False
        return all(self._worker_accounted_for(driver, now) for driver in drivers)

    def _worker_accounted_for(self, driver: WorkerDriver, now: float) -> bool:
        if self._answered(driver):
            return True
        sent_at = self._last_command_at()
        if driver.lease_sent_at is not None:
            sent_at = max(sent_at, driver.lease_sent_at)
        return now >= driver.leases_expire_at(sent_at)

    def _answered(self, driver: WorkerDriver) -> bool:
        if driver.answered_at is None:
            return False
        return (
            self.lease.workers_fence
            or driver.answered_at >= self.former_commands_expire_at()
        )

    def _last_command_at(self) -> float:
        """Return the latest time at which the former owner may have renewed a task."""
        if self.former_exited_at is not None:
            return self.former_exited_at
        limit = self.lease.lease + self.lease.clock_drift + self.lease.autonomy
        return self.taken_at + limit.total_seconds()
