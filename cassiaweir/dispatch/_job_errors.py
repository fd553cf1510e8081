"""Keeps an error that one job causes from the work for all other jobs.

A leader goes over the jobs of all customers in one loop many times a second.  Whatever
goes wrong with one of them is noted here, and the loop goes on with the next.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from loguru import logger

from cassiaweir.types import Clock

FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 60.0
"""A job is left out for the first time after its first error, doubled after each."""

MAX_LINES_PER_S = 5
"""Errors are logged up to this rate; the others are only counted."""

MAX_FAILURES = 10_000
"""The oldest failures are forgotten beyond this number of jobs and actions."""

MAX_CAUSE_CHARS = 200

_T = TypeVar("_T")


class JobAction(StrEnum):
    """What is done for each job, which may fail for one of them."""

    REGISTER = "register"
    RANK = "rank"
    PLACE = "place"
    PLAN_GANG = "plan_gang"
    START = "start"
    REPORT = "report"
    LEARN = "learn"
    LOSS = "loss"
    OCCURRENCES = "occurrences"
    FORMER_USAGE = "former_usage"
    LOAD = "load"
    WAIT_CAUSE = "wait_cause"
    REMOVE = "remove"


@dataclass(slots=True)
class _Failure:
    """An action that failed for a job; it is tried again at `retry_at`."""

    pause_s: float
    retry_at: float


class JobErrors:
    """Notes errors by job and action, and when an action is to be tried again.

    Times are those of `clock`, in monotonic seconds.  `count` is how many errors there
    were.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures: dict[tuple[str, JobAction], _Failure] = {}
        self.count = 0
        self._lines_left = float(MAX_LINES_PER_S)
        self._lines_at = clock.monotonic()

    def is_paused(self, job_id: str, action: JobAction) -> bool:
        """Return whether an action is left out for a job, as it failed just before."""
        if not self._failures:
            return False
        failure = self._failures.get((job_id, action))
        return failure is not None and self._clock.monotonic() < failure.retry_at

    def jobs_failing(self, action: JobAction) -> list[str]:
        """Return the ids of the jobs for which an action has failed."""
        return [job_id for job_id, each in self._failures if each is action]

    @property
    def job_count(self) -> int:
        """The number of jobs for which anything has failed."""
        return len({job_id for job_id, _ in self._failures})

    def note(self, job_id: str, action: JobAction, exc: Exception) -> None:
        """Note that an action failed for a job; log it unless that is too often."""
        now = self._clock.monotonic()
        self.count += 1
        failure = self._failures.get((job_id, action))
        if failure is None:
            failure = _Failure(FIRST_PAUSE_S, now + FIRST_PAUSE_S)
            self._failures[job_id, action] = failure
            if len(self._failures) > MAX_FAILURES:
                del self._failures[next(iter(self._failures))]
        elif now >= failure.retry_at:
            failure.pause_s = min(failure.pause_s * 2, MAX_PAUSE_S)
            failure.retry_at = now + failure.pause_s
        self._lines_left += (now - self._lines_at) * MAX_LINES_PER_S
        self._lines_left = min(self._lines_left, MAX_LINES_PER_S)
        self._lines_at = now
        if self._lines_left < 1:
            return
        self._lines_left -= 1
        logger.opt(exception=exc).error(
            "job_error",
            job=job_id,
            action=action.value,
            cause=repr(exc)[:MAX_CAUSE_CHARS],
            errors=self.count,
        )

    def clear(self, job_id: str, action: JobAction) -> None:
        """Note that an action no longer fails for a job."""
        if self._failures:
            self._failures.pop((job_id, action), None)

    def forget(self, job_id: str) -> None:
        """Forget a job that is gone."""
        if self._failures:
            for action in JobAction:
                self._failures.pop((job_id, action), None)

    @contextmanager
    def contained(self, job_id: str, action: JobAction) -> Iterator[None]:
        """Note an error in the block, which ends with it."""
        try:
            yield
        except Exception as exc:
            self.note(job_id, action, exc)

    def visit_each(
        self,
        action: JobAction,
        items: Iterable[_T],
        job_of: Callable[[_T], str],
        visit: Callable[[_T], None],
    ) -> None:
        """Call `visit` for each item; leave out those of jobs for which it failed.

        `job_of` returns the id of an item's job.
        """
        for item in items:
            if self._failures and self.is_paused(job_of(item), action):
                continue
            try:
                visit(item)
            except Exception as exc:
                self.note(job_of(item), action, exc)
            else:
                if self._failures:
                    self.clear(job_of(item), action)
