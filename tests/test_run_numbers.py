"""Tests that the runs of a task have rising numbers, whoever leads."""

from __future__ import annotations

import asyncio
import itertools

from cassiaweir.dispatch import EndKind
from cassiaweir.jobs import StepSpec
from tests.site_fakes import FakeSite
from tests.virtual_time import run_virtual


# Guards against runs that servers refuse or take for an earlier one of that number,
# after a term in which a task had many runs.
def test_run_numbers_rise_after_a_term_with_many_runs_of_a_task() -> None:
    async def body() -> None:
        site = FakeSite(servers=3, vms=2)
        leader = await site.wait_for_leader()
        lasting = StepSpec(count=1, cpu_millis=500, long_running=True)
        job_id = site.submit(lasting, task_s=0.05, how=EndKind.FAILED)
        await asyncio.sleep(25)
        runs_before = len(site.starts_of(job_id))
        await leader.kill()
        # The next leader learns of no run that is still at work.
        last = site.starts_of(job_id)[-1]
        site.servers[last.server].crash()
        site.servers[last.server].restart()
        await asyncio.sleep(15)
        await site.close()
        numbers = [run.number for run in site.starts_of(job_id)]
        assert runs_before > 100
        assert len(numbers) > runs_before + 10
        assert all(a < b for a, b in itertools.pairwise(numbers))
        assert not site.faults

    run_virtual(body)
