"""Decides how many tasks each customer's cap allows, and says what takes it up."""

from __future__ import annotations

from cassiaweir.dispatch._cap_holds import CapHolds
from cassiaweir.dispatch._former_usage import FormerUsage
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.dispatch._wait_causes import WaitCause
from cassiaweir.dispatch._waiting_steps import URGENT_PRIORITY, WaitingStep
from cassiaweir.types import NO_RESOURCES, Resources


class CustomerCaps:
    """Applies the caps of customers to waiting steps.

    Against a cap count the runs that are known, those that may go on at servers out of
    reach, and what is kept for a waiting gang of the same customer.
    """

    def __init__(
        self, jobs: JobRegistry, usage: CustomerUsage, former: FormerUsage
    ) -> None:
        self._jobs = jobs
        self._usage = usage
        self._former = former
        self._holds = CapHolds()

    def begin_round(self) -> None:
        """Begin a placement round, in which gangs may keep parts of caps anew."""
        self._holds.begin_round()

    def allowed(self, waiting: WaitingStep, count: int) -> int:
        """Return how many of `count` tasks of a step the cap allows now."""
        former = self._former.of(waiting.entry.job.spec.customer)
        return self._count(waiting, count, former + self._held(waiting))

    def cause(self, waiting: WaitingStep, count: int) -> WaitCause:
        """Return why the cap does not allow `count` tasks of a step now."""
        without_former = self._count(waiting, count, self._held(waiting))
        if without_former > self.allowed(waiting, count):
            return WaitCause.CAP_TAKEOVER
        return WaitCause.CAP

    def hold(self, waiting: WaitingStep) -> None:
        """Keep the cap of the customer for a gang that could not start now."""
        self._holds.hold(waiting, self._jobs.customer_of(waiting.entry.job))

    def load_text(self, waiting: WaitingStep) -> str:
        """Return what counts against the customer's cap, for logs.

        That is, for CPU and memory, what its known runs take, what may run on servers
        out of reach, and the cap.
        """
        job = waiting.entry.job
        used = self._usage.used(job.spec.customer)
        former = self._former.of(job.spec.customer)
        customer = self._jobs.customer_of(job)
        cap = "unknown" if customer is None else _text(customer.cap)
        return f"{_text(used)}+{_text(former)}/{cap}"

    def _held(self, waiting: WaitingStep) -> Resources:
        """Return what a step must leave for a gang that waits."""
        if waiting.queue.priority == URGENT_PRIORITY:
            return NO_RESOURCES
        return self._holds.of(waiting.entry.job.spec.customer)

    def _count(self, waiting: WaitingStep, count: int, reserved: Resources) -> int:
        customer = self._jobs.customer_of(waiting.entry.job)
        return self._usage.count_within_cap(
            customer, waiting.step.demand, count, reserved
        )


def _text(resources: Resources) -> str:
    return f"{resources.cpu_millis}:{resources.memory_mb}"
