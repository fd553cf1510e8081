"""Tests of `cassiaweir.fleet._lease`."""

from dataclasses import replace
from datetime import timedelta

import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.exceptions import LeaseLostError, UnavailableError
from cassiaweir.fleet import ShardLease
from standins.memory import MemoryTable
from tests.fleet_fakes import LEASE, SHARD

WATCH = 7.0  # lease and drift, in seconds


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table():
    return MemoryTable()


def lease(name, table, clock, **overrides):
    return ShardLease(
        SHARD, name, "127.0.0.1:1", table=table, clock=clock, options=LEASE, **overrides
    )


async def test_a_challenger_waits_for_lease_and_drift_on_its_own_clock(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    assert await first.challenge()
    assert not await second.challenge()
    clock.advance(WATCH - 0.1)
    assert not await second.challenge()
    clock.advance(0.1)
    assert await second.challenge()
    assert (first.epoch, second.epoch) == (1, 2)
    assert not first.held()
    assert second.predecessor.process == "a"
    assert not second.predecessor.released
    with pytest.raises(LeaseLostError):
        await first.renew()


async def test_a_renewal_starts_the_watch_again(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    await first.challenge()
    await second.challenge()
    clock.advance(5)
    await first.renew()
    clock.advance(WATCH - 1)
    assert not await second.challenge()
    assert not first.held()


async def test_a_paused_holder_notices_that_its_lease_passed(table, clock):
    first = lease("a", table, clock)
    await first.challenge()
    assert first.held()
    clock.advance(6)
    assert not first.held()
    assert first.may_renew_tasks()
    await first.renew()
    assert first.held()
    clock.advance(66)
    assert not first.may_renew_tasks()


async def test_workers_that_cannot_fence_get_no_start_past_the_lease(table, clock):
    options = replace(LEASE, workers_fence=False)
    first = ShardLease(SHARD, "a", "x", table=table, clock=clock, options=options)
    await first.challenge()
    clock.advance(6)
    assert not first.may_start()
    assert first.may_renew_tasks()


async def test_a_released_shard_is_taken_at_once(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    await first.challenge()
    await first.release()
    assert await second.challenge()
    assert second.predecessor.released
    assert second.epoch == 2


async def test_other_failure_domains_wait_one_more_lease(table, clock):
    first = lease("a", table, clock)
    other = lease("b", table, clock, own_domain=False)
    await first.challenge()
    assert not await other.challenge()
    clock.advance(WATCH)
    assert not await other.challenge()
    clock.advance(6)
    assert await other.challenge()


async def test_two_takers_of_one_version_have_one_winner(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    rows = await table.read([first.key])
    assert rows == {}
    assert await first.challenge()
    assert not await second._take(second_state(), 0)
    assert not second.owned


def second_state():
    from cassiaweir.fleet import ShardRow

    return ShardRow("", "", 0, 0)


async def test_a_takeover_whose_answer_was_lost_is_recognised(table, clock):
    first = lease("a", table, clock)
    table.lose_answers = 1
    assert await first.challenge()
    assert first.held()
    clock.advance(1)
    await first.renew()
    assert first.held()


async def test_a_renewal_whose_answer_was_lost_counts_from_its_sending(table, clock):
    first = lease("a", table, clock)
    await first.challenge()
    clock.advance(5)
    table.lose_answers = 1
    await first.renew()
    clock.advance(5.9)
    assert first.held()
    clock.advance(0.1)
    assert not first.held()
    await first.renew()
    assert first.held()


async def test_an_unsettled_renewal_does_not_extend_the_lease(table, clock):
    first = lease("a", table, clock)
    await first.challenge()
    clock.advance(5)
    table.down = True
    with pytest.raises(UnavailableError):
        await first.renew()
    clock.advance(1)
    assert not first.held()
    table.down = False
    await first.renew()
    assert first.held()


async def test_a_late_read_does_not_set_a_renewal_back(table, clock):
    first = lease("a", table, clock)
    await first.challenge()
    stale = (await table.read([first.key]))[first.key]
    await first.renew()
    version = first.version
    first.observe(stale)
    assert first.version == version
    clock.advance(timedelta(seconds=1).total_seconds())
    await first.renew()


async def test_a_release_after_a_takeover_changes_nothing(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    await first.challenge()
    await second.challenge()
    clock.advance(WATCH)
    assert await second.challenge()
    await first.release()
    await second.renew()
    assert second.held()
