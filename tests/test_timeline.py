"""Tests of merging events of several processes into one time line."""

from datetime import UTC, datetime, timedelta

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaweir.observe import Event, merge_events, render_text, render_trace

START = datetime(2026, 1, 1, tzinfo=UTC)


def make_event(process: str, sequence: int, seconds: float, cause: str = "") -> Event:
    return Event(
        sequence=sequence,
        at=START + timedelta(seconds=seconds),
        process=process,
        kind="task_started",
        subject=f"job/{sequence}",
        cause=cause,
    )


def test_an_effect_follows_its_cause_even_if_its_clock_is_behind():
    cause = make_event("a", 1, 10)
    effect = make_event("b", 1, 2, cause="a:1")
    assert merge_events([effect, cause]) == [cause, effect]


@settings(derandomize=True, max_examples=60)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9)), max_size=20),
)
def test_every_event_appears_once_and_processes_keep_their_order(items):
    counts: dict[str, int] = {}
    events = []
    for process, seconds in items:
        counts[process] = counts.get(process, 0) + 1
        events.append(make_event(process, counts[process], seconds))
    merged = merge_events(events)
    assert sorted(merged, key=repr) == sorted(events, key=repr)
    for process in counts:
        own = [event.sequence for event in merged if event.process == process]
        assert own == sorted(own)


def test_rendered_text_and_trace_contain_process_and_subject():
    events = [make_event("a", 1, 0)]
    assert "a task_started job/1" in render_text(events)
    trace = msgspec.json.decode(render_trace(events))
    assert trace["traceEvents"][0]["args"] == {"name": "a"}
    assert trace["traceEvents"][1]["ph"] == "b"


def test_a_cause_whose_number_is_not_decimal_is_ignored():
    events = [make_event("a", 1, 1), make_event("b", 1, 2, cause="a:²")]
    assert merge_events(events) == events
