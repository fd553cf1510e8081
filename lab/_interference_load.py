"""Simulates a fleet whose tasks may slow each other down, for `lab.interference`.

Tasks are placed by the leader's own code, and samples are taken from reports like those
of real servers.  Only orders, leases and the store are left out.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from cassiaweir.dispatch import RunningTask, ServerEntry, ServerReport
from cassiaweir.dispatch._interference import InterferenceSampler
from cassiaweir.dispatch._placement import (
    choose_servers,
    find_candidates,
    with_interference,
)
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.jobs import Job, JobSpec, Step, StepSpec, Task, TaskState
from cassiaweir.observe import Metrics
from cassiaweir.queues import Queue
from cassiaweir.scheduling import ProgressSampler, ServerSpeeds
from cassiaweir.types import Resources

CAPACITY = Resources(16_000, 32_768)
TICK_S = 0.025
REPORT_WAIT_S = 0.7
"""Time after which a server reports although no run has ended."""

JOB_SPREAD = 0.5
"""Standard deviation of the logarithm of the durations of a queue's jobs."""


@dataclass(frozen=True, slots=True)
class JobKind:
    """Jobs of one step that a queue gets; `per_server` is their rate a second."""

    queue: str
    image: str
    tasks: int
    seconds: float
    cpu_millis: int
    per_server: float
    priority: int = 1
    gang: bool = False

    @property
    def kind(self) -> str:
        """The kind of the tasks, as `Step.kind` names it."""
        return f"{self.queue}/{self.image}"


JOB_KINDS = (
    JobKind("batch", "blend", 25, 2.2, 1_700, 0.0175),
    JobKind("batch", "sort", 25, 2.2, 1_700, 0.0175),
    JobKind("urgent", "quote", 3, 1.0, 2_500, 0.25, priority=0),
    JobKind("gangs", "mesh", 20, 4.0, 4_500, 0.0084, gang=True),
)
"""The queues of design note 14, with two images in the batch queue.

Rates and sizes are those of the deployment dyfed for each server, with half of the
gangs, so that about two thirds of the CPU are in use.
"""


@dataclass(frozen=True, slots=True)
class Conditions:
    """What a simulated fleet is exposed to.

    `factors` gives the rate of a kind beside another; kinds without an entry run at
    their full rate.  `load` multiplies the rates of jobs.  `speeds` are those of the
    servers, in turn.  `task_spread` is the range of the spread among the tasks of a
    step.  `slow_servers` work at 0.4 of their speed from a random moment on, for 5 to
    20 s; on `failing_servers` each run fails after 0.3 s for as long.  `full_rate` is
    the rate of all tasks on a server with less than a tenth of its CPU free.  The
    leader pauses for 2 s every `pause_every_s`, and the share `late_share` of reports
    comes 1 to 3 s late.
    """

    servers: int = 40
    factors: Mapping[tuple[str, str], float] = field(default_factory=dict)
    load: float = 1.0
    speeds: tuple[float, ...] = (1.0,)
    task_spread: tuple[float, float] = (0.15, 0.3)
    slow_servers: int = 0
    failing_servers: int = 0
    full_rate: float = 1.0
    pause_every_s: float = 0.0
    late_share: float = 0.0
    avoid: bool = True


@dataclass(slots=True)
class _Work:
    """A run on a simulated server; `done_s` and `total_s` are seconds of work."""

    run: Run
    total_s: float
    done_s: float = 0.0
    progress: ProgressSampler = field(default_factory=ProgressSampler)


@dataclass(slots=True)
class _Machine:
    """The simulated side of a server; troubles last from one moment to another."""

    server: Server
    speed: float
    work: list[_Work] = field(default_factory=list)
    reported_at: float = 0.0
    report_due_at: float = 0.0
    slow: tuple[float, float] = (math.inf, math.inf)
    failing: tuple[float, float] = (math.inf, math.inf)
    ended: list[_Work] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _OpenJob:
    job: Job
    submitted_at: float
    totals_s: list[float]


class SimulationClock:
    """The virtual time of a simulation."""

    now_s = 0.0

    def monotonic(self) -> float:
        """Return the virtual seconds since the simulation began."""
        return self.now_s


