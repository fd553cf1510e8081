"""Chooses the servers of a gang, whose tasks start together and run in step."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

SPEED_CLASS_WIDTH = 1.25
"""Servers whose speeds differ by at most this factor count as equally fast.

Learnt speeds of equal servers differ by up to a fifth.
"""

MAX_SPEED_CLASSES = 4
"""Slower servers than those of this many classes count as the slowest class."""

MIN_GAIN_S = 0.1
MIN_GAIN_SHARE = 0.05
"""A faster class is chosen only if the gang ends sooner by this time and by this share
of its duration, as expected ends are not more exact than that."""


@dataclass(frozen=True, slots=True)
class GangCandidate:
    """A server that may run tasks of a gang.

    `slots_at` are the times, in ascending order, from which on the server has room for
    one more task.  Among equal servers `preferred` ones are chosen; `suspect` ones are
    taken only if the gang cannot start without them.
    """

    server_id: str
    slots_at: Sequence[float]
    speed: float = 1.0
    rack: str = ""
    preferred: bool = False
    suspect: bool = False


@dataclass(frozen=True, slots=True)
class GangPlan:
    """Where and when a gang is expected to start, and when it is expected to end.

    `slots` holds the number of tasks for each server.
    """

    starts_at: float
    ends_at: float
    slots: dict[str, int] = field(default_factory=dict)


def plan_gang(
    candidates: Iterable[GangCandidate],
    tasks: int,
    duration_s: float,
    *,
    same_rack: bool = False,
    held: Collection[str] = (),
) -> GangPlan | None:
    """Return the plan with the least expected end, or None if the room is too small.

    `duration_s` is that of a task on a server of speed 1.  Among plans that end equally
    soon, that on the slowest servers is chosen, as urgent work needs the fast ones;
    within a plan, servers that the gang already holds, then those that it leaves no
    room for one more of its tasks on, as that room is often unusable.
    """
    found = list(candidates)
    sound = [each for each in found if not each.suspect]
    for pool in (sound, found) if len(sound) < len(found) else (found,):
        groups = _by_rack(pool) if same_rack else [pool]
        plans = [
            plan
            for group in groups
            if (plan := _plan_by_class(group, tasks, duration_s, held)) is not None
        ]
        if plans:
            return min(plans, key=lambda each: each.ends_at)
    return None


def _by_rack(candidates: Iterable[GangCandidate]) -> list[list[GangCandidate]]:
    racks: dict[str, list[GangCandidate]] = {}
    for each in candidates:
        racks.setdefault(each.rack, []).append(each)
    return list(racks.values())


def _plan_by_class(
    candidates: Sequence[GangCandidate],
    tasks: int,
    duration_s: float,
    held: Collection[str],
) -> GangPlan | None:
    """Return the best plan over the slowest speed that its servers may have."""
    best: GangPlan | None = None
    for floor in _class_floors(candidates):
        pool = [each for each in candidates if each.speed >= floor]
        plan = _plan_from(pool, tasks, duration_s, held)
        if plan is None:
            break
        gain_s = max(MIN_GAIN_S, MIN_GAIN_SHARE * duration_s)
        if best is None or plan.ends_at < best.ends_at - gain_s:
            best = plan
    return best


def _class_floors(candidates: Sequence[GangCandidate]) -> list[float]:
    """Return the lowest speed of each class of about equally fast servers, ascending.

    Classes are formed from the fastest server downwards.
    """
    floors: list[float] = []
    highest = 0.0
    for speed in sorted({each.speed for each in candidates}, reverse=True):
        if floors and speed * SPEED_CLASS_WIDTH >= highest:
            floors[-1] = speed
        elif len(floors) < MAX_SPEED_CLASSES:
            floors.append(speed)
            highest = speed
        else:
            floors[-1] = speed
    return floors[::-1]


def _plan_from(
    pool: Sequence[GangCandidate],
    tasks: int,
    duration_s: float,
    held: Collection[str],
) -> GangPlan | None:
    """Return the earliest plan on the servers of `pool`, the slower ones first."""
    times = sorted(at for each in pool for at in each.slots_at)
    if tasks <= 0 or len(times) < tasks:
        return None
    starts_at = times[tasks - 1]
    ready = [
        (sum(at <= starts_at for at in each.slots_at), each)
        for each in pool
        if each.slots_at[0] <= starts_at
    ]
    slowest = min(each.speed for _, each in ready) * SPEED_CLASS_WIDTH
    ready.sort(
        key=lambda pair: (
            0.0 if pair[1].speed <= slowest else pair[1].speed,
            pair[1].server_id not in held,
            not pair[1].preferred,
            pair[0] < len(pair[1].slots_at),
            -pair[0],
        )
    )
    slots: dict[str, int] = {}
    speeds: list[float] = []
    missing = tasks
    for count, each in ready:
        if missing <= 0:
            break
        slots[each.server_id] = min(count, missing)
        speeds.append(each.speed)
        missing -= count
    return GangPlan(starts_at, starts_at + duration_s / min(speeds), slots)
