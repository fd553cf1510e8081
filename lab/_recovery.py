"""Measures how long roll-outs of bundles and takeovers of shards last."""

from __future__ import annotations

import asyncio
import statistics
import time
from datetime import UTC, datetime

import grpc
import msgspec

from cassiaweir.observe import Event
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.types import JobKind
from lab._cell import LabCell, make_bundle, open_cell
from lab._readings import read_table_counts
from prove.cluster import Cluster, Layout

ROLL_OUTS = 5
ROLL_OUT_WAIT_SECONDS = 4.0
IDLE_SECONDS = 10.0
TAKEOVERS = 3
TAKEOVER_TASKS = 250
MAX_TAKEOVER_SECONDS = 90.0
POLL_INTERVAL_SECONDS = 0.02
MAX_EVENTS = 4096
CALL_TIMEOUT_SECONDS = 5


async def measure_roll_outs(cell: LabCell) -> dict[str, float]:
    """Return how long processes take to install a bundle, and the reads of the table.

    The time of each process counts in seconds from the call that rolls the bundle out.
    Reads that an idle cell would have made in the same time are subtracted.
    """
    idle_rate = await _reads_within(cell.cluster, IDLE_SECONDS) / IDLE_SECONDS
    seconds: list[float] = []
    reads = 0.0
    for number in range(ROLL_OUTS):
        before = (await read_table_counts(cell.cluster)).reads
        started_at = time.monotonic()
        version, rolled_out_at = await _roll_out(cell, share=number + 2)
        await asyncio.sleep(ROLL_OUT_WAIT_SECONDS)
        seconds += await _installation_delays(cell.cluster, version, rolled_out_at)
        reads += (await read_table_counts(cell.cluster)).reads - before
        reads -= idle_rate * (time.monotonic() - started_at)
    return {
        "roll_out_mean": statistics.fmean(seconds),
        "roll_out_most": max(seconds),
        "roll_out_processes": len(seconds) / ROLL_OUTS,
        "roll_out_reads": reads / ROLL_OUTS,
    }


async def measure_takeovers(layout: Layout) -> dict[str, float]:
    """Return the seconds from the kill of a shard's owner until the shard is served.

    `known` ends when the new owner reports that all tasks run, `start` when a task that
    was submitted after the kill runs.
    """
    timed = [await _time_takeover(layout) for _ in range(TAKEOVERS)]
    known = [pair[0] for pair in timed]
    start = [pair[1] for pair in timed]
    return {
        "known_mean": statistics.fmean(known),
        "known_most": max(known),
        "start_mean": statistics.fmean(start),
        "start_most": max(start),
    }


async def read_events(address: str) -> list[Event]:
    """Return the latest events of the process that listens on `address`."""
    async with grpc.aio.insecure_channel(address) as channel:
        stub = cell_pb2_grpc.PeerStub(channel)
        request = cell_pb2.EventsRequest(limit=MAX_EVENTS)
        response = await stub.Events(request, timeout=CALL_TIMEOUT_SECONDS)
    return [msgspec.json.decode(raw, type=Event) for raw in response.events]


async def _reads_within(cluster: Cluster, seconds: float) -> int:
    before = (await read_table_counts(cluster)).reads
    await asyncio.sleep(seconds)
    return (await read_table_counts(cluster)).reads - before


async def _roll_out(cell: LabCell, *, share: int) -> tuple[int, datetime]:
    """Roll out a bundle; return its version and the time of the roll-out call."""
    operators = cell.operators
    bundle = make_bundle(cell.teams, share=share)
    draft = await operators.repository.draft(operators.author, bundle)
    version, digest = draft.version, draft.digest
    await operators.repository.propose(operators.author, version, digest)
    await operators.repository.review(operators.reviewer, version, digest, approve=True)
    rolled_out_at = datetime.now(UTC)
    await operators.repository.roll_out(operators.reviewer, version, digest)
    return version, rolled_out_at


async def _installation_delays(
    cluster: Cluster, version: int, at: datetime
) -> list[float]:
    """Return how many seconds after `at` each process installed `version`."""
    logs = await asyncio.gather(*map(read_events, cluster.rpc_addresses()))
    return [
        (event.at - at).total_seconds()
        for events in logs
        for event in events
        if event.kind == "bundle_installed" and event.fields["version"] == version
    ]


async def _time_takeover(layout: Layout) -> tuple[float, float]:
    async with open_cell(layout, "takeover") as cell:
        job = await cell.submit(TAKEOVER_TASKS, "forever", JobKind.SERVICE)
        await cell.caller.wait_running(job, TAKEOVER_TASKS)
        owner = await _owner_vm(cell.cluster)
        started_at = time.monotonic()
        await cell.cluster.entry_vms[owner].serving("scheduler").kill()
        async with asyncio.timeout(MAX_TAKEOVER_SECONDS):
            known, start = await asyncio.gather(
                _time_until_known(cell, job, started_at),
                _time_until_start(cell, started_at),
            )
    return known, start


async def _owner_vm(cluster: Cluster) -> str:
    """Return the entry VM whose process acquired a shard last."""
    logs = await asyncio.gather(*map(read_events, cluster.rpc_addresses()))
    acquired = [
        event for events in logs for event in events if event.kind == "shard_acquired"
    ]
    last = max(acquired, key=lambda event: event.epoch)
    return last.process.partition(".")[0]


async def _time_until_known(cell: LabCell, job: str, started_at: float) -> float:
    while True:
        state = await cell.caller.look(job)
        if state is not None and state.running >= TAKEOVER_TASKS:
            return time.monotonic() - started_at
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _time_until_start(cell: LabCell, started_at: float) -> float:
    job = await cell.submit(1, "forever", JobKind.BATCH)
    await cell.caller.wait_running(job, 1)
    return time.monotonic() - started_at
