"""Tests that a takeover keeps customers within their caps.

Pattern: a customer runs as much as its cap allows and goes on submitting while the
leader's failure domain is cut off.  The successor cannot ask the servers there what
they run, but the customer's tasks there still count against its cap.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.observe._waits import read_waits
from cassiaweir.queues import Customer
from cassiaweir.types import Resources
from standins.users import SERVER_SIZE
from tests.site_fakes import CUSTOMER, FakeSite, FakeVm, configuration
from tests.test_takeover_holding import (
    MAX_HELD_S,
    MAX_WAIT_S,
    SETTLE_S,
    WIDE,
    cut_leader,
    domains_of,
    now,
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
    leader = await prepare(site)
    await fill_domain(site, leader.failure_domain, task_s)
    return leader


async def prepare(site: FakeSite) -> FakeVm:
    """Give the customer its cap and wait for a leader; return it."""
    customer = Customer(
        "agency", frozenset({"key"}), 20.0, Resources(CAP_CPU_MILLIS, 0, 0)
    )
    site.configuration.value = configuration(customer, Customer("other"))
    leader = await site.wait_for_leader()
    await asyncio.sleep(SETTLE_S)
    return leader


async def fill_domain(site: FakeSite, domain: str, task_s: float) -> list[str]:
    """Let the customer run all that its cap allows in one failure domain.

    Return the ids of its jobs, each of which has one task.
    """
    blockers = [site.submit(WIDE, task_s=60.0, customer="other") for _ in site.servers]
    await asyncio.sleep(SETTLE_S)
    inside = [each for each in blockers if domains_of(site, each) == {domain}]
    for job_id in inside:
        site.cancel(job_id)
    await asyncio.sleep(SETTLE_S)
    jobs = [site.submit(CORE, task_s=task_s) for _ in range(16)]
    await asyncio.sleep(SETTLE_S)
    assert all(domains_of(site, each) == {domain} for each in jobs)
    for job_id in set(blockers) - set(inside):
        site.cancel(job_id)
    await asyncio.sleep(SETTLE_S)
    return jobs


@dataclass(frozen=True)
class CutDomain:
    """A failure domain that was cut off while a customer had its cap running there."""

    name: str
    leader: FakeVm
    jobs: list[str]


async def cut_full_domain(site: FakeSite, *, own: bool = False) -> CutDomain:
    """Let the customer run all that its cap allows in one domain, and cut that off.

    It is the leader's domain with `own`, else another one.
    """
    leader = await prepare(site)
    domain = leader.failure_domain
    if not own:
        domain = next(each for each in DOMAINS if each != domain)
    jobs = await fill_domain(site, domain, 30.0)
    site.cut_domain(domain)
    return CutDomain(domain, leader, jobs)


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
            named = counted[-1].partition("named=")[2].partition("unnamed=")[0]
            assert '\\"agency\\":16000' in named
            await asyncio.sleep(MAX_HELD_S + MAX_WAIT_S)
        placed = [each for each in lines if "tasks_placed" in each]
        assert "customer_load=16000:0+0:0/16000:0 configuration=1" in placed[-1]
        await site.close()

    run_virtual(body)


# Guards against a customer that may start nothing after a takeover as long as a server
# is missing: no more can run there than its room holds.
def test_a_missing_server_takes_no_more_of_a_cap_than_its_room() -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        customer = Customer("agency", frozenset({"key"}), 20.0, Resources(40_000))
        site.configuration.value = configuration(customer, Customer("other"))
        leader = await site.wait_for_leader()
        await asyncio.sleep(SETTLE_S)
        for _ in range(80):
            site.submit(CORE, task_s=1.0)
        await asyncio.sleep(SETTLE_S)
        missing = next(
            each
            for each in site.servers.values()
            if each.entry.failure_domain != leader.failure_domain
        )
        missing.crash()
        site.unregister(missing)
        await leader.kill()
        await site.wait_for_leader()
        jobs = [site.submit(CORE, task_s=9.0) for _ in range(60)]
        await asyncio.sleep(3.0)
        started = sum(bool(site.starts_of(each)) for each in jobs)
        assert started == 40 - SERVER_SIZE.cpu_millis // CORE.cpu_millis
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against a successor that counts only the tasks of jobs that it finds open: the
# runs of jobs cancelled just before went on where the stop orders did not arrive.
@pytest.mark.parametrize("cancel_after_s", [0.0, 0.6, 1.5])
@pytest.mark.parametrize("kill_after_s", [0.1, 0.6, 2.0])
def test_runs_of_cancelled_jobs_count_against_the_cap_after_a_takeover(
    cancel_after_s: float, kill_after_s: float
) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        cut = await cut_full_domain(site)
        await asyncio.sleep(cancel_after_s)
        for job_id in cut.jobs:
            site.cancel(job_id)
        await asyncio.sleep(kill_after_s)
        await cut.leader.kill()
        most = await submit_until(site, now() + MAX_HELD_S + MAX_WAIT_S)
        assert most == CAP_CPU_MILLIS
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against runs that are stopped after the takeover and counted by nobody: their
# job has ended, and the server that lists them has answered.
@pytest.mark.parametrize("healed_after_s", [0.2, 1.0, 3.0])
def test_runs_of_cancelled_jobs_count_until_their_server_has_stopped_them(
    healed_after_s: float,
) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        cut = await cut_full_domain(site)
        for job_id in cut.jobs:
            site.cancel(job_id)
        await asyncio.sleep(0.6)
        await cut.leader.kill()
        for _ in range(16):
            site.submit(CORE, task_s=12.0)
        await site.wait_for_leader()
        await asyncio.sleep(healed_after_s)
        site.heal_domain(cut.name)
        await asyncio.sleep(2.0)
        assert running_cpu_millis(site) == CAP_CPU_MILLIS
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against a leader, and the one after it, that forget the runs of a job that was
# cancelled while the servers there were out of reach.
@pytest.mark.parametrize("second_takeover", [False, True])
@pytest.mark.parametrize("own_domain", [False, True])
def test_runs_of_jobs_cancelled_after_a_takeover_count_against_the_cap(
    own_domain: bool, second_takeover: bool
) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        cut = await cut_full_domain(site, own=own_domain)
        await cut.leader.kill()
        successor = await site.wait_for_leader()
        for job_id in cut.jobs:
            site.cancel(job_id)
        if second_takeover:
            await asyncio.sleep(4.0)
            await successor.kill()
        most = await submit_until(site, now() + MAX_HELD_S + MAX_WAIT_S)
        assert most == CAP_CPU_MILLIS
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against a job that failed while a task of it still runs out of reach.
def test_runs_of_failed_jobs_count_against_the_cap_after_a_takeover() -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        cut = await cut_full_domain(site)
        dispatcher = cut.leader.term._dispatcher
        assert dispatcher is not None
        for job_id in cut.jobs:
            entry = dispatcher._jobs.entries[job_id]
            entry.job.state = JobState.FAILED
            dispatcher._jobs.save(entry)
            for run in list(entry.runs):
                dispatcher._control.stop(run)
        await asyncio.sleep(0.6)
        await cut.leader.kill()
        most = await submit_until(site, now() + MAX_HELD_S + MAX_WAIT_S)
        assert most == CAP_CPU_MILLIS
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against a leader that has not read the version with a new customer yet, and
# took that for a customer without a cap.
def test_a_customer_that_the_leader_has_not_read_yet_keeps_its_cap() -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        leader = await site.wait_for_leader()
        await asyncio.sleep(SETTLE_S)
        leader.configuration.stale = site.configuration.value
        newcomer = Customer("new", frozenset({"new"}), 20.0, Resources(CAP_CPU_MILLIS))
        site.configuration.value = configuration(newcomer, CUSTOMER, version=2)
        for _ in range(40):
            site.submit(CORE, task_s=12.0, customer="new")
        await asyncio.sleep(1.0)
        leader.configuration.stale = None
        await asyncio.sleep(1.0)
        assert running_cpu_millis(site) == CAP_CPU_MILLIS
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against a cap that was lowered and that the leader applies late: the VM that
# accepts a job knows the newer version.
def test_a_lowered_cap_that_the_leader_has_not_read_yet_holds_with_the_next_job() -> (
    None
):
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        leader = await prepare(site)
        for _ in range(20):
            site.submit(CORE, task_s=1.0)
        await asyncio.sleep(SETTLE_S)
        leader.configuration.stale = site.configuration.value
        lowered = Customer("agency", frozenset({"key"}), 20.0, Resources(8_000))
        site.configuration.value = configuration(lowered, version=2)
        for _ in range(40):
            site.submit(CORE, task_s=1.0)
        await asyncio.sleep(10.0)
        assert len(site.history) == 60
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against a customer without a cap, as it was removed while its jobs waited.
def test_waiting_jobs_of_a_removed_customer_keep_its_cap() -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=1, domains=DOMAINS)
        await prepare(site)
        site.caps["agency"] = Resources(CAP_CPU_MILLIS)
        for _ in range(40):
            site.submit(CORE, task_s=4.0)
        await asyncio.sleep(1.0)
        site.configuration.value = configuration(Customer("other"), version=2)
        await asyncio.sleep(12.0)
        assert len(site.history) == 40
        assert not site.faults
        await site.close()

    run_virtual(body)
