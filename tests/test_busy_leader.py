"""Tests of a leader with a large backlog, whose computations take virtual time.

Each look at a step, and each row that is read, costs what it does on a small VM.  While
the leader computes, nothing else runs: no call is answered and no lease renewed.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from cassiaweir.dispatch import _advice_questions
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._placement import preference_key
from cassiaweir.dispatch._placer import Placer
from cassiaweir.jobs import StepSpec
from cassiaweir.leadership._election import OWNER_UNCHANGED_TIMEOUT, ProbeResult
from cassiaweir.leadership._rows import OWNER_KEY
from cassiaweir.peers._client import PROBE_TIMEOUT_S
from cassiaweir.queues import AdvicePolicy, Customer, Queue
from cassiaweir.scheduling import BacklogMeter
from cassiaweir.scheduling._admission import MAX_SNAPSHOT_AGE_S
from tests.gang_site import GangSite
from tests.site_fakes import QUEUE, URGENT, FakeSite, configuration
from tests.virtual_time import VirtualLoop, run_virtual

LOOK_S = 0.002
ROW_S = 0.001
URGENT_START_S = 1.8
CUSTOMER = Customer("agency", frozenset({"key"}), weight=10_000.0)
SMALL = StepSpec(count=1, cpu_millis=100, estimate_s=30.0)


def spend_in(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, seconds: float
) -> None:
    """Let each call of a method take `seconds` of computation."""
    method: Callable[..., Any] = getattr(owner, name)

    def spending(*args: Any, **kwargs: Any) -> Any:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.spend(seconds)
        return method(*args, **kwargs)

    monkeypatch.setattr(owner, name, spending)


class Pulse:
    """Measures the longest time for which the loop stood still, in seconds."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + 0.005
            await asyncio.sleep(0.005)
            self.longest_s = max(self.longest_s, loop.time() - due_at)

    def stop(self) -> float:
        """Stop measuring and return the longest time."""
        self._task.cancel()
        return self.longest_s


def renewal_gaps(site: FakeSite) -> list[float]:
    """Return a list that grows by the time between two writes of the owner row."""
    gaps: list[float] = []
    last = asyncio.get_running_loop().time()
    apply = site.store.apply

    def recording(checks: Any, writes: Any) -> Any:
        nonlocal last
        versions = apply(checks, writes)
        if any(each.key == OWNER_KEY for each in writes):
            now = asyncio.get_running_loop().time()
            gaps.append(now - last)
            last = now
        return versions

    site.store.apply = recording  # type: ignore[method-assign]
    return gaps


def large_site(**fields: Any) -> FakeSite:
    site = FakeSite(servers=40, **fields)
    site.configuration.value = configuration(CUSTOMER)
    return site


def advised_site(servers: int) -> tuple[GangSite, Queue]:
    """Return a site whose advice service allows all servers, and its only queue."""
    site = GangSite(servers=servers, share=1.0, question_s=0.02, each_server_s=0.0)
    queue = replace(QUEUE, advice=AdvicePolicy(0.02, 0.0, 2.5))
    site.configuration.value = configuration(CUSTOMER, queues=(queue,))
    return site, queue


# Guards against SHORT and RECOVER: while a round placed a backlog, the leader renewed
# and answered nothing for over a second, was taken for dead, and so was its successor.
def test_a_round_with_much_to_place_keeps_no_probe_and_no_renewal_waiting(monkeypatch):
    async def body() -> None:
        site = large_site()
        spend_in(monkeypatch, Placer, "_place_step", LOOK_S)
        await site.wait_for_leader()
        gaps = renewal_gaps(site)
        pulse = Pulse()
        jobs = [site.submit(SMALL, task_s=30.0) for _ in range(1_000)]
        await asyncio.sleep(20.0)
        assert pulse.stop() < PROBE_TIMEOUT_S
        limit = OWNER_UNCHANGED_TIMEOUT[ProbeResult.SILENT].total_seconds()
        assert max(gaps) < limit - PROBE_TIMEOUT_S
        assert all(site.starts_of(job_id) for job_id in jobs)
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against urgent work that arrives while a round places a backlog: it came after
# all of that, although it ranks before it.
def test_urgent_job_starts_in_time_while_a_backlog_is_placed(monkeypatch):
    async def body() -> None:
        site = large_site()
        spend_in(monkeypatch, Placer, "_place_step", LOOK_S)
        await site.wait_for_leader()
        for _ in range(2_000):
            site.submit(SMALL, task_s=30.0)
        await asyncio.sleep(0.5)
        submitted_at = asyncio.get_running_loop().time()
        urgent = site.submit(replace(SMALL, estimate_s=1.0), queue=URGENT)
        started = await site.first_start(urgent)
        assert started.began_at - submitted_at < URGENT_START_S
        await site.close()

    run_virtual(body)


# Guards against rounds whose cost is that of all waiting steps times all servers: most
# of them need room of which a smaller step has just found none.
def test_a_round_looks_for_servers_only_for_few_of_many_steps_without_room():
    async def body() -> None:
        site = FakeSite(servers=4)
        site.configuration.value = configuration(CUSTOMER)
        leader = await site.wait_for_leader()
        for number in range(600):
            cpu_millis = 1_000 + 10 * (number % 50)
            site.submit(StepSpec(count=4, cpu_millis=cpu_millis, estimate_s=9.0))
        await asyncio.sleep(0.5)
        dispatcher = leader.term._dispatcher
        assert dispatcher is not None
        for _ in range(50):
            await asyncio.sleep(0.01)
            counts = dispatcher._placer.last_round
            assert counts.steps > 500
            assert counts.looked_at < 50
        await site.close()

    run_virtual(body)


