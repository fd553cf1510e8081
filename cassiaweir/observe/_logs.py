"""Configures logging: each event is one line of key=value pairs."""

from __future__ import annotations

import sys
import traceback
from typing import TYPE_CHECKING, Protocol, TextIO

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

MAX_TRACE_CHARS = 4_000
"""The end of a longer trace is kept, as it names the error."""


class Sink(Protocol):
    """Receives the log lines."""

    def write(self, message: str) -> None:
        """Write one line, including its line break."""


def _quote(value: object) -> str:
    """Return `value` as text.

    Text that is empty or holds other characters than letters, digits and `-_.:/+` is
    quoted as a JSON string.
    """
    text = str(value)
    if text and all(char.isalnum() or char in "-_.:/+" for char in text):
        return text
    return msgspec.json.encode(text).decode()


def _trace(exc: BaseException) -> str:
    """Return the trace of `exc` and of the errors that caused it, ending with `exc`."""
    return "".join(traceback.format_exception(exc))[-MAX_TRACE_CHARS:]


def format_record(record: Record) -> str:
    """Return the loguru format of the line for `record`.

    loguru would interpret braces and color tags in the format itself.  The finished
    line is therefore passed in `extra`, and the format only refers to it.
    """
    pairs = [
        ("at", record["time"].isoformat()),
        ("level", record["level"].name.lower()),
        ("event", record["message"]),
    ]
    excluded_keys = ("line",)
    pairs += [
        (key, value)
        for key, value in record["extra"].items()
        if key not in excluded_keys
    ]
    found = record["exception"]
    if found is not None and found.value is not None:
        pairs.append(("trace", _trace(found.value)))
    record["extra"]["line"] = " ".join(f"{key}={_quote(value)}" for key, value in pairs)
    return "{extra[line]}\n"


def configure_logs(process: str, level: str, sink: TextIO | Sink | None = None) -> None:
    """Send log lines of `level` and above to `sink`, standard error by default.

    Every line names `process`.
    """
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(
        sys.stderr if sink is None else sink, level=level.upper(), format=format_record
    )
