"""Tests of `cassiaweir.retention`: what is removed, when, and what never is."""

import asyncio

import msgspec
import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.configuration import (
    BUNDLE_HEAD,
    BUNDLE_LAST,
    BUNDLE_VERSION_PREFIX,
    KEY_PREFIX,
    BundleHead,
    KeyRow,
    version_key,
)
from cassiaweir.configuration._rows import Counter
from cassiaweir.exceptions import NotFoundError, RefusedError
from cassiaweir.requests import ServiceAnswer
from cassiaweir.requests._claims import Claim
from cassiaweir.retention._division import Division, Pages, group_of
from cassiaweir.retention._retention import REMOVALS_PER_TURN
from cassiaweir.teams import KEY_USES, KeyUse
from cassiaweir.types import Write
from cassiaweir.verdict import Verdict
from cassiaweir.work import JobManager, decode_job, job_key
from tests.fleet_fakes import CAPACITY, make_spec
from tests.retention_helpers import (
    DAY,
    HOUR,
    SHARDS,
    Cleaner,
    Owned,
    RacedTable,
    SteppingClock,
    add_job,
    end_job,
    end_part,
    make_claims,
)
from tests.test_requests_helpers import make_request
from tests.test_work_submission import Calls, Directory
from tests.waiting import until

ANSWER = ServiceAnswer(200, b"paid", {})


@pytest.fixture
def table():
    return RacedTable()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def cleaner(table, clock):
    return Cleaner(table, clock)


def make_submission(table, clock, cleaner):
    return JobManager(
        table=table,
        directory=Directory(),
        vm_sizes=lambda shard: [CAPACITY] * 4,
        schedulers=Calls(),
        clock=clock,
        events=cleaner.events,
    )


async def make_old(cleaner, clock):
    """Let finished jobs be marked, grow old, and be seen for long enough."""
    await cleaner.turns()
    clock.advance(7 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)


async def finish_claim(table, clock, **changes):
    claims = make_claims(table, clock)
    claim = await claims.claim(request(clock, **changes))
    assert await claims.finish(claim, ANSWER)


def request(clock, **changes):
    return make_request(**({"deadline": clock.monotonic() + 10} | changes))


