"""Tests of gangs on like servers, of backfilling, and of preemption by work lost."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaweir.dispatch._placer import MAX_CONSIDERED_GANGS
from cassiaweir.dispatch._preemption import preempt_for_step
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.jobs import StepSpec
from cassiaweir.queues import Customer, Queue
from cassiaweir.scheduling import (
    BackfillRoom,
    GangCandidate,
    expected_end,
    plan_gang,
    slot_times,
)
from cassiaweir.types import Resources
from tests.gang_site import (
    CUSTOMER,
    GANG_QUEUE,
    GangSite,
    dyfed,
    submit_load,
    worth_by_queue,
)
from tests.site_fakes import QUEUE, URGENT, configuration
from tests.test_dispatch_parts import server_of, step_of
from tests.virtual_time import run_virtual

GANG = StepSpec(count=6, cpu_millis=4_500, estimate_s=2.0, gang=True)
FILLING = StepSpec(count=3, cpu_millis=5_000, estimate_s=3.0)


def servers(count: int, speed: float, at: float, name: str) -> list[GangCandidate]:
    return [GangCandidate(f"{name}{n}", (at, at, at), speed) for n in range(count)]


# Guards against gangs that wait for fast servers although slow ones end sooner, and
# against gangs that start on slow servers although waiting would end sooner.
@pytest.mark.parametrize(("fast_at", "chosen"), [(0.5, "fast"), (4.0, "slow")])
def test_gang_goes_to_fast_servers_only_if_it_ends_sooner(fast_at: float, chosen: str):
    found = servers(2, 0.7, 0.0, "slow") + servers(2, 1.7, fast_at, "fast")
    plan = plan_gang(found, 6, 3.0)
    assert plan is not None
    assert set(plan.slots) == {f"{chosen}0", f"{chosen}1"}


# Guards against a fast server that waits for slow members while slow ones are free.
def test_members_are_on_servers_of_one_speed_where_that_is_possible():
    plan = plan_gang(servers(3, 0.7, 0.0, "s") + servers(1, 1.7, 0.0, "f"), 9, 3.0)
    assert plan is not None
    assert plan.slots == {"s0": 3, "s1": 3, "s2": 3}


# Guards against gangs that never start because no speed has enough servers.
def test_gang_starts_on_mixed_speeds_if_no_speed_has_enough_room():
    plan = plan_gang(servers(1, 0.7, 0.0, "s") + servers(1, 1.7, 1.0, "f"), 6, 1.4)
    assert plan is not None
    assert plan.slots == {"s0": 3, "f0": 3}
    assert plan.ends_at == pytest.approx(1.0 + 1.4 / 0.7)


# Guards against plans with too few or too many tasks, or on servers without room.
@given(
    free=st.lists(st.lists(st.floats(0, 9), min_size=1, max_size=4), max_size=8),
    speeds=st.lists(st.sampled_from([0.7, 1.0, 1.7]), min_size=8, max_size=8),
    tasks=st.integers(1, 20),
)
def test_plan_places_each_task_where_there_is_room_by_then(
    free: list[list[float]], speeds: list[float], tasks: int
):
    found = {
        f"s{n}": GangCandidate(f"s{n}", sorted(times), speeds[n])
        for n, times in enumerate(free)
    }
    plan = plan_gang(found.values(), tasks, 2.0)
    assert (plan is None) == (sum(map(len, free)) < tasks)
    if plan is not None:
        assert sum(plan.slots.values()) == tasks
        for server_id, slots in plan.slots.items():
            ready = [at for at in found[server_id].slots_at if at <= plan.starts_at]
            assert slots <= len(ready)


# Guards against room that is counted twice, or before the run that takes it has ended.
def test_room_is_expected_when_the_runs_that_take_it_have_ended():
    ends = [(1.0, Resources(3_000)), (2.0, Resources(6_000))]
    times = slot_times(Resources(5_000), ends, Resources(4_000), 9, 0.0)
    assert times == [0.0, 1.0, 2.0]


# Guards against a gang whose start stays planned for the past while a run overruns.
def test_expected_end_moves_on_while_a_run_overruns():
    assert expected_end(0.0, 1.0, 2.0) == 2.0
    assert expected_end(0.0, 4.0, 2.0) == 5.0
    assert expected_end(0.0, 4.0, 2.0, 50.0, 4.0) == 8.0


# Guards against backfilled tasks that delay a gang, also several small ones together.
def test_long_tasks_get_only_the_room_that_the_gang_leaves_free():
    room = BackfillRoom(until=2.0, spare=Resources(2_500, 100))
    free = Resources(9_000, 500)
    assert room.usable(free, 0.0, 1.0, 0.3) == free
    assert room.usable(free, 0.0, 1.0, 0.9) == Resources(2_500, 100)
    room.take(Resources(2_000, 50), 0.0, 9.0, 0.3)
    assert room.usable(free, 0.0, 9.0, 0.3) == Resources(500, 50)
    assert room.usable(free, 0.0, 1.0, 0.3) == free


def running(
    server_id: str, cpu: int, began_at: float, saved_at: float | None = None
) -> Run:
    """Return a run that has written a checkpoint at `saved_at`."""
    step = step_of(cpu_millis=cpu, checkpoints=True)
    server = server_of(server_id, used=16_000 - cpu)
    run = Run(step.tasks[0], 1, server, step.demand, "c", began_at)
    run.state, run.checkpoint_at = RunState.RUNNING, saved_at
    server.add(run)
    return run


def preempted(runs: list[Run], tasks: int, seconds: float, now: float) -> list[Run]:
    """Return the runs preempted for urgent tasks of two cores."""
    found: list[Run] = []

    def stop(run: Run, _: object) -> None:
        run.state = RunState.STOPPING
        found.append(run)

    step = step_of(cpu_millis=2_000)
    hosts = {run.server.server_id: run.server for run in runs}
    for _ in range(2):
        preempt_for_step(
            step,
            hosts.values(),
            tasks,
            now,
            stop,
            duration_s=seconds,
            promised={},
        )
    return found


# Guards against victims that lose more work than others would, and against further
# victims in the rounds in which the first ones have not ended yet.
def test_preemption_chooses_the_least_loss_and_no_more_while_it_takes_effect():
    old = running("a", 4_000, began_at=0.0)
    saved = running("b", 4_000, began_at=0.0, saved_at=9.9)
    young = running("c", 4_000, began_at=9.0)
    assert preempted([old, saved, young], 2, 3.0, 10.0) == [saved]


# Guards against preemption that discards more work than it lets start.
def test_preemption_is_refused_if_the_loss_is_larger_than_the_gain():
    assert not preempted([running("a", 4_000, began_at=0.0)], 2, 0.4, 10.0)
    assert preempted([running("a", 4_000, 0.0, saved_at=9.9)], 2, 0.4, 10.0)


# Guards against urgent tasks that wait for runs which a stop saves almost whole.
def test_preemption_counts_only_what_a_stop_does_not_save():
    assert preempted([running("a", 4_000, began_at=0.0)], 2, 1.0, 10.0)


def site_with(count: int, *, share: float = 1.0, seed: int = 0) -> GangSite:
    site = GangSite(servers=count, seed=seed, share=share, question_s=0.2)
    site.configuration.value = configuration(
        CUSTOMER, queues=(QUEUE, URGENT, GANG_QUEUE)
    )
    return site


async def began(site: GangSite, job_id: str) -> float:
    return (await site.first_start(job_id)).began_at


# Guards against reserved servers that idle although a short task would end in time, and
# against tasks on them that delay the gang.
def test_short_task_runs_on_reserved_servers_and_does_not_delay_the_gang() -> None:
    async def start_of_gang(*, with_short: bool) -> float:
        site = site_with(2)
        await site.wait_for_leader()
        site.submit(replace(FILLING, count=1), task_s=1.0)
        site.submit(replace(FILLING, count=5), task_s=3.0)
        await asyncio.sleep(0.2)
        gang = site.submit(GANG, queue=GANG_QUEUE, task_s=2.0)
        await asyncio.sleep(1.6)
        if with_short:
            short = StepSpec(count=1, cpu_millis=4_000, estimate_s=0.3)
            job_id = site.submit(short, task_s=0.3)
            assert await began(site, job_id) < 2.2
        started = await began(site, gang)
        assert not site.faults
        await site.close()
        return started

    alone = run_virtual(lambda: start_of_gang(with_short=False))
    shared = run_virtual(lambda: start_of_gang(with_short=True))
    assert shared < alone + 0.05


# Guards against a gang that waits for ever for servers whose backfilled tasks overrun.
def test_gang_starts_although_backfilled_tasks_take_ten_times_their_estimate() -> None:
    async def body() -> None:
        site = site_with(4)
        await site.wait_for_leader()
        site.submit(replace(FILLING, count=12), task_s=3.0)
        await asyncio.sleep(0.2)
        gang = site.submit(GANG, queue=GANG_QUEUE, task_s=2.0)
        for _ in range(20):
            await asyncio.sleep(0.2)
            liar = StepSpec(count=1, cpu_millis=4_000, estimate_s=0.2)
            site.submit(liar, task_s=2.0)
        assert await began(site, gang) < 6.5
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against urgent tasks that wait for a reservation.
def test_urgent_task_starts_at_once_on_a_reserved_server() -> None:
    async def body() -> None:
        site = site_with(2)
        await site.wait_for_leader()
        site.submit(replace(FILLING, count=5), task_s=3.0)
        await asyncio.sleep(0.2)
        site.submit(GANG, queue=GANG_QUEUE, task_s=2.0)
        await asyncio.sleep(1.0)
        urgent = StepSpec(count=1, cpu_millis=5_000, estimate_s=9.0)
        job_id = site.submit(urgent, queue=URGENT, task_s=9.0)
        assert await began(site, job_id) < 1.5
        await site.close()

    run_virtual(body)


# Guards against an urgent gang, which reserves nothing, whose tickets are not renewed.
def test_urgent_gang_starts_once_there_is_room_though_its_tickets_expired() -> None:
    async def body() -> None:
        site = site_with(2)
        queue = replace(GANG_QUEUE, name="urgent-gangs", priority=0)
        site.configuration.value = configuration(CUSTOMER, queues=(QUEUE, queue))
        await site.wait_for_leader()
        site.submit(replace(FILLING, count=6), task_s=4.0)
        await asyncio.sleep(0.2)
        gang = site.submit(GANG, queue=queue, task_s=2.0)
        assert await began(site, gang) < 5.2
        await site.close()

    run_virtual(body)


# Guards against a reservation that keeps a server which is gone, or which will leave.
@pytest.mark.parametrize("how", ["crash", "drain"])
def test_reserved_server_that_is_lost_is_replaced(how: str) -> None:
    async def body() -> None:
        site = site_with(3)
        await site.wait_for_leader()
        site.submit(replace(FILLING, count=9), task_s=3.0)
        await asyncio.sleep(0.2)
        gang = site.submit(GANG, queue=GANG_QUEUE, task_s=2.0)
        await asyncio.sleep(1.5)
        lost = site.servers["i-0"]
        if how == "crash":
            lost.crash()
        else:
            lost.entry = replace(lost.entry, draining=True)
            site.register(lost)
        assert await began(site, gang) < 4.5
        used = {run.server for run in site.starts_of(gang)}
        assert used == {"i-1", "i-2"}
        await site.close()

    run_virtual(body)


# Guards against two gangs that each hold half of what they need and wait for the other.
def test_two_gangs_that_need_all_servers_start_one_after_the_other() -> None:
    async def body() -> None:
        site = site_with(4)
        await site.wait_for_leader()
        site.submit(replace(FILLING, count=12), task_s=2.0)
        await asyncio.sleep(0.2)
        whole = replace(GANG, count=12)
        gangs = [site.submit(whole, queue=GANG_QUEUE, task_s=2.0) for _ in range(2)]
        starts = sorted([await began(site, each) for each in gangs])
        assert starts[0] < 3.0
        assert starts[1] < starts[0] + 2.5
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against a gang that is late anyway and takes the servers of one that is not.
def test_gang_that_cannot_be_on_time_holds_no_servers_before_one_that_can() -> None:
    async def body() -> None:
        site = site_with(2)
        hurried: Queue = replace(GANG_QUEUE, name="hurried", stretch=0.3, slack_s=0.1)
        site.configuration.value = configuration(
            CUSTOMER, queues=(QUEUE, URGENT, GANG_QUEUE, hurried)
        )
        await site.wait_for_leader()
        site.submit(replace(FILLING, count=6), task_s=3.0)
        await asyncio.sleep(0.2)
        late = site.submit(GANG, queue=hurried, task_s=2.0)
        await asyncio.sleep(1.0)
        timely = site.submit(GANG, queue=GANG_QUEUE, task_s=2.0)
        assert await began(site, timely) < 4.0
        assert await began(site, late) > await began(site, timely) + 1.9
        await site.close()

    run_virtual(body)


# Guards against gangs that wait for tickets while there is room.  With one question at
# a time, and tickets that expire at different times, their worth was 0.84 here.
def test_gangs_are_on_time_at_more_than_one_and_a_half_times_the_usual_load() -> None:
    async def body() -> None:
        site = GangSite(servers=88, seed=1, lanes=20)
        site.configuration.value = configuration(
            CUSTOMER, queues=(QUEUE, URGENT, GANG_QUEUE)
        )
        await site.wait_for_leader()
        await asyncio.sleep(0.5)
        jobs = await submit_load(site, dyfed(0.5, 1.6), 10.0, 1)
        await asyncio.sleep(12)
        worth = {name: each[0] for name, each in worth_by_queue(site, jobs).items()}
        assert worth[GANG_QUEUE.name] > 0.88
        assert worth[URGENT.name] > 0.99
        assert worth[QUEUE.name] > 0.99
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against a gang that never starts, as small tasks of the same customer take each
# part of its cap that becomes free.
def test_gang_of_a_customer_at_its_cap_starts_before_its_later_small_tasks() -> None:
    async def body() -> None:
        site = site_with(8)
        capped = Customer("agency", frozenset({"key"}), 1000.0, Resources(24_000, 0, 0))
        site.configuration.value = configuration(
            capped, queues=(QUEUE, URGENT, GANG_QUEUE)
        )
        await site.wait_for_leader()
        small = StepSpec(count=1, cpu_millis=2_000, estimate_s=1.0)
        for number in range(12):
            site.submit(small, task_s=0.5 + number * 0.1)
        await asyncio.sleep(0.1)
        gang = StepSpec(count=4, cpu_millis=5_000, estimate_s=2.0, gang=True)
        job_id = site.submit(gang, queue=GANG_QUEUE, task_s=2.0)
        submitted_at = asyncio.get_running_loop().time()
        for _ in range(40):
            site.submit(small, task_s=1.0)
            site.submit(small, task_s=1.0)
            await asyncio.sleep(0.1)
        assert await began(site, job_id) < submitted_at + 2.5
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against rounds that spend their time on a hundred waiting gangs, of which few
# can be served: urgent work then waited for the leader and not for servers.
def test_a_round_looks_at_few_of_many_waiting_gangs_and_all_start_in_the_end() -> None:
    async def body() -> None:
        site = site_with(6)
        leader = await site.wait_for_leader()
        gang = StepSpec(count=6, cpu_millis=8_000, estimate_s=0.5, gang=True)
        jobs = [site.submit(gang, queue=GANG_QUEUE, task_s=0.5) for _ in range(40)]
        await asyncio.sleep(1.0)
        dispatcher = leader.term._dispatcher
        assert dispatcher is not None
        placer = dispatcher._placer
        waiting = placer._waiting.find(dispatcher._clock.monotonic())
        assert len(waiting) > MAX_CONSIDERED_GANGS
        assert len(placer._limit_gangs(waiting)) == MAX_CONSIDERED_GANGS
        await asyncio.sleep(60)
        assert all(site.starts_of(job_id) for job_id in jobs)
        assert not site.faults
        await site.close()

    run_virtual(body)
