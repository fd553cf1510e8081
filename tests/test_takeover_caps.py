"""Tests that a takeover keeps customers within their caps.

Pattern: a customer runs as much as its cap allows and goes on submitting while the
leader's failure domain is cut off.  The successor cannot ask the servers there what
they run, but the customer's tasks there still count against its cap.
"""

from __future__ import annotations

import asyncio

import pytest

from cassiaweir.jobs import StepSpec
from cassiaweir.observe._waits import read_waits
from cassiaweir.queues import Customer
from cassiaweir.types import Resources
from tests.site_fakes import FakeSite, FakeVm, configuration
from tests.test_takeover_holding import (
    MAX_HELD_S,
    MAX_WAIT_S,
    SETTLE_S,
    WIDE,
    cut_leader,
    domains_of,
)
from tests.test_wait_causes import log_lines
from tests.virtual_time import run_virtual

DOMAINS = ("a", "b", "c")
CAP_CPU_MILLIS = 16_000
CORE = StepSpec(count=1, cpu_millis=1_000, estimate_s=12.0)

SUBMISSION_INTERVAL_S = 0.3


async def fill_leader_domain(site: FakeSite, task_s: float) -> FakeVm:
    """Let a customer run all that its cap allows in the leader's domain, and no more.

    Return the leader.
    """
    customer = Customer(
        "agency", frozenset({"key"}), 20.0, Resources(CAP_CPU_MILLIS, 0, 0)
    )
    site.configuration.value = configuration(customer, Customer("other"))
    leader = await site.wait_for_leader()
    await asyncio.sleep(SETTLE_S)
    blockers = [site.submit(WIDE, task_s=60.0, customer="other") for _ in site.servers]
    await asyncio.sleep(SETTLE_S)
    inside = [
        each for each in blockers if domains_of(site, each) == {leader.failure_domain}
    ]
    for job_id in inside:
        site.cancel(job_id)
    await asyncio.sleep(SETTLE_S)
    jobs = [site.submit(CORE, task_s=task_s) for _ in range(16)]
    await asyncio.sleep(SETTLE_S)
    assert all(domains_of(site, each) == {leader.failure_domain} for each in jobs)
    for job_id in set(blockers) - set(inside):
        site.cancel(job_id)
    await asyncio.sleep(SETTLE_S)
    return leader


def running_cpu_millis(site: FakeSite) -> int:
    """Return the CPU of all runs that the servers execute now."""
    open_runs = [run for run in site.history if run.ended_at is None]
    return len(open_runs) * CORE.cpu_millis


async def submit_until(site: FakeSite, ends_at: float) -> int:
    """Submit a job at regular intervals; return the most CPU that ran at once."""
    loop = asyncio.get_running_loop()
    most = 0
    while loop.time() < ends_at:
        site.submit(CORE, task_s=12.0)
        for _ in range(30):
            await asyncio.sleep(SUBMISSION_INTERVAL_S / 30)
            most = max(most, running_cpu_millis(site))
    return most


# Guards against a successor that counts only the runs it knows of: a customer then had
# twice its cap running until the servers of the cut domain answered again.
@pytest.mark.parametrize("kill", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_runs_on_servers_out_of_reach_count_against_the_cap_after_a_takeover(
    seed: int, kill: bool
) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=seed, domains=DOMAINS)
        former = await fill_leader_domain(site, 12.0)
        assert running_cpu_millis(site) == CAP_CPU_MILLIS
        _, took_over_at = await cut_leader(site)
        if kill:
            await former.kill()
        most = await submit_until(site, took_over_at + MAX_HELD_S + MAX_WAIT_S)
        assert most <= CAP_CPU_MILLIS
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against holding a customer back for longer than its former runs can last.
def test_the_cap_is_available_again_once_leases_out_of_reach_have_expired() -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        await fill_leader_domain(site, 30.0)
        _, took_over_at = await cut_leader(site)
        await submit_until(site, took_over_at + MAX_HELD_S + MAX_WAIT_S)
        assert running_cpu_millis(site) == CAP_CPU_MILLIS
        await site.close()

    run_virtual(body)


# Guards against logs that do not tell why a customer has, or has not, what it may have.
def test_logs_say_what_counts_against_the_cap_after_a_takeover() -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        await fill_leader_domain(site, 12.0)
        with log_lines() as lines:
            await cut_leader(site)
            site.submit(CORE, task_s=1.0)
            await asyncio.sleep(2.5)
            waiting = read_waits(lines).seconds[-1]
            assert waiting.customers["agency"]["cap_takeover"] == 1
            counted = [each for each in lines if "former_runs_counted" in each]
            assert '"{\\"agency\\":16000}"' in counted[-1]
            await asyncio.sleep(MAX_HELD_S + MAX_WAIT_S)
        placed = [each for each in lines if "tasks_placed" in each]
        assert "customer_load=16000:0+0:0/16000:0 configuration=1" in placed[-1]
        await site.close()

    run_virtual(body)
