"""Reads from log lines what tasks waited for, and how fast capacity is used again."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Annotated

import msgspec

from cassiaweir.observe._log_lines import LogLine, parse_line

SUMMARY_EVENT = "tasks_waiting"
TAKEOVER_EVENT = "leadership_acquired"
RECOVERY_EVENTS = {
    TAKEOVER_EVENT: "takeover",
    "leader_writes_recovered": "store recovered",
    "store_regained": "store recovered",
    "feed_regained": "feed recovered",
    "server_reachable": "cut ended",
}
"""The events after which the use of the capacity is reported."""

REPORTED_AFTER_S = (1, 2, 5)
MAX_LINE_DISTANCE_S = 0.6
"""A summary line shows the use of the capacity until this long before or after it.

Lines are at least 1 s apart.
"""

SAME_RECOVERY_S = 2.0
"""Many VMs log the end of one disturbance; events of one kind that follow each other
within this time are taken for one.
"""

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Table = dict[str, dict[str, Count]]
"""The number of tasks by the name of a queue or customer, then by cause."""


class _SummaryFields(msgspec.Struct):
    """The fields of a summary line."""

    tasks: Count
    cpu_used: Count
    cpu_total: Count
    queues: str
    customers: str


class WaitSecond(msgspec.Struct, frozen=True):
    """What waited in one second, and the CPU in use, in thousandths of a core.

    Queues and customers that the line sums up are under the empty name.
    """

    at: datetime
    process: str
    tasks: int
    cpu_used: int
    cpu_total: int
    queues: Table
    customers: Table


class Recovery(msgspec.Struct, frozen=True):
    """The end of a disturbance, and the share of the CPU in use some seconds later.

    `events` is the number of lines that tell of it; `process` wrote the first one.
    `used` has an entry for each of `REPORTED_AFTER_S`, None if no line tells.
    """

    at: datetime
    kind: str
    process: str
    events: int
    used: list[float | None]


class WaitReport(msgspec.Struct, frozen=True):
    """What the logs tell about waiting tasks.

    `skipped_lines` is the number of lines that were cut off or malformed,
    `superseded_lines` that of summaries by leaders that had been replaced already.
    """

    seconds: list[WaitSecond]
    recoveries: list[Recovery]
    skipped_lines: int
    superseded_lines: int


@dataclass(frozen=True, slots=True)
class _Lines:
    """The relevant lines of all files by time, and the number of skipped ones."""

    summaries: list[WaitSecond]
    recoveries: list[LogLine]
    skipped: int


def read_waits(texts: Iterable[str]) -> WaitReport:
    """Return the report for the log lines `texts` of any number of processes."""
    lines = _read(texts)
    current, superseded = _without_superseded(lines)
    by_second = {each.at.replace(microsecond=0): each for each in current}
    return WaitReport(
        list(by_second.values()),
        [_recovery(each, current) for each in _group(lines.recoveries)],
        lines.skipped,
        superseded,
    )


def _read(texts: Iterable[str]) -> _Lines:
    summaries, recoveries, skipped = [], [], 0
    for text in texts:
        if not text.strip():
            continue
        line = parse_line(text)
        try:
            if line is None or not line.event:
                skipped += 1
            elif line.event == SUMMARY_EVENT:
                summaries.append(_summary(line))
            elif line.event in RECOVERY_EVENTS:
                recoveries.append(_in_utc(line))
        except (msgspec.DecodeError, OverflowError):
            skipped += 1
    summaries.sort(key=lambda each: each.at)
    recoveries.sort(key=lambda each: each.at)
    return _Lines(summaries, recoveries, skipped)


def _summary(line: LogLine) -> WaitSecond:
    """Return the summary in a line.

    Raises `msgspec.DecodeError` if it is malformed, and `OverflowError` if its time is
    out of range.
    """
    fields = msgspec.convert(dict(line.fields), _SummaryFields, strict=False)
    return WaitSecond(
        _in_utc(line).at,
        line.process,
        fields.tasks,
        fields.cpu_used,
        fields.cpu_total,
        msgspec.json.decode(fields.queues, type=Table),
        msgspec.json.decode(fields.customers, type=Table),
    )


def _in_utc(line: LogLine) -> LogLine:
    at = line.at.astimezone(UTC)
    return LogLine(at, line.process, line.event, line.fields)


def _without_superseded(lines: _Lines) -> tuple[list[WaitSecond], int]:
    """Return the summaries of those who led, and the number of the others.

    A leader that was paused may log a summary after another process has taken over.
    """
    takeovers = [each for each in lines.recoveries if each.event == TAKEOVER_EVENT]
    current: list[WaitSecond] = []
    leader = ""
    position = 0
    for summary in lines.summaries:
        while position < len(takeovers) and takeovers[position].at <= summary.at:
            leader = takeovers[position].process
            position += 1
        if leader in ("", summary.process):
            current.append(summary)
    return current, len(lines.summaries) - len(current)


def _group(lines: Iterable[LogLine]) -> list[list[LogLine]]:
    """Return the lines of each disturbance's end; a takeover has a single line."""
    groups: list[list[LogLine]] = []
    last: dict[str, list[LogLine]] = {}
    for line in lines:
        kind = RECOVERY_EVENTS[line.event]
        group = last.get(kind)
        within = timedelta(seconds=SAME_RECOVERY_S)
        if (
            group is not None
            and line.event != TAKEOVER_EVENT
            and line.at - group[-1].at <= within
        ):
            group.append(line)
            continue
        last[kind] = [line]
        groups.append(last[kind])
    return groups


