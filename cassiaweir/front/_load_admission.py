"""Applies the admission policy to submissions, with the load that the leader tells."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from cassiaweir.dispatch import critical_path_s, objective_of
from cassiaweir.front._states import LeaderSource
from cassiaweir.jobs import JobSpec
from cassiaweir.observe import Metrics
from cassiaweir.scheduling import (
    AdmissionPolicy,
    LoadSnapshot,
    Rejected,
    Submission,
    too_many_jobs,
)
from cassiaweir.types import Clock


class LoadAdmission:
    """Decides by load which submissions are to be refused.

    `local_load` returns the load that this process measured while it leads.  Nothing
    is refused while `enabled` returns False.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        leader: LeaderSource,
        *,
        local_load: Callable[[], LoadSnapshot | None],
        enabled: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._leader = leader
        self._local_load = local_load
        self._enabled = enabled
        self._policy = AdmissionPolicy()

    def update(self, load: LoadSnapshot) -> None:
        """Use a load that the leader told."""
        self._policy.update(load)

    def check(self, spec: JobSpec) -> Rejected | None:
        """Return why a submitted job is to be refused, None if it is accepted."""
        owner = self._leader.owner()
        if owner is not None:
            self._policy.note_epoch(owner.epoch)
        local = self._local_load()
        if local is not None:
            self._policy.update(local)
        now = self._clock.monotonic()
        load = self._policy.current(now)
        if load is None or not self._enabled():
            return None
        crowded = too_many_jobs(spec.customer, load)
        if crowded is not None or not load.is_full(spec.queue.name):
            return crowded
        decision = self._policy.decide(_submission(spec, load), now)
        return decision if isinstance(decision, Rejected) else None

    def record(self, spec: JobSpec, rejected: Rejected) -> None:
        """Log and count a submission that was refused for certain."""
        self._metrics.count("submissions_rejected", reason=rejected.reason)
        logger.info(
            "submission_rejected",
            job=spec.job_id,
            reason=rejected.reason,
            queue=spec.queue.name,
            customer=spec.customer,
            wait_ms=round(rejected.wait_s * 1_000),
            retry_after_s=rejected.retry_after_s,
        )


def _submission(spec: JobSpec, load: LoadSnapshot) -> Submission:
    """Return what the policy needs to know of a job.

    A job that runs later, repeatedly or without an end is never without value.
    """
    name = spec.queue.name
    endless = any(step.long_running for step in spec.steps)
    if spec.times or endless or load.fleet_cpu_millis <= 0:
        return Submission(spec.job_id, name, spec.customer)
    objective = objective_of(spec, spec.queue, load.fleet_cpu_millis, 0.0)
    return Submission(
        spec.job_id,
        name,
        spec.customer,
        critical_path_s(spec, spec.queue, load.fleet_cpu_millis),
        objective.due_at,
        objective.worthless_at,
    )
