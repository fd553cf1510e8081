"""Random cancels, late starts, notifications that overtake each other, and takeovers.

Checked is UNASKED: what each start carries, and that cancelled jobs come to rest.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from datetime import timedelta

import pytest

from cassiaweir.dispatch import OrderOutcome, ServerEntry, StartOrder, cancel_key
from cassiaweir.dispatch import job_key as key_of
from cassiaweir.jobs import StepSpec
from cassiaweir.types import Row, Write
from standins.users import unjustified_failures
from tests.site_fakes import FakeSite, FakeVm
from tests.test_site_faults import (
    break_store_for_all,
    crash_server,
    cut_servers,
    delay_orders,
    forget_history,
    kill_and_restart,
    make_unhealthy,
    stop_leader,
)
from tests.virtual_time import run_virtual

FAULTS = (
    break_store_for_all, crash_server, cut_servers, delay_orders, forget_history,
    kill_and_restart, make_unhealthy, stop_leader,
)  # fmt: skip
FAULT_PERIOD_S = 30.0
CANCEL_S = 3.0
STOP_S = 0.2
LOST_SHARE = 0.2


class Traffic:
    """Submits and cancels jobs, and records what each start of a run carries."""

    def __init__(self, site: FakeSite) -> None:
        self.site = site
        self.open: list[str] = []
        self.cancelled_at: dict[str, float] = {}
        self.checkpoints: dict[tuple[str, int], set[str]] = defaultdict(set)
        for vm in site.vms:
            self._watch(vm)

    def _watch(self, vm: FakeVm) -> None:
        send = vm.orders.start

        async def start(
            entry: ServerEntry, order: StartOrder, timeout: timedelta
        ) -> OrderOutcome:
            spec = self.site.specs[order.task.partition(".")[0]]
            gang = spec.steps[0].gang
            owner = order.task.rpartition(".")[0] if gang else order.task
            self.checkpoints[owner, order.run].add(order.checkpoint)
            # The simulated servers begin a checkpoint with the name of the task.
            written_by = order.checkpoint.partition("/")[0]
            members = [f"{owner}.{n}" for n in range(spec.steps[0].count)]
            known = written_by in ["", *(members if gang else [owner])]
            if not known or order.spec != spec.task_spec:
                self.site.faults.append(f"not what was sent: {order}")
            return await send(entry, order, timeout)

        vm.orders.start = start  # type: ignore[method-assign]

    def submit(self) -> None:
        """Submit a random job, of which the leader may hear later or not at all."""
        rng = self.site.rng
        gang = rng.random() < 0.3
        lasts = not gang and rng.random() < 0.3
        step = StepSpec(
            count=rng.choice((1, 2, 4)),
            cpu_millis=rng.choice((500, 2_000, 4_000)),
            estimate_s=2.0,
            gang=gang,
            checkpoints=True,
            long_running=lasts,
        )
        job_id = self.site.submit(
            step,
            task_s=rng.choice((0.5, 2.0, 6.0, 20.0)),
            times=0 if lasts else rng.choice((0, 0, 0, 3)),
            interval_s=1.0,
            announce_to=next(vm for vm in self.site.vms if not vm.term.serving_epoch),
        )
        self.open.append(job_id)
        self._notify(self.site.store.rows[key_of(job_id)])

    def cancel(self, job_id: str) -> None:
        """Cancel a job, of which the leader may hear later."""
        key = cancel_key(job_id)
        version = self.site.store.apply([], [Write(key, b"{}")])[key]
        self.cancelled_at[job_id] = asyncio.get_running_loop().time()
        self._notify(Row(key, version, b"{}"))

    def _notify(self, row: Row) -> None:
        rng = self.site.rng

        def notify() -> None:
            leader = self.site.leader()
            if leader is not None:
                leader.term.apply_rows([row])

        if rng.random() >= LOST_SHARE:
            self.site.call_later(rng.choice((0, 0.01, 0.3, 2.0)), notify)


# Guards against UNASKED: members of one run of a gang that resume different checkpoints
# or those of others, and runs that go on although their job was cancelled or is done.
@pytest.mark.parametrize("seed", range(6))
def test_cancelled_jobs_rest_and_each_run_has_one_checkpoint(seed: int) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=3, seed=seed, domains=("a", "b", "c"))
        for server in site.servers.values():
            server.checkpoint_s = 0.4
        loop, rng = asyncio.get_running_loop(), site.rng
        await site.wait_for_leader()
        traffic = Traffic(site)
        faults = set()
        while loop.time() < FAULT_PERIOD_S:
            traffic.submit()
            if rng.random() < 0.5:
                traffic.cancel(traffic.open.pop(rng.randrange(len(traffic.open))))
            if rng.random() < 0.12:
                fault = rng.choice(FAULTS)
                faults.add(asyncio.create_task(fault(site, rng)))
            await asyncio.sleep(rng.uniform(0.1, 0.5))
        await asyncio.gather(*faults)
        for job_id in traffic.open:
            traffic.cancel(job_id)
        calm_at = loop.time()
        await asyncio.sleep(25)
        leader = await site.wait_for_leader()
        assert not unjustified_failures(site, leader.term.job_state)
        for server in site.servers.values():
            server.apply_due_events()
        await site.close()
        assert not site.faults
        assert [each for each in traffic.checkpoints.values() if len(each) > 1] == []
        for run in site.history:
            from_ = max(calm_at, traffic.cancelled_at[run.task.partition(".")[0]])
            assert run.ended_at is not None
            assert run.ended_at <= max(from_, run.began_at) + CANCEL_S + STOP_S

    run_virtual(body)