# Guards against questions about thousands of steps whose tickets expire long before
# there is room: the answers alone then take half of the leader's processor time.
def test_advice_is_asked_for_only_as_much_work_as_the_servers_hold():
    async def body() -> None:
        site, queue = advised_site(8)
        await site.wait_for_leader()
        step = StepSpec(count=4, cpu_millis=4_000, estimate_s=20.0)
        for _ in range(200):
            site.submit(step, queue=queue, task_s=20.0)
        await asyncio.sleep(8.0)
        # The servers hold eight of these jobs, so that those and eight waiting ones
        # are asked about, each of the latter again when its tickets expire.
        assert len(site.history) == 8 * 4
        assert len(site.questions) < 60
        await site.close()

    run_virtual(body)


# Guards against LOST by work that waits for few servers, or for many at once: counted
# as what comes before all other work, it kept that from being asked about for ever.
@pytest.mark.parametrize(
    "blocked",
    [
        StepSpec(count=40, cpu_millis=8_000, estimate_s=0.5, label="r1-0"),
        StepSpec(count=60, cpu_millis=3_000, estimate_s=0.5, most_per_server=1),
        StepSpec(count=24, cpu_millis=8_000, estimate_s=0.5, gang=True),
    ],
)
def test_work_that_only_some_servers_can_run_keeps_no_other_waiting(blocked: StepSpec):
    async def body() -> None:
        site, queue = advised_site(8)
        await site.wait_for_leader()
        for _ in range(4):
            site.submit(blocked, queue=queue, task_s=9.0)
        await asyncio.sleep(0.5)
        submitted_at = asyncio.get_running_loop().time()
        other = StepSpec(count=2, cpu_millis=1_000, estimate_s=20.0)
        started = await site.first_start(site.submit(other, queue=queue, task_s=20.0))
        assert started.began_at - submitted_at < URGENT_START_S
        await site.close()

    run_virtual(body)


# Guards against a successor that reads the jobs of its predecessor in one go, answers
# no probe meanwhile and is deposed in turn.
def test_loading_many_jobs_keeps_no_probe_waiting(monkeypatch):
    async def body() -> None:
        site = large_site()
        first = await site.wait_for_leader()
        wide = StepSpec(count=4, cpu_millis=99_000, estimate_s=30.0)
        for _ in range(1_500):
            site.submit(wide)
        spend_in(monkeypatch, JobRegistry, "add_row", ROW_S)
        await first.kill()
        pulse = Pulse()
        await site.wait_for_leader()
        assert pulse.stop() < PROBE_TIMEOUT_S
        await site.close()

    run_virtual(body)


# Guards against SHORT by questions whose cost grows with the number of servers: with
# some hundred servers they took a quarter of a leader's processor time.
@pytest.mark.parametrize("servers", [40, 400])
def test_a_question_for_advice_costs_the_same_with_more_servers(
    monkeypatch: pytest.MonkeyPatch, servers: int
):
    compared = 0

    def counting(*args: Any) -> Any:
        nonlocal compared
        compared += 1
        return preference_key(*args)

    async def body() -> None:
        site, queue = advised_site(servers)
        await site.wait_for_leader()
        jobs = [site.submit(SMALL, queue=queue, task_s=30.0) for _ in range(30)]
        await asyncio.sleep(2.0)
        assert all(site.starts_of(job_id) for job_id in jobs)
        assert len(site.questions) >= len(jobs)
        assert compared <= 40 * len(site.questions)
        await site.close()

    monkeypatch.setattr(_advice_questions, "preference_key", counting)
    run_virtual(body)


# Guards against samples of the load whose cost grows with the backlog: they took a
# tenth of the processor time of a leader that could not keep up.
@pytest.mark.parametrize(("cost_s", "most"), [(0.0, 40), (0.015, 16), (0.2, 9)])
def test_samples_of_the_load_take_a_bounded_share_of_the_time(
    monkeypatch: pytest.MonkeyPatch, cost_s: float, most: int
):
    times: list[float] = []

    async def body() -> None:
        site = large_site()
        await site.wait_for_leader()
        spend_in(monkeypatch, BacklogMeter, "measure", cost_s)
        measure = BacklogMeter.measure

        def recording(*args: Any, **kwargs: Any) -> Any:
            times.append(asyncio.get_running_loop().time())
            return measure(*args, **kwargs)

        monkeypatch.setattr(BacklogMeter, "measure", recording)
        await asyncio.sleep(8.0)
        gaps_s = [later - first for first, later in itertools.pairwise(times)]
        assert len(times) <= most
        assert max(gaps_s) < MAX_SNAPSHOT_AGE_S - 0.5
        await site.close()

    run_virtual(body)


# Guards against questions about the same few servers for all steps that come at once:
# most found them taken, and were asked about again and again for seconds.
def test_steps_that_come_at_once_are_asked_about_different_servers():
    async def body() -> None:
        site, queue = advised_site(100)
        await site.wait_for_leader()
        memory_mb = next(iter(site.servers.values())).entry.capacity.memory_mb
        whole = StepSpec(count=1, cpu_millis=100, memory_mb=memory_mb, estimate_s=60.0)
        jobs = [site.submit(whole, queue=queue, task_s=60.0) for _ in range(85)]
        await asyncio.sleep(1.0)
        assert all(site.starts_of(job_id) for job_id in jobs)
        assert len(site.questions) < 2 * len(jobs)
        await site.close()

    run_virtual(body)
