"""A cache of the VM list, and the worker sizes derived from it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from datetime import timedelta

from cassiaweir.exceptions import UnavailableError
from cassiaweir.types import Clock, Resources, Vm, VmList, VmRole


class CachedVmList:
    """Implements `VmList` with a cache, so that callers share calls to the platform.

    A list is returned again until `max_age` has passed since it was requested.
    """

    def __init__(self, vm_list: VmList, clock: Clock, *, max_age: timedelta) -> None:
        self._vm_list = vm_list
        self._clock = clock
        self._max_age = max_age.total_seconds()
        self._vms: list[Vm] = []
        self._requested_at = float("-inf")
        self._lock = asyncio.Lock()

    async def fetch(self) -> list[Vm]:
        """Return all VMs, or raise `UnavailableError`."""
        async with self._lock:
            now = self._clock.monotonic()
            if now - self._requested_at >= self._max_age:
                self._vms = await self._vm_list.fetch()
                self._requested_at = now
            return self._vms


class WorkerSizes:
    """Keeps the capacities of the worker VMs of each shard, read every `poll`.

    `shard_of` returns the shard that a VM belongs to.  While the list is unavailable,
    the capacities last read remain.
    """

    def __init__(
        self,
        vm_list: VmList,
        clock: Clock,
        *,
        shard_of: Callable[[Vm], str],
        poll: timedelta,
    ) -> None:
        self._vm_list = vm_list
        self._clock = clock
        self._shard_of = shard_of
        self._poll = poll
        self._sizes: dict[str, list[Resources]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start reading the list periodically."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop reading the list."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def of_shard(self, shard: str) -> Sequence[Resources]:
        """Return the capacities of the worker VMs of `shard`."""
        return self._sizes.get(shard, ())

    async def refresh(self) -> None:
        """Read the list now, or raise `UnavailableError`."""
        sizes: dict[str, list[Resources]] = {}
        for vm in await self._vm_list.fetch():
            if vm.role is VmRole.WORKER:
                sizes.setdefault(self._shard_of(vm), []).append(vm.capacity)
        self._sizes = sizes

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(UnavailableError):
                await self.refresh()
            await self._clock.sleep(self._poll)
