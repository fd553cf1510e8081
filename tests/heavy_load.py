"""Loads a heavy simulated site, with faults in series and cancels in masses.

To run more seeds than the tests do:

    python -m tests.heavy_load --seeds 0..19 --servers 176
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import click
import pytest

from cassiaweir.dispatch import EndKind
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._placer import Placer
from cassiaweir.dispatch._reports import ReportProcessor
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run
from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.front._cancels import CancelResult
from cassiaweir.jobs import JobSpec, StepSpec
from cassiaweir.queues import Queue
from cassiaweir.verdict import Verdict
from standins.users import unjustified_failures
from tests.heavy_checks import ACK_S, CONTACT_S, GONE_S, HeavyJob
from tests.heavy_site import HeavySite, HeavyVm
from tests.seed_runs import Outcome, run_seeds
from tests.site_fakes import ADVISED, QUEUE, URGENT
from tests.test_busy_leader import spend_in
from tests.test_site_faults import (
    break_store_for_all,
    break_store_for_some,
    crash_server,
    cut_domain,
    cut_servers,
    delay_orders,
    forget_history,
    kill_all,
    kill_and_restart,
    make_unhealthy,
    stop_leader,
)
from tests.virtual_time import VirtualClock, run_virtual


async def freeze_leader(site: HeavySite, rng: random.Random) -> None:
    """Stop the leader for longer than others wait for it, or for less."""
    vm = site.leader() or rng.choice(site.vms)
    vm.frozen_until = asyncio.get_running_loop().time() + rng.uniform(0.3, 6.0)
    await vm.resumed()


async def slow_store(site: HeavySite, rng: random.Random) -> None:
    """Let the store be slow, and lose answers, for some VMs or all."""
    vms = site.vms if rng.random() < 0.5 else [site.leader() or site.vms[0]]
    for vm in vms:
        vm.store.slow_s = rng.choice((0.1, 0.4, 1.0))
        vm.store.lost_share = rng.choice((0.0, 0.3))
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    for vm in vms:
        vm.store.slow_s = vm.store.lost_share = 0.0


async def lose_answers(site: HeavySite, rng: random.Random) -> None:
    """Let answers of servers get lost, and carry out some starts late."""
    for vm in site.vms:
        vm.orders.lost_share = rng.choice((0.1, 0.5))
        vm.orders.late_share = rng.choice((0.0, 0.2))
        vm.orders.held_share = rng.choice((0.0, 0.3))
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    for vm in site.vms:
        vm.orders.lost_share = vm.orders.late_share = vm.orders.held_share = 0.0


async def lose_notices(site: HeavySite, rng: random.Random) -> None:
    """Let what VMs tell the leader get lost."""
    site.lost_notices = 0.9
    await asyncio.sleep(rng.uniform(3.0, 10.0))
    site.lost_notices = 0.05


async def remove_leader(site: HeavySite, rng: random.Random) -> None:
    """Remove the VM that started most of what runs, for good."""
    vm = site.leader()
    if vm is None or sum(not each.removed for each in site.vms) <= 3:
        return
    vm.removed = True
    await vm.kill()


async def hand_over_in_series(site: HeavySite, rng: random.Random) -> None:
    """Kill, stop or freeze one leader after the other."""
    for _ in range(rng.randint(2, 4)):
        await rng.choice((kill_and_restart, stop_leader, freeze_leader))(site, rng)
        await asyncio.sleep(rng.uniform(0.0, 1.5))


async def start_late_while_cut(site: HeavySite, rng: random.Random) -> None:
    """Hold back starts at servers that are then cut off, while jobs are cancelled.

    No order to stop arrives before the starts are carried out; the leader may change.
    """
    servers = [each for each in site.servers if rng.random() < 0.4]
    for vm in site.vms:
        vm.orders.held_share = 0.8
    await asyncio.sleep(rng.uniform(0.3, 1.0))
    for vm in site.vms:
        vm.orders.held_share = 0.0
        vm.orders.unreachable.update(servers)
    site.cancel_mass(rng.choice((0.3, 0.9)))
    if rng.random() < 0.6:
        await rng.choice((remove_leader, kill_and_restart, stop_leader))(site, rng)
    await asyncio.sleep(rng.uniform(0.5, 5.0))
    for vm in site.vms:
        vm.orders.unreachable.difference_update(servers)


async def replace_servers(site: HeavySite, rng: random.Random) -> None:
    """Crash many servers; some come back under other ids."""
    up = [each for each in site.servers.values() if each.up and each.successor is None]
    for server in rng.sample(up, max(len(up) // 8, 1)):
        site.crash_for(server, rng.uniform(0.5, 5.0), new_id=rng.random() < 0.5)
    await asyncio.sleep(5.0)


FAULTS: tuple[Callable[[Any, random.Random], Coroutine[Any, Any, None]], ...] = (
    freeze_leader, slow_store, slow_store, lose_answers, lose_answers, lose_answers,
    lose_notices, remove_leader, hand_over_in_series, replace_servers,
    start_late_while_cut, start_late_while_cut, start_late_while_cut,
    break_store_for_all, break_store_for_some, crash_server, cut_domain, cut_servers,
    delay_orders, forget_history, kill_all, kill_and_restart, make_unhealthy,
    stop_leader,
)  # fmt: skip


class HeavyLoad:
    """Clients that submit more than the site can do, and cancel in masses."""

    def __init__(self, site: HeavySite, load: float) -> None:
        self.site = site
        self.rate = 0.45 * len(site.servers) * load
        self._ids = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def new_job(self) -> HeavyJob:
        """Return a job of a random shape, which its client is about to send."""
        rng = self.site.rng
        seconds = rng.uniform(0.3, 6.0)
        kind = rng.random()
        estimate_s = seconds * rng.choice((0.5, 1.0, 2.0))
        step = StepSpec(
            count=rng.choice((3, 25, 90)) if kind < 0.5 else rng.randint(1, 4),
            cpu_millis=rng.choice((300, 1_700, 2_500)),
            estimate_s=estimate_s,
            checkpoints=rng.random() < 0.6,
        )
        queue: Queue = QUEUE
        times = 0
        if kind < 0.25:
            queue = rng.choice((ADVISED, ADVISED, URGENT))
            step = replace(step, count=rng.randint(2, 8), gang=True, cpu_millis=4_500)
        elif kind > 0.9:
            step = replace(step, long_running=True)
        elif kind > 0.85:
            times = rng.choice((2, 20))
        elif kind > 0.6:
            queue = URGENT
        steps = (step, replace(step, after=(0,))) if rng.random() < 0.2 else (step,)
        steps = (step,) if step.long_running else steps
        how = EndKind.FAILED if rng.random() < 0.05 else EndKind.DONE
        now = VirtualClock().now().timestamp()
        job_id = f"{next(self._ids):016x}"
        spec = JobSpec(
            job_id, queue, "agency", f"{seconds:.6f}/{how.value}", steps, now, times,
            now, rng.choice((0.0, 1.0)),
        )  # fmt: skip
        job = HeavyJob(spec)
        self.site.specs[job_id] = spec
        self.site.rule.jobs[job_id] = job
        return job

    async def submit_for(self, seconds: float) -> None:
        """Submit jobs for some time, with a mass of cancels now and then."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            self._spawn(self._run(self.new_job()))
            if self.site.rng.random() < 0.3 / self.rate:
                self.cancel_mass(self.site.rng.choice((0.3, 0.9)))
            await asyncio.sleep(self.site.rng.expovariate(self.rate))

    def cancel_mass(self, share: float) -> None:
        """Cancel a share of all jobs, and ids that nobody has submitted."""
        self.site.rule.counts["masses"] += 1
        for job in list(self.site.rule.jobs.values()):
            if job.cancel_sent_at is None and self.site.rng.random() < share:
                self._spawn(self._cancel(job))
        for number in range(250):
            spec = JobSpec(f"f{number:015x}", QUEUE, "agency", "", (), 0.0)
            self._spawn(self._cancel(HeavyJob(spec), most=3))

    async def _run(self, job: HeavyJob) -> None:
        rng = self.site.rng
        for _ in range(rng.randint(1, 6)):
            vm = self._front()
            wait_s = rng.choice((0.005, 0.3, 2.0, 2.0, 2.0))
            try:
                if vm is None:
                    raise UnavailableError("no front", verdict=Verdict.NOT_RUN)
                await vm.call(vm.writer.submit(job.spec), wait_s)
                job.accepted = True
                if rng.random() < 0.3:
                    self._spawn(self._repeat(job))
                break
            except RefusedError:
                break
            except UnavailableError:
                job.in_doubt = True
            await asyncio.sleep(rng.uniform(0.0, 0.5))
        if (job.in_doubt and not job.accepted) or rng.random() < 0.1:
            await asyncio.sleep(rng.choice((0.0, 0.05, 1.0, 5.0)))
            await self._cancel(job)

    async def _repeat(self, job: HeavyJob) -> None:
        """Send a job again seconds after it was accepted, perhaps after its cancel."""
        await asyncio.sleep(self.site.rng.uniform(0.5, 15.0))
        vm = self._front()
        try:
            if vm is not None:
                await vm.call(vm.writer.submit(job.spec), 2.0)
        except (RefusedError, UnavailableError):
            return

    def _front(self) -> HeavyVm | None:
        found = [vm for vm in self.site.vms if vm.alive]
        return self.site.rng.choice(found) if found else None

    async def _cancel(self, job: HeavyJob, most: int = 60) -> None:
        """Ask one front after the other to cancel a job, until one says so."""
        rng = self.site.rng
        loop = asyncio.get_running_loop()
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        if job.cancel_sent_at is None:
            job.cancel_sent_at = loop.time()
        for _ in range(most):
            vm = self._front()
            try:
                if vm is not None:
                    cancel = vm.writer.cancel(job.spec.job_id, "agency")
                    result = await vm.call(cancel, 1.5)
                    await asyncio.sleep(rng.choice((0.0, 0.0, 0.5, 2.0)))
                    self._acknowledge(job, result)
                    return
            except (RefusedError, UnavailableError):
                pass
            await asyncio.sleep(rng.uniform(0.1, 0.6))

    def _acknowledge(self, job: HeavyJob, result: CancelResult) -> None:
        now = asyncio.get_running_loop().time()
        job.result, job.acknowledged_at = result, now
        job.cancelled_at = min(now, job.cancelled_at or now)
        self.site.rule.counts[f"acknowledged {result.value}"] += 1


