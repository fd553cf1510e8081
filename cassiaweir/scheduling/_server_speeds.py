"""Derives the relative speeds of servers from the rates of tasks of the same step."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from statistics import fmean, median, quantiles

MAX_STEPS = 4_096
"""The steps without a sample for the longest time are forgotten beyond this number."""

MAX_SERVERS_PER_STEP = 64
"""Further servers of a step are compared with these, but are not part of the mean."""

PRIOR_WEIGHT = 1.0
"""Weight, in samples, of the assumption that a server is as fast as the median."""

MAX_WEIGHT = 12.0
"""Limit for the weight of former samples, so that a speed that changes is followed."""

KNOWN_WEIGHT = 2.0
"""Weight of samples from which a speed counts as known."""

HALF_LIFE_S = 30.0
"""The samples of a server lose half of their weight in this time without a new one."""

MAX_RESIDUAL = 1.0
"""Limit for the error of one log rate, so that failing servers mislead little."""

MIN_RECENTRE_SAMPLES = 32
"""The median is computed again after this many samples, or one for each server."""


@dataclass(slots=True)
class _ServerState:
    """The uncentred logarithm of a server's speed and the weight of its samples."""

    log: float = 0.0
    weight: float = 0.0
    at: float = -math.inf


@dataclass(slots=True)
class _StepRates:
    """Log rates of one step, corrected for the speed of the server of each.

    `by_server` holds sum and number for each server, `total` and `count` for all.
    """

    total: float = 0.0
    count: float = 0.0
    by_server: dict[str, tuple[float, float]] = field(default_factory=dict)

    def others(self, server_id: str) -> tuple[float, float]:
        """Return sum and number of the samples of all other servers."""
        total, count = self.by_server.get(server_id, (0.0, 0.0))
        return self.total - total, self.count - count

    def add(self, server_id: str, corrected: float) -> None:
        """Add a corrected log rate of a server."""
        known = self.by_server.get(server_id)
        if known is None:
            if len(self.by_server) >= MAX_SERVERS_PER_STEP:
                return
            known = (0.0, 0.0)
        if self.count:
            mean = self.total / self.count
            limits = (mean - MAX_RESIDUAL, mean + MAX_RESIDUAL)
            corrected = min(max(corrected, limits[0]), limits[1])
        self.by_server[server_id] = (known[0] + corrected, known[1] + 1)
        self.total += corrected
        self.count += 1


class ServerSpeeds:
    """The speeds of servers relative to the median server, which has 1.

    The logarithm of the rate of a task is taken as the sum of a part of its step and a
    part of its server.  Both are followed by weighted residuals, without any estimate.
    """

    def __init__(self) -> None:
        self._servers: dict[str, _ServerState] = {}
        self._steps: OrderedDict[str, _StepRates] = OrderedDict()
        self._centre = 0.0
        self._since_centred = 0
        self._mean = 1.0
        self._upper = 1.0

    def record(self, step: str, server_id: str, rate: float, at: float = 0.0) -> None:
        """Add the rate at which a task of `step` progressed on a server.

        Any unit will do that is the same for all tasks of the step.  Rates that are not
        positive are ignored: a task that has stalled says nothing about the speed.
        """
        if not (math.isfinite(rate) and rate > 0):
            return
        log_rate = math.log(rate)
        rates = self._steps.get(step)
        if rates is None:
            rates = self._steps[step] = _StepRates()
            if len(self._steps) > MAX_STEPS:
                self._steps.popitem(last=False)
        self._steps.move_to_end(step)
        state = self._servers.get(server_id)
        if state is None:
            state = _ServerState(log=self._centre)
        total, count = rates.others(server_id)
        if count > 0:
            self._servers[server_id] = state
            self._update(state, log_rate - total / count, count, at)
        rates.add(server_id, log_rate - state.log)

    def speed(self, server_id: str) -> float:
        """Return the speed of a server, 1.0 while it is unknown."""
        state = self._servers.get(server_id)
        if state is None or state.weight < KNOWN_WEIGHT:
            return 1.0
        return math.exp(state.log - self._centre)

    def known(self, server_id: str) -> bool:
        """Return whether enough was seen of a server to know its speed."""
        state = self._servers.get(server_id)
        return state is not None and state.weight >= KNOWN_WEIGHT

    def forget(self, server_id: str) -> None:
        """Forget a server that is gone, has restarted or has recovered."""
        self._servers.pop(server_id, None)

    def forget_step(self, step: str) -> None:
        """Forget the rates of a step that has ended."""
        self._steps.pop(step, None)

    @property
    def mean(self) -> float:
        """The mean of the known speeds, 1.0 while there are none."""
        return self._mean

    @property
    def upper(self) -> float:
        """The speed that a quarter of the known servers exceeds."""
        return self._upper

    def _update(
        self, state: _ServerState, observed: float, others: float, at: float
    ) -> None:
        """Move a server's speed towards `observed`, seen against `others` samples."""
        if at > state.at > -math.inf:
            state.weight *= 0.5 ** ((at - state.at) / HALF_LIFE_S)
        state.at = max(at, state.at)
        weight = others / (others + 1)
        residual = min(max(observed - state.log, -MAX_RESIDUAL), MAX_RESIDUAL)
        state.log += residual * weight / (state.weight + weight + PRIOR_WEIGHT)
        state.weight = min(state.weight + weight, MAX_WEIGHT)
        self._since_centred += 1
        if self._since_centred >= max(MIN_RECENTRE_SAMPLES, len(self._servers)):
            self._recentre()

    def _recentre(self) -> None:
        """Compute the median, mean and upper quartile of the known speeds again.

        This is done once for at least as many samples as there are servers, so that
        its cost for each sample does not grow with their number.
        """
        self._since_centred = 0
        logs = [
            each.log for each in self._servers.values() if each.weight >= KNOWN_WEIGHT
        ]
        if len(logs) < 2:
            return
        self._centre = median(logs)
        speeds = [math.exp(log - self._centre) for log in logs]
        self._mean = fmean(speeds)
        self._upper = max(quantiles(speeds, n=4)[2], self._mean)
