"""The asyncio tasks of one term of a leader."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

from loguru import logger


class TermTasks:
    """Runs coroutines in the background; logs those that fail."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` in the background until it ends or the term does."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        await cancel_all(self._tasks)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("dispatcher_coroutine_failed")


async def cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel `tasks` and wait until they have ended."""
    found = list(tasks)
    for task in found:
        task.cancel()
    await asyncio.gather(*found, return_exceptions=True)
