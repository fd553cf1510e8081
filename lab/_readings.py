"""What a run of processes used between two moments."""

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
MILLIS = 1000


class TableCounts(msgspec.Struct):
    """What the table has been asked to do since its start."""

    reads: int
    commits: int
    rows_written: int


class Reading(msgspec.Struct):
    """Means over the entry processes, a second where that applies.

    Processor time is in milliseconds a second, memory in MiB of PSS.  The table's
    counts are those of all processes together.
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
        """All bytes a second of a process."""
        return sum(self.bytes_a_second.values())


@dataclass(frozen=True, slots=True)
class _Moment:
    at: float
    samples: list[Sample]
    platform: Sample
    sockets: Sockets
    table: TableCounts


async def take_reading(cluster: Cluster, seconds: float) -> Reading:
    """Return what the entry processes use within `seconds` from now."""
    before = await _take_moment(cluster)
    await asyncio.sleep(seconds)
    after = await _take_moment(cluster)
    return _between(cluster, before, after)


async def read_table_counts(cluster: Cluster) -> TableCounts:
    """Return the counts of the table's stand-in."""
    url = f"http://{cluster.address(TABLE_OFFSET)}/v1/stats"
    async with aiohttp.ClientSession() as session, session.get(url) as resp:
        return msgspec.json.decode(await resp.read(), type=TableCounts)


async def _take_moment(cluster: Cluster) -> _Moment:
    pids = [process.pid for process in cluster.processes() if process.running]
    table = await read_table_counts(cluster)
    sockets = await asyncio.to_thread(read_sockets, pids)
    samples = [read_sample(pid) for pid in pids]
    platform = read_sample(cluster.platform.pid)
    return _Moment(time.monotonic(), samples, platform, sockets, table)


def _between(cluster: Cluster, before: _Moment, after: _Moment) -> Reading:
    seconds = after.at - before.at
    count = len(after.samples)
    cpu = [
        (last.cpu_seconds - first.cpu_seconds) / seconds * MILLIS
        for first, last in zip(before.samples, after.samples, strict=True)
    ]
    pss = [sample.pss_mib for sample in after.samples]
    platform = after.platform.cpu_seconds - before.platform.cpu_seconds
    kinds = bytes_between(
        before.sockets,
        after.sockets,
        lambda local, peer: _kind(cluster.base_port, local, peer),
    )
    return Reading(
        processes=count,
        seconds=seconds,
        cpu_ms=statistics.fmean(cpu),
        cpu_ms_most=max(cpu),
        platform_cpu_ms=platform / seconds * MILLIS,
        pss_mib=statistics.fmean(pss),
        pss_mib_most=max(pss),
        bytes_a_second={
            kind: total / seconds / count for kind, total in sorted(kinds.items())
        },
        table_reads=(after.table.reads - before.table.reads) / seconds,
        table_commits=(after.table.commits - before.table.commits) / seconds,
        table_rows=(after.table.rows_written - before.table.rows_written) / seconds,
    )


def _kind(base_port: int, local: str, peer: str) -> str:
    """Return what a connection of an entry process serves."""
    offset = int(peer.rpartition(":")[2]) - base_port
    if offset == TABLE_OFFSET:
        return "table"
    if offset == VMS_OFFSET:
        return "vm_list"
    if FIRST_WORKER_OFFSET <= offset <= LAST_SERVER_OFFSET:
        return "servers"
    here = int(local.rpartition(":")[2]) - base_port
    end = here if 0 <= here <= LAST_ENTRY_OFFSET else offset
    return "callers" if end % PORTS_PER_ENTRY_VM == 0 else "peers"
