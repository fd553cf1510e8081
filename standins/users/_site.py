"""A site with a store and backend servers, which records and checks all runs."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from cassiaweir.dispatch import EndKind, StartOrder, TaskEnd
from cassiaweir.jobs import JobSpec, StepSpec
from cassiaweir.types import NO_RESOURCES, Resources, Write
from standins.users._rows import MemoryStore
from standins.users._servers import FakeRun, FakeServer


@dataclass
class RunRecord:
    """Where and when a run was executed; times are of the event loop's clock.

    `ended_at` is None until the run ends.  `how` is None until then as well, and stays
    None if the server crashed.
    """

    task: str
    number: int
    server: str
    began_at: float
    ended_at: float | None = None
    how: EndKind | None = None


@dataclass(frozen=True)
class Deadly:
    """How a task crashes each server that starts it.

    The server crashes `after_s` after the start and is back `back_after_s` later, under
    another id if `new_id` is set.
    """

    after_s: float = 0.15
    back_after_s: float = 2.0
    new_id: bool = False


MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
"""How often a deadly task may be started after `MAX_CRASHES` servers crashed."""

ENTRY_LIFETIME_S = 3.0
"""The entry of a server that is down is removed after this time."""


EVACUATION_S = 5.0
"""From this time after a request on, no task may start in an evacuated domain."""


class Site:
    """A store and backend servers, with a history of all runs.

    `faults` describes each breach of a guarantee that was seen: a task running twice,
    a task started again after it was done and its end acknowledged, then or later,
    unless the server's lease ended between the two, an overcommitted server, a
    deadly task started too often, a customer above its cap, or a task started in an
    evacuated domain.  The latter is allowed until `evacuation_s` after the request.
    `caps` holds what each customer may have running; 0 means no limit.  `deadly` holds
    the tasks that crash their servers, by the beginning of the task's name.  `rates`
    gives the rate of a kind of task while one of another kind runs on the same server,
    where it is not the full rate.
    Servers are spread over the failure `domains` in turn.  `specs` holds the job spec
    of each submitted job by its id.
    """

    def __init__(self, servers: int, domains: Sequence[str] = ("augusta",)) -> None:
        self.store = MemoryStore()
        self.history: list[RunRecord] = []
        self._history_by_task: defaultdict[str, list[RunRecord]] = defaultdict(list)
        self.faults: list[str] = []
        self.specs: dict[str, JobSpec] = {}
        self.deadly: dict[str, Deadly] = {}
        self.caps: dict[str, Resources] = {}
        self.evacuation_s = EVACUATION_S
        self._evacuated_at: dict[str, float] = {}
        self.rates: dict[tuple[str, str], float] = {}
        self._running: dict[tuple[str, str, int], RunRecord] = {}
        self._running_by_task: dict[str, list[RunRecord]] = {}
        self._acknowledged_at: dict[str, float] = {}
        self._delayed_tasks: set[asyncio.Task[None]] = set()
        self.servers: dict[str, FakeServer] = {}
        for number in range(servers):
            domain = domains[number % len(domains)]
            server = FakeServer(f"i-{number}", self, f"r1-{number // 4}", domain)
            self.servers[server.entry.server_id] = server
            self.register(server)

    def register(self, server: FakeServer) -> None:
        """Write the server's entry into the store."""
        key = f"servers//{server.entry.server_id}"
        self.store.apply([], [Write(key, msgspec.json.encode(server.entry))])

    def unregister(self, server: FakeServer) -> None:
        """Remove the server's entry from the store."""
        key = f"servers//{server.entry.server_id}"
        self.store.apply([], [Write(key, None)])

    def evacuate(self, domain: str) -> None:
        """Request the evacuation of a failure domain."""
        self.store.apply([], [Write(f"op//evacuate/{domain}", b"")])
        self._evacuated_at[domain] = asyncio.get_running_loop().time()

    def give_back(self, domain: str) -> None:
        """Withdraw the request to evacuate a failure domain."""
        self.store.apply([], [Write(f"op//evacuate/{domain}", None)])
        del self._evacuated_at[domain]

    def call_later(self, delay_s: float, action: object) -> None:
        """Call `action` after `delay_s` seconds."""

        async def wait() -> None:
            await asyncio.sleep(delay_s)
            action()  # type: ignore[operator]

        task = asyncio.create_task(wait())
        self._delayed_tasks.add(task)
        task.add_done_callback(self._delayed_tasks.discard)

    def record_start(self, server: FakeServer, order: StartOrder) -> None:
        """Start a run on `server`, and record a fault if it is not allowed to run."""
        for each in self.servers.values():
            each.apply_due_events()
        now = asyncio.get_running_loop().time()
        spec = self.specs[order.task.partition(".")[0]]
        step = self._step_of(order.task)
        seconds, _, how = order.spec.partition("/")
        kind = EndKind.FAILED if server.failing else EndKind(how)
        run = FakeRun(
            order.task,
            order.run,
            step.demand,
            now,
            now + float(seconds) * server.slowdown() / server.speed,
            kind,
            f"{spec.queue.name}/{step.image}" if step.image else spec.queue.name,
        )
        requested_at = self._evacuated_at.get(server.entry.failure_domain, now)
        if now > requested_at + self.evacuation_s:
            self.faults.append(f"started in an evacuated domain: {order.task}")
        for other in self._running_by_task.get(order.task, ()):
            self.faults.append(f"run twice: {order.task} still runs on {other.server}")
        if (
            order.task in self._acknowledged_at
            and now > self._acknowledged_at[order.task]
        ):
            self.faults.append(
                f"started again after its end was acknowledged: {order.task}"
            )
        used = server.used + run.demand
        if not used.fits(server.counted_capacity):
            self.faults.append(
                f"overcommitted: {order.task} does not fit on {server.entry.server_id}"
            )
        self._check_cap(spec.customer, run)
        server.runs[order.task, order.run] = run
        server.update_rates()
        started = RunRecord(order.task, order.run, server.entry.server_id, now)
        self._check_crashes(order.task)
        self.history.append(started)
        self._history_by_task[order.task].append(started)
        self._crash_if_deadly(server, order.task)
        self._running[server.entry.server_id, order.task, order.run] = started
        self._running_by_task.setdefault(order.task, []).append(started)

    def usage_of(self, customer: str) -> Resources:
        """Return what all runs of a customer take now."""
        runs = (
            run
            for server in self.servers.values()
            for run in server.runs.values()
            if self.specs[run.task.partition(".")[0]].customer == customer
        )
        return sum((run.demand for run in runs), NO_RESOURCES)

    def cap_of(self, customer: str) -> Resources | None:
        """Return what a customer may have running, None if that is not checked."""
        return self.caps.get(customer)

    def _check_cap(self, customer: str, run: FakeRun) -> None:
        """Record a fault if a run that is about to start is beyond its customer's cap.

        What is being stopped still counts.
        """
        cap = self.cap_of(customer)
        if cap is None or cap == NO_RESOURCES:
            return
        used = self.usage_of(customer) + run.demand
        for taken, limit in (
            (used.cpu_millis, cap.cpu_millis),
            (used.memory_mb, cap.memory_mb),
            (used.accelerators, cap.accelerators),
        ):
            if limit and taken > limit:
                self.faults.append(
                    f"above the cap: {customer} has {taken} of {limit} running "
                    f"with {run.task}"
                )

    def crashes_of(self, task: str) -> list[RunRecord]:
        """Return the runs of `task` that ended with a crash of their server."""
        return [
            run
            for run in self.history
            if run.task == task and run.ended_at is not None and run.how is None
        ]

    def _check_crashes(self, task: str) -> None:
        """Record a fault if a deadly task is started too often, before the start."""
        if self._deadly(task) is None:
            return
        crashes = self.crashes_of(task)
        if len(crashes) < MAX_CRASHES:
            return
        third = sorted(run.ended_at or 0.0 for run in crashes)[MAX_CRASHES - 1]
        later = [
            run for run in self.history if run.task == task and run.began_at > third
        ]
        if len(later) >= MAX_STARTS_AFTER_CRASHES:
            self.faults.append(f"started after {len(crashes)} crashes: {task}")

    def _deadly(self, task: str) -> Deadly | None:
        found = [each for name, each in self.deadly.items() if task.startswith(name)]
        return found[0] if found else None

    def _crash_if_deadly(self, server: FakeServer, task: str) -> None:
        deadly = self._deadly(task)
        if deadly is None:
            return
        born = server.entry.born

        def crash() -> None:
            server.apply_due_events()
            alive = server.up and server.entry.born == born
            if alive and any(name == task for name, _ in server.runs):
                self.crash_for(server, deadly.back_after_s, new_id=deadly.new_id)

        self.call_later(deadly.after_s, crash)

    def crash_for(
        self, server: FakeServer, seconds: float, *, new_id: bool = False
    ) -> None:
        """Crash a server that is back later, under another id if `new_id` is set."""
        server.crash()
        born = server.entry.born
        self.call_later(
            seconds, lambda: self.replace(server) if new_id else server.restart()
        )

        def expire() -> None:
            if not server.up and server.entry.born == born:
                self.unregister(server)

        self.call_later(ENTRY_LIFETIME_S, expire)

    def replace(self, server: FakeServer) -> None:
        """Start the next lifetime of a crashed server under another id."""
        number = len(self.servers)
        entry = server.entry
        successor = FakeServer(
            f"i-{number}", self, entry.rack, entry.failure_domain, address=entry.address
        )
        server.successor = successor
        self.servers[successor.entry.server_id] = successor
        self.register(successor)

    def record_end(self, server: FakeServer, run: FakeRun, how: EndKind | None) -> None:
        """Record the end of a run; `how` is None after a crash of the server."""
        key = (server.entry.server_id, run.task, run.number)
        started = self._running.pop(key)
        self._running_by_task[run.task].remove(started)
        started.ended_at = run.ended_at
        started.how = how

    def record_acknowledged(
        self, server: FakeServer, end: TaskEnd, *, lapsed: bool = False
    ) -> None:
        """Record that an end of a server is acknowledged and no longer reported.

        It does not matter whether the acknowledgement was meant for this end.  `lapsed`
        means that the server's lease ended between the two, so that earlier starts on
        other servers were justified.
        """
        if end.kind is not EndKind.DONE or self._step_of(end.task).long_running:
            return
        if lapsed:
            now = asyncio.get_running_loop().time()
            self._acknowledged_at.setdefault(end.task, now)
            return
        ended_at = max(
            run.ended_at or 0.0
            for run in self._history_by_task[end.task]
            if (run.server, run.number) == (server.entry.server_id, end.run)
            and run.how is EndKind.DONE
        )
        # A start after the end is a fault, whether before the acknowledgement or after.
        noted_at = self._acknowledged_at.get(end.task, ended_at)
        self._acknowledged_at[end.task] = min(noted_at, ended_at)
        for run in self._history_by_task[end.task]:
            if run.began_at > ended_at:
                self.faults.append(
                    f"started again after it was done: {end.task}, whose end was "
                    "acknowledged later"
                )

    def task_is_done(self, task: str) -> bool:
        """Return whether a run of a task has ended `done`."""
        return any(run.how is EndKind.DONE for run in self._history_by_task[task])

    def _step_of(self, task: str) -> StepSpec:
        job_id, _, number, _ = task.split(".")
        return self.specs[job_id].steps[int(number)]

    def starts_of(self, job_id: str) -> list[RunRecord]:
        """Return the runs of a job, in order of start."""
        return [each for each in self.history if each.task.startswith(job_id)]
