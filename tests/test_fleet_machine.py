"""A state machine test of two owners and three workers under failures."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from loguru import logger

from cassiaweir.clock import ManualClock
from cassiaweir.exceptions import LeaseLostError, UnavailableError
from cassiaweir.types import TaskState
from cassiaweir.verdict import Verdict
from standins.memory import MemoryTable
from tests.fleet_fakes import FakeWorker, Rig, add_part, make_spec

OWNERS = st.integers(0, 1)
WORKERS = st.integers(0, 2)
SOME_WORKERS = st.sets(WORKERS, max_size=2)


class TableLink:
    """The connection of one process to the table; it can be cut or lose an answer."""

    def __init__(self, table):
        self._table = table
        self.cut = False
        self.lose = False

    def _check(self):
        if self.cut:
            raise UnavailableError("cut", verdict=Verdict.NOT_RUN)

    async def read(self, keys):
        self._check()
        return await self._table.read(keys)

    async def scan(self, prefix):
        self._check()
        return await self._table.scan(prefix)

    async def commit(self, checks, writes):
        self._check()
        versions = await self._table.commit(checks, writes)
        if self.lose:
            self.lose = False
            raise UnavailableError("answer lost", verdict=Verdict.MAY_HAVE_RUN)
        return versions


class TwoOwners(RuleBasedStateMachine):
    """Checks that no task runs on two workers at once or again after its success."""

    @initialize()
    def begin(self):
        logger.disable("cassiaweir")
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.workers = [FakeWorker(f"w{n}", self.clock) for n in range(3)]
        self.links = [TableLink(self.table), TableLink(self.table)]
        self.rigs = [
            Rig(f"p{n}", link, self.clock, self.workers)
            for n, link in enumerate(self.links)
        ]
        self.succeeded = set()
        self.frozen = set()
        self.jobs = 0
        self.run(self.rigs[0].acquire())
        self.submit(3)

    def run(self, call):
        try:
            return self.loop.run_until_complete(call)
        except (UnavailableError, LeaseLostError):
            return None

    @rule(tasks=st.integers(1, 4))
    def submit(self, tasks):
        if self.jobs < 4:
            self.jobs += 1
            spec = make_spec(f"j{self.jobs}", tasks=tasks, cpu=2000)
            self.run(add_part(self.table, spec))
        for rig in self.rigs:
            if rig.runner is not None:
                rig.runner.notify(f"j{self.jobs}")

    @rule(seconds=st.sampled_from([0.5, 1, 2, 3, 7, 13, 25, 70]))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @rule(seconds=st.sampled_from([1, 2, 2, 4, 7]), rounds=st.integers(1, 4))
    def work(self, seconds, rounds):
        for _ in range(rounds):
            self.clock.advance(seconds)
            for owner in (0, 1):
                if owner not in self.frozen:
                    self.hold(owner)
                    self.turn(owner)
            self.runs_once()

    @rule(owner=OWNERS, hidden=SOME_WORKERS, lost=SOME_WORKERS)
    def cut_off(self, owner, hidden, lost):
        """Cut an owner off from the table until the other process takes over.

        The successor cannot reach the `hidden` workers, and the former owner cannot
        reach the `lost` ones.
        """
        self.heal_all()
        self.work(1, 2)
        self.links[owner].cut = True
        for worker in hidden:
            self.cut(1 - owner, worker)
        for worker in lost:
            self.cut(owner, worker)
        self.work(2, 4)

    @rule()
    def heal_all(self):
        self.frozen.clear()
        for link in self.links:
            link.cut = False
        for worker in self.workers:
            worker.unreachable_from.clear()
            worker.delay_starts = False

    @rule(worker=WORKERS, owner=OWNERS)
    def start_late(self, worker, owner):
        """Delay the starts of one round until after the caller has given up."""
        self.workers[worker].delay_starts = True
        self.turn(owner)
        self.workers[worker].delay_starts = False
        self.turn(owner)

    @rule(owner=OWNERS)
    def freeze(self, owner):
        self.frozen ^= {owner}

    @rule(owner=OWNERS)
    def hold(self, owner):
        rig = self.rigs[owner]
        if rig.lease.owned:
            self.run(rig.lease.renew())
            return
        rig.runner = None
        self.run(rig.acquire())

    @rule(owner=OWNERS)
    def turn(self, owner):
        if self.rigs[owner].runner is not None:
            self.run(self.rigs[owner].turn())

    @rule(owner=OWNERS, worker=WORKERS)
    def drive_one(self, owner, worker):
        runner = self.rigs[owner].runner
        if runner is not None:
            driver = runner._registry.drivers.get(f"w{worker}")
            if driver is not None:
                self.run(driver.step())

    @rule(owner=OWNERS, cut=st.booleans())
    def table_link(self, owner, cut):
        self.links[owner].cut = cut

    @rule(owner=OWNERS)
    def lose_table_answer(self, owner):
        self.links[owner].lose = True

    @rule(owner=OWNERS, worker=WORKERS)
    def cut(self, owner, worker):
        self.workers[worker].unreachable_from.add(f"p{owner}")

    @rule(owner=OWNERS, worker=WORKERS)
    def heal(self, owner, worker):
        self.workers[worker].unreachable_from.discard(f"p{owner}")

    @rule(worker=WORKERS)
    def lose_answer(self, worker):
        self.workers[worker].lose_answers = 1

    @rule(worker=WORKERS, delay=st.booleans())
    def delay_starts(self, worker, delay):
        self.workers[worker].delay_starts = delay

    @rule(worker=WORKERS)
    def deliver(self, worker):
        self.workers[worker].deliver()

    @rule(worker=WORKERS, state=st.sampled_from(TaskState))
    def finish(self, worker, state):
        running = sorted(self.workers[worker].running(), key=str)
        if running and state.ended:
            self.workers[worker].finish(running[0], state)
            if state is TaskState.SUCCEEDED:
                self.succeeded.add(running[0])

    @rule(worker=WORKERS)
    def reboot(self, worker):
        self.workers[worker].undelivered_starts.clear()
        lost = self.workers[worker].entries
        # A success that was not reported is lost with its VM; the task may run again.
        self.succeeded -= {
            task for task, entry in lost.items() if entry.state is TaskState.SUCCEEDED
        }
        self.workers[worker].reboot()

    @rule(owner=OWNERS)
    def replace_process(self, owner):
        name = f"p{owner}"
        link = self.links[owner]
        self.rigs[owner] = Rig(f"{name}", link, self.clock, self.workers)
        self.rigs[owner].lease._process = f"{name}.{self.clock.monotonic()}"

    @rule(owner=OWNERS)
    def release(self, owner):
        rig = self.rigs[owner]
        if rig.runner is not None and rig.lease.owned:
            rig.runner = None
            self.clock.advance(2)
            self.run(rig.lease.release())

    @invariant()
    def runs_once(self):
        seen = set()
        for worker in self.workers:
            running = worker.running()
            assert not running & seen, f"{running & seen} run on two workers"
            assert not running & self.succeeded, "a task ran again after its success"
            seen |= running

    @invariant()
    def no_worker_is_overcommitted(self):
        for worker in self.workers:
            assert len(worker.running()) <= 2

    def teardown(self):
        logger.enable("cassiaweir")
        self.loop.close()


TwoOwners.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)
TestTwoOwners = TwoOwners.TestCase
