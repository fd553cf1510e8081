"""Tests of the arithmetic of `lab.sizing`."""

from __future__ import annotations

import pytest

from lab._results import PartResult, Point
from lab.sizing import Slopes, fewest_nodes, slopes_of


def part(size_and_value: dict[float, float]) -> PartResult:
    points = [Point(size, {"bytes": value}) for size, value in size_and_value.items()]
    return PartResult("things", "now", points)


def test_a_node_pays_its_share_of_the_fleet() -> None:
    slopes = Slopes(fixed=10, worker=1, task=0.1, start=2)

    assert slopes.at(10) == pytest.approx(10 + (1_400 + 1_900 + 280) / 10)


def test_the_fewest_nodes_just_fit() -> None:
    slopes = Slopes(fixed=10, worker=1, task=0, start=0)

    assert fewest_nodes(slopes, 24) == 100


def test_no_number_of_nodes_brings_the_fixed_part_down() -> None:
    assert fewest_nodes(Slopes(fixed=10, worker=0, task=0, start=0), 9) == 0


def test_a_value_that_falls_counts_as_flat() -> None:
    results = dict.fromkeys(("full", "running", "starts"), part({1: 10, 2: 9}))
    results["peers"] = part({8: 4, 48: 5})

    assert slopes_of(results, "bytes") == Slopes(fixed=5, worker=0, task=0, start=0)


def test_tasks_of_full_shards_are_reported_more_often() -> None:
    results = {
        "workers": part({1: 10, 2: 12}),
        "full": part({1: 10, 2: 15}),
        "running": part({1: 10, 2: 11}),
        "starts": part({0: 1, 2: 7}),
        "peers": part({8: 4, 48: 5}),
    }

    calm = slopes_of(results, "bytes", worker_part="workers")

    assert calm == Slopes(fixed=5, worker=2, task=1, start=3)
    assert slopes_of(results, "bytes") == Slopes(fixed=5, worker=5, task=2, start=3)
