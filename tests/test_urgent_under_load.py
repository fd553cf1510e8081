"""Random tests of urgent jobs at a leader whose processor cannot keep up.

The servers have room for all tasks; each order and each look of the leader takes
virtual time.  Which work starts late is then the choice of the leader alone.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

import pytest

from cassiaweir.dispatch import EndKind
from cassiaweir.dispatch._orders import OrderSender
from cassiaweir.dispatch._placer import Placer
from cassiaweir.dispatch._reports import ReportProcessor
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run
from cassiaweir.jobs import StepSpec, Task
from cassiaweir.queues import AdvicePolicy, Queue
from cassiaweir.types import Resources
from tests.gang_site import CUSTOMER, GangSite, Stream, Submitted, submit_load
from tests.site_fakes import QUEUE, URGENT, configuration
from tests.test_busy_leader import spend_in
from tests.virtual_time import run_virtual

SEEDS = range(8)
SERVERS = 48
DOMAINS = ("augusta", "benton", "carver")
ENTRY_VMS = 30
SERVER_SIZE = Resources(64_000, 128_000)
LOAD_S = 6.0
SETTLE_S = 6.0

ORDER_S = 0.004
LOOK_S = 0.002
REPORT_S = 0.0007
"""Together some 5 ms for each start, half as much again as on the users' machines."""

ROUND_S = 0.2
LONG_ROUND_S = 0.3

URGENT_WAIT_S = 0.5
"""Urgent jobs start this soon, however many batch jobs the leader has to start."""

ADVICE = AdvicePolicy(0.02, 0.0005, 2.5)
BATCH, FAST = replace(QUEUE, advice=ADVICE), replace(URGENT, advice=ADVICE)

STREAMS = (
    Stream(BATCH, 25, 2.2, 200, 18.0, estimate_error=0.5),
    Stream(FAST, 3, 1.0, 200, 30.0),
)
"""Some 540 starts a second, of which the leader manages a third."""


def loaded_site(seed: int) -> GangSite:
    """Return a site whose advice service answers soon and allows most servers."""
    site = GangSite(
        servers=SERVERS,
        seed=seed,
        size=SERVER_SIZE,
        share=0.7,
        lanes=ENTRY_VMS,
        domains=DOMAINS,
        question_s=ADVICE.question_s,
        each_server_s=ADVICE.each_server_s,
    )
    site.configuration.value = configuration(CUSTOMER, queues=(BATCH, FAST))
    return site


def first_starts(site: GangSite) -> dict[str, float]:
    """Return when each job that has begun was first started."""
    found: dict[str, float] = {}
    for run in site.history:
        found.setdefault(run.task.partition(".")[0], run.began_at)
    return found


def overtaken(
    jobs: Sequence[Submitted], placed: Mapping[str, float]
) -> list[tuple[Submitted, Submitted]]:
    """Return each urgent job with a batch job that overtook it.

    That one was placed while the urgent job waited, and had waited for less time.
    """
    found = []
    urgent = [each for each in jobs if each.stream.queue is FAST]
    batch = [each for each in jobs if each.stream.queue is not FAST]
    for first in urgent:
        placed_at = placed.get(first.job_id, math.inf)
        for other in batch:
            other_placed_at = placed.get(other.job_id, math.inf)
            waited_s = max(other_placed_at - other.at, URGENT_WAIT_S)
            waits = first.at < other_placed_at < placed_at
            if waits and placed_at - first.at > waited_s:
                found.append((first, other))
    return found


@pytest.fixture
def _placed(monkeypatch: pytest.MonkeyPatch) -> dict[str, float]:
    """Return a dict that gets the time at which a job's first task is placed."""
    placed: dict[str, float] = {}
    place = RunRegistry.place

    def recording(self: RunRegistry, task: Task, *args: Any) -> Run:
        now = asyncio.get_running_loop().time()
        placed.setdefault(task.step.job.job_id, now)
        return place(self, task, *args)

    monkeypatch.setattr(RunRegistry, "place", recording)
    return placed


