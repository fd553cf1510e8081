"""What a process shows of itself: events, metrics and log lines."""

from cassiaweir.observe._events import Event, EventLog
from cassiaweir.observe._logs import configure_logs
from cassiaweir.observe._metrics import Metrics
from cassiaweir.observe._timeline import merge_events, render_text, render_trace

__all__ = [
    "Event",
    "EventLog",
    "Metrics",
    "configure_logs",
    "merge_events",
    "render_text",
    "render_trace",
]