async def test_a_finished_job_goes_with_its_outcomes(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await cleaner.turn()
    row = (await table.read([job_key("j1")]))[job_key("j1")]
    assert decode_job(row).finished_at == clock.now().timestamp()
    clock.advance(7 * DAY - 1)
    await cleaner.turns()
    clock.advance(1)
    await cleaner.turn()
    clock.advance(HOUR - 1)
    await cleaner.turns()
    assert len(table.names()) == 3
    clock.advance(1)
    await cleaner.turn()
    assert table.names() == []
    assert cleaner.kinds("job_removed") == ["j1"]


async def test_a_job_with_an_open_part_stays(table, clock, cleaner):
    await add_job(table)
    await end_part(table)
    await make_old(cleaner, clock)
    await make_old(cleaner, clock)
    before = table.rows_written
    await cleaner.turns()
    row = (await table.read([job_key("j1")]))[job_key("j1")]
    assert decode_job(row).finished_at == 0
    assert table.rows_written == before


async def test_a_job_without_an_outcome_stays_and_is_told(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await cleaner.turn()
    await table.commit([], [Write("done/j1/augusta-0", None)])
    await make_old(cleaner, clock)
    await cleaner.turns()
    assert table.names() == ["done/j1/milazzo-0", "job/j1"]
    assert cleaner.kinds("job_not_removable") == ["j1"]


async def test_a_mark_beside_an_open_part_removes_nothing(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await cleaner.turn()
    await add_job(table, "j2")
    part = (await table.read(["part/augusta-0/j2"]))["part/augusta-0/j2"]
    await table.commit([], [Write("part/augusta-0/j1", part.value)])
    await make_old(cleaner, clock)
    await cleaner.turns()
    assert job_key("j1") in table.names()


async def test_a_cancel_while_cleaning_wins(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await make_old(cleaner, clock)
    submission = make_submission(table, clock, cleaner)

    async def cancel():
        await submission.cancel("j1")

    table.racer = cancel
    await cleaner.turns()
    assert (await submission.status("j1")).row.cancelled
    clock.advance(HOUR)
    await cleaner.turns()
    with pytest.raises(NotFoundError):
        await submission.cancel("j1")


async def test_a_repeat_while_cleaning_gets_the_first_job(table, clock, cleaner):
    submission = make_submission(table, clock, cleaner)
    first = await submission.submit(make_spec(), "t1")
    await end_job(table, shards=first.shards)
    await make_old(cleaner, clock)
    found = []

    async def repeat():
        found.append(await submission.submit(make_spec(), "t1"))

    table.racer = repeat
    await cleaner.turn()
    assert found[0].finished_at
    assert table.names() == []


async def test_a_late_removal_leaves_a_new_job_of_the_name(table, clock, cleaner):
    submission = make_submission(table, clock, cleaner)
    first = await submission.submit(make_spec(), "t1")
    await end_job(table, shards=first.shards)
    await make_old(cleaner, clock)
    table.hold_commits = 1
    await cleaner.turn()
    await Cleaner(table, clock).turns()
    clock.advance(HOUR)
    await cleaner.turns(8)
    assert table.names() == []
    await submission.submit(make_spec(), "t1")
    assert len(table.held) == 1
    assert table.apply_held() == 0
    assert table.names() == ["job/j1", "part/augusta-0/j1"]


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests"])
async def test_a_removal_without_an_answer_is_made_good(table, clock, cleaner, fault):
    await add_job(table)
    await end_job(table)
    await finish_claim(table, clock)
    await make_old(cleaner, clock)
    setattr(table, fault, 2)
    await cleaner.turns(8)
    assert table.names() == []


async def test_an_outage_is_waited_out(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await make_old(cleaner, clock)
    table.down = True
    await cleaner.turns()
    table.down = False
    await cleaner.turns()
    assert table.names() == []


async def test_a_malformed_row_stops_nothing(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await finish_claim(table, clock)
    bad = [Write("job/a", b"?"), Write("claim/a/a", b"?")]
    await table.commit([], bad)
    await make_old(cleaner, clock)
    await cleaner.turns()
    assert table.names() == ["claim/a/a", "job/a"]
    assert set(cleaner.kinds("row_malformed")) == {"claim/a/a", "job/a"}


async def test_a_finished_claim_goes_after_its_time(table, clock, cleaner):
    await finish_claim(table, clock)
    clock.advance(3 * DAY - 1)
    await cleaner.turns()
    clock.advance(1)
    await cleaner.turn()
    clock.advance(HOUR - 1)
    await cleaner.turns()
    assert table.names() == ["claim/customs/k1"]
    clock.advance(1)
    await cleaner.turn()
    assert table.names() == []


async def test_a_claim_in_doubt_stays_and_is_told_once(table, clock, cleaner):
    claim = await make_claims(table, clock).claim(request(clock))
    await cleaner.turns()
    assert cleaner.kinds("claim_left_in_doubt") == []
    clock.advance(10 + 60)
    await cleaner.turns()
    clock.advance(30 * DAY)
    await cleaner.turns()
    assert cleaner.kinds("claim_left_in_doubt") == ["claim/customs/k1"]
    assert "cassiaweir_claims_in_doubt 1" in cleaner.metrics.render()
    assert table.names() == ["claim/customs/k1"]
    await make_claims(table, clock).finish(claim, ANSWER)
    await cleaner.turns()
    assert "cassiaweir_claims_in_doubt 0" in cleaner.metrics.render()


async def test_a_released_claim_taken_at_its_removal_stays(table, clock, cleaner):
    claims = make_claims(table, clock)
    assert await claims.release(await claims.claim(request(clock)))
    clock.advance(3 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)

    async def repeat():
        claim = await claims.claim(request(clock, request_id="r2"))
        assert isinstance(claim, Claim)

    table.racer = repeat
    await cleaner.turns()
    with pytest.raises(RefusedError) as caught:
        await claims.claim(request(clock, request_id="r3"))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    clock.advance(30 * DAY)
    await cleaner.turns()
    assert table.names() == ["claim/customs/k1"]


async def test_a_claim_removed_under_a_repeat_refuses_it_not_run(table, clock, cleaner):
    claims = make_claims(table, clock)
    await claims.release(await claims.claim(request(clock)))
    clock.advance(3 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)
    read = table.read

    async def read_then_lose(keys):
        found = await read(keys)
        table.read = read
        await cleaner.turns()
        return found

    table.read = read_then_lose
    with pytest.raises(RefusedError) as caught:
        await claims.claim(request(clock, request_id="r2"))
    assert caught.value.verdict is Verdict.NOT_RUN
    assert isinstance(await claims.claim(request(clock, request_id="r3")), Claim)


async def test_a_late_copy_of_a_claim_only_leaves_doubt(table, clock, cleaner):
    """The copy of a claim's commit that comes after the removal starts no run."""
    table.hold_commits = 1
    with pytest.raises(RefusedError):
        await make_claims(table, clock).claim(request(clock))
    await finish_claim(table, clock, request_id="r2")
    clock.advance(3 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)
    await cleaner.turns()
    assert table.names() == []
    assert table.apply_held() == 1
    with pytest.raises(RefusedError) as caught:
        await make_claims(table, clock).claim(request(clock, request_id="r3"))
    assert caught.value.reason == "in_doubt"


async def test_a_process_that_restarts_every_day_cleans(table, clock):
    for number in range(100):
        await add_job(table, f"j{number}")
        await end_job(table, f"j{number}")
    for _ in range(10):
        cleaner = Cleaner(table, clock)
        await cleaner.turns(10)
        clock.advance(2 * HOUR)
        await cleaner.turns(30)
        clock.advance(DAY - 2 * HOUR)
    assert table.names() == []


async def test_a_restart_begins_the_watch_anew(table, clock, cleaner):
    await finish_claim(table, clock)
    clock.advance(3 * DAY)
    await cleaner.turns()
    clock.advance(HOUR - 1)
    successor = Cleaner(table, clock)
    await successor.turns()
    clock.advance(HOUR - 1)
    await successor.turns()
    assert table.names() != []
    clock.advance(1)
    await successor.turns()
    assert table.names() == []


async def test_a_writer_with_an_old_clock_keeps_the_watch(table, clock, cleaner):
    await finish_claim(table, SteppingClock(clock, shift=-400 * DAY))
    await cleaner.turns()
    clock.advance(HOUR - 1)
    await cleaner.turns()
    assert table.names() == ["claim/customs/k1"]
    clock.advance(1)
    await cleaner.turns()
    assert table.names() == []


@pytest.mark.parametrize("shift", [400 * DAY, None])
async def test_a_time_that_cannot_be_true_is_watched_for_all(
    table, clock, cleaner, shift
):
    await finish_claim(table, SteppingClock(clock, shift=shift or 0))
    if shift is None:
        row = (await table.read(["claim/customs/k1"]))["claim/customs/k1"]
        value = msgspec.json.decode(row.value)
        del value["ended_at"]
        await table.commit([], [Write(row.key, msgspec.json.encode(value))])
    await cleaner.turns()
    clock.advance(3 * DAY - 1)
    await cleaner.turns()
    assert table.names() == ["claim/customs/k1"]
    clock.advance(1)
    await cleaner.turns()
    assert table.names() == []


async def test_a_clock_set_forward_and_back_removes_nothing_early(table, clock):
    wall = SteppingClock(clock)
    cleaner = Cleaner(table, wall)
    await finish_claim(table, clock)
    await cleaner.turns()
    wall.shift = 10 * DAY
    await cleaner.turns()
    clock.advance(HOUR - 1)
    wall.shift = 0
    await cleaner.turns()
    clock.advance(HOUR)
    await cleaner.turns()
    assert table.names() == ["claim/customs/k1"]
    assert len(cleaner.kinds("wall_clock_stepped")) == 2


async def test_old_bundle_versions_go_but_not_what_is_in_force(table, clock, cleaner):
    async def write(head, last):
        rows = {BUNDLE_HEAD: BundleHead(head, "d", "o"), BUNDLE_LAST: Counter(last)}
        await table.commit(
            [], [Write(key, msgspec.json.encode(row)) for key, row in rows.items()]
        )

    versions = [version_key(number) for number in range(1, 11)]
    await table.commit([], [Write(key, b"{}") for key in (*versions, "audit/b/1/x")])
    await write(4, 10)
    await cleaner.turns()
    assert table.names(BUNDLE_VERSION_PREFIX) == versions[3:]
    await write(9, 10)

    async def roll_out():
        await write(10, 10)

    table.racer = roll_out
    await cleaner.turn()
    assert table.names(BUNDLE_VERSION_PREFIX) == versions[3:]
    await cleaner.turns()
    assert table.names(BUNDLE_VERSION_PREFIX) == versions[7:]
    assert table.names("audit/") == ["audit/b/1/x"]


async def add_key(table, digest, *, withdrawn, last_use):
    key = KeyRow("t1", "anna", "", withdrawn=withdrawn)
    rows = {KEY_PREFIX + digest: key, KEY_USES + digest: KeyUse(last_use)}
    await table.commit(
        [], [Write(name, msgspec.json.encode(row)) for name, row in rows.items()]
    )


async def test_the_last_use_of_a_withdrawn_key_goes(table, clock, cleaner):
    await add_key(table, "a", withdrawn=True, last_use=clock.now())
    await add_key(table, "b", withdrawn=False, last_use=clock.now())
    clock.advance(7 * DAY)
    await add_key(table, "c", withdrawn=True, last_use=clock.now())
    await table.commit([], [Write("key/d", b"?"), Write("key_use/a?", b"?")])
    await cleaner.turns()
    clock.advance(HOUR - 1)
    await cleaner.turns()
    assert "key_use/a" in table.names()
    clock.advance(1)
    await cleaner.turns()
    assert table.names("key_use/") == ["key_use/a?", "key_use/b", "key_use/c"]
    assert table.names("key/") == ["key/a", "key/b", "key/c", "key/d"]


async def test_a_use_noted_at_its_removal_stays(table, clock, cleaner):
    await add_key(table, "a", withdrawn=True, last_use=clock.now())
    clock.advance(7 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)

    async def use():
        await add_key(table, "a", withdrawn=True, last_use=clock.now())

    table.racer = use
    await cleaner.turns()
    assert table.names("key_use/") == ["key_use/a"]


async def test_the_component_cleans_until_it_is_stopped(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await finish_claim(table, clock)
    await add_key(table, "a", withdrawn=True, last_use=clock.now())
    await cleaner.retention.start()
    await until(lambda: table.names() == ["key/a"])
    await cleaner.retention.stop()
    reads = table.reads
    clock.advance(DAY)
    await asyncio.sleep(0)
    assert table.reads == reads


async def test_owners_divide_the_rows_and_cover_them_all(table, clock):
    for number in range(30):
        await add_job(table, f"j{number}")
        await end_job(table, f"j{number}")
        await finish_claim(table, clock, team=f"t{number}")
    cleaners = [Cleaner(table, clock, shard) for shard in SHARDS]
    for _ in range(2):
        for cleaner in cleaners:
            await cleaner.turns(10)
        clock.advance(8 * DAY)
    for cleaner in cleaners:
        await cleaner.turns(10)
    clock.advance(HOUR)
    for cleaner in cleaners:
        await cleaner.turns(20)
    removed = [cleaner.kinds("job_removed") for cleaner in cleaners]
    assert all(removed)
    assert sum(map(len, removed)) == 30
    assert table.names() == []


async def test_a_process_without_a_shard_reads_nothing(table, clock, cleaner):
    cleaner.owned.shards = ()
    await cleaner.turns()
    assert table.reads == 0


async def test_the_claims_of_another_owners_team_are_skipped(table):
    keys = [f"claim/{team}/{n:03d}" for team in ("a", "a-b", "a0") for n in range(50)]
    await table.commit([], [Write(key, b"") for key in keys])
    for shard in SHARDS:
        division = Division(SHARDS, Owned(shard))
        division.refresh()
        pages = Pages(table, "claim/", division)
        found, reads = [], table.reads
        while not pages.laps:
            found += [row.key for row in await pages.next(10)]
        mine = [key for key in sorted(keys) if division.mine(group_of(key))]
        assert found == mine
        assert table.reads - reads <= len(mine) // 10 + 4


async def test_one_turn_is_bounded_in_reads_and_writes(table, clock, cleaner):
    for number in range(60):
        await add_job(table, f"j{number:02d}")
        await end_job(table, f"j{number:02d}")
    await cleaner.turns(8)
    clock.advance(7 * DAY)
    await cleaner.turns(8)
    clock.advance(HOUR)
    reads, commits = table.reads, table.commits
    await cleaner.turn()
    assert table.commits - commits == REMOVALS_PER_TURN
    assert table.reads - reads <= REMOVALS_PER_TURN + 8
