"""Places urgent steps as soon as they may start, between the placement rounds."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._cancel_age import CancelAge
from cassiaweir.dispatch._job_errors import JobAction, JobErrors
from cassiaweir.dispatch._placer import Placer
from cassiaweir.jobs import Step
from cassiaweir.leadership import Leadership
from cassiaweir.types import Clock

MAX_DURATION = timedelta(milliseconds=25)
"""Steps that are left after this time are placed by the next round."""


class UrgentPlacement:
    """Looks at an urgent step once after each event that may let it start.

    The steps of one iteration of the event loop are looked at together.  Rounds look at
    them as well, so that a step that finds no room now is not forgotten.
    """

    def __init__(
        self,
        placer: Placer,
        clock: Clock,
        leadership: Leadership,
        cancel_age: CancelAge,
        errors: JobErrors,
    ) -> None:
        self._errors = errors
        self._placer = placer
        self._clock = clock
        self._leadership = leadership
        self._cancel_age = cancel_age
        self._steps: dict[str, Step] = {}
        self._closed = False

    def close(self) -> None:
        """Place nothing any more, as the leader's term ends."""
        self._closed = True

    def request(self, step: Step) -> None:
        """Look at `step` in the next iteration of the event loop, if it is urgent.

        An error with its job does not reach the caller, which may act for many jobs.
        """
        if self._closed:
            return
        urgent = False
        with self._errors.contained(step.job.job_id, JobAction.PLACE):
            urgent = self._placer.is_urgent(step)
        if not urgent:
            return
        if not self._steps:
            asyncio.get_running_loop().call_soon(self._place)
        self._steps[step.name] = step

    def _place(self) -> None:
        """Place the requested steps, unless this process may not lead any more."""
        steps = list(self._steps.values())
        self._steps.clear()
        now = self._clock.monotonic()
        if self._closed or not self._leadership.may_act(now):
            return
        if not self._cancel_age.is_recent():
            return
        try:
            self._placer.place_urgent(steps, MAX_DURATION)
        except Exception as exc:
            logger.opt(exception=exc).error("urgent_steps_not_placed")
