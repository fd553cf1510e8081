"""Feeds what reports show into the models of durations and of server speeds."""

from __future__ import annotations

import math

from loguru import logger

from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._leases import MS_PER_SECOND
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_entry import ServerReport
from cassiaweir.observe import Metrics
from cassiaweir.scheduling import MIN_GAIN_PERCENT, Progress

MAX_START_DOUBT_S = 0.1
"""A run whose start may be off by more has no known beginning."""

MAX_END_DOUBT_SHARE = 0.1
"""An end is no sample if its time is uncertain by more than this share of the run."""

MAX_REPORT_GAP_S = 1.5
"""Reports arrive about every second; the time of a start is not converted to the
server's clock if the leader or the server was paused for longer."""

UNKNOWN_SPEED_WEIGHT = 0.5
"""Weight of durations on servers whose speed is not known yet.

The speeds of the servers of a site spread about as much as the durations of a queue.
"""

LOGGED_SPEED_CHANGE = 1.25
"""The speed of a server is logged again once it changed by this factor."""

LOGGED_RATIO_CHANGE = 1.25
RATIO_LOG_INTERVAL_S = 5.0
"""The ratio of a queue's durations and estimates is logged after such a change.

It is not logged again within the interval.
"""

MIN_SAMPLE_WEIGHT = 0.2


