"""Loads made from a seed: VMs, teams, and jobs with their true run times."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from cassiaweir.placement import TaskGroup, VmOffer
from cassiaweir.types import JobKind, Resources, Team, Urgency

VM_CAPACITY = Resources(16_000, 65_536)
CUSTOMER_SHARES = (4, 3, 1, 1, 1, 1)
CUSTOMER_DEMAND = (0.42, 0.26, 0.10, 0.10, 0.07, 0.05)
LIMIT_OF_FLEET = 0.6
FOREVER_SECONDS = 1e9
ESTIMATE_ERROR = 10.0
BURST_PERIOD_SECONDS = 900.0
BURST_DEPTH = 0.6


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment of today: its VMs and how large a part of its work is urgent."""

    name: str
    failure_domains: tuple[str, ...]
    vms: int
    vms_per_rack: int
    urgent_part: float


SICILIA_EST = Deployment("sicilia-est", ("augusta", "priolo", "milazzo"), 24, 8, 0.10)
PACIFICO_NORTE = Deployment(
    "pacifico-norte", ("mazatlan", "guaymas", "ensenada", "la-paz"), 24, 6, 0.05
)


@dataclass(frozen=True, slots=True)
class BenchJob:
    """A job and the true run time of each of its tasks, in seconds."""

    group: TaskGroup
    seconds: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a planner is driven with; `jobs` are in the order of submission."""

    name: str
    vms: tuple[VmOffer, ...]
    teams: tuple[Team, ...]
    jobs: tuple[BenchJob, ...]
    horizon_seconds: float


def make_vms(deployment: Deployment) -> tuple[VmOffer, ...]:
    """Return the VMs of a deployment, as one shard."""
    return tuple(
        VmOffer(
            f"vm{number}",
            deployment.failure_domains[number % len(deployment.failure_domains)],
            f"rack{number // deployment.vms_per_rack}",
            VM_CAPACITY,
        )
        for number in range(deployment.vms)
    )


def make_customers(vms: tuple[VmOffer, ...]) -> tuple[Team, ...]:
    """Return the six customers, two of them large."""
    limit = Resources(
        int(len(vms) * VM_CAPACITY.cpu_millis * LIMIT_OF_FLEET),
        int(len(vms) * VM_CAPACITY.memory_mb * LIMIT_OF_FLEET),
    )
    return tuple(
        Team(f"customer{number}", share, limit)
        for number, share in enumerate(CUSTOMER_SHARES)
    )


class JobMaker:
    """Draws jobs; the true seconds differ from the declared ones by `error`."""

    def __init__(self, seed: int, error: float = 1.0) -> None:
        self.random = random.Random(seed)
        self._error = error
        self._count = 0

    def make(
        self,
        team: str,
        kind: JobKind,
        urgency: Urgency,
        at: float,
        size: Resources,
        tasks: int,
        typical_seconds: float,
    ) -> BenchJob:
        """Return a job whose tasks take about `typical_seconds` each."""
        self._count += 1
        base = typical_seconds * math.exp(self.random.gauss(0, 0.5))
        seconds = tuple(base * self.random.uniform(0.8, 1.25) for _ in range(tasks))
        declared = base * self.random.choice((self._error, 1 / self._error))
        group = TaskGroup(
            job=f"job{self._count}",
            team=team,
            kind=kind,
            urgency=urgency,
            size=size,
            indexes=tuple(range(tasks)),
            submitted_at=at,
            declared_seconds=0 if kind is JobKind.SERVICE else declared,
        )
        return BenchJob(group, seconds)

    def service(self, team: str, at: float) -> BenchJob:
        """Return a service that runs to the end of the bench."""
        size = Resources(
            self.random.choice((500, 1000, 2000)),
            self.random.choice((1024, 2048, 4096)),
        )
        tasks = self.random.choice((2, 3, 4))
        return self.make(
            team, JobKind.SERVICE, Urgency.NORMAL, at, size, tasks, FOREVER_SECONDS
        )

    def batch(self, team: str, at: float) -> BenchJob:
        """Return a batch run of short, long, narrow and wide tasks."""
        size = Resources(
            self.random.choice((500, 1000, 1000, 2000, 4000, 8000)),
            self.random.choice((1024, 2048, 4096, 8192, 16_384)),
        )
        tasks = self.random.choice((1, 2, 4, 8, 16))
        seconds = self.random.choice((20, 60, 60, 240))
        return self.make(team, JobKind.BATCH, Urgency.NORMAL, at, size, tasks, seconds)

    def small_batch(self, team: str, at: float) -> BenchJob:
        """Return a batch run of tasks that are small beside any team's share."""
        size = Resources(
            self.random.choice((250, 500, 1000)), self.random.choice((512, 1024, 2048))
        )
        tasks = self.random.choice((4, 8, 16))
        seconds = self.random.choice((20, 40))
        return self.make(team, JobKind.BATCH, Urgency.NORMAL, at, size, tasks, seconds)

    def gang(self, team: str, at: float) -> BenchJob:
        """Return a job whose tasks start together."""
        size = Resources(self.random.choice((2000, 4000)), 8192)
        tasks = self.random.choice((4, 8, 16))
        return self.make(team, JobKind.GANG, Urgency.NORMAL, at, size, tasks, 120)

    def urgent(self, team: str, at: float) -> BenchJob:
        """Return a short urgent batch run."""
        size = Resources(self.random.choice((1000, 2000, 4000)), 4096)
        tasks = self.random.choice((1, 2, 4))
        return self.make(team, JobKind.BATCH, Urgency.URGENT, at, size, tasks, 15)