def run_heavy(
    seed: int, *, servers: int, seconds: float, load: float, busy_s: float
) -> Outcome:
    """Run a heavy site for `seconds`; return what was seen.

    `load` is its share of what the servers can do, roughly.  `busy_s` is the time that
    the leader computes for each step that it places.
    """
    outcome = Outcome(seed, [], Counter())

    async def body() -> None:
        site = HeavySite(servers=servers, seed=seed)
        outcome.faults, outcome.counts = site.faults, site.rule.counts
        await site.wait_for_leader()
        work = HeavyLoad(site, load)
        site.cancel_mass = work.cancel_mass
        submitting = asyncio.create_task(work.submit_for(seconds))
        while not submitting.done():
            await asyncio.sleep(site.rng.uniform(0.5, 4.0))
            faults = site.rng.choices(FAULTS, k=site.rng.randint(1, 5))
            outcome.counts.update(each.__name__ for each in faults)
            await asyncio.gather(*(each(site, site.rng) for each in faults))
            if site.rng.random() < 0.4:
                await asyncio.sleep(CONTACT_S + ACK_S + GONE_S)
        await submitting
        outcome.counts["waiting"] = count_waiting(site)
        work.cancel_mass(0.6)
        await asyncio.sleep(20.0)
        work.cancel_mass(1.0)
        await asyncio.sleep(20.0)
        for task in work.tasks:
            task.cancel()
        outcome.counts["jobs"] = len(site.rule.jobs)
        outcome.counts["starts"] = len(site.history)
        outcome.counts["done"] = sum(each.how is EndKind.DONE for each in site.history)
        outcome.counts["left"] = len(site._running)
        check_refused(site)
        await check_failures(site)
        await site.close()

    requeue = RunRegistry.requeue

    def counting(runs: RunRegistry, run: Run, cause: str) -> None:
        outcome.counts[f"requeued, {cause}"] += 1
        requeue(runs, run, cause)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(RunRegistry, "requeue", counting)
        spend_in(patch, Placer, "_place_step", busy_s)
        spend_in(patch, ReportProcessor, "apply", busy_s / 10)
        spend_in(patch, JobRegistry, "add_row", busy_s / 10)
        run_virtual(body)
    return outcome


