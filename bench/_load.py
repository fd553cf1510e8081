"""Workloads generated from a seed: VMs, teams, and jobs with true run times."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from cassiaweir.placement import TaskGroup, VmOffer
from cassiaweir.types import JobKind, Resources, Team, Urgency

VM_CAPACITY = Resources(16_000, 65_536)
# Weights of the customers in the fair share.
CUSTOMER_SHARES = (4, 3, 1, 1, 1, 1)
# Probabilities that a generated job belongs to the customer with the same index.
CUSTOMER_DEMAND = (0.42, 0.26, 0.10, 0.10, 0.07, 0.05)
# A customer's limit as a fraction of the fleet.
LIMIT_FRACTION = 0.6
# Longer than any scenario: services do not end.
SERVICE_RUN_SECONDS = 1e9
# Scenarios with wrong estimates multiply or divide the declared run times by this.
ESTIMATE_ERROR_FACTOR = 10.0
BURST_PERIOD_SECONDS = 900.0
# The arrival rate swings by this fraction above and below its mean.
BURST_AMPLITUDE = 0.6


@dataclass(frozen=True, slots=True)
class Deployment:
    """A current deployment, with its VMs in one or more failure domains.

    `urgent_fraction` is the part of its work that is urgent.  A generated job is urgent
    with four times this probability.
    """

    name: str
    failure_domains: tuple[str, ...]
    vms: int
    vms_per_rack: int
    urgent_fraction: float


SICILIA_EST = Deployment("sicilia-est", ("augusta", "priolo", "milazzo"), 24, 8, 0.10)
PACIFICO_NORTE = Deployment(
    "pacifico-norte", ("mazatlan", "guaymas", "ensenada", "la-paz"), 24, 6, 0.05
)


@dataclass(frozen=True, slots=True)
class BenchJob:
    """A job, and the true run time of each of its tasks in seconds."""

    group: TaskGroup
    run_seconds: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    """The fleet, teams and jobs of one run of a planner.

    `jobs` are in the order of submission.  The run ends after `horizon_seconds`.
    """

    name: str
    vms: tuple[VmOffer, ...]
    teams: tuple[Team, ...]
    jobs: tuple[BenchJob, ...]
    horizon_seconds: float


def make_vms(deployment: Deployment) -> tuple[VmOffer, ...]:
    """Return the VMs of a deployment, which form one shard."""
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
        int(len(vms) * VM_CAPACITY.cpu_millis * LIMIT_FRACTION),
        int(len(vms) * VM_CAPACITY.memory_mb * LIMIT_FRACTION),
    )
    return tuple(
        Team(f"customer{number}", share, limit)
        for number, share in enumerate(CUSTOMER_SHARES)
    )


class JobMaker:
    """Draws random jobs.

    Each job has a run time around which the true ones of its tasks scatter.  The
    declared one is this run time multiplied or divided by `estimate_error_factor`.
    """

    def __init__(self, seed: int, estimate_error_factor: float = 1.0) -> None:
        self.random = random.Random(seed)
        self._estimate_error_factor = estimate_error_factor
        self._job_count = 0

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
        """Return a job submitted at `at`, in seconds from the start of the scenario.

        Its tasks take about `typical_seconds` each.
        """
        self._job_count += 1
        job_seconds = typical_seconds * math.exp(self.random.gauss(0, 0.5))
        run_seconds = tuple(
            job_seconds * self.random.uniform(0.8, 1.25) for _ in range(tasks)
        )
        declared = job_seconds * self.random.choice(
            (self._estimate_error_factor, 1 / self._estimate_error_factor)
        )
        group = TaskGroup(
            job=f"job{self._job_count}",
            team=team,
            kind=kind,
            urgency=urgency,
            size=size,
            indexes=tuple(range(tasks)),
            submitted_at=at,
            declared_seconds=0 if kind is JobKind.SERVICE else declared,
        )
        return BenchJob(group, run_seconds)

    def service(self, team: str, at: float) -> BenchJob:
        """Return a service, which runs to the end of the scenario."""
        size = Resources(
            self.random.choice((500, 1000, 2000)),
            self.random.choice((1024, 2048, 4096)),
        )
        tasks = self.random.choice((2, 3, 4))
        return self.make(
            team, JobKind.SERVICE, Urgency.NORMAL, at, size, tasks, SERVICE_RUN_SECONDS
        )

    def batch(self, team: str, at: float) -> BenchJob:
        """Return a batch run; its tasks may be short or long, small or large."""
        size = Resources(
            self.random.choice((500, 1000, 1000, 2000, 4000, 8000)),
            self.random.choice((1024, 2048, 4096, 8192, 16_384)),
        )
        tasks = self.random.choice((1, 2, 4, 8, 16))
        seconds = self.random.choice((20, 60, 60, 240))
        return self.make(team, JobKind.BATCH, Urgency.NORMAL, at, size, tasks, seconds)

    def small_batch(self, team: str, at: float) -> BenchJob:
        """Return a batch run whose tasks are small compared with any team's share."""
        size = Resources(
            self.random.choice((250, 500, 1000)), self.random.choice((512, 1024, 2048))
        )
        tasks = self.random.choice((4, 8, 16))
        seconds = self.random.choice((20, 40))
        return self.make(team, JobKind.BATCH, Urgency.NORMAL, at, size, tasks, seconds)

    def gang(self, team: str, at: float) -> BenchJob:
        """Return a job whose tasks must all start together."""
        size = Resources(self.random.choice((2000, 4000)), 8192)
        tasks = self.random.choice((4, 8, 16))
        return self.make(team, JobKind.GANG, Urgency.NORMAL, at, size, tasks, 120)

    def urgent(self, team: str, at: float) -> BenchJob:
        """Return a short urgent batch run."""
        size = Resources(self.random.choice((1000, 2000, 4000)), 4096)
        tasks = self.random.choice((1, 2, 4))
        return self.make(team, JobKind.BATCH, Urgency.URGENT, at, size, tasks, 15)


