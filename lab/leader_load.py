"""Measures a leader under load, in virtual time that includes its processor time.

A simulated site gets jobs like those of a large deployment.  Time passes while the
leader computes, as on a VM with one core, but not while the stand-ins of servers and
store do; each call to one of them costs the leader `CALL_S`.  So a leader that cannot
keep up is seen here, as it is not in tests, where computing takes no time.

    python -m lab.leader_load --load 2.2 --seconds 7

With `--slowdown`, the leader's processor is slower than this one by that factor.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

import click
from loguru import logger

from cassiaweir.dispatch import Advice, ServerReport
from cassiaweir.dispatch._objective import DeadlineStatus
from cassiaweir.dispatch._placement_loop import PlacementLoop
from cassiaweir.dispatch._placer import Placer
from cassiaweir.dispatch._waiting_steps import WaitingStep
from cassiaweir.jobs import StepSpec
from cassiaweir.queues import AdvicePolicy, Customer, Queue
from cassiaweir.types import Resources
from standins.users import FakeServer, MemoryStore
from standins.users._site import Site
from tests.gang_site import (
    GANG_QUEUE,
    GangSite,
    SharedAdvisor,
    Stream,
    Submitted,
    waits_s,
    worth_by_queue,
)
from tests.site_fakes import QUEUE, URGENT, FakeSite, configuration
from tests.virtual_time import VirtualLoop

CALL_S = 0.00035
"""Processor time of one call to a server or the store, in seconds."""

POLL_S = 0.05
"""Servers look for ends this often, as that takes processor time of the process."""

SERVERS = 176
SERVER_SIZE = Resources(16_000, 32_000)
ENTRY_VMS = 40
DOMAINS = ("augusta", "benton", "carver")
"""Starts in the first one, that of the leader, wait until a row is stored."""

JOBS_PER_SECOND = 53.2
SETTLE_S = 2.0
"""The run goes on for this time after the last submission."""

UNJUDGED_S = 3.0
"""Jobs submitted in the last seconds have no time to end, and are not judged."""

BATCH = replace(QUEUE, advice=AdvicePolicy(0.104, 0.00143, 2.5))
FAST = replace(URGENT, advice=AdvicePolicy(0.0143, 0.000208, 2.5))
ALLOWED_SHARES = {GANG_QUEUE.name: 0.35, BATCH.name: 0.45, FAST.name: 0.7}
ESTIMATE_SPREAD = 0.7


@dataclass(frozen=True)
class LogNormal:
    """A log-normal distribution by its mean, spread of the logarithm and maximum."""

    mean: float
    spread: float
    most: float

    def draw(self, rng: random.Random) -> float:
        """Return a random value."""
        shift = self.spread**2 / 2
        return min(self.mean * math.exp(rng.gauss(0, self.spread) - shift), self.most)


@dataclass(frozen=True)
class JobMix:
    """The jobs of one queue; `share` is their part of all jobs."""

    queue: Queue
    share: float
    tasks: LogNormal
    cpu_millis: LogNormal
    memory_mb: LogNormal
    seconds: LogNormal
    gang: bool = False
    checkpoints: bool = False


MIXES = (
    JobMix(
        GANG_QUEUE,
        2.95,
        LogNormal(20, 0.8, 120),
        LogNormal(4_500, 0.4, 7_600),
        LogNormal(6_300, 0.5, 13_000),
        LogNormal(4.0, 0.5, 10.0),
        gang=True,
    ),
    JobMix(
        BATCH,
        6.16,
        LogNormal(25, 0.8, 150),
        LogNormal(1_700, 0.45, 5_200),
        LogNormal(3_200, 0.6, 9_600),
        LogNormal(2.2, 0.5, 5.4),
        checkpoints=True,
    ),
    JobMix(
        FAST,
        44.1,
        LogNormal(3.2, 0.8, 19),
        LogNormal(2_500, 0.45, 7_400),
        LogNormal(4_600, 0.6, 14_000),
        LogNormal(1.0, 0.5, 2.5),
    ),
)


class MeteredLoop(VirtualLoop):
    """Virtual time that passes while a callback computes, unless that is exempt.

    Each second of processor time counts as `slowdown` seconds.
    """

    def __init__(self, slowdown: float = 1.0) -> None:
        super().__init__()
        self._slowdown = slowdown
        self.iterations_s: list[float] = []
        self._began: float | None = None
        self._exempt = False

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return super().time() + self._computed_s()

    def _computed_s(self) -> float:
        return 0.0 if self._began is None else self._processor_s() - self._began

    def _processor_s(self) -> float:
        """Return the seconds that the slower processor has worked."""
        return time.process_time() * self._slowdown

    def _run_once(self) -> None:
        self._began = self._processor_s()
        super()._run_once()  # type: ignore[misc]
        spent = self._computed_s()
        self._began = None
        self.spend(spent)
        self.iterations_s.append(spent)

    def charge(self, seconds: float) -> None:
        """Let a call cost `seconds` of processor time."""
        if self._began is not None:
            self._began -= seconds * self._slowdown

    def run_exempt(self, work: Callable[[], Any], cost_s: float) -> Any:
        """Run `work` of a stand-in, which costs `cost_s` instead of what it takes."""
        if self._exempt or self._began is None:
            return work()
        self._exempt = True
        began = self._processor_s()
        try:
            return work()
        finally:
            self._exempt = False
            self._began += self._processor_s() - began - cost_s * self._slowdown


def running_loop() -> MeteredLoop:
    """Return the running loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, MeteredLoop)
    return loop


