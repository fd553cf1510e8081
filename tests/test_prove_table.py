"""Tests the table over several runs and the options of a run."""

import click
import pytest

from prove.checkers import Violation
from prove.report import RECOVERY, Report, Window, print_table
from prove.run import read_seeds, read_steps


def make_report(violations) -> Report:
    windows = [Window(["table-down"], 10.0, 15.0), Window(["kill-entry"], 20.0, 25.0)]
    return Report(1, "sicilia-est", "", windows=windows, violations=violations)


def test_a_violation_counts_against_the_step_that_it_follows(capsys):
    late = Violation("keys", "c1", 17.0, "accepted a withdrawn key")
    print_table([make_report({"keys": [late]}), make_report({})])
    lines = dict(line.split(": ", 1) for line in capsys.readouterr().out.splitlines())
    assert "keys 1/2" in lines["table-down"]
    assert "keys 2/2" in lines["kill-entry"]
    assert f"{RECOVERY} 2/2" in lines["table-down"]


def test_a_violation_after_the_last_step_counts_against_it(capsys):
    late = Violation(RECOVERY, "job", 99.0, "has not finished after healing")
    print_table([make_report({RECOVERY: [late]})])
    lines = dict(line.split(": ", 1) for line in capsys.readouterr().out.splitlines())
    assert f"{RECOVERY} 0/1" in lines["kill-entry"]
    assert f"{RECOVERY} 1/1" in lines["table-down"]


def test_a_violation_in_any_run_fails_that_run_alone():
    early = Violation("keys", "c1", 5.0, "accepted for another team")
    assert make_report({"keys": [early]}).failed
    assert not make_report({"keys": []}).failed


def test_a_seed_option_is_one_seed_or_a_range():
    assert read_seeds("3") == [3]
    assert read_seeds("1..5") == [1, 2, 3, 4, 5]


def test_steps_are_drawn_from_the_seed_unless_they_are_named():
    assert read_steps("", 7) == read_steps("", 7)
    assert [len(step) for step in read_steps("", 7)] == [1, 2]
    assert read_steps("table-down,kill-entry;list-lags", 1) == [
        ("table-down", "kill-entry"),
        ("list-lags",),
    ]
    with pytest.raises(click.BadParameter):
        read_steps("no-such-failure", 1)