@pytest.fixture
def _slow_leader(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let what the leader does for each order, look and report take time."""
    spend_in(monkeypatch, OrderSender, "_send_start", ORDER_S)
    spend_in(monkeypatch, Placer, "_place_step", LOOK_S)
    spend_in(monkeypatch, ReportProcessor, "apply", REPORT_S)


# Guards against SHORT of an urgent class: a leader that could not keep up placed batch
# work that was on time before urgent jobs that it had already delayed.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.usefixtures("_slow_leader")
def test_no_batch_job_overtakes_an_urgent_one_at_a_leader_that_cannot_keep_up(
    _placed: dict[str, float], seed: int
):
    async def body() -> None:
        site = loaded_site(seed)
        await site.wait_for_leader()
        jobs = await submit_load(site, STREAMS, LOAD_S, seed)
        await asyncio.sleep(SETTLE_S)
        assert not overtaken(jobs, _placed)
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against urgent starts that wait in turn behind the orders, looks and reports of
# the batch work that a leader has already begun.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.usefixtures("_slow_leader")
def test_urgent_jobs_start_at_once_at_a_leader_that_cannot_keep_up(seed: int):
    async def body() -> None:
        site = loaded_site(seed)
        await site.wait_for_leader()
        jobs = await submit_load(site, STREAMS, LOAD_S, seed)
        await asyncio.sleep(SETTLE_S)
        starts = first_starts(site)
        waits_s = [
            starts.get(each.job_id, math.inf) - each.at
            for each in jobs
            if each.stream.queue is FAST
        ]
        assert max(waits_s) < URGENT_WAIT_S
        await site.close()

    run_virtual(body)


# Guards against urgent jobs that wait for placement rounds: one to be asked about, one
# to start, and one more after a transaction has confirmed the leadership.  With much
# work waiting, a round and the pause after it are long.
@pytest.mark.parametrize("queue", [FAST, URGENT], ids=["advice", "no_advice"])
def test_an_urgent_job_does_not_wait_for_placement_rounds(
    monkeypatch: pytest.MonkeyPatch, queue: Queue
):
    async def body() -> None:
        site = loaded_site(0)
        site.configuration.value = configuration(CUSTOMER, queues=(BATCH, queue))
        await site.wait_for_leader()
        large = StepSpec(count=1, cpu_millis=65_000, estimate_s=1.0)
        site.submit(large, queue=BATCH)
        spend_in(monkeypatch, Placer, "begin_round", ROUND_S)
        small = StepSpec(count=2, cpu_millis=1_000, estimate_s=1.0)
        for _ in range(10):
            await asyncio.sleep(0.37)
            submitted_at = asyncio.get_running_loop().time()
            started = await site.first_start(site.submit(small, queue=queue))
            assert started.began_at - submitted_at < URGENT_WAIT_S
        await site.close()

    run_virtual(body)


# Guards against the same for the second step of an urgent job, and for a task whose
# first run has failed.
@pytest.mark.parametrize("how", [EndKind.DONE, EndKind.FAILED])
def test_second_starts_of_an_urgent_job_do_not_wait_for_placement_rounds(
    monkeypatch: pytest.MonkeyPatch, how: EndKind
):
    async def body() -> None:
        site = loaded_site(0)
        await site.wait_for_leader()
        large = StepSpec(count=1, cpu_millis=65_000, estimate_s=1.0)
        site.submit(large, queue=BATCH)
        spend_in(monkeypatch, Placer, "begin_round", LONG_ROUND_S)
        first = StepSpec(count=1, cpu_millis=1_000, estimate_s=0.2)
        second = replace(first, after=(0,))
        for number in range(10):
            job_id = site.submit(first, second, queue=FAST, task_s=0.2, how=how)
            await asyncio.sleep(3.0 + 0.07 * number)
            earlier, later, *_ = site.starts_of(job_id)
            assert earlier.ended_at is not None
            assert later.began_at - earlier.ended_at < URGENT_WAIT_S
        await site.close()

    run_virtual(body)
