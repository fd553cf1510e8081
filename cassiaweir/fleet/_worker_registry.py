"""The drivers of a shard's worker VMs, and the condition of these VMs."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from cassiaweir.fleet._worker_driver import WorkerDriver
from cassiaweir.placement import Planner, VmCondition, VmOffer
from cassiaweir.types import TaskState, Vm, VmState


class Health(Protocol):
    """Detects worker VMs on which tasks fail too often."""

    def task_ended(self, vm: str, job: str, state: TaskState, now: float) -> None:
        """Record the state in which a task of `job` ended on `vm`."""

    def condition(self, vm: str, now: float) -> VmCondition:
        """Return `OPEN`, or `QUARANTINED` while tasks fail too often on `vm`."""


class WorkerRegistry:
    """Keeps one driver for each worker VM of the shard.

    `build` creates the driver of a VM.  A VM that is missing from the VM list gets no
    new tasks, but keeps its driver until its tasks have ended.
    """

    def __init__(
        self,
        planner: Planner,
        build: Callable[[Vm], WorkerDriver],
        *,
        health: Health | None = None,
    ) -> None:
        self.drivers: dict[str, WorkerDriver] = {}
        self._planner = planner
        self._build = build
        self._health = health
        self._listed: set[str] = set()
        self._published: dict[str, tuple[Vm, VmCondition]] = {}

    def apply(
        self, vms: Sequence[Vm], *, add: bool, complete_at: float
    ) -> list[WorkerDriver]:
        """Apply the current list of the shard's worker VMs and return new drivers.

        Unless `add` is set, VMs that have no driver yet are ignored.  The list shows
        all incarnations that had begun at `complete_at` on the monotonic clock.
        """
        added = []
        self._listed = {vm.name for vm in vms}
        for vm in vms:
            driver = self.drivers.get(vm.name)
            if driver is not None:
                _update_driver(driver, vm, complete_at)
            elif add:
                added.append(self._build(vm))
                self.drivers[vm.name] = added[-1]
        return added

    def refresh_planner(self, now: float) -> None:
        """Pass each new or changed VM, with its condition, to the planner."""
        for name, driver in self.drivers.items():
            published = (driver.vm, self._condition(driver, now))
            if self._published.get(name) != published:
                self._published[name] = published
                self._planner.set_vm(_offer(driver.vm), published[1])

    def remove_departed(self, is_busy: Callable[[str], bool]) -> list[WorkerDriver]:
        """Remove and return the drivers of idle VMs that are no longer listed."""
        names = [name for name in self.drivers if name not in self._listed]
        departed = []
        for name in names:
            if is_busy(name) or self.drivers[name].in_doubt:
                continue
            departed.append(self.drivers.pop(name))
            if self._published.pop(name, None) is not None:
                self._planner.remove_vm(name)
        return departed

    def _condition(self, driver: WorkerDriver, now: float) -> VmCondition:
        if driver.vm.name not in self._listed or driver.vm.state is VmState.LEAVING:
            return VmCondition.DRAINING
        if not driver.reachable or driver.answered_at is None:
            return VmCondition.UNREACHABLE
        if self._health is not None:
            return self._health.condition(driver.vm.name, now)
        return VmCondition.OPEN


def _offer(vm: Vm) -> VmOffer:
    return VmOffer(vm.name, vm.failure_domain, vm.rack, vm.capacity)


def _update_driver(driver: WorkerDriver, vm: Vm, complete_at: float) -> None:
    """Update a driver from the entry of its VM in the VM list.

    The list lags behind the worker's own reports, so an entry of a former incarnation
    is ignored, also if the worker never answered in it.
    """
    if vm.incarnation in driver.former_incarnations:
        return
    if vm.incarnation != driver.vm.incarnation:
        if complete_at < driver.incarnation_reported_at:
            return
        driver.handle_replacement(vm.incarnation)
    driver.incarnation_reported_at = float("-inf")
    driver.update(vm)
