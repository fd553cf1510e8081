"""Parses log lines and merges those of several processes into one time line."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime

import msgspec

PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
"""Matches `key=value`, where the value may be a quoted JSON string."""
ID_FIELDS = ("job", "task", "step", "path", "request")
"""The fields that may hold the ID of a job, task or request."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """An event parsed from a log line.

    `fields` holds the remaining keys of the line with their values as text.
    """

    at: datetime
    process: str
    event: str
    fields: Mapping[str, str]

    def mentions(self, subject: str) -> bool:
        """Return whether the event is about the job, task or request `subject`.

        This includes the tasks of a job, whose IDs begin with that of the job and a
        dot, and HTTP paths whose last segment is `subject`.
        """
        for key in ID_FIELDS:
            value = self.fields.get(key, "")
            if value == subject or value.startswith(f"{subject}."):
                return True
            if key == "path" and value.endswith(f"/{subject}"):
                return True
        return False


def parse_line(text: str) -> LogLine | None:
    """Return the event in the log line `text`, or None if there is none.

    Text before the first `at=`, such as the prefix of a log collector, is ignored.  A
    time without an offset is taken for UTC, in which all processes write theirs.
    """
    start = text.find("at=")
    if start < 0:
        return None
    fields = {key: _unquote(value) for key, value in PAIR_PATTERN.findall(text[start:])}
    try:
        at = datetime.fromisoformat(fields.pop("at"))
    except (KeyError, ValueError):
        return None
    if at.tzinfo is None:
        at = at.replace(tzinfo=UTC)
    process = fields.pop("process", "")
    return LogLine(at, process, fields.pop("event", ""), fields)


def merge_lines(texts: Iterable[str], subject: str) -> list[LogLine]:
    """Return the events about `subject` among the log lines `texts`, by time."""
    parsed = (parse_line(text) for text in texts)
    found = [line for line in parsed if line is not None and line.mentions(subject)]
    return sorted(found, key=lambda line: line.at)


def render_lines(lines: Sequence[LogLine]) -> str:
    """Return the last event, an empty line, and then all events as a text.

    Each event is one line that begins with the seconds since the first event.
    """
    if not lines:
        return "no event found\n"
    first = lines[0].at
    rows = [f"last: {_render(lines[-1], first)}", ""]
    rows += [_render(line, first) for line in lines]
    return "\n".join(rows) + "\n"


def _render(line: LogLine, first: datetime) -> str:
    seconds = (line.at - first).total_seconds()
    fields = " ".join(
        f"{key}={value}" for key, value in line.fields.items() if key != "level"
    )
    return f"{seconds:9.3f} s  {line.process:20} {line.event:20} {fields}"


def _unquote(value: str) -> str:
    """Return the text in a quoted value; one whose line was cut off stays as it is."""
    if not value.startswith('"'):
        return value
    try:
        return str(msgspec.json.decode(value))
    except msgspec.DecodeError:
        return value