class Learner:
    """Records samples of running and ended tasks, in constant time for each.

    Times are those of the server's clock where possible, so that a report that the
    network or a paused leader delayed does not change a rate.
    """

    def __init__(self, jobs: JobRegistry, runs: RunRegistry, metrics: Metrics) -> None:
        self._jobs = jobs
        self._runs = runs
        self._models = jobs.models
        self._metrics = metrics
        self._published_updates = 0
        self._logged_ratios: dict[str, tuple[float, float]] = {}
        self._logged_speeds: dict[str, float] = {}
        self._clock_s = 0.0
        self._now = 0.0
        self._gap_s = 0.0
        self._end_doubt_s = 0.0

    def begin_report(
        self, server: Server, report: ServerReport, asked_at: float, now: float
    ) -> None:
        """Note the times of a report, before the server is updated from it.

        A server answers as soon as a run ends, so an end lies between the last report
        and the time at which this one was requested only if it is listed at once.
        """
        self._clock_s = report.clock_ms / MS_PER_SECOND
        self._now = now
        self._gap_s = now - server.reported_at
        self._end_doubt_s = max(asked_at - server.reported_at, 0.0)
        # The median may have changed since the last sample of this server.
        if self._models.speeds.known(server.server_id):
            server.relative_speed = self._models.speeds.speed(server.server_id)

    def record_progress(self, run: Run, percent: float) -> None:
        """Record the progress of a run that a report lists."""
        step = run.task.step
        if step.spec.long_running or run.state is not RunState.RUNNING:
            return
        sampler = run.sampler
        if sampler.at is None and run.from_start:
            self._begin(run)
        # Reports list every run about once a second, most of them without a sample.
        if percent - sampler.percent < MIN_GAIN_PERCENT and sampler.at is not None:
            return
        sample = sampler.read(percent, self._clock_s)
        if sample is not None:
            self._record_sample(run, sample)

    def record_end(self, run: Run) -> None:
        """Record a run that ended as done, before its task is marked as done."""
        step = run.task.step
        if step.spec.long_running or run.state is RunState.STOPPING or step.complete:
            return
        sampler = run.sampler
        if sampler.at is None and run.from_start:
            self._begin(run)
        began_at = sampler.began_at
        if sampler.at is None:
            return
        elapsed_s = self._clock_s - (sampler.at if began_at is None else began_at)
        if self._end_doubt_s > max(MAX_END_DOUBT_SHARE * elapsed_s, MAX_START_DOUBT_S):
            return
        sample = sampler.end(self._clock_s)
        if sample is not None:
            self._record_sample(run, sample, ended=True)
        if began_at is not None:
            self._record_duration(run, elapsed_s)

    def forget_server(self, server: Server) -> None:
        """Forget the speed of a server that restarted, failed, recovered or is gone."""
        self._models.speeds.forget(server.server_id)
        self._logged_speeds.pop(server.server_id, None)
        server.relative_speed = 1.0

    def _begin(self, run: Run) -> None:
        """Convert the time of the start to the server's clock, if it is known well."""
        sent_at, answered_at = run.sent_at, run.answered_at
        if sent_at is None or answered_at is None:
            return
        known = answered_at - run.placed_at <= MAX_REPORT_GAP_S
        if answered_at - sent_at > MAX_START_DOUBT_S or not known:
            return
        if self._gap_s <= MAX_REPORT_GAP_S:
            began_at = (sent_at + answered_at) / 2
            run.sampler.begin(self._clock_s - (self._now - began_at))

    def _record_sample(
        self, run: Run, sample: Progress, *, ended: bool = False
    ) -> None:
        step = run.task.step
        speed = run.server.relative_speed
        if step.spec.gang:
            # All members progress at the rate of the slowest, and say the same.
            if ended or run.task.index == 0:
                speed = self._slowest_speed(run)
                self._models.steps.record_progress(step.name, speed, *sample)
            return
        self._models.steps.record_progress(step.name, speed, *sample)
        if sample.percent < MIN_GAIN_PERCENT or sample.elapsed_s <= 0:
            return
        if len(step.tasks) > 1:
            self._models.speeds.record(
                step.name,
                run.server.server_id,
                sample.percent / sample.elapsed_s,
                self._now,
                max(sample.percent / 100, MIN_SAMPLE_WEIGHT),
            )
            self._update_speed(run.server)

    def _record_duration(self, run: Run, elapsed_s: float) -> None:
        """Record the duration of a whole task, or of a gang at its first end."""
        step = run.task.step
        gang = step.spec.gang
        speed = self._slowest_speed(run) if gang else run.server.relative_speed
        weight = 1.0 if gang else 1.0 / len(step.tasks)
        if not self._models.speeds.known(run.server.server_id):
            weight *= UNKNOWN_SPEED_WEIGHT
        queue = step.job.spec.queue.name
        self._models.durations.record(
            queue, step.spec.estimate_s, elapsed_s * speed, self._now, weight
        )
        self._metrics.count("duration_samples")
        self._log_ratio(queue)

    def _slowest_speed(self, run: Run) -> float:
        """Return the speed of the slowest server of the gang that `run` belongs to."""
        members = self._runs.gang_runs(run.task.step)
        return min(each.server.relative_speed for each in (run, *members))

    def publish(self) -> None:
        """Update the metrics of what was learnt."""
        speeds = self._models.speeds
        self._metrics.set("known_server_speeds", speeds.known_count)
        self._metrics.set("upper_server_speed", speeds.upper)
        updates = self._jobs.objective_updates - self._published_updates
        self._published_updates += updates
        self._metrics.count("objective_updates", updates)

    def _log_ratio(self, queue: str) -> None:
        """Log what was learnt about the estimates of a queue if that changed much."""
        ratio = self._models.durations.ratio(queue)
        logged, logged_at = self._logged_ratios.get(queue, (1.0, -math.inf))
        changed = abs(math.log(ratio / logged)) > math.log(LOGGED_RATIO_CHANGE)
        if not changed or self._now - logged_at < RATIO_LOG_INTERVAL_S:
            return
        self._logged_ratios[queue] = (ratio, self._now)
        logger.info(
            "queue_durations_learnt",
            queue=queue,
            ratio=round(ratio, 2),
            former=round(logged, 2),
            spread=round(self._models.durations.spread(queue), 2),
        )

    def _update_speed(self, server: Server) -> None:
        """Update the relative speed of a server and log it if it is new."""
        speeds = self._models.speeds
        server.relative_speed = speed = speeds.speed(server.server_id)
        if not speeds.known(server.server_id):
            return
        logged = self._logged_speeds.get(server.server_id, 1.0)
        if abs(math.log(speed / logged)) > math.log(LOGGED_SPEED_CHANGE):
            self._logged_speeds[server.server_id] = speed
            logger.info(
                "server_speed_learnt",
                server=server.server_id,
                speed=round(speed, 2),
                former=round(logged, 2),
            )
