"""Tests the computations of `lab.sizing`."""

from __future__ import annotations

import pytest

from lab._results import PartResult, Point
from lab.sizing import CostModel, build_cost_model, min_nodes


def part(size_and_value: dict[float, float]) -> PartResult:
    points = [Point(size, {"bytes": value}) for size, value in size_and_value.items()]
    return PartResult("things", "now", points)


def test_a_node_carries_its_share_of_the_fleet_cost() -> None:
    model = CostModel(fixed=10, worker=1, task=0.1, start=2)

    assert model.at(10) == pytest.approx(10 + (1_400 + 1_900 + 280) / 10)


def test_min_nodes_is_the_smallest_number_within_the_limit() -> None:
    model = CostModel(fixed=10, worker=1, task=0, start=0)

    assert min_nodes(model, 24) == 100


def test_min_nodes_is_zero_when_the_fixed_cost_is_over_the_limit() -> None:
    assert min_nodes(CostModel(fixed=10, worker=0, task=0, start=0), 9) == 0


def test_a_negative_slope_counts_as_zero() -> None:
    results = dict.fromkeys(("full", "running", "starts"), part({1: 10, 2: 9}))
    results["peers"] = part({8: 4, 48: 5})

    assert build_cost_model(results, "bytes") == CostModel(
        fixed=5, worker=0, task=0, start=0
    )


def test_tasks_of_full_shards_are_reported_more_often() -> None:
    results = {
        "workers": part({1: 10, 2: 12}),
        "full": part({1: 10, 2: 15}),
        "running": part({1: 10, 2: 11}),
        "starts": part({0: 1, 2: 7}),
        "peers": part({8: 4, 48: 5}),
    }

    idle = build_cost_model(results, "bytes", worker_part="workers")

    assert idle == CostModel(fixed=5, worker=2, task=1, start=3)
    assert build_cost_model(results, "bytes") == CostModel(
        fixed=5, worker=5, task=2, start=3
    )
