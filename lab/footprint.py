"""Measures what idle processes cost: `python -m lab.footprint`.

Bytes are those of the loopback device, divided by the number of entry VMs, so they
include the responses of the simulated platform.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import click

from prove.cluster import PACIFICO_NORTE, SICILIA_EST, Cluster
from prove.processes import ManagedProcess

KIB_PER_MIB = 1024
SETTLE_SECONDS = 15
DEPLOYMENTS = {"sicilia-est": SICILIA_EST, "pacifico-norte": PACIFICO_NORTE}
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Sample:
    """What one process uses.

    Memory is in MiB of PSS (proportional set size); processor time is in seconds since
    the process started.
    """

    pss_mib: float
    cpu_seconds: float
    threads: int


def read_sample(pid: int) -> Sample:
    """Return a sample of the process `pid`."""
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text(encoding="ascii")
    pss = next(line for line in rollup.splitlines() if line.startswith("Pss:"))
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return Sample(
        pss_mib=int(pss.split()[1]) / KIB_PER_MIB,
        cpu_seconds=ticks / TICKS_PER_SECOND,
        threads=int(fields[17]),
    )


def read_loopback_bytes() -> int:
    """Return the bytes that the loopback device has received."""
    for line in Path("/proc/net/dev").read_text(encoding="ascii").splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[0])
    raise RuntimeError("no loopback device in /proc/net/dev")


def mean(values: list[float]) -> float:
    """Return the arithmetic mean."""
    return sum(values) / len(values)


async def measure(deployment: str, roles: Sequence[str], seconds: float) -> None:
    """Run an idle deployment and print what the processes of each role use."""
    layout = replace(DEPLOYMENTS[deployment], roles=roles)
    cluster = Cluster(layout, Path("build/footprint"))
    try:
        await cluster.start()
        await asyncio.sleep(SETTLE_SECONDS)
        processes = cluster.processes()
        before = [read_sample(process.pid) for process in processes]
        bytes_before = read_loopback_bytes()
        await asyncio.sleep(seconds)
        after = [read_sample(process.pid) for process in processes]
        total_bytes = read_loopback_bytes() - bytes_before
        _print_roles(roles, processes, before, after, seconds)
        rate = total_bytes / seconds / len(cluster.entry_vms)
        click.echo(f"loopback bytes per second and entry VM: {rate:.0f}")
        await cluster.stop()
    finally:
        await cluster.kill()


def _print_roles(
    roles: Sequence[str],
    processes: list[ManagedProcess],
    before: list[Sample],
    after: list[Sample],
    seconds: float,
) -> None:
    """Print PSS, processor use in percent of a core, and threads of each role."""
    for role in roles:
        sample_pairs = [
            (first, last)
            for process, first, last in zip(processes, before, after, strict=True)
            if process.name.endswith(role)
        ]
        cpu_percent = [
            (last.cpu_seconds - first.cpu_seconds) / seconds * 100
            for first, last in sample_pairs
        ]
        pss = [last.pss_mib for _, last in sample_pairs]
        click.echo(
            f"{role}: PSS mean {mean(pss):.1f} MiB, max {max(pss):.1f} MiB; "
            f"processor mean {mean(cpu_percent):.2f}%, max {max(cpu_percent):.2f}%; "
            f"threads {sample_pairs[0][1].threads}"
        )


@click.command()
@click.option("--deployment", type=click.Choice(list(DEPLOYMENTS)), required=True)
@click.option(
    "--roles", default="entry", show_default=True, help="entry or gateway,scheduler"
)
@click.option("--seconds", default=30.0, show_default=True)
def main(deployment: str, roles: str, seconds: float) -> None:
    """Measure an idle deployment with two entry VMs per failure domain."""
    asyncio.run(measure(deployment, roles.split(","), seconds))


if __name__ == "__main__":
    main()
