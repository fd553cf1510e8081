"""Tells servers that fail what they run from jobs that fail everywhere."""

from __future__ import annotations

FAILURES_TO_SUSPEND = 3
JOBS_TO_SUSPEND = 2
FIRST_SUSPENSION_S = 3.0
LONGEST_SUSPENSION_S = 24.0
STALL_PAUSE_S = 2.0
"""A server on which work stands still gets nothing new for so long."""

REFUSAL_PAUSE_S = 0.5
"""A server that refused a start is left alone for so long."""


class ServerHealth:
    """Counts failures since the last success on one server.

    Failures of several jobs in a row suspend the server, each time for longer; after
    that a single failure suspends it again until something succeeds there.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._jobs: set[str] = set()
        self._suspended_until = 0.0
        self._suspension_s = FIRST_SUSPENSION_S
        self._on_probation = False

    @property
    def failures_since_success(self) -> int:
        """The failures since the last success."""
        return self._failures

    def suspended(self, now: float) -> bool:
        """Tell whether nothing new should be started on the server."""
        return now < self._suspended_until

    def record_success(self) -> None:
        """Take note of a run that ended as it should."""
        self._failures = 0
        self._jobs.clear()
        self._on_probation = False
        self._suspension_s = FIRST_SUSPENSION_S

    def record_failure(self, job_id: str, now: float) -> bool:
        """Take note of a failed run; tell whether the server is now suspended."""
        self._failures += 1
        self._jobs.add(job_id)
        convincing = len(self._jobs) >= JOBS_TO_SUSPEND
        enough = self._failures >= FAILURES_TO_SUSPEND and convincing
        if not (enough or self._on_probation) or self.suspended(now):
            return False
        self._suspended_until = now + self._suspension_s
        self._suspension_s = min(self._suspension_s * 2, LONGEST_SUSPENSION_S)
        self._on_probation = True
        return True

    def record_refusal(self, now: float) -> None:
        """Take note of a start that the server refused."""
        self._suspended_until = max(self._suspended_until, now + REFUSAL_PAUSE_S)

    def record_stall(self, now: float) -> None:
        """Take note of work that stands still on the server."""
        self._suspended_until = max(self._suspended_until, now + STALL_PAUSE_S)
