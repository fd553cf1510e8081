"""Compares the rate of a task with those of its siblings on other servers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

MAX_STEPS = 2_048
"""Steps whose rates are kept; the one that was updated longest ago is dropped."""

MIN_SIBLING_WEIGHT = 0.3
"""Weight of samples of siblings from which there is a reference."""


@dataclass(frozen=True, slots=True)
class Reference:
    """What the siblings of a task on other servers show.

    `log_rate` is the mean logarithm of their rates, `weight` the number of tasks that
    it stands for, and `shares` the share of them that ran beside each kind.
    """

    log_rate: float
    weight: float
    shares: Mapping[str, float]


@dataclass(slots=True)
class _Sums:
    """The weight of samples, their weighted total, and the weights by kind beside."""

    weight: float = 0.0
    total: float = 0.0
    beside: dict[str, float] = field(default_factory=dict)

    def add(self, weight: float, value: float, others: Iterable[str]) -> None:
        self.weight += weight
        self.total += weight * value
        for other in others:
            self.beside[other] = self.beside.get(other, 0.0) + weight


@dataclass(slots=True)
class _StepRates:
    whole: _Sums = field(default_factory=_Sums)
    by_server: dict[str, _Sums] = field(default_factory=dict)


class SiblingRates:
    """The rates of the tasks of each step, corrected for the speed of the servers."""

    def __init__(self) -> None:
        self._steps: OrderedDict[str, _StepRates] = OrderedDict()

    def record(
        self,
        step: str,
        server_id: str,
        log_rate: float,
        weight: float,
        others: Collection[str],
    ) -> Reference | None:
        """Add a sample; return the reference of its siblings on other servers.

        `weight` is the part of a task that the sample stands for, in all at most 1 for
        each task, and `others` are the kinds beside it.  Return None while too little
        is known of the siblings.
        """
        rates = self._steps.get(step)
        if rates is None:
            rates = self._steps[step] = _StepRates()
            if len(self._steps) > MAX_STEPS:
                self._steps.popitem(last=False)
        else:
            self._steps.move_to_end(step)
        own, whole = rates.by_server.setdefault(server_id, _Sums()), rates.whole
        own.add(weight, log_rate, others)
        whole.add(weight, log_rate, others)
        siblings = whole.weight - own.weight
        if siblings < MIN_SIBLING_WEIGHT:
            return None
        shares = {
            kind: (beside - own.beside.get(kind, 0.0)) / siblings
            for kind, beside in whole.beside.items()
        }
        return Reference((whole.total - own.total) / siblings, siblings, shares)

    def __len__(self) -> int:
        return len(self._steps)

    def clear(self) -> None:
        """Forget all steps."""
        self._steps.clear()