def exempt(owner: type, name: str, cost_s: float = 0.0) -> None:
    """Let a method of a stand-in cost `cost_s` of processor time, whatever it takes."""
    method = getattr(owner, name)

    def call(*args: Any, **kwargs: Any) -> Any:
        return running_loop().run_exempt(lambda: method(*args, **kwargs), cost_s)

    setattr(owner, name, call)


def exempt_stand_ins() -> None:
    """Take the processor time of the simulated site out of the measurement."""
    for name in ("start", "stop"):
        exempt(FakeServer, name, CALL_S)
    exempt(MemoryStore, "apply", CALL_S)
    exempt(FakeServer, "apply_due_events")
    exempt(GangSite, "record_start")
    exempt(Site, "record_acknowledged")
    exempt(FakeSite, "submit")
    renew_lease = FakeServer.renew_lease

    async def charged(*args: Any, **kwargs: Any) -> ServerReport:
        running_loop().charge(CALL_S)
        return await renew_lease(*args, **kwargs)

    FakeServer.renew_lease = charged  # type: ignore[method-assign]


class QueueAdvisor(SharedAdvisor):
    """An advice service whose time and share of allowed servers depend on the queue."""

    async def advise(self, *args: object) -> Advice:
        """Return tickets for the servers that the step may use."""
        step, server_ids, _ = args[-3:]
        spec = self._site.specs[str(step).partition(".")[0]]
        policy, share = spec.queue.advice, ALLOWED_SHARES[spec.queue.name]
        assert policy is not None
        ids = list(server_ids)  # type: ignore[call-overload]
        self._site.questions.append(len(ids))
        await asyncio.sleep(policy.question_s + policy.each_server_s * len(ids))
        allowed = {
            each: f"ticket-{each}"
            for each in ids
            if random.Random(f"{step}/{each}").random() < share
        }
        return Advice(allowed, policy.valid_s)


class LoadedSite(GangSite):
    """A simulated site whose advice depends on the queue."""

    def advisor(self) -> SharedAdvisor:
        """Return the advice service as a VM reaches it."""
        return QueueAdvisor(self)


@dataclass
class Measured:
    """What a run has measured; times are in seconds."""

    rounds_s: list[float] = field(default_factory=list)
    jobs: list[Submitted] = field(default_factory=list)
    placed: defaultdict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    """The placed tasks by queue, and by the status of their job at that moment."""


def submit(site: LoadedSite, rng: random.Random) -> Submitted:
    """Submit one random job."""
    mix = rng.choices(MIXES, [each.share for each in MIXES])[0]
    task_s = mix.seconds.draw(rng)
    tasks = max(round(mix.tasks.draw(rng)), 2 if mix.gang else 1)
    step = StepSpec(
        count=tasks,
        cpu_millis=round(mix.cpu_millis.draw(rng)),
        memory_mb=round(mix.memory_mb.draw(rng)),
        estimate_s=task_s * math.exp(rng.gauss(0, ESTIMATE_SPREAD)),
        gang=mix.gang,
        checkpoints=mix.checkpoints,
    )
    at = asyncio.get_running_loop().time()
    job_id = site.submit(step, queue=mix.queue, task_s=task_s)
    stream = Stream(mix.queue, tasks, task_s, step.cpu_millis, 1.0, gang=mix.gang)
    limit_s = mix.queue.stretch * task_s + mix.queue.slack_s
    return Submitted(job_id, stream, at, limit_s, task_s)


