"""Tests of member rows and of what is known of processes."""

import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaweir.clock import ManualClock
from cassiaweir.membership import (
    PROTOCOL_VERSION,
    KnownProcesses,
    Member,
    MemberRows,
    is_compatible,
)
from cassiaweir.membership._known_processes import NEVER
from cassiaweir.membership._rows import STALE_AFTER
from cassiaweir.membership._selection import (
    ELSEWHERE_PEERS,
    MOST_DOMAIN_PEERS,
    ROUNDS_PER_CHOICE,
    PeerAddress,
    PeerSelection,
)
from cassiaweir.observe import EventLog
from cassiaweir.rpc import cell_pb2
from cassiaweir.types import Write
from standins.memory import MemoryTable

STALE_SECONDS = STALE_AFTER.total_seconds()


class Fleet:
    """Member rows of several processes over one table."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.heard: set[str] = set()

    def rows(self, process: str) -> MemberRows:
        member = Member(process, "gateway", "augusta-1", "augusta", "127.0.0.1:1")
        return MemberRows(
            member,
            self.table,
            EventLog(process, self.clock),
            self.clock,
            alive_within=lambda name, _: name in self.heard,
        )

    async def names(self) -> list[str]:
        rows = await self.table.scan("member/")
        return [msgspec.json.decode(row.value, type=Member).process for row in rows]


async def test_a_row_is_written_and_removed_on_a_graceful_stop():
    fleet = Fleet()
    rows = fleet.rows("one")
    await rows.step()
    assert await fleet.names() == ["one"]
    assert rows.members() == []
    await rows.stop()
    assert await fleet.names() == []


async def test_a_row_that_is_refreshed_stays():
    fleet = Fleet()
    one, two = fleet.rows("one"), fleet.rows("two")
    for _ in range(40):
        await one.step()
        await two.step()
        fleet.clock.advance(5)
    assert await fleet.names() == ["one", "two"]
    assert [member.process for member in one.members()] == ["two"]


async def test_a_silent_row_is_removed_after_the_stated_time_of_the_observer():
    fleet = Fleet()
    await fleet.rows("dead").step()
    fleet.clock.advance(1000)
    one = fleet.rows("one")
    await one.step()
    fleet.clock.advance(STALE_SECONDS - 1)
    await one.step()
    assert await fleet.names() == ["dead", "one"]
    fleet.clock.advance(1)
    await one.step()
    assert await fleet.names() == ["one"]
    assert one.members() == []


async def test_a_process_that_is_heard_keeps_its_row():
    fleet = Fleet()
    await fleet.rows("cut").step()
    fleet.heard.add("cut")
    one = fleet.rows("one")
    await one.step()
    fleet.clock.advance(STALE_SECONDS * 3)
    await one.step()
    assert await fleet.names() == ["cut", "one"]


async def test_a_paused_observer_removes_nothing_that_was_refreshed_meanwhile():
    fleet = Fleet()
    one, two = fleet.rows("one"), fleet.rows("two")
    await two.step()
    await one.step()
    fleet.clock.advance(STALE_SECONDS * 3)
    await two.step()
    await one.step()
    assert await fleet.names() == ["one", "two"]


async def test_a_refresh_between_scan_and_removal_wins():
    fleet = Fleet()
    one, two = fleet.rows("one"), fleet.rows("two")
    await two.step()
    await one.step()
    fleet.clock.advance(STALE_SECONDS)
    (row,) = await fleet.table.scan("member/t")
    await two.step()
    await one._remove(row)
    assert await fleet.names() == ["one", "two"]


async def test_a_removed_process_that_wakes_up_joins_again():
    fleet = Fleet()
    one, paused = fleet.rows("one"), fleet.rows("paused")
    await paused.step()
    await one.step()
    fleet.clock.advance(STALE_SECONDS)
    await one.step()
    assert await fleet.names() == ["one"]
    await paused.step()
    assert await fleet.names() == ["one", "paused"]


async def test_an_outage_keeps_the_last_known_members():
    fleet = Fleet()
    one = fleet.rows("one")
    await fleet.rows("two").step()
    await one.step()
    fleet.table.down = True
    await one.step()
    await one.stop()
    assert [member.process for member in one.members()] == ["two"]


async def test_a_malformed_row_is_passed_over():
    fleet = Fleet()
    await fleet.table.commit([], [Write("member/bad", b"{")])
    one = fleet.rows("one")
    await one.step()
    assert one.members() == []


def state(sequence: int, **fields) -> cell_pb2.ProcessState:
    return cell_pb2.ProcessState(process="two", sequence=sequence, **fields)


def test_the_later_statement_wins_in_any_order():
    for order in ((1, 2), (2, 1)):
        known = KnownProcesses("one")
        for sequence in order:
            known.merge(
                state(sequence, keys_version=sequence), 10.0 - sequence, alive_at=0
            )
        assert known.get("two").state.keys_version == 2


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 9), st.floats(0, 9)), min_size=1))
def test_no_statement_is_held_fresher_than_it_was_made(heard):
    """Statement `n` is made at time `n` and heard `delay` late, in any order."""
    known = KnownProcesses("one")
    for sequence, delay in heard:
        known.merge(state(sequence), sequence - delay, alive_at=0)
    newest = known.get("two")
    assert newest.made_at <= newest.state.sequence
    assert newest.state.sequence == max(sequence for sequence, _ in heard)


def test_a_process_learns_nothing_of_itself():
    known = KnownProcesses("two")
    known.merge(state(1), 1.0, alive_at=0)
    assert known.all() == []


def test_all_owners_are_retold_in_turn_and_others_are_not():
    known = KnownProcesses("one")
    shard = cell_pb2.ShardState(shard="s")
    for index in range(20):
        shards = [shard] if index < 10 else []
        told = cell_pb2.ProcessState(process=f"p{index}", sequence=1, shards=shards)
        known.merge(told, 1.0, alive_at=1.0)
    turns = [known.take_turn(0.0, 4) for _ in range(3)]
    names = {entry.state.process for turn in turns for entry in turn}
    assert names == {f"p{index}" for index in range(10)}
    assert all(len(turn) == 4 for turn in turns)


def test_a_process_that_only_called_is_forgotten_after_its_last_call():
    known = KnownProcesses("one")
    known.merge(state(1), NEVER, alive_at=5.0)
    assert known.silent_since(5.0) == []
    assert known.silent_since(6.0) == ["two"]
    known.forget(["two"])
    assert known.all() == []


def peers(domains: int, each: int) -> list[PeerAddress]:
    return [
        PeerAddress(f"p{domain}-{index}", f"d{domain}", f"10.0.{domain}.{index}:1")
        for domain in range(domains)
        for index in range(each)
    ]


def test_the_number_of_peers_is_bounded_at_the_full_size():
    selection = PeerSelection("d0", random.Random(1))
    for _ in range(100):
        chosen = selection.choose(peers(24, 6))
        near = [peer for peer in chosen if peer.failure_domain == "d0"]
        assert len(near) == 6
        assert len(chosen) == 6 + ELSEWHERE_PEERS
    crowded = selection.choose(peers(2, 50))
    assert len(crowded) == MOST_DOMAIN_PEERS + ELSEWHERE_PEERS


def test_the_random_peers_are_kept_for_some_rounds_and_then_change():
    selection = PeerSelection("d0", random.Random(1))
    rounds = [
        {peer.process for peer in selection.choose(peers(24, 4))}
        for _ in range(ROUNDS_PER_CHOICE * 20)
    ]
    assert all(chosen == rounds[0] for chosen in rounds[:ROUNDS_PER_CHOICE])
    assert len(set().union(*rounds)) > 30


def test_versions_of_the_same_major_are_compatible():
    assert is_compatible(PROTOCOL_VERSION + 1)
    assert not is_compatible(PROTOCOL_VERSION + (1 << 16))
    assert not is_compatible(0)
