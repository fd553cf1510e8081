"""Tests of the leases that a leader gives: what it may conclude from them."""

from __future__ import annotations

import asyncio
import random

import pytest

from cassiaweir.dispatch import ServerReport
from cassiaweir.dispatch._gate import MAX_FORMER_LEASE_S, TakeoverGate
from cassiaweir.dispatch._leases import (
    LEASE_S,
    SUSPECT_LEASE_S,
    ServerLeases,
    max_duration_s,
)
from cassiaweir.dispatch._record_keeper import RecordKeeper
from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_records import (
    FormerTasks,
    ServerRecords,
    decode_former_tasks,
)
from cassiaweir.jobs import Isolation, Job, JobSpec, StepSpec
from cassiaweir.observe import Metrics
from cassiaweir.types import Resources, Row
from tests.site_fakes import QUEUE
from tests.test_dispatch_orders import SERVER, now
from tests.test_leadership_commits import CommitRig
from tests.virtual_time import VirtualClock, run_virtual


class LeasedServer:
    """A server with a slow clock, over links that delay and lose messages."""

    def __init__(self, rng: random.Random, longest_s: float) -> None:
        self.rng = rng
        self.longest_s = longest_s
        self.rate = rng.uniform(0.98, 1.0)
        self.offset_s = rng.uniform(0, 1_000)
        self.ends_at = 0.0

    def clock_ms(self, now: float) -> int:
        """Return the clock of the server at `now`, on the leader's clock."""
        return int((self.offset_s + now * self.rate) * 1_000)

    def take(self, end_ms: int, now: float) -> None:
        """Take a lease at `now`, of the longest time that is allowed at most."""
        end_ms = min(end_ms, self.clock_ms(now) + round(self.longest_s * 1_000))
        self.ends_at = max(self.ends_at, (end_ms / 1_000 - self.offset_s) / self.rate)


# Guards against LOST and TWICE (issue 56): a leader that takes a lease for in force
# after it has run out, or for expired while it is in force.
@pytest.mark.parametrize("seed", range(40))
def test_a_lease_is_judged_in_force_or_expired_only_if_it_certainly_is(
    seed: int,
) -> None:
    rng = random.Random(seed)
    server = LeasedServer(rng, rng.choice((2.0, 6.0, 10.0)))
    leases = ServerLeases(server.longest_s)
    at = 0.0
    for _ in range(60):
        asked_at = at
        end_ms = leases.next_end_ms(at, observed=rng.random() < 0.5)
        at += rng.expovariate(20)
        arrives = rng.random() < 0.8
        if arrives and end_ms is not None:
            server.take(end_ms, at)
        clock_ms = server.clock_ms(at)
        # The answer may wait in a leader that is paused.
        at += rng.expovariate(1 if rng.random() < 0.2 else 20)
        if arrives and rng.random() < 0.8:
            leases.read_clock(clock_ms, asked_at, at)
            if end_ms is not None:
                leases.note_granted(end_ms)
        for _ in range(rng.randint(0, 30)):
            at += rng.uniform(0, 0.3)
            assert not (leases.in_force(at) and at > server.ends_at)
            assert not (leases.expired(at) and at < server.ends_at)


# Guards against TWICE (issue 56): a successor does not wait for the long leases that
# its former leader gave to servers with suspected tasks.
def test_the_gate_waits_for_long_leases_where_a_row_allows_them() -> None:
    long_one = FormerTasks(None, lease_s=SUSPECT_LEASE_S)
    gate = TakeoverGate({"a": FormerTasks(None), "b": long_one}, former_authority_end=9)
    assert not gate.try_open(9 + MAX_FORMER_LEASE_S)
    assert not gate.try_open(9 + max_duration_s(SUSPECT_LEASE_S) - 0.01)
    assert gate.try_open(9 + max_duration_s(SUSPECT_LEASE_S))
    gate = TakeoverGate({"a": FormerTasks(None), "b": long_one}, former_authority_end=9)
    gate.mark_settled("b")
    assert gate.try_open(9 + MAX_FORMER_LEASE_S)


