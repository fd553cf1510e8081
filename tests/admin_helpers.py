"""A cell in memory behind a real HTTP server, for tests of the administration."""

import asyncio
import contextlib
import threading
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta

import aiohttp
import msgspec

from cassiaweir.administration import BundleFile, ProcessInfo, ProcessText
from cassiaweir.api import GatewayServer, JobApi, RequestApi, admin_blueprints
from cassiaweir.clock import SystemClock
from cassiaweir.configuration import (
    AuditedTable,
    Operator,
    OperatorRole,
    Operators,
    TableView,
    secret_digest,
)
from cassiaweir.exceptions import NotFoundError, UnavailableError
from cassiaweir.facade import CellAdministration, CellSources
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.types import Resources, ShardOwner, Vm, VmRole, VmState
from cassiaweir.verdict import Verdict
from cassiaweir.work import JobManager, PartAnswer
from standins.memory import MemoryTable
from tests.test_requests_helpers import make_settings

FIRST_OPERATOR_SECRET = "the-first-operator-of-tests"
ALL_ROLES = frozenset(OperatorRole)
SHARDS = ("augusta-0", "priolo-0")
CAPACITY = Resources(16_000, 65_536)
TEAMS = """
[[team]]
name = "customs"
share = 4
limit = { cpu_millis = 8000, memory_mb = 32000 }

[[team]]
name = "public"
share = 1
limit = { cpu_millis = 2000, memory_mb = 8000 }
"""
QUEUES = """
[[queue]]
name = "work"

[[queue]]
name = "walk-in"
open = true
team = "public"

[[service]]
name = "inventory"
queue = "work"
"""
FILES = [
    BundleFile(name="queues.toml", text=QUEUES),
    BundleFile(name="teams.toml", text=TEAMS),
]


class RacingTable(MemoryTable):
    """A table in memory that can run a concurrent change and block reads.

    `racer` is a coroutine function that runs once, just before the next commit.  While
    `hold_reads` holds an event, reads wait for it, and `held_reads` counts them.
    """

    def __init__(self):
        super().__init__()
        self.racer = None
        self.hold_reads = None
        self.held_reads = 0

    async def read(self, keys):
        if self.hold_reads is not None:
            self.held_reads += 1
            await self.hold_reads.wait()
        return await super().read(keys)

    async def commit(self, checks, writes):
        racer, self.racer = self.racer, None
        if racer is not None:
            await racer()
        return await super().commit(checks, writes)


class FakeShardDirectory:
    """A `ShardDirectory` in which every shard has an owner but those in `lost`."""

    def __init__(self):
        self.lost = set()

    def owners(self):
        return [self.owner(shard) for shard in SHARDS if shard not in self.lost]

    def owner(self, shard):
        if shard in self.lost:
            return None
        domain = shard.rpartition("-")[0]
        return ShardOwner(
            shard, domain, f"{domain}-1", "a:1", 3, CAPACITY, CAPACITY, 0, 0
        )


class FakeSchedulerClient:
    """A `SchedulerClient` that answers for all shards.

    In each shard a job has `running` and `queued` tasks and waits for `reason`.  While
    `down` is set, calls raise `UnavailableError`.
    """

    def __init__(self):
        self.running = 0
        self.queued = 0
        self.reason = ""
        self.down = False

    async def notify_parts(self, address, shard, job):
        return None

    async def query_job(self, address, job):
        if self.down:
            raise UnavailableError("scheduler is down", verdict=Verdict.NOT_RUN)
        return [
            PartAnswer(shard, self.queued, self.running, 0, 0, self.reason)
            for shard in SHARDS
        ]


class FakeProcessProbe:
    """A `ProcessProbe` of one process that has installed the versions of the view.

    The processes named in `behind` have no bundle, and those in `silent` do not answer.
    """

    def __init__(self, view, metrics):
        self._view = view
        self._metrics = metrics
        self.silent = []
        self.behind = []

    async def fetch_versions(self):
        found = [self._info("augusta-1", self._view.bundle_version)]
        found += [self._info(name, 0) for name in self.behind]
        found += [
            ProcessInfo(
                process=name, role="entry", vm=name, failure_domain="f", answered=False
            )
            for name in self.silent
        ]
        return found

    async def fetch_texts(self, name, process=""):
        if process not in ("", "augusta-1"):
            raise NotFoundError(f"no process is called {process!r}")
        text = self._metrics.render()
        return [ProcessText(process="augusta-1", answered=True, text=text)]

    def _info(self, name, version):
        return ProcessInfo(
            process=name,
            role="entry",
            vm=name,
            failure_domain="augusta",
            answered=True,
            bundle_version=version,
            keys_version=self._view.keys_version,
            view_age_seconds=0.0,
        )


class FakeVmList:
    """The platform's list: one VM of each role in each of two failure domains."""

    def __init__(self):
        self.vms = [
            Vm(f"{domain}-{role}-1", role, "a:1", domain, "r1", "i1", VmState.LIVE)
            for domain in ("augusta", "priolo")
            for role in (VmRole.WORKER, VmRole.BACKEND, VmRole.ENTRY)
        ]

    async def fetch(self):
        return list(self.vms)


@dataclass
class CollectedEvents:
    """The events of all processes, and the processes that returned none."""

    events: list
    silent: list = field(default_factory=list)


