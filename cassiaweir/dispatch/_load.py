"""Samples the waiting work and the servers for the load that entry VMs are told."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace

from cassiaweir.dispatch._customer_terms import ConfigurationSource
from cassiaweir.dispatch._job_errors import JobAction
from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.dispatch._objective import DeadlineStatus, deadline_status
from cassiaweir.dispatch._refusal_rows import Refusal
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.jobs import Job, Step
from cassiaweir.observe import Metrics
from cassiaweir.queues import Customer
from cassiaweir.scheduling import (
    PLACE_VALIDITY_S,
    BacklogMeter,
    Durations,
    LoadSnapshot,
    QueuePlan,
    ServerRoom,
    WaitingTasks,
    crowded_customers,
)
from cassiaweir.types import Clock

SAMPLE_INTERVAL_S = 0.2

MAX_SAMPLE_INTERVAL_S = 1.0
"""Samples are at most this far apart: nothing is refused by one that is much older."""

MAX_COST = 0.03
"""The share of a core that samples may take, up to that interval.

The cost of one grows with the number of waiting jobs.
"""

ServerFilter = Callable[[list[Server], float], list[Server]]
"""Returns those of the servers where tasks may be placed at a time."""


class LoadSampler:
    """Measures the load of one term, about every `SAMPLE_INTERVAL_S` if that is cheap.

    Of the servers that accept new runs, those that `usable` returns count.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        servers: Mapping[str, Server],
        usage: CustomerUsage,
        configuration: ConfigurationSource,
        clock: Clock,
        metrics: Metrics,
        epoch: int,
        durations: Durations | None = None,
        usable: ServerFilter = lambda servers, _: servers,
    ) -> None:
        self._jobs = jobs
        self._usable = usable
        self._servers = servers
        self._usage = usage
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._meter = BacklogMeter(epoch, durations)
        self._snapshot: LoadSnapshot | None = None
        self._next_at = -math.inf

    @property
    def snapshot(self) -> LoadSnapshot | None:
        """The newest load, None before the first sample."""
        return self._snapshot

    def record_job(self, entry: JobEntry) -> None:
        """Count an accepted job."""
        spec = entry.job.spec
        self._meter.record_job(spec.job_id, spec.customer, spec.submitted_at)

    def record_refusal(self, job_id: str, refusal: Refusal) -> None:
        """Count a refused submission, unless its place has lapsed."""
        if refusal.turn_at + PLACE_VALIDITY_S > self._clock.now().timestamp():
            self._meter.record_refusal(
                job_id, refusal.customer, refusal.at, refusal.turn_at
            )

    def sample(self, now: float) -> None:
        """Measure the load unless the last sample is too recent."""
        if now < self._next_at:
            return
        began = self._clock.monotonic()
        self._snapshot = self._measure(now)
        interval_s = (self._clock.monotonic() - began) / MAX_COST
        interval_s = max(interval_s, SAMPLE_INTERVAL_S)
        self._next_at = now + min(interval_s, MAX_SAMPLE_INTERVAL_S)
        for name, load in self._snapshot.queues.items():
            self._metrics.set("queue_wait_seconds", load.wait_s, queue=name)

    def _measure(self, now: float) -> LoadSnapshot:
        """Return the load at `now`."""
        current = self._configuration.current()
        customers = current.customers
        accepting = [
            each for each in self._servers.values() if each.accepts_new_runs(now)
        ]
        snapshot = self._meter.measure(
            now,
            self._clock.now().timestamp(),
            queues={
                each.name: QueuePlan(each.service, each.priority)
                for each in current.queues
            },
            servers=[
                ServerRoom(each.entry.service, each.entry.capacity, each.free)
                for each in self._usable(accepting, now)
            ],
            waiting=self._waiting(now),
            waiting_excess=Counter(
                each.job.spec.customer
                for each in self._jobs.open_jobs()
                if each.over_share and not each.job.started
            ),
            weight_of=lambda name: self._exhausted_weight(customers.get(name)),
        )
        return replace(
            snapshot,
            crowded=self._crowded(),
            pending=self._pending(each.name for each in current.queues),
        )

    def _pending(self, queues: Iterable[str]) -> dict[str, int]:
        """Return how many jobs of each of `queues` have not started."""
        counts = dict.fromkeys(queues, 0)
        for entry in self._jobs.open_jobs():
            queue = entry.job.spec.queue.name
            if not entry.job.started and queue in counts:
                counts[queue] += 1
        return counts

    def _crowded(self) -> frozenset[str]:
        """Return the customers of which no more jobs may be accepted now."""
        open_steps: Counter[str] = Counter()
        for entry in self._jobs.open_jobs():
            # A recurring job counts once, as what is open of it is bounded.
            open_steps[entry.job.spec.customer] += len(entry.job.spec.steps)
        return crowded_customers(open_steps)

    def _exhausted_weight(self, customer: Customer | None) -> float | None:
        """Return the weight of a customer that has used up its share for now."""
        if customer is None or self._jobs.has_share_left(customer):
            return None
        return customer.weight

    def _waiting(self, now: float) -> list[WaitingTasks]:
        """Return the waiting tasks of all open jobs, those of later steps as well."""
        found: list[WaitingTasks] = []
        self._jobs.visit_open(
            JobAction.LOAD, lambda entry: found.extend(self._waiting_of(entry, now))
        )
        return found

    def _waiting_of(self, entry: JobEntry, now: float) -> Iterator[WaitingTasks]:
        """Yield the waiting tasks of one job.

        Tasks that wait for the cap of their customer do not delay those of others.
        """
        steps = _waiting_steps(entry.job)
        if not steps:
            return
        queue = self._jobs.queue_of(entry.job)
        times = self._jobs.times_of(entry, queue, now)
        customer = self._jobs.customer_of(entry.job)
        first_steps: dict[int, Step] = {}
        for step, count, startable in steps:
            first = first_steps.setdefault(step.occurrence, step)
            objective = entry.objective.later_by(step.due_after_s)
            remaining_s = times.remaining_s[first.number]
            status = deadline_status(objective, remaining_s, now)
            within_cap = self._usage.count_within_cap(customer, step.demand, count)
            if not within_cap:
                continue
            yield WaitingTasks(
                entry.job.spec.queue.name,
                step.demand,
                within_cap,
                step.spec.duration_s,
                startable=startable,
                on_time=status is DeadlineStatus.ON_TIME,
                late=status is DeadlineStatus.LATE,
                over_share=entry.over_share,
                starts_in_s=objective.due_at - remaining_s - now,
            )


def _waiting_steps(job: Job) -> list[tuple[Step, int, bool]]:
    """Return each step with waiting tasks, their number, and whether they may start.

    No task of a step that may not start yet was placed, so that its tasks need not be
    looked at.
    """
    found = []
    for step in job.steps.values():
        if step.complete:
            continue
        startable = job.may_start(step)
        count = len(step.tasks) - step.done_count
        if startable:
            count = step.waiting_count
        if count:
            found.append((step, count, startable))
    return found
