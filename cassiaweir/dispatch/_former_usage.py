"""Estimates what each customer's former runs take on servers out of reach.

After a takeover, a server that has not answered may still run what a former leader
started there.  These runs count against their customer's cap until the server answers
or its last lease has expired.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from functools import reduce

import msgspec
from loguru import logger

from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_errors import JobAction
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._task_selection import TaskSelection
from cassiaweir.jobs import Job, JobState, Task, TaskState
from cassiaweir.types import NO_RESOURCES, Clock, Resources

RECOUNT_INTERVAL_S = 0.1
"""The runs are counted again after this time, as that takes time for many jobs."""

LOG_INTERVAL_S = 1.0
MAX_LOGGED = 12
"""At most this many customers are named in a line, those with most CPU."""


class FormerUsage:
    """Counts the resources that runs of former leaders may take, by customer.

    A restricted row of a server names its tasks.  Where a row is open, any task of a
    job from before the takeover may run, up to the capacity of such servers.  That
    includes jobs that have ended since, or had ended by then.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        gate: TakeoverGate,
        servers: Mapping[str, Server],
        clock: Clock,
    ) -> None:
        self._jobs = jobs
        self._gate = gate
        self._servers = servers
        self._clock = clock
        self._counted_at = -math.inf
        self._logged_at = -math.inf
        self._by_customer: dict[str, Resources] = {}

    def of(self, customer: str) -> Resources:
        """Return what runs of `customer` may take on servers out of reach."""
        if self._gate.is_open:
            return NO_RESOURCES
        now = self._clock.monotonic()
        if now - self._counted_at >= RECOUNT_INTERVAL_S:
            self._counted_at = now
            self._by_customer = self._count(now)
        return self._by_customer.get(customer, NO_RESOURCES)

    def _count(self, now: float) -> dict[str, Resources]:
        named: dict[str, Resources] = {}
        self._add_named(named)
        unnamed: dict[str, Resources] = {}
        if self._gate.open_servers:
            self._add_unnamed(unnamed)
        self._log(named, unnamed, now)
        found = dict(named)
        for customer, demand in unnamed.items():
            _add(found, customer, demand)
        return found

    def _log(
        self,
        named: Mapping[str, Resources],
        unnamed: Mapping[str, Resources],
        now: float,
    ) -> None:
        """Log the count regularly while there is one."""
        if now - self._logged_at < LOG_INTERVAL_S or not (named or unnamed):
            return
        self._logged_at = now
        logger.info(
            "former_runs_counted",
            named=_cpu_text(named),
            unnamed=_cpu_text(unnamed),
            servers=len(self._gate.unsettled_servers),
            open_servers=len(self._gate.open_servers),
        )

    def _add_named(self, found: dict[str, Resources]) -> None:
        for name in self._gate.named_tasks:
            job_id = name.partition(".")[0]
            with self._jobs.errors.contained(job_id, JobAction.FORMER_USAGE):
                task = self._jobs.find_task(name)
                if task is not None and _may_run(task):
                    _add(found, task.step.job.spec.customer, task.step.demand)

    def _add_unnamed(self, found: dict[str, Resources]) -> None:
        capacity = self._open_capacity()
        wall = self._clock.now().timestamp()
        unnamed: dict[str, Resources] = {}
        for entry in self._jobs.held_jobs():
            job_id = entry.job.job_id
            with self._jobs.errors.contained(job_id, JobAction.FORMER_USAGE):
                self._add_unnamed_of(entry.job, unnamed, wall)
        for customer, demand in unnamed.items():
            bounded = demand if capacity is None else _minimum(demand, capacity)
            _add(found, customer, bounded)

    def _add_unnamed_of(
        self, job: Job, found: dict[str, Resources], wall: float
    ) -> None:
        """Add what runs of a job may take where the former leader did not name them."""
        if job.state is JobState.DONE:
            return
        # The former leader may know of ends that make further steps startable.
        for step in job.steps.values():
            named = self._gate.named_indexes(step.name)
            count = len(TaskSelection(step, named))
            if count:
                _add(found, job.spec.customer, step.demand * count)
        _add_overdue(found, job, wall)

    def _open_capacity(self) -> Resources | None:
        """Return the capacity of the servers with open rows, None if unknown."""
        total = NO_RESOURCES
        for server_id in self._gate.open_servers:
            capacity = self._capacity_of(server_id)
            if capacity is None:
                return None
            total = total + capacity
        return total

    def _capacity_of(self, server_id: str) -> Resources | None:
        """Return the most that a server may have had room for, None if unknown.

        Its entry may be gone, or its capacity may have changed since the row of the
        server was written.
        """
        server = self._servers.get(server_id)
        known = [
            self._gate.capacity_of(server_id),
            server.entry.capacity if server is not None else None,
        ]
        found = [each for each in known if each is not None]
        return reduce(_maximum, found) if found else None


def _may_run(task: Task) -> bool:
    """Return whether a task of a job from before the takeover may run out of reach.

    A task that is placed is known to run elsewhere.  Jobs that were cancelled or have
    failed may have runs, those that are done have none.
    """
    waits = task.state is TaskState.WAITING
    return waits and task.step.job.state is not JobState.DONE


def _add_overdue(found: dict[str, Resources], job: Job, wall: float) -> None:
    """Add occurrences that a former leader may have opened, and this one has not."""
    overdue = job.count_overdue(wall) if job.spec.times else 0
    if overdue:
        for spec in job.spec.steps:
            _add(found, job.spec.customer, spec.demand * (spec.count * overdue))


def _add(found: dict[str, Resources], customer: str, demand: Resources) -> None:
    found[customer] = found.get(customer, NO_RESOURCES) + demand


def _cpu_text(found: Mapping[str, Resources]) -> str:
    """Return the CPU of the largest customers in thousandths of a core, as JSON."""
    cpu = Counter({name: demand.cpu_millis for name, demand in found.items()})
    return msgspec.json.encode(dict(cpu.most_common(MAX_LOGGED))).decode()


def _maximum(one: Resources, other: Resources) -> Resources:
    return Resources(
        max(one.cpu_millis, other.cpu_millis),
        max(one.memory_mb, other.memory_mb),
        max(one.accelerators, other.accelerators),
    )


def _minimum(one: Resources, other: Resources) -> Resources:
    return Resources(
        min(one.cpu_millis, other.cpu_millis),
        min(one.memory_mb, other.memory_mb),
        min(one.accelerators, other.accelerators),
    )
