"""Tests of the checkpoints that servers are told to resume from."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from datetime import timedelta

import pytest

from cassiaweir.dispatch import OrderOutcome, ServerEntry, StartOrder
from cassiaweir.exceptions import UnavailableError
from cassiaweir.jobs import StepSpec
from cassiaweir.verdict import Verdict
from tests.site_fakes import FakeSite, FakeVm
from tests.virtual_time import run_virtual


class StartLog:
    """Records the starts that a VM sends; those of run 2 to one server get no answer.

    That server is the first one that is told to start a task of run 2.
    """

    def __init__(self, vm: FakeVm) -> None:
        self._send = vm.orders.start
        vm.orders.start = self.start  # type: ignore[method-assign]
        self.silent_server = ""
        self.silent = True
        self.restarted = asyncio.Event()
        self.checkpoints: dict[int, list[str]] = defaultdict(list)

    async def start(
        self, entry: ServerEntry, order: StartOrder, timeout: timedelta
    ) -> OrderOutcome:
        """Record a start, and carry it out unless its server stays silent."""
        self.checkpoints[order.run].append(order.checkpoint)
        if order.run == 2 and not self.silent_server:
            self.silent_server = entry.server_id
            self.restarted.set()
        if self.silent and entry.server_id == self.silent_server:
            await asyncio.sleep(timeout.total_seconds())
            raise UnavailableError("no answer", verdict=Verdict.MAY_HAVE_RUN)
        return await self._send(entry, order, timeout)


# Guards against UNASKED: a start that was repeated, or sent later than those of the
# other members of its gang, resumed what an earlier run had told meanwhile.
@pytest.mark.parametrize("gang", [True, False])
def test_all_starts_of_a_run_carry_one_checkpoint(gang: bool) -> None:
    async def body() -> None:
        site = FakeSite(servers=5, vms=1)
        for server in site.servers.values():
            server.checkpoint_s = 0.2
        leader = await site.wait_for_leader()
        log = StartLog(leader)
        step = StepSpec(
            count=2 if gang else 1,
            cpu_millis=16_000,
            estimate_s=30.0,
            gang=gang,
            checkpoints=True,
        )
        job_id = site.submit(step, task_s=30.0)
        first = await site.first_start(job_id)
        await asyncio.sleep(1.5)
        # Its lease expires, and the leader hears later what the run wrote last.
        leader.orders.unreachable.add(first.server)
        await log.restarted.wait()
        await asyncio.sleep(0.5)
        leader.orders.unreachable.clear()
        await asyncio.sleep(1.2)
        log.silent = False
        await asyncio.sleep(1.5)
        await site.close()
        assert len(log.checkpoints[2]) > 2
        assert len(set(log.checkpoints[2])) == 1
        assert not site.faults

    run_virtual(body)
