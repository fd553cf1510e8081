"""Runs a random simulation for several seeds from the command line."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import click
from loguru import logger

MAX_PRINTED_FAULTS = 20


@dataclass
class Outcome:
    """What a run has shown: breaches of guarantees, and counts to look at."""

    seed: int
    faults: list[str]
    counts: Counter[str]


def run_seeds(seeds: str, log: str, run: Callable[[int], Outcome]) -> None:
    """Run the seeds FIRST..LAST and print what each has shown.

    The log of the simulated processes goes to the file `log`, nowhere if it is empty.
    """
    logger.remove()
    if log:
        logger.configure(patcher=_stamp)
        logger.add(log, format="{extra[at]} {message} {extra}")
    first, _, last = seeds.partition("..")
    for seed in range(int(first), int(last or first) + 1):
        began = time.monotonic()
        outcome = run(seed)
        took = time.monotonic() - began
        click.echo(
            f"seed {seed} ({took:.0f} s): {dict(sorted(outcome.counts.items()))}"
        )
        for fault in outcome.faults[:MAX_PRINTED_FAULTS]:
            click.echo(f"    {fault}")


def _stamp(record: Any) -> None:
    """Add the virtual time to a log record."""
    record["extra"]["at"] = round(asyncio.get_running_loop().time(), 3)
