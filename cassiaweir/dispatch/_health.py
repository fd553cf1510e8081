"""Tells servers that fail the tasks of several jobs from jobs that fail everywhere."""

from __future__ import annotations

FAILURES_TO_SUSPEND = 3
JOBS_TO_SUSPEND = 2
FIRST_SUSPENSION_S = 3.0
MAX_SUSPENSION_S = 24.0
STALL_PAUSE_S = 2.0
"""Time for which a server gets no new runs after a run on it has stalled."""

REFUSAL_PAUSE_S = 0.5
"""Time for which a server gets no new runs after it has refused a start."""


class ServerHealth:
    """Counts the failures on one server since its last success.

    Failures of several jobs without a success in between suspend the server.  From then
    on the server is on probation: until a run succeeds there, a single failure suspends
    it again, each time for twice as long, up to `MAX_SUSPENSION_S`.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._jobs: set[str] = set()
        self._suspended_until = 0.0
        self._suspension_s = FIRST_SUSPENSION_S
        self._on_probation = False

    @property
    def failures_since_success(self) -> int:
        """The number of failed runs since the last one that succeeded."""
        return self._failures

    def suspended(self, now: float) -> bool:
        """Return whether the server should get no new runs at `now`."""
        return now < self._suspended_until

    def record_success(self) -> None:
        """Reset the failures and the probation after a run has succeeded."""
        self._failures = 0
        self._jobs.clear()
        self._on_probation = False
        self._suspension_s = FIRST_SUSPENSION_S

    def record_failure(self, job_id: str, now: float) -> bool:
        """Count a failed run; return whether it suspends the server."""
        self._failures += 1
        self._jobs.add(job_id)
        several_jobs = len(self._jobs) >= JOBS_TO_SUSPEND
        enough = self._failures >= FAILURES_TO_SUSPEND and several_jobs
        if not (enough or self._on_probation) or self.suspended(now):
            return False
        self._suspended_until = now + self._suspension_s
        self._suspension_s = min(self._suspension_s * 2, MAX_SUSPENSION_S)
        self._on_probation = True
        return True

    def record_refusal(self, now: float) -> None:
        """Pause new runs on the server after it has refused a start."""
        self._suspended_until = max(self._suspended_until, now + REFUSAL_PAUSE_S)

    def record_stall(self, now: float) -> None:
        """Pause new runs on the server after a run on it has stalled."""
        self._suspended_until = max(self._suspended_until, now + STALL_PAUSE_S)
