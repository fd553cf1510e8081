"""Tests of the models of durations and server speeds."""

from __future__ import annotations

import math
import random

import pytest

from cassiaweir.scheduling import (
    DurationModel,
    Progress,
    ProgressSampler,
    ServerSpeeds,
    StepDurations,
)

SEEDS = range(10)


def draw(rng: random.Random, estimate_error: float = 0.9) -> tuple[float, float]:
    """Return the estimate and the duration of a task of a queue of about 3 s."""
    actual_s = 3 * math.exp(rng.gauss(0, 0.5))
    return actual_s * math.exp(rng.gauss(0, estimate_error)), actual_s


def learnt(rng: random.Random, samples: int) -> DurationModel:
    model = DurationModel()
    for number in range(samples):
        model.record("q", *draw(rng), at=number * 0.3)
    return model


# Guards against a model that is no better than estimates that are off by a factor.
@pytest.mark.parametrize(("samples", "most"), [(20, 0.7), (100, 0.6)])
def test_expected_durations_are_closer_than_wrong_estimates(samples: int, most: float):
    for seed in SEEDS:
        rng = random.Random(seed)
        model = learnt(rng, samples)
        tasks = [draw(rng) for _ in range(500)]
        of_estimates = sum(abs(math.log(x / y)) for x, y in tasks)
        of_model = sum(abs(math.log(model.expected_s("q", x) / y)) for x, y in tasks)
        assert of_model < most * of_estimates


# Guards against a model that spoils estimates that are right, with few samples or many.
@pytest.mark.parametrize("samples", [0, 3, 300])
def test_right_estimates_are_kept(samples: int):
    rng = random.Random(1)
    model = DurationModel()
    for number in range(samples):
        model.record("q", *draw(rng, 0.1), at=number)
    for estimate_s in (1.0, 3.0, 9.0):
        assert model.expected_s("q", estimate_s) == pytest.approx(estimate_s, rel=0.15)


# Guards against bounds that are exceeded far more often, or less, than they say.
def test_the_spread_and_quantiles_fit_the_durations():
    for seed in SEEDS:
        rng = random.Random(seed)
        model = learnt(rng, 300)
        assert 0.36 < model.spread("q") < 0.54  # 0.44 around the best regression
        tasks = [draw(rng) for _ in range(1_000)]
        below = sum(y <= model.quantile_s("q", x, 0.9) for x, y in tasks)
        assert 840 < below < 960


# Guards against errors at durations and estimates of 0, and against invalid samples.
def test_unknown_estimates_and_odd_durations_are_handled():
    model = DurationModel()
    assert model.expected_s("q", 0) == 1.0
    for bad in (-1.0, math.nan, math.inf):
        model.record("q", 2.0, bad, at=0)
    assert model.expected_s("q", 2.0) == 2.0
    for number in range(50):
        model.record("q", 0, 5.0, at=number)
    assert model.expected_s("q", 0) == pytest.approx(5, rel=0.1)
    assert model.expected_s("q", 2.0) == 2.0
    model.record("q", 2.0, 0.0, at=60)
    assert 0 < model.expected_s("q", 2.0) < 2.0


# Guards against a model that clings to what was true minutes ago, or grows for ever.
def test_old_samples_lose_weight_and_queues_are_bounded():
    model = DurationModel()
    for number in range(400):
        model.record("q", 1.0, 1.0 if number < 200 else 3.0, at=number * 3)
    assert model.expected_s("q", 1.0) == pytest.approx(3, rel=0.1)
    for number in range(1_000):
        model.record(f"q{number}", 1.0, 2.0, at=1_200)
    assert model.expected_s("q", 1.0) == 1.0


# Guards against using a wrong estimate once tasks of the step show their rate.
def test_the_progress_of_a_step_overrules_its_estimate():
    steps = StepDurations(DurationModel())
    for _ in range(6):
        steps.record_progress("s", speed=2.0, percent=25, elapsed_s=0.5)
    assert steps.expected_s("s", "q", 20.0) == pytest.approx(4, rel=0.25)
    assert steps.expected_s("other", "q", 20.0) == 20.0
    assert steps.quantile_s("s", "q", 20.0, 0.9) < 2 * steps.expected_s("s", "q", 20.0)


