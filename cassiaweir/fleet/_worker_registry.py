"""The worker VMs of a shard: their drivers and their condition."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from cassiaweir.fleet._worker_driver import WorkerDriver
from cassiaweir.placement import Planner, VmCondition, VmOffer
from cassiaweir.types import TaskState, Vm, VmState


class Health(Protocol):
    """Tells workers that fail what they start from those that do not."""

    def task_ended(self, vm: str, job: str, state: TaskState, now: float) -> None:
        """Note how a task of `job` ended on `vm`."""

    def condition(self, vm: str, now: float) -> VmCondition:
        """Return OPEN or QUARANTINED."""


class WorkerRegistry:
    """Keeps one driver for each worker VM of the shard.

    `build` makes the driver of a VM.  A VM that left the list keeps its driver, which
    starts nothing, until its tasks have ended.
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
        self._shown: dict[str, tuple[Vm, VmCondition]] = {}

    def apply(self, vms: Sequence[Vm], *, add: bool) -> list[WorkerDriver]:
        """Take in the list of the shard's worker VMs and return new drivers.

        With `add` unset, VMs that were not known before are left out.
        """
        added = []
        self._listed = {vm.name for vm in vms}
        for vm in vms:
            driver = self.drivers.get(vm.name)
            if driver is not None:
                _update(driver, vm)
            elif add:
                added.append(self._build(vm))
                self.drivers[vm.name] = added[-1]
        return added

    def refresh(self, now: float) -> None:
        """Show the planner each VM whose condition changed."""
        for name, driver in self.drivers.items():
            shown = (driver.vm, self._condition(driver, now))
            if self._shown.get(name) != shown:
                self._shown[name] = shown
                self._planner.set_vm(_offer(driver.vm), shown[1])

    def take_departed(self, busy: Callable[[str], bool]) -> list[WorkerDriver]:
        """Remove and return the drivers of VMs that left the list and run nothing."""
        names = [name for name in self.drivers if name not in self._listed]
        departed = []
        for name in names:
            if busy(name) or self.drivers[name].in_doubt:
                continue
            departed.append(self.drivers.pop(name))
            if self._shown.pop(name, None) is not None:
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


def _update(driver: WorkerDriver, vm: Vm) -> None:
    """Take in what the list says of a known VM.

    The list lags, so an incarnation that the worker itself has outlived is ignored.
    """
    if vm.incarnation in driver.former_incarnations:
        return
    if vm.incarnation != driver.vm.incarnation:
        driver.replaced(vm.incarnation)
    driver.update(vm)
