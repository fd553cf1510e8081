"""Tests of `cassiaweir.fleet._ownership` and of the scheduler's gRPC service."""

from datetime import timedelta

import grpc
import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.exceptions import UnavailableError
from cassiaweir.fleet import PartStatus, SchedulerService, ShardManager
from cassiaweir.observe import EventLog
from cassiaweir.placement import WaitReason
from cassiaweir.rpc import cell_pb2_grpc
from cassiaweir.rpc._server import Channels
from cassiaweir.work import GrpcSchedulerClient
from standins.memory import MemoryTable
from tests.fleet_fakes import LEASE

SHARDS = ["augusta-0", "augusta-1", "priolo-0"]


class Peers:
    """Reports the same live schedulers to all managers of a test."""

    def __init__(self):
        self.live = {"augusta": ["a", "b"], "priolo": []}
        self.epoch = 0
        self.former_replaced = False

    def schedulers(self, failure_domain):
        return self.live[failure_domain]

    def highest_epoch(self, shard):
        return self.epoch

    def is_replaced(self, process, address):
        return self.former_replaced


class Runner:
    """A fake runner of a shard."""

    settled = True

    def __init__(self, lease):
        self.epoch = lease.epoch
        self.running = False
        self.error = None
        self.former_exited = False
        self.notified = []

    async def start(self):
        self.running = True

    async def stop(self):
        self.running = False

    def failure(self):
        return self.error

    def handle_former_owner_exit(self):
        self.former_exited = True

    def notify(self, job):
        self.notified.append(job)

    def status(self, job):
        if job != "j1":
            return None
        return PartStatus("augusta-0", 1, 2, 3, 4, WaitReason.NO_ROOM)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def peers():
    return Peers()


@pytest.fixture
def managers(table, clock, peers):
    return {name: make_manager(name, table, clock, peers) for name in ("a", "b")}


def make_manager(name, table, clock, peers):
    return ShardManager(
        SHARDS,
        name,
        "127.0.0.1:1",
        "augusta",
        table=table,
        clock=clock,
        events=EventLog(name, clock),
        options=LEASE,
        renewal=timedelta(seconds=2),
        peers=peers,
        build_runner=Runner,
    )


async def rounds(managers, clock, count, skip=()):
    for _ in range(count):
        for name, manager in managers.items():
            if name not in skip:
                for shard in SHARDS:
                    await manager.step(shard)
        clock.advance(2)


def owners(managers):
    return {
        shard: [name for name, manager in managers.items() if manager.runner(shard)]
        for shard in SHARDS
    }


async def test_every_shard_gets_one_owner_and_no_process_owns_all(managers, clock):
    await rounds(managers, clock, 10)
    found = owners(managers)
    assert all(len(names) == 1 for names in found.values())
    assert found["augusta-0"] != found["augusta-1"]


async def test_a_dead_owner_is_replaced_after_lease_and_drift(managers, clock, peers):
    await rounds(managers, clock, 10)
    dead = owners(managers)["augusta-0"][0]
    (other,) = {"a", "b"} - {dead}
    peers.live["augusta"] = [other]
    await rounds(managers, clock, 8, skip=[dead])
    assert managers[other].runner("augusta-0").epoch == 2
    await managers[dead].step("augusta-0")
    assert managers[dead].runner("augusta-0") is None


async def test_a_stopped_manager_releases_its_shards_at_once(managers, clock, peers):
    await rounds(managers, clock, 10)
    stopped = owners(managers)["augusta-0"][0]
    (other,) = {"a", "b"} - {stopped}
    runner = managers[stopped].runner("augusta-0")
    await managers[stopped].stop()
    assert not runner.running
    peers.live["augusta"] = [other]
    await managers[other].step("augusta-0")
    assert managers[other].runner("augusta-0").running


async def test_a_higher_epoch_from_a_peer_makes_the_owner_step_down(
    managers, clock, peers
):
    await rounds(managers, clock, 10)
    name = owners(managers)["augusta-0"][0]
    peers.epoch = 9
    await managers[name].step("augusta-0")
    assert managers[name].runner("augusta-0") is None


async def test_without_the_table_an_owner_keeps_its_shard(managers, clock, table):
    await rounds(managers, clock, 10)
    name = owners(managers)["augusta-0"][0]
    table.down = True
    await rounds(managers, clock, 10)
    assert managers[name].runner("augusta-0").running


async def test_the_runner_learns_that_the_former_owner_has_exited(
    managers, clock, peers
):
    await rounds(managers, clock, 10)
    dead = owners(managers)["augusta-0"][0]
    (other,) = {"a", "b"} - {dead}
    peers.live["augusta"] = [other]
    await rounds(managers, clock, 8, skip=[dead])
    assert not managers[other].runner("augusta-0").former_exited
    peers.former_replaced = True
    await managers[other].step("augusta-0")
    assert managers[other].runner("augusta-0").former_exited


async def test_a_failed_runner_is_replaced_in_a_new_epoch(managers, clock):
    await rounds(managers, clock, 10)
    name = owners(managers)["augusta-0"][0]
    failed = managers[name].runner("augusta-0")
    failed.error = KeyError("w1")
    await managers[name].step("augusta-0")
    await managers[name].step("augusta-0")
    assert not failed.running
    assert managers[name].runner("augusta-0").running
    assert managers[name].runner("augusta-0").epoch == failed.epoch + 1


async def test_all_shards_are_checked_with_one_read(managers, clock, table):
    await rounds(managers, clock, 10)
    idle = make_manager("c", table, clock, Peers())
    reads = table.reads
    await idle._acquire_expired(list(idle._entries.values()))
    assert table.reads == reads + 1


async def test_the_service_notifies_runners_and_answers_queries(managers, clock):
    await rounds(managers, clock, 10)
    name = owners(managers)["augusta-0"][0]
    server = grpc.aio.server()
    cell_pb2_grpc.add_SchedulerServicer_to_server(
        SchedulerService(managers[name]), server
    )
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    channels = Channels()
    client = GrpcSchedulerClient(channels, timedelta(seconds=5))
    address = f"127.0.0.1:{port}"
    try:
        await client.notify_parts(address, "augusta-0", "j1")
        assert managers[name].runner("augusta-0").notified == ["j1"]
        answers = await client.query_job(address, "j1")
        (answer,) = answers
        assert (answer.running, answer.waiting_reason) == (2, "no_room")
        assert await client.query_job(address, "j2") == []
        with pytest.raises(UnavailableError):
            await client.notify_parts(address, "milazzo-0", "j1")
    finally:
        await channels.stop()
        await server.stop(None)


async def test_a_takeover_without_an_answer_starts_one_runner(managers, clock, table):
    manager = managers["a"]
    built = []
    manager._build_runner = lambda lease: built.append(Runner(lease)) or built[-1]
    entry = manager._entries["priolo-0"]
    await manager.step("priolo-0")
    clock.advance(20)
    table.hold_commits = 1
    await manager.step("priolo-0")
    table.apply_held()
    await manager.step("priolo-0")
    await manager.step("priolo-0")
    assert len(built) == 1
    assert entry.lease.held()
