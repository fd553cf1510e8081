"""Compares the rate of a task with those of its siblings on other servers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_STEPS = 2_048
"""Steps whose rates are kept; the one that was updated longest ago is dropped."""

MIN_SIBLING_WEIGHT = 0.3
"""Work of siblings, in tasks, that must have been observed for a reference."""


@dataclass(frozen=True, slots=True)
class Reference:
    """The mean logarithm of the rates of siblings, and how many tasks it stands for."""

    log_rate: float
    weight: float


@dataclass(slots=True)
class _Sums:
    weight: float = 0.0
    total: float = 0.0

    def add(self, weight: float, value: float) -> None:
        self.weight += weight
        self.total += weight * value


@dataclass(slots=True)
class _StepRates:
    whole: _Sums = field(default_factory=_Sums)
    by_server: dict[str, _Sums] = field(default_factory=dict)


class SiblingRates:
    """The rates of the tasks of each step, corrected for the speed of the servers."""

    def __init__(self) -> None:
        self._steps: OrderedDict[str, _StepRates] = OrderedDict()

    def record(
        self, step: str, server_id: str, log_rate: float, weight: float
    ) -> Reference | None:
        """Add a sample; return the reference of its siblings on other servers.

        `weight` is the share of a task's work in which the rate was measured, so that
        one task has a weight of at most 1.  Return None while too little is known.
        """
        rates = self._steps.get(step)
        if rates is None:
            rates = self._steps[step] = _StepRates()
            if len(self._steps) > MAX_STEPS:
                self._steps.popitem(last=False)
        else:
            self._steps.move_to_end(step)
        own = rates.by_server.setdefault(server_id, _Sums())
        own.add(weight, log_rate)
        rates.whole.add(weight, log_rate)
        others = rates.whole.weight - own.weight
        if others < MIN_SIBLING_WEIGHT:
            return None
        return Reference((rates.whole.total - own.total) / others, others)

    def __len__(self) -> int:
        return len(self._steps)

    def clear(self) -> None:
        """Forget all steps."""
        self._steps.clear()
