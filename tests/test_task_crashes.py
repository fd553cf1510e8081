"""Tests of tasks that crash the servers that start them.

Pattern: a job comes one of whose tasks takes down each server that runs it.  What else
ran there is requeued with it, may be placed beside it again, and must not be blamed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import pytest

from cassiaweir.jobs import JobState, StepSpec
from standins.users import Deadly, unjustified_failures
from standins.users._site import MAX_CRASHES
from tests.site_fakes import ADVISED, FakeSite
from tests.test_site_faults import run_faults
from tests.virtual_time import run_virtual

MAX_STARTS = 5
"""Starts of a task that crashes every server: three, and two more after those."""

SMALL = StepSpec(count=2, cpu_millis=500, estimate_s=1.0)
ONE = StepSpec(count=1, cpu_millis=2_000, estimate_s=2.0)
SETTLE_S = 0.5
same_and_new_id = pytest.mark.parametrize("new_id", [False, True])


async def new_site(servers: int = 6, vms: int = 1, **options: object) -> FakeSite:
    site = FakeSite(servers=servers, vms=vms, **options)  # type: ignore[arg-type]
    await site.wait_for_leader()
    await asyncio.sleep(SETTLE_S)
    return site


def submit_deadly(
    site: FakeSite, deadly: Deadly, step: StepSpec = ONE, tasks: Sequence[int] = (0,)
) -> str:
    """Submit a job whose `tasks` crash their servers."""
    job_id = site.submit(step, task_s=2.0)
    for index in tasks:
        site.deadly[f"{job_id}.0.0.{index}"] = deadly
    return job_id


async def wait_for_crashes(site: FakeSite, task: str, crashes: int) -> None:
    for _ in range(3_000):
        if len(site.crashes_of(task)) >= crashes:
            return
        await asyncio.sleep(0.01)
    raise AssertionError(f"{crashes} crashes under {task} were expected")


async def states(site: FakeSite, jobs: Sequence[str]) -> list[JobState | None]:
    """Return what the leader shows; no job may be shown as failed without cause."""
    leader = await site.wait_for_leader()
    assert not unjustified_failures(site, leader.term.job_state)
    return [leader.term.job_state(job_id) for job_id in jobs]


async def assert_given_up(site: FakeSite, jobs: Sequence[str]) -> None:
    """Check that deadly jobs have failed after few starts of each task."""
    assert set(await states(site, jobs)) == {JobState.FAILED}
    for job_id in jobs:
        tasks = {run.task for run in site.starts_of(job_id)}
        for task in tasks:
            starts = [run for run in site.history if run.task == task]
            assert len(starts) <= MAX_STARTS
        assert max(len(site.crashes_of(task)) for task in tasks) >= 2


async def assert_done(site: FakeSite, jobs: Sequence[str]) -> None:
    """Check that no innocent job was given up or is still open."""
    assert set(await states(site, jobs)) == {JobState.DONE}
    assert not site.faults


async def assert_given_up_for_crashes_only(site: FakeSite, jobs: Sequence[str]) -> None:
    """Check that jobs have ended, and failed only if servers crashed under a task.

    Random crashes may hit an innocent job as often as a deadly one is tried; it is then
    given up as well.
    """
    for job_id, state in zip(jobs, await states(site, jobs), strict=True):
        if state is JobState.DONE:
            continue
        assert state is JobState.FAILED
        tasks = {run.task for run in site.starts_of(job_id)}
        assert max(len(site.crashes_of(task)) for task in tasks) >= MAX_CRASHES
    assert not site.faults


# Guards against BUDGET: a task that crashes its servers is started without bound.
@pytest.mark.parametrize("after_s", [0.0, 0.15, 1.5])
@same_and_new_id
def test_a_task_that_crashes_each_server_is_given_up(
    after_s: float, new_id: bool
) -> None:
    async def body() -> None:
        site = await new_site()
        job = submit_deadly(site, Deadly(after_s, new_id=new_id))
        await asyncio.sleep(40)
        await assert_given_up(site, [job])
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against jobs that are given up as they were requeued beside a deadly task.
@same_and_new_id
def test_jobs_beside_a_deadly_task_are_done(new_id: bool) -> None:
    async def body() -> None:
        site = await new_site()
        deadly = submit_deadly(site, Deadly(new_id=new_id))
        jobs = [site.submit(SMALL, task_s=1.0) for _ in range(10)]
        await asyncio.sleep(60)
        await assert_given_up(site, [deadly])
        await assert_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against a fleet that is taken down by several deadly jobs at one moment.
@same_and_new_id
def test_several_deadly_jobs_do_not_keep_others_from_ending(new_id: bool) -> None:
    async def body() -> None:
        site = await new_site()
        step = StepSpec(count=4, cpu_millis=500, estimate_s=1.0)
        jobs = [site.submit(step, task_s=1.0) for _ in range(15)]
        deadly = [submit_deadly(site, Deadly(new_id=new_id)) for _ in range(3)]
        jobs += [site.submit(step, task_s=1.0) for _ in range(15)]
        await asyncio.sleep(60)
        await assert_given_up(site, deadly)
        await assert_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against BUDGET by gangs and wide steps that crash many servers at once.
@pytest.mark.parametrize("gang", [False, True])
@same_and_new_id
def test_a_step_whose_tasks_are_all_deadly_is_given_up(
    gang: bool, new_id: bool
) -> None:
    async def body() -> None:
        site = await new_site(servers=10)
        step = StepSpec(count=4, cpu_millis=9_000, estimate_s=2.0, gang=gang)
        job = submit_deadly(site, Deadly(new_id=new_id), step, tasks=range(4))
        jobs = [site.submit(SMALL, task_s=1.0) for _ in range(10)]
        await asyncio.sleep(60)
        await assert_given_up(site, [job])
        await assert_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against BUDGET by gangs one of whose members crashes its server.
@same_and_new_id
def test_a_gang_with_one_deadly_member_is_given_up(new_id: bool) -> None:
    async def body() -> None:
        site = await new_site(servers=8)
        # Simulated members run on without each other, so they must not end first.
        step = StepSpec(count=4, cpu_millis=4_500, estimate_s=6.0, gang=True)
        job = site.submit(step, queue=ADVISED, task_s=6.0)
        site.deadly[f"{job}.0.0.2"] = Deadly(new_id=new_id)
        jobs = [site.submit(SMALL, task_s=1.0) for _ in range(10)]
        await asyncio.sleep(60)
        await assert_given_up(site, [job])
        await assert_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against BUDGET across takeovers: the next leader sees the second crash.
@pytest.mark.parametrize("killed_after_s", [0.2, 1.0, 2.5])
@same_and_new_id
def test_crashes_are_counted_across_takeovers(
    killed_after_s: float, new_id: bool
) -> None:
    async def body() -> None:
        site = await new_site(vms=3)
        job = submit_deadly(site, Deadly(new_id=new_id))
        task = f"{job}.0.0.0"
        for crashes in (1, 2):
            await wait_for_crashes(site, task, crashes)
            await asyncio.sleep(killed_after_s)
            vm = await site.wait_for_leader()
            await vm.kill()
            await asyncio.sleep(0.5)
            vm.start()
        await asyncio.sleep(60)
        await assert_given_up(site, [job])
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against innocent jobs that are given up as many servers crash at one moment.
@same_and_new_id
def test_mass_crashes_blame_nobody(new_id: bool) -> None:
    crash_half_of_the_servers_in_series(seed=0, new_id=new_id)


# Guards against the same as servers without any run, which crashed at that moment too,
# have reported before the one that ran the job's tasks.
@pytest.mark.parametrize("seed", [1, 2, 5])
def test_mass_crashes_blame_nobody_in_any_order_of_reports(seed: int) -> None:
    crash_half_of_the_servers_in_series(seed=seed, new_id=False)


def crash_half_of_the_servers_in_series(*, seed: int, new_id: bool) -> None:
    async def body() -> None:
        site = await new_site(servers=8, seed=seed)
        step = StepSpec(count=6, cpu_millis=2_000, estimate_s=6.0)
        jobs = [site.submit(step, task_s=6.0) for _ in range(6)]
        for _ in range(4):
            await asyncio.sleep(3.5)
            up = [each for each in site.servers.values() if each.up]
            for server in site.rng.sample(up, 4):
                site.crash_for(server, 2.0, new_id=new_id)
        await asyncio.sleep(120)
        await assert_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against BUDGET and lost jobs when crashes meet takeovers and a failing store.
@pytest.mark.parametrize("seed", range(400, 412))
def test_deadly_jobs_are_given_up_under_random_faults(seed: int) -> None:
    async def body() -> None:
        site = await new_site(servers=8, vms=3, seed=seed)
        rng = random.Random(seed)
        deadly: list[str] = []

        async def submit_some() -> None:
            for _ in range(4):
                await asyncio.sleep(rng.uniform(0.5, 8.0))
                kind = Deadly(rng.choice((0.0, 0.15, 1.5)), 2.0, rng.random() < 0.5)
                step = StepSpec(count=rng.randint(1, 3), cpu_millis=2_000)
                deadly.append(submit_deadly(site, kind, step))

        submitted = asyncio.create_task(submit_some())
        jobs = await run_faults(site, site.rng)
        await submitted
        await asyncio.sleep(90)
        assert set(await states(site, deadly)) <= {JobState.FAILED}
        await assert_given_up_for_crashes_only(site, jobs)
        await site.close()

    run_virtual(body)