class FakeEventSource:
    """An `EventSource` that returns the events of one log."""

    def __init__(self, log):
        self.log = log
        self.silent = []

    async def collect(self):
        return CollectedEvents(self.log.after(0, 10_000), self.silent)


@dataclass
class Answer:
    """The HTTP response to one call."""

    status: int
    raw: bytes
    headers: dict

    @property
    def body(self):
        return msgspec.json.decode(self.raw)


class AdminCell:
    """A cell in memory; `call` sends an HTTP request as one of its operators."""

    def __init__(self):
        self.clock = SystemClock()
        self.table = RacingTable()
        self.log = EventLog("augusta-1", self.clock)
        self.metrics = Metrics()
        self.view = TableView(
            self.table,
            self.log,
            self.clock,
            poll=timedelta(seconds=1),
            age_limit=timedelta(hours=1),
        )
        self.directory = FakeShardDirectory()
        self.schedulers = FakeSchedulerClient()
        self.probe = FakeProcessProbe(self.view, self.metrics)
        self.vms = FakeVmList()
        self.events = FakeEventSource(self.log)
        self.audited = AuditedTable(self.table, self.clock)
        self.jobs = JobManager(
            table=self.table,
            directory=self.directory,
            vm_sizes=lambda shard: [CAPACITY],
            schedulers=self.schedulers,
            clock=self.clock,
            events=self.log,
        )
        self.cell = CellAdministration(
            CellSources(
                deployment="sicilia-est",
                view=self.view,
                directory=self.directory,
                vm_list=self.vms,
                shard_of=lambda vm: f"{vm.failure_domain}-0",
                shard_names=SHARDS,
                probe=self.probe,
                events=self.events,
                clock=self.clock,
            ),
            self.audited,
            self.jobs,
            first_operator_digest=secret_digest(FIRST_OPERATOR_SECRET),
        )
        self.secrets = {"first": FIRST_OPERATOR_SECRET}
        self.address = ""

    @asynccontextmanager
    async def running(self):
        """Serve HTTP, with the operators anna and bruno, who have every role."""
        settings = make_settings()
        requests = RequestApi(
            self.view, None, max_request_time=timedelta(seconds=1), clock=self.clock
        )
        blueprints = [
            requests.blueprint(),
            JobApi(self.view, self.jobs).blueprint(),
            *admin_blueprints(self.cell),
        ]
        self.front = GatewayServer(settings, blueprints, self.log, self.metrics)
        await self.front.start()
        self.address = self.front.address
        for name in ("anna", "bruno"):
            await self.add_operator(name, ALL_ROLES)
        try:
            yield self
        finally:
            await self.front.stop()
            await self.jobs.stop()

    async def add_operator(self, name, roles):
        """Add an operator as whom `call` can send requests."""
        operators = Operators(self.audited)
        first = Operator("first", ALL_ROLES)
        self.secrets[name] = await operators.add(first, name, list(roles))

    async def call(self, who, method, path, body=None, *, prefix="/v1/admin"):
        """Send a request and return the response.

        `who` is an operator, or a credential.  `body` is a message, or bytes that are
        sent as they are.
        """
        data = body
        if body is not None and not isinstance(body, bytes):
            data = msgspec.json.encode(body)
        headers = {"Authorization": f"Bearer {self.secrets.get(who, who)}"}
        url = f"http://{self.address}{prefix}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, data=data, headers=headers) as resp,
        ):
            return Answer(resp.status, await resp.read(), dict(resp.headers))

    async def draft(self, files=FILES, who="anna"):
        """Store a draft of a bundle; return its path and digest."""
        answer = await self.call(who, "POST", "/bundles", {"files": files})
        assert answer.status == 201, answer.raw
        return f"/bundles/{answer.body['version']}", answer.body["digest"]

    async def approved(self, files=FILES):
        """Draft, propose and approve a bundle; return its path and digest."""
        path, digest = await self.draft(files)
        await self.call("anna", "POST", f"{path}/propose", {"digest": digest})
        review = {"digest": digest, "approve": True}
        answer = await self.call("bruno", "POST", f"{path}/review", review)
        assert answer.status == 200, answer.raw
        return path, digest

    async def roll_out(self, files=FILES, *, confirm=False):
        """Draft, approve and roll out a bundle; return the response to the roll-out."""
        path, digest = await self.approved(files)
        change = {"digest": digest, "confirm": confirm}
        answer = await self.call("bruno", "POST", f"{path}/rollout", change)
        await self.view.refresh()
        return answer

    async def grant(self, team="customs"):
        """Grant an API key and let the view learn of it; return the key."""
        answer = await self.call("anna", "POST", "/keys", {"team": team})
        await self.view.refresh()
        return answer.body


class CellThread:
    """Serves a cell in a separate thread, for tests of synchronous commands."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._stack = contextlib.AsyncExitStack()

    def __enter__(self):
        self._thread.start()
        self.admin = self.run(self._start())
        return self

    def __exit__(self, *exc_info):
        self.run(self._stack.aclose())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    def run(self, coroutine):
        """Run a coroutine in the event loop of that thread; return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    async def _start(self):
        return await self._stack.enter_async_context(AdminCell().running())
