"""Tests of `GroupCommit` with a table that has faults."""

import asyncio
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiaweir.clock import ManualClock
from cassiaweir.exceptions import ConflictError, RefusedError, UnavailableError
from cassiaweir.observe import Metrics
from cassiaweir.store import GroupCommit
from cassiaweir.types import Check, Write
from cassiaweir.verdict import Verdict
from standins.memory import MemoryTable

# Attributes of `MemoryTable` that make its next commits fail.
FAULTS = ["lose_answers", "lose_requests", "hold_commits"]
KEYS = [f"k{number}" for number in range(6)]


class RecordingTable(MemoryTable):
    """Records the writes that take effect and the size of each transaction.

    `before_commit` is called once, before the next commit, so that a test can write as
    another process at that moment.
    """

    def __init__(self) -> None:
        super().__init__()
        self.applied = []
        self.sizes = []
        self.before_commit = None

    async def commit(self, checks, writes):
        self.sizes.append(len(writes))
        if self.before_commit:
            hook, self.before_commit = self.before_commit, None
            hook()
        return await super().commit(checks, writes)

    def apply(self, checks, writes):
        versions = super().apply(checks, writes)
        self.applied += [(w.key, w.value, versions[w.key]) for w in writes]
        return versions


@pytest.fixture
def table():
    return RecordingTable()


@pytest.fixture
async def group(table):
    group = GroupCommit(table, ManualClock(), Metrics())
    await group.start()
    yield group
    await group.stop()


async def gather(*commits):
    return await asyncio.gather(*commits, return_exceptions=True)


def create(group, key, version=0, value=b"1"):
    return group.commit([Check(key, version)], [Write(key, value)])


def verdicts(results):
    return [getattr(result, "verdict", type(result).__name__) for result in results]


async def test_commits_that_wait_together_share_a_transaction(table, group):
    results = await gather(*(create(group, key) for key in KEYS))
    assert results == [{key: 1} for key in KEYS]
    assert table.sizes == [6]


async def test_commits_under_one_lease_share_a_transaction(table, group):
    versions = await create(group, "shard")
    lease = Check("shard", versions["shard"])
    table.sizes.clear()
    parts = [
        group.commit([lease, Check(f"part{n}", 0)], [Write(f"part{n}", b"1")])
        for n in range(5)
    ]
    assert all(isinstance(item, dict) for item in await gather(*parts))
    assert table.sizes == [5]


async def test_a_writer_of_the_checked_row_does_not_overtake_its_readers(table, group):
    versions = await create(group, "shard")
    lease = Check("shard", versions["shard"])
    before = group.commit([lease, Check("part1", 0)], [Write("part1", b"1")])
    renewal = group.commit([lease], [Write("shard", b"2")])
    after = group.commit([lease, Check("part2", 0)], [Write("part2", b"1")])
    first, second, third = await gather(before, renewal, after)
    assert isinstance(first, dict)
    assert isinstance(second, dict)
    assert isinstance(third, ConflictError)


async def test_a_batch_is_bounded(table, group):
    await gather(*(create(group, f"row{number}") for number in range(150)))
    assert table.sizes == [64, 64, 22]


async def test_one_conflict_does_not_fail_the_other_commits(table, group):
    table.apply([], [Write("k3", b"taken")])
    results = await gather(*(create(group, key) for key in KEYS))
    assert isinstance(results[3], ConflictError)
    assert [type(result) for result in results].count(dict) == 5
    assert table.sizes == [6, 5]


async def test_of_two_commits_that_create_a_row_the_first_wins(table, group):
    results = await gather(
        create(group, "a", value=b"one"), create(group, "a", value=b"two")
    )
    assert results[0] == {"a": 1}
    assert isinstance(results[1], ConflictError)


async def test_a_lost_answer_of_a_batch_is_in_doubt_for_all(table, group):
    table.lose_answers = 1
    results = await gather(*(create(group, key) for key in KEYS))
    assert verdicts(results) == [Verdict.MAY_HAVE_RUN] * 6
    assert len(table.applied) == 6


async def test_a_batch_lost_on_the_way_is_repeated_one_by_one(table, group):
    table.lose_requests = 1
    unconditional = group.commit([], [Write("plain", b"1")])
    results = await gather(unconditional, *(create(group, key) for key in KEYS))
    assert verdicts(results) == [Verdict.MAY_HAVE_RUN] + ["dict"] * 6


async def test_a_batch_applied_late_does_nothing_after_a_repeat(table, group):
    table.hold_commits = 1
    await gather(create(group, "a"), create(group, "b"))
    assert table.apply_held() == 0
    assert len(table.applied) == 2


