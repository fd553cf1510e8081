"""Tests of what a leader learns from reports, and of the order of waiting work."""

from __future__ import annotations

import asyncio
import math
import random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.dispatch import EndKind, RunningTask, ServerReport, TaskEnd, job_key
from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.dispatch._objective import DeadlineStatus, Objective
from cassiaweir.dispatch._reports import ReportProcessor
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.dispatch._waiting_steps import AGED_S, WaitingSteps, rank_of
from cassiaweir.jobs import JobSpec, StepSpec
from cassiaweir.observe import Metrics
from cassiaweir.queues import Customer, Queue
from cassiaweir.types import Row
from tests.site_fakes import (
    ADVISED,
    QUEUE,
    URGENT,
    FakeSite,
    FakeVm,
    ReplaceableConfiguration,
    configuration,
)
from tests.test_dispatch_parts import server_of
from tests.virtual_time import run_virtual

ONE = StepSpec(count=1, cpu_millis=1_000, estimate_s=1.0)


class Bench:
    """The job registry, waiting steps and report processing of a term, alone."""

    def __init__(self, *customers: Customer) -> None:
        self.clock = ManualClock()
        source = ReplaceableConfiguration(configuration(*customers))
        writer = SimpleNamespace(
            put=lambda write, **_: 1,
            is_stored=lambda position: True,
            is_row_stored=lambda position: True,
        )
        self.jobs = JobRegistry(cast(Any, writer), self.clock, source, {}, {})
        self.jobs.fleet_cpu_millis = 1_000_000
        gate = TakeoverGate({}, former_authority_end=0)
        crashes = cast(Any, SimpleNamespace(may_start=lambda *_: True))
        self.waiting = WaitingSteps(self.jobs, self.clock, gate, crashes)
        self.runs = RunRegistry(self.jobs, CustomerUsage(), self.clock, 1)
        self.metrics = Metrics()
        ignore = cast(Any, lambda *_: None)
        self.reports = ReportProcessor(
            self.jobs, self.runs, self.clock, self.metrics, crashes,
            stop=ignore, stop_orphan=ignore, stop_late_start=ignore,
        )  # fmt: skip

    def submit(
        self, *steps: StepSpec, queue: Queue = QUEUE, customer: str = "agency"
    ) -> JobEntry:
        at = self.clock.now().timestamp()
        job_id = f"{len(self.jobs.entries):016x}"
        spec = JobSpec(job_id, queue, customer, "x", steps, at)
        entry = self.jobs.add_row(Row(job_key(job_id), 1, spec.encode()), held=False)
        assert entry is not None
        return entry

    def order(self) -> list[JobEntry]:
        """Return the jobs of the waiting steps in the order of their rank."""
        found = self.waiting.find(self.clock.monotonic())
        return [each.entry for each in sorted(found, key=lambda each: each.rank)]

    def start(self, entry: JobEntry, *servers: Server) -> list[Run]:
        """Start the tasks of the first step on the servers, in turn."""
        tasks = entry.job.steps[0, 0].tasks
        now = self.clock.monotonic()
        runs = []
        for number, task in enumerate(tasks):
            run = self.runs.place(task, servers[number % len(servers)], 1)
            run.sent_at = run.answered_at = now
            run.state = RunState.RUNNING
            runs.append(run)
        return runs

    def report(
        self,
        server: Server,
        progress: dict[Run, float],
        *ended: Run,
        late_s: float = 0,
        prompt: bool = True,
    ) -> None:
        """Apply a report that the server made `late_s` ago.

        It was requested at the last one, and answered once a run had ended; one with
        `prompt` False was requested only now.
        """
        now = self.clock.monotonic()
        asked_at = server.reported_at if prompt else now
        running = [
            RunningTask(run.task.name, run.number, "", percent, None)
            for run, percent in progress.items()
        ]
        numbers = range(server.acknowledged + 1, server.acknowledged + 1 + len(ended))
        ends = [
            TaskEnd(number, run.task.name, run.number, EndKind.DONE, "")
            for number, run in zip(numbers, ended, strict=True)
        ]
        made_ms = round((now - late_s) * 1_000)
        report = ServerReport(made_ms, server.born, running, ends)
        self.reports.apply(server, report, asked_at)
        server.acknowledged += len(ended)

    def teach(self, queue: Queue = QUEUE, count: int = 60) -> None:
        """Teach that durations are near 1 s, whatever the estimates say."""
        rng = random.Random(1)
        for number in range(count):
            estimate_s = math.exp(rng.gauss(0, 0.9))
            duration_s = math.exp(rng.gauss(0, 0.1))
            self.jobs.models.durations.record(
                queue.name, estimate_s, duration_s, number * 0.1
            )


