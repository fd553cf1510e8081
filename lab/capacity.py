"""Measures the cost of workers, tasks, teams and more: `python -m lab.capacity`.

Each part runs a cell at several sizes of one quantity and fits a line to each value.
The result of a part replaces its earlier result in `build/capacity.json`.
"""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime
from pathlib import Path

import click
import msgspec

from lab._parts import PARTS
from lab._results import PartResult

OUTPUT = Path("build/capacity.json")


def load_results() -> dict[str, PartResult]:
    """Return the stored results by part."""
    if not OUTPUT.exists():
        return {}
    return msgspec.json.decode(OUTPUT.read_bytes(), type=dict[str, PartResult])


def save_result(name: str, result: PartResult) -> None:
    """Store the result of one part in place of its earlier result."""
    results = {**load_results(), name: result}
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    raw = msgspec.json.encode(results, order="sorted")
    OUTPUT.write_bytes(msgspec.json.format(raw))


def print_result(name: str, result: PartResult) -> None:
    """Print the points of a part and the lines fitted to them."""
    click.echo(f"{name} ({result.size}), measured {result.at}")
    for point in result.points:
        values = " ".join(f"{key}={value:.3f}" for key, value in point.values.items())
        click.echo(f"  {point.size:g}: {values}")
    for key, line in result.lines().items():
        click.echo(
            f"  {key}: {line.intercept:.4f} + {line.slope:.5f} each, "
            f"misfit {line.misfit * 100:.1f}%"
        )


@click.command()
@click.option("--part", "parts", multiple=True, type=click.Choice(list(PARTS)))
def main(parts: tuple[str, ...]) -> None:
    """Measure the chosen parts, or all of them, one after the other."""
    for name in parts or PARTS:
        size, measure = PARTS[name]
        points = asyncio.run(measure())
        at = datetime.now(UTC).isoformat(timespec="seconds")
        result = PartResult(size, at, points)
        save_result(name, result)
        print_result(name, result)


if __name__ == "__main__":
    main()
