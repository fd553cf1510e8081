"""Tests of `cassiaweir.retention`: which rows are removed, when, and which are kept."""

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
from cassiaweir.retention._retention import MAX_REMOVALS_PER_BATCH
from cassiaweir.retention._row_groups import GroupOwnership, RowScanner, group_of
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
    FakeOwnedShards,
    InterleavingTable,
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
    return InterleavingTable()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def cleaner(table, clock):
    return Cleaner(table, clock)


def make_job_manager(table, clock, cleaner):
    return JobManager(
        table=table,
        directory=Directory(),
        vm_sizes=lambda shard: [CAPACITY] * 4,
        schedulers=Calls(),
        clock=clock,
        events=cleaner.events,
    )


async def age_until_removable(cleaner, clock):
    """Mark finished jobs, and let retention and watch period of all rows pass."""
    await cleaner.turns()
    clock.advance(7 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)


async def add_finished_claim(table, clock, **changes):
    claims = make_claims(table, clock)
    claim = await claims.claim(make_claim_request(clock, **changes))
    assert await claims.finish(claim, ANSWER)


def make_claim_request(clock, **changes):
    return make_request(**({"deadline": clock.monotonic() + 10} | changes))


async def test_finished_job_is_removed_with_its_outcomes(table, clock, cleaner):
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
    assert len(table.row_keys()) == 3
    clock.advance(1)
    await cleaner.turn()
    assert table.row_keys() == []
    assert cleaner.subjects("job_removed") == ["j1"]


async def test_job_with_open_part_is_kept(table, clock, cleaner):
    await add_job(table)
    await end_part(table)
    await age_until_removable(cleaner, clock)
    await age_until_removable(cleaner, clock)
    before = table.rows_written
    await cleaner.turns()
    row = (await table.read([job_key("j1")]))[job_key("j1")]
    assert decode_job(row).finished_at == 0
    assert table.rows_written == before


async def test_finished_job_lacking_an_outcome_is_kept_and_reported(
    table, clock, cleaner
):
    await add_job(table)
    await end_job(table)
    await cleaner.turn()
    await table.commit([], [Write("done/j1/augusta-0", None)])
    await age_until_removable(cleaner, clock)
    await cleaner.turns()
    assert table.row_keys() == ["done/j1/milazzo-0", "job/j1"]
    assert cleaner.subjects("job_not_removable") == ["j1"]


