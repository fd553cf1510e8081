"""Corrects declared CPU usage and run times by observed ones."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque

from cassiaweir.placement._records import RunningTask
from cassiaweir.placement._types import TaskGroup
from cassiaweir.types import JobKind, Resources

WINDOW_SAMPLES = 31
MIN_SAMPLES = 5
MIN_FACTOR = 0.05
MAX_FACTOR = 20.0
# The expected run time of a service, in seconds.
NEVER = float("inf")


class RatioWindow:
    """The median of the last `WINDOW_SAMPLES` ratios of observed to declared values.

    Each ratio is clamped to `MIN_FACTOR` .. `MAX_FACTOR`.
    """

    __slots__ = ("_ordered", "_ratios", "factor")

    def __init__(self) -> None:
        self._ratios: deque[float] = deque()
        self._ordered: list[float] = []
        self.factor = 1.0
        """The median, or 1 with fewer than `MIN_SAMPLES` samples."""

    def add(self, ratio: float) -> None:
        """Add one ratio; a full window drops its oldest one."""
        ratios, ordered = self._ratios, self._ordered
        ratio = min(max(ratio, MIN_FACTOR), MAX_FACTOR)
        if len(ratios) == WINDOW_SAMPLES:
            del ordered[bisect_left(ordered, ratios.popleft())]
        ratios.append(ratio)
        insort(ordered, ratio)
        count = len(ordered)
        if count >= MIN_SAMPLES:
            self.factor = (ordered[count // 2] + ordered[~(count // 2)]) / 2


class KindEstimates:
    """Correction factors of CPU usage and run time for one kind of job of a team.

    The estimates influence reservations, backfill and the choice of VMs; the limits of
    VMs and teams always count declared resources.
    """

    __slots__ = ("_duration", "_usage")

    def __init__(self) -> None:
        self._usage = RatioWindow()
        self._duration = RatioWindow()

    def record_usage(self, group: TaskGroup, usage: Resources) -> None:
        """Record the observed usage of a running task; 0 means not yet known."""
        if usage.cpu_millis and group.size.cpu_millis:
            self._usage.add(usage.cpu_millis / group.size.cpu_millis)

    def record_duration(self, group: TaskGroup, seconds: float) -> None:
        """Record the run time of a task that ended by itself."""
        if group.declared_seconds:
            self._duration.add(seconds / group.declared_seconds)

    def expected_cpu(self, group: TaskGroup) -> int:
        """Return the expected CPU usage of a task, in thousandths of a core."""
        return int(group.size.cpu_millis * self._usage.factor)

    def expected_seconds(self, group: TaskGroup) -> float:
        """Return the expected run time of a task; `NEVER` if unknown or a service."""
        if group.kind is JobKind.SERVICE or not group.declared_seconds:
            return NEVER
        return group.declared_seconds * self._duration.factor

    def conservative_seconds(self, group: TaskGroup) -> float:
        """Return the longer of the declared and the expected run time."""
        return max(group.declared_seconds, self.expected_seconds(group))


class Estimates:
    """The estimates of all teams and kinds."""

    def __init__(self) -> None:
        self._by_kind: dict[tuple[str, JobKind], KindEstimates] = {}

    def of(self, group: TaskGroup) -> KindEstimates:
        """Return the estimates for jobs of the team and kind of `group`."""
        key = (group.team, group.kind)
        found = self._by_kind.get(key)
        if found is None:
            found = self._by_kind[key] = KindEstimates()
        return found


def expected_end(task: RunningTask, now: float) -> float:
    """Return when a running task is expected to end.

    A task that is past its expected end is taken to run as long again as it has run.
    """
    if task.ends_at > now:
        return task.ends_at
    return 2 * now - task.started_at