class Keeper:
    """A record keeper with one server that has a suspected task."""

    def __init__(self, *, all_know: bool = True, restricted: bool = False) -> None:
        self.rig = CommitRig()
        records = ServerRecords(self.rig.commits, {}, 1)
        self.keeper = RecordKeeper(
            records,
            self.rig.commits,
            VirtualClock(),
            Metrics(),
            lambda: None,
            lambda: all_know,
        )
        self.server = Server(SERVER, restricted=restricted)
        self.server.update_from_report(ServerReport(1_000, 1, [], []), now())
        job = Job(JobSpec("0" * 16, QUEUE, "c", "x", (StepSpec(count=1),), 0.0), 1, 3)
        task = job.steps[0, 0].tasks[0]
        self.run = Run(task, 1, self.server, Resources(1), "c", now())
        self.run.isolation = Isolation.APART
        self.server.add(self.run)

    def stored_lease_s(self) -> float:
        """Return the longest lease that the stored row of the server allows."""
        key = f"known/main/{SERVER.server_id}"
        rows = [Row(key, 1, self.rig.store.rows[key].value)]
        return decode_former_tasks(rows, None)[SERVER.server_id].lease_s

    def lease_s(self) -> float:
        """Return the time of a lease that is given now."""
        end_ms = self.server.next_lease_end_ms(self.server.reported_at)
        assert end_ms is not None
        return (end_ms - 1_000) / 1_000


# Guards against TWICE (issue 56): a long lease that no row tells a successor of.
@pytest.mark.parametrize("restricted", [False, True])
def test_long_leases_are_given_only_while_the_stored_row_allows_them(
    restricted: bool,
) -> None:
    async def body() -> None:
        site = Keeper(restricted=restricted)
        await site.keeper.store(site.server)
        assert site.lease_s() == LEASE_S
        assert site.stored_lease_s() == LEASE_S
        assert await site.keeper.store_starts(site.server, [site.run], ())
        assert site.lease_s() == SUSPECT_LEASE_S
        assert site.stored_lease_s() == SUSPECT_LEASE_S
        site.server.settled = True
        site.server.remove(site.run.key)
        site.keeper.shorten_leases(site.server, now())
        await asyncio.sleep(1)
        assert site.stored_lease_s() == SUSPECT_LEASE_S
        await asyncio.sleep(max_duration_s(SUSPECT_LEASE_S))
        site.keeper.shorten_leases(site.server, now())
        await asyncio.sleep(1)
        assert site.stored_lease_s() == site.lease_s() == LEASE_S
        await site.rig.close()

    run_virtual(body)


# Guards against TWICE (issue 56): a successor of an older build knows no long leases.
def test_no_long_lease_is_given_while_an_older_build_may_take_over() -> None:
    async def body() -> None:
        site = Keeper(all_know=False)
        await site.keeper.store(site.server)
        assert await site.keeper.store_starts(site.server, [site.run], ())
        assert site.lease_s() == site.stored_lease_s() == LEASE_S
        assert site.keeper.start_lease_s(site.run) < LEASE_S
        await site.rig.close()

    run_virtual(body)


# Guards against TWICE (issue 56): a row that was removed and written anew is short.
def test_a_removed_row_allows_no_long_leases() -> None:
    async def body() -> None:
        site = Keeper()
        await site.keeper.store(site.server)
        assert await site.keeper.store_starts(site.server, [site.run], ())
        site.server.remove(site.run.key)
        site.keeper.narrow(site.server, now() + 20)
        site.server.add(site.run)
        assert site.lease_s() == LEASE_S
        await site.rig.close()

    run_virtual(body)


# Guards against TWICE (issue 56): a successor writes the row of a server that has not
# answered it, or takes a long lease of its former leader for one of its own.
def test_a_successor_expects_the_long_leases_of_its_former_leader() -> None:
    async def body() -> None:
        site = Keeper()
        former = {SERVER.server_id: FormerTasks(None, lease_s=SUSPECT_LEASE_S)}
        records = ServerRecords(site.rig.commits, former, 2)
        keeper = RecordKeeper(
            records, site.rig.commits, VirtualClock(), Metrics(), lambda: None
        )
        server = Server(SERVER)
        keeper.add(server)
        keeper.shorten_leases(server, now() + 60)
        await asyncio.sleep(1)
        assert not [key for key in site.rig.store.rows if key.startswith("known/")]
        server.update_from_report(ServerReport(1_000, 1, [], []), now())
        server.settled = True
        server.next_lease_end_ms(now())
        assert not server.leases_expired(now() + SUSPECT_LEASE_S)
        keeper.shorten_leases(server, now() + SUSPECT_LEASE_S)
        assert server.leases.allow_long
        await site.rig.close()

    run_virtual(body)
