"""Runs the placement rounds of a leader, without keeping its other work waiting."""

from __future__ import annotations

from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._cancel_age import CancelAge
from cassiaweir.dispatch._placer import Placer
from cassiaweir.leadership import Leadership
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock

PLACEMENT_DELAY = timedelta(milliseconds=2)
"""Pause before a placement round, so that events close together share one round."""

PLACEMENT_PAUSE_FACTOR = 1
"""The pause lasts at least this many times the work of the previous round.

Other work that is due runs to its end before the next round in any case.
"""

SLICE = timedelta(milliseconds=25)
"""A round lets other work run after this time.

Probes, renewals of leases and of the leadership, and reports wait for one slice at
most, which is a small part of their timeouts.
"""

MAX_ROUND = timedelta(milliseconds=100)
"""A round that has lasted for this long is given up for the next one.

Work that has arrived meanwhile may rank before all that is left of the round.  With the
pause after it this is less than the time for which a new urgent job is sure to rank
first.
"""

MIN_LOGGED_ROUND = timedelta(milliseconds=150)
"""Rounds with less work are only counted by the metric."""


class PlacementLoop:
    """Runs one placement round after the other, each in slices."""

    def __init__(
        self,
        placer: Placer,
        clock: Clock,
        leadership: Leadership,
        metrics: Metrics,
        cancel_age: CancelAge,
    ) -> None:
        self._placer = placer
        self._clock = clock
        self._leadership = leadership
        self._metrics = metrics
        self._cancel_age = cancel_age
        self._worked_s = 0.0

    async def pause(self) -> None:
        """Let other work run before the next round."""
        pause = timedelta(seconds=self._worked_s) * PLACEMENT_PAUSE_FACTOR
        await self._clock.sleep(max(PLACEMENT_DELAY, pause))

    async def run_round(self) -> bool:
        """Run one round; return whether it has looked at all waiting steps.

        Nothing is looked at while starts are backlogged, as most of it could not be
        placed.  An error does not end the leader's term.
        """
        began = self._clock.monotonic()
        self._worked_s = 0.0
        if self._placer.backlogged:
            return False
        if not self._leadership.may_act(began) or not self._cancel_age.is_recent():
            return True
        complete = True
        try:
            complete = await self._place_in_slices(began)
            self._placer.waits.end_round()
        except Exception as exc:
            logger.opt(exception=exc).error("placement_round_failed")
        self._record()
        return complete

    async def _place_in_slices(self, began: float) -> bool:
        self._placer.begin_round()
        slice_began = began
        while not self._placer.place(SLICE):
            now = self._clock.monotonic()
            worked_s = now - slice_began
            self._worked_s += worked_s
            too_long = now - began >= MAX_ROUND.total_seconds()
            if too_long or self._placer.backlogged:
                return False
            await self._clock.sleep(timedelta(seconds=worked_s))
            slice_began = self._clock.monotonic()
            if not self._leadership.may_act(slice_began):
                return False
            if not self._cancel_age.is_recent():
                return False
        self._worked_s += self._clock.monotonic() - slice_began
        return True

    def _record(self) -> None:
        """Record how much work the round was, and log a long one."""
        self._metrics.observe("placement_round", self._worked_s)
        if self._worked_s >= MIN_LOGGED_ROUND.total_seconds():
            last = self._placer.last_round
            logger.info(
                "placement_round_long",
                took_ms=round(self._worked_s * 1_000),
                steps=last.steps,
                looked_at=last.looked_at,
                placed=last.placed,
                slices=last.slices,
            )
