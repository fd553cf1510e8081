"""A site with a store and backend servers, which records and checks all runs."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from cassiaweir.dispatch import EndKind, StartOrder
from cassiaweir.jobs import JobSpec
from cassiaweir.types import Write
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


class Site:
    """A store and backend servers, with a history of all runs.

    `faults` describes each breach of a guarantee that was seen: a task running twice,
    a task started again after its end was acknowledged, or an overcommitted server.
    Servers are spread over the failure `domains` in turn.  `specs` holds the job spec
    of each submitted job by its id.
    """

    def __init__(self, servers: int, domains: Sequence[str] = ("augusta",)) -> None:
        self.store = MemoryStore()
        self.history: list[RunRecord] = []
        self.faults: list[str] = []
        self.specs: dict[str, JobSpec] = {}
        self._running: dict[tuple[str, str, int], RunRecord] = {}
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
        job_id, _, number, _ = order.task.split(".")
        spec = self.specs[job_id]
        step = spec.steps[int(number)]
        seconds, _, how = order.spec.partition("/")
        kind = EndKind.FAILED if server.failing else EndKind(how)
        run = FakeRun(
            order.task, order.run, step.demand, now, now + float(seconds), kind
        )
        for other in self._running.values():
            if other.task == order.task:
                self.faults.append(
                    f"run twice: {order.task} still runs on {other.server}"
                )
        if (
            order.task in self._acknowledged_at
            and now > self._acknowledged_at[order.task]
        ):
            self.faults.append(
                f"started again after its end was acknowledged: {order.task}"
            )
        used = sum((each.demand for each in server.runs.values()), run.demand)
        if not used.fits(server.entry.capacity):
            self.faults.append(
                f"overcommitted: {order.task} does not fit on {server.entry.server_id}"
            )
        server.runs[order.task, order.run] = run
        started = RunRecord(order.task, order.run, server.entry.server_id, now)
        self.history.append(started)
        self._running[server.entry.server_id, order.task, order.run] = started

    def record_end(self, server: FakeServer, run: FakeRun, how: EndKind | None) -> None:
        """Record the end of a run; `how` is None after a crash of the server."""
        key = (server.entry.server_id, run.task, run.number)
        started = self._running.pop(key)
        started.ended_at = asyncio.get_running_loop().time()
        started.how = how

    def record_acknowledged(self, server: FakeServer, number: int) -> None:
        """Record that ends up to `number` are acknowledged and no longer reported."""
        now = asyncio.get_running_loop().time()
        for end in server.ends:
            if end.number <= number and end.kind is EndKind.DONE:
                self._acknowledged_at.setdefault(end.task, now)

    def starts_of(self, job_id: str) -> list[RunRecord]:
        """Return the runs of a job, in order of start."""
        return [each for each in self.history if each.task.startswith(job_id)]