async def test_job_marked_finished_with_an_open_part_is_kept(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await cleaner.turn()
    await add_job(table, "j2")
    part = (await table.read(["part/augusta-0/j2"]))["part/augusta-0/j2"]
    await table.commit([], [Write("part/augusta-0/j1", part.value)])
    await age_until_removable(cleaner, clock)
    await cleaner.turns()
    assert job_key("j1") in table.row_keys()


async def test_cancel_just_before_the_removal_keeps_the_job(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await age_until_removable(cleaner, clock)
    job_manager = make_job_manager(table, clock, cleaner)

    async def cancel():
        await job_manager.cancel("j1")

    table.before_delete = cancel
    await cleaner.turns()
    assert (await job_manager.status("j1")).row.cancelled
    clock.advance(HOUR)
    await cleaner.turns()
    with pytest.raises(NotFoundError):
        await job_manager.cancel("j1")


async def test_submission_repeated_just_before_the_removal_returns_the_first_job(
    table, clock, cleaner
):
    job_manager = make_job_manager(table, clock, cleaner)
    first = await job_manager.submit(make_spec(), "t1")
    await end_job(table, shards=first.shards)
    await age_until_removable(cleaner, clock)
    found = []

    async def repeat():
        found.append(await job_manager.submit(make_spec(), "t1"))

    table.before_delete = repeat
    await cleaner.turn()
    assert found[0].finished_at
    assert table.row_keys() == []


async def test_delayed_removal_does_not_remove_a_new_job_of_the_same_name(
    table, clock, cleaner
):
    job_manager = make_job_manager(table, clock, cleaner)
    first = await job_manager.submit(make_spec(), "t1")
    await end_job(table, shards=first.shards)
    await age_until_removable(cleaner, clock)
    table.hold_commits = 1
    await cleaner.turn()
    await Cleaner(table, clock).turns()
    clock.advance(HOUR)
    await cleaner.turns(8)
    assert table.row_keys() == []
    await job_manager.submit(make_spec(), "t1")
    assert len(table.held) == 1
    assert table.apply_held() == 0
    assert table.row_keys() == ["job/j1", "part/augusta-0/j1"]


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests"])
async def test_removal_without_an_answer_is_completed_later(
    table, clock, cleaner, fault
):
    await add_job(table)
    await end_job(table)
    await add_finished_claim(table, clock)
    await age_until_removable(cleaner, clock)
    setattr(table, fault, 2)
    await cleaner.turns(8)
    assert table.row_keys() == []


async def test_cleaning_resumes_after_an_outage(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await age_until_removable(cleaner, clock)
    table.down = True
    await cleaner.turns()
    table.down = False
    await cleaner.turns()
    assert table.row_keys() == []


async def test_malformed_rows_are_kept_and_do_not_stop_cleaning(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await add_finished_claim(table, clock)
    bad = [Write("job/a", b"?"), Write("claim/a/a", b"?")]
    await table.commit([], bad)
    await age_until_removable(cleaner, clock)
    await cleaner.turns()
    assert table.row_keys() == ["claim/a/a", "job/a"]
    assert set(cleaner.subjects("row_malformed")) == {"claim/a/a", "job/a"}


async def test_finished_claim_is_removed_after_its_retention_period(
    table, clock, cleaner
):
    await add_finished_claim(table, clock)
    clock.advance(3 * DAY - 1)
    await cleaner.turns()
    clock.advance(1)
    await cleaner.turn()
    clock.advance(HOUR - 1)
    await cleaner.turns()
    assert table.row_keys() == ["claim/customs/k1"]
    clock.advance(1)
    await cleaner.turn()
    assert table.row_keys() == []


async def test_claim_in_doubt_is_kept_and_reported_once(table, clock, cleaner):
    claim = await make_claims(table, clock).claim(make_claim_request(clock))
    await cleaner.turns()
    assert cleaner.subjects("claim_left_in_doubt") == []
    clock.advance(10 + 60)
    await cleaner.turns()
    clock.advance(30 * DAY)
    await cleaner.turns()
    assert cleaner.subjects("claim_left_in_doubt") == ["claim/customs/k1"]
    assert "cassiaweir_claims_in_doubt 1" in cleaner.metrics.render()
    assert table.row_keys() == ["claim/customs/k1"]
    await make_claims(table, clock).finish(claim, ANSWER)
    await cleaner.turns()
    assert "cassiaweir_claims_in_doubt 0" in cleaner.metrics.render()


async def test_released_claim_taken_just_before_its_removal_is_kept(
    table, clock, cleaner
):
    claims = make_claims(table, clock)
    assert await claims.release(await claims.claim(make_claim_request(clock)))
    clock.advance(3 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)

    async def repeat():
        claim = await claims.claim(make_claim_request(clock, request_id="r2"))
        assert isinstance(claim, Claim)

    table.before_delete = repeat
    await cleaner.turns()
    with pytest.raises(RefusedError) as caught:
        await claims.claim(make_claim_request(clock, request_id="r3"))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    clock.advance(30 * DAY)
    await cleaner.turns()
    assert table.row_keys() == ["claim/customs/k1"]


async def test_repeat_is_refused_as_not_run_if_its_claim_is_removed_meanwhile(
    table, clock, cleaner
):
    claims = make_claims(table, clock)
    await claims.release(await claims.claim(make_claim_request(clock)))
    clock.advance(3 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)
    read = table.read

    async def read_then_remove(keys):
        found = await read(keys)
        table.read = read
        await cleaner.turns()
        return found

    table.read = read_then_remove
    with pytest.raises(RefusedError) as caught:
        await claims.claim(make_claim_request(clock, request_id="r2"))
    assert caught.value.verdict is Verdict.NOT_RUN
    assert isinstance(
        await claims.claim(make_claim_request(clock, request_id="r3")), Claim
    )


async def test_delayed_claim_applied_after_the_removal_is_in_doubt(
    table, clock, cleaner
):
    """A commit of a claim that the table applies after the removal starts no run."""
    table.hold_commits = 1
    with pytest.raises(RefusedError):
        await make_claims(table, clock).claim(make_claim_request(clock))
    await add_finished_claim(table, clock, request_id="r2")
    clock.advance(3 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)
    await cleaner.turns()
    assert table.row_keys() == []
    assert table.apply_held() == 1
    with pytest.raises(RefusedError) as caught:
        await make_claims(table, clock).claim(
            make_claim_request(clock, request_id="r3")
        )
    assert caught.value.reason == "in_doubt"


async def test_process_that_restarts_every_day_removes_all_old_jobs(table, clock):
    for number in range(100):
        await add_job(table, f"j{number}")
        await end_job(table, f"j{number}")
    for _ in range(10):
        cleaner = Cleaner(table, clock)
        await cleaner.turns(10)
        clock.advance(2 * HOUR)
        await cleaner.turns(30)
        clock.advance(DAY - 2 * HOUR)
    assert table.row_keys() == []


async def test_restart_begins_the_watch_period_anew(table, clock, cleaner):
    await add_finished_claim(table, clock)
    clock.advance(3 * DAY)
    await cleaner.turns()
    clock.advance(HOUR - 1)
    successor = Cleaner(table, clock)
    await successor.turns()
    clock.advance(HOUR - 1)
    await successor.turns()
    assert table.row_keys() != []
    clock.advance(1)
    await successor.turns()
    assert table.row_keys() == []


async def test_end_time_from_a_clock_that_is_behind_does_not_skip_the_watch_period(
    table, clock, cleaner
):
    await add_finished_claim(table, SteppingClock(clock, shift=-400 * DAY))
    await cleaner.turns()
    clock.advance(HOUR - 1)
    await cleaner.turns()
    assert table.row_keys() == ["claim/customs/k1"]
    clock.advance(1)
    await cleaner.turns()
    assert table.row_keys() == []


@pytest.mark.parametrize("shift", [400 * DAY, None])
async def test_claim_with_implausible_end_time_is_watched_for_the_retention_period(
    table, clock, cleaner, shift
):
    """The end time is 400 days in the future, or missing where `shift` is None."""
    await add_finished_claim(table, SteppingClock(clock, shift=shift or 0))
    if shift is None:
        row = (await table.read(["claim/customs/k1"]))["claim/customs/k1"]
        value = msgspec.json.decode(row.value)
        del value["ended_at"]
        await table.commit([], [Write(row.key, msgspec.json.encode(value))])
    await cleaner.turns()
    clock.advance(3 * DAY - 1)
    await cleaner.turns()
    assert table.row_keys() == ["claim/customs/k1"]
    clock.advance(1)
    await cleaner.turns()
    assert table.row_keys() == []


async def test_wall_clock_set_forward_and_back_removes_nothing_early(table, clock):
    wall = SteppingClock(clock)
    cleaner = Cleaner(table, wall)
    await add_finished_claim(table, clock)
    await cleaner.turns()
    wall.shift = 10 * DAY
    await cleaner.turns()
    clock.advance(HOUR - 1)
    wall.shift = 0
    await cleaner.turns()
    clock.advance(HOUR)
    await cleaner.turns()
    assert table.row_keys() == ["claim/customs/k1"]
    assert len(cleaner.subjects("wall_clock_stepped")) == 2


async def test_bundle_versions_from_the_head_or_among_the_newest_are_kept(
    table, clock, cleaner
):
    async def write(head, last):
        rows = {BUNDLE_HEAD: BundleHead(head, "d", "o"), BUNDLE_LAST: Counter(last)}
        await table.commit(
            [], [Write(key, msgspec.json.encode(row)) for key, row in rows.items()]
        )

    versions = [version_key(number) for number in range(1, 11)]
    await table.commit([], [Write(key, b"{}") for key in (*versions, "audit/b/1/x")])
    await write(4, 10)
    await cleaner.turns()
    assert table.row_keys(BUNDLE_VERSION_PREFIX) == versions[3:]
    await write(9, 10)

    async def roll_out():
        await write(10, 10)

    table.before_delete = roll_out
    await cleaner.turn()
    assert table.row_keys(BUNDLE_VERSION_PREFIX) == versions[3:]
    await cleaner.turns()
    assert table.row_keys(BUNDLE_VERSION_PREFIX) == versions[7:]
    assert table.row_keys("audit/") == ["audit/b/1/x"]


async def add_key(table, digest, *, withdrawn, last_use):
    key = KeyRow("t1", "anna", "", withdrawn=withdrawn)
    rows = {KEY_PREFIX + digest: key, KEY_USES + digest: KeyUse(last_use)}
    await table.commit(
        [], [Write(name, msgspec.json.encode(row)) for name, row in rows.items()]
    )


async def test_last_use_of_a_withdrawn_key_is_removed(table, clock, cleaner):
    await add_key(table, "a", withdrawn=True, last_use=clock.now())
    await add_key(table, "b", withdrawn=False, last_use=clock.now())
    clock.advance(7 * DAY)
    await add_key(table, "c", withdrawn=True, last_use=clock.now())
    await table.commit([], [Write("key/d", b"?"), Write("key_use/a?", b"?")])
    await cleaner.turns()
    clock.advance(HOUR - 1)
    await cleaner.turns()
    assert "key_use/a" in table.row_keys()
    clock.advance(1)
    await cleaner.turns()
    assert table.row_keys("key_use/") == ["key_use/a?", "key_use/b", "key_use/c"]
    assert table.row_keys("key/") == ["key/a", "key/b", "key/c", "key/d"]


async def test_last_use_updated_just_before_its_removal_is_kept(table, clock, cleaner):
    await add_key(table, "a", withdrawn=True, last_use=clock.now())
    clock.advance(7 * DAY)
    await cleaner.turns()
    clock.advance(HOUR)

    async def use():
        await add_key(table, "a", withdrawn=True, last_use=clock.now())

    table.before_delete = use
    await cleaner.turns()
    assert table.row_keys("key_use/") == ["key_use/a"]


async def test_background_cleaning_runs_until_stopped(table, clock, cleaner):
    await add_job(table)
    await end_job(table)
    await add_finished_claim(table, clock)
    await add_key(table, "a", withdrawn=True, last_use=clock.now())
    await cleaner.retention.start()
    await until(lambda: table.row_keys() == ["key/a"])
    await cleaner.retention.stop()
    reads = table.reads
    clock.advance(DAY)
    await asyncio.sleep(0)
    assert table.reads == reads


async def test_shard_owners_divide_the_rows_and_cover_them_all(table, clock):
    for number in range(30):
        await add_job(table, f"j{number}")
        await end_job(table, f"j{number}")
        await add_finished_claim(table, clock, team=f"t{number}")
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
    removed = [cleaner.subjects("job_removed") for cleaner in cleaners]
    assert all(removed)
    assert sum(map(len, removed)) == 30
    assert table.row_keys() == []


async def test_process_without_a_shard_reads_nothing(table, clock, cleaner):
    cleaner.owned.shards = ()
    await cleaner.turns()
    assert table.reads == 0


async def test_claims_of_teams_that_another_process_cleans_are_skipped(table):
    keys = [f"claim/{team}/{n:03d}" for team in ("a", "a-b", "a0") for n in range(50)]
    await table.commit([], [Write(key, b"") for key in keys])
    for shard in SHARDS:
        ownership = GroupOwnership(SHARDS, FakeOwnedShards(shard))
        ownership.refresh()
        scanner = RowScanner(table, "claim/", ownership)
        found, reads = [], table.reads
        while not scanner.completed_scans:
            found += [row.key for row in await scanner.next(10)]
        owns = [key for key in sorted(keys) if ownership.owns(group_of(key))]
        assert found == owns
        assert table.reads - reads <= len(owns) // 10 + 4


async def test_one_turn_has_bounded_reads_and_writes(table, clock, cleaner):
    for number in range(60):
        await add_job(table, f"j{number:02d}")
        await end_job(table, f"j{number:02d}")
    await cleaner.turns(8)
    clock.advance(7 * DAY)
    await cleaner.turns(8)
    clock.advance(HOUR)
    reads, commits = table.reads, table.commits
    await cleaner.turn()
    assert table.commits - commits == MAX_REMOVALS_PER_BATCH
    assert table.reads - reads <= MAX_REMOVALS_PER_BATCH + 8
