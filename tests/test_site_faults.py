"""Random faults on a simulated site, in virtual time; all jobs must still end.

Each seed draws a sequence of faults, which may overlap and repeat: killed processes,
unreachable or unhealthy servers, store faults, late orders, and servers that crash and
start again, some of them smaller and with a late entry.  `Site.faults` must stay empty:
no task has two runs at once or a run after its confirmed success, and no server runs
more than fits.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence

import pytest

from cassiaweir.dispatch import EndKind
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.types import Resources
from standins.users import SERVER_SIZE, unjustified_failures
from tests.site_fakes import ADVISED, QUEUE, URGENT, FakeSite, FakeVm
from tests.virtual_time import run_virtual

Fault = Callable[[FakeSite, random.Random], Coroutine[None, None, None]]
FAULT_PERIOD_S = 30.0
RECOVERY_PERIOD_S = 30.0
STORE_FAULTS = ("silent", "busy", "lossy", "late")
CAPACITIES = (SERVER_SIZE, Resources(6_000, 24_576))
"""What a server may have after a restart; each task fits into either."""


async def kill_and_restart(site: FakeSite, rng: random.Random) -> None:
    vm = rng.choice([site.leader() or site.vms[0], rng.choice(site.vms)])
    if not vm.alive:
        return
    await vm.kill()
    await asyncio.sleep(rng.uniform(0.3, 3))
    vm.start()


async def kill_all(site: FakeSite, rng: random.Random) -> None:
    for vm in site.vms:
        if vm.alive:
            await vm.kill()
    await asyncio.sleep(rng.uniform(0.3, 1.5))
    for vm in site.vms:
        if not vm.alive:
            vm.start()


async def stop_leader(site: FakeSite, rng: random.Random) -> None:
    vm = site.leader()
    if vm is None or vm.store.fault_mode:
        return
    await vm.election.stop()
    if vm.alive:
        await vm.kill()
    await asyncio.sleep(rng.uniform(0.3, 1))
    if not vm.alive:
        vm.start()


async def break_store_for_some(site: FakeSite, rng: random.Random) -> None:
    await break_store(site, rng, [site.leader() or site.vms[0], rng.choice(site.vms)])


async def break_store_for_all(site: FakeSite, rng: random.Random) -> None:
    await break_store(site, rng, site.vms)


async def break_store(site: FakeSite, rng: random.Random, vms: list[FakeVm]) -> None:
    fault = rng.choice(STORE_FAULTS)
    for vm in vms:
        vm.store.fault_mode = fault
    await asyncio.sleep(rng.uniform(1, 8))
    for vm in vms:
        vm.store.fault_mode = ""


async def forget_history(site: FakeSite, rng: random.Random) -> None:
    site.store.forget_history()


async def crash_server(site: FakeSite, rng: random.Random) -> None:
    server = rng.choice(list(site.servers.values()))
    if not server.up:
        return
    server.crash()
    await asyncio.sleep(rng.uniform(0.2, 6))
    server.restart(rng.choice(CAPACITIES), entry_delay_s=rng.choice((0, 0, 1, 3)))


async def cut_servers(site: FakeSite, rng: random.Random) -> None:
    vm = site.leader() or rng.choice(site.vms)
    names = rng.sample(list(site.servers), rng.randint(1, 2))
    vm.orders.unreachable.update(names)
    await asyncio.sleep(rng.uniform(1, 8))
    vm.orders.unreachable.difference_update(names)


async def delay_orders(site: FakeSite, rng: random.Random) -> None:
    for vm in site.vms:
        vm.orders.late_share = 0.2
    await asyncio.sleep(rng.uniform(1, 5))
    for vm in site.vms:
        vm.orders.late_share = 0.0


async def make_unhealthy(site: FakeSite, rng: random.Random) -> None:
    """Let servers refuse orders while other orders are carried out late."""
    names = rng.sample(list(site.servers), 2)
    for vm in site.vms:
        vm.orders.unhealthy.update(names)
        vm.orders.late_share = 0.4
    await asyncio.sleep(rng.uniform(2, 6))
    for vm in site.vms:
        vm.orders.unhealthy.difference_update(names)
        vm.orders.late_share = 0.0


async def cut_domain(site: FakeSite, rng: random.Random) -> None:
    leader = site.leader() or site.vms[0]
    domain = rng.choice([leader.failure_domain, rng.choice(site.vms).failure_domain])
    if domain in site.cut_domains:
        return
    site.cut_domain(domain)
    await asyncio.sleep(rng.uniform(1, 8))
    site.heal_domain(domain)


FAULTS = (
    kill_and_restart,
    kill_all,
    stop_leader,
    break_store_for_some,
    break_store_for_all,
    forget_history,
    crash_server,
    cut_servers,
    delay_orders,
    make_unhealthy,
)
DOMAIN_FAULTS = (*FAULTS, cut_domain, cut_domain)


def submit_random_job(site: FakeSite, rng: random.Random) -> str:
    kind = rng.randrange(4)
    seconds = rng.uniform(0.2, 3)
    cpu = rng.choice((500, 1_400, 4_500))
    if kind == 0:
        step = StepSpec(count=rng.randint(1, 3), cpu_millis=cpu, estimate_s=seconds)
        return site.submit(step, queue=URGENT, task_s=seconds)
    if kind == 1:
        gang = StepSpec(
            count=rng.randint(2, 4), cpu_millis=cpu, estimate_s=seconds, gang=True
        )
        return site.submit(gang, queue=ADVISED, task_s=seconds)
    first = StepSpec(count=rng.randint(1, 6), cpu_millis=cpu, estimate_s=seconds)
    then = StepSpec(count=2, cpu_millis=cpu, estimate_s=seconds, after=(0,))
    return site.submit(first, then, queue=QUEUE, task_s=seconds)


async def run_faults(
    site: FakeSite, rng: random.Random, kinds: Sequence[Fault] = FAULTS
) -> list[str]:
    """Submit jobs and inject faults; return the ids of the jobs."""
    jobs = []
    faults = set()
    while asyncio.get_running_loop().time() < FAULT_PERIOD_S:
        jobs.append(submit_random_job(site, rng))
        if rng.random() < 0.15:
            fault = rng.choice(kinds)
            faults.add(asyncio.create_task(fault(site, rng)))
        await asyncio.sleep(rng.uniform(0.05, 0.5))
    await asyncio.gather(*faults)
    return jobs


def cores_of(seed: int) -> tuple[float, ...]:
    """Return the cores of each VM: equal for odd seeds, one VM with more for even."""
    return (1.0, 1.0, 1.0) if seed % 2 else (0.5, 2.0, 0.5)


@pytest.mark.parametrize("seed", [*range(24), *range(200, 212)])
def test_no_invariant_breaks_and_every_job_ends(seed: int) -> None:
    async def body() -> None:
        cores = cores_of(seed) if seed >= 200 else ()
        site = FakeSite(servers=6, vms=3, seed=seed, cores=cores)
        await site.wait_for_leader()
        jobs = await run_faults(site, site.rng)
        await asyncio.sleep(RECOVERY_PERIOD_S)
        leader = await site.wait_for_leader()
        states = {job_id: leader.term.job_state(job_id) for job_id in jobs}
        assert not unjustified_failures(site, leader.term.job_state)
        await site.close()
        assert not site.faults
        unfinished = [
            job for job, state in states.items() if state is not JobState.DONE
        ]
        assert not unfinished

    run_virtual(body)


@pytest.mark.parametrize("seed", range(300, 330))
def test_no_invariant_breaks_when_failure_domains_are_cut_off(seed: int) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=seed, domains=("a", "b", "c"))
        for server in site.servers.values():
            server.refuses = site.rng.random() < 0.5
        await site.wait_for_leader()
        jobs = await run_faults(site, site.rng, DOMAIN_FAULTS)
        await asyncio.sleep(RECOVERY_PERIOD_S)
        leader = await site.wait_for_leader()
        states = {job_id: leader.term.job_state(job_id) for job_id in jobs}
        assert not unjustified_failures(site, leader.term.job_state)
        await site.close()
        assert not site.faults
        assert set(states.values()) == {JobState.DONE}

    run_virtual(body)


@pytest.mark.parametrize("seed", range(100, 106))
def test_failures_are_counted_once_under_faults(seed: int) -> None:
    async def body() -> None:
        site = FakeSite(servers=6, vms=3, seed=seed)
        await site.wait_for_leader()
        step = StepSpec(count=1, cpu_millis=500, estimate_s=0.3)
        failing_jobs = [
            site.submit(step, task_s=0.3, how=EndKind.FAILED) for _ in range(20)
        ]
        await run_faults(site, site.rng)
        await asyncio.sleep(RECOVERY_PERIOD_S)
        leader = await site.wait_for_leader()
        assert not unjustified_failures(site, leader.term.job_state)
        for job_id in failing_jobs:
            assert leader.term.job_state(job_id) is JobState.FAILED
            failed = [
                each for each in site.starts_of(job_id) if each.how is EndKind.FAILED
            ]
            assert len(failed) >= QUEUE.most_failures
        await site.close()
        assert not site.faults

    run_virtual(body)
