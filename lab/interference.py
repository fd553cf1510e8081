"""Shows how reliably interference is found: `python -m lab.interference`.

Simulates fleets under load, one for each seed and scenario.  In the scenario `pair` one
kind of task halves the rate of another; in all others nothing interferes, so each pair
that is found is a false alarm.  `benefit` compares the delays of callers with and
without placement by what was learnt.  `cost` measures the time for a report row.
"""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from statistics import fmean, quantiles

import click
from loguru import logger

from lab._interference_cost import microseconds_per_row
from lab._interference_load import JOB_KINDS, Conditions, Fleet

PAIR_RATE = 0.5
PAIR_LOAD_S = 10.0
"""Time from an empty fleet on within which a pair is to be found."""

CALM_LOAD_S = 20.0
BENEFIT_LOAD_S = 60.0
WARM_UP_S = 10.0
"""Jobs that are submitted before are left out of the benefit."""

COOL_DOWN_S = 10.0
"""Jobs that are submitted within this time before the end are left out as well."""

MIXED_SPEEDS = (0.7, 0.7, 1.7)
"""The speeds of the servers of the deployment sherbrooke."""

CALM_SERVERS = 40
PAIR_SCENARIO = "pair"
CALM_SCENARIOS = {
    "calm": Conditions(servers=CALM_SERVERS),
    "slow servers": Conditions(
        servers=CALM_SERVERS,
        speeds=MIXED_SPEEDS,
        slow_servers=6,
        failing_servers=3,
    ),
    "full servers": Conditions(servers=CALM_SERVERS, load=1.2, full_rate=0.7),
    "pauses": Conditions(servers=CALM_SERVERS, pause_every_s=7.0, late_share=0.1),
    "all troubles": Conditions(
        servers=CALM_SERVERS,
        load=1.2,
        speeds=MIXED_SPEEDS,
        slow_servers=6,
        failing_servers=3,
        full_rate=0.7,
        pause_every_s=7.0,
        late_share=0.1,
    ),
}
"""What fleets are exposed to on which nothing interferes."""

BENEFIT = Conditions(servers=40)


@dataclass(frozen=True, slots=True)
class Found:
    """What was found for a seed: when the pair was, and which pairs were wrong."""

    pair: tuple[str, str]
    after_s: float | None
    wrong: list[tuple[str, str]]


def pair_of(seed: int) -> tuple[str, str]:
    """Return the kind that is slowed down for `seed`, and the kind that does it."""
    rng = random.Random(seed)
    kind = rng.choice([each.kind for each in JOB_KINDS if not each.gang])
    return kind, rng.choice([each.kind for each in JOB_KINDS if each.kind != kind])


def find_pair(seed: int, conditions: Conditions, seconds: float) -> Found:
    """Simulate a fleet on which one pair interferes; placement does not avoid it."""
    pair = pair_of(seed)
    fleet = Fleet(seed, replace(conditions, factors={pair: PAIR_RATE}, avoid=False))
    fleet.run(seconds)
    wrong = [each for each in fleet.found_at if each != pair]
    return Found(pair, fleet.found_at.get(pair), wrong)


def false_alarms(
    seed: int, conditions: Conditions, seconds: float
) -> list[tuple[str, str]]:
    """Return the pairs that are found on a fleet on which nothing interferes."""
    fleet = Fleet(seed, conditions)
    fleet.run(seconds)
    return list(fleet.found_at)


def mean_delay_s(
    seed: int,
    conditions: Conditions,
    seconds: float,
    *,
    avoid: bool,
    rate: float = PAIR_RATE,
) -> tuple[float, float]:
    """Return the mean delays of jobs of the slowed kind and of all jobs."""
    pair = pair_of(seed)
    fleet = Fleet(seed, replace(conditions, factors={pair: rate}, avoid=avoid))
    fleet.run(seconds)
    measured = range(round(WARM_UP_S * 1_000), round((seconds - COOL_DOWN_S) * 1_000))
    delays = [
        (kind, delay_s)
        for kind, submitted_at, delay_s in fleet.delays(seconds)
        if round(submitted_at * 1_000) in measured
    ]
    slowed = [delay_s for kind, delay_s in delays if kind == pair[0]]
    return fmean(slowed), fmean(delay_s for _, delay_s in delays)


