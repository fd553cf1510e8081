"""Reads log lines back and merges those of several processes into one time line."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime

import msgspec

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
ID_FIELDS = ("job", "task", "step", "path", "request")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event as a process logged it, with its fields as text."""

    at: datetime
    process: str
    event: str
    fields: Mapping[str, str]

    def names(self, subject: str) -> bool:
        """Tell whether the event is about the job, task or request `subject`."""
        for key in ID_FIELDS:
            value = self.fields.get(key, "")
            if value == subject or value.startswith(f"{subject}."):
                return True
            if key == "path" and value.endswith(f"/{subject}"):
                return True
        return False


def parse_line(text: str) -> LogLine | None:
    """Return the event in a line, or None where it holds none.

    What stands before the first `at=`, such as a collector's own prefix, is ignored.
    """
    begins = text.find("at=")
    if begins < 0:
        return None
    fields = {key: _unquote(value) for key, value in PAIR.findall(text[begins:])}
    try:
        at = datetime.fromisoformat(fields.pop("at"))
    except (KeyError, ValueError):
        return None
    process = fields.pop("process", "")
    return LogLine(at, process, fields.pop("event", ""), fields)


def merge_lines(texts: Iterable[str], subject: str) -> list[LogLine]:
    """Return the events about `subject` in the order of their times."""
    parsed = (parse_line(text) for text in texts)
    found = [line for line in parsed if line is not None and line.names(subject)]
    return sorted(found, key=lambda line: line.at)


def render_lines(lines: Sequence[LogLine]) -> str:
    """Return the last event on top, then all in order with seconds from the first."""
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
    if not value.startswith('"'):
        return value
    return str(msgspec.json.decode(value))