def _recovery(lines: Sequence[LogLine], summaries: Sequence[WaitSecond]) -> Recovery:
    first = lines[0]
    used = [_share_used(first.at, after, summaries) for after in REPORTED_AFTER_S]
    kind = RECOVERY_EVENTS[first.event]
    return Recovery(first.at, kind, first.process, len(lines), used)


def _share_used(
    at: datetime, after_s: float, summaries: Sequence[WaitSecond]
) -> float | None:
    """Return the share of the CPU that was in use `after_s` after `at`, if known.

    While nothing waits and nothing changes, no lines are logged.
    """
    wanted = at + timedelta(seconds=after_s)
    within = timedelta(seconds=MAX_LINE_DISTANCE_S)
    begin = bisect_left(summaries, at, key=lambda each: each.at)
    end = bisect_right(summaries, wanted + within, key=lambda each: each.at)
    if begin == end:
        return None
    nearest = min(summaries[begin:end], key=lambda each: abs(each.at - wanted))
    if wanted - nearest.at > within and nearest.tasks:
        return None
    if not nearest.cpu_total:
        return None
    return round(nearest.cpu_used / nearest.cpu_total, 3)


def encode_waits(report: WaitReport) -> str:
    """Return the report as one line of JSON."""
    return msgspec.json.encode(report).decode() + "\n"


def render_waits(report: WaitReport) -> str:
    """Return the report as a text, with the recoveries at its end."""
    rows = []
    for second in report.seconds:
        rows.append(
            f"{_time(second.at)}  {second.tasks} waiting, cores used: "
            f"{second.cpu_used / 1_000:.1f} of {second.cpu_total / 1_000:.1f}"
        )
        rows += _render_table("queue", second.queues)
        rows += _render_table("customer", second.customers)
    if not report.seconds:
        rows.append(f"no line {SUMMARY_EVENT} found")
    for each in report.recoveries:
        shares = ", ".join(
            f"{after} s: {'not known' if used is None else f'{used:.0%}'}"
            for after, used in zip(REPORTED_AFTER_S, each.used, strict=True)
        )
        rows.append(
            f"{_time(each.at)}  {each.kind} ({each.process}), "
            f"events: {each.events}, cores used after {shares}"
        )
    rows.append(f"skipped lines: {report.skipped_lines}")
    rows.append(f"lines of replaced leaders: {report.superseded_lines}")
    return "\n".join(rows) + "\n"


def _time(at: datetime) -> str:
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")


def _render_table(what: str, table: Table) -> list[str]:
    """Return a line for each row of `table`, those with the most tasks first."""
    ordered = sorted(table.items(), key=lambda each: -sum(each[1].values()))
    rows = []
    for name, counts in ordered:
        causes = sorted(counts.items(), key=lambda each: -each[1])
        text = ", ".join(f"{cause} {tasks}" for cause, tasks in causes)
        label = f"{what} {name}" if name else f"other {what}s"
        rows.append(f"    {label}: {text}")
    return rows
