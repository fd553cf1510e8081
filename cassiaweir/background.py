"""Background tasks whose failure is noticed, and waiting for an event."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta

from loguru import logger

from cassiaweir.types import Clock

Loop = Callable[[], Coroutine[None, None, None]]


class BackgroundTasks:
    """The tasks that a component runs until it is stopped."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *loops: Loop) -> None:
        """Run each of `loops` in a task of its own."""
        for loop in loops:
            task = asyncio.create_task(loop())
            task.add_done_callback(_log_failure)
            self._tasks.append(task)

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def failure(self) -> BaseException | None:
        """Return what a task failed with, or None."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                return task.exception()
        return None


def _log_failure(task: asyncio.Task[None]) -> None:
    """Write a line about a task that ended by an unexpected error."""
    if not task.cancelled() and task.exception() is not None:
        logger.bind(error=repr(task.exception())).error("background_task_failed")


async def wait_for_event(event: asyncio.Event, clock: Clock, limit: timedelta) -> None:
    """Wait for `event`, and set it when `limit` has passed without it."""
    timer = asyncio.create_task(_set_after(event, clock, limit))
    try:
        # An event that is set already must not keep other tasks from running.
        await asyncio.sleep(0)
        await event.wait()
    finally:
        timer.cancel()


async def _set_after(event: asyncio.Event, clock: Clock, limit: timedelta) -> None:
    await clock.sleep(limit)
    event.set()
