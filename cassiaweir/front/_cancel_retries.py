"""Repeats cancels that the store has not answered in time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from cassiaweir.exceptions import ConflictError, RefusedError, UnavailableError
from cassiaweir.types import Clock

RETRY_PAUSE = timedelta(milliseconds=250)
"""Pause after an attempt that has failed; the next one may be of another cancel."""

RETRY_TIMEOUT = timedelta(seconds=30)
"""A cancel is repeated for this long, which covers outages of the store."""

MAX_RETRIED = 200
"""Cancels that are repeated at a time; they take a few seconds once the store works."""


@dataclass(frozen=True, slots=True)
class _Cancel:
    """A cancel to repeat up to `deadline`, on the monotonic clock."""

    customer: str
    deadline: float


class CancelRetries:
    """Repeats cancels, one at a time, until they are stored or too old.

    Their callers were told that the cancel may have been executed.  They may not ask
    again, and expect that the job does not run on.  `attempt` tries once to cancel the
    job with an id for a customer.
    """

    def __init__(
        self, attempt: Callable[[str, str], Awaitable[object]], clock: Clock
    ) -> None:
        self._attempt = attempt
        self._clock = clock
        self._cancels: dict[str, _Cancel] = {}
        self._task: asyncio.Task[None] | None = None

    def has(self, job_id: str) -> bool:
        """Return whether the cancel of a job is being repeated."""
        return job_id in self._cancels

    def has_room(self) -> bool:
        """Return whether one more cancel can be repeated."""
        return len(self._cancels) < MAX_RETRIED

    def add(self, job_id: str, customer: str) -> None:
        """Repeat a cancel from now on, unless there are too many already."""
        if not self.has(job_id) and not self.has_room():
            logger.warning("cancel_given_up", job=job_id)
            return
        deadline = self._clock.monotonic() + RETRY_TIMEOUT.total_seconds()
        self._cancels[job_id] = _Cancel(customer, deadline)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def discard(self, job_id: str) -> None:
        """Forget a cancel, as it is stored."""
        self._cancels.pop(job_id, None)

    async def _run(self) -> None:
        """Try the cancels in turn until none is left."""
        while self._cancels:
            job_id, cancel = next(iter(self._cancels.items()))
            if self._clock.monotonic() >= cancel.deadline:
                logger.warning("cancel_given_up", job=job_id)
                self.discard(job_id)
            elif await self._try(job_id, cancel):
                self.discard(job_id)
            elif job_id in self._cancels:
                self._cancels[job_id] = self._cancels.pop(job_id)
                await self._clock.sleep(RETRY_PAUSE)

    async def _try(self, job_id: str, cancel: _Cancel) -> bool:
        """Try once; return whether the cancel need not be repeated."""
        try:
            await self._attempt(job_id, cancel.customer)
        except (ConflictError, RefusedError, UnavailableError):
            return False
        except Exception as exc:
            # It may be stored in a later attempt; the caller won't ask again.
            logger.opt(exception=exc).error("cancel_attempt_failed", job=job_id)
            return False
        logger.info("cancel_stored_late", job=job_id)
        return True