async def run_load(load: float, seconds: float, seed: int, backlog: int) -> None:
    """Submit jobs for `seconds` and print what became of them."""
    rng = random.Random(seed)
    loop = running_loop()
    site = LoadedSite(
        servers=SERVERS, size=SERVER_SIZE, lanes=ENTRY_VMS, domains=DOMAINS
    )
    for server in site.servers.values():
        server.poll_s = POLL_S
    customer = Customer("agency", frozenset({"key"}), weight=10_000.0)
    queues = tuple(each.queue for each in MIXES)
    site.configuration.value = configuration(customer, queues=queues)
    measured = Measured()
    record = PlacementLoop._record

    def record_round(self: PlacementLoop) -> None:
        measured.rounds_s.append(self._worked_s)
        record(self)

    PlacementLoop._record = record_round  # type: ignore[method-assign]
    launch = Placer._start

    def record_placed(self: Placer, waiting: WaitingStep, *args: Any) -> None:
        status = DeadlineStatus(waiting.rank.status).name.lower()
        measured.placed[waiting.queue.name][status] += len(args[1])
        launch(self, waiting, *args)

    Placer._start = record_placed  # type: ignore
    leader = await site.wait_for_leader()
    measured.jobs += [submit(site, rng) for _ in range(backlog)]
    at = began_at = loop.time()
    while at < began_at + seconds:
        at += rng.expovariate(JOBS_PER_SECOND * load)
        if at > loop.time():
            # All jobs that are due by now come at once, however busy the leader is.
            await asyncio.sleep(at - loop.time())
        measured.jobs.append(submit(site, rng))
    await asyncio.sleep(SETTLE_S)
    report(site, measured, loop, began_at)
    click.echo(f"same leader: {site.leader() is leader}; faults: {site.faults[:3]}")
    await site.close()


def report(
    site: LoadedSite, measured: Measured, loop: MeteredLoop, began_at: float
) -> None:
    """Print what was measured."""
    elapsed_s, rounds = loop.time() - began_at, measured.rounds_s
    click.echo(
        f"{len(measured.jobs)} jobs, {len(site.history)} tasks started in "
        f"{elapsed_s:.1f} s, leader busy for {sum(loop.iterations_s):.1f} s, "
        f"{len(site.questions)} questions"
    )
    click.echo(
        f"{len(rounds)} rounds of {sum(rounds):.2f} s in all, longest "
        f"{max(rounds):.3f} s; longest iteration {max(loop.iterations_s):.3f} s"
    )
    judged = [each for each in measured.jobs if each.at < loop.time() - UNJUDGED_S]
    for name, (worth, counts) in sorted(worth_by_queue(site, judged).items()):
        queue = next(each.queue for each in MIXES if each.queue.name == name)
        waits = sorted(waits_s(site, judged, queue))
        median, high = waits[len(waits) // 2], waits[len(waits) * 9 // 10]
        click.echo(
            f"{name}: worth {worth:.3f}, {dict(counts)}; first start after "
            f"{median:.2f} s (half), {high:.2f} s (nine tenths); tasks placed "
            f"{dict(measured.placed[name])}"
        )


@click.command()
@click.option("--load", default=1.0, show_default=True, help="Factor on the rates.")
@click.option("--seconds", default=8.0, show_default=True, help="Time of submitting.")
@click.option("--backlog", default=0, show_default=True, help="Jobs at the beginning.")
@click.option("--seed", default=1, show_default=True, help="Seed of the jobs.")
@click.option(
    "--slowdown", default=1.0, show_default=True, help="How much slower the leader is."
)
def main(load: float, seconds: float, backlog: int, seed: int, slowdown: float) -> None:
    """Measure a leader under load, in virtual time that includes processor time."""
    logger.remove()
    # Lines are formatted, as that costs the leader time too.
    logger.add(lambda _: None, format="{message} {extra}", level="INFO")
    exempt_stand_ins()
    with asyncio.Runner(loop_factory=partial(MeteredLoop, slowdown)) as runner:
        runner.run(run_load(load, seconds, seed, backlog))


if __name__ == "__main__":
    main()
