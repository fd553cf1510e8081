"""The command `cassiaweir`, with a subcommand for each role and tool."""

from __future__ import annotations

import os
import platform
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import click

from cassiaweir import __version__
from cassiaweir.exceptions import CassiaweirError
from cassiaweir.roles import Role
from cassiaweir.settings import Settings
from cassiaweir.variables import CTL_VARIABLES

EXIT_FAILURE = 1
EXIT_UNREADABLE = 2
CTL_COMMAND = "ctl"


class _MainGroup(click.Group):
    """A command group that prints a `CassiaweirError` on one line, without a trace.

    It imports the commands of `ctl` only when they are used, as they would take
    memory in the processes of all roles.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), CTL_COMMAND])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command with the name `cmd_name`, or None."""
        if cmd_name != CTL_COMMAND:
            return super().get_command(ctx, cmd_name)
        from cassiaweir.ctl import ctl

        return ctl

    def invoke(self, ctx: click.Context) -> object:
        """Run the command; print a `CassiaweirError` and exit with status 1."""
        try:
            return super().invoke(ctx)
        except CassiaweirError as exc:
            click.echo(f"cassiaweir: {exc}", err=True)
            ctx.exit(EXIT_FAILURE)


def settings_options(command: click.decorators.FC) -> click.decorators.FC:
    """Add the options `--settings` and `--set`, taken as `path` and `overrides`."""
    command = click.option(
        "--set",
        "overrides",
        multiple=True,
        help="Set section.name=value; overrides the file and the environment.",
    )(command)
    return click.option(
        "--settings",
        "path",
        type=click.Path(path_type=Path),
        help="TOML file with the settings.",
    )(command)


def load_settings(path: Path | None, overrides: tuple[str, ...]) -> Settings:
    """Load the settings from the file, the environment and the overrides."""
    environment = {
        name: value for name, value in os.environ.items() if name not in CTL_VARIABLES
    }
    return Settings.load(path, environment=environment, overrides=overrides)


@click.group(cls=_MainGroup)
@click.version_option(__version__)
def main() -> None:
    """Schedule services, batch runs and jobs whose tasks start together.

    Example: cassiaweir gateway --settings entry-vm.toml
    """


@main.command()
@settings_options
def entry(path: Path | None, overrides: tuple[str, ...]) -> None:
    """Run the gateway and the scheduler of an entry VM in one process.

    Example: cassiaweir entry --settings entry-vm.toml
    """
    _run(Role.ENTRY, path, overrides)


@main.command()
@settings_options
def gateway(path: Path | None, overrides: tuple[str, ...]) -> None:
    """Run only the gateway of an entry VM.

    Example: cassiaweir gateway --settings entry-vm.toml
    """
    _run(Role.GATEWAY, path, overrides)


@main.command()
@settings_options
def scheduler(path: Path | None, overrides: tuple[str, ...]) -> None:
    """Run only the scheduler of an entry VM.

    Example: cassiaweir scheduler --settings entry-vm.toml
    """
    _run(Role.SCHEDULER, path, overrides)


@main.command()
@click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path),
    help="Settings file of the platform, in place of the one in CASSIAWEIR_CONFIG "
    "or at the platform's default path.",
)
@click.option(
    "--metrics-port",
    type=click.IntRange(1, 65_535),
    help="Serve /metrics on this port of the VM's address.",
)
@click.option("--check", is_flag=True, help="Only check the settings file.")
def front(path: Path | None, metrics_port: int | None, check: bool) -> None:
    """Run an entry VM on the users' platform.

    Example: cassiaweir front --metrics-port 9464
    """
    from cassiaweir.composition._front_vm import check_front_settings, run_front_vm

    if check:
        check_front_settings(path)
        click.echo("settings are valid")
        return
    run_front_vm(path, metrics_port)


def _run(role: Role, path: Path | None, overrides: tuple[str, ...]) -> None:
    from cassiaweir.composition import run_role

    run_role(load_settings(path, overrides), role)


@main.command("check-settings")
@settings_options
def check_settings(path: Path | None, overrides: tuple[str, ...]) -> None:
    """Check the settings without starting a role.

    Example: cassiaweir check-settings --settings entry-vm.toml
    """
    load_settings(path, overrides)
    click.echo("settings are valid")


