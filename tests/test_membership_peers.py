"""Tests of the heartbeats between processes, over gRPC on the loopback interface."""

import asyncio
import math
import random
from contextlib import asynccontextmanager
from datetime import timedelta

import grpc
import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.configuration import (
    AuditedTable,
    Bundle,
    BundleRepository,
    Operator,
    OperatorRole,
    TableView,
    parse_bundle,
)
from cassiaweir.exceptions import InvalidInputError, RefusedError
from cassiaweir.membership import PROTOCOL_VERSION, Member, Peers, SchedulerPeers
from cassiaweir.membership._peers import MAX_FORWARDED_STATES
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.rpc._peer import PeerServicer, decode_view
from cassiaweir.rpc._server import Channels, RpcServer
from cassiaweir.teams import KeyRegistry
from cassiaweir.types import Resources, ShardOwner
from standins.memory import MemoryTable

BUNDLE = """
[[team]]
name = "dogana"
share = 2
limit = { cpu_millis = 8000, memory_mb = 1024 }

[[queue]]
name = "spot-checks"
"""
ALL_ROLES = frozenset(OperatorRole)
ANNA = Operator("anna", ALL_ROLES)
BRUNO = Operator("bruno", ALL_ROLES)
HEARTBEAT = timedelta(milliseconds=500)
MAX_ANSWER_BYTES = 1024
OTHER_MAJOR_VERSION = 2 << 16


class StoppedClock(ManualClock):
    """A clock whose sleepers never wake up."""

    async def sleep(self, duration: timedelta) -> None:
        await asyncio.Event().wait()


class FakeOwnedShards:
    """Implements `OwnedShards` with the shards that a test sets."""

    def __init__(self) -> None:
        self.shards: list[ShardOwner] = []

    def owned(self) -> list[ShardOwner]:
        return self.shards


class Node:
    """One process of the cell, built without a settings file."""

    def __init__(self, name: str, domain: str, table, clock, **member) -> None:
        self.clock = clock
        self.table = table
        self.events = EventLog(name, clock)
        self.channels = Channels()
        self.owned = FakeOwnedShards()
        self.rows: list[Member] = []
        self.view = TableView(
            table,
            self.events,
            clock,
            poll=timedelta(milliseconds=500),
            age_limit=timedelta(seconds=3),
        )
        self.name = name
        self.domain = domain
        self.member = member
        self.servicer = PeerServicer(
            self, self.view, self.events, Metrics(), clock, state=lambda: "ready"
        )
        self.server = RpcServer("127.0.0.1:0", [self.servicer.register], self.events)

    def answer(self, heartbeat):
        return self.peers.answer(heartbeat)

    async def start(self) -> None:
        await self.server.start()
        self.address = self.server.bound_address
        member = Member(
            self.name, "scheduler", self.name, self.domain, self.address, **self.member
        )
        self.peers = Peers(
            member,
            self.view,
            self.channels,
            self.events,
            self.clock,
            heartbeat=HEARTBEAT,
            members=lambda: self.rows,
            owned=self.owned,
            rng=random.Random(1),
        )

    async def stop(self) -> None:
        await self.channels.stop()
        await self.server.stop()

    def kinds(self) -> list[str]:
        return [event.kind for event in self.events.after(0, 1000)]


@asynccontextmanager
async def cell(*names: str, **member):
    """Run nodes that share one clock, each with a table of its own."""
    clock = StoppedClock()
    nodes = [
        Node(name, name.split("-")[0], MemoryTable(), clock, **member) for name in names
    ]
    for node in nodes:
        await node.start()
    try:
        yield nodes
    finally:
        for node in nodes:
            await node.stop()


async def roll_out(table: MemoryTable, text: str = BUNDLE) -> None:
    repository = BundleRepository(AuditedTable(table, ManualClock()))
    draft = await repository.draft(ANNA, parse_bundle({"bundle.toml": text}))
    await repository.propose(ANNA, draft.version, draft.digest)
    await repository.review(BRUNO, draft.version, draft.digest, approve=True)
    await repository.roll_out(ANNA, draft.version, draft.digest)


async def test_a_view_stays_fresh_through_a_peer_while_the_table_is_unreachable():
    async with cell("augusta-1", "augusta-2") as (isolated, peer):
        for node in (isolated, peer):
            await node.view.refresh()
        isolated.table.down = True
        isolated.clock.advance(10)
        await isolated.view.refresh()
        assert isolated.view.age() == timedelta(seconds=10)
        await peer.view.refresh()
        isolated.clock.advance(1)
        assert await isolated.peers.exchange(peer.address)
        assert isolated.view.age() == timedelta(seconds=1)


