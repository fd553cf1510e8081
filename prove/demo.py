"""Shows the whole path on one machine: `python -m prove.demo`.

Starts the stand-ins and two entry VMs a failure domain, serves requests and all
kinds of jobs for two teams, kills the owner of a shard half way, prints the merged
time line, and ends with one JSON object.  What it counts comes from the stand-ins.
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
from prove.callers import ANSWERED, Answer, Caller
from prove.cluster import SICILIA_EST, Cluster
from prove.operators import AUTHOR, FIRST_OPERATOR_SETTING, OperatorDesk

FOLDER = Path("build/demo")
TEAMS = ("fuel-audits", "settlements")
REQUESTS = 200
REQUESTS_AT_ONCE = 20
TIMELINE_LINES = 60
SHOWN_KINDS = {
    "process_started",
    "bundle_installed",
    "shard_acquired",
    "job_submitted",
    "owner_gone",
    "part_finished",
}
EVENTS_WANTED = 1000
CALL_SECONDS = 5
SMALL = TaskSize(cpu_millis=1000, memory_mb=1024)


class LedgerView(msgspec.Struct):
    """The part of the workers' ledger that decides on the demo."""

    tasks_started: int
    run_twice: int
    overcommitted: int
    jobs: dict[str, int]


class BackendView(msgspec.Struct):
    """The part of a backend server's statistics that decides on the demo."""

    executions: dict[str, int]


class Outcome(msgspec.Struct):
    """The last line of the demo."""

    requests_answered: int
    jobs_finished: int
    tasks_started: int
    run_twice: int
    overcommitted: int
    lost: int


@dataclass(slots=True)
class Work:
    """The jobs of one team and how many of their tasks must succeed."""

    caller: Caller
    jobs: list[JobSpec]
    service: JobSpec
    answers: list[Answer] = field(default_factory=list)

    def expected(self) -> dict[str, int]:
        """Return the tasks that must succeed, by job."""
        return {spec.job: spec.tasks for spec in self.jobs}