async def test_a_repeat_that_succeeds_resolves_the_conflicts_of_the_others(
    table, group
):
    """The repeat finds the row at the version that the batch checked.

    So the batch did not take effect, and another process caused the conflict.
    """
    table.apply([], [Write("a", b"0"), Write("b", b"0")])
    table.lose_requests = 1
    table.before_commit = lambda: table.apply([], [Write("b", b"taken")])
    results = await gather(create(group, "a", 1), create(group, "b", 1))
    assert verdicts(results) == ["dict", "ConflictError"]


async def test_a_repeat_that_creates_a_row_resolves_nothing(table, group):
    """A row that the batch created may have been deleted by another process.

    So a repeat that creates it does not prove that the batch did not take effect.
    """
    table.apply([], [Write("b", b"0")])
    table.lose_answers = 1
    commits = gather(create(group, "a", 0), create(group, "b", 1))

    def delete_before_repeat():
        table.before_commit = lambda: table.apply([], [Write("a", None)])

    table.before_commit = delete_before_repeat
    assert verdicts(await commits) == ["dict", Verdict.MAY_HAVE_RUN]


async def test_an_outage_during_the_repeats_leaves_doubt(table, group):
    table.lose_requests = 2
    results = await gather(*(create(group, key) for key in KEYS))
    assert verdicts(results) == [Verdict.MAY_HAVE_RUN] * 6


async def test_a_batch_to_a_table_that_is_down_has_not_run(table, group):
    table.down = True
    results = await gather(*(create(group, key) for key in KEYS))
    assert verdicts(results) == [Verdict.NOT_RUN] * 6


async def test_a_full_queue_refuses_at_once(table):
    group = GroupCommit(table, ManualClock(), Metrics(), max_queued_rows=2)
    waiting = asyncio.gather(create(group, "a"), create(group, "b"))
    await asyncio.sleep(0)
    with pytest.raises(RefusedError) as caught:
        await create(group, "c")
    assert caught.value.reason == "table_busy"
    assert caught.value.verdict is Verdict.NOT_RUN
    assert caught.value.retry_after >= timedelta(seconds=1)
    await group.start()
    await group.stop()
    assert await waiting == [{"a": 1}, {"b": 1}]


async def test_a_queue_that_takes_too_long_refuses_at_once(table):
    clock = ManualClock()
    group = GroupCommit(table, clock, Metrics(), max_wait=timedelta(seconds=2))
    await group.start()
    table.before_commit = lambda: clock.advance(70)
    await create(group, "slow")
    waiting = [asyncio.ensure_future(create(group, f"row{n}")) for n in range(4)]
    await asyncio.sleep(0)
    results = await gather(*waiting)
    assert verdicts(results)[:2] == ["dict", "dict"]
    assert isinstance(results[3], RefusedError)
    assert await create(group, "later") == {"later": 3}
    await group.stop()


async def test_a_stop_commits_the_queue_and_refuses_more(table, group):
    waiting = asyncio.ensure_future(create(group, "a"))
    await asyncio.sleep(0)
    await group.stop()
    assert await waiting == {"a": 1}
    with pytest.raises(RefusedError):
        await create(group, "b")


async def test_a_cancelled_stop_answers_every_caller(table):
    group = GroupCommit(table, ManualClock(), Metrics(), max_batch_rows=1)
    forever = asyncio.Event()

    async def hang(checks, writes):
        await forever.wait()

    table.commit = hang
    await group.start()
    sent = asyncio.ensure_future(create(group, "a"))
    left = asyncio.ensure_future(create(group, "b"))
    for _ in range(5):
        await asyncio.sleep(0)
    stop = asyncio.ensure_future(group.stop())
    await asyncio.sleep(0)
    stop.cancel()
    results = await gather(sent, left, stop)
    assert verdicts(results)[:2] == [Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN]


async def test_a_commit_in_doubt_does_not_undo_a_later_one(table, group):
    """Issue 2: the late commit checks another row than the later one writes."""
    table.hold_commits = 1
    writes = [Write("k0", b"1"), Write("k1", b"1")]
    first, second = await gather(
        group.commit([Check("k0", 0)], writes),
        group.commit([Check("k1", 0)], [Write("k1", b"2")]),
    )
    assert first.verdict is Verdict.MAY_HAVE_RUN
    # The commit in doubt was settled first, so the row is not as the later one expects.
    assert isinstance(second, ConflictError)
    table.apply_held()
    assert [(key, value) for key, value, _ in table.applied] == [
        ("k0", b"1"),
        ("k1", b"1"),
    ]


