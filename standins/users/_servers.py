"""Simulated backend servers that check leases and epochs and run tasks by the clock."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiaweir.dispatch import (
    EndKind,
    OrderOutcome,
    RunningTask,
    ServerEntry,
    ServerReport,
    StartOrder,
    TaskEnd,
)
from cassiaweir.exceptions import FencedError
from cassiaweir.types import Resources

if TYPE_CHECKING:
    from standins.users._site import Site

SERVICE = "inventory"
SERVER_SIZE = Resources(16_000, 65_536)
MAX_LEASE_MS = 6_000
CLOCK_START_MS = 1_000_000
STOP_DURATION_S = 0.1
COLD_SLOWDOWN = 3.0
MAX_LISTED_ENDS = 500
"""A report lists at most this many ends that are not acknowledged, the oldest ones."""


@dataclass
class FakeRun:
    """A run on a fake server; times are of the event loop's clock.

    `ends_at` and `how`, the end that it comes to, follow from the task spec.  A run
    that has been asked to stop ends at `stopping_at`.  `kind` is its queue, and its
    image where it has one.  It has worked at `rate` since `rate_since`, and had done
    `done_s` of its `work_s` seconds of work by then.  `ended_at` is None until it ends.
    """

    task: str
    number: int
    demand: Resources
    began_at: float
    ends_at: float
    how: EndKind
    kind: str = ""
    stopping_at: float | None = None
    rate: float = 1.0
    rate_since: float = field(init=False)
    work_s: float = field(init=False)
    done_s: float = 0.0
    ended_at: float | None = None

    def __post_init__(self) -> None:
        self.rate_since = self.began_at
        self.work_s = self.ends_at - self.began_at

    @property
    def key(self) -> tuple[str, int]:
        """The task and the number of the run."""
        return self.task, self.number

    def next_end(self, lapses_at: float) -> tuple[float, EndKind]:
        """Return when and how the run ends if its lease ends at `lapses_at`."""
        ends = [(self.ends_at, self.how), (lapses_at, EndKind.LEASE_EXPIRED)]
        if self.stopping_at is not None:
            ends.insert(0, (self.stopping_at, EndKind.STOPPED))
        return min(ends, key=lambda each: each[0])

    def done_at(self, now: float) -> float:
        """Return the seconds of work that are done at `now`."""
        return self.done_s + (now - self.rate_since) * self.rate

    def set_rate(self, rate: float, now: float) -> None:
        """Work at another rate from `now` on."""
        if rate != self.rate:
            self.done_s, self.rate_since = self.done_at(now), now
            self.rate = rate
            self.ends_at = now + max(self.work_s - self.done_s, 0.0) / rate


class FakeServer:
    """A backend server that checks leases and epochs but not its capacity.

    `highest_barred_runs` maps a task to its highest run that may not start any more.
    While `failing` is set, each new run ends as failed.  New runs take the time in
    their task spec divided by `speed`, and write a checkpoint every `checkpoint_s`
    seconds, unless that is 0.  `refuses` is whether its
    address refuses connections while it is down or cut off, rather than staying silent.
    A delayed report looks for ends every `poll_s` seconds.
    `counted_capacity` is the room that starts are held against.  `successor` is the
    server that runs at its address after a crash, if its id is new.  While it is cold,
    new runs take `COLD_SLOWDOWN` times as long.  `on_restart` is called, and emptied,
    when its next lifetime has begun.  `answered_epoch` is the highest epoch of a call
    that the present lifetime has answered, 0 before the first one.
    """

    def __init__(
        self,
        server_id: str,
        site: Site,
        rack: str,
        failure_domain: str = "augusta",
        *,
        address: str = "",
    ) -> None:
        self.entry = ServerEntry(
            server_id, address or f"{server_id}:1", SERVICE, failure_domain,
            SERVER_SIZE, frozenset({"a", rack}), rack, born=1,
        )  # fmt: skip
        self.site = site
        self.counted_capacity = self.entry.capacity
        self.runs: dict[tuple[str, int], FakeRun] = {}
        self.ends: list[TaskEnd] = []
        self.highest_barred_runs: dict[str, int] = {}
        self.epoch = 0
        self.until_ms = 0
        self.up = True
        self.failing = False
        self.checkpoint_s = 0.0
        self.speed = 1.0
        self.refuses = False
        self.poll_s = 0.01
        self.successor: FakeServer | None = None
        self.on_restart: list[Callable[[], None]] = []
        self.answered_epoch = 0
        self._end_numbers = itertools.count(1)
        self._acknowledged = 0
        self._lapsed_ends: set[int] = set()
        self._started_at = 0.0
        self._cold_until = 0.0
        self._end_event = asyncio.Event()

    @property
    def used(self) -> Resources:
        """The resources that all runs take."""
        demands = [run.demand for run in self.runs.values()]
        return Resources(
            sum(each.cpu_millis for each in demands),
            sum(each.memory_mb for each in demands),
            sum(each.accelerators for each in demands),
        )

    def newest(self) -> FakeServer:
        """Return the server that was the last to run at this address."""
        return self if self.successor is None else self.successor.newest()

    def clock_ms(self) -> int:
        """Return the server's clock in milliseconds; each lifetime begins anew."""
        running_s = asyncio.get_running_loop().time() - self._started_at
        return CLOCK_START_MS + round(running_s * 1_000)

    def apply_due_events(self) -> None:
        """End the runs that finished, stopped or lost their lease by now.

        Each end has the time at which it was due, however late that is noticed.
        """
        now = asyncio.get_running_loop().time()
        lapses_at = self._lapses_at(now)
        due = [(*run.next_end(lapses_at), run) for run in self.runs.values()]
        for ended_at, how, run in sorted(due, key=lambda each: each[0]):
            if ended_at <= now:
                run.ended_at = ended_at
                self._end(run, how)
        if lapses_at <= now:
            self._lapsed_ends |= {end.number for end in self.ends}

    def _lapses_at(self, now: float) -> float:
        """Return when the lease ended, infinity if it is still in force."""
        if self.clock_ms() < self.until_ms:
            return math.inf
        ran_s = (self.until_ms - CLOCK_START_MS) / 1_000
        return min(self._started_at + ran_s, now)

    def update_rates(self) -> None:
        """Let each run work at the rate that its neighbours leave it."""
        if not self.site.rates:
            return
        now = asyncio.get_running_loop().time()
        for run in self.runs.values():
            beside = {each.kind for each in self.runs.values() if each is not run}
            rates = (self.site.rates.get((run.kind, other), 1.0) for other in beside)
            run.set_rate(math.prod(rates), now)

    def _end(self, run: FakeRun, how: EndKind) -> None:
        del self.runs[run.task, run.number]
        self.update_rates()
        self.highest_barred_runs[run.task] = max(
            self.highest_barred_runs.get(run.task, 0), run.number
        )
        saved = "" if how is EndKind.DONE else self._checkpoint(run)
        self.ends.append(
            TaskEnd(next(self._end_numbers), run.task, run.number, how, saved)
        )
        self.site.record_end(self, run, how)
        # An end whose number has been acknowledged before is never listed.
        self._forget_acknowledged()
        self._end_event.set()

    def crash(self) -> None:
        """Lose all runs and unacknowledged ends; stay down until `restart`."""
        self.apply_due_events()
        for run in self.runs.values():
            run.ended_at = asyncio.get_running_loop().time()
            self.site.record_end(self, run, None)
        self.runs.clear()
        self.ends.clear()
        self.up = False

    def restart(
        self,
        capacity: Resources | None = None,
        *,
        entry_delay_s: float = 0.0,
        registered: bool = True,
    ) -> None:
        """Start again under the same id, as a new lifetime without leases or epochs.

        The new lifetime may have another capacity.  Its entry reaches the store after
        `entry_delay_s`, or not until `Site.register` unless it is `registered`.
        """
        self.up = True
        self.highest_barred_runs.clear()
        self.epoch = 0
        self.until_ms = 0
        self.answered_epoch = 0
        self._end_numbers = itertools.count(1)
        self._acknowledged = 0
        self._lapsed_ends.clear()
        self._started_at = asyncio.get_running_loop().time()
        if capacity is None:
            capacity = self.entry.capacity
        self.entry = replace(self.entry, capacity=capacity, born=self.entry.born + 1)
        self.counted_capacity = capacity
        waiting, self.on_restart = self.on_restart, []
        for each in waiting:
            each()
        if not registered:
            return
        if entry_delay_s:
            self.site.call_later(entry_delay_s, lambda: self.site.register(self))
        else:
            self.site.register(self)

    def make_cold(self, seconds: float) -> None:
        """Be slow for `seconds`, and say so in the entry until then."""
        self._cold_until = asyncio.get_running_loop().time() + seconds
        self.entry = replace(self.entry, cold_left_s=seconds)
        self.site.register(self)

        def warm() -> None:
            self.entry = replace(self.entry, cold_left_s=0.0)
            self.site.register(self)

        self.site.call_later(seconds, warm)

    def slowdown(self) -> float:
        """Return how many times longer than usual a run takes that starts now."""
        cold = asyncio.get_running_loop().time() < self._cold_until
        return COLD_SLOWDOWN if cold else 1.0

    def resize(self, capacity: Resources, *, counted_after_s: float) -> None:
        """Change the capacity of a running server.

        The entry says so at once; starts are held against it after `counted_after_s`.
        """
        self.entry = replace(self.entry, capacity=capacity)
        self.site.register(self)
        born = self.entry.born

        def count() -> None:
            if self.entry.born == born:
                self.counted_capacity = self.entry.capacity

        self.site.call_later(counted_after_s, count)

    async def renew_lease(
        self, epoch: int, until_ms: int | None, acknowledged: int, wait_s: float
    ) -> ServerReport:
        """Extend the lease and report, waiting up to `wait_s` for an ended run.

        Ends up to the highest number acknowledged in this lifetime are forgotten, also
        those that come later.
        """
        self._take_renewal(epoch, until_ms, acknowledged)
        self.answered_epoch = max(self.answered_epoch, epoch)
        ends_at = asyncio.get_running_loop().time() + wait_s
        while not self.ends:
            left = ends_at - asyncio.get_running_loop().time()
            if left < 1e-6 or not self.up:
                break
            await asyncio.sleep(min(left, self.poll_s))
            self.apply_due_events()
            self._forget_acknowledged()
        running = [
            RunningTask(
                run.task, run.number, self._checkpoint(run), self._percent(run), 0.0
            )
            for run in self.runs.values()
        ]
        listed = self.ends[:MAX_LISTED_ENDS]
        complete = len(listed) < MAX_LISTED_ENDS
        return ServerReport(
            self.clock_ms(), self.entry.born, running, listed, ends_complete=complete
        )

    def renew_late(self, epoch: int, until_ms: int | None, acknowledged: int) -> None:
        """Carry out a delayed renewal, whose answer nobody gets, in any lifetime."""
        if not self.up:
            return
        with contextlib.suppress(FencedError):
            self._take_renewal(epoch, until_ms, acknowledged, late=True)

    def _take_renewal(
        self,
        epoch: int,
        until_ms: int | None,
        acknowledged: int,
        *,
        late: bool = False,
    ) -> None:
        self.apply_due_events()
        if epoch < self.epoch:
            raise FencedError(self.entry.server_id)
        self.epoch = epoch
        if until_ms is not None:
            self._extend(until_ms)
        self._acknowledged = max(self._acknowledged, acknowledged)
        self._forget_acknowledged(late=late)

    def _forget_acknowledged(self, *, late: bool = False) -> None:
        """Forget the ends up to the highest number acknowledged.

        An end is not noted by a `late` call if the lease ended between the two.
        """
        noted = [end for end in self.ends if end.number <= self._acknowledged]
        if not noted:
            return
        self.ends = [end for end in self.ends if end.number > self._acknowledged]
        for end in noted:
            lapsed = end.number in self._lapsed_ends
            if not (lapsed and late):
                self.site.record_acknowledged(self, end, lapsed=lapsed)

    def _checkpoint(self, run: FakeRun) -> str:
        """Return the newest checkpoint of a run, empty if it has none."""
        if not self.checkpoint_s:
            return ""
        now = asyncio.get_running_loop().time()
        ran_s = (now if run.ended_at is None else run.ended_at) - run.began_at
        written = int(ran_s / self.checkpoint_s)
        return f"{run.task}/{run.number}/{written}" if written else ""

    def _percent(self, run: FakeRun) -> int:
        now = asyncio.get_running_loop().time()
        return min(int(run.done_at(now) / run.work_s * 100), 100)

    def _extend(self, until_ms: int) -> None:
        latest_end_ms = self.clock_ms() + MAX_LEASE_MS
        self.until_ms = max(self.until_ms, min(until_ms, latest_end_ms))

    def start(self, order: StartOrder) -> OrderOutcome:
        """Start a run without checking whether it fits; the site checks that."""
        self.apply_due_events()
        if order.epoch < self.epoch:
            return OrderOutcome.FENCED
        self.epoch = order.epoch
        if (order.task, order.run) in self.runs:
            self._extend(order.until_ms)
            return OrderOutcome.ACCEPTED
        newest = max(
            (number for task, number in self.runs if task == order.task), default=0
        )
        if order.run <= max(self.highest_barred_runs.get(order.task, 0), newest):
            self._extend(order.until_ms)
            return OrderOutcome.OLD_RUN
        if order.until_ms <= self.clock_ms():
            return OrderOutcome.TOO_LATE
        self._extend(order.until_ms)
        self.site.record_start(self, order)
        return OrderOutcome.ACCEPTED

    def start_late(self, order: StartOrder) -> None:
        """Carry out a delayed order, whose answer nobody gets, in any lifetime."""
        if self.up:
            self.start(order)

    def stop_late(self, task: str, number: int, epoch: int) -> None:
        """Carry out a delayed stop in the same way."""
        if self.up:
            self.stop(task, number, epoch)

    def stop(self, task: str, number: int, epoch: int) -> OrderOutcome:
        """Stop a run and bar it, and older ones of its task, from starting."""
        self.apply_due_events()
        if epoch < self.epoch:
            return OrderOutcome.FENCED
        self.epoch = epoch
        self.highest_barred_runs[task] = max(
            self.highest_barred_runs.get(task, 0), number
        )
        run = self.runs.get((task, number))
        if run is not None and run.stopping_at is None:
            run.stopping_at = asyncio.get_running_loop().time() + STOP_DURATION_S
        return OrderOutcome.ACCEPTED
