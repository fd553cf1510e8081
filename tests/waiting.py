"""Waits for a condition by polling, with a limit on polls rather than on time.

A limit on time would make tests fail on a slow machine.
"""

import asyncio
from collections.abc import Callable

MAX_POLLS = 10_000
POLL_INTERVAL_S = 0.001


async def until(condition: Callable[[], bool]) -> None:
    """Return once `condition` is true; fail after `MAX_POLLS` polls."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"condition still false after {MAX_POLLS} polls")
