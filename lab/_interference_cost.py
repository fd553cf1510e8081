"""Measures what the samples for the interference model cost a leader."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any, cast

from cassiaweir.clock import ManualClock
from cassiaweir.dispatch import RunningTask, ServerEntry, ServerReport, job_key
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._reports import ReportProcessor
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.jobs import JobSpec, StepSpec
from cassiaweir.observe import Metrics
from cassiaweir.queues import BackendService, Customer, Queue, QueueConfiguration
from cassiaweir.types import Resources, Row

SERVERS = 40
KINDS = 4
RUNS_PER_SERVER = 8
REPORTS = 60
REPORT_INTERVAL_S = 0.4
PERCENT_PER_REPORT = 1.6
REPEATS = 5


def microseconds_per_row(*, sampled: bool) -> float:
    """Return the processor time that a row of a report takes, the best of several.

    Each server runs two tasks of each kind.  Without `sampled`, reports are processed
    without samples for the interference model.
    """
    return min(_measure(sampled) for _ in range(REPEATS))


def _measure(sampled: bool) -> float:
    clock = ManualClock()
    queue = Queue("q", "h", "/", "s", 1, 3, 2.0, 1.0)
    configuration = QueueConfiguration.build(
        1, [queue], [BackendService("s")], [Customer("c")], 262_144
    )
    jobs = JobRegistry(
        cast(Any, SimpleNamespace(put=lambda write: 1, is_stored=lambda at: True)),
        clock,
        cast(Any, SimpleNamespace(current=lambda: configuration)),
        {},
        {},
    )
    runs = RunRegistry(jobs, CustomerUsage(), clock, 1)
    ignore = cast(Any, lambda *_: None)
    processor = ReportProcessor(
        jobs, runs, clock, Metrics(), cast(Any, None),
        stop=ignore, stop_orphan=ignore, stop_late_start=ignore,
    )  # fmt: skip
    if not sampled:
        processor.interference = cast(Any, SimpleNamespace(record_report=ignore))
    servers = [
        Server(ServerEntry(f"i-{number}", "a", "s", "d", Resources(16_000), born=1))
        for number in range(SERVERS)
    ]
    for kind in range(KINDS):
        count = SERVERS * RUNS_PER_SERVER // KINDS
        steps = (StepSpec(count, cpu_millis=1_000, estimate_s=30.0, image=f"{kind}"),)
        spec = JobSpec(f"{kind:016x}", queue, "c", "x", steps, 0.0)
        entry = jobs.add_row(Row(job_key(spec.job_id), 1, spec.encode()), held=False)
        assert entry is not None
        for number, task in enumerate(entry.job.steps[0, 0].tasks):
            run = runs.place(task, servers[number % SERVERS], 1)
            run.sent_at = run.answered_at = clock.monotonic()
            run.state = RunState.RUNNING
    began = time.process_time()
    for number in range(1, REPORTS):
        clock.advance(REPORT_INTERVAL_S)
        now = clock.monotonic()
        percent = int(number * PERCENT_PER_REPORT)
        for server in servers:
            rows = [
                RunningTask(task, run, "", percent, None) for task, run in server.runs
            ]
            processor.apply(server, ServerReport(round(now * 1_000), 1, rows, []), now)
    rows_seen = SERVERS * RUNS_PER_SERVER * (REPORTS - 1)
    return (time.process_time() - began) / rows_seen * 1e6
