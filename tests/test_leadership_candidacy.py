"""Strong VMs lead where there are any: they take a free lead and get it back."""

from __future__ import annotations

import asyncio

from cassiaweir.dispatch._gate import former_authority_end
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.leadership import LEADERSHIP_VALIDITY, Owner
from tests.site_fakes import FakeSite
from tests.virtual_time import run_virtual

WEAK, STRONG = 0.5, 2.0
TASK = StepSpec(count=2, cpu_millis=1_000, memory_mb=512, estimate_s=1.0)


def now() -> float:
    return asyncio.get_running_loop().time()


def test_a_free_lead_goes_to_a_strong_vm():
    async def body() -> None:
        site = FakeSite(cores=[WEAK, WEAK, WEAK, STRONG, WEAK])
        assert (await site.wait_for_leader()).cores == STRONG
        await site.close()

    run_virtual(body)


def test_a_weak_vm_leads_within_a_second_where_the_strong_ones_are_gone():
    async def body() -> None:
        site = FakeSite(cores=[WEAK, STRONG, WEAK])
        leader = await site.wait_for_leader()
        await asyncio.sleep(1)
        await leader.kill()
        killed_at = now()
        assert (await site.wait_for_leader()).cores == WEAK
        assert now() - killed_at < 1.0
        await site.close()

    run_virtual(body)


def test_a_weak_leader_hands_over_and_nothing_is_lost_or_done_twice():
    async def body() -> None:
        site = FakeSite(cores=[WEAK, STRONG, WEAK])
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


def test_a_strong_vm_without_a_way_to_the_store_gets_no_lead():
    async def body() -> None:
        site = FakeSite(cores=[WEAK, STRONG, WEAK])
        strong = await site.wait_for_leader()
        await strong.kill()
        weak = await site.wait_for_leader()
        strong.start()
        strong.store.fault_mode = "busy"
        await asyncio.sleep(8)
        assert (await site.wait_for_leader()) is weak
        await site.close()

    run_virtual(body)


def test_work_goes_on_at_once_after_a_handover_though_a_server_is_out_of_reach():
    """The former leader stopped acting, so only its last lease is waited out."""

    async def body() -> None:
        site = FakeSite(cores=[WEAK, STRONG, WEAK], servers=4)
        strong = await site.wait_for_leader()
        await strong.kill()
        await site.wait_for_leader()
        wide = StepSpec(count=60, cpu_millis=4_000, estimate_s=1.0)
        job_id = site.submit(wide, task_s=1.0)
        await asyncio.sleep(0.3)
        strong.orders.unreachable = {"i-0"}
        strong.start()
        await strong.wait_to_lead()
        seen = len(site.starts_of(job_id))
        await asyncio.sleep(4)
        assert len(site.starts_of(job_id)) > seen
        assert not site.faults
        await site.close()

    run_virtual(body)


def test_only_a_lead_given_up_by_one_who_knew_all_runs_frees_its_successor():
    owner = Owner(3, "vm", "life", "address")
    later = 10 + LEADERSHIP_VALIDITY.total_seconds()
    assert former_authority_end(None, 10) == later
    assert former_authority_end(owner, 10) == later
    released = Owner(3, "vm", "life", "address", released=True)
    assert former_authority_end(released, 10) == later
    settled = Owner(3, "vm", "life", "address", released=True, settled=True)
    assert former_authority_end(settled, 10) == 10
