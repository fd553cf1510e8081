"""Tests of `cassiaweir.teams._allotments`."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from loguru import logger

from cassiaweir.clock import ManualClock
from cassiaweir.exceptions import UnavailableError
from cassiaweir.observe import EventLog
from cassiaweir.teams import AllotmentRow, ShardAllotments
from cassiaweir.types import Resources, Team
from standins.memory import MemoryTable


def cpus(count):
    return Resources(count * 1000, count * 1000)


class View:
    """A view of the configuration with one team, whose limit is in CPUs."""

    def __init__(self, limit):
        self.bundle_version = 1
        self.limit = limit

    def change(self, limit):
        self.bundle_version += 1
        self.limit = limit

    def teams(self):
        return [Team("t1", 1, cpus(self.limit))]

    def team(self, name):
        return self.teams()[0]


class Planner:
    """Runs tasks of one CPU for one team, as many as its allotment admits."""

    def __init__(self):
        self.wanted = 0
        self.runs = 0
        self.allotment = Resources()

    def set_team(self, name, share, allotment):
        self.allotment = allotment

    def plan(self):
        while self.runs < self.wanted and cpus(self.runs + 1).fits(self.allotment):
            self.runs += 1

    def allocated(self, team):
        return cpus(self.runs)

    def demand(self, team):
        return cpus(max(self.wanted, self.runs))


@dataclass
class Shard:
    """The owner of a shard with its lease, its planner and its allotments."""

    table: MemoryTable
    view: View
    clock: ManualClock
    shard: str
    version: int = 0
    planner: Planner = field(default_factory=Planner)

    def __post_init__(self):
        self.key = f"shard/{self.shard}"
        self.allotments = ShardAllotments(
            self,
            table=self.table,
            view=self.view,
            clock=self.clock,
            events=EventLog(self.shard, self.clock),
        )

    def held(self):
        return True

    def place(self):
        over = self.allotments.apply(self.planner, {"t1": Resources()})
        while over and not cpus(self.planner.runs).fits(self.planner.allotment):
            self.planner.runs -= 1
        self.planner.plan()

    async def turn(self):
        with contextlib.suppress(UnavailableError):
            await self.allotments.balance(self.planner, {"t1": Resources()})
        self.place()


def fleet(limit, shards=2):
    table, clock = MemoryTable(), ManualClock()
    return [Shard(table, View(limit), clock, f"s{n}") for n in range(shards)]


async def turns(shards, count):
    for _ in range(count):
        for shard in shards:
            shard.clock.advance(1)
            await shard.turn()


async def granted(table):
    rows = await table.read(["allot/t1"])
    row = msgspec.json.decode(rows["allot/t1"].value, type=AllotmentRow)
    return {shard: amount.cpu_millis // 1000 for shard, amount in row.amounts.items()}


async def test_a_shard_runs_its_demand_within_the_limit():
    one, two = fleet(16)
    one.planner.wanted = 10
    two.planner.wanted = 3
    await turns([one, two], 3)
    assert (one.planner.runs, two.planner.runs) == (10, 3)


async def test_a_scarce_limit_is_divided_by_demand():
    one, two = fleet(16)
    one.planner.wanted = 100
    await turns([one, two], 3)
    assert one.planner.runs == 16
    two.planner.wanted = 100
    await turns([one, two], 2)
    while one.planner.runs > 8:
        one.planner.runs -= 1
        await turns([one, two], 3)
    assert (one.planner.runs, two.planner.runs) == (8, 8)


async def test_a_surplus_is_released_after_the_release_delay():
    one, _ = fleet(16)
    one.planner.wanted = 16
    await turns([one], 2)
    one.planner.wanted = one.planner.runs = 2
    await turns([one], 5)
    assert (await granted(one.table))["s0"] == 16
    await turns([one], 10)
    assert (await granted(one.table))["s0"] == 2


async def test_a_lowered_limit_takes_surplus_first_and_then_stops_tasks():
    one, two = fleet(16)
    one.planner.wanted = two.planner.wanted = 8
    await turns([one, two], 3)
    one.planner.wanted = one.planner.runs = 2
    for shard in (one, two):
        shard.view.change(10)
    await turns([one, two], 3)
    assert (one.planner.runs, two.planner.runs) == (2, 8)
    for shard in (one, two):
        shard.view.change(5)
    await turns([one, two], 6)
    assert one.planner.runs + two.planner.runs <= 5
    assert one.planner.runs and two.planner.runs


async def test_the_allotment_of_an_unreachable_owner_still_counts():
    one, two = fleet(16)
    one.planner.wanted = two.planner.wanted = 8
    await turns([one, two], 3)
    two.planner.wanted = 100
    await turns([two], 30)
    assert two.planner.runs == 8
    two.view.change(10)
    await turns([two], 20)
    assert one.planner.runs + two.planner.runs == 10


async def test_a_delayed_reduction_is_overwritten_before_the_cap_is_raised():
    one, two = fleet(16)
    one.planner.wanted = 16
    await turns([one], 2)
    one.planner.wanted = one.planner.runs = 2
    await turns([one], 1)
    one.table.hold_commits = 1
    while not one.table.held:
        await turns([one], 1)
    assert (await granted(one.table))["s0"] == 16
    await turns([one], 1)
    one.planner.wanted = 16
    one.place()
    one.table.apply_held()
    two.planner.wanted = 16
    await turns([two], 2)
    assert one.planner.runs + two.planner.runs <= 16


async def test_a_reduction_lowers_the_cap_before_its_outcome_is_known():
    one, two = fleet(16)
    one.planner.wanted = 16
    await turns([one], 2)
    one.planner.wanted = one.planner.runs = 2
    await turns([one], 1)
    while (await granted(one.table))["s0"] == 16:
        one.table.lose_answers = 1
        await turns([one], 1)
    two.planner.wanted = 16
    await turns([two], 2)
    one.planner.wanted = 16
    one.place()
    assert one.planner.runs + two.planner.runs <= 16


async def test_a_former_owner_changes_no_allotment():
    one, _ = fleet(16)
    one.planner.wanted = 4
    one.version = 7
    await turns([one], 3)
    assert one.planner.runs == 0


class AllotmentMachine(RuleBasedStateMachine):
    """The tasks of a team stay within its limit when answers or owners are lost."""

    @initialize()
    def begin(self):
        logger.disable("cassiaweir")
        self.loop = asyncio.new_event_loop()
        self.shards = fleet(12, 3)
        self.table = self.shards[0].table
        self.highest = 12

    @rule(shard=st.integers(0, 2), wanted=st.integers(0, 20))
    def want(self, shard, wanted):
        self.shards[shard].planner.wanted = wanted

    @rule(shard=st.integers(0, 2), count=st.integers(1, 5))
    def end(self, shard, count):
        planner = self.shards[shard].planner
        planner.runs = max(0, planner.runs - count)

    @rule(shard=st.integers(0, 2), down=st.booleans())
    def turn(self, shard, down):
        self.table.down = down
        self.loop.run_until_complete(self.shards[shard].turn())
        self.table.down = False

    @rule(shard=st.integers(0, 2))
    def place(self, shard):
        self.shards[shard].place()

    @rule()
    def lose_an_answer(self):
        self.table.lose_answers = 1

    @rule()
    def delay_a_commit(self):
        self.table.hold_commits = 1

    @rule()
    def deliver(self):
        self.table.apply_held()

    @rule(seconds=st.sampled_from([1, 5, 11]))
    def advance(self, seconds):
        self.shards[0].clock.advance(seconds)

    @rule(shard=st.integers(0, 2), delay=st.booleans(), wanted=st.integers(0, 20))
    def fall_idle(self, shard, delay, wanted):
        """Lose the answer to an idle shard's reduction, then raise its demand."""
        planner = self.shards[shard].planner
        planner.wanted = planner.runs = 0
        self.turn(shard, False)
        self.advance(11)
        self.table.hold_commits, self.table.lose_answers = delay, not delay
        self.turn(shard, False)
        self.turn(shard, False)
        planner.wanted = wanted
        self.place(shard)

    @rule(limit=st.integers(1, 16), reached=st.sets(st.integers(0, 2)))
    def change_limit(self, limit, reached):
        """Change the limit; if it is lower, run all shards until they comply.

        The shards in `reached` take the first turn.
        """
        for shard in self.shards:
            shard.view.change(limit)
        lowered = limit < self.highest
        self.highest = limit
        self.deliver()
        self.table.lose_answers = self.table.hold_commits = 0
        if lowered:
            for shard in [self.shards[n] for n in sorted(reached)]:
                self.loop.run_until_complete(shard.turn())
            self.loop.run_until_complete(turns(self.shards, 20))

    @invariant()
    def within_limit(self):
        assert sum(shard.planner.runs for shard in self.shards) <= self.highest

    def teardown(self):
        logger.enable("cassiaweir")
        self.loop.close()


AllotmentMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestAllotmentMachine = AllotmentMachine.TestCase


class _TableDuringRollOut(MemoryTable):
    """Changes the limit of `view` to 16 during the next read."""

    view: View | None = None

    async def read(self, keys):
        rows = await super().read(keys)
        if self.view is not None:
            self.view.change(16)
            self.view = None
        return rows


async def test_a_limit_read_during_a_roll_out_is_not_stored_under_the_new_version():
    table = _TableDuringRollOut()
    shard = Shard(table, View(2), ManualClock(), "s0")
    shard.planner.wanted = 10
    table.view = shard.view
    await turns([shard], 5)
    assert shard.planner.runs == 10


async def test_a_limit_lowered_during_a_read_is_enforced():
    table = _TableDuringRollOut()
    shard = Shard(table, View(40), ManualClock(), "s0")
    shard.planner.wanted = 30
    table.view = shard.view
    await turns([shard], 40)
    assert shard.planner.runs <= 16