def _disable_logs() -> None:
    """Print no events of the simulated leaders, in the process that calls this."""
    logger.disable("cassiaweir")


def _map_seeds(work: object, seeds: int, workers: int) -> list:
    with ProcessPoolExecutor(workers, initializer=_disable_logs) as executor:
        return list(executor.map(work, range(seeds)))  # type: ignore[arg-type]


def _print_pair(seeds: int, workers: int) -> None:
    conditions = Conditions(servers=176)
    work = partial(find_pair, conditions=conditions, seconds=PAIR_LOAD_S)
    found: list[Found] = _map_seeds(work, seeds, workers)
    times = sorted(each.after_s for each in found if each.after_s is not None)
    wrong = [each.wrong for each in found if each.wrong]
    missed = [seed for seed, each in enumerate(found) if each.after_s is None]
    click.echo(f"pair: found in {len(times)} of {seeds} seeds, missed {missed}")
    if len(times) > 1:
        deciles = quantiles(times, n=10)
        click.echo(
            f"pair: after {fmean(times):.1f} s on average, 90% within"
            f" {deciles[8]:.1f} s, at most {times[-1]:.1f} s"
        )
    click.echo(f"pair: seeds in which a wrong pair was found: {len(wrong)} {wrong}")


def _print_calm(name: str, seeds: int, workers: int) -> None:
    work = partial(false_alarms, conditions=CALM_SCENARIOS[name], seconds=CALM_LOAD_S)
    found = _map_seeds(work, seeds, workers)
    alarms = {seed: pairs for seed, pairs in enumerate(found) if pairs}
    click.echo(f"{name}: false alarms in {len(alarms)} of {seeds} seeds {alarms}")


def _print_benefit(seeds: int, workers: int) -> None:
    means: dict[bool, Sequence[tuple[float, float]]] = {}
    for avoid in (False, True):
        work = partial(
            mean_delay_s, conditions=BENEFIT, seconds=BENEFIT_LOAD_S, avoid=avoid
        )
        means[avoid] = _map_seeds(work, seeds, workers)
    better = sum(
        after[0] < before[0]
        for before, after in zip(means[False], means[True], strict=True)
    )
    for index, jobs in enumerate(("jobs of the slowed kind", "all jobs")):
        before = fmean(each[index] for each in means[False])
        after = fmean(each[index] for each in means[True])
        click.echo(f"benefit: {jobs} take {before:.2f} s without, {after:.2f} s with")
    click.echo(f"benefit: the slowed kind ends sooner in {better} of {seeds} seeds")


def _print_cost() -> None:
    for sampled in (False, True):
        text = "with" if sampled else "without"
        cost = microseconds_per_row(sampled=sampled)
        click.echo(f"cost: {cost:.2f} microseconds for each report row {text} sampling")


SCENARIOS = (PAIR_SCENARIO, *CALM_SCENARIOS, "benefit", "cost")


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=100, help="Seeds from 0 on.")
@click.option("--workers", type=click.IntRange(1), default=2, help="Processes.")
@click.argument("scenarios", nargs=-1, type=click.Choice(SCENARIOS))
def main(seeds: int, workers: int, scenarios: tuple[str, ...]) -> None:
    """Run the SCENARIOS, by default all, and print what was found."""
    for name in scenarios or SCENARIOS:
        began = time.monotonic()
        if name == PAIR_SCENARIO:
            _print_pair(seeds, workers)
        elif name in CALM_SCENARIOS:
            _print_calm(name, seeds, workers)
        elif name == "benefit":
            _print_benefit(seeds, workers)
        else:
            _print_cost()
        click.echo(f"{name}: took {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