def plan_work(caller: Caller) -> Work:
    """Return a batch run, an urgent batch run, a gang and a service for a team."""
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
                "size": SMALL,
                "payload": payload,
                **kw,
            },
            JobSpec,
        )

    return Work(
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
        self, cluster: Cluster, session: aiohttp.ClientSession, desk: OperatorDesk
    ) -> None:
        self.cluster = cluster
        self.session = session
        self.desk = desk

    async def run(self, keys: dict[str, str]) -> Outcome:
        """Drive all work to its end and return what the stand-ins counted."""
        works = [
            plan_work(Caller(self.session, self.cluster.balancer, team, key))
            for team, key in keys.items()
        ]
        _say("submitting a batch run, an urgent one, a gang and a service per team")
        for work in works:
            for spec in (*work.jobs, work.service):
                await work.caller.submit(spec)
        requests = [asyncio.create_task(self._send_requests(work)) for work in works]
        await asyncio.gather(
            *(work.caller.wait_running(work.service.job, 3) for work in works)
        )
        await self._kill_an_owner(works[0])
        await asyncio.gather(
            *(
                work.caller.wait_finished(spec.job)
                for work in works
                for spec in work.jobs
            )
        )
        _say("all batch runs and gangs have finished; the services still run")
        await asyncio.gather(*requests)
        await self._look_around(works[0])
        await self._print_timeline()
        for work in works:
            await work.caller.cancel(work.service.job)
            await work.caller.wait_finished(work.service.job)
        return await self._count(works)

    async def _send_requests(self, work: Work) -> None:
        """Send non-idempotent requests, each once, several at a time."""
        limit = asyncio.Semaphore(REQUESTS_AT_ONCE)

        async def send(index: int) -> None:
            name = f"{work.caller.team}-{index}"
            async with limit:
                answer = await work.caller.request_until_run(
                    self.cluster.layout.service, name.encode(), idempotency_key=name
                )
            work.answers.append(answer)

        await asyncio.gather(*(send(index) for index in range(REQUESTS)))
        answered = sum(answer.status == ANSWERED for answer in work.answers)
        _say(f"{work.caller.team}: {answered} of {REQUESTS} requests answered")

    async def _kill_an_owner(self, work: Work) -> None:
        """Kill the entry VM process that owns a shard with running tasks."""
        state = await work.caller.look(work.jobs[0].job)
        shard = state.live[0].shard if state and state.live else "augusta-0"
        for event in reversed(await self._events()):
            if event.kind == "shard_acquired" and event.subject == shard:
                vm = self.cluster.entry_vms[event.process.partition(".")[0]]
                await vm.serving("scheduler").kill()
                _say(f"killed {event.process}, the owner of {shard}")
                return

    async def _look_around(self, work: Work) -> None:
        """Look at the cell as an operator does."""
        await self.desk.run(AUTHOR, "status")
        await self.desk.run(AUTHOR, "explain", work.service.job)
        await self.desk.run(AUTHOR, "key", "list")
        await self.desk.run(AUTHOR, "bundle", "history")
        await self.desk.run(AUTHOR, "audit", "list")

    async def _events(self) -> list[Event]:
        """Return the merged events of all processes that answer."""
        found: list[Event] = []
        for address in self.cluster.rpc_addresses():
            async with grpc.aio.insecure_channel(address) as channel:
                stub = cell_pb2_grpc.PeerStub(channel)
                request = cell_pb2.EventsRequest(limit=EVENTS_WANTED)
                answer = await stub.Events(request, timeout=CALL_SECONDS)
            found += [msgspec.json.decode(raw, type=Event) for raw in answer.events]
        return merge_events(found)

    async def _print_timeline(self) -> None:
        events = await self._events()
        path = FOLDER / "timeline.json"
        path.write_bytes(render_trace(events))
        shown = [event for event in events if event.kind in SHOWN_KINDS]
        _say(f"the time line without tasks ({len(events)} events in {path}):")
        click.echo(render_text(shown[:TIMELINE_LINES]))

    async def _count(self, works: list[Work]) -> Outcome:
        """Compare what the stand-ins saw with what was asked for."""
        control = f"http://{self.cluster.control}"
        async with self.session.get(f"{control}/v1/ledger") as resp:
            ledger = msgspec.json.decode(await resp.read(), type=LedgerView)
        async with self.session.get(f"{control}/v1/stats") as resp:
            backends = msgspec.json.decode(await resp.read(), type=list[BackendView])
        expected = {job: n for work in works for job, n in work.expected().items()}
        short = {job: n - ledger.jobs.get(job, 0) for job, n in expected.items()}
        executed: dict[str, int] = {}
        for backend in backends:
            for key, count in backend.executions.items():
                executed[key] = executed.get(key, 0) + count
        answered = sum(
            answer.status == ANSWERED for work in works for answer in work.answers
        )
        return Outcome(
            requests_answered=answered,
            jobs_finished=sum(missing <= 0 for missing in short.values()),
            tasks_started=ledger.tasks_started,
            run_twice=ledger.run_twice + sum(n > 1 for n in executed.values()),
            overcommitted=ledger.overcommitted,
            lost=sum(max(missing, 0) for missing in short.values()),
        )


async def run_demo() -> Outcome:
    """Start everything, run the demo and stop everything."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    layout = replace(SICILIA_EST, overrides=(FIRST_OPERATOR_SETTING,))
    cluster = Cluster(layout, FOLDER)
    try:
        _say(f"starting {SICILIA_EST.deployment}: stand-ins and entry VMs")
        await cluster.start()
        desk = await OperatorDesk.open(cluster.balancer, FOLDER, echo=True)
        keys = await desk.set_up(TEAMS)
        async with aiohttp.ClientSession() as session:
            outcome = await Demo(cluster, session, desk).run(keys)
        _say(f"graceful stop: exit statuses {await cluster.stop()}")
        return outcome
    finally:
        await cluster.kill()


def _say(text: str) -> None:
    click.echo(f"demo: {text}")


@click.command()
def main() -> None:
    """Show both kinds of traffic served and a kill survived."""
    outcome = asyncio.run(run_demo())
    click.echo(msgspec.json.encode(outcome))
    sys.exit(bool(outcome.run_twice or outcome.overcommitted or outcome.lost))


if __name__ == "__main__":
    main()