class Fleet:
    """A simulated fleet under load.

    `found_at` holds when each pair was first reported, `ended` the kind of each job
    that has ended, its submission and its seconds from then to the end.
    `unplaced_rounds` counts the ticks in which a task waited although a server had room
    for it.
    """

    def __init__(self, seed: int, conditions: Conditions) -> None:
        self._rng = random.Random(seed)
        # The same jobs come whatever happens to them.
        self._report_rng = random.Random(f"{seed}/reports")
        self._conditions = conditions
        self.clock = SimulationClock()
        self._speeds = ServerSpeeds()
        self.sampler = InterferenceSampler(
            self._speeds,
            self.clock,  # type: ignore[arg-type]
            Metrics(),
        )
        self.model = self.sampler.model
        self._known_pairs = 0
        self._machines = {
            each.server.server_id: each
            for each in map(self._machine, range(conditions.servers))
        }
        for each in self._rng.sample(
            list(self._machines.values()), conditions.slow_servers
        ):
            each.slow = self._moment()
        for each in self._rng.sample(
            list(self._machines.values()), conditions.failing_servers
        ):
            each.failing = self._moment()
        self._queues = {
            each.queue: Queue(each.queue, "h", "/", "s", each.priority, 3, 2.0, 1.0)
            for each in JOB_KINDS
        }
        self._next_at = [self._gap(each) for each in JOB_KINDS]
        self._waiting: list[_OpenJob] = []
        self._open: dict[str, _OpenJob] = {}
        self._submitted = 0
        self.found_at: dict[tuple[str, str], float] = {}
        self.ended: list[tuple[str, float, float]] = []
        self.rows = 0
        self.unplaced_rounds = 0

    def run(self, seconds: float) -> None:
        """Simulate `seconds` more."""
        ends_at = self.clock.now_s + seconds
        while self.clock.now_s < ends_at:
            self.clock.now_s += TICK_S
            self._submit()
            self._advance()
            pause = self._conditions.pause_every_s
            if pause and self.clock.now_s % pause < 2.0 and self.clock.now_s > pause:
                continue
            self._report()
            self.model.age(self.clock.now_s)
            if self.model.found_count != self._known_pairs:
                self._note_change()
            self._place()

    def delays(self, now: float) -> list[tuple[str, float, float]]:
        """Return kind, submission and delay of all jobs, at least for the open ones."""
        still_open = [
            (each.job.steps[0, 0].kind, each.submitted_at, now - each.submitted_at)
            for each in self._open.values()
        ]
        return self.ended + still_open

    def _note_change(self) -> None:
        self._known_pairs = self.model.found_count
        for each in self.model.pairs():
            if each.found:
                self.found_at.setdefault((each.kind, each.beside), self.clock.now_s)

    def _machine(self, number: int) -> _Machine:
        speeds = self._conditions.speeds
        entry = ServerEntry(f"i-{number}", "a", "s", "d", CAPACITY, born=1)
        server = Server(entry)
        return _Machine(server, speeds[number % len(speeds)])

    def _moment(self) -> tuple[float, float]:
        begin = self._rng.uniform(0, 20)
        return begin, begin + self._rng.uniform(5, 20)

    def _gap(self, kind: JobKind) -> float:
        rate = kind.per_server * self._conditions.servers * self._conditions.load
        return self._rng.expovariate(rate)

    def _submit(self) -> None:
        now = self.clock.now_s
        for number, kind in enumerate(JOB_KINDS):
            while self._next_at[number] <= now:
                self._next_at[number] += self._gap(kind)
                self._add_job(kind, now)

    def _add_job(self, kind: JobKind, now: float) -> None:
        self._submitted += 1
        mean_s = kind.seconds * self._rng.lognormvariate(
            -(JOB_SPREAD**2) / 2, JOB_SPREAD
        )
        step = StepSpec(
            count=kind.tasks,
            cpu_millis=kind.cpu_millis,
            memory_mb=512,
            estimate_s=mean_s * self._rng.lognormvariate(0, 0.9),
            gang=kind.gang,
            image=kind.image,
        )
        spec = JobSpec(
            f"{self._submitted:016x}", self._queues[kind.queue], "c", "x", (step,), now
        )
        spread = self._rng.uniform(*self._conditions.task_spread)
        totals = [
            mean_s * self._rng.lognormvariate(0, spread) for _ in range(kind.tasks)
        ]
        opened = _OpenJob(Job(spec, 1, 1_000), now, totals)
        self._open[spec.job_id] = opened
        self._waiting.append(opened)

    def _advance(self) -> None:
        """Let all runs progress for one tick."""
        rates: dict[int, float] = {}
        slowest: dict[str, float] = {}
        for machine in self._machines.values():
            for work in machine.work:
                rate = rates[id(work)] = self._rate(machine, work)
                step = work.run.task.step
                if step.spec.gang:
                    slowest[step.name] = min(slowest.get(step.name, math.inf), rate)
        for machine in self._machines.values():
            failing = machine.failing[0] <= self.clock.now_s < machine.failing[1]
            for work in list(machine.work):
                step = work.run.task.step
                work.done_s += slowest.get(step.name, rates[id(work)]) * TICK_S
                age_s = self.clock.now_s - work.run.placed_at
                if work.done_s >= work.total_s or (failing and age_s > 0.3):
                    machine.work.remove(work)
                    machine.ended.append(work)

    def _rate(self, machine: _Machine, work: _Work) -> float:
        rate = machine.speed
        if machine.slow[0] <= self.clock.now_s < machine.slow[1]:
            rate *= 0.4
        if machine.server.free.cpu_millis < 0.1 * CAPACITY.cpu_millis:
            rate *= self._conditions.full_rate
        kind = work.run.task.step.kind
        beside = {each.run.task.step.kind for each in machine.work if each is not work}
        for other in beside:
            rate *= self._conditions.factors.get((kind, other), 1.0)
        return rate

    def _report(self) -> None:
        """Process the reports that are due, as the leader does."""
        now = self.clock.now_s
        for machine in self._machines.values():
            due = machine.ended or now - machine.reported_at >= REPORT_WAIT_S
            if not due or now < machine.report_due_at:
                continue
            late = self._report_rng.random() < self._conditions.late_share
            machine.report_due_at = now + (
                self._report_rng.uniform(1, 3) if late else 0
            )
            machine.reported_at = now
            for work in machine.ended:
                self._end(machine, work)
            machine.ended.clear()
            rows = [
                RunningTask(
                    each.run.task.name,
                    each.run.number,
                    "",
                    int(min(each.done_s / each.total_s, 1) * 100),
                    None,
                )
                for each in machine.work
            ]
            self.rows += len(rows)
            self._learn_speeds(machine, rows)
            report = ServerReport(round(now * 1_000), 1, rows, [])
            self.sampler.record_report(machine.server, report)

    def _learn_speeds(self, machine: _Machine, rows: list[RunningTask]) -> None:
        """Record the rates of tasks of one step, as the leader's learner does."""
        server_id = machine.server.server_id
        for work, row in zip(machine.work, rows, strict=True):
            sample = work.progress.read(row.percent, self.clock.now_s)
            step = work.run.task.step
            if sample is not None and not step.spec.gang:
                rate = sample.percent / sample.elapsed_s
                weight = max(sample.percent / 100, 0.2)
                now = self.clock.now_s
                self._speeds.record(step.name, server_id, rate, now, weight)
        machine.server.relative_speed = self._speeds.speed(server_id)

    def _end(self, machine: _Machine, work: _Work) -> None:
        task = work.run.task
        machine.server.remove(work.run.key)
        opened = self._open.get(task.step.job.job_id)
        if opened is None:
            return
        if work.done_s < work.total_s:
            if task.state is TaskState.PLACED:
                opened.job.mark_waiting(task)
                if opened not in self._waiting:
                    self._waiting.append(opened)
            return
        opened.job.finish_task(task)
        if opened.job.ended:
            del self._open[opened.job.job_id]
            delay_s = self.clock.now_s - opened.submitted_at
            self.ended.append((task.step.kind, opened.submitted_at, delay_s))

    def _place(self) -> None:
        """Place waiting tasks: urgent ones first, then in the order of submission."""
        self._waiting.sort(
            key=lambda each: (each.job.spec.queue.priority, each.submitted_at)
        )
        servers = [each.server for each in self._machines.values()]
        for opened in list(self._waiting):
            step = opened.job.steps[0, 0]
            tasks = step.tasks.waiting()
            if step.spec.gang and len(tasks) < len(step.tasks):
                self._waiting.remove(opened)
                continue
            candidates = find_candidates(step, servers, None, len(tasks))
            if self._conditions.avoid:
                candidates = with_interference(step, candidates, self.model)
            chosen = choose_servers(step, candidates, len(tasks))
            if step.spec.gang and len(chosen) < len(tasks):
                continue
            self._start(opened, step, tasks, chosen)
            if len(chosen) == len(tasks):
                self._waiting.remove(opened)
            elif find_candidates(step, servers, None, 1):
                self.unplaced_rounds += 1

    def _start(
        self, opened: _OpenJob, step: Step, tasks: list[Task], chosen: list[Server]
    ) -> None:
        for task, server in zip(tasks, chosen, strict=False):
            task.run += 1
            task.state = TaskState.PLACED
            run = Run(task, task.run, server, step.demand, "c", self.clock.now_s)
            run.state = RunState.RUNNING
            server.add(run)
            total_s = opened.totals_s[task.index]
            self._machines[server.server_id].work.append(_Work(run, total_s))
