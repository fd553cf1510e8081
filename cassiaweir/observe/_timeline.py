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
"""The kinds of events that begin a span in a trace, with its category."""
SPAN_ENDS = {"task_ended": "task", "request_answered": "request"}
"""The kinds of events that end a span in a trace, with its category."""

EventId = tuple[str, int]
"""The process and the sequence number of an event."""


class TraceEvent(msgspec.Struct, omit_defaults=True):
    """An entry in the Chrome trace event format, which trace viewers read.

    The field names are those of the format.  `ph` is the phase: `b` and `e` begin and
    end a span, `i` is an instant, `M` is metadata.  `ts` is in microseconds since 1970.
    `s` is the scope of an instant, where `p` stands for its process.
    """

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
    """A JSON file in the Chrome trace event format."""

    trace_events: list[TraceEvent]


@dataclass(slots=True)
class _OrderGraph:
    """The known order of events, as a graph for a topological sort.

    `unmerged_predecessors` counts, for each event, the direct predecessors that are
    not merged yet.
    """

    successors: dict[EventId, list[EventId]] = field(
        default_factory=lambda: defaultdict(list)
    )
    unmerged_predecessors: dict[EventId, int] = field(
        default_factory=lambda: defaultdict(int)
    )

    def add_edge(self, earlier: EventId, later: EventId) -> None:
        """Add that `earlier` happened before `later`."""
        self.successors[earlier].append(later)
        self.unmerged_predecessors[later] += 1


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return `events` in one order that is consistent with every known cause.

    Events of one process keep their order, and an event follows its cause.  Otherwise
    events are ordered by their wall-clock times, which may differ between VMs.
    """
    events_by_id = {(event.process, event.sequence): event for event in events}
    graph = _build_graph(events_by_id)
    ready = [
        (event.at, event_id)
        for event_id, event in events_by_id.items()
        if not graph.unmerged_predecessors[event_id]
    ]
    heapq.heapify(ready)
    merged = []
    while ready:
        _, event_id = heapq.heappop(ready)
        merged.append(events_by_id[event_id])
        for later in graph.successors[event_id]:
            graph.unmerged_predecessors[later] -= 1
            if not graph.unmerged_predecessors[later]:
                heapq.heappush(ready, (events_by_id[later].at, later))
    return merged


def _build_graph(events_by_id: dict[EventId, Event]) -> _OrderGraph:
    """Return the graph of the order in each process and from causes to effects."""
    graph = _OrderGraph()
    last: dict[str, EventId] = {}
    for event_id in sorted(events_by_id):
        process = event_id[0]
        if process in last:
            graph.add_edge(last[process], event_id)
        last[process] = event_id
    for event_id, event in events_by_id.items():
        cause = _parse_cause(event.cause)
        if cause in events_by_id and cause != event_id and cause[0] != event_id[0]:
            graph.add_edge(cause, event_id)
    return graph


def _parse_cause(cause: str) -> EventId:
    """Return process and sequence number of a cause such as `p1:7`.

    The number is 0, which no event has, if `cause` is empty or malformed.
    """
    process, _, sequence = cause.rpartition(":")
    return process, int(sequence) if sequence.isdecimal() else 0


def render_text(events: Sequence[Event]) -> str:
    """Return one line per event: time, process, kind, subject, epoch and fields."""
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
    """Return `events` as a JSON file in the Chrome trace event format."""
    process_numbers: dict[str, int] = {}
    entries = []
    for event in events:
        if event.process not in process_numbers:
            process_numbers[event.process] = len(process_numbers) + 1
            entries.append(
                _process_name_entry(event.process, process_numbers[event.process])
            )
        entries.append(_trace_entry(event, process_numbers[event.process]))
    return msgspec.json.encode(TraceFile(entries))


def _process_name_entry(process: str, number: int) -> TraceEvent:
    """Return the metadata entry that names process `number`."""
    return TraceEvent("process_name", "M", 0, number, args={"name": process})


def _trace_entry(event: Event, number: int) -> TraceEvent:
    """Return the entry for `event`: the start or end of a span, or an instant."""
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