def core_seconds(job: BenchJob) -> float:
    """Return the processor time that a job reserves: cores multiplied by seconds."""
    return job.group.size.cpu_millis / 1000 * sum(job.run_seconds)


def mixed(
    deployment: Deployment,
    seed: int,
    *,
    load: float = 0.95,
    estimate_error_factor: float = 1.0,
    horizon_seconds: float = 3600.0,
) -> Scenario:
    """Return a scenario of services, batch runs, gangs and urgent work in bursts.

    The jobs take the fraction `load` of the fleet's processor time.
    """
    vms = make_vms(deployment)
    teams = make_customers(vms)
    maker = JobMaker(seed, estimate_error_factor)
    jobs = [maker.service(_draw_team(maker, teams), 0.0) for _ in range(len(vms))]
    cores = len(vms) * VM_CAPACITY.cpu_millis / 1000
    service_cores = sum(
        j.group.size.cpu_millis / 1000 * len(j.run_seconds) for j in jobs
    )
    remaining_core_seconds = (cores * load - service_cores) * horizon_seconds
    jobs += _draw_arrivals(
        maker, teams, remaining_core_seconds, deployment, horizon_seconds
    )
    jobs.sort(key=lambda job: job.group.submitted_at)
    suffix = (
        ""
        if estimate_error_factor == 1.0
        else f", estimates {estimate_error_factor:g}x wrong"
    )
    name = f"{deployment.name} mixed {load:.0%}{suffix}"
    return Scenario(name, vms, teams, tuple(jobs), horizon_seconds)


def _draw_arrivals(
    maker: JobMaker,
    teams: tuple[Team, ...],
    remaining_core_seconds: float,
    deployment: Deployment,
    horizon_seconds: float,
) -> Iterator[BenchJob]:
    """Yield jobs until their processor time reaches `remaining_core_seconds`."""
    urgent_fraction = deployment.urgent_fraction
    while remaining_core_seconds > 0:
        at = _draw_submission_time(maker, horizon_seconds)
        team = _draw_team(maker, teams)
        draw = maker.random.random()
        if draw < urgent_fraction * 4:
            job = maker.urgent(team, at)
        elif draw < urgent_fraction * 4 + 0.1:
            job = maker.gang(team, at)
        else:
            job = maker.batch(team, at)
        remaining_core_seconds -= core_seconds(job)
        yield job


