"""Tests of `JobManager`, the division of jobs into parts, and the states of a part."""

from datetime import timedelta

import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.exceptions import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    RefusedError,
    UnavailableError,
)
from cassiaweir.observe import EventLog
from cassiaweir.types import JobKind, Resources, ShardOwner, TaskState
from cassiaweir.verdict import Verdict
from cassiaweir.work import (
    JobManager,
    Part,
    PartAnswer,
    PartRow,
    TaskPhase,
    collect_ranges,
    expand_ranges,
)
from standins.memory import MemoryTable
from tests.fleet_fakes import CAPACITY, make_spec

FREE = {"augusta-0": 4, "priolo-0": 2, "milazzo-0": 0}


class Directory:
    """Three shards; `FREE` says how many worker VMs' resources each has free."""

    def __init__(self):
        self.shards = dict(FREE)

    def owners(self):
        return [self.owner(shard) for shard in self.shards]

    def owner(self, shard):
        free = Resources(4000, 8000) * self.shards[shard]
        domain = shard.rpartition("-")[0]
        return ShardOwner(
            shard, domain, "p", "127.0.0.1:1", 1, CAPACITY * 4, free, 0, 0
        )


class Calls:
    """Records notifications, and answers queries unless `down`."""

    def __init__(self):
        self.notified = []
        self.down = False

    async def notify_parts(self, address, shard, job):
        self.notified.append((shard, job))

    async def query_job(self, address, job):
        if self.down:
            raise UnavailableError("down", verdict=Verdict.NOT_RUN)
        return [PartAnswer("augusta-0", 1, 2, 0, 0, "no_room")]


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def client():
    return Calls()


@pytest.fixture
def manager(table, client):
    clock = ManualClock()
    return JobManager(
        table=table,
        directory=Directory(),
        vm_sizes=lambda shard: [CAPACITY] * 4,
        schedulers=client,
        clock=clock,
        events=EventLog("g", clock),
    )


async def parts(table):
    from cassiaweir.work import decode_part

    rows = await table.scan("part/")
    return {row.key: decode_part(row) for row in rows}


async def test_a_small_batch_goes_to_the_emptiest_shard(manager, table, client):
    row = await manager.submit(make_spec(tasks=8), "t1")
    await manager.stop()
    assert row.shards == ["augusta-0"]
    assert client.notified == [("augusta-0", "j1")]
    assert (await parts(table))["part/augusta-0/j1"].count == 8


async def test_a_job_goes_to_a_shard_whose_owner_is_reachable(manager):
    manager._reaches = lambda owner: owner.shard != "augusta-0"
    row = await manager.submit(make_spec(tasks=8), "t1")
    assert row.shards == ["priolo-0"]


async def test_a_job_goes_to_an_unreachable_owner_if_no_other_shard_can_hold_it(
    manager,
):
    manager._reaches = lambda owner: owner.shard != "augusta-0"
    manager._vm_sizes = lambda shard: [CAPACITY] * (4 * (shard == "augusta-0"))
    row = await manager.submit(make_spec(tasks=8), "t1")
    assert row.shards == ["augusta-0"]


async def test_a_large_batch_is_split_by_free_slots(manager, table):
    await manager.submit(make_spec(tasks=90), "t1")
    found = await parts(table)
    assert {key: part.count for key, part in found.items()} == {
        "part/augusta-0/j1": 60,
        "part/priolo-0/j1": 30,
    }
    covered = [i for p in found.values() for i in range(p.first, p.first + p.count)]
    assert sorted(covered) == list(range(90))


async def test_a_service_is_spread_over_the_failure_domains(manager, table):
    await manager.submit(make_spec(tasks=4, kind=JobKind.SERVICE), "t1")
    counts = {key: part.count for key, part in (await parts(table)).items()}
    assert counts == {
        "part/augusta-0/j1": 2,
        "part/milazzo-0/j1": 1,
        "part/priolo-0/j1": 1,
    }


async def test_a_gang_stays_in_one_shard_or_is_refused(manager, table):
    row = await manager.submit(make_spec(tasks=16, kind=JobKind.GANG), "t1")
    assert row.shards == ["augusta-0"]
    with pytest.raises(InvalidInputError, match="largest shard holds 16"):
        await manager.submit(make_spec("j2", tasks=17, kind=JobKind.GANG), "t1")


