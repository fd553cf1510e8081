"""Tests of `cassiaweir.work._submission` and the division into parts."""

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
    """Three shards with their free room."""

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
    """Records the calls to schedulers."""

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
def calls():
    return Calls()


@pytest.fixture
def submission(table, calls):
    clock = ManualClock()
    return JobManager(
        table=table,
        directory=Directory(),
        vm_sizes=lambda shard: [CAPACITY] * 4,
        schedulers=calls,
        clock=clock,
        events=EventLog("g", clock),
    )


async def parts(table):
    from cassiaweir.work import decode_part

    rows = await table.scan("part/")
    return {row.key: decode_part(row) for row in rows}


async def test_a_small_batch_goes_to_the_emptiest_shard(submission, table, calls):
    row = await submission.submit(make_spec(tasks=8), "t1")
    await submission.stop()
    assert row.shards == ["augusta-0"]
    assert calls.notified == [("augusta-0", "j1")]
    assert (await parts(table))["part/augusta-0/j1"].count == 8


async def test_a_job_is_bound_to_a_shard_whose_owner_is_reached(submission):
    submission._reaches = lambda owner: owner.shard != "augusta-0"
    row = await submission.submit(make_spec(tasks=8), "t1")
    assert row.shards == ["priolo-0"]


async def test_a_job_waits_for_a_silent_owner_where_no_other_shard_holds_it(
    submission,
):
    submission._reaches = lambda owner: owner.shard != "augusta-0"
    submission._vm_sizes = lambda shard: [CAPACITY] * (4 * (shard == "augusta-0"))
    row = await submission.submit(make_spec(tasks=8), "t1")
    assert row.shards == ["augusta-0"]


async def test_a_large_batch_is_split_by_free_room(submission, table):
    await submission.submit(make_spec(tasks=90), "t1")
    found = await parts(table)
    assert {key: part.count for key, part in found.items()} == {
        "part/augusta-0/j1": 60,
        "part/priolo-0/j1": 30,
    }
    covered = [i for p in found.values() for i in range(p.first, p.first + p.count)]
    assert sorted(covered) == list(range(90))


async def test_a_service_is_spread_over_the_failure_domains(submission, table):
    await submission.submit(make_spec(tasks=4, kind=JobKind.SERVICE), "t1")
    counts = {key: part.count for key, part in (await parts(table)).items()}
    assert counts == {
        "part/augusta-0/j1": 2,
        "part/milazzo-0/j1": 1,
        "part/priolo-0/j1": 1,
    }


async def test_a_gang_stays_in_one_shard_or_is_refused(submission, table):
    row = await submission.submit(make_spec(tasks=16, kind=JobKind.GANG), "t1")
    assert row.shards == ["augusta-0"]
    with pytest.raises(InvalidInputError, match="largest shard holds 16"):
        await submission.submit(make_spec("j2", tasks=17, kind=JobKind.GANG), "t1")


async def test_a_size_that_fits_no_vm_is_refused_with_the_largest(submission):
    with pytest.raises(InvalidInputError, match="the largest has 4000, 8000 and 0"):
        await submission.submit(make_spec(cpu=4001), "t1")


async def test_a_job_for_a_shard_without_an_owner_is_not_run_yet(submission):
    submission._shards = [*FREE, "siracusa-0"]
    submission._vm_sizes = lambda shard: (
        [Resources(9000, 9000)] if shard == "siracusa-0" else [CAPACITY]
    )
    with pytest.raises(RefusedError) as caught:
        await submission.submit(make_spec(cpu=9000), "t1")
    assert caught.value.reason == "shard_without_owner"
    assert caught.value.verdict is Verdict.NOT_RUN
    with pytest.raises(InvalidInputError, match="the largest has 9000"):
        await submission.submit(make_spec(cpu=9001), "t1")


async def test_a_repeat_returns_the_first_row_and_another_job_conflicts(submission):
    first = await submission.submit(make_spec(), "t1")
    assert await submission.submit(make_spec(), "t1") == first
    with pytest.raises(ConflictError):
        await submission.submit(make_spec(tasks=3), "t1")
    with pytest.raises(ConflictError):
        await submission.submit(make_spec(), "t2")


async def test_without_the_table_a_job_is_not_run(submission, table):
    table.down = True
    with pytest.raises(RefusedError) as caught:
        await submission.submit(make_spec(), "t1")
    assert caught.value.verdict is Verdict.NOT_RUN
    assert caught.value.retry_after == timedelta(seconds=2)
    table.down = False
    assert await parts(table) == {}


async def test_a_lost_answer_is_settled_by_sending_again(submission, table):
    table.lose_answers = 1
    row = await submission.submit(make_spec(), "t1")
    assert row.job == "j1"
    assert len(await parts(table)) == 1


async def test_an_outcome_that_stays_unknown_may_have_run(submission, table):
    commit = table.commit

    async def break_down(checks, writes):
        table.commit = commit
        table.down = True
        raise UnavailableError("lost", verdict=Verdict.MAY_HAVE_RUN)

    table.commit = break_down
    with pytest.raises(RefusedError) as caught:
        await submission.submit(make_spec(), "t1")
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


async def test_cancel_marks_the_job_and_its_open_parts(submission, table):
    await submission.submit(make_spec(), "t1")
    assert (await submission.cancel("j1")).cancelled
    assert (await submission.cancel("j1")).cancelled
    assert (await parts(table))["part/augusta-0/j1"].cancelled
    with pytest.raises(NotFoundError):
        await submission.cancel("j9")


async def test_status_names_the_owners_that_are_silent(submission, calls):
    await submission.submit(make_spec(), "t1")
    status = await submission.status("j1")
    assert status.live[0].running == 2
    assert not status.finished
    calls.down = True
    assert (await submission.status("j1")).silent == ["augusta-0"]


async def test_jobs_are_listed_by_prefix_in_pages(submission):
    for name in ("a1", "a2", "a3", "b1"):
        await submission.submit(make_spec(name), "t1")
    page = await submission.list("a", limit=2)
    assert [row.job for row in page.jobs] == ["a1", "a2"]
    page = await submission.list("a", after=page.after, limit=2)
    assert [row.job for row in page.jobs] == ["a3"]
    assert page.after == ""


def test_ranges_keep_indexes_short():
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
