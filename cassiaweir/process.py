"""The life of one process: event loop, components, signals and graceful stop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections.abc import Callable, Sequence
from typing import Protocol

# uvloop reads this when the first loop is made; the platform forbids io_uring.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop

from cassiaweir.observe import EventLog

COLLECTOR_THRESHOLDS = (2_000, 20, 1_000)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Component(Protocol):
    """A part of a process that is started once and stopped once."""

    async def start(self) -> None:
        """Begin to work; what follows may rely on it."""

    async def stop(self) -> None:
        """Stop gracefully: refuse new work, finish what is in flight, give up leases.

        It is cancelled when a second signal asks to hurry.
        """


class Process:
    """Starts components in order and stops them in reverse on a signal.

    `on_stopping` is called before the first component is stopped, `on_reload` when
    SIGHUP says that the settings have changed.
    """

    def __init__(
        self,
        components: Sequence[Component],
        events: EventLog,
        *,
        on_stopping: Callable[[], None] = lambda: None,
        on_reload: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_reload_hook = on_reload
        self._components = components
        self._events = events
        self._on_stopping = on_stopping
        self._signals = 0
        self._stopping = asyncio.Event()
        self._hurried = asyncio.Event()

    async def run(self) -> None:
        """Run until a signal asks to stop."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._on_signal)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        for component in self._components:
            await component.start()
        _collect_rarely()
        self._events.record("process_started", pid=os.getpid())
        await self._stopping.wait()
        self._events.record("process_stopping")
        self._on_stopping()
        await self._stop_or_hurry()
        self._events.record("process_stopped")

    def _on_signal(self) -> None:
        self._signals += 1
        self._stopping.set()
        if self._signals > 1:
            self._hurried.set()

    def _on_reload(self) -> None:
        self._events.record("process_reloading")
        self._on_reload_hook()

    async def _stop_or_hurry(self) -> None:
        stop = asyncio.create_task(self._stop_all())
        hurry = asyncio.create_task(self._hurried.wait())
        await asyncio.wait((stop, hurry), return_when=asyncio.FIRST_COMPLETED)
        hurry.cancel()
        if not stop.done():
            stop.cancel()
        await asyncio.gather(stop, hurry, return_exceptions=True)

    async def _stop_all(self) -> None:
        for component in reversed(self._components):
            await component.stop()


def _collect_rarely() -> None:
    """Keep the cyclic collector from looking at long-lived objects again and again.

    A full collection over the records of thousands of tasks delays a decision by
    milliseconds, while few objects of this program are in cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def run_process(build: Callable[[], Process]) -> None:
    """Build a process inside a uvloop event loop and run it to its end."""

    async def body() -> None:
        await build().run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(body())
