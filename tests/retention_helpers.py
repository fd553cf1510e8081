"""What the tests of retention share: a table that can be raced, and rows to clean."""

from datetime import timedelta

import msgspec

from cassiaweir.clock import ManualClock
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.requests import Claims
from cassiaweir.retention import Retention, RetentionOptions
from cassiaweir.types import Resources, ShardOwner, Write
from cassiaweir.work import DoneRow, JobRow, PartRow, done_key, job_key, part_key
from standins.memory import MemoryTable
from tests.fleet_fakes import make_spec
from tests.test_requests_helpers import MemoryObjects

SHARDS = ["augusta-0", "milazzo-0", "priolo-0"]
TERMS = RetentionOptions(
    jobs=timedelta(days=7),
    claims=timedelta(days=3),
    watch=timedelta(hours=1),
    bundles=3,
    rows_per_second=10,
)
DAY = 86_400
HOUR = 3_600


class SteppingClock(ManualClock):
    """A clock whose wall time can be set; it shows what `base` shows and `shift`."""

    def __init__(self, base: ManualClock | None = None, shift: float = 0) -> None:
        super().__init__()
        self.base = base
        self.shift = shift

    def now(self):
        now = self.base.now() if self.base is not None else super().now()
        return now + timedelta(seconds=self.shift)

    def monotonic(self):
        return self.base.monotonic() if self.base is not None else super().monotonic()


class RacedTable(MemoryTable):
    """Lets `racer` run once, right before the next commit that deletes a row."""

    def __init__(self) -> None:
        super().__init__()
        self.racer = None

    async def commit(self, checks, writes):
        if self.racer is not None and any(write.value is None for write in writes):
            racer, self.racer = self.racer, None
            await racer()
        return await super().commit(checks, writes)

    def names(self, prefix=""):
        return sorted(key for key in self._rows if key.startswith(prefix))


class Owned:
    """The shards that a process owns; implements `OwnedShards`."""

    def __init__(self, *shards):
        self.shards = shards

    def owned(self):
        return [
            ShardOwner(
                shard, shard[:-2], "p", "127.0.0.1:1", 1, Resources(), Resources(), 0, 0
            )
            for shard in self.shards
        ]


class Cleaner:
    """One scheduler's retention, driven by hand."""

    def __init__(self, table, clock, *shards, terms=TERMS):
        self.events = EventLog("s", clock)
        self.metrics = Metrics()
        self.owned = Owned(*(shards or SHARDS))
        self.retention = Retention(
            table,
            self.owned,
            SHARDS,
            terms,
            clock=clock,
            events=self.events,
            metrics=self.metrics,
        )

    async def turn(self):
        """Take one turn of everything."""
        retention = self.retention
        for rule in (*retention._rules, *retention._slow_rules):
            await self.retention.clean_rows(rule)
        await self.retention.clean_bundles()

    async def turns(self, count=4):
        for _ in range(count):
            await self.turn()

    def kinds(self, kind):
        return [e.subject for e in self.events.after(0, 10_000) if e.kind == kind]


async def add_job(table, job="j1", shards=SHARDS[:2], *, submitted_at=0.0):
    """Write what a submission writes."""
    spec = make_spec(job)
    row = JobRow(job, "t1", spec, submitted_at, list(shards))
    part = PartRow(job, "t1", spec, submitted_at, 0, 1)
    writes = [
        Write(part_key(shard, job), msgspec.json.encode(part)) for shard in shards
    ]
    await table.commit([], [Write(job_key(job), msgspec.json.encode(row)), *writes])


async def end_part(table, job="j1", shard=SHARDS[0]):
    """Write what the owner of a shard writes when a part is finished."""
    done = Write(
        done_key(job, shard), msgspec.json.encode(DoneRow(job, "t1", 1, 0, False))
    )
    await table.commit([], [done, Write(part_key(shard, job), None)])


async def end_job(table, job="j1", shards=SHARDS[:2]):
    for shard in shards:
        await end_part(table, job, shard)


def make_claims(table, clock, process="gateway-1") -> Claims:
    return Claims(
        table,
        table,
        MemoryObjects(),
        process=process,
        clock=clock,
        events=EventLog(process, clock),
    )