async def test_time_since_the_call_was_sent_counts_as_age():
    async with cell("augusta-1", "augusta-2") as (isolated, peer):
        await peer.view.refresh()
        answer = peer.peers.answer(
            cell_pb2.Heartbeat(sender=isolated.peers._own_state())
        )
        isolated.clock.advance(2.5)
        isolated.peers.answer_received(answer, 0.0)
        assert isolated.view.age() == timedelta(seconds=2.5)


async def test_an_incoming_call_makes_the_process_known_but_renews_no_age():
    async with cell("augusta-1", "augusta-2") as (one, two):
        await two.view.refresh()
        one.peers.answer(cell_pb2.Heartbeat(sender=two.peers._own_state()))
        assert one.view.age() == timedelta.max
        assert one.peers.alive_within("augusta-2", timedelta(seconds=1))
        assert one.peers.processes()[0].reported_at == -math.inf
        assert [known.state.process for known in one.peers.processes()] == ["augusta-2"]


async def test_an_older_peer_does_not_make_a_view_fresh():
    async with cell("augusta-1", "augusta-2") as (new, old):
        await old.view.refresh()
        await roll_out(new.table)
        await new.view.refresh()
        new.clock.advance(5)
        await old.view.refresh()
        await new.peers.exchange(old.address)
        assert new.view.age() == timedelta(seconds=5)
        assert new.view.bundle_version == 1


async def test_a_new_process_takes_the_view_from_a_peer_while_the_table_is_down():
    async with cell("augusta-1", "augusta-2") as (new, old):
        await roll_out(old.table)
        registry = KeyRegistry(AuditedTable(old.table, old.clock), old.clock)
        key = await registry.grant(ANNA, "dogana")
        await old.view.refresh()
        new.table.down = True
        await new.view.refresh()
        await new.peers.exchange(old.address)
        assert new.view.bundle_version == 1
        assert new.view.authenticate(key.secret) == "dogana"
        new.clock.advance(4)
        with pytest.raises(RefusedError) as caught:
            new.view.authenticate(key.secret)
        assert caught.value.reason == "view_too_old"


async def test_a_key_withdrawal_reaches_a_process_that_cannot_reach_the_table():
    async with cell("augusta-1", "augusta-2") as (isolated, peer):
        await roll_out(peer.table)
        registry = KeyRegistry(AuditedTable(peer.table, peer.clock), peer.clock)
        key = await registry.grant(ANNA, "dogana")
        await peer.view.refresh()
        isolated.table.down = True
        await isolated.view.refresh()
        await isolated.peers.exchange(peer.address)
        await registry.withdraw(BRUNO, key.digest)
        await peer.view.refresh()
        await isolated.peers.exchange(peer.address)
        with pytest.raises(RefusedError) as caught:
            isolated.view.authenticate(key.secret)
        assert caught.value.reason == "key_withdrawn"


async def test_the_state_of_a_third_process_is_forwarded_with_its_age_and_shards():
    async with cell("augusta-1", "priolo-1", "milazzo-1") as (one, two, three):
        three.owned.shards = [
            ShardOwner(
                "milazzo-0",
                "milazzo",
                "milazzo-1",
                three.address,
                7,
                Resources(16_000, 64_000),
                Resources(8_000, 32_000),
                3,
                5,
            )
        ]
        await two.peers.exchange(three.address)
        one.clock.advance(4)
        await one.peers.exchange(two.address)
        assert one.peers.owner("milazzo-0") == three.owned.shards[0]
        assert list(one.peers.owners()) == three.owned.shards
        known_processes = {
            known.state.process: known for known in one.peers.processes()
        }
        assert known_processes["milazzo-1"].reported_at == 0
        one.clock.advance(56)
        assert one.peers.owner("milazzo-0") == three.owned.shards[0]
        one.clock.advance(0.001)
        assert one.peers.owner("milazzo-0") is None


async def test_the_owner_with_the_highest_epoch_wins_over_an_own_shard():
    async with cell("augusta-1", "augusta-2") as (old, new):
        amount = Resources(1, 1)
        old.owned.shards = [
            ShardOwner(
                "augusta-0", "augusta", "augusta-1", "a", 1, amount, amount, 0, 0
            )
        ]
        new.owned.shards = [
            ShardOwner(
                "augusta-0", "augusta", "augusta-2", "b", 2, amount, amount, 0, 0
            )
        ]
        await old.peers.exchange(new.address)
        await new.peers.exchange(old.address)
        assert old.peers.owner("augusta-0").process == "augusta-2"
        assert new.peers.owner("augusta-0").process == "augusta-2"


