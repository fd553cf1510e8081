"""Tests of `WriteQueue`: the order in which the leader's rows are stored."""

from __future__ import annotations

import random

from cassiaweir.leadership._write_queue import MAX_URGENT_FIRST, WriteQueue
from cassiaweir.types import Write


def keys_of(queue: WriteQueue) -> list[str]:
    """Take the writes of one transaction and return the keys of their rows."""
    return [queued.write.key for queued in queue.take()]


# Guards against a row that loses its place, and holds up all behind it (issue 47).
def test_a_replacement_takes_over_the_place_and_a_removal_goes_to_the_end() -> None:
    queue = WriteQueue()
    for key in ("t/a", "t/b", "t/c"):
        queue.put(Write(key, b"old"))
    queue.put(Write("t/a", b"new"))
    queue.put(Write("t/b", None))
    taken = queue.take()
    assert [each.write.key for each in taken] == ["t/a", "t/c", "t/b"]
    assert [each.write.value for each in taken] == [b"new", b"old", None]
    assert taken[0].positions == (1, 4)


# Guards against starts that wait behind rows that nobody waits for (issue 47).
def test_urgent_rows_go_first_and_leave_room_for_the_others() -> None:
    queue = WriteQueue()
    for number in range(200):
        queue.put(Write(f"t/{number}", b"x"))
    for number in range(200):
        queue.put(Write(f"u/{number}", b"x"), urgent=True)
    queue.put(Write("t/150", b"x"), urgent=True)
    first = keys_of(queue)
    assert first[:MAX_URGENT_FIRST] == [f"u/{each}" for each in range(MAX_URGENT_FIRST)]
    assert first[MAX_URGENT_FIRST] == "t/0"
    assert queue.complete_position == len(first) - MAX_URGENT_FIRST
    assert "t/150" in queue


# Guards against writes that are lost, or counted as stored while they are queued.
def test_nothing_queued_counts_as_complete_whatever_the_order_of_writes() -> None:
    rng = random.Random(47)
    for _ in range(50):
        queue = WriteQueue()
        newest: dict[str, bytes | None] = {}
        stored: dict[str, bytes | None] = {}
        open_positions: set[int] = set()
        for number in range(400):
            key = f"t/{rng.randrange(150)}"
            value = None if rng.random() < 0.1 else b"%d" % number
            urgent = rng.random() < 0.3
            open_positions.add(queue.put(Write(key, value), urgent=urgent))
            newest[key] = value
            if rng.random() < 0.02:
                for queued in queue.take():
                    stored[queued.write.key] = queued.write.value
                    open_positions.difference_update(queued.positions)
            assert queue.complete_position < min(open_positions, default=10_000)
        while queue:
            for queued in queue.take():
                stored[queued.write.key] = queued.write.value
        assert stored == newest


# Guards against rows that are never stored, and all behind them (issue 47): urgent rows
# that are large fill each transaction and are written again meanwhile.
def test_large_urgent_rows_leave_room_for_the_others() -> None:
    queue = WriteQueue()
    for number in range(10):
        queue.put(Write(f"t/{number}", b"x"))
    for _ in range(3):
        for number in range(20):
            queue.put(Write(f"u/{number}", b"x" * 48_000), urgent=True)
        taken = [queued.write.key for queued in queue.take()]
        assert taken[0].startswith("u/")
    assert not any(f"t/{number}" in queue for number in range(10))
    queue.put(Write("v", b"x" * 600_000), urgent=True)
    while "v" in queue:
        assert queue.take()
