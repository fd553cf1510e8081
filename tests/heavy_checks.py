"""Checks UNASKED by what simulated servers are told and clients were answered."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiaweir.dispatch import StartOrder
from cassiaweir.front._cancels import CancelResult
from cassiaweir.jobs import JobSpec
from standins.users import FakeServer

if TYPE_CHECKING:
    from tests.heavy_site import HeavySite

CANCEL_S = 4.0
ACK_S = 6.0
STOP_S = 0.2
CONTACT_S = 3.0
GONE_S = CANCEL_S + STOP_S
OBSERVE_S = 0.05


@dataclass
class HeavyJob:
    """A job, and what its client was answered; times are of the loop's clock.

    `cancelled_at` is from when on the job counts as cancelled: a cancel was
    acknowledged, or has waited for that for `ACK_S` of steady state.
    """

    spec: JobSpec
    accepted: bool = False
    in_doubt: bool = False
    cancel_sent_at: float | None = None
    acknowledged_at: float | None = None
    cancelled_at: float | None = None
    result: CancelResult | None = None
    waited_s: float = 0.0


@dataclass
class Unasked:
    """Checks UNASKED, by what servers are told and clients were answered."""

    site: HeavySite
    jobs: dict[str, HeavyJob] = field(default_factory=dict)
    written: defaultdict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    sent: dict[tuple[str, int], str] = field(default_factory=dict)
    late_at: dict[tuple[str, str, int], float] = field(default_factory=dict)
    reported: set[tuple[str, int]] = field(default_factory=set)
    counts: Counter[str] = field(default_factory=Counter)

    def owner_of(self, task: str) -> str:
        """Return who a checkpoint belongs to: the gang of a task, or the task."""
        step = self.site._step_of(task)
        return task.rpartition(".")[0] if step.gang else task

    def _fault(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self.site.faults.append(f"{now:.3f} UNASKED: {text}")

    def check_order(self, order: StartOrder) -> bool:
        """Check what a server is told; return whether there is such a task."""
        job_id, occurrence, step, index = order.task.split(".")
        job = self.jobs.get(job_id)
        known = (
            job is not None
            and int(occurrence) < max(job.spec.times, 1)
            and int(step) < len(job.spec.steps)
            and int(index) < job.spec.steps[int(step)].count
        )
        if job is None or not known:
            self._fault(f"nobody sent {order.task}")
            return False
        if order.spec != job.spec.task_spec:
            self._fault(f"{order.task} with another spec: {order.spec}")
        owner = self.owner_of(order.task)
        if order.checkpoint and order.checkpoint not in self.written[owner]:
            self._fault(f"{order.task} with the checkpoint {order.checkpoint}")
        first = self.sent.setdefault((owner, order.run), order.checkpoint)
        if first != order.checkpoint and owner != order.task:
            self._fault(
                f"{order.task}/{order.run} with {order.checkpoint!r}, before {first!r}"
            )
        self.counts["orders"] += 1
        self.counts["resumed"] += bool(order.checkpoint)
        return True

    def check_start(self, server: FakeServer, order: StartOrder) -> None:
        """Check that a start comes in time before a cancel takes effect."""
        now = asyncio.get_running_loop().time()
        job = self.jobs[order.task.partition(".")[0]]
        if self.site.late:
            self.late_at[server.entry.server_id, order.task, order.run] = now
            self.counts["late"] += 1
        if job.result is CancelResult.UNKNOWN_JOB:
            self._fault(f"{order.task} starts, its id was closed")
        if job.cancelled_at is None:
            return
        if self.site.late:
            self.counts["late after a cancel"] += 1
            return
        starter = self.site.starters[order.epoch]
        in_touch = now - starter.troubled_at > CONTACT_S
        self.counts["starts after a cancel"] += 1
        after_ms = round((now - job.cancelled_at) * in_touch * 1_000)
        self.counts["most ms after a cancel"] = max(
            after_ms, self.counts["most ms after a cancel"]
        )
        if in_touch and now > job.cancelled_at + CANCEL_S:
            self._fault(
                f"{order.task}/{order.run} starts {now - job.cancelled_at:.3f} s after "
                f"its cancel, told by {starter.name}"
            )

    def observe(self, now: float, calm_s: float) -> None:
        """Check what runs, and let cancels without an answer take effect."""
        for job in self.jobs.values():
            if job.cancel_sent_at is not None and job.cancelled_at is None:
                job.waited_s += OBSERVE_S if calm_s > CONTACT_S else 0.0
                if job.waited_s >= ACK_S:
                    job.cancelled_at = now
                    self.counts["cancels not acknowledged"] += 1
        if calm_s < GONE_S:
            return
        for key in list(self.site._running):
            self._check_running(key, now)

    def _check_running(self, key: tuple[str, str, int], now: float) -> None:
        server_id, task, run = key
        job = self.jobs[task.partition(".")[0]]
        if job.cancelled_at is None or (task, run) in self.reported:
            return
        until = job.cancelled_at + GONE_S
        if key in self.late_at:
            until = max(until, self.late_at[key] + CONTACT_S + GONE_S)
        if now <= until:
            return
        self.site.servers[server_id].apply_due_events()
        if key in self.site._running:
            self.reported.add((task, run))
            self._fault(
                f"{task}/{run} runs on {server_id} {now - job.cancelled_at:.3f} s after"
                f" its cancel, late={key in self.late_at}"
            )
