"""Random cuts of backend servers from the whole platform, in virtual time.

Entries lapse and the same lifetimes are back, servers restart behind a cut, drain or
are lost for good, and leaders are cut off or change meanwhile.  No task crashes its
server, unless a test says so: no job may be given up, and each is done in the end.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from cassiaweir.jobs import JobState, StepSpec
from standins.users import Deadly, unjustified_failures
from tests.lapse_faults import LAPSE_FAULTS
from tests.site_fakes import ADVISED, QUEUE, URGENT, FakeSite
from tests.test_site_faults import (
    Fault,
    break_store_for_some,
    cut_servers,
    delay_orders,
    kill_and_restart,
    stop_leader,
)
from tests.test_task_crashes import new_site, submit_deadly
from tests.virtual_time import run_virtual

FAULT_PERIOD_S = 30.0
RECOVERY_PERIOD_S = 60.0
FAULT_SHARE = 0.25
"""The share of submissions after which a fault begins."""

FAULTS: tuple[Fault, ...] = (
    *LAPSE_FAULTS, *LAPSE_FAULTS, break_store_for_some, cut_servers, delay_orders,
    kill_and_restart, stop_leader,
)  # fmt: skip


class Work:
    """Random jobs of every shape; those in `ending` have to be done."""

    def __init__(self, site: FakeSite) -> None:
        self.site = site
        self.ending: list[str] = []
        self.lasting: list[str] = []

    def submit(self) -> None:
        """Submit a job, often with tasks that take longer than a lease."""
        rng = self.site.rng
        seconds = rng.choice((0.5, 2.0, 4.0, 8.0))
        step = StepSpec(
            count=rng.choice((1, 1, 2, 6, 20)),
            cpu_millis=rng.choice((200, 500, 1_400)),
            estimate_s=seconds,
            checkpoints=rng.random() < 0.3,
            most_per_server=rng.choice((0, 0, 3)),
        )
        kind = rng.randrange(6)
        if kind == 0:
            lasting = StepSpec(count=2, cpu_millis=200, long_running=True)
            self.lasting.append(self.site.submit(lasting, task_s=10_000.0))
        elif kind == 1:
            gang = StepSpec(
                count=rng.randint(2, 4), cpu_millis=2_000, estimate_s=seconds, gang=True
            )
            self.ending.append(self.site.submit(gang, queue=ADVISED, task_s=seconds))
        elif kind == 2:
            job_id = self.site.submit(step, task_s=seconds, times=2, interval_s=3.0)
            self.ending.append(job_id)
        elif kind == 3:
            then = StepSpec(count=2, cpu_millis=500, estimate_s=seconds, after=(0,))
            self.ending.append(self.site.submit(step, then, task_s=seconds))
        else:
            queue = rng.choice((QUEUE, URGENT))
            self.ending.append(self.site.submit(step, queue=queue, task_s=seconds))


async def run_lapses(site: FakeSite, rng: random.Random) -> Work:
    """Submit jobs and inject faults for some time, then let the site recover."""
    work = Work(site)
    faults = set()
    while asyncio.get_running_loop().time() < FAULT_PERIOD_S:
        work.submit()
        if rng.random() < FAULT_SHARE:
            faults.add(asyncio.create_task(rng.choice(FAULTS)(site, rng)))
        await asyncio.sleep(rng.uniform(0.2, 0.8))
    await asyncio.gather(*faults)
    await asyncio.sleep(RECOVERY_PERIOD_S)
    return work


# Guards against LOST: silence, or the end of a lifetime whose leases had ended, counts
# as proof that a job crashes servers, and the job is given up for good.
@pytest.mark.parametrize("seed", range(700, 712))
def test_no_job_is_given_up_as_servers_are_cut_off(seed: int) -> None:
    async def body() -> None:
        site = await new_site(servers=12, vms=3, seed=seed)
        work = await run_lapses(site, site.rng)
        leader = await site.wait_for_leader()
        state = leader.term.job_state
        assert not unjustified_failures(site, state)
        assert not site.faults
        assert not [job for job in work.ending if state(job) is not JobState.DONE]
        assert {state(job) for job in work.lasting} <= {JobState.RUNNING}
        await site.close()

    run_virtual(body)


# Guards against LOST and BUDGET beside each other: a deadly job is started without
# bound, or others are given up for it, as servers are cut off.
@pytest.mark.parametrize("seed", range(720, 732))
def test_only_deadly_jobs_are_given_up_as_servers_are_cut_off(seed: int) -> None:
    async def body() -> None:
        site = await new_site(servers=12, vms=3, seed=seed)
        rng = random.Random(seed)
        deadly: list[str] = []

        async def submit_some() -> None:
            for _ in range(4):
                await asyncio.sleep(rng.uniform(0.5, 8.0))
                back_after_s = rng.choice((1.0, 3.5, 5.0, 9.0))
                kind = Deadly(
                    rng.choice((0.0, 0.15, 1.5)), back_after_s, rng.random() < 0.5
                )
                step = StepSpec(count=rng.randint(1, 3), cpu_millis=2_000)
                deadly.append(submit_deadly(site, kind, step))

        submitted = asyncio.create_task(submit_some())
        work = await run_lapses(site, site.rng)
        await submitted
        state = (await site.wait_for_leader()).term.job_state
        assert not unjustified_failures(site, state)
        assert not site.faults
        assert {state(job) for job in work.ending} <= {JobState.DONE, JobState.FAILED}
        assert JobState.DONE not in {state(job) for job in deadly}
        await site.close()

    run_virtual(body)
