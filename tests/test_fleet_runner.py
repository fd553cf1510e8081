"""Tests of `cassiaweir.fleet._runner`: tasks from their start to their outcome."""

import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.types import TaskId, TaskState
from cassiaweir.work import decode_done, done_key, part_key
from standins.memory import MemoryTable
from tests.fleet_fakes import SHARD, FakeWorker, Rig, add_part, make_spec


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def workers(clock):
    return [FakeWorker("w1", clock), FakeWorker("w2", clock)]


@pytest.fixture
async def rig(table, clock, workers):
    rig = Rig("p1", table, clock, workers)
    assert await rig.acquire()
    return rig


async def test_tasks_run_and_their_part_is_finished(rig, table, workers):
    await add_part(table, make_spec())
    await rig.turn()
    running = workers[0].running() | workers[1].running()
    assert running == {TaskId("j1", 0), TaskId("j1", 1)}
    for task in running:
        workers[0].finish(task)
    rig.clock.advance(2)
    await rig.lease.renew()
    await rig.turn()
    rows = await table.read([done_key("j1", SHARD), part_key(SHARD, "j1")])
    assert list(rows) == [done_key("j1", SHARD)]
    assert decode_done(rows[done_key("j1", SHARD)]).succeeded == 2
    assert "part_finished" in rig.event_kinds()
    rig.clock.advance(2)
    await rig.turn()
    assert workers[0].entries == {}


async def test_an_outcome_is_acknowledged_only_after_its_commit(rig, table, workers):
    await add_part(table, make_spec(tasks=1))
    await rig.turn()
    workers[0].finish(TaskId("j1", 0))
    table.down = True
    for _ in range(3):
        rig.clock.advance(2)
        await rig.turn()
    assert TaskId("j1", 0) in workers[0].entries
    table.down = False
    await rig.lease.renew()
    for _ in range(2):
        rig.clock.advance(2)
        await rig.turn()
    assert workers[0].entries == {}


async def test_a_failed_task_is_tried_until_its_attempts_are_used_up(
    rig, table, workers
):
    await add_part(table, make_spec(tasks=1, attempts=2))
    await rig.turn()
    for _ in range(2):
        assert workers[0].running()
        workers[0].finish(TaskId("j1", 0), TaskState.FAILED)
        rig.clock.advance(2)
        await rig.lease.renew()
        await rig.turn()
    rows = await table.read([done_key("j1", SHARD)])
    assert decode_done(rows[done_key("j1", SHARD)]).failed == 1
    assert workers[0].starts == 2
