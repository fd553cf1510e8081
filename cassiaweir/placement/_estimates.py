"""Corrects declared sizes and run times by what was observed."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque

from cassiaweir.placement._records import RunningTask
from cassiaweir.placement._types import TaskGroup
from cassiaweir.types import JobKind, Resources

WINDOW_SAMPLES = 31
FEWEST_SAMPLES = 5
LOWEST_FACTOR = 0.05
HIGHEST_FACTOR = 20.0
NEVER = float("inf")


class RatioWindow:
    """The median of the last ratios of observed to declared, within bounds."""

    __slots__ = ("_ordered", "_ratios", "factor")

    def __init__(self) -> None:
        self._ratios: deque[float] = deque()
        self._ordered: list[float] = []
        self.factor = 1.0
        """The median, or 1 while the samples are too few."""

    def add(self, ratio: float) -> None:
        """Note one ratio; the oldest one leaves a full window."""
        ratios, ordered = self._ratios, self._ordered
        ratio = min(max(ratio, LOWEST_FACTOR), HIGHEST_FACTOR)
        if len(ratios) == WINDOW_SAMPLES:
            del ordered[bisect_left(ordered, ratios.popleft())]
        ratios.append(ratio)
        insort(ordered, ratio)
        count = len(ordered)
        if count >= FEWEST_SAMPLES:
            self.factor = (ordered[count // 2] + ordered[~(count // 2)]) / 2


class KindEstimates:
    """Factors of processor use and of run time, for one kind of job of a team.

    They steer the order and the choice of VMs; what a VM and a team may hold is
    always counted by declared size.
    """

    __slots__ = ("_duration", "_usage")

    def __init__(self) -> None:
        self._usage = RatioWindow()
        self._duration = RatioWindow()

    def note_usage(self, group: TaskGroup, usage: Resources) -> None:
        """Note the observed use of a running task; zero is not yet known."""
        if usage.cpu_millis and group.size.cpu_millis:
            self._usage.add(usage.cpu_millis / group.size.cpu_millis)

    def note_duration(self, group: TaskGroup, seconds: float) -> None:
        """Note how long a task ran that ended by itself."""
        if group.declared_seconds:
            self._duration.add(seconds / group.declared_seconds)

    def expected_cpu(self, group: TaskGroup) -> int:
        """Return the processor use to expect of a task, in millis."""
        return int(group.size.cpu_millis * self._usage.factor)

    def expected_seconds(self, group: TaskGroup) -> float:
        """Return the run time to expect of a task; services never end."""
        if group.kind is JobKind.SERVICE or not group.declared_seconds:
            return NEVER
        return group.declared_seconds * self._duration.factor

    def longest_seconds(self, group: TaskGroup) -> float:
        """Return the longer one of the declared and the expected run time."""
        return max(group.declared_seconds, self.expected_seconds(group))


class Estimates:
    """The estimates of all teams and kinds."""

    def __init__(self) -> None:
        self._by_kind: dict[tuple[str, JobKind], KindEstimates] = {}

    def of(self, group: TaskGroup) -> KindEstimates:
        """Return the estimates for the jobs like `group`."""
        key = (group.team, group.kind)
        found = self._by_kind.get(key)
        if found is None:
            found = self._by_kind[key] = KindEstimates()
        return found


def expected_end(task: RunningTask, now: float) -> float:
    """Return when a running task is expected to end.

    One that has overrun is expected to run as long again as it has run.
    """
    if task.ends_at > now:
        return task.ends_at
    return 2 * now - task.started_at
