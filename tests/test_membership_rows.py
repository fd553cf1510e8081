"""Tests of member rows, known processes and the selection of peers."""

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
from cassiaweir.membership._known_processes import NEVER_REPORTED
from cassiaweir.membership._rows import STALE_AFTER
from cassiaweir.membership._selection import (
    MAX_OTHER_DOMAIN_PEERS,
    MAX_SAME_DOMAIN_PEERS,
    ROUNDS_PER_SELECTION,
    PeerAddress,
    PeerSelection,
)
from cassiaweir.observe import EventLog
from cassiaweir.rpc import cell_pb2
from cassiaweir.types import Write
from standins.memory import MemoryTable

STALE_SECONDS = STALE_AFTER.total_seconds()


class MemberRowsHarness:
    """Creates the member rows of several processes in one table."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.alive: set[str] = set()

    def rows(self, process: str) -> MemberRows:
        member = Member(process, "gateway", "augusta-1", "augusta", "127.0.0.1:1")
        return MemberRows(
            member,
            self.table,
            EventLog(process, self.clock),
            self.clock,
            alive_within=lambda name, _: name in self.alive,
        )

    async def stored_processes(self) -> list[str]:
        rows = await self.table.scan("member/")
        return [msgspec.json.decode(row.value, type=Member).process for row in rows]


async def test_a_row_is_written_and_removed_on_a_graceful_stop():
    harness = MemberRowsHarness()
    rows = harness.rows("one")
    await rows.reconcile()
    assert await harness.stored_processes() == ["one"]
    assert rows.members() == []
    await rows.stop()
    assert await harness.stored_processes() == []


async def test_a_row_that_is_refreshed_stays():
    harness = MemberRowsHarness()
    one, two = harness.rows("one"), harness.rows("two")
    for _ in range(40):
        await one.reconcile()
        await two.reconcile()
        harness.clock.advance(5)
    assert await harness.stored_processes() == ["one", "two"]
    assert [member.process for member in one.members()] == ["two"]


async def test_an_unchanged_row_is_removed_after_the_limit_on_the_observers_clock():
    harness = MemberRowsHarness()
    await harness.rows("dead").reconcile()
    harness.clock.advance(1000)
    one = harness.rows("one")
    await one.reconcile()
    harness.clock.advance(STALE_SECONDS - 1)
    await one.reconcile()
    assert await harness.stored_processes() == ["dead", "one"]
    harness.clock.advance(1)
    await one.reconcile()
    assert await harness.stored_processes() == ["one"]
    assert one.members() == []


async def test_a_process_that_is_alive_keeps_a_row_that_it_does_not_refresh():
    harness = MemberRowsHarness()
    await harness.rows("isolated").reconcile()
    harness.alive.add("isolated")
    one = harness.rows("one")
    await one.reconcile()
    harness.clock.advance(STALE_SECONDS * 3)
    await one.reconcile()
    assert await harness.stored_processes() == ["isolated", "one"]


async def test_a_paused_observer_removes_nothing_that_was_refreshed_meanwhile():
    harness = MemberRowsHarness()
    one, two = harness.rows("one"), harness.rows("two")
    await two.reconcile()
    await one.reconcile()
    harness.clock.advance(STALE_SECONDS * 3)
    await two.reconcile()
    await one.reconcile()
    assert await harness.stored_processes() == ["one", "two"]


async def test_a_refresh_between_scan_and_removal_keeps_the_row():
    harness = MemberRowsHarness()
    one, two = harness.rows("one"), harness.rows("two")
    await two.reconcile()
    await one.reconcile()
    harness.clock.advance(STALE_SECONDS)
    (row,) = await harness.table.scan("member/t")
    await two.reconcile()
    await one._remove(row)
    assert await harness.stored_processes() == ["one", "two"]


async def test_a_removed_process_that_resumes_joins_again():
    harness = MemberRowsHarness()
    one, paused = harness.rows("one"), harness.rows("paused")
    await paused.reconcile()
    await one.reconcile()
    harness.clock.advance(STALE_SECONDS)
    await one.reconcile()
    assert await harness.stored_processes() == ["one"]
    await paused.reconcile()
    assert await harness.stored_processes() == ["one", "paused"]


async def test_an_outage_keeps_the_last_known_members():
    harness = MemberRowsHarness()
    one = harness.rows("one")
    await harness.rows("two").reconcile()
    await one.reconcile()
    harness.table.down = True
    await one.reconcile()
    await one.stop()
    assert [member.process for member in one.members()] == ["two"]


async def test_a_malformed_row_is_skipped():
    harness = MemberRowsHarness()
    await harness.table.commit([], [Write("member/bad", b"{")])
    one = harness.rows("one")
    await one.reconcile()
    assert one.members() == []


def state(sequence: int, **fields) -> cell_pb2.ProcessState:
    return cell_pb2.ProcessState(process="two", sequence=sequence, **fields)


def test_the_newest_state_is_kept_in_any_order_of_arrival():
    for order in ((1, 2), (2, 1)):
        known = KnownProcesses("one")
        for sequence in order:
            known.merge(
                state(sequence, keys_version=sequence), 10.0 - sequence, last_alive_at=0
            )
        assert known.get("two").state.keys_version == 2


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 9), st.floats(0, 9)), min_size=1))
def test_reported_at_is_never_later_than_the_report(received):
    """State `n` is reported at time `n`; its lower bound is `delay` seconds less."""
    known = KnownProcesses("one")
    for sequence, delay in received:
        known.merge(state(sequence), sequence - delay, last_alive_at=0)
    newest = known.get("two")
    assert newest.reported_at <= newest.state.sequence
    assert newest.state.sequence == max(sequence for sequence, _ in received)


def test_a_state_of_the_process_itself_is_ignored():
    known = KnownProcesses("two")
    known.merge(state(1), 1.0, last_alive_at=0)
    assert known.all() == []


def test_shard_owners_are_forwarded_in_rotation_and_others_are_not():
    known = KnownProcesses("one")
    shard = cell_pb2.ShardState(shard="s")
    for index in range(20):
        shards = [shard] if index < 10 else []
        reported = cell_pb2.ProcessState(process=f"p{index}", sequence=1, shards=shards)
        known.merge(reported, 1.0, last_alive_at=1.0)
    turns = [known.next_shard_owners(0.0, 4) for _ in range(3)]
    names = {entry.state.process for turn in turns for entry in turn}
    assert names == {f"p{index}" for index in range(10)}
    assert all(len(turn) == 4 for turn in turns)


def test_a_process_known_only_from_its_calls_is_silent_after_the_last_one():
    known = KnownProcesses("one")
    known.merge(state(1), NEVER_REPORTED, last_alive_at=5.0)
    assert known.silent_since(5.0) == []
    assert known.silent_since(6.0) == ["two"]
    known.forget(["two"])
    assert known.all() == []


def peers(domains: int, per_domain: int) -> list[PeerAddress]:
    return [
        PeerAddress(f"p{domain}-{index}", f"d{domain}", f"10.0.{domain}.{index}:1")
        for domain in range(domains)
        for index in range(per_domain)
    ]


def test_the_number_of_peers_is_bounded_in_a_cell_of_full_size():
    selection = PeerSelection("d0", random.Random(1))
    for _ in range(100):
        chosen = selection.choose(peers(24, 6))
        same_domain = [peer for peer in chosen if peer.failure_domain == "d0"]
        assert len(same_domain) == 6
        assert len(chosen) == 6 + MAX_OTHER_DOMAIN_PEERS
    crowded = selection.choose(peers(2, 50))
    assert len(crowded) == MAX_SAME_DOMAIN_PEERS + MAX_OTHER_DOMAIN_PEERS


def test_the_random_peers_are_kept_for_some_rounds_and_then_change():
    selection = PeerSelection("d0", random.Random(1))
    rounds = [
        {peer.process for peer in selection.choose(peers(24, 4))}
        for _ in range(ROUNDS_PER_SELECTION * 20)
    ]
    assert all(chosen == rounds[0] for chosen in rounds[:ROUNDS_PER_SELECTION])
    assert len(set().union(*rounds)) > 30


def test_versions_of_the_same_major_are_compatible():
    assert is_compatible(PROTOCOL_VERSION + 1)
    assert not is_compatible(PROTOCOL_VERSION + (1 << 16))
    assert not is_compatible(0)