def _draw_submission_time(maker: JobMaker, horizon_seconds: float) -> float:
    """Return a random time; the arrival rate is a sine wave around its mean."""
    while True:
        at = maker.random.uniform(0, horizon_seconds)
        sine = math.sin(2 * math.pi * at / BURST_PERIOD_SECONDS)
        if maker.random.random() < (1 + BURST_AMPLITUDE * sine) / (1 + BURST_AMPLITUDE):
            return at


def _draw_team(maker: JobMaker, teams: tuple[Team, ...]) -> str:
    return maker.random.choices(teams, CUSTOMER_DEMAND)[0].name


def overloaded(
    deployment: Deployment,
    seed: int,
    *,
    small_tasks: bool = False,
    horizon_seconds: float = 900,
) -> Scenario:
    """Return a scenario of batch work of all customers that overloads the fleet."""
    vms = make_vms(deployment)
    fleet_capacity = VM_CAPACITY * len(vms)
    teams = tuple(
        Team(f"customer{number}", share, fleet_capacity)
        for number, share in enumerate(CUSTOMER_SHARES)
    )
    name = f"{deployment.name} full{' of small tasks' if small_tasks else ''}"
    return _overload_scenario(
        name, vms, teams, seed, horizon_seconds, small_tasks=small_tasks
    )


def overloaded_many_teams(
    vm_count: int, team_count: int, seed: int, horizon_seconds: float = 300
) -> Scenario:
    """Return a scenario of batch work of many teams that overloads the fleet."""
    deployment = Deployment("many-teams", ("augusta",), vm_count, 8, 0)
    vms = make_vms(deployment)
    fleet_capacity = VM_CAPACITY * len(vms)
    teams = tuple(
        Team(f"team{number}", (1, 1, 2, 4)[number % 4], fleet_capacity)
        for number in range(team_count)
    )
    name = f"{vm_count} VMs, {team_count} teams, full"
    return _overload_scenario(name, vms, teams, seed, horizon_seconds)


def _overload_scenario(
    name: str,
    vms: tuple[VmOffer, ...],
    teams: tuple[Team, ...],
    seed: int,
    horizon_seconds: float,
    *,
    small_tasks: bool = False,
) -> Scenario:
    """Return a scenario of batch work that is all submitted at the start.

    It is 2.5 times what the fleet can do within the horizon, divided between the teams
    by their shares.
    """
    maker = JobMaker(seed)
    cores = len(vms) * VM_CAPACITY.cpu_millis / 1000
    shares = sum(team.share for team in teams)
    jobs = []
    for team in teams:
        remaining_core_seconds = 2.5 * cores * horizon_seconds * team.share / shares
        while remaining_core_seconds > 0:
            draw_job = maker.small_batch if small_tasks else maker.batch
            job = draw_job(team.name, 0.0)
            remaining_core_seconds -= core_seconds(job)
            jobs.append(job)
    jobs.sort(key=lambda job: job.group.submitted_at)
    return Scenario(name, vms, teams, tuple(jobs), horizon_seconds)


def batch_heavy(deployment: Deployment, seed: int) -> Scenario:
    """Return a scenario of batch runs that take 60% of the fleet's processor time."""
    vms = make_vms(deployment)
    teams = make_customers(vms)
    maker = JobMaker(seed)
    horizon_seconds = 1800.0
    remaining_core_seconds = (
        0.6 * len(vms) * VM_CAPACITY.cpu_millis / 1000 * horizon_seconds
    )
    jobs = []
    while remaining_core_seconds > 0:
        team = _draw_team(maker, teams)
        job = maker.batch(team, maker.random.uniform(0, horizon_seconds))
        remaining_core_seconds -= core_seconds(job)
        jobs.append(job)
    jobs.sort(key=lambda job: job.group.submitted_at)
    name = f"{deployment.name} batch-heavy 60%"
    return Scenario(name, vms, teams, tuple(jobs), horizon_seconds)
