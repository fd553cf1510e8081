"""Finds kinds of tasks that slow each other down on one server.

A pair is a kind and another one, or the same, beside which its tasks progress more
slowly.  For each pair the model compares samples of the kind with and without the other
kind on the server.  Design note 15 derives the test.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from loguru import logger

HALF_LIFE_S = 60.0
MAX_KINDS = 64
MAX_PAIRS = 512
KIND_TIMEOUT_S = 120.0
"""A kind without samples for this long may be replaced by a new one."""

MAX_PLACES = 32
"""Groups of servers that are told apart; larger fleets have several in each group."""

MAX_SERVERS = 4_096
"""Servers that are assigned to groups; the assignment begins anew beyond that."""

ALARM_PROBABILITY = 0.01 * HALF_LIFE_S / 3_600
"""Probability of a false alarm of any pair within a half life: one in 100 hours."""

MIN_COUNTED_PAIRS = 64
"""The probability is divided among the pairs that are known, at least this many."""

EFFECT_VARIANCE = math.log(1.5) ** 2
"""Variance of the logarithm of the slowdowns that the test is most sensitive to."""

TASK_VARIANCE = 0.3**2
"""Variance of the log rate among the tasks of a step, before it was measured."""

TASK_VARIANCE_WEIGHT = 20.0
"""Number of tasks as which `TASK_VARIANCE` counts in the measured variance."""

MIN_TASK_VARIANCE = 0.2**2
SERVER_VARIANCE = 0.15**2
"""Variance of the error in the log speed of servers; learnt speeds are inexact."""

MAX_LOG_RATIO = 1.0
"""Limit for the logarithm of a ratio, so that no single sample decides."""

MIN_SLOWDOWN = 1.25
"""Smaller effects are not reported, as packing matters more then."""

KEEP_SLOWDOWN = 1.1
"""A reported pair is gone once its slowdown is below this."""

MIN_PLACES = 3
"""Places that must show the effect, without the one that shows it most clearly."""

MIN_PLACE_INFORMATION = 1.0
"""Information from which a place shows something: a tenth of a task on each side."""

MIN_SPREAD = 1e-6
MIN_WEIGHT = 4.0
"""Tasks that must have been observed beside the other kind."""

KEEP_WEIGHT = 2.0
"""A reported pair is gone once its aged samples count for fewer tasks than this."""

CHECK_INTERVAL_S = 1.0
MAX_CHECKS_PER_SECOND = 50
"""Pairs that are checked in a second at most; a check takes 0.2 ms."""

NO_SHARES: Mapping[str, float] = MappingProxyType({})
MAX_GROWTH = 1e6
"""New samples are weighted by a growing factor, which is reset at this value."""


@dataclass(frozen=True, slots=True)
class InterferingPair:
    """What is known of a pair.

    `tasks` and `tasks_without` are the aged numbers of tasks of `kind` that were
    observed with and without `beside`.  `found` is whether the pair is reported;
    `slowdown` is an estimate also if it is not.
    """

    kind: str
    beside: str
    slowdown: float
    tasks: float
    tasks_without: float
    found: bool


@dataclass(slots=True)
class _Sums:
    """Weighted sums over samples of a log ratio x and a contrast d.

    The contrast is 1 with the other kind beside the task and 0 without, less the share
    of siblings beside which it ran.
    """

    weight: float = 0.0
    d: float = 0.0
    dd: float = 0.0
    x: float = 0.0
    xd: float = 0.0
    xx: float = 0.0

    def add(self, weight: float, contrast: float, value: float) -> None:
        self.weight += weight
        weighted = weight * contrast
        self.d += weighted
        self.dd += weighted * contrast
        self.xd += weighted * value
        weighted = weight * value
        self.x += weighted
        self.xx += weighted * value

    def add_scaled(self, sums: _Sums, factor: float) -> None:
        self.weight += sums.weight * factor
        self.d += sums.d * factor
        self.dd += sums.dd * factor
        self.x += sums.x * factor
        self.xd += sums.xd * factor
        self.xx += sums.xx * factor

    def scaled(self, factor: float) -> _Sums:
        found = _Sums()
        found.add_scaled(self, factor)
        return found


_Place = tuple[int, bool]
"""A group of servers, and whether the server was full."""


@dataclass(slots=True)
class _Pair:
    """The samples of a pair by place; `exposed` is the weight of those beside it.

    `effect` is the log slowdown while the pair is reported.
    """

    kind: str
    beside: str
    checked_at: float
    places: dict[_Place, _Sums] = field(default_factory=dict)
    exposed: float = 0.0
    effect: float = 0.0
    found: bool = False

    def add(self, place: _Place, weight: float, contrast: float, value: float) -> None:
        sums = self.places.get(place)
        if sums is None:
            sums = self.places[place] = _Sums()
        sums.add(weight, contrast, value)

    def whole(self, growth: float) -> _Sums:
        """Return the sums over all places at today's weights."""
        whole = _Sums()
        for sums in self.places.values():
            whole.add_scaled(sums, 1 / growth)
        return whole

    def scale(self, factor: float) -> None:
        self.places = {
            place: sums.scaled(factor) for place, sums in self.places.items()
        }
        self.exposed *= factor

    def reset(self) -> None:
        self.places, self.exposed = {}, 0.0
        self.effect, self.found = 0.0, False


