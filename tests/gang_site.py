"""A simulated site under a mixed load of gangs, batch and urgent jobs.

Servers have speeds, a gang takes as long as its slowest member, and the advice service
allows a share of the servers and answers one question at a time for each VM.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, replace

from cassiaweir.dispatch import Advice, EndKind, StartOrder
from cassiaweir.jobs import StepSpec
from cassiaweir.queues import AdvicePolicy, Customer, Queue
from cassiaweir.types import Resources
from standins.users import FakeServer, RunRecord
from tests.site_fakes import ADVISED, QUEUE, URGENT, FakeAdvisor, FakeSite

GANG_QUEUE = replace(ADVISED, advice=AdvicePolicy(0.455, 0.0065, 2.5))
CUSTOMER = Customer("agency", frozenset({"key"}), weight=10_000.0)


class SharedAdvisor(FakeAdvisor):
    """An advice service that allows each step a share of the servers, by its seed.

    There are `lanes` VMs that can ask besides the leader.
    """

    def __init__(self, site: GangSite) -> None:
        super().__init__(site.question_s, site.each_server_s)
        self._site = site

    def addresses(self) -> Sequence[str]:
        """Return the other VMs that can ask for advice."""
        return [f"lane-{number}" for number in range(self._site.lanes - 1)]

    async def advise(self, *args: object) -> Advice:
        """Return tickets for the servers that the step may use."""
        step, server_ids, _ = args[-3:]
        advice = await super().advise("", server_ids, 0.0)
        self._site.questions.append(len(advice.tickets))
        allowed = {
            each: ticket
            for each, ticket in advice.tickets.items()
            if self._site.allows(str(step), each)
        }
        return Advice(allowed, advice.valid_s)


class GangSite(FakeSite):
    """A site whose servers differ in speed and whose gangs run in step.

    `speeds` are given to the servers in turn and `size` to all of them.  `share` of
    the servers is allowed for each step.
    """

    def __init__(
        self,
        *,
        servers: int = 44,
        seed: int = 0,
        speeds: Sequence[float] = (1.0,),
        size: Resources | None = None,
        share: float = 0.35,
        lanes: int = 10,
        question_s: float = 0.455,
        each_server_s: float = 0.0065,
        domains: Sequence[str] = ("augusta",),
    ) -> None:
        self.lanes, self.share = lanes, share
        self.questions: list[int] = []
        super().__init__(
            servers=servers,
            vms=1,
            seed=seed,
            question_s=question_s,
            each_server_s=each_server_s,
            domains=domains,
        )
        for number, server in enumerate(self.servers.values()):
            server.speed = speeds[number % len(speeds)]
            if size is not None:
                server.entry = replace(server.entry, capacity=size)
                server.counted_capacity = size
                self.register(server)
        self.gangs: defaultdict[tuple[str, int], list[tuple[FakeServer, str]]] = (
            defaultdict(list)
        )

    def advisor(self) -> FakeAdvisor:
        """Return the advice service as a VM reaches it."""
        return SharedAdvisor(self)

    def allows(self, step: str, server_id: str) -> bool:
        """Return whether the advice service allows a server to a step."""
        return random.Random(f"{self.seed}/{step}/{server_id}").random() < self.share

    def record_start(self, server: FakeServer, order: StartOrder) -> None:
        """Start a run; a member of a gang ends with the slowest one."""
        super().record_start(server, order)
        job_id, _, number, _ = order.task.split(".")
        if not self.specs[job_id].steps[int(number)].gang:
            return
        members = self.gangs[order.task.rpartition(".")[0], order.run]
        members.append((server, order.task))
        runs = [
            each.runs[task, order.run]
            for each, task in members
            if (task, order.run) in each.runs
        ]
        ends_at = max(each.ends_at for each in runs)
        for each in runs:
            each.ends_at = ends_at


@dataclass(frozen=True)
class Stream:
    """Jobs of one kind that arrive at random, `rate` a second."""

    queue: Queue
    tasks: int
    seconds: float
    cpu_millis: int
    rate: float
    gang: bool = False
    checkpoints: bool = False
    estimate_error: float = 0.9


@dataclass
class Submitted:
    """A job of a stream, with the limit of its objective and its true seconds."""

    job_id: str
    stream: Stream
    at: float
    limit_s: float
    seconds: float


def dyfed(scale: float, load: float) -> list[Stream]:
    """Return the streams of a site with servers of 16 cores.

    `scale` is the share of its 176 servers, `load` the factor on its usual rates.
    """
    rate = scale * load
    return [
        Stream(GANG_QUEUE, 20, 4.0, 4_500, 2.95 * rate, gang=True),
        Stream(QUEUE, 25, 2.2, 1_700, 6.16 * rate, estimate_error=0.5),
        Stream(URGENT, 3, 1.0, 2_500, 44.1 * rate),
    ]


def sherbrooke(scale: float, load: float) -> list[Stream]:
    """Return the same for a site with servers of 32 cores and uneven speed."""
    rate = scale * load
    return [
        Stream(GANG_QUEUE, 20, 3.4, 9_000, 2.38 * rate, gang=True),
        Stream(QUEUE, 25, 1.9, 3_500, 4.93 * rate, estimate_error=0.5),
        Stream(URGENT, 3, 0.68, 5_000, 44.0 * rate),
    ]


async def submit_load(
    site: GangSite, streams: Sequence[Stream], seconds: float, seed: int = 0
) -> list[Submitted]:
    """Submit the jobs of `streams` for some seconds; return them."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    arrivals: list[tuple[float, int]] = []
    for number, stream in enumerate(streams):
        at = rng.expovariate(stream.rate)
        while at < seconds:
            arrivals.append((at, number))
            at += rng.expovariate(stream.rate)
    submitted = []
    for at, number in sorted(arrivals):
        stream = streams[number]
        if began_at + at > loop.time():
            # All jobs that are due by now come at once, however busy the leader is.
            await asyncio.sleep(began_at + at - loop.time())
        # The mean of the log-normal distribution is `stream.seconds`.
        task_s = stream.seconds * math.exp(rng.gauss(0, 0.5) - 0.125)
        step = StepSpec(
            count=stream.tasks,
            cpu_millis=stream.cpu_millis,
            estimate_s=task_s * math.exp(rng.gauss(0, stream.estimate_error)),
            gang=stream.gang,
            checkpoints=stream.checkpoints,
        )
        job_id = site.submit(step, queue=stream.queue, task_s=task_s)
        limit_s = stream.queue.stretch * task_s + stream.queue.slack_s
        submitted.append(Submitted(job_id, stream, loop.time(), limit_s, task_s))
    return submitted


