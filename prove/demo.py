"""Demonstrates the scheduler on one machine: `python -m prove.demo`.

Starts the stand-ins and two entry VMs per failure domain, sends requests and jobs of
every kind for two teams, kills the owner of a shard while they run, and prints the
merged timeline.  The last line is a JSON object with the results.  Its counts of tasks
and executions come from the stand-ins, that of answered requests from the callers.
"""

from __future__ import annotations

import asyncio
import shutil
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path

import aiohttp
import click
import grpc
import msgspec

from cassiaweir.observe import Event, merge_events, render_text, render_trace
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.types import JobKind, Urgency
from cassiaweir.work import JobSpec, TaskSize
from prove.callers import ANSWERED, Caller, Response
from prove.cluster import SICILIA_EST, Cluster
from prove.operators import AUTHOR, FIRST_OPERATOR_SETTING, CtlOperators

OUTPUT_FOLDER = Path("build/demo")
TEAMS = ("fuel-audits", "settlements")
REQUESTS_PER_TEAM = 200
MAX_CONCURRENT_REQUESTS = 20
MAX_TIMELINE_LINES = 60
SHOWN_KINDS = {
    "process_started",
    "bundle_installed",
    "shard_acquired",
    "job_submitted",
    "owner_gone",
    "part_finished",
}
MAX_EVENTS = 1000
CALL_TIMEOUT_SECONDS = 5
SMALL_TASK = TaskSize(cpu_millis=1000, memory_mb=1024)


class LedgerView(msgspec.Struct):
    """The fields of the workers' ledger that the demo reads."""

    tasks_started: int
    run_twice: int
    overcommitted: int
    jobs: dict[str, int]


class BackendView(msgspec.Struct):
    """The fields of a backend server's statistics that the demo reads.

    `executions` counts the executions of each idempotency key.
    """

    executions: dict[str, int]


class Outcome(msgspec.Struct):
    """The results of the demo, printed as its last line.

    `run_twice` counts tasks and requests that were executed more than once, `lost`
    the tasks that should have succeeded and did not.
    """

    requests_answered: int
    jobs_finished: int
    tasks_started: int
    run_twice: int
    overcommitted: int
    lost: int


@dataclass(slots=True)
class TeamWork:
    """The jobs and requests of one team.

    All tasks of `jobs` must succeed; `service` runs until it is cancelled.
    """

    caller: Caller
    jobs: list[JobSpec]
    service: JobSpec
    answers: list[Response] = field(default_factory=list)

    def expected(self) -> dict[str, int]:
        """Return how many tasks of each job must succeed."""
        return {spec.job: spec.tasks for spec in self.jobs}


def plan_work(caller: Caller) -> TeamWork:
    """Return a batch job, an urgent batch job, a gang and a service for a team."""
    team = caller.team

    def spec(
        name: str, kind: JobKind, tasks: int, payload: str, **kw: object
    ) -> JobSpec:
        return msgspec.convert(
            {
                "job": f"{team}.{name}",
                "queue": "work",
                "kind": kind,
                "tasks": tasks,
                "size": SMALL_TASK,
                "payload": payload,
                **kw,
            },
            JobSpec,
        )

    return TeamWork(
        caller,
        [
            spec("audit", JobKind.BATCH, 60, "run:2", declared_seconds=2),
            spec("check", JobKind.BATCH, 4, "run:0.3", urgency=Urgency.URGENT),
            spec("closing", JobKind.GANG, 8, "run:2", declared_seconds=2),
        ],
        spec("lookup", JobKind.SERVICE, 3, "forever"),
    )


