"""Expects when room on a server is free, and which tasks may use it until then."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cassiaweir.types import Resources

MIN_PERCENT = 8.0
"""Progress from which a run's own rate is used; it is reported in whole percents."""

OVERRUN_SHARE = 0.25
"""A run that exceeds its expected duration is expected to take this share longer.

The share is of the time it has run for, so that the expected end moves on with it.
"""

CONFIDENCE_SPREADS = 1.0
"""Backfilled tasks must end in time even if they take this many standard deviations
of the logarithm longer than expected: five of six then do."""

BACKFILL_MARGIN_S = 0.05
"""Time from the end of a task until its room can be used again."""


def expected_end(
    began_at: float,
    now: float,
    duration_s: float,
    percent: float = 0.0,
    percent_at: float | None = None,
) -> float:
    """Return when a run is expected to end.

    `duration_s` is its expected duration on its server; `percent` of its work was done
    at `percent_at`.
    """
    if percent_at is not None and percent >= MIN_PERCENT:
        duration_s = (percent_at - began_at) * 100 / percent
    ends_at = began_at + duration_s
    if ends_at > now:
        return ends_at
    return now + OVERRUN_SHARE * (now - began_at)


def slot_times(
    room: Resources,
    ends: Sequence[tuple[float, Resources]],
    demand: Resources,
    limit: int,
    now: float,
) -> list[float]:
    """Return the times from which on one more task of `demand` fits, at most `limit`.

    `room` is free now, and `ends` are the runs on the server with their expected ends,
    in ascending order.
    """
    found: list[float] = []
    at = now
    position = 0
    while len(found) < limit:
        fitting = _count_fitting(room, demand, limit)
        found += [at] * (fitting - len(found))
        if position == len(ends):
            break
        at = max(ends[position][0], now)
        if math.isinf(at):
            break
        room = room + ends[position][1]
        position += 1
    return found[:limit]


def _count_fitting(room: Resources, demand: Resources, limit: int) -> int:
    if min(room.cpu_millis, room.memory_mb, room.accelerators) < 0:
        return 0
    count = limit
    for free, each in (
        (room.cpu_millis, demand.cpu_millis),
        (room.memory_mb, demand.memory_mb),
        (room.accelerators, demand.accelerators),
    ):
        if each > 0:
            count = min(count, free // each)
    return count


def room_at(
    room: Resources, ends: Iterable[tuple[float, Resources]], at: float
) -> Resources:
    """Return the room that is expected to be free at `at`, given that of now."""
    for ends_at, demand in ends:
        if ends_at <= at:
            room = room + demand
    return room


@dataclass(slots=True)
class BackfillRoom:
    """What other tasks may use of a reserved server.

    Tasks that end by `until` may use any free room there, longer ones `spare`, which
    the gang leaves free.
    """

    until: float
    spare: Resources

    def usable(
        self, free: Resources, now: float, duration_s: float, spread: float
    ) -> Resources:
        """Return the room for tasks with this expected duration on the server.

        `spread` is the standard deviation of the logarithm of their durations.
        """
        if self._ends_in_time(now, duration_s, spread):
            return free
        return Resources(
            max(min(free.cpu_millis, self.spare.cpu_millis), 0),
            max(min(free.memory_mb, self.spare.memory_mb), 0),
            max(min(free.accelerators, self.spare.accelerators), 0),
        )

    def take(
        self, demand: Resources, now: float, duration_s: float, spread: float
    ) -> None:
        """Note that a task of `demand` was started there."""
        if not self._ends_in_time(now, duration_s, spread):
            self.spare = self.spare - demand

    def _ends_in_time(self, now: float, duration_s: float, spread: float) -> bool:
        longest_s = duration_s * math.exp(CONFIDENCE_SPREADS * spread)
        return now + longest_s + BACKFILL_MARGIN_S <= self.until
