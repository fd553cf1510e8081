"""Tests of `cassiaweir.cmdline`."""

import re
import subprocess
import sys

import click
import pytest
from click.testing import CliRunner

from cassiaweir.cmdline import main
from cassiaweir.settings import OPTIONS

REQUIRED_SETTINGS = {
    "vm.name": "augusta-1",
    "vm.failure_domain": "augusta",
    "vm.deployment": "sicilia-est",
    "platform.table": "127.0.0.1:1",
    "platform.objects": "127.0.0.1:2",
    "platform.vms": "127.0.0.1:3",
    "cell.failure_domains": "augusta",
}
SET_OPTIONS = [
    word
    for key, value in REQUIRED_SETTINGS.items()
    for word in ("--set", f"{key}={value}")
]


def commands(group, path=()):
    """Yield the names that lead to each command below `group`, and the command."""
    ctx = click.Context(group)
    for name in group.list_commands(ctx):
        command = group.get_command(ctx, name)
        if isinstance(command, click.Group):
            yield from commands(command, (*path, name))
        else:
            yield (*path, name), command


COMMANDS = list(commands(main))


def run(*words, **environment):
    return CliRunner().invoke(main, list(words), env=environment)


@pytest.mark.parametrize("path", [path for path, _ in COMMANDS], ids=" ".join)
def test_every_command_has_help_with_an_example(path):
    result = run(*path, "--help")
    assert result.exit_code == 0
    text = " ".join(result.output.split())
    assert re.search(rf"Example: .*cassiaweir {' '.join(path)}", text), text


def test_no_option_takes_a_secret_as_its_value():
    names = {option for _, command in COMMANDS for option in _options(command)}
    assert not {name for name in names if re.search("secret|password|token", name)}


def _options(command):
    return [text for param in command.params for text in param.opts]


def test_the_roles_do_not_import_ctl():
    code = (
        "import sys, cassiaweir.cmdline\n"
        "import cassiaweir.composition._gateway, cassiaweir.composition._scheduler\n"
        "print('cassiaweir.ctl' in sys.modules)"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert output.stdout.strip() == "False"


def test_check_settings_accepts_valid_settings():
    assert run("check-settings", *SET_OPTIONS).output == "settings are valid\n"


def test_an_invalid_setting_prints_one_line_and_exits_with_1():
    result = run("check-settings", *SET_OPTIONS, "--set", "log.level=loud")
    assert result.exit_code == 1
    assert result.stderr.startswith("cassiaweir: log.level")
    assert len(result.stderr.splitlines()) == 1


def test_environment_variables_of_ctl_are_not_read_as_settings():
    environment = {"CASSIAWEIR_CREDENTIAL": "x", "CASSIAWEIR_SERVER": "y"}
    assert run("check-settings", *SET_OPTIONS, **environment).exit_code == 0
    result = run("check-settings", *SET_OPTIONS, CASSIAWEIR_SERVERS="y")
    assert "CASSIAWEIR_SERVERS: unknown option" in result.stderr


def test_debug_settings_prints_every_setting_with_its_source():
    output = run("debug", "settings", *SET_OPTIONS).output
    assert len(output.splitlines()) == len(OPTIONS)
    assert "vm.name = augusta-1  # --set" in output


def test_versions_are_printed():
    assert "python: " in run("debug", "sys").output
    assert run("--version").exit_code == 0


def test_debug_state_of_a_process_that_does_not_run_prints_one_line():
    result = run("debug", "state", *SET_OPTIONS, "--set", "scheduler.rpc=127.0.0.1:1")
    assert result.exit_code == 1
    assert "no process answers at 127.0.0.1:1" in result.output
    assert len(result.output.splitlines()) == 1


def test_front_check_refuses_an_invalid_settings_file(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text("node = 3")
    result = CliRunner().invoke(main, ["front", "--check", "--file", str(path)])
    assert result.exit_code == 1
    assert "local.toml" in result.output