class Demo:
    """Runs the steps of the demo against a started cluster."""

    def __init__(
        self, cluster: Cluster, session: aiohttp.ClientSession, operators: CtlOperators
    ) -> None:
        self.cluster = cluster
        self.session = session
        self.operators = operators

    async def run(self, keys: dict[str, str]) -> Outcome:
        """Run all jobs and requests to completion and return the results."""
        team_works = [
            plan_work(Caller(self.session, self.cluster.balancer, team, key))
            for team, key in keys.items()
        ]
        _print_step(
            "submitting a batch job, an urgent one, a gang and a service per team"
        )
        for work in team_works:
            for spec in (*work.jobs, work.service):
                await work.caller.submit(spec)
        requests = [
            asyncio.create_task(self._send_requests(work)) for work in team_works
        ]
        await asyncio.gather(
            *(work.caller.wait_running(work.service.job, 3) for work in team_works)
        )
        await self._kill_an_owner(team_works[0])
        await asyncio.gather(
            *(
                work.caller.wait_finished(spec.job)
                for work in team_works
                for spec in work.jobs
            )
        )
        _print_step("all batch jobs and gangs have finished; the services still run")
        await asyncio.gather(*requests)
        await self._print_operator_views(team_works[0])
        await self._print_timeline()
        for work in team_works:
            await work.caller.cancel(work.service.job)
            await work.caller.wait_finished(work.service.job)
        return await self._build_outcome(team_works)

    async def _send_requests(self, work: TeamWork) -> None:
        """Send non-idempotent requests concurrently, each with a key of its own."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def send(index: int) -> None:
            name = f"{work.caller.team}-{index}"
            async with limit:
                answer = await work.caller.request_until_run(
                    self.cluster.layout.service, name.encode(), idempotency_key=name
                )
            work.answers.append(answer)

        await asyncio.gather(*(send(index) for index in range(REQUESTS_PER_TEAM)))
        answered = sum(answer.status == ANSWERED for answer in work.answers)
        _print_step(
            f"{work.caller.team}: {answered} of {REQUESTS_PER_TEAM} requests answered"
        )

    async def _kill_an_owner(self, work: TeamWork) -> None:
        """Kill the entry VM process that owns a shard with running tasks."""
        state = await work.caller.look(work.jobs[0].job)
        shard = state.live[0].shard if state and state.live else "augusta-0"
        for event in reversed(await self._events()):
            if event.kind == "shard_acquired" and event.subject == shard:
                vm = self.cluster.entry_vms[event.process.partition(".")[0]]
                await vm.serving("scheduler").kill()
                _print_step(f"killed {event.process}, the owner of {shard}")
                return

    async def _print_operator_views(self, work: TeamWork) -> None:
        """Print what an operator sees of the cell in `cassiaweir ctl`."""
        await self.operators.run(AUTHOR, "status")
        await self.operators.run(AUTHOR, "explain", work.service.job)
        await self.operators.run(AUTHOR, "key", "list")
        await self.operators.run(AUTHOR, "bundle", "history")
        await self.operators.run(AUTHOR, "audit", "list")

    async def _events(self) -> list[Event]:
        """Return the merged events of all running processes of the entry VMs."""
        found: list[Event] = []
        for address in self.cluster.rpc_addresses():
            async with grpc.aio.insecure_channel(address) as channel:
                stub = cell_pb2_grpc.PeerStub(channel)
                request = cell_pb2.EventsRequest(limit=MAX_EVENTS)
                answer = await stub.Events(request, timeout=CALL_TIMEOUT_SECONDS)
            found += [msgspec.json.decode(raw, type=Event) for raw in answer.events]
        return merge_events(found)

    async def _print_timeline(self) -> None:
        events = await self._events()
        path = OUTPUT_FOLDER / "timeline.json"
        path.write_bytes(render_trace(events))
        shown = [event for event in events if event.kind in SHOWN_KINDS]
        _print_step(f"timeline without task events ({len(events)} events in {path}):")
        click.echo(render_text(shown[:MAX_TIMELINE_LINES]))

    async def _build_outcome(self, team_works: list[TeamWork]) -> Outcome:
        """Compare what the stand-ins counted with the submitted work."""
        control = f"http://{self.cluster.control}"
        async with self.session.get(f"{control}/v1/ledger") as resp:
            ledger = msgspec.json.decode(await resp.read(), type=LedgerView)
        async with self.session.get(f"{control}/v1/stats") as resp:
            backends = msgspec.json.decode(await resp.read(), type=list[BackendView])
        expected = {job: n for work in team_works for job, n in work.expected().items()}
        missing_tasks = {
            job: n - ledger.jobs.get(job, 0) for job, n in expected.items()
        }
        executed: dict[str, int] = {}
        for backend in backends:
            for key, count in backend.executions.items():
                executed[key] = executed.get(key, 0) + count
        answered = sum(
            answer.status == ANSWERED for work in team_works for answer in work.answers
        )
        return Outcome(
            requests_answered=answered,
            jobs_finished=sum(missing <= 0 for missing in missing_tasks.values()),
            tasks_started=ledger.tasks_started,
            run_twice=ledger.run_twice + sum(n > 1 for n in executed.values()),
            overcommitted=ledger.overcommitted,
            lost=sum(max(missing, 0) for missing in missing_tasks.values()),
        )


async def run_demo() -> Outcome:
    """Start the cluster, run the demo and stop the cluster."""
    shutil.rmtree(OUTPUT_FOLDER, ignore_errors=True)
    layout = replace(SICILIA_EST, overrides=(FIRST_OPERATOR_SETTING,))
    cluster = Cluster(layout, OUTPUT_FOLDER)
    try:
        _print_step(f"starting {SICILIA_EST.deployment}: stand-ins and entry VMs")
        await cluster.start()
        operators = await CtlOperators.open(cluster.balancer, OUTPUT_FOLDER, echo=True)
        keys = await operators.set_up(TEAMS)
        async with aiohttp.ClientSession() as session:
            outcome = await Demo(cluster, session, operators).run(keys)
        _print_step(f"graceful stop: exit statuses {await cluster.stop()}")
        return outcome
    finally:
        await cluster.kill()


def _print_step(text: str) -> None:
    click.echo(f"demo: {text}")


@click.command()
def main() -> None:
    """Serve requests and jobs while the owner of a shard is killed."""
    outcome = asyncio.run(run_demo())
    click.echo(msgspec.json.encode(outcome))
    sys.exit(bool(outcome.run_twice or outcome.overcommitted or outcome.lost))


if __name__ == "__main__":
    main()
