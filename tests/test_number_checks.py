"""Tests of short tasks on servers whose lifetime may forget the ends of runs unread.

Pattern: a server leaves an acknowledgement of ends unanswered and crashes; the next
lifetime under its id carries the call out, and lists no end up to the acknowledged one.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from cassiaweir.dispatch import ServerEntry
from cassiaweir.dispatch._leases import (
    BRIEF_LEASE_MS,
    LEASE_S,
    MAX_BRIEF_ALLOWANCE_MS,
    SUSPECT_LEASE_S,
    ServerLeases,
)
from cassiaweir.dispatch._server import MAX_STOPPED_CHECKS, Server
from cassiaweir.exceptions import UnavailableError
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.verdict import Verdict
from standins.users import FakeServer
from tests.site_fakes import QUEUE, URGENT, FakeSite, FakeVm
from tests.virtual_time import run_virtual

SHORT = StepSpec(count=4, cpu_millis=2_000, memory_mb=256, estimate_s=0.1)
LASTING = StepSpec(count=1, cpu_millis=1_000, long_running=True)
READY_S = SUSPECT_LEASE_S + 3.0
"""Time after the restart of a server until it runs short tasks again."""


async def new_site(**kwargs: Any) -> tuple[FakeSite, FakeVm]:
    """Return a site where only calls that a test names are late, and its leader."""
    site = FakeSite(**kwargs)
    site.late_calls.unanswered_share = 0.0
    leader = await site.wait_for_leader()
    await asyncio.sleep(0.5)
    return site, leader


class LostAcknowledgements:
    """Lets the next acknowledgement to each of `servers` get no answer.

    The server crashes at once.  `restart` begins its next lifetime, in which the call
    is carried out before any other.
    """

    def __init__(
        self, site: FakeSite, leader: FakeVm, servers: list[FakeServer], ends: int = 1
    ) -> None:
        self._servers = {each.entry.server_id: each for each in servers}
        self._calls: dict[str, tuple[Any, ...]] = {}
        self.all_sent = asyncio.Event()
        renew = leader.orders.renew_lease

        async def lose(entry: ServerEntry, **call: Any) -> Any:
            server = self._servers.get(entry.server_id)
            known = server is None or entry.server_id in self._calls
            if known or call["acknowledged"] < ends:
                return await renew(entry, **call)
            self._calls[entry.server_id] = (
                call["epoch"], call["until_ms"], call["acknowledged"], 0.0
            )  # fmt: skip
            assert server is not None
            server.crash()
            if len(self._calls) == len(self._servers):
                self.all_sent.set()
            await asyncio.sleep(call["timeout"].total_seconds())
            raise UnavailableError("no answer", verdict=Verdict.MAY_HAVE_RUN)

        leader.orders.renew_lease = lose  # type: ignore[method-assign]

    async def restart(self, *, late: bool = True) -> None:
        """Begin the next lifetimes; with `late`, the calls arrive there at once."""
        for server_id, server in self._servers.items():
            server.restart()
            if late:
                await server.renew_lease(*self._calls[server_id])


async def submit_until(site: FakeSite, lost: asyncio.Event, task_s: float) -> list[str]:
    """Submit jobs of short tasks until `lost` is set; return their ids."""
    found = []
    for _ in range(100):
        found.append(site.submit(SHORT, task_s=task_s))
        await asyncio.sleep(0.2)
        if lost.is_set():
            return found
    raise AssertionError("no acknowledgement was lost")


async def submit_some(site: FakeSite, jobs: int, task_s: float) -> list[str]:
    """Submit jobs of short tasks, five a second; return their ids."""
    found = []
    for _ in range(jobs):
        found.append(site.submit(SHORT, task_s=task_s))
        await asyncio.sleep(0.2)
    return found


def assert_all_done(site: FakeSite, jobs: list[str]) -> None:
    """Assert that each job is done and nothing of any job ran twice."""
    leader = site.leader()
    assert leader is not None
    states = {job_id: leader.term.job_state(job_id) for job_id in jobs}
    assert set(states.values()) == {JobState.DONE}, states
    assert not site.faults


# Guards against TWICE (review/8): the first run there was stopped to see whether its
# end is listed, and tasks shorter than a stop were done, unread, and ran again.
@pytest.mark.parametrize("task_s", [0.02, 0.05, 0.15, 1.0])
@pytest.mark.parametrize("servers", [1, 6])
def test_short_tasks_run_once_after_a_late_acknowledgement(
    servers: int, task_s: float
) -> None:
    async def body() -> None:
        site, leader = await new_site(servers=servers, vms=1)
        lost = LostAcknowledgements(site, leader, [site.servers["i-0"]], ends=4)
        jobs = await submit_until(site, lost.all_sent, task_s)
        await asyncio.sleep(1.5)
        await lost.restart()
        jobs += await submit_some(site, 20, task_s)
        await asyncio.sleep(READY_S + 4 + 15 * task_s)
        assert_all_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against LOST: caution with servers that may forget ends must not let a site
# stand still on which there is no other, as after the crash of a whole domain.
@pytest.mark.parametrize("servers", [1, 3])
@pytest.mark.parametrize("late", [False, True])
def test_a_site_of_such_servers_does_not_stand_still(servers: int, late: bool) -> None:
    async def body() -> None:
        site, leader = await new_site(servers=servers, vms=1)
        lost = LostAcknowledgements(site, leader, list(site.servers.values()))
        jobs = await submit_until(site, lost.all_sent, 0.1)
        await asyncio.sleep(1)
        await lost.restart(late=late)
        jobs.append(site.submit(SHORT, task_s=0.1, queue=URGENT))
        await asyncio.sleep(READY_S)
        assert_all_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against LOST: gangs were kept off such servers, and nothing else waited that
# could have found out whether their ends are listed.
def test_gangs_alone_do_not_wait_for_ever() -> None:
    async def body() -> None:
        site, leader = await new_site(servers=2, vms=1)
        lost = LostAcknowledgements(site, leader, list(site.servers.values()))
        await submit_until(site, lost.all_sent, 0.1)
        await asyncio.sleep(1)
        await lost.restart()
        gang = StepSpec(count=4, cpu_millis=5_000, gang=True, estimate_s=0.5)
        jobs = [site.submit(gang, task_s=0.5, queue=each) for each in (QUEUE, URGENT)]
        await asyncio.sleep(READY_S + 6)
        assert_all_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against LOST: tasks that last, of which no end needs to be known, waited for
# the leases that such a server may have inherited; or they kept a lease in force there
# for good, so that nothing else ran beside them.
def test_tasks_that_last_start_there_at_once_and_others_beside_them() -> None:
    async def body() -> None:
        site, leader = await new_site(servers=1, vms=1)
        lost = LostAcknowledgements(site, leader, list(site.servers.values()))
        await submit_until(site, lost.all_sent, 0.1)
        await asyncio.sleep(1)
        await lost.restart()
        job_id = site.submit(LASTING, task_s=100.0)
        await site.first_start(job_id, limit_s=2.0)
        await asyncio.sleep(10)
        starts = len(site.starts_of(job_id))
        jobs = await submit_some(site, 10, 0.1)
        await asyncio.sleep(3)
        assert_all_done(site, jobs)
        assert leader.term.job_state(job_id) is JobState.RUNNING
        assert len(site.starts_of(job_id)) == starts <= MAX_STOPPED_CHECKS + 1
        await site.close()

    run_virtual(body)


# Guards against LOST: hundreds of acknowledged numbers, of which each check passed one.
def test_many_acknowledged_numbers_are_passed_in_seconds() -> None:
    async def body() -> None:
        site, leader = await new_site(servers=1, vms=1)
        lost = LostAcknowledgements(site, leader, [site.servers["i-0"]], ends=200)
        jobs = await submit_until(site, lost.all_sent, 0.1)
        await asyncio.sleep(1)
        await lost.restart()
        jobs += await submit_some(site, 20, 0.1)
        await asyncio.sleep(READY_S + 6)
        assert_all_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against TWICE (soak, seed 1): what is known of a lifetime went with its entry,
# and it was used without a check once it was back.
def test_a_lifetime_that_is_removed_and_back_is_still_in_doubt() -> None:
    async def body() -> None:
        site, leader = await new_site(servers=2, vms=1)
        server = site.servers["i-0"]
        lost = LostAcknowledgements(site, leader, [server], ends=4)
        jobs = await submit_until(site, lost.all_sent, 0.1)
        await asyncio.sleep(0.5)
        await lost.restart()
        await asyncio.sleep(20)
        leader.orders.unreachable.add("i-0")
        site.unregister(server)
        await asyncio.sleep(20)
        leader.orders.unreachable.clear()
        site.register(server)
        await asyncio.sleep(0.5)
        jobs += await submit_some(site, 20, 0.1)
        await asyncio.sleep(READY_S + 4)
        assert_all_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against TWICE by any order of restarts, late renewals, takeovers and short
# tasks: what ends on a server that may forget its end never has to be known.
@pytest.mark.parametrize("seed", range(12))
def test_short_tasks_run_once_under_random_restarts(seed: int) -> None:
    async def body() -> None:
        rng = random.Random(seed)
        site = FakeSite(servers=3, vms=2, seed=seed)
        site.late_calls.kinds = frozenset({"renewals"})
        site.late_calls.unanswered_share = 1.0
        site.late_calls.max_late_s = 0.3
        await site.wait_for_leader()
        jobs = []
        for number in range(120):
            step = replace(SHORT, count=rng.randint(1, 6))
            queue = rng.choice((QUEUE, URGENT))
            seconds = rng.choice((0.02, 0.05, 0.1, 0.3))
            jobs.append(site.submit(step, task_s=seconds, queue=queue))
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            if number % 12 == 6:
                server = rng.choice(list(site.servers.values()))
                if server.up:
                    server.crash()
                    site.call_later(rng.uniform(0.3, 2.0), server.restart)
            leader = site.leader()
            if number in (40, 80) and leader is not None:
                await leader.kill()
                site.call_later(1.0, leader.start)
        await asyncio.sleep(LEASE_S + READY_S + 20)
        await site.wait_for_leader()
        assert_all_done(site, jobs)
        await site.close()

    run_virtual(body)


# Guards against a server that is polled many times a second for as long as a run lasts
# that was placed there before its numbers were known.
def test_a_run_that_was_to_check_numbers_is_an_ordinary_one_once_they_are_known() -> (
    None
):
    server = Server(ServerEntry("i-1", "i-1:1", "inventory", "augusta"))
    run: Any = SimpleNamespace(checks_numbers=True)
    server.runs["a.0.0.0", 1] = run
    server.forgets_ends = True
    assert server.checks_numbers_now(0.0)
    assert server.avoids_leases
    server.forgets_ends = False
    assert not server.checks_numbers_now(0.0)
    assert not server.avoids_leases


# Guards against a lease that is long enough for a task, or always over on arrival.
def test_a_brief_lease_follows_the_slowest_clock_and_grows_when_late() -> None:
    leases = ServerLeases()
    assert leases.brief_end_ms(0.0) is None
    leases.read_clock(10_000, 5.0, 5.01)
    assert leases.brief_end_ms(5.01) == 10_000 + BRIEF_LEASE_MS
    assert leases.brief_end_ms(6.01) == 10_980 + BRIEF_LEASE_MS
    for _ in range(4):
        leases.note_brief_too_late(5.0)
    assert leases.brief_end_ms(5.01) == 10_000 + 2 * BRIEF_LEASE_MS
    for number in range(20):
        leases.note_brief_too_late(6.0 + number)
    assert leases.brief_end_ms(5.01) == 10_000 + BRIEF_LEASE_MS + MAX_BRIEF_ALLOWANCE_MS
    assert leases.only_brief(5.2)
    leases.next_end_ms(5.2, observed=False)
    assert not leases.only_brief(5.2 + LEASE_S)
    assert leases.only_brief(5.6 + LEASE_S)
