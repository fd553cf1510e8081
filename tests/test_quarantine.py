"""Tests of the servers that suspected tasks have for themselves.

Pattern: half of a site crashes twice, and the tasks of many jobs have to run alone.
"""

from __future__ import annotations

from cassiaweir.dispatch import ServerEntry
from cassiaweir.dispatch._placement import Candidate
from cassiaweir.dispatch._quarantine import Quarantine
from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._server import Server
from cassiaweir.jobs import Isolation, Job, JobSpec, Step, StepSpec
from cassiaweir.types import Resources
from tests.site_fakes import QUEUE

SERVERS = 24


def make_step(number: int, **options: object) -> Step:
    step = StepSpec(count=4, cpu_millis=8_000, **options)  # type: ignore[arg-type]
    spec = JobSpec(f"{number:016x}", QUEUE, "c", "x", (step,), 0.0)
    return Job(spec, 1, 3).steps[0, 0]


def make_servers(*, busy: bool) -> list[Server]:
    servers = []
    for number in range(SERVERS):
        server = Server(
            ServerEntry(f"i-{number}", "a:1", "s", "a", Resources(16_000, 65_536))
        )
        if busy:
            step = make_step(1_000 + number)
            server.add(Run(step.tasks[0], 1, server, step.demand, "c", 0.0))
        servers.append(server)
    return servers


def set_aside_for(quarantine: Quarantine, servers: list[Server], jobs: int) -> int:
    """Set servers aside for several jobs; return how many jobs have one."""
    candidates = [Candidate(server, 2) for server in servers]
    for number in range(jobs):
        quarantine.set_aside(make_step(number), 1, candidates, servers)
    others = quarantine.usable(make_step(jobs), Isolation.APART, servers)
    return len(servers) - len(others)


# Guards against LOST: suspected tasks that wait although most servers are empty.
def test_more_suspected_jobs_may_run_alone_on_empty_servers() -> None:
    assert set_aside_for(Quarantine(), make_servers(busy=False), 12) == SERVERS // 4


def test_few_busy_servers_are_kept_for_suspected_jobs() -> None:
    assert set_aside_for(Quarantine(), make_servers(busy=True), 12) == SERVERS // 8


def test_a_gang_gets_room_for_all_members_or_nothing() -> None:
    servers = make_servers(busy=False)
    quarantine = Quarantine()
    gang = make_step(1, gang=True)
    quarantine.set_aside(gang, 4, [Candidate(servers[0], 2)], servers)
    assert not quarantine.usable(gang, Isolation.ALONE, servers)
    quarantine.set_aside(gang, 4, [Candidate(each, 2) for each in servers], servers)
    assert len(quarantine.usable(gang, Isolation.ALONE, servers)) == 2
