"""Customers keep their caps under random faults on a simulated site, in virtual time.

Two customers submit more than their caps allow, and cancel jobs, while failure domains
are cut off and leaders are killed, often within a second.  `Site.faults` must stay
empty: no start may bring a customer above its cap, counting all of its runs.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.queues import Customer
from cassiaweir.types import Resources
from standins.users import unjustified_failures
from tests.site_fakes import ADVISED, QUEUE, URGENT, FakeSite, configuration
from tests.test_site_faults import DOMAIN_FAULTS, Fault
from tests.virtual_time import run_virtual

FAULT_PERIOD_S = 30.0
RECOVERY_PERIOD_S = 75.0
DOMAINS = ("a", "b", "c")
PATIENT = replace(QUEUE, slack_s=120.0)
CUSTOMERS = (
    Customer("agency", frozenset({"key"}), 20.0, Resources(12_000)),
    Customer("large", frozenset({"large"}), 20.0, Resources(40_000, 60_000)),
)


def submit_job(site: FakeSite, rng: random.Random) -> str:
    """Submit a job of one of the customers; return its id."""
    customer = rng.choice(CUSTOMERS).name
    seconds = rng.uniform(0.5, 4)
    cpu = rng.choice((500, 1_400, 3_000))
    step = StepSpec(rng.randint(1, 4), cpu, 2 * cpu, estimate_s=seconds)
    kind = rng.randrange(4)
    if kind == 0:
        return site.submit(step, queue=URGENT, customer=customer, task_s=seconds)
    if kind == 1:
        gang = replace(step, count=min(step.count, 2), gang=True)
        return site.submit(gang, queue=ADVISED, customer=customer, task_s=seconds)
    later = replace(step, count=1, after=(0,))
    return site.submit(step, later, queue=PATIENT, customer=customer, task_s=seconds)


async def cut_cancel_and_kill(site: FakeSite, rng: random.Random) -> None:
    """Cut a domain, cancel jobs that run there, and kill the leader soon after."""
    leader = await site.wait_for_leader()
    domain = rng.choice([leader.failure_domain, rng.choice(DOMAINS)])
    if site.cut_domains:
        return
    site.cut_domain(domain)
    await asyncio.sleep(rng.uniform(0, 1.5))
    for job_id in running_jobs(site, domain):
        if rng.random() < 0.7:
            site.cancel(job_id)
    await asyncio.sleep(rng.uniform(0, 1))
    if leader.alive:
        await leader.kill()
    await asyncio.sleep(rng.uniform(0.5, 10))
    site.heal_domain(domain)
    if not leader.alive:
        leader.start()


def running_jobs(site: FakeSite, domain: str) -> list[str]:
    """Return the ids of the jobs with runs in a failure domain."""
    return sorted(
        {
            task.partition(".")[0]
            for server in site.servers.values()
            if server.entry.failure_domain == domain
            for task, _ in server.runs
        }
    )


FAULTS: tuple[Fault, ...] = (*DOMAIN_FAULTS, *[cut_cancel_and_kill] * 12)


# Guards against each way by which a run is counted by no leader.
@pytest.mark.parametrize("seed", range(12))
def test_no_start_passes_a_cap(seed: int) -> None:
    run_seed(seed)


def run_seed(seed: int) -> None:
    """Play one seed; raise `AssertionError` if an invariant breaks."""

    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=seed, domains=DOMAINS)
        site.configuration.value = configuration(
            *CUSTOMERS, queues=(PATIENT, URGENT, ADVISED)
        )
        await site.wait_for_leader()
        jobs: list[str] = []
        faults = set()
        loop = asyncio.get_running_loop()
        while loop.time() < FAULT_PERIOD_S:
            jobs.append(submit_job(site, site.rng))
            if site.rng.random() < 0.1:
                site.cancel(site.rng.choice(jobs))
            if site.rng.random() < 0.12:
                fault = site.rng.choice(FAULTS)
                faults.add(asyncio.create_task(fault(site, site.rng)))
            await asyncio.sleep(site.rng.uniform(0.05, 0.5))
        await asyncio.gather(*faults)
        await asyncio.sleep(RECOVERY_PERIOD_S)
        leader = await site.wait_for_leader()
        states = {leader.term.job_state(job_id) for job_id in jobs}
        assert not unjustified_failures(site, leader.term.job_state)
        await site.close()
        assert not site.faults
        assert states <= {JobState.DONE, JobState.CANCELLED}

    run_virtual(body)