# Guards against a job that could be on time but is put behind others, since its
# estimate is far too low and its deadline seems to be over.
def test_job_that_only_looks_too_late_by_its_estimate_comes_first():
    order = {}
    for taught in (False, True):
        bench = Bench()
        if taught:
            bench.teach(URGENT)
        old = bench.submit(StepSpec(count=1, estimate_s=0.1), queue=URGENT)
        bench.clock.advance(0.25)
        new = bench.submit(ONE, queue=URGENT)
        order[taught] = bench.order()
        assert set(order[taught]) == {old, new}
        assert (order[taught][0] is old) == taught


# Guards against urgent jobs that are late from the start, as their servers are expected
# to take almost as long as the deadline allows.
def test_new_job_is_on_time_even_if_its_servers_are_slow():
    bench = Bench()
    entry = bench.submit(StepSpec(count=1, estimate_s=1.0), queue=URGENT)
    now = entry.submitted_at
    entry.objective = Objective(now + 1.27, now + 3.8)
    early = rank_of(entry, URGENT, 0.97, now + 0.1)
    assert early.status == DeadlineStatus.ON_TIME
    assert rank_of(entry, URGENT, 0.97, now + 0.3).status == DeadlineStatus.LATE


# Guards against objectives that stay as they were at submission.
def test_objective_follows_what_is_learnt_and_only_noticeable_changes():
    bench = Bench()
    entry = bench.submit(StepSpec(count=1, estimate_s=10.0))
    bench.order()
    assert entry.objective.due_at == pytest.approx(4 * 10 + 3)
    bench.teach()
    assert bench.order() == [entry]
    assert entry.objective.due_at == pytest.approx(43)  # looked up a moment ago
    bench.clock.advance(0.3)
    bench.order()
    assert 4 + 3 < entry.objective.due_at < 4 * 2 + 3
    assert entry.objective.worthless_at == pytest.approx(3 * entry.objective.due_at)
    updates = bench.jobs.objective_updates
    bench.clock.advance(0.3)
    bench.order()
    assert bench.jobs.objective_updates == updates == 1


# Guards against a customer's excess that takes the place of others' due work.
def test_excess_of_a_customer_comes_behind_the_work_of_others():
    bench = Bench(Customer("hot", weight=1.0), Customer("calm", weight=9.0))
    late = bench.submit(StepSpec(count=1, estimate_s=0.01), customer="calm")
    bench.clock.advance(5)
    within = bench.submit(ONE, customer="hot")
    excess = bench.submit(ONE, queue=URGENT, customer="hot")
    assert bench.order() == [within, late, excess]


# Guards against excess that waits although there is room.
def test_excess_of_a_customer_runs_at_once_on_an_empty_fleet():
    async def body() -> None:
        site = FakeSite(servers=2)
        site.configuration.value = configuration(Customer("hot", weight=1.0))
        await site.wait_for_leader()
        jobs = [site.submit(ONE, customer="hot") for _ in range(10)]
        await asyncio.sleep(0.3)
        assert all(site.starts_of(each) for each in jobs)
        await site.close()

    run_virtual(body)


