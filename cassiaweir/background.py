"""Background tasks whose failures are logged, and waiting for an event with a limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta

from loguru import logger

from cassiaweir.types import Clock

Loop = Callable[[], Coroutine[None, None, None]]


class BackgroundTasks:
    """The asyncio tasks that a component runs until it is stopped."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *loops: Loop) -> None:
        """Run each coroutine function of `loops` in a task of its own."""
        for loop in loops:
            task = asyncio.create_task(loop())
            task.add_done_callback(_log_task_failure)
            self._tasks.append(task)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def failure(self) -> BaseException | None:
        """Return the exception of the first task that has failed, or None."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                return task.exception()
        return None


def _log_task_failure(task: asyncio.Task[None]) -> None:
    """Log the exception of a task that ended with one."""
    if not task.cancelled() and task.exception() is not None:
        logger.bind(error=repr(task.exception())).error("background_task_failed")


async def wait_for_event(event: asyncio.Event, clock: Clock, limit: timedelta) -> None:
    """Wait until `event` is set; set it when `limit` has passed.

    The caller clears the event before it waits again.
    """
    timer = asyncio.create_task(_set_after(event, clock, limit))
    try:
        # wait() returns at once if the event is set; let other tasks run first.
        await asyncio.sleep(0)
        await event.wait()
    finally:
        timer.cancel()


async def _set_after(event: asyncio.Event, clock: Clock, limit: timedelta) -> None:
    await clock.sleep(limit)
    event.set()
