"""Helpers of the retention tests: clocks and tables with faults, and rows to clean."""

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
OPTIONS = RetentionOptions(
    jobs=timedelta(days=7),
    claims=timedelta(days=3),
    watch=timedelta(hours=1),
    bundles=3,
    rows_per_second=10,
)
DAY = 86_400
HOUR = 3_600


class SteppingClock(ManualClock):
    """A clock whose wall time is that of `base` plus `shift` seconds.

    Its monotonic time is that of `base`.  Without `base` it is a clock of its own.
    """

    def __init__(self, base: ManualClock | None = None, shift: float = 0) -> None:
        super().__init__()
        self.base = base
        self.shift = shift

    def now(self):
        now = self.base.now() if self.base is not None else super().now()
        return now + timedelta(seconds=self.shift)

    def monotonic(self):
        return self.base.monotonic() if self.base is not None else super().monotonic()


class InterleavingTable(MemoryTable):
    """Runs `before_delete` once, right before the next commit that deletes a row.

    This tests changes that come between the check of a row and its removal.
    """

    def __init__(self) -> None:
        super().__init__()
        self.before_delete = None

    async def commit(self, checks, writes):
        if self.before_delete is not None and any(
            write.value is None for write in writes
        ):
            before_delete, self.before_delete = self.before_delete, None
            await before_delete()
        return await super().commit(checks, writes)

    def row_keys(self, prefix=""):
        """Return the sorted keys of the rows in the table."""
        return sorted(key for key in self._rows if key.startswith(prefix))


class FakeOwnedShards:
    """Implements `OwnedShards` with the names in `shards`."""

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
    """The `Retention` of one scheduler, with `turn` instead of its background tasks."""

    def __init__(self, table, clock, *shards, options=OPTIONS):
        self.events = EventLog("s", clock)
        self.metrics = Metrics()
        self.owned = FakeOwnedShards(*(shards or SHARDS))
        self.retention = Retention(
            table,
            self.owned,
            SHARDS,
            options,
            clock=clock,
            events=self.events,
            metrics=self.metrics,
        )

    async def turn(self):
        """Run one batch of every rule and of the bundle versions."""
        retention = self.retention
        for rule in (*retention._rules, *retention._infrequent_rules):
            await self.retention.apply_rule(rule)
        await self.retention.clean_bundles()

    async def turns(self, count=4):
        for _ in range(count):
            await self.turn()

    def subjects(self, kind):
        """Return the subjects of the recorded events of `kind`."""
        return [e.subject for e in self.events.after(0, 10_000) if e.kind == kind]


async def add_job(table, job="j1", shards=SHARDS[:2], *, submitted_at=0.0):
    """Write the rows that the submission of a job writes."""
    spec = make_spec(job)
    row = JobRow(job, "t1", spec, submitted_at, list(shards))
    part = PartRow(job, "t1", spec, submitted_at, 0, 1)
    writes = [
        Write(part_key(shard, job), msgspec.json.encode(part)) for shard in shards
    ]
    await table.commit([], [Write(job_key(job), msgspec.json.encode(row)), *writes])


async def end_part(table, job="j1", shard=SHARDS[0]):
    """Replace the row of a part by its outcome, as the owner of the shard does."""
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