async def test_a_peer_with_another_major_version_is_answered_but_not_used():
    async with cell("augusta-1", "augusta-2") as (one, two):
        stub = cell_pb2_grpc.PeerStub(one.channels.get(two.address))
        state = cell_pb2.ProcessState(
            process="new", protocol_version=OTHER_MAJOR_VERSION
        )
        answer = await stub.Exchange(cell_pb2.Heartbeat(sender=state))
        assert answer.sender.process == "augusta-2"
        assert two.peers.processes() == []
        assert two.kinds().count("peer_protocol_differs") == 1
        one.peers.answer_received(cell_pb2.Heartbeat(sender=state), 0.0)
        assert one.peers.processes() == []


async def test_an_unreachable_peer_is_recorded_once():
    async with cell("augusta-1") as (one,):
        assert not await one.peers.exchange("127.0.0.1:1")
        assert not await one.peers.exchange("127.0.0.1:1")
        assert one.kinds().count("peer_unheard") == 1


async def test_events_and_texts_are_served():
    async with cell("augusta-1", "augusta-2") as (one, two):
        stub = cell_pb2_grpc.PeerStub(one.channels.get(two.address))
        two.events.record("tried", "here")
        answer = await stub.Events(cell_pb2.EventsRequest(after=0, limit=10))
        assert answer.process == "augusta-2"
        assert b'"kind":"tried"' in answer.events[-1]
        assert (await stub.Text(cell_pb2.TextRequest(name="state"))).text == "ready"
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            await stub.Text(cell_pb2.TextRequest(name="secrets"))
        assert caught.value.code() is grpc.StatusCode.NOT_FOUND


async def test_tasks_start_and_end_with_the_member_rows():
    async with cell("augusta-1", "augusta-2") as (one, two):
        one.rows = [two.peers._member]
        one.peers._reconcile_tasks()
        assert list(one.peers._tasks) == [two.address]
        one.rows = []
        one.peers._reconcile_tasks()
        assert list(one.peers._tasks) == []
        await one.peers.stop()


async def test_the_exchange_interval_grows_with_the_number_of_peers():
    async with cell("augusta-1", "augusta-2", "augusta-3") as (one, two, three):
        assert one.peers._exchange_interval() == HEARTBEAT
        one.rows = [two.peers._member, three.peers._member]
        one.peers._reconcile_tasks()
        assert one.peers._exchange_interval() == 2 * HEARTBEAT
        await one.peers.stop()


async def test_an_answer_stays_small_in_a_cell_of_full_size():
    async with cell("augusta-1") as (one,):
        amount = cell_pb2.Amount(cpu_millis=10**6, memory_mb=10**7, accelerators=64)
        for index in range(144):
            state = cell_pb2.ProcessState(
                process=f"augusta-{index}.scheduler.1a2b3c4d",
                role="scheduler",
                vm=f"augusta-{index}",
                failure_domain="augusta",
                address="10.20.30.40:7202",
                protocol_version=PROTOCOL_VERSION,
                bundle_version=10**6,
                keys_version=10**6,
                view_age_ms=1200,
                sequence=10**7,
                shards=[
                    cell_pb2.ShardState(
                        shard="augusta-0",
                        epoch=10**3,
                        capacity=amount,
                        free=amount,
                        queued_tasks=10**4,
                        running_tasks=10**4,
                    )
                ],
            )
            one.peers.answer_received(cell_pb2.Heartbeat(sender=state), 0.0)
        answer = one.peers.answer(cell_pb2.Heartbeat(sender=state))
        assert len(answer.known) == MAX_FORWARDED_STATES
        assert answer.ByteSize() < MAX_ANSWER_BYTES


async def test_started_peers_exchange_and_stop():
    async with cell("augusta-1", "priolo-1") as (one, two):
        await two.view.refresh()
        answer_received = asyncio.Event()
        process_answer = one.peers.answer_received

        def process_and_notify(answer, sent_at):
            process_answer(answer, sent_at)
            answer_received.set()

        one.peers.answer_received = process_and_notify
        one.rows = [two.peers._member]
        await one.peers.start()
        await answer_received.wait()
        assert one.view.age() == timedelta(0)
        one.peers.mark_leaving()
        await one.peers.stop()
        answer = one.peers.answer(cell_pb2.Heartbeat(sender=two.peers._own_state()))
        assert answer.sender.leaving


