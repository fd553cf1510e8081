"""Tests of the background loops of a shard with the production planner."""

from datetime import timedelta

from cassiaweir.clock import SystemClock
from cassiaweir.fleet import (
    DriverOptions,
    LeaseOptions,
    RunnerOptions,
    ShardManager,
    ShardRunner,
)
from cassiaweir.observe import EventLog
from cassiaweir.placement import FairPlanner
from cassiaweir.teams import ShardAllotments
from cassiaweir.types import JobKind, Resources, TaskState, Team
from standins.memory import MemoryTable
from tests.fleet_fakes import SHARD, FakeVms, FakeWorker, add_part, make_spec

TICK = timedelta(milliseconds=5)
LONG = timedelta(seconds=60)
LEASE = LeaseOptions(lease=LONG, clock_drift=TICK, autonomy=LONG, workers_fence=True)
DRIVER = DriverOptions(
    task_lease=LONG, task_renewal=TICK, command_expiry=LONG, clock_drift=TICK
)
TERMS = RunnerOptions(
    lease=LEASE,
    driver=DRIVER,
    round=TICK,
    vm_poll=TICK,
    part_poll=TICK,
    max_list_lag=TICK,
)


class Peers:
    """Reports this process as the only scheduler."""

    def schedulers(self, failure_domain):
        return ["p1"]

    def highest_epoch(self, shard):
        return 0

    def is_replaced(self, process, address):
        return False


class View:
    """A configuration with one team."""

    bundle_version = 1

    def teams(self):
        return [Team("t1", 1, Resources(16000, 32000))]

    def team(self, name):
        return self.teams()[0] if name == "t1" else None


async def until(condition, worker):
    """Wait for `condition`, checking it at each renewal of `worker`."""
    while not condition():
        worker.renewed.clear()
        await worker.renewed.wait()


async def test_a_gang_runs_to_completion_with_the_production_planner():
    clock, table = SystemClock(), MemoryTable()
    workers = [FakeWorker(f"w{n}", clock) for n in range(2)]
    vms = FakeVms(workers)
    events = EventLog("p1", clock)

    def build(lease):
        allotments = ShardAllotments(
            lease, table=table, view=View(), clock=clock, events=events
        )
        return ShardRunner(
            lease,
            table=table,
            committer=table,
            vm_list=vms,
            workers=vms,
            planner=FairPlanner(),
            clock=clock,
            events=events,
            options=TERMS,
            allotments=allotments,
        )

    manager = ShardManager(
        [SHARD],
        "p1",
        "127.0.0.1:1",
        "augusta",
        table=table,
        clock=clock,
        events=events,
        options=LEASE,
        renewal=TICK,
        peers=Peers(),
        build_runner=build,
    )
    await add_part(table, make_spec(tasks=5, kind=JobKind.GANG))
    await manager.start()
    try:
        await until(
            lambda: sum(len(worker.running()) for worker in workers) == 5, workers[0]
        )
        assert manager.owned()[0].running_tasks == 5
        for worker in workers:
            for task in worker.running():
                worker.finish(task, TaskState.SUCCEEDED)
        await until(lambda: not any(worker.entries for worker in workers), workers[0])
        assert [row.key for row in await table.scan("done/")] == [f"done/j1/{SHARD}"]
    finally:
        await manager.stop()
    rows = await table.read([f"shard/{SHARD}"])
    assert b'"owner":""' in rows[f"shard/{SHARD}"].value
