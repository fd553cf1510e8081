"""Tests of which tasks a new leader holds back, and for how long.

Pattern: the failure domain of the leader is cut off under load.  The successor cannot
ask the servers there what they run, so it may start nothing that may run there, and
must not let everything else wait for that.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cassiaweir.dispatch._gate import MAX_FORMER_LEASE_S, TakeoverGate
from cassiaweir.dispatch._server_records import FormerTasks, decode_former_tasks
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.leadership import LEADERSHIP_VALIDITY, Owner
from cassiaweir.types import Row
from tests.site_fakes import FakeSite, FakeVm
from tests.virtual_time import run_virtual

ANY_TASK = FormerTasks(None)
DOMAINS = ("a", "b", "c")
MAX_WAIT_S = 1.0
"""Time from the takeover to the start of a task whose servers have all answered."""

MAX_HELD_S = LEADERSHIP_VALIDITY.total_seconds() + MAX_FORMER_LEASE_S
"""Time from the takeover until nothing of the former leader can run any more."""

SETTLE_S = 0.5
WIDE = StepSpec(count=1, cpu_millis=16_000, estimate_s=2.0)
"""A task that takes a whole server."""


def now() -> float:
    return asyncio.get_running_loop().time()


async def cut_leader(site: FakeSite) -> tuple[FakeVm, float]:
    """Cut off the leader's domain; return the successor and when it took over."""
    former = await site.wait_for_leader()
    site.cut_domain(former.failure_domain)
    while True:
        for vm in site.vms:
            if vm.failure_domain not in site.cut_domains and vm.term.serving_epoch:
                return vm, now()
        await asyncio.sleep(0.01)


def domains_of(site: FakeSite, job_id: str) -> set[str]:
    starts = site.starts_of(job_id)
    return {site.servers[each.server].entry.failure_domain for each in starts}


@pytest.mark.parametrize("seed", range(6))
def test_waiting_tasks_start_at_once_while_the_leader_domain_is_cut(seed: int) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=seed, domains=DOMAINS)
        leader = await site.wait_for_leader()
        await asyncio.sleep(SETTLE_S)
        for _ in range(9):
            site.submit(WIDE, task_s=1.0)
        await asyncio.sleep(0.3)
        waiting = [site.submit(WIDE, task_s=1.0) for _ in range(4)]
        await asyncio.sleep(0.1)
        assert not any(site.starts_of(job_id) for job_id in waiting)
        _, took_over_at = await cut_leader(site)
        await asyncio.sleep(MAX_WAIT_S)
        began = [site.starts_of(job_id)[0].began_at for job_id in waiting]
        assert max(began) < took_over_at + MAX_WAIT_S
        await asyncio.sleep(12)
        assert all(domains_of(site, each) for each in waiting)
        assert leader.failure_domain in site.cut_domains
        assert not site.faults
        await site.close()

    run_virtual(body)


@pytest.mark.parametrize("seed", range(6))
def test_tasks_in_the_cut_domain_start_elsewhere_only_after_their_lease(
    seed: int,
) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=seed, domains=DOMAINS)
        leader = await site.wait_for_leader()
        await asyncio.sleep(SETTLE_S)
        jobs = [site.submit(WIDE, task_s=30.0) for _ in range(9)]
        await asyncio.sleep(0.3)
        cut = leader.failure_domain
        inside = [each for each in jobs if domains_of(site, each) == {cut}]
        assert len(inside) == 3
        _, took_over_at = await cut_leader(site)
        # Room for them elsewhere, at once.
        for job_id in set(jobs) - set(inside):
            site.cancel(job_id)
        await asyncio.sleep(MAX_HELD_S + MAX_WAIT_S)
        for job_id in inside:
            first, second = site.starts_of(job_id)
            assert first.ended_at is not None
            assert first.ended_at <= second.began_at
            assert second.began_at < took_over_at + MAX_HELD_S + MAX_WAIT_S
        assert not site.faults
        await site.close()

    run_virtual(body)


@pytest.mark.parametrize("seed", range(6))
def test_a_refused_connection_does_not_prove_that_a_server_runs_nothing(
    seed: int,
) -> None:
    """A firewall between failure domains may refuse connections to live servers."""

    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=seed, domains=DOMAINS)
        for server in site.servers.values():
            server.refuses = True
        leader = await site.wait_for_leader()
        await asyncio.sleep(SETTLE_S)
        jobs = [site.submit(WIDE, task_s=6.0) for _ in range(9)]
        await asyncio.sleep(0.3)
        inside = [
            each for each in jobs if domains_of(site, each) == {leader.failure_domain}
        ]
        await cut_leader(site)
        for job_id in set(jobs) - set(inside):
            site.cancel(job_id)
        await asyncio.sleep(MAX_HELD_S + MAX_WAIT_S)
        assert not site.faults
        await site.close()

    run_virtual(body)


def test_a_second_takeover_within_the_first_holds_only_what_may_run() -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=6, seed=5, domains=DOMAINS)
        await site.wait_for_leader()
        await asyncio.sleep(SETTLE_S)
        for _ in range(9):
            site.submit(WIDE, task_s=4.0)
        await asyncio.sleep(0.3)
        waiting = site.submit(WIDE, task_s=1.0)
        successor, _ = await cut_leader(site)
        await asyncio.sleep(0.5)
        await successor.kill()
        killed_at = now()
        started = await site.first_start(waiting)
        # The tasks that fill the servers end 4 s after their start.
        assert started.began_at - killed_at < 4.0 + MAX_WAIT_S
        assert not site.faults
        await site.close()

    run_virtual(body)