def count_waiting(site: HeavySite) -> int:
    """Return how many accepted jobs have not begun yet."""
    begun = {run.task.partition(".")[0] for run in site.history}
    jobs = site.rule.jobs.items()
    return sum(job.accepted and job_id not in begun for job_id, job in jobs)


def check_refused(site: HeavySite) -> None:
    """Check that nothing ran of jobs whose submissions were all refused."""
    for job_id, job in site.rule.jobs.items():
        refused = not job.accepted and not job.in_doubt and job.result is None
        if refused and site.starts_of(job_id):
            site.faults.append(f"REFUSED: {job_id} was refused and ran")


async def check_failures(site: HeavySite) -> None:
    """Check that no job is shown as failed without cause."""
    leader = await site.wait_for_leader()
    for each in unjustified_failures(site, leader.term.job_state):
        site.faults.append(f"LOST: shown as failed without cause: {each}")


@click.command()
@click.option("--seeds", default="0..19", show_default=True, help="FIRST..LAST.")
@click.option("--servers", default=24, show_default=True, help="Backend servers.")
@click.option("--seconds", default=40.0, show_default=True, help="Duration of load.")
@click.option("--load", default=1.5, show_default=True, help="Share of the capacity.")
@click.option("--busy", default=0.0005, show_default=True, help="Seconds for a step.")
@click.option("--log", default="", help="A file for the log of the processes.")
def main(
    seeds: str, servers: int, seconds: float, load: float, busy: float, log: str
) -> None:
    """Run seeds and print what each has shown."""
    run_seeds(
        seeds,
        log,
        lambda seed: run_heavy(
            seed, servers=servers, seconds=seconds, load=load, busy_s=busy
        ),
    )


if __name__ == "__main__":
    main()
