"""Measures what the processes of a cell use during an interval."""

from __future__ import annotations

import asyncio
import statistics
import time
from dataclasses import dataclass

import aiohttp
import msgspec

from lab._sockets import Sockets, bytes_between, read_sockets
from lab.footprint import Sample, read_sample
from prove.cluster import PORTS_PER_ENTRY_VM, TABLE_OFFSET, VMS_OFFSET, Cluster

FIRST_WORKER_OFFSET = 100
LAST_SERVER_OFFSET = 699
LAST_ENTRY_OFFSET = 1_999
MS_PER_SECOND = 1000


class TableCounts(msgspec.Struct):
    """The operations that the table has served since its start."""

    reads: int
    commits: int
    rows_written: int


class Reading(msgspec.Struct):
    """The mean use of an entry process during an interval.

    Processor time is in milliseconds per second, memory in MiB of PSS (proportional set
    size).  Values with `most` are the largest of any process.  The `table_` values are
    operations per second of all processes together, and `platform_cpu_ms` is the
    processor time of the process that simulates the platform.
    """

    processes: int
    seconds: float
    cpu_ms: float
    cpu_ms_most: float
    platform_cpu_ms: float
    pss_mib: float
    pss_mib_most: float
    bytes_a_second: dict[str, float]
    table_reads: float
    table_commits: float
    table_rows: float

    @property
    def total_bytes(self) -> float:
        """The bytes per second of a process over all kinds of connections."""
        return sum(self.bytes_a_second.values())


@dataclass(frozen=True, slots=True)
class _Snapshot:
    taken_at: float
    samples: list[Sample]
    platform: Sample
    sockets: Sockets
    table: TableCounts


async def take_reading(cluster: Cluster, seconds: float) -> Reading:
    """Measure for `seconds` what the entry processes use."""
    before = await _take_snapshot(cluster)
    await asyncio.sleep(seconds)
    after = await _take_snapshot(cluster)
    return _compute_reading(cluster, before, after)


async def read_table_counts(cluster: Cluster) -> TableCounts:
    """Return the operation counts of the simulated table."""
    url = f"http://{cluster.address(TABLE_OFFSET)}/v1/stats"
    async with aiohttp.ClientSession() as session, session.get(url) as resp:
        return msgspec.json.decode(await resp.read(), type=TableCounts)


async def _take_snapshot(cluster: Cluster) -> _Snapshot:
    pids = [process.pid for process in cluster.processes() if process.running]
    table = await read_table_counts(cluster)
    sockets = await asyncio.to_thread(read_sockets, pids)
    samples = [read_sample(pid) for pid in pids]
    platform = read_sample(cluster.platform.pid)
    return _Snapshot(time.monotonic(), samples, platform, sockets, table)


def _compute_reading(cluster: Cluster, before: _Snapshot, after: _Snapshot) -> Reading:
    seconds = after.taken_at - before.taken_at
    count = len(after.samples)
    cpu = [
        (last.cpu_seconds - first.cpu_seconds) / seconds * MS_PER_SECOND
        for first, last in zip(before.samples, after.samples, strict=True)
    ]
    pss = [sample.pss_mib for sample in after.samples]
    platform = after.platform.cpu_seconds - before.platform.cpu_seconds
    bytes_by_kind = bytes_between(
        before.sockets,
        after.sockets,
        lambda local, peer: _connection_kind(cluster.base_port, local, peer),
    )
    return Reading(
        processes=count,
        seconds=seconds,
        cpu_ms=statistics.fmean(cpu),
        cpu_ms_most=max(cpu),
        platform_cpu_ms=platform / seconds * MS_PER_SECOND,
        pss_mib=statistics.fmean(pss),
        pss_mib_most=max(pss),
        bytes_a_second={
            kind: total / seconds / count
            for kind, total in sorted(bytes_by_kind.items())
        },
        table_reads=(after.table.reads - before.table.reads) / seconds,
        table_commits=(after.table.commits - before.table.commits) / seconds,
        table_rows=(after.table.rows_written - before.table.rows_written) / seconds,
    )


def _connection_kind(base_port: int, local: str, peer: str) -> str:
    """Return the kind of peer at the other end of an entry process's connection."""
    offset = int(peer.rpartition(":")[2]) - base_port
    if offset == TABLE_OFFSET:
        return "table"
    if offset == VMS_OFFSET:
        return "vm_list"
    if FIRST_WORKER_OFFSET <= offset <= LAST_SERVER_OFFSET:
        return "servers"
    local_offset = int(local.rpartition(":")[2]) - base_port
    entry_offset = local_offset if 0 <= local_offset <= LAST_ENTRY_OFFSET else offset
    return "callers" if entry_offset % PORTS_PER_ENTRY_VM == 0 else "peers"
