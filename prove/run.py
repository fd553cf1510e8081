"""Runs real processes under failures and checks the recorded history.

`python -m prove.run --seed 1` prints one line for each invariant of the scheduler.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

import aiohttp
import click
import msgspec

from cassiaweir.types import VmRole
from prove.administration import Administration
from prove.checkers import VIEW_AGE_LIMIT_SECONDS, Violation, check_all
from prove.cluster import (
    PACIFICO_NORTE,
    SICILIA_EST,
    TABLE_OFFSET,
    Cluster,
    Layout,
)
from prove.failures import FAILURES, FailureContext, draw_failures
from prove.history import History
from prove.platform_control import PlatformControl
from prove.recorder import (
    Recorder,
    Target,
    record_executions,
    record_ledger,
    record_refusals,
)
from prove.report import RECOVERY, Report, Window, print_report, print_table
from prove.traffic import SubmittedJob, Traffic

OUTPUT_FOLDER = Path("build/prove")
DEPLOYMENTS = {layout.deployment: layout for layout in (SICILIA_EST, PACIFICO_NORTE)}
TEAMS = ("fuel-audits", "inspectors", "settlements", "cooperatives")
QUIET_SECONDS = 4.0
RESTORED_CPU_MILLIS = 50_000
SETTLE_TIMEOUT_SECONDS = 60.0
SETTLE_POLL_INTERVAL_SECONDS = 0.5


@dataclass(slots=True)
class Options:
    """The options of a run.

    Each of `steps` names the failures that are injected at the same time.  Before the
    first step and after each one, traffic runs for `quiet_seconds` without failures.
    """

    seed: int
    layout: Layout
    folder: Path
    steps: Sequence[tuple[str, ...]]
    quiet_seconds: float = QUIET_SECONDS


@dataclass(slots=True)
class ProofRun:
    """One run against one cluster.

    `windows` are the steps of failures that have begun, with their times.
    """

    options: Options
    cluster: Cluster
    session: aiohttp.ClientSession
    rng: random.Random
    recorder: Recorder = field(init=False)
    control: PlatformControl = field(init=False)
    windows: list[Window] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.recorder = Recorder(self.session)
        self.control = PlatformControl(self.cluster, self.session)

    async def run(self) -> Report:
        """Start the cluster, inject the failures under traffic, settle and check."""
        await self.cluster.start_platform()
        await self.control.load_vms()
        record_capacities(self.recorder.history, self.control)
        table = self.cluster.address(TABLE_OFFSET)
        history = self.recorder.history
        admin = await Administration.open(table, history, self.rng)
        try:
            await admin.set_up(TEAMS)
            await self.cluster.start_entry_vms()
            traffic = self._build_traffic(admin)
            watchers = self._start_version_watchers()
            await self._run_steps(traffic, admin)
            await admin.change_limit(RESTORED_CPU_MILLIS)
            settle_seconds, unsettled = await self._settle(traffic)
            for watcher in watchers:
                watcher.cancel()
            unsettled += self._outdated_entry_vms()
        finally:
            await admin.close()
        await self._record_standin_data()
        report = self._build_report(admin, settle_seconds)
        report.violations[RECOVERY] = unsettled
        return report

    def _build_traffic(self, admin: Administration) -> Traffic:
        targets = [Target("", self.cluster.balancer)] * 3
        targets += [Target(vm.name, vm.http) for vm in self.cluster.entry_vms.values()]
        return Traffic(
            self.recorder,
            targets,
            self.cluster.layout.service,
            lambda: admin.keys,
            self.rng,
        )

    async def _run_steps(self, traffic: Traffic, admin: Administration) -> None:
        """Run the steps of failures while callers and operators continue."""
        tasks = [
            asyncio.create_task(traffic.run(TEAMS)),
            asyncio.create_task(admin.run(TEAMS)),
        ]
        try:
            await asyncio.sleep(self.options.quiet_seconds)
            for step in self.options.steps:
                await self._run_step(step, admin)
                await asyncio.sleep(self.options.quiet_seconds)
            for task in tasks:
                if task.done():
                    task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _start_version_watchers(self) -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(self.recorder.watch_versions(vm.name, address))
            for vm in self.cluster.entry_vms.values()
            for address in vm.rpc.values()
        ]

    async def _run_step(self, step: tuple[str, ...], admin: Administration) -> None:
        context = FailureContext(
            self.cluster, self.control, self.recorder, admin, self.rng
        )
        window = Window(list(step), time.monotonic(), 0.0)
        self.windows.append(window)
        click.echo(f"prove: {' and '.join(step)}")
        await asyncio.gather(*(FAILURES[name](context) for name in step))
        await self.control.heal()
        window.ended_at = time.monotonic()

    async def _settle(self, traffic: Traffic) -> tuple[float, list[Violation]]:
        """Cancel the jobs that never end and wait until all jobs have finished.

        Returns how long that took, and a violation for each job that is unfinished
        after `SETTLE_TIMEOUT_SECONDS`.
        """
        began_at = time.monotonic()
        waiting = list(traffic.jobs)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_TIMEOUT_SECONDS):
                unending = [job for job in traffic.jobs if not job.finite]
                await asyncio.gather(*map(traffic.cancel, unending))
                while waiting:
                    waiting = await self._unfinished(traffic, waiting)
        now = time.monotonic()
        left = [
            Violation(RECOVERY, job.spec.job, now, "has not finished after healing")
            for job in waiting
        ]
        return now - began_at, left

    async def _unfinished(
        self, traffic: Traffic, jobs: Sequence[SubmittedJob]
    ) -> list[SubmittedJob]:
        """Return the jobs that have open parts or whose state is unavailable."""
        await asyncio.sleep(SETTLE_POLL_INTERVAL_SECONDS)
        target = Target("", self.cluster.balancer)
        states = [await traffic.open_parts(job, target) for job in jobs]
        pairs = zip(jobs, states, strict=True)
        return [job for job, state in pairs if state != 0]

    def _outdated_entry_vms(self) -> list[Violation]:
        """Return a violation for each running entry VM with an outdated configuration.

        That is one without the last version, or with a view above the age limit.
        """
        history = self.recorder.history
        last = max(item.version for item in history.rollouts)
        seen = {item.vm: item for item in history.versions}
        return [
            Violation(RECOVERY, vm, item.at, f"version {item.version}, not {last}")
            for vm, item in seen.items()
            if self.cluster.entry_vms[vm].serving("gateway").running
            and (item.version < last or item.view_age > VIEW_AGE_LIMIT_SECONDS)
        ]

    async def _record_standin_data(self) -> None:
        """Add the records of the stand-ins to the history."""
        history = self.recorder.history
        record_executions(history, await self.control.executions())
        stats = await self.control.backend_stats()
        record_refusals(history, stats, time.monotonic())
        record_ledger(history, await self.control.ledger())

    def _build_report(self, admin: Administration, settle_seconds: float) -> Report:
        history = self.recorder.history
        return Report(
            seed=self.options.seed,
            deployment=self.cluster.layout.deployment,
            without=self.cluster.layout.without,
            windows=self.windows,
            takeover_seconds=[
                item.started_at - item.killed_at for item in history.takeovers
            ],
            violations=check_all(history),
            calls=len(history.calls),
            answered=sum(call.outcome == "answered" for call in history.calls),
            executions=len(history.executions),
            task_starts=len(history.runs),
            settle_seconds=settle_seconds,
            reasons=self.recorder.reasons,
            rollouts=len(history.rollouts),
            races=admin.races,
            conflicts=admin.conflicts,
            withdrawals=len(history.withdrawals),
        )


def record_capacities(history: History, control: PlatformControl) -> None:
    """Record the capacities of workers and the slots of backend servers."""
    for vm in control.vms.values():
        if vm.role is VmRole.WORKER:
            history.capacities[vm.name] = vm.capacity
        if vm.role is VmRole.BACKEND:
            history.slots[vm.name] = vm.slots


async def run_once(options: Options) -> Report:
    """Run against a new cluster and write the history and the report as JSON."""
    cluster = Cluster(options.layout, options.folder)
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        proof = ProofRun(options, cluster, session, random.Random(options.seed))
        try:
            report = await proof.run()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTLE_TIMEOUT_SECONDS):
                    await cluster.stop()
        finally:
            await cluster.kill()
    history = proof.recorder.history
    (options.folder / "history.json").write_bytes(msgspec.json.encode(history))
    (options.folder / "report.json").write_bytes(msgspec.json.encode(report))
    return report


def read_seeds(text: str) -> list[int]:
    """Return the seeds of a text such as `3` or `1..5`."""
    first, _, last = text.partition("..")
    return list(range(int(first), int(last or first) + 1))


def read_steps(failures: str, seed: int) -> list[tuple[str, ...]]:
    """Return the steps that `failures` names, or random ones drawn from `seed`.

    Semicolons separate steps, commas the failures that are injected together.
    """
    if not failures:
        return draw_failures(random.Random(seed))
    steps = [tuple(step.split(",")) for step in failures.split(";")]
    unknown = {name for step in steps for name in step} - set(FAILURES)
    if unknown:
        raise click.BadParameter(f"unknown failures: {', '.join(sorted(unknown))}")
    return steps


@click.command()
@click.option("--seed", "seeds", default="1", help="one seed, or a range such as 1..5")
@click.option("--failures", default="", help="a,b together; a;b in sequence")
@click.option(
    "--seconds", default=QUIET_SECONDS, help="without failures around each step"
)
@click.option(
    "--deployment", default=SICILIA_EST.deployment, type=click.Choice(list(DEPLOYMENTS))
)
@click.option("--without", default="", help="a mechanism to disable")
@click.option("--folder-suffix", default="", help="appended to the output folder")
@click.option("--fence/--no-fence", default=True, help="whether workers fence commands")
def main(
    seeds: str,
    failures: str,
    seconds: float,
    deployment: str,
    without: str,
    folder_suffix: str,
    fence: bool,
) -> None:
    """Run each seed, and exit with status 1 if any invariant was violated."""
    layout = replace(DEPLOYMENTS[deployment], without=without, workers_fence=fence)
    reports = []
    for seed in read_seeds(seeds):
        steps = read_steps(failures, seed)
        shown = "; ".join(" and ".join(step) for step in steps)
        click.echo(f"prove: seed {seed}, {deployment}, failures {shown}")
        name = f"{seed}-without-{without}" if without else str(seed)
        folder = OUTPUT_FOLDER / (name + folder_suffix)
        options = Options(seed, layout, folder, steps, seconds)
        reports.append(asyncio.run(run_once(options)))
        print_report(reports[-1])
    if len(reports) > 1:
        print_table(reports)
    sys.exit(any(report.failed for report in reports))


if __name__ == "__main__":
    main()
