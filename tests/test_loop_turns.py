"""Tests of `cassiaweir.dispatch._loop_turns`."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import pytest

from cassiaweir.dispatch._loop_turns import ITERATION_SHARE_S, MIN_TURNS, LoopTurns
from tests.virtual_time import VirtualLoop, run_virtual

PIECES = 200


def current_loop() -> VirtualLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    return loop


def start_pieces(
    turns: LoopTurns, seconds: Iterable[float]
) -> list[asyncio.Task[None]]:
    """Start tasks that each compute for some seconds once they get a turn."""

    async def piece(spent_s: float) -> None:
        await turns.wait()
        current_loop().spend(spent_s)

    return [asyncio.create_task(piece(each)) for each in seconds]


# Guards against urgent work that becomes ready behind hundreds of batch starts and
# waits for all of them.
@pytest.mark.parametrize("piece_s", [0.0002, 0.002, 0.02])
def test_other_work_runs_between_pieces_that_wait_for_turns(piece_s: float):
    async def body() -> None:
        turns = LoopTurns()
        pieces = start_pieces(turns, [piece_s] * PIECES)
        delays_s = []
        while not all(each.done() for each in pieces):
            before = current_loop().time()
            await asyncio.sleep(0)
            delays_s.append(current_loop().time() - before)
        longest_s = max(ITERATION_SHARE_S * 1.5, MIN_TURNS * piece_s)
        assert max(delays_s[len(delays_s) // 2 :]) <= longest_s + 1e-9
        assert current_loop().time() < PIECES * piece_s * 1.1

    run_virtual(body)


def test_a_turn_that_nobody_waits_for_any_more_is_not_granted():
    async def body() -> None:
        turns = LoopTurns()
        pieces = start_pieces(turns, [0.001] * PIECES)
        await asyncio.sleep(0)
        for each in pieces[1::2]:
            each.cancel()
        await asyncio.gather(*pieces, return_exceptions=True)
        assert all(each.done() for each in pieces)
        assert not turns.backlogged

    run_virtual(body)


def test_work_is_backlogged_while_much_of_it_waits():
    async def body() -> None:
        turns = LoopTurns()
        assert not turns.backlogged
        pieces = start_pieces(turns, [0.01] * PIECES)
        await asyncio.sleep(0)
        assert turns.backlogged
        await asyncio.gather(*pieces)
        assert not turns.backlogged

    run_virtual(body)
