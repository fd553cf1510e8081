"""Tests that a leader's work for a wide job does not grow with the square of its tasks.

A job of thousands of tasks otherwise takes all of the leader's time, whatever its calls
to servers wait for.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from cassiaweir.dispatch import PROGRESS_PREFIX
from cassiaweir.dispatch._job_runs import JobRuns
from cassiaweir.dispatch._runs import Run
from cassiaweir.jobs import StepSpec
from cassiaweir.jobs._tasks import TaskList
from standins.users import MemoryStore
from tests.site_fakes import FakeSite
from tests.virtual_time import run_virtual

TASK_CPU_MILLIS = 10


def run_wide_job(
    tasks: int,
    *,
    counts: Counter[str],
    handed_over: bool = False,
    gang: bool = False,
    crash: bool = False,
    new_id: bool = False,
) -> None:
    """Run a job of `tasks` to its end, and count its starts.

    The leader may be killed once the job has begun, or a server may crash.
    """

    async def wait_for_outcome(site: FakeSite, job_id: str) -> None:
        ends_at = asyncio.get_running_loop().time() + 60.0
        while not _has_outcome(site, job_id):
            assert asyncio.get_running_loop().time() < ends_at
            await asyncio.sleep(0.1)

    async def body() -> None:
        site = FakeSite(servers=4, vms=3)
        leader = await site.wait_for_leader()
        step = StepSpec(
            count=tasks, cpu_millis=TASK_CPU_MILLIS, estimate_s=2.0, gang=gang
        )
        job_id = site.submit(step, task_s=2.0)
        if handed_over:
            await asyncio.sleep(0.05)
            await leader.kill()
        if crash:
            await asyncio.sleep(1.5)
            record = site.history[0]
            site.crash_for(site.servers[record.server], 1.0, new_id=new_id)
        await wait_for_outcome(site, job_id)
        counts["starts"] = len(site.history)
        assert not site.faults
        await site.close()

    logger.disable("cassiaweir")
    try:
        run_virtual(body)
    finally:
        logger.enable("cassiaweir")


def _has_outcome(site: FakeSite, job_id: str) -> bool:
    return any("outcome" in key and job_id in key for key in site.store.rows)


# Guards against LOST (issue 50): each end of a task looks at all runs of its job.
def test_an_end_does_not_look_at_all_runs_of_its_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counts: Counter[str] = Counter()
    iterate = JobRuns.__iter__

    def counting(runs: JobRuns) -> Iterator[Run]:
        counts["looks"] += 1
        return iterate(runs)

    monkeypatch.setattr(JobRuns, "__iter__", counting)
    run_wide_job(400, counts=counts)
    assert counts["starts"] == 400
    assert counts["looks"] < 10


# Guards against LOST (issue 50): the number of a gang's run is sought among all members
# for each member, which costs the leader seconds in one piece, and the leadership.
def test_a_gang_is_not_gone_through_for_each_of_its_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counts: Counter[str] = Counter()
    get = TaskList.__getitem__

    def counting(tasks: TaskList, index: Any) -> Any:
        counts["tasks"] += 1
        return get(tasks, index)

    monkeypatch.setattr(TaskList, "__getitem__", counting)
    run_wide_job(400, counts=counts, gang=True)
    assert counts["starts"] == 400
    assert counts["tasks"] < 20 * 400


# Guards against LOST (issue 50): each member of a gang that is lost with a server has
# the runs of the whole job gone through, to stop the other members.
@pytest.mark.parametrize("new_id", [False, True])
def test_a_gang_is_gone_through_once_for_all_members_lost_with_a_server(
    monkeypatch: pytest.MonkeyPatch, new_id: bool
) -> None:
    counts: Counter[str] = Counter()
    monkeypatch.setattr(JobRuns, "of_step", _looked_up(JobRuns.of_step, counts))
    run_wide_job(400, counts=counts, gang=True, crash=True, new_id=new_id)
    assert counts["starts"] == 800
    assert counts["steps"] < 10


def _looked_up(of_step: Any, counts: Counter[str]) -> Any:
    """Return `of_step` with a count of its calls that find other members."""

    def counting(runs: JobRuns, step: Any) -> Any:
        found = of_step(runs, step)
        counts["steps"] += bool(found)
        return found

    return counting


# Guards against LOST (review/2): a leader writes the progress of a job from before its
# takeover as a whole for each start.
@pytest.mark.parametrize("handed_over", [False, True])
def test_the_progress_written_grows_with_the_tasks(
    monkeypatch: pytest.MonkeyPatch, handed_over: bool
) -> None:
    apply = MemoryStore.apply
    counts: Counter[str] = Counter()

    def counting(store: MemoryStore, checks: Any, writes: Any) -> Any:
        for write in writes:
            if write.key.startswith(PROGRESS_PREFIX) and write.value is not None:
                counts["bytes"] += len(write.value)
        return apply(store, checks, writes)

    monkeypatch.setattr(MemoryStore, "apply", counting)
    bytes_per_task = []
    for tasks in (500, 1_500):
        counts.clear()
        run_wide_job(tasks, handed_over=handed_over, counts=counts)
        bytes_per_task.append(counts["bytes"] / tasks)
    print(bytes_per_task)
    assert bytes_per_task[1] < 1.5 * bytes_per_task[0]
