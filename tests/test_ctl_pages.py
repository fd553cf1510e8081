"""Tests that the commands, links, metrics and reasons in the operators' pages exist."""

import re
import shlex
from pathlib import Path

import click
import pytest

from cassiaweir.ctl import ctl

ROOT = Path(__file__).parent.parent
PAGES = sorted([*(ROOT / "docs" / "operators").glob("*.md"), ROOT / "README.md"])
ALARMS = ROOT / "docs" / "operators" / "alarms.md"
COMMAND_PATTERN = re.compile(r"^\s*(?:\w+\$ |\$ )?cassiaweir ctl (.+)$")
LINK_PATTERN = re.compile(r"\]\(([^)#]+)\)")
METRIC_PATTERN = re.compile(r"`cassiaweir_(\w+?)(?:_total|_seconds)?(?=[{`])")
REASON_PATTERN = re.compile(r"reason=\"(\w+)\"")


def commands(page):
    """Yield the words after `cassiaweir ctl` in each command line of a page."""
    for line in page.read_text().splitlines():
        match = COMMAND_PATTERN.match(line)
        if match:
            yield shlex.split(match[1].split(" > ")[0].split(" < ")[0], comments=True)


def parse_command(words):
    """Resolve the subcommand and parse its options with click, without running it."""
    command, ctx = ctl, click.Context(ctl, info_name="ctl")
    while isinstance(command, click.Group):
        name, found, words = command.resolve_command(ctx, words)
        assert found is not None, name
        command, ctx = found, click.Context(found, info_name=name, parent=ctx)
    command.make_parser(ctx).parse_args(words)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_command_on_a_page_can_be_parsed(page):
    for words in commands(page):
        parse_command(words)


def test_commands_are_found_on_the_pages():
    assert sum(len(list(commands(page))) for page in PAGES) > 40


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_link_points_to_an_existing_file(page):
    for target in LINK_PATTERN.findall(page.read_text()):
        assert (page.parent / target).exists(), target


def test_every_metric_and_reason_on_the_alarm_page_exists():
    code = "".join(path.read_text() for path in (ROOT / "cassiaweir").rglob("*.py"))
    text = ALARMS.read_text()
    names = set(METRIC_PATTERN.findall(text))
    assert len(names) > 5
    for name in names | set(REASON_PATTERN.findall(text)):
        assert f'"{name}"' in code, name
