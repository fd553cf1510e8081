"""Tests of log lines: non-blocking writing, parsing and merging by subject."""

from __future__ import annotations

import os

from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from cassiaweir.cmdline import main
from cassiaweir.observe import (
    NonBlockingWriter,
    configure_logs,
    merge_lines,
    parse_line,
    render_lines,
)


class LineSink(list[str]):
    """A log sink that keeps the lines in a list."""

    def write(self, message: str) -> None:
        """Append one line."""
        self.append(message)


def log_line(event: str, **fields: object) -> str:
    sink = LineSink()
    configure_logs("vm-1", "INFO", sink)
    logger.info(event, **fields)
    logger.remove()
    return sink[0]


def test_zero_false_and_empty_values_are_logged():
    line = parse_line(log_line("refused", room=0, held=False, cause=""))
    assert line is not None
    assert line.fields["room"] == "0"
    assert line.fields["held"] == "False"


@given(value=st.text(max_size=20))
def test_parsed_values_equal_the_logged_ones(value: str):
    line = parse_line(log_line("event", cause=value))
    assert line is not None
    assert line.fields["cause"] == value


def test_a_full_pipe_does_not_block_and_dropped_lines_are_reported():
    reader, writer = os.pipe()
    sink = NonBlockingWriter(writer, max_buffered_bytes=10_000)
    for _ in range(2_000):
        sink.write("x" * 99 + "\n")
    assert sink.dropped_lines > 0
    os.set_blocking(reader, False)
    received = b""
    for _ in range(50):
        try:
            received += os.read(reader, 1_000_000)
        except BlockingIOError:
            sink.flush()
    sink.write("last\n")
    received += os.read(reader, 1_000_000)
    assert f"event=log_lines_dropped count={sink.dropped_lines}".encode() in received
    assert received.endswith(b"last\n")
    os.close(reader)
    sink.write("nobody reads\n")
    os.close(writer)


def format_line(at: str, process: str, event: str, fields: str) -> str:
    head = f"at=2026-01-01T00:00:{at}+00:00 level=info event={event}"
    return f"{head} process={process} {fields}"


def test_lines_of_several_processes_are_merged_by_subject(tmp_path):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        "\n".join(
            [
                format_line(
                    "01", "vm-1", "request_answered", "path=/r/00aa status=200"
                ),
                format_line(
                    "02", "vm-1", "request_answered", "path=/r/00bb status=200"
                ),
                "not a line of ours",
            ]
        )
    )
    second.write_text(
        "3.1 vm-2 "
        + format_line("03", "vm-2", "run_ended", "task=00aa.0.0.1 how=failed")
    )
    found = merge_lines(
        first.read_text().splitlines() + second.read_text().splitlines(), "00aa"
    )
    assert [line.event for line in found] == ["request_answered", "run_ended"]
    assert render_lines(found).startswith("last:")
    args = ["debug", "timeline", "--id", "00aa", str(first), str(second)]
    result = CliRunner().invoke(main, args)
    assert result.exit_code == 0
    assert "how=failed" in result.output.splitlines()[0]


def test_a_line_that_was_cut_off_in_a_quoted_value_is_kept():
    line = parse_line('at=2026-12-04T08:00:00+00:00 event=store_lost cause="no usa')
    assert line is not None
    assert line.event == "store_lost"


def test_times_with_and_without_an_offset_are_merged():
    texts = [
        "at=2026-12-04T08:00:01 event=second job=a",
        "at=2026-12-04T08:00:00+00:00 event=first job=a",
    ]
    assert [line.event for line in merge_lines(texts, "a")] == ["first", "second"]


@given(st.text(max_size=40))
def test_no_text_makes_the_parser_fail(text: str):
    parse_line(f"at=2026-12-04T08:00:00+00:00 event=x cause={text}")