async def test_a_write_is_refused_while_an_earlier_one_stays_in_doubt(table, group):
    table.hold_commits = 2
    writes = [Write("k0", b"1"), Write("k1", b"1")]
    first, second = await gather(
        group.commit([Check("k0", 0)], writes),
        group.commit([], [Write("k1", b"2")]),
    )
    assert verdicts([first, second]) == [Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN]
    assert await create(group, "k2") == {"k2": 1}
    assert isinstance(await group.commit([], [Write("k1", b"3")]), dict)
    table.apply_held()
    assert table._rows["k1"].value == b"3"


class GroupCommitMachine(RuleBasedStateMachine):
    """Checks each result against what was applied, under random commits and faults."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.table = RecordingTable()
        self.group = GroupCommit(self.table, ManualClock(), Metrics(), max_batch_rows=4)
        self.runner.run(self.group.start())
        self.submitted = []
        self.count = 0

    def version(self, key):
        row = self.table._rows.get(key)
        return row.version if row else 0

    @rule(
        commits=st.lists(
            st.tuples(
                st.sampled_from(KEYS),
                st.sampled_from(["current", "current", "current", "stale", "none"]),
                st.sampled_from([None, None, *KEYS]),
            ),
            min_size=2,
            max_size=8,
        ),
        fault=st.sampled_from([None, *FAULTS]),
        drain=st.booleans(),
    )
    def submit(self, commits, fault, drain):
        """Submit commits together, each with a value of its own for one or two rows."""
        if fault:
            setattr(self.table, fault, 1)
        self.runner.run(self.submit_all(commits))
        if drain:
            self.drain()

    async def submit_all(self, commits):
        for key, seen, other in commits:
            self.count += 1
            value = f"v{self.count}".encode()
            checks = [Check(key, self.version(key))] if seen == "current" else []
            checks = [Check(key, 10_000)] if seen == "stale" else checks
            keys = {key, other} - {None}
            writes = [Write(key, value) for key in sorted(keys)]
            task = asyncio.ensure_future(self.group.commit(checks, writes))
            self.submitted.append((value, keys, checks, task))
        await asyncio.sleep(0)

    @rule(
        fault=st.sampled_from(FAULTS),
        count=st.integers(0, 3),
    )
    def set_fault(self, fault, count):
        setattr(self.table, fault, count)

    @rule(down=st.booleans())
    def set_down(self, down):
        self.table.down = down

    @rule(key=st.sampled_from(KEYS), between=st.booleans())
    def write_as_another_process(self, key, between):
        """Write as another process, now or just before the next transaction."""
        self.count += 1
        writes = [Write(key, f"other{self.count}".encode())]
        if between:
            self.table.before_commit = lambda: self.table.apply([], writes)
        else:
            self.table.apply([], writes)

    @rule()
    def apply_held(self):
        self.table.apply_held()

    @rule()
    def drain(self):
        tasks = [task for *_, task in self.submitted]
        self.runner.run(gather(*tasks))

    @invariant()
    def answers_are_true(self):
        for value, keys, _, task in self.submitted:
            if not task.done():
                continue
            applied = [item for item in self.table.applied if item[1] == value]
            exc = task.exception()
            if exc is None:
                expected = [(key, value, task.result()[key]) for key in sorted(keys)]
                assert applied == expected
            elif getattr(exc, "verdict", None) is Verdict.MAY_HAVE_RUN:
                assert len(applied) in (0, len(keys))
            else:
                assert isinstance(exc, ConflictError | RefusedError | UnavailableError)
                assert applied == []

    @invariant()
    def a_version_is_used_once(self):
        """Two commits that checked the same version of a row never both succeed."""
        used = [
            (check.key, check.version)
            for _, _, checks, task in self.submitted
            if task.done() and not task.exception()
            for check in checks
        ]
        assert len(used) == len(set(used))

    @invariant()
    def order_per_key_is_kept(self):
        """Require checked commits to take effect per key in the order of submission."""
        checked = {value for value, _, checks, _ in self.submitted if checks}
        for key in KEYS:
            applied = [
                int(value[1:])
                for at, value, _ in self.table.applied
                if at == key and value in checked
            ]
            assert applied == sorted(applied)

    def teardown(self):
        self.table.down = False
        self.runner.run(self.group.stop())
        self.table.apply_held()
        self.answers_are_true()
        self.runner.close()


TestGroupCommitMachine = GroupCommitMachine.TestCase
TestGroupCommitMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
