"""Shows answers as tables or as JSON."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import datetime

import click
import msgspec

from cassiaweir.administration import Amount

SHOWN_DIGEST_DIGITS = 12
MILLIS_PER_CPU = 1000


def show_json(value: object) -> None:
    """Print `value` as JSON."""
    raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
    click.echo(msgspec.json.format(raw, indent=2))


def show_table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows in aligned columns under upper-case titles."""
    lines = [[title.upper() for title in titles]]
    lines += [[cell_text(cell) for cell in row] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(titles))]
    for line in lines:
        padded = (text.ljust(width) for text, width in zip(line, widths, strict=True))
        click.echo("  ".join(padded).rstrip())


def cell_text(value: object) -> str:
    """Return the text of one cell; nothing to say is shown as a dash."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, datetime):
        return value.isoformat(timespec="seconds")
    if isinstance(value, Amount):
        return amount_text(value)
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    if value is None or value == "":
        return "-"
    return " ".join(str(value).split())


def amount_text(amount: Amount) -> str:
    """Return an amount such as `8 cpu 32.0 GB`."""
    text = (
        f"{amount.cpu_millis / MILLIS_PER_CPU:g} cpu {amount.memory_mb / 1024:.1f} GB"
    )
    return f"{text} {amount.accelerators} acc" if amount.accelerators else text


def short(digest: str) -> str:
    """Return the first digits of a digest, enough to name it."""
    return digest[:SHOWN_DIGEST_DIGITS]
