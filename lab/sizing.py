"""Works out a node's costs at the letter's size: `python -m lab.sizing`.

Reads the lines in `build/capacity.json`.  An even spread over the nodes is assumed.
"""

from __future__ import annotations

from dataclasses import dataclass

import click

from cassiaweir.fleet._worker_driver import IDLE_RENEWAL_FACTOR
from lab._results import PartResult
from lab.capacity import load_results

WORKERS = 1_400
RUNNING_TASKS = 19_000
STARTS_A_SECOND = 140
MOST_NODES = 2_000
SHOWN_NODES = (7, 24, 56, 112)
LIMITS = {"cpu_ms": 39.0, "bytes": 16 * 1024.0, "pss_mib": 64.0}


@dataclass(frozen=True, slots=True)
class Slopes:
    """What one node pays of one value, by cause.

    `fixed` is the cost of a process in a cell of many that owns next to nothing.
    """

    fixed: float
    worker: float
    task: float
    start: float

    def at(self, nodes: int) -> float:
        """Return the value of each of `nodes` nodes."""
        work = (
            self.worker * WORKERS
            + self.task * RUNNING_TASKS
            + self.start * STARTS_A_SECOND
        )
        return self.fixed + work / nodes


def slopes_of(
    results: dict[str, PartResult], value: str, *, worker_part: str = "full"
) -> Slopes:
    """Return the slopes of `value`; what falls with a size counts as flat.

    `worker_part` is `full` for shards in which tasks wait, else `workers`.  Workers of
    a full shard report their tasks more often than in the part `running`.
    """
    pace = IDLE_RENEWAL_FACTOR if worker_part == "full" else 1
    parts = (worker_part, "running", "starts")
    lines = {part: results[part].lines()[value] for part in parts}
    many = results["peers"].points[-1]
    return Slopes(
        fixed=many.values[value],
        worker=max(lines[worker_part].slope, 0),
        task=max(lines["running"].slope, 0) * pace,
        start=max(lines["starts"].slope, 0),
    )


def fewest_nodes(slopes: Slopes, limit: float) -> int:
    """Return the smallest number of nodes within `limit`, or 0 where none is."""
    for nodes in range(1, MOST_NODES + 1):
        if slopes.at(nodes) <= limit:
            return nodes
    return 0


@click.command()
def main() -> None:
    """Print slopes, costs at several numbers of nodes, and the smallest that fits."""
    results = load_results()
    for worker_part in ("full", "workers"):
        click.echo(f"workers as in the part {worker_part}")
        for value in LIMITS:
            _print_value(slopes_of(results, value, worker_part=worker_part), value)


def _print_value(slopes: Slopes, value: str) -> None:
    """Print the cost of a node by number of nodes."""
    click.echo(f"  {value}: {slopes}")
    for nodes in SHOWN_NODES:
        click.echo(f"    {nodes} nodes: {slopes.at(nodes):.1f}")
    click.echo(f"    fits from {fewest_nodes(slopes, LIMITS[value])} nodes")


if __name__ == "__main__":
    main()