async def test_a_failed_task_is_replaced():
    async with cell("augusta-1", "augusta-2") as (one, two):
        one.rows = [two.peers._member]
        one.peers._reconcile_tasks()
        failed = one.peers._tasks[two.address]
        failed.cancel()
        await asyncio.gather(failed, return_exceptions=True)
        one.peers._reconcile_tasks()
        assert one.peers._tasks[two.address] is not failed
        assert one.kinds().count("peer_task_failed") == 1
        await one.peers.stop()


async def test_seeds_are_called_while_no_other_process_is_known():
    async with cell("augusta-1", "augusta-2") as (one, two):
        one.peers._seeds = lambda: [two.address, one.address]
        one.peers._reconcile_tasks()
        assert list(one.peers._tasks) == [two.address]
        await one.peers.stop()


def test_an_empty_bundle_round_trips():
    assert Bundle.decode(Bundle().encode()) == Bundle()


@pytest.mark.parametrize(
    "answer",
    [
        cell_pb2.ViewAnswer(bundle_version=1, bundle=b"{"),
        cell_pb2.ViewAnswer(bundle_version=1, bundle=b'{"team":[{}]}'),
        cell_pb2.ViewAnswer(keys_version=1, keys=b"[{}]"),
        cell_pb2.ViewAnswer(keys_version=1, keys=b"\xff"),
    ],
)
def test_malformed_content_from_a_peer_is_refused(answer):
    with pytest.raises(InvalidInputError, match=r"bundle|keys"):
        decode_view(answer, 0.0)


async def test_a_scheduler_that_cannot_reach_the_table_is_not_listed():
    async with cell("augusta-1") as (one,):
        schedulers = SchedulerPeers(one.peers._member, one.peers, one.clock)

        def receive_state(sequence: int, *, table_unreachable: bool) -> None:
            state = cell_pb2.ProcessState(
                process="priolo-1",
                role="scheduler",
                address="10.0.0.2:7202",
                failure_domain="priolo",
                protocol_version=PROTOCOL_VERSION,
                sequence=sequence,
                table_unreachable=table_unreachable,
            )
            one.peers.answer_received(
                cell_pb2.Heartbeat(sender=state), one.clock.monotonic()
            )

        receive_state(1, table_unreachable=True)
        assert list(schedulers.schedulers("priolo")) == []
        receive_state(2, table_unreachable=False)
        assert list(schedulers.schedulers("priolo")) == ["priolo-1"]


async def test_an_earlier_process_at_an_address_does_not_prove_a_later_one_ended():
    async with cell("augusta-1") as (one,):
        schedulers = SchedulerPeers(one.peers._member, one.peers, one.clock)

        def receive_state(process: str, sequence: int) -> None:
            state = cell_pb2.ProcessState(
                process=process,
                role="scheduler",
                address="10.0.0.2:7202",
                failure_domain="augusta",
                protocol_version=PROTOCOL_VERSION,
                sequence=sequence,
            )
            sent_at = one.clock.monotonic()
            one.peers.answer_received(cell_pb2.Heartbeat(sender=state), sent_at)

        receive_state("first", 1)
        one.clock.advance(1)
        assert not schedulers.is_replaced("second", "10.0.0.2:7202")
        one.peers.answer(
            cell_pb2.Heartbeat(
                sender=cell_pb2.ProcessState(
                    process="first",
                    role="scheduler",
                    address="10.0.0.2:7202",
                    protocol_version=PROTOCOL_VERSION,
                    sequence=2,
                )
            )
        )
        assert not schedulers.is_replaced("second", "10.0.0.2:7202")
        one.clock.advance(1)
        receive_state("third", 1)
        assert schedulers.is_replaced("second", "10.0.0.2:7202")
        assert "third" in schedulers.schedulers("augusta")


async def test_a_forwarded_state_shows_life_only_at_the_time_of_its_report():
    async with cell("augusta-1") as (one,):
        one.clock.advance(100)
        state = cell_pb2.ProcessState(
            process="dead", protocol_version=PROTOCOL_VERSION, age_ms=30_000
        )
        forwarder = cell_pb2.ProcessState(
            process="forwarder", protocol_version=PROTOCOL_VERSION
        )
        answer = cell_pb2.Heartbeat(sender=forwarder, known=[state])
        one.peers.answer_received(answer, one.clock.monotonic())
        assert one.peers.alive_within("dead", timedelta(seconds=30))
        assert not one.peers.alive_within("dead", timedelta(seconds=29))