async def test_a_size_that_fits_no_vm_is_refused_with_the_largest(manager):
    with pytest.raises(InvalidInputError, match="the largest has 4000, 8000 and 0"):
        await manager.submit(make_spec(cpu=4001), "t1")


async def test_a_job_that_fits_only_a_shard_without_an_owner_is_refused_for_now(
    manager,
):
    manager._shards = [*FREE, "siracusa-0"]
    manager._vm_sizes = lambda shard: (
        [Resources(9000, 9000)] if shard == "siracusa-0" else [CAPACITY]
    )
    with pytest.raises(RefusedError) as caught:
        await manager.submit(make_spec(cpu=9000), "t1")
    assert caught.value.reason == "shard_without_owner"
    assert caught.value.verdict is Verdict.NOT_RUN
    with pytest.raises(InvalidInputError, match="the largest has 9000"):
        await manager.submit(make_spec(cpu=9001), "t1")


async def test_a_repeat_returns_the_first_row_and_another_job_conflicts(manager):
    first = await manager.submit(make_spec(), "t1")
    assert await manager.submit(make_spec(), "t1") == first
    with pytest.raises(ConflictError):
        await manager.submit(make_spec(tasks=3), "t1")
    with pytest.raises(ConflictError):
        await manager.submit(make_spec(), "t2")


async def test_a_job_is_refused_as_not_run_while_the_table_is_down(manager, table):
    table.down = True
    with pytest.raises(RefusedError) as caught:
        await manager.submit(make_spec(), "t1")
    assert caught.value.verdict is Verdict.NOT_RUN
    assert caught.value.retry_after == timedelta(seconds=2)
    table.down = False
    assert await parts(table) == {}


async def test_a_commit_with_a_lost_answer_is_sent_again(manager, table):
    table.lose_answers = 1
    row = await manager.submit(make_spec(), "t1")
    assert row.job == "j1"
    assert len(await parts(table)) == 1


async def test_a_commit_of_unknown_outcome_is_refused_as_may_have_run(manager, table):
    commit = table.commit

    async def break_down(checks, writes):
        table.commit = commit
        table.down = True
        raise UnavailableError("lost", verdict=Verdict.MAY_HAVE_RUN)

    table.commit = break_down
    with pytest.raises(RefusedError) as caught:
        await manager.submit(make_spec(), "t1")
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


async def test_cancel_marks_the_job_and_its_open_parts(manager, table):
    await manager.submit(make_spec(), "t1")
    assert (await manager.cancel("j1")).cancelled
    assert (await manager.cancel("j1")).cancelled
    assert (await parts(table))["part/augusta-0/j1"].cancelled
    with pytest.raises(NotFoundError):
        await manager.cancel("j9")


async def test_status_names_the_shards_whose_owners_do_not_answer(manager, client):
    await manager.submit(make_spec(), "t1")
    status = await manager.status("j1")
    assert status.live[0].running == 2
    assert not status.finished
    client.down = True
    assert (await manager.status("j1")).silent == ["augusta-0"]


async def test_jobs_are_listed_by_prefix_in_pages(manager):
    for name in ("a1", "a2", "a3", "b1"):
        await manager.submit(make_spec(name), "t1")
    page = await manager.list("a", limit=2)
    assert [row.job for row in page.jobs] == ["a1", "a2"]
    page = await manager.list("a", after=page.after, limit=2)
    assert [row.job for row in page.jobs] == ["a3"]
    assert page.after == ""


def test_ranges_hold_consecutive_indexes():
    assert collect_ranges([3, 1, 2, 7]) == [(1, 4), (7, 8)]
    assert expand_ranges([(1, 4), (7, 8)]) == {1, 2, 3, 7}


def test_a_service_restarts_when_it_ends_by_itself():
    from cassiaweir.types import TaskId, TaskReport
    from cassiaweir.work import NextStep

    row = PartRow("j1", "t1", make_spec(kind=JobKind.SERVICE), 0, 0, 1)
    part = Part.from_row(row, 1, TaskPhase.WAITING)
    part.start_attempt(0, "w1")
    report = TaskReport(TaskId("j1", 0), 1, "t1", Resources(), TaskState.SUCCEEDED)
    assert part.end_attempt(report) is NextStep.RESTART
    assert not part.finished
