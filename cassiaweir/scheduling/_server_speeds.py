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

PRIOR_WEIGHT = 0.5
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
class _ServerRates:
    """The log rates of one step on one server.

    `total` is their weighted sum and `share` what they contribute to the sum of the
    step.  `credited` is the weight with which they were used for the server's speed.
    """

    total: float = 0.0
    weight: float = 0.0
    share: float = 0.0
    credited: float = 0.0


@dataclass(slots=True)
class _StepRates:
    """The log rates of one step.

    `total` is their weighted sum, each corrected for the speed of its server, and
    `last` the server of the last sample.
    """

    total: float = 0.0
    weight: float = 0.0
    by_server: dict[str, _ServerRates] = field(default_factory=dict)
    last: str = ""


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
        self._known = 0

    def record(
        self,
        step: str,
        server_id: str,
        rate: float,
        at: float = 0.0,
        weight: float = 1.0,
    ) -> None:
        """Add the rate at which a task of `step` progressed on a server until `at`.

        Any unit will do that is the same for all tasks of the step.  `weight` is the
        part of the task that was observed.  Rates that are not positive are ignored: a
        task that has stalled says nothing about the speed.
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
        of_server = rates.by_server.get(server_id)
        if of_server is None:
            if len(rates.by_server) >= MAX_SERVERS_PER_STEP:
                return
            of_server = rates.by_server[server_id] = _ServerRates()
        of_server.total += weight * log_rate
        of_server.weight += weight
        rates.weight += weight
        self._compare(rates, server_id, at)
        # The tasks on the fastest servers end first and have nothing to be compared
        # with then, so the server of the sample before is compared once more.
        if rates.last not in ("", server_id):
            self._compare(rates, rates.last, at)
        rates.last = server_id

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

    @property
    def known_count(self) -> int:
        """How many speeds were known when the median was last computed."""
        return self._known

    def _compare(self, rates: _StepRates, server_id: str, at: float) -> None:
        """Compare the rates of a step on a server with those on all others."""
        of_server = rates.by_server[server_id]
        mean = of_server.total / of_server.weight
        state = self._servers.get(server_id)
        others = rates.weight - of_server.weight
        if others > 0:
            information = of_server.weight * others / rates.weight
            new = information - of_server.credited
            expected = (rates.total - of_server.share) / others
            if new > 0:
                if state is None:
                    state = self._servers[server_id] = _ServerState(self._centre)
                of_server.credited = information
                self._update(state, mean - expected, new, at)
            corrected = mean - (state.log if state is not None else self._centre)
            limits = (expected - MAX_RESIDUAL, expected + MAX_RESIDUAL)
            corrected = min(max(corrected, limits[0]), limits[1])
        else:
            corrected = mean - (state.log if state is not None else self._centre)
        rates.total -= of_server.share
        of_server.share = of_server.weight * corrected
        rates.total += of_server.share

    def _update(
        self, state: _ServerState, observed: float, weight: float, at: float
    ) -> None:
        """Move the logarithm of a server's speed towards `observed`."""
        if at > state.at > -math.inf:
            state.weight *= 0.5 ** ((at - state.at) / HALF_LIFE_S)
        state.at = max(at, state.at)
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
        self._known = len(logs)
        if len(logs) < 2:
            return
        self._centre = median(logs)
        speeds = [math.exp(log - self._centre) for log in logs]
        self._mean = fmean(speeds)
        self._upper = max(quantiles(speeds, n=4)[2], self._mean)