def worth_by_queue(
    site: GangSite, jobs: Sequence[Submitted]
) -> dict[str, tuple[float, Counter[str]]]:
    """Return for each queue the mean worth of its jobs and how many were on time."""
    done: defaultdict[str, dict[str, RunRecord]] = defaultdict(dict)
    for run in site.history:
        if run.how is EndKind.DONE:
            done[run.task.split(".")[0]][run.task] = run
    found: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for job in jobs:
        ends = [each.ended_at or math.inf for each in done[job.job_id].values()]
        # The end of one member completes its gang.
        needed = 1 if job.stream.gang else job.stream.tasks
        took = max(ends) - job.at if len(ends) >= needed else math.inf
        state = "late" if took <= 3 * job.limit_s else "lost"
        found[job.stream.queue.name]["on_time" if took <= job.limit_s else state] += 1
    return {
        name: ((count["on_time"] + 0.2 * count["late"]) / count.total(), count)
        for name, count in found.items()
    }


def waits_s(site: GangSite, jobs: Sequence[Submitted], queue: Queue) -> list[float]:
    """Return the seconds from submission to the first start, infinite if none."""
    first: dict[str, float] = {}
    for run in site.history:
        first.setdefault(run.task.split(".")[0], run.began_at)
    return [
        first.get(job.job_id, math.inf) - job.at
        for job in jobs
        if job.stream.queue.name == queue.name
    ]
