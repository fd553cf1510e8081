"""Random jobs of every shape, clients that cancel, and faults, in virtual time.

Beside the faults of `test_site_faults`, the store may refuse rows over a limit, jobs
last, recur with occurrences in arrears, or are wide, and clients give up and cancel.
Checked are TWICE, LIMIT and QUOTA at each start, UNASKED, and after each step what the
leader holds in memory.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from cassiaweir.dispatch import EndKind
from cassiaweir.dispatch._occurrences import MAX_WAITING_TASKS
from cassiaweir.dispatch._placement import MAX_RUNS_PER_SERVER
from cassiaweir.front._cancels import CancelResult
from cassiaweir.jobs import JobState, StepSpec, TaskState
from cassiaweir.queues import Customer
from cassiaweir.types import Resources
from standins.users import unjustified_failures
from tests.site_clients import SiteClient
from tests.site_fakes import ADVISED, QUEUE, URGENT, FakeSite, configuration
from tests.test_site_faults import DOMAIN_FAULTS
from tests.virtual_time import run_virtual

FAULT_PERIOD_S = 25.0
CANCEL_S = 3.0
LATEST_WRITE_S = 6.0
CAPPED = Customer("capped", frozenset({"c"}), weight=20.0, cap=Resources(24_000))
FREE = Customer("agency", frozenset({"key"}), weight=20.0)
FOREVER = 10**6


def random_step(rng: random.Random, seconds: float, **fields: object) -> StepSpec:
    """Return a step with fields from the whole contract."""
    return StepSpec(
        count=rng.choice((1, 2, 5, 30, 90)),
        cpu_millis=rng.choice((0, 50, 500, 1_400)),
        memory_mb=rng.choice((0, 256, 2_000)),
        estimate_s=seconds * rng.choice((0.0, 0.5, 1.0, 2.0)),
        checkpoints=rng.random() < 0.3,
        speculative=rng.random() < 0.2,
        most_per_server=rng.choice((0, 0, 0, 3)),
        image=rng.choice(("", "a")),
        **fields,  # type: ignore[arg-type]
    )


class Shapes:
    """Submits random jobs; `ending` have to be done, the others are cancelled."""

    def __init__(self, site: FakeSite) -> None:
        self.site = site
        self.ending: list[str] = []
        self.endless: list[str] = []
        self.clients: list[SiteClient] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def submit(self) -> None:
        """Submit a job of a random shape."""
        rng = self.site.rng
        seconds = rng.uniform(0.2, 2.5)
        kind = rng.randrange(7)
        if kind == 0:
            self._submit_lasting(seconds)
        elif kind == 1:
            self._submit_recurring(seconds)
        elif kind == 2:
            client = SiteClient(self.site, rng.choice(self.site.vms))
            self.clients.append(client)
            step = random_step(rng, seconds)
            running = client.run(step, task_s=seconds)
            self.tasks.add(asyncio.create_task(running))
        elif kind == 3:
            gang = StepSpec(count=rng.randint(2, 4), cpu_millis=1_000, gang=True)
            self._submit(gang, seconds=seconds, queue=ADVISED)
        else:
            first = random_step(rng, seconds)
            then = random_step(rng, seconds, after=(0,))
            steps = (first, then)[: rng.randint(1, 2)]
            self._submit(*steps, seconds=seconds, queue=rng.choice((QUEUE, URGENT)))

    def _submit(self, *steps: StepSpec, seconds: float, queue: object) -> None:
        customer = self.site.rng.choice(("agency", "capped"))
        job = self.site.submit(*steps, task_s=seconds, queue=queue, customer=customer)  # type: ignore[arg-type]
        self.ending.append(job)

    def _submit_lasting(self, seconds: float) -> None:
        rng = self.site.rng
        step = StepSpec(
            count=rng.randint(1, 6),
            cpu_millis=300,
            long_running=True,
            gang=rng.random() < 0.2,
        )
        how = rng.choice((EndKind.DONE, EndKind.FAILED))
        job = self.site.submit(step, task_s=seconds, how=how)
        self.endless.append(job)

    def _submit_recurring(self, seconds: float) -> None:
        rng = self.site.rng
        times = rng.choice((1, 5, 20, FOREVER))
        step = StepSpec(count=rng.choice((1, 3, 70)), cpu_millis=200)
        job = self.site.submit(
            step,
            task_s=seconds,
            times=times,
            interval_s=rng.choice((0.0, 1.0, 3_600.0)),
            customer=rng.choice(("agency", "capped")),
        )
        (self.endless if times == FOREVER else self.ending).append(job)


def check_leader(site: FakeSite) -> None:
    """Check what the leader holds: it is bounded, and its states belong together."""
    leader = site.leader()
    dispatcher = leader.term._dispatcher if leader is not None else None
    if dispatcher is None:
        return
    entries = list(dispatcher._jobs.entries.values())
    recurring = [each.job for each in entries if each.job.spec.times]
    runs = len(site.servers) * MAX_RUNS_PER_SERVER
    assert sum(len(job.steps) for job in recurring) <= (
        MAX_WAITING_TASKS + runs + len(recurring)
    )
    for entry in entries:
        numbers = {(run.task.name, run.number) for run in entry.runs}
        for step in entry.job.steps.values():
            known = list(step.tasks.known())
            placed = [task for task in known if task.state is TaskState.PLACED]
            assert all((task.name, task.run) in numbers for task in placed)
            waiting = sum(task.state is TaskState.WAITING for task in known)
            untouched = len(step.tasks) - len(known) - step.done_count
            assert step.waiting_count == waiting + untouched


async def run_shapes(site: FakeSite) -> Shapes:
    """Submit jobs and inject faults, checking the leader meanwhile."""
    rng = site.rng
    shapes = Shapes(site)
    faults = set()
    while asyncio.get_running_loop().time() < FAULT_PERIOD_S:
        shapes.submit()
        check_leader(site)
        if rng.random() < 0.12:
            fault = rng.choice(DOMAIN_FAULTS)
            faults.add(asyncio.create_task(fault(site, rng)))
        await asyncio.sleep(rng.uniform(0.2, 0.8))
    await asyncio.gather(*faults, *shapes.tasks)
    for job_id in shapes.endless:
        site.cancel(job_id)
    return shapes


@pytest.mark.parametrize("seed", range(500, 512))
def test_no_rule_breaks_for_jobs_of_any_shape(seed: int) -> None:
    async def body() -> None:
        site = FakeSite(servers=9, vms=3, seed=seed, domains=("a", "b", "c"))
        site.configuration.value = configuration(FREE, CAPPED)
        limit = site.rng.choice((0, 0, 400, 2_000))
        if limit:
            site.store.row_bytes["progress"] = limit
        for server in site.servers.values():
            server.checkpoint_s = site.rng.choice((0.0, 0.5))
        await site.wait_for_leader()
        shapes = await run_shapes(site)
        calm_at = asyncio.get_running_loop().time() + LATEST_WRITE_S + CANCEL_S
        for _ in range(60):
            await asyncio.sleep(1)
            check_leader(site)
        leader = await site.wait_for_leader()
        states = {job: leader.term.job_state(job) for job in shapes.ending}
        ended = {job: leader.term.job_state(job) for job in shapes.endless}
        assert not unjustified_failures(site, leader.term.job_state)
        await site.close()
        assert not site.faults
        unfinished = [job for job, state in states.items() if state != JobState.DONE]
        # What can't be stored keeps the tasks that rest on it from being started.
        assert limit or not unfinished
        assert set(ended.values()) <= {JobState.CANCELLED}
        check_cancels(site, shapes, calm_at)

    run_virtual(body)


def check_cancels(site: FakeSite, shapes: Shapes, calm_at: float) -> None:
    """Check that nothing starts for a job whose cancelling was acknowledged."""
    for job_id in shapes.endless:
        assert all(run.began_at <= calm_at for run in site.starts_of(job_id))
    for client in shapes.clients:
        starts = site.starts_of(client.job_id)
        if client.result is CancelResult.UNKNOWN_JOB:
            assert not starts
        if client.cancelled_at is not None:
            assert all(run.began_at <= calm_at for run in starts)
