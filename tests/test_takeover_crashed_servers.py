"""Tests of tasks held for servers that crashed just before a takeover.

Pattern: servers crash one after the other while leaders change.  Such a server never
answers its new leader, and its row lets any task run there, so everything earlier waits
until it is proved that the server's lifetime is over.
"""

from __future__ import annotations

import asyncio

import pytest

from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._server_records import FormerTasks
from cassiaweir.jobs import StepSpec
from tests.site_fakes import FakeSite, FakeVm
from tests.test_takeover_holding import SETTLE_S
from tests.virtual_time import run_virtual

DOMAINS = ("a", "b", "c")
MAX_WAIT_S = 1.0
"""Time from the proof that a lifetime is over to the start of the tasks held for it."""

HALF = StepSpec(count=1, cpu_millis=8_000, estimate_s=2.0)


async def crash_and_take_over(
    site: FakeSite, *, before_s: float, back_after_s: float
) -> tuple[list[str], float]:
    """Crash three servers under load, then kill the leader.

    Return the jobs that were submitted before, and when the servers are back under
    other ids.
    """
    leader = await site.wait_for_leader()
    await asyncio.sleep(SETTLE_S)
    jobs = [site.submit(HALF, task_s=2.0) for _ in range(18)]
    await asyncio.sleep(SETTLE_S)
    victims = [
        each
        for each in site.servers.values()
        if each.entry.failure_domain != leader.failure_domain
    ][:3]
    back_at = asyncio.get_running_loop().time() + back_after_s
    for server in victims:
        site.crash_for(server, back_after_s, new_id=True)
    await asyncio.sleep(before_s)
    await leader.kill()
    await other_leader(site, leader)
    return jobs, back_at


async def other_leader(site: FakeSite, former: FakeVm) -> FakeVm:
    """Return the VM that leads next."""
    while True:
        vm = await site.wait_for_leader()
        if vm is not former:
            return vm
        await asyncio.sleep(0.01)


# Guards against tasks of earlier jobs waiting 9.2 s after each takeover for servers
# that will never answer, although other lifetimes run at their addresses.
@pytest.mark.parametrize("before_s", [0.1, 2.9])
@pytest.mark.parametrize("seed", range(4))
def test_tasks_held_for_a_crashed_server_start_once_another_runs_at_its_address(
    seed: int, before_s: float
) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=seed, domains=DOMAINS)
        jobs, back_at = await crash_and_take_over(
            site, before_s=before_s, back_after_s=5.0
        )
        loop = asyncio.get_running_loop()
        lost = {
            run.task for run in site.history if run.ended_at is not None and not run.how
        }
        assert lost
        await asyncio.sleep(back_at + MAX_WAIT_S - loop.time())
        for task in lost:
            later = [run for run in site.history if run.task == task][1:]
            assert later, f"{task} was not started again"
        await asyncio.sleep(6)
        assert all(site.starts_of(job_id)[-1].how == "done" for job_id in jobs)
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against releasing more than the tasks that are held for the proved server.
def test_another_lifetime_at_an_address_settles_only_the_former_ones_there() -> None:
    gate = TakeoverGate(
        {
            "i-1": FormerTasks(frozenset({"t1"}), "host:1"),
            "i-2": FormerTasks(frozenset({"t2"}), "host:2"),
            "i-3": FormerTasks(frozenset({"t3"}), "host:1"),
        },
        former_authority_end=6.0,
    )
    gate.settle_former_lifetimes("host:1", "i-3")
    assert not gate.holds("t1")
    assert gate.holds("t2")
    assert gate.holds("t3")
    gate.settle_former_lifetimes("", "i-9")
    assert gate.holds("t2")
