"""Tests UNASKED, in all its clauses, on a heavy simulated site; see `heavy_load`."""

from __future__ import annotations

import pytest
from loguru import logger

from tests.heavy_load import run_heavy


# Guards against UNASKED, TWICE and LIMIT by a leader with more to do than it can, whose
# servers and store answer late or not, while jobs are cancelled in masses.
@pytest.mark.parametrize("seed", [9, 603, 609])
def test_servers_are_told_only_what_clients_asked_for(seed: int) -> None:
    logger.disable("cassiaweir")
    try:
        outcome = run_heavy(seed, servers=12, seconds=12.0, load=3.0, busy_s=0.0005)
    finally:
        logger.enable("cassiaweir")
    print(dict(sorted(outcome.counts.items())))
    assert not outcome.faults
    assert outcome.counts["starts"] > 300
    assert outcome.counts["acknowledged cancelled"] > 50
