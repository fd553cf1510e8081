"""Computes the cost of a node in a cell of the target size: `python -m lab.sizing`.

A node is an entry VM process.  The lines come from `build/capacity.json`.  Workers and
tasks are assumed to be spread evenly over the nodes.
"""

from __future__ import annotations

from dataclasses import dataclass

import click

from cassiaweir.fleet._worker_driver import IDLE_RENEWAL_FACTOR
from lab._results import PartResult
from lab.capacity import load_results

WORKER_VMS = 1_400
RUNNING_TASKS = 19_000
STARTS_PER_SECOND = 140
MAX_NODES = 2_000
PRINTED_NODE_COUNTS = (7, 24, 56, 112)
# What a node may use: milliseconds of processor time per second, bytes per second, MiB.
LIMITS = {"cpu_ms": 39.0, "bytes": 16 * 1024.0, "pss_mib": 64.0}


@dataclass(frozen=True, slots=True)
class CostModel:
    """The parts of one measured value of a node, by cause.

    `fixed` is the value of a process that owns hardly any work in a cell of many nodes.
    `worker`, `task` and `start` are added per worker VM, per running task, and per task
    start a second.
    """

    fixed: float
    worker: float
    task: float
    start: float

    def at(self, nodes: int) -> float:
        """Return the value of one node in a cell of `nodes` nodes."""
        shared_cost = (
            self.worker * WORKER_VMS
            + self.task * RUNNING_TASKS
            + self.start * STARTS_PER_SECOND
        )
        return self.fixed + shared_cost / nodes


def build_cost_model(
    results: dict[str, PartResult], value: str, *, worker_part: str = "full"
) -> CostModel:
    """Return the cost model of `value`; negative slopes count as zero.

    `worker_part` is `full` for shards in which tasks wait, else `workers`.  The workers
    of a full shard report their tasks more often than those in the part `running`, in
    which no task waits; the cost per task is scaled for that.
    """
    report_factor = IDLE_RENEWAL_FACTOR if worker_part == "full" else 1
    parts = (worker_part, "running", "starts")
    lines = {part: results[part].lines()[value] for part in parts}
    largest_cell = results["peers"].points[-1]
    return CostModel(
        fixed=largest_cell.values[value],
        worker=max(lines[worker_part].slope, 0),
        task=max(lines["running"].slope, 0) * report_factor,
        start=max(lines["starts"].slope, 0),
    )


def min_nodes(model: CostModel, limit: float) -> int:
    """Return the smallest number of nodes whose value is within `limit`.

    Returns 0 where no number up to `MAX_NODES` is.
    """
    for nodes in range(1, MAX_NODES + 1):
        if model.at(nodes) <= limit:
            return nodes
    return 0


@click.command()
def main() -> None:
    """Print the cost model, the costs, and the smallest sufficient number of nodes."""
    results = load_results()
    for worker_part in ("full", "workers"):
        click.echo(f"workers as in the part {worker_part}")
        for value in LIMITS:
            _print_value(
                build_cost_model(results, value, worker_part=worker_part), value
            )


def _print_value(model: CostModel, value: str) -> None:
    """Print one value of a node for several numbers of nodes."""
    click.echo(f"  {value}: {model}")
    for nodes in PRINTED_NODE_COUNTS:
        click.echo(f"    {nodes} nodes: {model.at(nodes):.1f}")
    click.echo(f"    within the limit from {min_nodes(model, LIMITS[value])} nodes")


if __name__ == "__main__":
    main()
