"""Merges the events of many processes into one time line."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from cassiaweir.observe._events import Event

MICROSECONDS_PER_SECOND = 1_000_000
SPAN_STARTS = {"task_started": "task", "request_received": "request"}
SPAN_ENDS = {"task_ended": "task", "request_answered": "request"}

EventName = tuple[str, int]


class TraceEvent(msgspec.Struct, omit_defaults=True):
    """An entry of the JSON file that trace viewers read; `ts` is in microseconds."""

    name: str
    ph: str
    ts: float
    pid: int
    tid: int = 0
    cat: str = ""
    id: str = ""
    s: str = ""
    args: dict[str, str | int | float | bool] = {}


class TraceFile(msgspec.Struct, rename="camel"):
    """The JSON file that trace viewers read."""

    trace_events: list[TraceEvent]


@dataclass(slots=True)
class _Graph:
    """The known order between events, as counts of what still has to come before."""

    followers: dict[EventName, list[EventName]] = field(
        default_factory=lambda: defaultdict(list)
    )
    missing: dict[EventName, int] = field(default_factory=lambda: defaultdict(int))

    def add_order(self, earlier: EventName, later: EventName) -> None:
        """Note that `earlier` happened before `later`."""
        self.followers[earlier].append(later)
        self.missing[later] += 1


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return `events` in one order that respects every known cause.

    Events of one process keep their order, an event follows its cause, and the
    time of day decides between the rest.
    """
    named = {(event.process, event.sequence): event for event in events}
    graph = _build_graph(named)
    ready = [
        (event.at, name) for name, event in named.items() if not graph.missing[name]
    ]
    heapq.heapify(ready)
    merged = []
    while ready:
        _, name = heapq.heappop(ready)
        merged.append(named[name])
        for later in graph.followers[name]:
            graph.missing[later] -= 1
            if not graph.missing[later]:
                heapq.heappush(ready, (named[later].at, later))
    return merged


def _build_graph(named: dict[EventName, Event]) -> _Graph:
    """Return the order within each process and from causes to effects."""
    graph = _Graph()
    last: dict[str, EventName] = {}
    for name in sorted(named):
        process = name[0]
        if process in last:
            graph.add_order(last[process], name)
        last[process] = name
    for name, event in named.items():
        cause = _parse_cause(event.cause)
        if cause in named and cause != name and cause[0] != name[0]:
            graph.add_order(cause, name)
    return graph


def _parse_cause(cause: str) -> EventName:
    """Return process and sequence of a cause such as `p1:7`."""
    process, _, sequence = cause.rpartition(":")
    return process, int(sequence) if sequence.isdigit() else 0


def render_text(events: Sequence[Event]) -> str:
    """Return one line an event: time, process, kind, subject, epoch and fields."""
    width = max((len(event.process) for event in events), default=0)
    lines = []
    for event in events:
        words = [
            event.at.isoformat(timespec="milliseconds"),
            event.process.ljust(width),
            event.kind,
            event.subject,
        ]
        if event.epoch:
            words.append(f"epoch={event.epoch}")
        words += [f"{key}={value}" for key, value in event.fields.items()]
        lines.append(" ".join(word for word in words if word))
    return "\n".join(lines)


def render_trace(events: Sequence[Event]) -> bytes:
    """Return the events as a JSON file for trace viewers."""
    numbers: dict[str, int] = {}
    entries = []
    for event in events:
        if event.process not in numbers:
            numbers[event.process] = len(numbers) + 1
            entries.append(_name_process(event.process, numbers[event.process]))
        entries.append(_trace_event(event, numbers[event.process]))
    return msgspec.json.encode(TraceFile(entries))


def _name_process(process: str, number: int) -> TraceEvent:
    """Return the entry that gives a process its name."""
    return TraceEvent("process_name", "M", 0, number, args={"name": process})


def _trace_event(event: Event, number: int) -> TraceEvent:
    """Return the start or end of a span, or an instant."""
    micros = event.at.timestamp() * MICROSECONDS_PER_SECOND
    args = {"subject": event.subject, **event.fields}
    if event.kind in SPAN_STARTS:
        category = SPAN_STARTS[event.kind]
        return TraceEvent(
            event.subject,
            "b",
            micros,
            number,
            cat=category,
            id=event.subject,
            args=args,
        )
    if event.kind in SPAN_ENDS:
        category = SPAN_ENDS[event.kind]
        return TraceEvent(
            event.subject,
            "e",
            micros,
            number,
            cat=category,
            id=event.subject,
            args=args,
        )
    return TraceEvent(event.kind, "i", micros, number, s="p", args=args)