def cpu_seconds(job: BenchJob) -> float:
    """Return the processor time that a job takes, in cores by seconds."""
    return job.group.size.cpu_millis / 1000 * sum(job.seconds)


def mixed(
    deployment: Deployment,
    seed: int,
    *,
    load: float = 0.95,
    error: float = 1.0,
    horizon_seconds: float = 3600.0,
) -> Scenario:
    """Return services, batch runs, gangs and urgent work in bursts at `load`."""
    vms = make_vms(deployment)
    teams = make_customers(vms)
    maker = JobMaker(seed, error)
    jobs = [maker.service(_draw_team(maker, teams), 0.0) for _ in range(len(vms))]
    cores = len(vms) * VM_CAPACITY.cpu_millis / 1000
    held = sum(j.group.size.cpu_millis / 1000 * len(j.seconds) for j in jobs)
    budget = (cores * load - held) * horizon_seconds
    jobs += _draw_arrivals(maker, teams, budget, deployment, horizon_seconds)
    jobs.sort(key=lambda job: job.group.submitted_at)
    suffix = "" if error == 1.0 else f", estimates {error:g}x wrong"
    name = f"{deployment.name} mixed {load:.0%}{suffix}"
    return Scenario(name, vms, teams, tuple(jobs), horizon_seconds)


def _draw_arrivals(
    maker: JobMaker,
    teams: tuple[Team, ...],
    budget: float,
    deployment: Deployment,
    horizon_seconds: float,
) -> Iterator[BenchJob]:
    """Yield jobs until their processor time reaches `budget` core-seconds."""
    urgent_part = deployment.urgent_part
    while budget > 0:
        at = _draw_moment(maker, horizon_seconds)
        team = _draw_team(maker, teams)
        kind = maker.random.random()
        if kind < urgent_part * 4:
            job = maker.urgent(team, at)
        elif kind < urgent_part * 4 + 0.1:
            job = maker.gang(team, at)
        else:
            job = maker.batch(team, at)
        budget -= cpu_seconds(job)
        yield job


def _draw_moment(maker: JobMaker, horizon_seconds: float) -> float:
    """Return a moment of submission; the rate swings with a period."""
    while True:
        at = maker.random.uniform(0, horizon_seconds)
        swing = math.sin(2 * math.pi * at / BURST_PERIOD_SECONDS)
        if maker.random.random() < (1 + BURST_DEPTH * swing) / (1 + BURST_DEPTH):
            return at


def _draw_team(maker: JobMaker, teams: tuple[Team, ...]) -> str:
    return maker.random.choices(teams, CUSTOMER_DEMAND)[0].name


def full(
    deployment: Deployment,
    seed: int,
    *,
    small: bool = False,
    horizon_seconds: float = 900,
) -> Scenario:
    """Return batch work of all customers, several times what the fleet can do."""
    vms = make_vms(deployment)
    whole = VM_CAPACITY * len(vms)
    teams = tuple(
        Team(f"customer{number}", share, whole)
        for number, share in enumerate(CUSTOMER_SHARES)
    )
    name = f"{deployment.name} full{' of small tasks' if small else ''}"
    return _backlog(name, vms, teams, seed, horizon_seconds, small=small)


def full_of_teams(
    vms_count: int, teams_count: int, seed: int, horizon_seconds: float = 300
) -> Scenario:
    """Return batch work of many teams, several times what the fleet can do."""
    deployment = Deployment("many-teams", ("augusta",), vms_count, 8, 0)
    vms = make_vms(deployment)
    whole = VM_CAPACITY * len(vms)
    teams = tuple(
        Team(f"team{number}", (1, 1, 2, 4)[number % 4], whole)
        for number in range(teams_count)
    )
    name = f"{vms_count} VMs, {teams_count} teams, full"
    return _backlog(name, vms, teams, seed, horizon_seconds)


def _backlog(
    name: str,
    vms: tuple[VmOffer, ...],
    teams: tuple[Team, ...],
    seed: int,
    horizon_seconds: float,
    *,
    small: bool = False,
) -> Scenario:
    """Return a scenario in which every team has work that waits from the start."""
    maker = JobMaker(seed)
    cores = len(vms) * VM_CAPACITY.cpu_millis / 1000
    shares = sum(team.share for team in teams)
    jobs = []
    for team in teams:
        budget = 2.5 * cores * horizon_seconds * team.share / shares
        while budget > 0:
            draw = maker.small_batch if small else maker.batch
            job = draw(team.name, 0.0)
            budget -= cpu_seconds(job)
            jobs.append(job)
    jobs.sort(key=lambda job: job.group.submitted_at)
    return Scenario(name, vms, teams, tuple(jobs), horizon_seconds)


def batch_heavy(deployment: Deployment, seed: int) -> Scenario:
    """Return batch runs that fill a little over half of the fleet."""
    vms = make_vms(deployment)
    teams = make_customers(vms)
    maker = JobMaker(seed)
    horizon_seconds = 1800.0
    budget = 0.6 * len(vms) * VM_CAPACITY.cpu_millis / 1000 * horizon_seconds
    jobs = []
    while budget > 0:
        team = _draw_team(maker, teams)
        job = maker.batch(team, maker.random.uniform(0, horizon_seconds))
        budget -= cpu_seconds(job)
        jobs.append(job)
    jobs.sort(key=lambda job: job.group.submitted_at)
    name = f"{deployment.name} batch-heavy 60%"
    return Scenario(name, vms, teams, tuple(jobs), horizon_seconds)
