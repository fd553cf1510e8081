"""Observability of a process: events, metrics and log lines."""

from cassiaweir.observe._events import Event, EventLog
from cassiaweir.observe._log_lines import (
    LogLine,
    merge_lines,
    parse_line,
    render_lines,
)
from cassiaweir.observe._logs import configure_logs
from cassiaweir.observe._loop_lag import LoopLagMonitor
from cassiaweir.observe._metrics import Metrics
from cassiaweir.observe._timeline import merge_events, render_text, render_trace
from cassiaweir.observe._writer import NonBlockingWriter

__all__ = [
    "Event",
    "EventLog",
    "LogLine",
    "LoopLagMonitor",
    "Metrics",
    "NonBlockingWriter",
    "configure_logs",
    "merge_events",
    "merge_lines",
    "parse_line",
    "render_lines",
    "render_text",
    "render_trace",
]
