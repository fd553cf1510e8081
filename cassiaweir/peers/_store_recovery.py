"""Notices at once when a silent store answers again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from cassiaweir.exceptions import UnavailableError
from cassiaweir.types import Clock

PING_EVERY = timedelta(milliseconds=250)
PING_TIMEOUT = timedelta(seconds=1)
"""Several pings are under way at once, as one sent too early may never be answered."""


class Ping(Protocol):
    """Asks the store for little."""

    async def ping(self, timeout: timedelta) -> bool:
        """Tell whether the store serves this machine, or raise `UnavailableError`."""


class StoreRecoveryMonitor:
    """Pings the store from `watch` until it answers, then calls `on_return` once.

    `on_return` gets the time, on `clock`, when the answered ping was sent: what was
    sent before that and has no answer yet will hardly get one.
    """

    def __init__(
        self, store: Ping, clock: Clock, on_return: Callable[[float], None]
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_return = on_return
        self._task: asyncio.Task[None] | None = None

    def watch(self) -> None:
        """Begin to ping, unless that is under way."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the pings."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        pings: set[asyncio.Task[float | None]] = set()
        try:
            while True:
                pings.add(asyncio.create_task(self._ping()))
                await self._clock.sleep(PING_EVERY)
                done = {each for each in pings if each.done()}
                pings -= done
                answered = [
                    sent for each in done if (sent := each.result()) is not None
                ]
                if answered:
                    self._on_return(max(answered))
                    return
        finally:
            for each in pings:
                each.cancel()

    async def _ping(self) -> float | None:
        """Return when a ping was sent that got an answer, else None."""
        sent_at = self._clock.monotonic()
        try:
            served = await self._store.ping(PING_TIMEOUT)
        except UnavailableError:
            return None  # The outage was logged when it began.
        return sent_at if served else None
