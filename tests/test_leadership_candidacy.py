"""Tests of leader election among VMs of different sizes: strong ones are preferred."""

from __future__ import annotations

import asyncio

from cassiaweir.dispatch._gate import former_authority_end
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.leadership import LEADERSHIP_VALIDITY, Owner
from tests.site_fakes import FakeSite
from tests.virtual_time import run_virtual

FEW_CORES, MANY_CORES = 0.5, 2.0
TASK = StepSpec(count=2, cpu_millis=1_000, memory_mb=512, estimate_s=1.0)


def now() -> float:
    return asyncio.get_running_loop().time()


def test_a_strong_vm_becomes_the_first_leader():
    async def body() -> None:
        site = FakeSite(cores=[FEW_CORES, FEW_CORES, FEW_CORES, MANY_CORES, FEW_CORES])
        assert (await site.wait_for_leader()).cores == MANY_CORES
        await site.close()

    run_virtual(body)


def test_a_weak_vm_takes_over_within_a_second_when_no_strong_vm_runs():
    async def body() -> None:
        site = FakeSite(cores=[FEW_CORES, MANY_CORES, FEW_CORES])
        leader = await site.wait_for_leader()
        await asyncio.sleep(1)
        await leader.kill()
        killed_at = now()
        assert (await site.wait_for_leader()).cores == FEW_CORES
        assert now() - killed_at < 1.0
        await site.close()

    run_virtual(body)


def test_handover_to_a_strong_vm_neither_loses_nor_repeats_tasks():
    async def body() -> None:
        site = FakeSite(cores=[FEW_CORES, MANY_CORES, FEW_CORES])
        strong = await site.wait_for_leader()
        await strong.kill()
        await site.wait_for_leader()
        jobs = [site.submit(TASK, task_s=2.0) for _ in range(20)]
        strong.start()
        for _ in range(20):
            await asyncio.sleep(0.25)
            jobs.append(site.submit(TASK, task_s=2.0))
        assert (await site.wait_for_leader()) is strong
        await asyncio.sleep(5)
        for job_id in jobs:
            assert strong.term.job_state(job_id) is JobState.DONE
            assert len(site.starts_of(job_id)) == 2
        assert not site.faults
        await site.close()

    run_virtual(body)


def test_a_strong_vm_that_cannot_reach_the_store_does_not_become_leader():
    async def body() -> None:
        site = FakeSite(cores=[FEW_CORES, MANY_CORES, FEW_CORES])
        strong = await site.wait_for_leader()
        await strong.kill()
        weak = await site.wait_for_leader()
        strong.start()
        strong.store.fault_mode = "busy"
        await asyncio.sleep(8)
        assert (await site.wait_for_leader()) is weak
        await site.close()

    run_virtual(body)


def test_tasks_start_soon_after_a_handover_despite_an_unreachable_server():
    """Guards against waiting for the validity of a leadership that was handed over.

    The former leader has stopped giving orders, so its successor only waits until the
    last lease that it gave to the unreachable server has expired.
    """

    async def body() -> None:
        site = FakeSite(cores=[FEW_CORES, MANY_CORES, FEW_CORES], servers=4)
        strong = await site.wait_for_leader()
        await strong.kill()
        await site.wait_for_leader()
        step = StepSpec(count=60, cpu_millis=4_000, estimate_s=1.0)
        job_id = site.submit(step, task_s=1.0)
        await asyncio.sleep(0.3)
        strong.orders.unreachable = {"i-0"}
        strong.start()
        await strong.wait_to_lead()
        started = len(site.starts_of(job_id))
        await asyncio.sleep(4)
        assert len(site.starts_of(job_id)) > started
        assert not site.faults
        await site.close()

    run_virtual(body)


def test_only_a_settled_and_released_leadership_ends_its_authority_at_once():
    owner = Owner(3, "vm", "life", "address")
    validity_end = 10 + LEADERSHIP_VALIDITY.total_seconds()
    assert former_authority_end(None, 10) == validity_end
    assert former_authority_end(owner, 10) == validity_end
    released = Owner(3, "vm", "life", "address", released=True)
    assert former_authority_end(released, 10) == validity_end
    settled = Owner(3, "vm", "life", "address", released=True, settled=True)
    assert former_authority_end(settled, 10) == 10
