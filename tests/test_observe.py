"""Tests of the event log, the log configuration and the metrics."""

import asyncio
import io
from datetime import timedelta

from loguru import logger

from cassiaweir.clock import ManualClock
from cassiaweir.observe import EventLog, LoopLagMonitor, Metrics, configure_logs


def test_line_breaks_and_markup_in_a_value_are_escaped():
    sink = io.StringIO()
    configure_logs("p1", "info", sink)
    log = EventLog("p1", ManualClock())
    log.record("request_refused", "r1", reason="x\nevent=forged {braces} <red>")
    lines = sink.getvalue().splitlines()
    assert len(lines) == 1
    assert 'reason="x\\nevent=forged {braces} <red>"' in lines[0]
    assert "process=p1" in lines[0]


# Guards against a line about an unexpected error that does not say which error it was.
def test_the_trace_of_an_error_stands_in_its_line():
    sink = io.StringIO()
    configure_logs("p1", "info", sink)
    try:
        raise ValueError("bad {row} <red>")
    except ValueError as exc:
        logger.opt(exception=exc).error("server_poll_failed", server="i-1")
    lines = sink.getvalue().splitlines()
    assert len(lines) == 1
    assert "server=i-1" in lines[0]
    assert "test_observe.py" in lines[0]
    assert lines[0].endswith('ValueError: bad {row} <red>\\n"')


def test_events_after_a_sequence_are_returned_in_order():
    log = EventLog("p1", ManualClock())
    for index in range(5):
        log.record("tick", str(index))
    assert [event.subject for event in log.after(2, 2)] == ["2", "3"]


def test_metrics_render_counts_and_quantiles():
    metrics = Metrics()
    metrics.count("requests", team='a"b')
    metrics.observe("wait", 0.5, kind="urgent")
    text = metrics.render()
    assert 'cassiaweir_requests_total{team="a\\"b"} 1' in text
    assert 'cassiaweir_wait_seconds_count{kind="urgent"} 1' in text


# Guards against a leader that stands still for a second without a line that says so.
async def test_a_late_event_loop_is_logged_and_counted():
    class LateClock(ManualClock):
        async def sleep(self, duration: timedelta) -> None:
            await super().sleep(duration + timedelta(seconds=1.2))

    sink = io.StringIO()
    configure_logs("p1", "info", sink)
    metrics = Metrics()
    monitor = LoopLagMonitor(LateClock(), metrics)
    await monitor.start()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await monitor.stop()
    assert "event_loop_blocked" in sink.getvalue()
    assert "lag_ms=1200" in sink.getvalue()
    assert "cassiaweir_event_loop_lag_seconds_count" in metrics.render()
