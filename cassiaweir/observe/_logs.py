"""Log lines of key=value pairs, one line an event."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Protocol, TextIO

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Record


class Sink(Protocol):
    """Where log lines go."""

    def write(self, message: str) -> None:
        """Take one line."""


def _quote(value: object) -> str:
    """Return `value` as text, quoted where it holds anything but plain characters."""
    text = str(value)
    if text and all(char.isalnum() or char in "-_.:/+" for char in text):
        return text
    return msgspec.json.encode(text).decode()


def format_record(record: Record) -> str:
    """Return the template of the line for `record`.

    The values go through `extra`, so that braces and line breaks in them are data.
    """
    pairs = [
        ("at", record["time"].isoformat()),
        ("level", record["level"].name.lower()),
        ("event", record["message"]),
    ]
    hidden = ("line",)
    pairs += [
        (key, value) for key, value in record["extra"].items() if key not in hidden
    ]
    record["extra"]["line"] = " ".join(f"{key}={_quote(value)}" for key, value in pairs)
    return "{extra[line]}\n"


def configure_logs(process: str, level: str, sink: TextIO | Sink | None = None) -> None:
    """Send log lines of `level` and above to `sink`, standard error by default."""
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(
        sys.stderr if sink is None else sink, level=level.upper(), format=format_record
    )
