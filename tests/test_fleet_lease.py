"""Tests of `cassiaweir.fleet._lease`."""

from dataclasses import replace
from datetime import timedelta

import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.exceptions import LeaseLostError, UnavailableError
from cassiaweir.fleet import ShardLease
from standins.memory import MemoryTable
from tests.fleet_fakes import LEASE, SHARD

TAKEOVER_WAIT_SECONDS = 7.0  # shard lease and clock drift


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


async def test_a_takeover_waits_for_lease_and_drift_on_its_own_clock(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    assert await first.try_acquire()
    assert not await second.try_acquire()
    clock.advance(TAKEOVER_WAIT_SECONDS - 0.1)
    assert not await second.try_acquire()
    clock.advance(0.1)
    assert await second.try_acquire()
    assert (first.epoch, second.epoch) == (1, 2)
    assert not first.held()
    assert second.predecessor.process == "a"
    assert not second.predecessor.released
    with pytest.raises(LeaseLostError):
        await first.renew()


async def test_a_renewal_restarts_the_wait_of_a_successor(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    await first.try_acquire()
    await second.try_acquire()
    clock.advance(5)
    await first.renew()
    clock.advance(TAKEOVER_WAIT_SECONDS - 1)
    assert not await second.try_acquire()
    assert not first.held()


async def test_a_paused_owner_notices_that_its_lease_passed(table, clock):
    first = lease("a", table, clock)
    await first.try_acquire()
    assert first.held()
    clock.advance(6)
    assert not first.held()
    assert first.may_renew_tasks()
    await first.renew()
    assert first.held()
    clock.advance(66)
    assert not first.may_renew_tasks()


async def test_without_fencing_no_task_is_started_after_the_lease(table, clock):
    options = replace(LEASE, workers_fence=False)
    first = ShardLease(SHARD, "a", "x", table=table, clock=clock, options=options)
    await first.try_acquire()
    clock.advance(6)
    assert not first.may_start()
    assert first.may_renew_tasks()


async def test_a_released_shard_is_taken_at_once(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    await first.try_acquire()
    await first.release()
    assert await second.try_acquire()
    assert second.predecessor.released
    assert second.epoch == 2


async def test_other_failure_domains_wait_one_more_lease(table, clock):
    first = lease("a", table, clock)
    other = lease("b", table, clock, own_domain=False)
    await first.try_acquire()
    assert not await other.try_acquire()
    clock.advance(TAKEOVER_WAIT_SECONDS)
    assert not await other.try_acquire()
    clock.advance(6)
    assert await other.try_acquire()


async def test_only_one_of_two_takeovers_of_one_version_succeeds(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    rows = await table.read([first.key])
    assert rows == {}
    assert await first.try_acquire()
    assert not await second._acquire(free_row(), 0)
    assert not second.owned


def free_row():
    from cassiaweir.fleet import ShardRow

    return ShardRow("", "", 0, 0)


async def test_a_takeover_whose_answer_was_lost_is_adopted(table, clock):
    first = lease("a", table, clock)
    table.lose_answers = 1
    assert await first.try_acquire()
    assert first.held()
    clock.advance(1)
    await first.renew()
    assert first.held()


async def test_a_renewal_whose_answer_was_lost_counts_from_its_sending(table, clock):
    first = lease("a", table, clock)
    await first.try_acquire()
    clock.advance(5)
    table.lose_answers = 1
    await first.renew()
    clock.advance(5.9)
    assert first.held()
    clock.advance(0.1)
    assert not first.held()
    await first.renew()
    assert first.held()


async def test_a_renewal_without_an_answer_does_not_extend_the_lease(table, clock):
    first = lease("a", table, clock)
    await first.try_acquire()
    clock.advance(5)
    table.down = True
    with pytest.raises(UnavailableError):
        await first.renew()
    clock.advance(1)
    assert not first.held()
    table.down = False
    await first.renew()
    assert first.held()


async def test_a_row_read_before_a_renewal_does_not_reset_the_version(table, clock):
    first = lease("a", table, clock)
    await first.try_acquire()
    stale = (await table.read([first.key]))[first.key]
    await first.renew()
    version = first.version
    first.observe(stale)
    assert first.version == version
    clock.advance(timedelta(seconds=1).total_seconds())
    await first.renew()


async def test_a_release_after_a_takeover_changes_nothing(table, clock):
    first, second = lease("a", table, clock), lease("b", table, clock)
    await first.try_acquire()
    await second.try_acquire()
    clock.advance(TAKEOVER_WAIT_SECONDS)
    assert await second.try_acquire()
    await first.release()
    await second.renew()
    assert second.held()
