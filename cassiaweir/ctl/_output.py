"""Prints responses as tables or as JSON."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import datetime

import click
import msgspec

from cassiaweir.administration import Amount

SHORT_DIGEST_DIGITS = 12
MILLIS_PER_CPU = 1000


def show_json(value: object) -> None:
    """Print a message, or bytes that are JSON already, as indented JSON."""
    raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
    click.echo(msgspec.json.format(raw, indent=2))


def show_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows in aligned columns under upper-case headings."""
    lines = [[heading.upper() for heading in headings]]
    lines += [[format_value(cell) for cell in row] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headings))]
    for line in lines:
        padded = (text.ljust(width) for text, width in zip(line, widths, strict=True))
        click.echo("  ".join(padded).rstrip())


def format_value(value: object) -> str:
    """Return the text of a value in a table; an empty value is a dash."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, datetime):
        return value.isoformat(timespec="seconds")
    if isinstance(value, Amount):
        return format_amount(value)
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    if value is None or value == "":
        return "-"
    return " ".join(str(value).split())


def format_amount(amount: Amount) -> str:
    """Return the text of an amount, such as `8 cpu 32.0 GB 1 acc`.

    Accelerators are left out if there are none.
    """
    text = (
        f"{amount.cpu_millis / MILLIS_PER_CPU:g} cpu {amount.memory_mb / 1024:.1f} GB"
    )
    return f"{text} {amount.accelerators} acc" if amount.accelerators else text


def short_digest(digest: str) -> str:
    """Return the first digits of a digest, which are enough to identify it."""
    return digest[:SHORT_DIGEST_DIGITS]