# Guards against a rank that ignores urgency, or jobs that have begun.
def test_urgent_steps_come_first_then_begun_jobs_among_equally_pressing_ones():
    bench = Bench()
    long = bench.submit(StepSpec(count=1, estimate_s=5.0))
    new = bench.submit(ONE)
    begun = bench.submit(StepSpec(count=1, estimate_s=1.01))
    begun.job.mark_started()
    urgent = bench.submit(StepSpec(count=1, estimate_s=9.0), queue=URGENT)
    assert bench.order() == [urgent, begun, new, long]


# Guards against work that never starts because other work always ranks before it, and
# against a backlog of such work that stops everything else.
def test_one_aged_job_at_a_time_is_taken_out_of_turn():
    bench = Bench(Customer("hot", weight=0.01), Customer("calm", weight=9.0))
    bench.submit(ONE, customer="hot").job.state = cast(Any, EndKind.DONE)
    bench.jobs.entries.clear()
    excess = [bench.submit(ONE, customer="hot") for _ in range(2)]
    first = []
    for _ in range(round(AGED_S) + 3):
        urgent = bench.submit(ONE, queue=URGENT, customer="calm")
        first.append(bench.order()[0])
        assert first[-1] in (urgent, *excess)
        del bench.jobs.entries[urgent.job.job_id]
        bench.clock.advance(1.0)
    aged = [each for each in first if each in excess]
    assert not set(first[: round(AGED_S)]) & set(excess)
    assert set(aged) == set(excess)


# Guards against gangs that are counted once for each member or that blame the servers.
def test_a_gang_is_one_sample_and_says_nothing_about_single_servers():
    bench = Bench()
    servers = [server_of(f"i{number}") for number in range(4)]
    servers[0].relative_speed, servers[3].relative_speed = 2.0, 0.5
    entry = bench.submit(StepSpec(count=4, cpu_millis=1_000, estimate_s=2.0, gang=True))
    runs = bench.start(entry, *servers)
    for percent in (25, 50, 75):
        bench.clock.advance(1)
        for run in runs:
            bench.report(run.server, {run: percent})
    models = bench.jobs.models
    name = runs[0].task.step.name
    # Four seconds at the speed of the slowest member are two at speed 1.
    assert models.steps.expected_s(name, QUEUE.name, 9.0) < 4.5
    bench.clock.advance(1)
    for run in runs:
        bench.report(run.server, {}, run)
    assert "cassiaweir_duration_samples_total 1\n" in bench.metrics.render()
    assert models.durations.expected_s(QUEUE.name, 2.0) == pytest.approx(2.0, rel=0.05)
    assert not any(models.speeds.known(each.server_id) for each in servers)


# Guards against durations of runs that did not run from the start, or of which it is
# not known when they ended.
@pytest.mark.parametrize(
    "case", ["known", "adopted", "resumed", "late", "stopping", "long"]
)
def test_runs_without_a_known_duration_are_no_samples(case: str):
    bench = Bench()
    server = server_of("i0")
    entry = bench.submit(
        StepSpec(count=1, cpu_millis=1, estimate_s=2.0, long_running=case == "long")
    )
    task = entry.job.steps[0, 0].tasks[0]
    if case == "resumed":
        task.checkpoint = "half"
    (run,) = bench.start(entry, server)
    if case == "adopted":
        run.from_start = False
    if case == "stopping":
        run.state = RunState.STOPPING
    bench.clock.advance(1)
    bench.report(server, {run: 50})
    bench.clock.advance(1)
    bench.report(server, {}, run, prompt=case != "late")
    counted = "duration_samples" in bench.metrics.render()
    assert counted == (case == "known")