@main.command("check-configuration")
@click.argument("path", metavar="FILE", type=click.Path(path_type=Path))
@click.option(
    "--in-force",
    type=click.Path(path_type=Path),
    help="Configuration in force; the differences from it are printed.",
)
@click.option(
    "--servers",
    type=click.Path(path_type=Path),
    help="Entries of the backend servers, as one JSON object by server id.",
)
@click.option(
    "--job",
    "jobs",
    type=(str, click.Path(path_type=Path)),
    multiple=True,
    metavar="CUSTOMER FILE",
    help="Body of a typical submission of a customer, to compare with its cap.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def check_configuration(
    ctx: click.Context,
    path: Path,
    in_force: Path | None,
    servers: Path | None,
    jobs: tuple[tuple[str, Path], ...],
    as_json: bool,
) -> None:
    """Check the configuration in FILE before it is put in force.

    Exits with 0 if nothing is found, 1 if there are findings, and 2 if a file cannot
    be read or is not JSON.  Differences from the configuration in force are no
    findings.

    Example: cassiaweir check-configuration new.json --in-force old.json
    """
    from cassiaweir.configuration_check import (
        UnreadableFileError,
        check_files,
        render_json,
        render_text,
    )

    try:
        report = check_files(path, in_force, servers, jobs)
    except UnreadableFileError as exc:
        click.echo(f"cassiaweir: {exc}", err=True)
        ctx.exit(EXIT_UNREADABLE)
    if as_json:
        click.echo(render_json(report))
    else:
        click.echo(render_text(report), nl=False)
    if report.findings:
        ctx.exit(EXIT_FAILURE)


@main.group()
def debug() -> None:
    """Print settings, events and internal state for debugging."""


@debug.command("sys")
def debug_sys() -> None:
    """Print the versions of program, interpreter and operating system.

    Example: cassiaweir debug sys
    """
    click.echo(f"cassiaweir: {__version__}")
    click.echo(f"python: {platform.python_version()}")
    click.echo(f"executable: {sys.executable}")
    click.echo(f"platform: {platform.platform()}")


@debug.command("timeline")
@click.option("--id", "subject", required=True, help="Id of the job, task or request.")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path)
)
def debug_timeline(subject: str, files: tuple[Path, ...]) -> None:
    """Merge the log FILES of processes and print the events about one id.

    Example: cassiaweir debug timeline --id 5c0e7a21d94b36f8 vm-1.log vm-2.log
    """
    from cassiaweir.observe import merge_lines, render_lines

    texts = [
        text for file in files for text in file.read_text(errors="replace").splitlines()
    ]
    click.echo(render_lines(merge_lines(texts, subject)), nl=False)


@debug.command("waits")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Write the waiting tasks by cause and second to this SVG file as well.",
)
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def debug_waits(as_json: bool, plot: Path | None, files: tuple[Path, ...]) -> None:
    """Print from the log FILES of entry VMs what tasks waited for, by second.

    Example: cassiaweir debug waits vm-1.log vm-2.log --plot waits.svg
    """
    from cassiaweir.observe._waits import encode_waits, read_waits, render_waits

    report = read_waits(_lines_of(files))
    if plot is not None:
        from cassiaweir.observe._waits_plot import draw_waits

        try:
            plot.write_bytes(draw_waits(report))
        except OSError as exc:
            raise click.ClickException(f"cannot write {plot}: {exc}") from exc
    click.echo(encode_waits(report) if as_json else render_waits(report), nl=False)


def _lines_of(files: Iterable[Path]) -> Iterator[str]:
    """Yield the lines of all `files`, which may be large."""
    for file in files:
        try:
            with file.open(errors="replace") as lines:
                yield from lines
        except OSError as exc:
            raise click.ClickException(f"cannot read {file}: {exc}") from exc


@debug.command("interference")
@click.option(
    "--address",
    required=True,
    help="Metrics address of an entry VM, as host:port; only the leader knows pairs.",
)
@click.option("--clear", is_flag=True, help="Make the leader forget all pairs.")
def debug_interference(address: str, clear: bool) -> None:
    """Print which kinds of tasks slow each other down on one server.

    Example: cassiaweir debug interference --address 10.0.0.7:9464
    """
    import asyncio

    from cassiaweir.composition._interference_pages import fetch_pairs, render_pairs

    answer = asyncio.run(fetch_pairs(address, clear=clear))
    click.echo(render_pairs(answer), nl=False)


@debug.command("settings")
@settings_options
def debug_settings(path: Path | None, overrides: tuple[str, ...]) -> None:
    """Print every setting with its value and source.

    Example: cassiaweir debug settings --settings entry-vm.toml
    """
    for key, value, source in load_settings(path, overrides).items():
        click.echo(f"{key} = {value}  # {source}")


@debug.command("state")
@settings_options
def debug_state(path: Path | None, overrides: tuple[str, ...]) -> None:
    """Print the state of the scheduler that runs on this entry VM.

    Example: cassiaweir debug state --settings entry-vm.toml
    """
    import asyncio

    from cassiaweir.rpc._text import read_text

    address = load_settings(path, overrides).scheduler_rpc
    click.echo(asyncio.run(read_text(address, "state")), nl=False)
