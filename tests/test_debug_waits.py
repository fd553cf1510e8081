"""Tests of `cassiaweir debug waits`, from log lines to report and plot."""

from __future__ import annotations

from pathlib import Path
from xml.etree import ElementTree as ET

import msgspec
import pytest
from click.testing import CliRunner, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaweir.cmdline import main
from cassiaweir.observe._waits import WaitReport, read_waits, render_waits
from cassiaweir.observe._waits_plot import draw_waits


def summary(second: float, process: str = "vm-1", used: int = 8, **waits: int) -> str:
    """Return a summary line of a leader with 16 cores and waits by cause."""
    table = msgspec.json.encode({"recon": waits} if waits else {}).decode()
    quoted = msgspec.json.encode(table).decode()
    return (
        f"at=2026-01-01T00:00:{second:09.6f}+00:00 level=info event=tasks_waiting "
        f"process={process} tasks={sum(waits.values())} cpu_used={used * 1_000} "
        f"cpu_total=16000 queues={quoted} customers={quoted}"
    )


def event(second: float, name: str, process: str) -> str:
    return f"at=2026-01-01T00:00:{second:09.6f}+00:00 event={name} process={process}"


def run(path: Path, lines: list[str], *options: str) -> Result:
    file = path / "vm.log"
    file.write_text("\n".join(lines))
    return CliRunner().invoke(main, ["debug", "waits", str(file), *options])


TAKEOVER = [
    event(10, "leadership_acquired", "vm-2"),
    summary(10.1, "vm-2", 0, takeover=20),
    summary(11.1, "vm-2", 4, takeover=9),
    summary(12.1, "vm-2", 12, capacity=9),
    summary(12.6, "vm-1", 16, capacity=99),
    summary(14.8, "vm-2", 16, capacity=2, cap=1),
]


def test_report_shows_causes_and_the_cpu_in_use_after_a_takeover(tmp_path: Path):
    """Guards against a replaced leader's lines that hide those of its successor."""
    result = run(tmp_path, [*reversed(TAKEOVER), summary(9.5, capacity=3)])
    assert result.exit_code == 0
    assert "00:00:09Z  3 waiting, cores used: 8.0 of 16.0" in result.output
    assert "    queue recon: capacity 2, cap 1\n" in result.output
    shares = "cores used after 1 s: 25%, 2 s: 75%, 5 s: 100%"
    assert f"takeover (vm-2), events: 1, {shares}" in result.output
    assert "lines of replaced leaders: 1" in result.output
    assert "99" not in result.output


def test_json_holds_the_report_and_unknown_use_is_null(tmp_path: Path):
    lines = [*TAKEOVER[:3], event(11.2, "store_regained", "vm-3")]
    lines += [event(11.9, "store_regained", "vm-4")]
    result = run(tmp_path, lines, "--json")
    report = msgspec.json.decode(result.output, type=WaitReport)
    assert [each.queues for each in report.seconds] == [
        {"recon": {"takeover": 20}},
        {"recon": {"takeover": 9}},
    ]
    assert [(each.kind, each.events) for each in report.recoveries] == [
        ("takeover", 1),
        ("store recovered", 2),
    ]
    assert report.recoveries[0].used == [0.25, None, None]


def test_use_is_known_while_nothing_waits_and_no_lines_are_logged():
    """Guards against `not known` at a leader that left out lines without news."""
    lines = [event(1, "leadership_acquired", "vm-1"), summary(1.2, used=4)]
    assert read_waits(lines).recoveries[0].used == [0.25, 0.25, 0.25]


@pytest.mark.parametrize(
    "text",
    [
        "no time at all",
        summary(1, capacity=1)[3:],
        summary(1, capacity=1).replace("tasks=1", "tasks=-1"),
        summary(1, capacity=1).replace("tasks=1", "tasks=x"),
        summary(1, capacity=1).replace("16000", "9" * 400),
        summary(1, capacity=1).replace("2026-01-01", "0001-01-01").replace(
            "+00:00", "+23:00"
        ),
        *(summary(1, capacity=1)[:cut] for cut in (5, 40, 90, 140, -25, -1)),
    ],
)  # fmt: skip
def test_a_malformed_line_is_skipped_and_counted(text: str, tmp_path: Path):
    result = run(tmp_path, [text, "", summary(2, capacity=1)])
    assert result.exit_code == 0 and result.exception is None
    assert "skipped lines: 1\n" in result.output
    assert "1 waiting" in result.output


@settings(derandomize=True, max_examples=200)
@given(st.integers(0, 300), st.integers(0, 300), st.text(max_size=20))
def test_lines_with_any_damage_are_read_without_an_error(begin, length, text):
    line = summary(1, capacity=1, cap=2)
    report = read_waits([line[:begin] + text + line[begin + length :], *TAKEOVER])
    render_waits(report)
    draw_waits(report)


def test_plot_is_written_with_a_bar_for_each_cause(tmp_path: Path):
    file = tmp_path / "waits.svg"
    result = run(tmp_path, TAKEOVER, "--plot", str(file))
    assert result.exit_code == 0
    texts = {each.text for each in ET.fromstring(file.read_bytes()).iter()}
    assert {"takeover", "capacity", "cap", "20 tasks"} <= texts


def test_plot_that_cannot_be_written_is_reported_on_one_line(tmp_path: Path):
    result = run(tmp_path, TAKEOVER, "--plot", str(tmp_path / "none" / "waits.svg"))
    assert result.exit_code == 1
    assert "cannot write" in result.output and "Traceback" not in result.output