# Guards against a paused leader, whose reports are old, that takes servers for slow.
def test_late_reports_do_not_change_rates():
    bench = Bench()
    servers = [server_of("i0"), server_of("i1")]
    for _ in range(12):
        entry = bench.submit(StepSpec(count=2, cpu_millis=1, estimate_s=2.0))
        runs = bench.start(entry, *servers)
        for percent in (30, 60, 90):
            bench.clock.advance(0.6)
            bench.report(servers[0], {runs[0]: percent})
            late_s = 1.2 if percent == 90 else 0.0
            bench.clock.advance(late_s)
            bench.report(servers[1], {runs[1]: percent}, late_s=late_s)
        for run in runs:
            bench.runs.remove(run.server, run.key)
    assert bench.jobs.models.speeds.known("i1")
    for server in servers:
        assert server.relative_speed == pytest.approx(1, abs=0.01)


# Guards against malformed reports of progress that are taken for speed.
def test_malformed_progress_changes_no_model():
    bench = Bench()
    servers = [server_of("i0"), server_of("i1")]
    entry = bench.submit(StepSpec(count=2, cpu_millis=1, estimate_s=2.0))
    runs = bench.start(entry, *servers)
    for percent in (50, 900, -20, 10, math.nan):
        bench.clock.advance(0.5)
        bench.report(servers[0], {runs[0]: percent})
    (step,) = entry.job.steps.values()
    expected_s = bench.jobs.models.steps.expected_s(step.name, QUEUE.name, 1.0)
    assert expected_s == pytest.approx(1.0)
    assert not bench.jobs.models.speeds.known("i0")


def models_of(vm: FakeVm) -> Any:
    dispatcher = vm.term._dispatcher
    assert dispatcher is not None
    return dispatcher._jobs.models


# Guards against models that are not fed on a real term, and against a successor that
# goes on with the state of a former leader.
def test_a_leader_learns_within_seconds_and_its_successor_begins_with_estimates():
    async def body() -> None:
        site = FakeSite(servers=9, vms=3, seed=2)
        rng = random.Random(2)
        for number, server in enumerate(site.servers.values()):
            server.speed = 1.7 if number % 3 == 0 else 0.7
        leader = await site.wait_for_leader()
        for number in range(60):
            task_s = math.exp(rng.gauss(0, 0.3))
            step = StepSpec(count=6, cpu_millis=1_500, estimate_s=4 * task_s)
            site.submit(step, task_s=task_s)
            if number % 10 == 0:
                gang = StepSpec(count=6, cpu_millis=2_000, estimate_s=1.0, gang=True)
                site.submit(gang, queue=ADVISED, task_s=2.0)
            await asyncio.sleep(0.1)
        models = models_of(leader)
        speeds = [models.speeds.speed(each) for each in sorted(site.servers)]
        assert min(speeds[::3]) > 1.6
        assert max(speeds[1::3] + speeds[2::3]) < 1.3
        nominal_s = models.durations.expected_s(QUEUE.name, 4.0) / models.speeds.mean
        assert nominal_s == pytest.approx(1, rel=0.3)
        await leader.kill()
        successor = await site.wait_for_leader()
        assert models_of(successor).durations.expected_s(QUEUE.name, 4.0) == 4.0
        assert not models_of(successor).speeds.known("i-0")
        assert not site.faults
        await site.close()

    run_virtual(body)


# Guards against SHORT of an urgent class: an urgent job that a busy leader had delayed
# waited until no batch job could be on time any more.
def test_a_late_urgent_job_comes_before_batch_work_unless_it_has_no_value():
    bench = Bench()
    batch = bench.submit(StepSpec(count=1, estimate_s=2.0))
    late = bench.submit(StepSpec(count=1, estimate_s=1.0), queue=URGENT)
    bench.clock.advance(1.5)
    new = bench.submit(StepSpec(count=1, estimate_s=1.0), queue=URGENT)
    assert bench.order() == [new, late, batch]
    bench.clock.advance(5.0)
    assert bench.order()[0] is batch
