"""Waits for a condition without depending on how fast the machine is."""

import asyncio
from collections.abc import Callable

MAX_POLLS = 10_000
INTERVAL_SECONDS = 0.001


async def until(condition: Callable[[], bool]) -> None:
    """Let other tasks run until `condition` holds; fail where it never does."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(INTERVAL_SECONDS)
    raise AssertionError("the condition never came to hold")