@dataclass(frozen=True, slots=True)
class _Evidence:
    """The estimated log slowdown of a pair and by how much it exceeds the threshold.

    `margin` is the squared z value divided by its threshold, 0 without a slowdown.
    """

    effect: float
    margin: float


class InterferenceModel:
    """Learns which kinds of tasks slow each other down on one server.

    `on_change` is called after a pair was found or has gone.  Times are seconds on the
    clock of the caller.  The cost of a sample does not depend on the number of servers.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None) -> None:
        self._on_change = on_change
        self._seen_at: dict[str, float] = {}
        self._pairs: dict[str, dict[str, _Pair]] = {}
        self._pair_count = 0
        self._found: dict[str, dict[str, float]] = {}
        self._places: dict[str, int] = {}
        self._place_weights: dict[int, float] = {}
        self._growth_since: float | None = None
        self._now = -math.inf
        self._aged_at = -math.inf

    def record(
        self,
        kind: str,
        others: Collection[str],
        ratio: float,
        at: float,
        *,
        weight: float = 1.0,
        sibling_shares: Mapping[str, float] = NO_SHARES,
        server_id: str = "",
        full: bool = False,
    ) -> None:
        """Add a sample of a task of `kind` that ran beside tasks of the kinds `others`.

        `ratio` is its rate relative to that of its siblings on other servers, corrected
        for the speeds of the servers.  `weight` is the share of the task's work in
        which it was measured.  `sibling_shares` is the share of the siblings that ran
        beside each kind, so that a task that differs from its siblings in nothing is no
        evidence.  `full` is whether the server had little capacity left.
        """
        if not (ratio > 0 and weight > 0):
            return
        now = self._now = max(self._now, at)
        if not self._admit(kind):
            return
        growth = self._growth(now)
        value = max(min(math.log(ratio), MAX_LOG_RATIO), -MAX_LOG_RATIO)
        pairs = self._pairs.setdefault(kind, {})
        due: list[_Pair] = []
        for other in others:
            # Kinds that only run beside others, as gangs do, are seen here alone.
            if self._admit(other) and other not in pairs:
                self._add_pair(kind, other)
        place = (self._place(server_id), full)
        # What the reported pairs explain is no evidence for others.
        explained = {
            other: effect * ((other in others) - sibling_shares.get(other, 0.0))
            for other, effect in self._found.get(kind, {}).items()
        }
        value += sum(explained.values())
        weight *= growth
        self._place_weights[place[0]] = self._place_weights.get(place[0], 0.0) + weight
        for other, pair in pairs.items():
            beside = other in others
            contrast = beside - sibling_shares.get(other, 0.0)
            pair.add(place, weight, contrast, value - explained.get(other, 0.0))
            if beside:
                pair.exposed += weight
                if now - pair.checked_at >= self._check_interval_s:
                    due.append(pair)
        for pair in due:
            pair.checked_at = now
            self._check(pair)

    @property
    def _check_interval_s(self) -> float:
        return max(CHECK_INTERVAL_S, self._pair_count / MAX_CHECKS_PER_SECOND)

    def age(self, now: float) -> None:
        """Drop reported pairs whose samples have become too old."""
        self._now = max(self._now, now)
        if self._now - self._aged_at < CHECK_INTERVAL_S:
            return
        self._aged_at = self._now
        for kind, others in list(self._found.items()):
            for other in list(others):
                self._check(self._pairs[kind][other])

    def slowdown(self, kind: str, beside: str) -> float:
        """Return how many times longer tasks of `kind` take beside `beside`.

        It is 1.0 unless the pair is reported.
        """
        return math.exp(self._found.get(kind, {}).get(beside, 0.0))

    def affects(self, kind: str) -> bool:
        """Return whether `kind` is part of a reported pair."""
        return kind in self._found or any(
            kind in others for others in self._found.values()
        )

    def penalty(self, kind: str, others: Collection[str]) -> float:
        """Return the cost of a task of `kind` beside tasks of the kinds `others`.

        It is the sum of the log slowdowns that the task suffers and causes, 0.0 if
        nothing interferes.
        """
        if not self._found:
            return 0.0
        suffered = self._found.get(kind, {})
        cost = 0.0
        for other in others:
            cost += suffered.get(other, 0.0)
            cost += self._found.get(other, {}).get(kind, 0.0)
        return cost

    @property
    def found_count(self) -> int:
        """The number of reported pairs."""
        return sum(len(others) for others in self._found.values())

    def pairs(self) -> list[InterferingPair]:
        """Return what is known of all pairs, reported ones first."""
        growth = self._growth(self._now)
        listed = []
        for pair in self._all_pairs():
            whole = pair.whole(growth)
            spread = whole.dd - whole.d * whole.d / whole.weight if whole.weight else 0
            effect = pair.effect
            if not pair.found and spread > MIN_SPREAD:
                effect = -(whole.xd - whole.x * whole.d / whole.weight) / spread
            tasks = pair.exposed / growth
            listed.append(
                InterferingPair(
                    pair.kind,
                    pair.beside,
                    round(math.exp(effect), 2),
                    round(tasks, 1),
                    round(whole.weight - tasks, 1),
                    pair.found,
                )
            )
        listed.sort(key=lambda each: (not each.found, -each.slowdown, each.kind))
        return listed

    def clear(self) -> None:
        """Forget everything that was learnt."""
        changed = bool(self._found)
        self._seen_at.clear()
        self._pairs.clear()
        self._pair_count = 0
        self._found.clear()
        self._places.clear()
        self._place_weights.clear()
        if changed:
            self._on_change()

    def _all_pairs(self) -> Iterator[_Pair]:
        for pairs in self._pairs.values():
            yield from pairs.values()

    def _admit(self, kind: str) -> bool:
        """Note that `kind` was seen; return False if there is no place for it."""
        if kind not in self._seen_at and len(self._seen_at) >= MAX_KINDS:
            oldest = min(self._seen_at, key=self._seen_at.__getitem__)
            if self._now - self._seen_at[oldest] < KIND_TIMEOUT_S:
                return False
            self._remove_kind(oldest)
        self._seen_at[kind] = self._now
        return True

    def _remove_kind(self, kind: str) -> None:
        del self._seen_at[kind]
        removed = list(self._pairs.pop(kind, {}).values())
        for pairs in self._pairs.values():
            if kind in pairs:
                removed.append(pairs.pop(kind))
        self._pair_count -= len(removed)
        for pair in removed:
            if pair.found:
                self._mark_gone(pair, "aged")

    def _add_pair(self, kind: str, other: str) -> None:
        if self._pair_count < MAX_PAIRS:
            self._pair_count += 1
            self._pairs[kind][other] = _Pair(kind, other, self._now)

    def _place(self, server_id: str) -> int:
        place = self._places.get(server_id)
        if place is None:
            if len(self._places) >= MAX_SERVERS:
                self._places.clear()
            place = self._places[server_id] = len(self._places) % MAX_PLACES
        return place

    def _growth(self, now: float) -> float:
        """Return the weight of a sample taken at `now`.

        Instead of the weight of old samples falling, that of new ones grows.
        """
        if self._growth_since is None or now < self._growth_since:
            self._growth_since = now
        growth = math.exp2((now - self._growth_since) / HALF_LIFE_S)
        if growth < MAX_GROWTH:
            return growth
        for pair in self._all_pairs():
            pair.scale(1 / growth)
        for place in self._place_weights:
            self._place_weights[place] /= growth
        self._growth_since = now
        return 1.0

    def _check(self, pair: _Pair) -> None:
        """Decide whether a pair is reported."""
        growth = self._growth(self._now)
        if pair.found:
            self._check_found(pair, growth)
            return
        evidence = self._evidence(pair, growth)
        if evidence is None or evidence.margin < 1:
            return
        # A kind that is often beside the cause seems to slow tasks down as well, but
        # less clearly than the cause itself.
        strongest, clearest = pair, evidence
        for other in self._pairs[pair.kind].values():
            rival = None if other.found else self._evidence(other, growth)
            if rival is not None and rival.margin > clearest.margin:
                strongest, clearest = other, rival
        if clearest.effect >= math.log(MIN_SLOWDOWN):
            self._mark_found(strongest, clearest, growth)

    def _evidence(self, pair: _Pair, growth: float) -> _Evidence | None:
        tests = max(self._pair_count, MIN_COUNTED_PAIRS)
        if pair.exposed / growth < MIN_WEIGHT:
            return None
        places = _correct_places(pair, self._place_weights, growth)
        return _evidence(places, ALARM_PROBABILITY / tests)

    def _check_found(self, pair: _Pair, growth: float) -> None:
        if pair.exposed / growth < KEEP_WEIGHT:
            self._mark_gone(pair, "aged")
            return
        evidence = self._evidence(pair, growth)
        if evidence is None:
            return
        if evidence.effect < math.log(KEEP_SLOWDOWN):
            self._mark_gone(pair, "not_seen")
            return
        pair.effect = self._found[pair.kind][pair.beside] = evidence.effect

    def _mark_found(self, pair: _Pair, evidence: _Evidence, growth: float) -> None:
        pair.found, pair.effect = True, evidence.effect
        self._found.setdefault(pair.kind, {})[pair.beside] = evidence.effect
        logger.info(
            "interference_found",
            kind=pair.kind,
            beside=pair.beside,
            slowdown=round(math.exp(evidence.effect), 2),
            tasks=round(pair.exposed / growth, 1),
        )
        # Samples so far contain the effect that has only now become known.
        for other in self._pairs[pair.kind].values():
            if not other.found:
                other.reset()
        self._on_change()

    def _mark_gone(self, pair: _Pair, cause: str) -> None:
        others = self._found.get(pair.kind, {})
        others.pop(pair.beside, None)
        if not others:
            self._found.pop(pair.kind, None)
        pair.reset()
        logger.info(
            "interference_gone", kind=pair.kind, beside=pair.beside, cause=cause
        )
        self._on_change()


def _correct_places(
    pair: _Pair, place_weights: Mapping[int, float], growth: float
) -> dict[_Place, _Sums]:
    """Return the sums of a pair by place, at the weights of today.

    The learnt speed of a server is a mean over the samples of all its tasks, and is
    lower while the pair is on the server.  The same mean is taken from the contrasts.
    """
    contrasts: dict[int, float] = {}
    for (place, _), sums in pair.places.items():
        contrasts[place] = contrasts.get(place, 0.0) + sums.d
    corrected = {}
    for (place, full), sums in pair.places.items():
        now = sums.scaled(1 / growth)
        shift = contrasts[place] / place_weights[place]
        corrected[place, full] = _Sums(
            weight=now.weight,
            d=now.d - shift * now.weight,
            dd=now.dd - 2 * shift * now.d + shift * shift * now.weight,
            x=now.x,
            xd=now.xd - shift * now.x,
            xx=now.xx,
        )
    return corrected


def _evidence(
    places: Mapping[_Place, _Sums], alarm_probability: float
) -> _Evidence | None:
    """Return the evidence that a pair interferes, None if there are too few samples.

    It is the slope of a regression of log ratios on contrasts.  Each place has its own
    level, normally distributed around that of all places of the same fullness, so that
    a slow or a full server is no evidence.
    """
    whole = _Sums()
    for sums in places.values():
        whole.add_scaled(sums, 1.0)
    variance = _task_variance(whole)
    terms = {place: _weigh_place(sums, variance) for place, sums in places.items()}
    score, information, by_place = _slope(terms)
    if sum(info > MIN_PLACE_INFORMATION for _, info in by_place.values()) <= MIN_PLACES:
        return None
    # One server alone, slow only for a while, must not decide.
    clearest = min(by_place, key=lambda place: by_place[place][0])
    score, information, _ = _slope(
        {place: each for place, each in terms.items() if place[0] != clearest}
    )
    if information <= 0:
        return None
    effect = -score / information
    if effect <= 0:
        return _Evidence(effect, 0.0)
    threshold = _threshold(information, alarm_probability)
    return _Evidence(effect, effect * effect * information / threshold)


def _task_variance(whole: _Sums) -> float:
    """Return the variance of log ratios among tasks that the contrast leaves."""
    if not whole.weight:
        return TASK_VARIANCE
    left = whole.xx - whole.x * whole.x / whole.weight
    spread = whole.dd - whole.d * whole.d / whole.weight
    if spread > MIN_SPREAD:
        left -= (whole.xd - whole.x * whole.d / whole.weight) ** 2 / spread
    measured = TASK_VARIANCE * TASK_VARIANCE_WEIGHT + max(left, 0.0)
    return max(measured / (TASK_VARIANCE_WEIGHT + whole.weight), MIN_TASK_VARIANCE)


def _weigh_place(now: _Sums, variance: float) -> _Sums:
    """Return the sums of one place, weighted by the inverse of their covariance.

    All samples of a place share the error of its level, of `SERVER_VARIANCE`.
    """
    shared = SERVER_VARIANCE / (variance + SERVER_VARIANCE * now.weight)
    return _Sums(
        weight=(now.weight - shared * now.weight * now.weight) / variance,
        d=(now.d - shared * now.weight * now.d) / variance,
        dd=(now.dd - shared * now.d * now.d) / variance,
        x=(now.x - shared * now.weight * now.x) / variance,
        xd=(now.xd - shared * now.x * now.d) / variance,
    )


def _slope(
    terms: Mapping[_Place, _Sums],
) -> tuple[float, float, dict[int, tuple[float, float]]]:
    """Return score and information of the slope, in all and by group of servers.

    The slope is the score divided by the information, the inverse of its variance.
    """
    means: dict[bool, tuple[float, float]] = {}
    for full in (False, True):
        weight = d = x = 0.0
        for (_, was_full), each in terms.items():
            if was_full == full:
                weight, d, x = weight + each.weight, d + each.d, x + each.x
        means[full] = (d / weight, x / weight) if weight else (0.0, 0.0)
    by_place: dict[int, tuple[float, float]] = {}
    for (place, full), each in terms.items():
        mean_d, mean_x = means[full]
        score, information = by_place.get(place, (0.0, 0.0))
        score += each.xd - mean_x * each.d - mean_d * (each.x - mean_x * each.weight)
        information += each.dd - mean_d * (2 * each.d - mean_d * each.weight)
        by_place[place] = (score, information)
    total = sum(score for score, _ in by_place.values())
    return total, sum(info for _, info in by_place.values()), by_place


def _threshold(information: float, alarm_probability: float) -> float:
    """Return the squared z value from which a pair is reported.

    It is the boundary that a normal mixture crosses with `alarm_probability` at most,
    however often it is looked at.
    """
    ratio = information * EFFECT_VARIANCE
    bound = 2 * math.log(1 / alarm_probability) + math.log1p(ratio)
    return (1 + 1 / ratio) * bound
