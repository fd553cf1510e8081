"""Prints which troubles were played on which site: `python -m lab.troubles REVISION`.

Reads the journal of played days and prints a Markdown table for `docs/PROOFS.md`.  Only
days that were played on the sources of REVISION, from a clean tree, are counted.
"""

from __future__ import annotations

import subprocess
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import click
import msgspec

SOURCES = ("cassiaweir", "deploy", "requirements.txt")
"""The paths that decide what a played day measures."""


class Day(msgspec.Struct):
    """A played day in an entry of the journal."""

    name: str = ""
    seed: int | None = None
    troubles: list[str] = []
    rules: dict[str, int] | None = None
    fault: str | None = None


class Entry(msgspec.Struct):
    """An entry of the journal: one command and the days that it played."""

    id: str = ""
    head: str | None = None
    dirty: bool | None = None
    site: str | None = None
    days: list[Day] | None = None


@dataclass(slots=True)
class Played:
    """The days of one site that had one trouble."""

    days: int = 0
    broken: list[str] = field(default_factory=list)

    def add(self, entry: Entry, day: Day) -> None:
        """Count a day, and name it if it broke a rule or had a fault."""
        self.days += 1
        if day.rules or day.fault:
            what = ", ".join(day.rules or ()) or day.fault
            self.broken.append(f"{day.name} {day.seed} ({entry.id}): {what}")

    def __str__(self) -> str:
        """Return the text of a cell of the table."""
        return "; ".join([f"{self.days}", *self.broken])


def read_entries(folder: Path) -> list[Entry]:
    """Return the entries in `folder`; runs that did not finish have no days."""
    return [
        msgspec.json.decode(path.read_bytes(), type=Entry)
        for path in sorted(folder.glob("*.json"))
    ]


def count_days(entries: Iterable[Entry]) -> dict[str, dict[str, Played]]:
    """Return what was played by trouble and site."""
    table: dict[str, dict[str, Played]] = defaultdict(lambda: defaultdict(Played))
    for entry in entries:
        for day in entry.days or []:
            for trouble in day.troubles:
                table[trouble][entry.site or ""].add(entry, day)
    return table


def render(table: dict[str, dict[str, Played]]) -> str:
    """Return the table as Markdown: a row for each trouble, a column for each site."""
    sites = sorted({site for row in table.values() for site in row})
    lines = [_line(["trouble", *sites]), _line(["---"] * (len(sites) + 1))]
    for trouble in sorted(table):
        cells = [str(table[trouble].get(site, Played())) for site in sites]
        lines.append(_line([f"`{trouble}`", *cells]))
    return "\n".join(lines)


def _line(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _same_sources(head: str, revision: str) -> bool:
    """Return whether the sources are the same at both revisions."""
    command = ["git", "diff", "--quiet", head, revision, "--", *SOURCES]
    return subprocess.run(command, capture_output=True, check=False).returncode == 0


@click.command()
@click.argument("revision", default="HEAD")
@click.option("--journal", type=click.Path(path_type=Path), default=Path("journal"))
def main(revision: str, journal: Path) -> None:
    """Print the table for the sources of REVISION."""
    entries = [
        entry
        for entry in read_entries(journal)
        if entry.head and not entry.dirty and _same_sources(entry.head, revision)
    ]
    click.echo(render(count_days(entries)))


if __name__ == "__main__":
    main()