def test_a_leader_without_the_store_starts_nothing_that_it_cannot_record() -> None:
    async def body() -> None:
        site = FakeSite(servers=6, vms=3, seed=2, domains=DOMAINS)
        leader = await site.wait_for_leader()
        await asyncio.sleep(SETTLE_S)
        job_id = site.submit(
            StepSpec(count=6, cpu_millis=16_000, estimate_s=1.0),
            StepSpec(count=6, cpu_millis=16_000, estimate_s=1.0, after=(0,)),
            task_s=1.0,
        )
        await asyncio.sleep(0.5)
        for vm in site.vms:
            vm.store.fault_mode = "silent"
        lost_at = now()
        await asyncio.sleep(4.0)
        later = [each for each in site.starts_of(job_id) if each.began_at > lost_at]
        domains = {
            site.servers[each.server].entry.failure_domain
            for each in later
            if each.began_at > lost_at + 1.0
        }
        assert domains == set(DOMAINS) - {leader.failure_domain}
        for vm in site.vms:
            vm.store.fault_mode = ""
        await asyncio.sleep(4.0)
        assert len(site.starts_of(job_id)) == 12
        assert not site.faults
        await site.close()

    run_virtual(body)


def test_lead_is_not_handed_over_before_the_leader_is_settled() -> None:
    async def body() -> None:
        site = FakeSite(
            servers=9, seed=5, domains=DOMAINS, cores=(0.5, 0.5, 0.5, 0.5, 0.5, 2.0)
        )
        strong = site.vms[5]
        await strong.kill()
        leader = await site.wait_for_leader()
        assert leader.failure_domain != strong.failure_domain
        await asyncio.sleep(SETTLE_S)
        for _ in range(9):
            site.submit(WIDE, task_s=30.0)
        await asyncio.sleep(0.3)
        successor, _ = await cut_leader(site)
        strong.start()
        # The strong VM has answered for long enough, but servers are out of reach.
        await asyncio.sleep(6.0)
        assert successor.term.serving_epoch
        site.heal_domain(leader.failure_domain)
        await strong.wait_to_lead()
        assert not site.faults
        await site.close()

    run_virtual(body)


def test_the_gate_holds_the_tasks_that_unsettled_servers_name() -> None:
    gate = TakeoverGate(
        {"x": FormerTasks(frozenset({"job.0.0.1"})), "y": ANY_TASK},
        former_authority_end=100,
    )
    assert gate.holds("job.0.0.2")
    gate.mark_settled("y")
    assert gate.holds("job.0.0.1")
    assert not gate.holds("job.0.0.2")
    gate.mark_settled("x")
    assert not gate.holds("job.0.0.1")


def record(value: object) -> list[Row]:
    return [Row("known/main/i-1", 1, msgspec.json.encode(value))]


@pytest.mark.parametrize(
    ("value", "since", "names"),
    [
        ({"address": "i-1:1", "tasks": ["t"], "epoch": 4}, 3, frozenset({"t"})),
        ({"address": "i-1:1", "tasks": [], "epoch": 4}, 3, frozenset()),
        ({"address": "i-1:1"}, 3, None),
        # An earlier build led since then and did not keep the row up to date.
        ({"address": "i-1:1", "tasks": ["t"], "epoch": 2}, 3, None),
        ({"address": "i-1:1", "tasks": ["t"], "epoch": 4}, 0, None),
        ({"address": 7, "tasks": "t"}, 3, None),
    ],
)
def test_rows_of_servers_are_relied_on_only_if_all_leaders_keep_them(
    value: object, since: int, names: frozenset[str] | None
) -> None:
    former = Owner(5, "vm-0", "vm-0-1", "vm-0", task_records_since=since)
    assert decode_former_tasks(record(value), former)["i-1"].names == names


# Guards against TWICE: a replaced leader gives up a run whose end its successor noted.
def test_a_replaced_leader_does_not_start_again_what_its_successor_saw_done() -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=2, domains=("a", "b"))
        former = await site.wait_for_leader()
        await asyncio.sleep(SETTLE_S)
        job_id = site.submit(StepSpec(count=1, cpu_millis=500), task_s=0.5)
        used = (await site.first_start(job_id)).server
        [successor] = [vm for vm in site.vms if vm is not former]
        former.store.fault_mode = "silent"
        former.orders.unreachable = {used}
        successor.orders.unreachable = set(site.servers) - {used}
        await successor.wait_to_lead()
        await asyncio.sleep(LEADERSHIP_VALIDITY.total_seconds())
        assert len(site.starts_of(job_id)) == 1
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against TWICE: a server's row that drops a task before its end is stored.
def test_the_row_of_a_server_names_ended_tasks_until_their_ends_are_stored() -> None:
    async def body() -> None:
        site = FakeSite(servers=1, vms=1)
        leader = await site.wait_for_leader()
        await asyncio.sleep(SETTLE_S)
        job_id = site.submit(StepSpec(count=1, cpu_millis=500), task_s=0.5)
        await site.first_start(job_id)
        leader.store.fault_mode = "silent"
        await asyncio.sleep(1)
        dispatcher = leader.term._dispatcher
        assert dispatcher is not None
        server = dispatcher.servers["i-0"]
        assert not server.runs
        assert server.task_names() == [f"{job_id}.0.0.0"]
        leader.store.fault_mode = ""
        await asyncio.sleep(2)
        assert not server.task_names()
        assert leader.term.job_state(job_id) is JobState.DONE
        await site.close()

    run_virtual(body)
