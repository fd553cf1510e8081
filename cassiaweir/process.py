"""Runs a process: event loop, components, signals and graceful stop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections.abc import Callable, Sequence
from typing import Protocol

# The platform forbids io_uring.  uvloop reads the variable when it creates its first
# event loop.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop

from cassiaweir.observe import EventLog

# Arguments of gc.set_threshold(), for generations 0, 1 and 2.
GC_THRESHOLDS = (2_000, 20, 1_000)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Component(Protocol):
    """A part of a process that is started once and stopped once."""

    async def start(self) -> None:
        """Start working; components that are started later may depend on this one."""

    async def stop(self) -> None:
        """Refuse new work, finish the work in flight, and release leases.

        It is cancelled when a second stop signal arrives.
        """


class Process:
    """Starts components in order, and stops them in reverse order on a signal.

    SIGTERM and SIGINT are the stop signals; a second one cancels the graceful stop.
    `on_stopping` is called before the first component is stopped, and `on_reload` on
    SIGHUP, which announces that the settings have changed.
    """

    def __init__(
        self,
        components: Sequence[Component],
        events: EventLog,
        *,
        on_stopping: Callable[[], None] = lambda: None,
        on_reload: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_reload = on_reload
        self._components = components
        self._events = events
        self._on_stopping = on_stopping
        self._stop_signals_received = 0
        self._stopping = asyncio.Event()
        self._forced_stop = asyncio.Event()

    async def run(self) -> None:
        """Run until a stop signal arrives and the components have stopped."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._handle_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._handle_reload_signal)
        for component in self._components:
            await component.start()
        _reduce_garbage_collection()
        self._events.record("process_started", pid=os.getpid())
        await self._stopping.wait()
        self._events.record("process_stopping")
        self._on_stopping()
        await self._stop_until_forced()
        self._events.record("process_stopped")

    def _handle_stop_signal(self) -> None:
        self._stop_signals_received += 1
        self._stopping.set()
        if self._stop_signals_received > 1:
            self._forced_stop.set()

    def _handle_reload_signal(self) -> None:
        self._events.record("process_reloading")
        self._on_reload()

    async def _stop_until_forced(self) -> None:
        stop = asyncio.create_task(self._stop_all())
        forced = asyncio.create_task(self._forced_stop.wait())
        await asyncio.wait((stop, forced), return_when=asyncio.FIRST_COMPLETED)
        forced.cancel()
        if not stop.done():
            stop.cancel()
        await asyncio.gather(stop, forced, return_exceptions=True)

    async def _stop_all(self) -> None:
        for component in reversed(self._components):
            await component.stop()


def _reduce_garbage_collection() -> None:
    """Exclude the objects that exist now from garbage collection, and collect rarely.

    A full collection over the records of thousands of tasks delays a decision by
    milliseconds, while few objects of this program are in reference cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def run_process(build: Callable[[], Process]) -> None:
    """Build a process in a uvloop event loop and run it until it stops."""

    async def build_and_run() -> None:
        await build().run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(build_and_run())
