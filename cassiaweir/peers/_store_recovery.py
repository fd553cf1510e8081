"""Detects when a store that stopped answering has recovered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from cassiaweir.exceptions import UnavailableError
from cassiaweir.types import Clock

PING_INTERVAL = timedelta(milliseconds=250)
PING_TIMEOUT = timedelta(seconds=1)
"""Longer than the interval, so that pings overlap.

A ping that was sent during the outage may never be answered.
"""


class StorePing(Protocol):
    """Checks the store with a cheap request."""

    async def ping(self, timeout: timedelta) -> bool:
        """Return whether the store serves this VM, or raise `UnavailableError`."""


class StoreRecoveryMonitor:
    """Once `watch` is called, pings the store until it answers, then stops.

    `on_recovery` is called with the time, on `clock`, when the newest answered ping was
    sent.  Calls sent before that and still without an answer are unlikely to get one.
    """

    def __init__(
        self, store: StorePing, clock: Clock, on_recovery: Callable[[float], None]
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_recovery = on_recovery
        self._task: asyncio.Task[None] | None = None

    def watch(self) -> None:
        """Begin to ping the store, unless it is being pinged already."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Cancel all pings."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        pings: set[asyncio.Task[float | None]] = set()
        try:
            while True:
                pings.add(asyncio.create_task(self._ping()))
                await self._clock.sleep(PING_INTERVAL)
                done = {ping for ping in pings if ping.done()}
                pings -= done
                answered = [
                    sent_at for ping in done if (sent_at := ping.result()) is not None
                ]
                if answered:
                    self._on_recovery(max(answered))
                    return
        finally:
            for ping in pings:
                ping.cancel()

    async def _ping(self) -> float | None:
        """Return when the ping was sent if the store serves this VM, else None."""
        sent_at = self._clock.monotonic()
        try:
            serves = await self._store.ping(PING_TIMEOUT)
        except UnavailableError:
            return None  # The outage was logged when it began.
        return sent_at if serves else None