# Guards against one straggler that makes all other tasks of its step look slow.
def test_one_straggler_does_not_change_the_expected_duration_much():
    steps = StepDurations(DurationModel())
    for _ in range(9):
        steps.record_progress("s", 1.0, 100, 2.0)
    steps.record_progress("s", 1.0, 100, 40.0)
    assert steps.expected_s("s", "q", 2.0) < 2.5


# Guards against malformed progress that changes what is learnt.
def test_progress_that_falls_back_or_is_out_of_range_changes_nothing():
    sampler = ProgressSampler()
    sampler.begin(0.0)
    assert sampler.read(30, 1.0) == Progress(30, 1.0)
    for percent in (20, -5, 101, 1_000, math.nan, math.inf):
        assert sampler.read(percent, 1.5) is None
    assert sampler.read(33, 1.1) is None
    assert sampler.read(60, 2.0) == Progress(30, 1.0)
    assert sampler.end(4.0) == Progress(40, 2.0)


def run_load(
    speeds: ServerSpeeds, true: dict[str, float], rng: random.Random, jobs: int
) -> None:
    """Record whole tasks of steps of 3 or 25 tasks on random servers."""
    for number in range(jobs):
        rate = math.exp(rng.gauss(0, 0.5))
        for _ in range(3 if number % 10 else 25):
            server = rng.choice(list(true))
            task_rate = rate * true[server] * math.exp(rng.gauss(0, 0.25))
            speeds.record(f"s{number}", server, task_rate, at=number / 45)


# Guards against fast servers that are not found; 225 jobs are 5 s of the usual load.
def test_two_speeds_are_found_within_seconds_and_the_median_is_one():
    true = {f"i{number}": 1.7 if number % 3 == 0 else 0.7 for number in range(60)}
    for seed in SEEDS:
        speeds = ServerSpeeds()
        run_load(speeds, true, random.Random(seed), 225)
        errors = [
            abs(math.log(speeds.speed(each) / (true[each] / 0.7))) for each in true
        ]
        assert sum(errors) / len(errors) < 0.2
        fast = {each for each in true if speeds.speed(each) > 1.5}
        assert len(fast ^ {each for each in true if true[each] > 1}) <= 3
        assert speeds.mean == pytest.approx(1.48, rel=0.15)
        assert speeds.upper > 1.6


# Guards against servers that are called fast or slow by noise alone.
def test_equal_servers_are_found_to_be_equal():
    true = {f"i{number}": 1.0 for number in range(60)}
    for seed in SEEDS:
        speeds = ServerSpeeds()
        run_load(speeds, true, random.Random(seed), 450)
        outside = [each for each in true if not 0.8 < speeds.speed(each) < 1.25]
        assert len(outside) <= 2


# Guards against a stalled or failing server that spoils the speeds of all others.
def test_a_stalled_or_crawling_server_does_not_change_the_others():
    true = {f"i{number}": 1.0 for number in range(20)} | {"crawls": 0.03}
    speeds = ServerSpeeds()
    for number in range(30):
        speeds.record(f"s{number}", "stalled", 0.0, at=0.0)
    run_load(speeds, true, random.Random(3), 300)
    assert not speeds.known("stalled")
    assert speeds.speed("stalled") == 1.0
    assert speeds.speed("crawls") < 0.3
    for each in true.keys() - {"crawls"}:
        assert speeds.speed(each) == pytest.approx(1, rel=0.3)


# Guards against a server whose new lifetime is judged by the former one.
def test_a_forgotten_server_is_unknown_and_learnt_again():
    true = {f"i{number}": 1.7 if number < 5 else 0.7 for number in range(15)}
    speeds = ServerSpeeds()
    run_load(speeds, true, random.Random(4), 200)
    assert speeds.known("i0")
    speeds.forget("i0")
    assert not speeds.known("i0")
    assert speeds.speed("i0") == 1.0
    true["i0"] = 0.7
    run_load(speeds, true, random.Random(5), 200)
    assert speeds.speed("i0") == pytest.approx(1, rel=0.25)
