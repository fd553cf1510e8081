"""Times roll-outs and takeovers."""

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
from lab._readings import read_table_counts
from lab._site import Site, make_bundle, open_site
from prove.cluster import Cluster, Layout

ROLL_OUTS = 5
ROLL_OUT_SECONDS = 4.0
QUIET_SECONDS = 10.0
TAKEOVERS = 3
TAKEOVER_TASKS = 250
LONGEST_TAKEOVER_SECONDS = 90.0
LOOK_INTERVAL_SECONDS = 0.02
EVENTS_WANTED = 4096
CALL_SECONDS = 5


async def measure_roll_outs(site: Site) -> dict[str, float]:
    """Return the seconds until a bundle is in force, and the table's reads for it.

    The seconds count from the call that moves the head to the last process that
    installed the version.
    """
    quiet = await _reads_within(site.cluster, QUIET_SECONDS) / QUIET_SECONDS
    seconds: list[float] = []
    reads = 0.0
    for number in range(ROLL_OUTS):
        before = (await read_table_counts(site.cluster)).reads
        began = time.monotonic()
        version, at = await _roll_out(site, share=number + 2)
        await asyncio.sleep(ROLL_OUT_SECONDS)
        seconds += await _installed_after(site.cluster, version, at)
        reads += (await read_table_counts(site.cluster)).reads - before
        reads -= quiet * (time.monotonic() - began)
    return {
        "roll_out_mean": statistics.fmean(seconds),
        "roll_out_most": max(seconds),
        "roll_out_processes": len(seconds) / ROLL_OUTS,
        "roll_out_reads": reads / ROLL_OUTS,
    }


async def measure_takeovers(layout: Layout) -> dict[str, float]:
    """Return the seconds from the kill of an owner until its shard runs again.

    `known` ends when the successor tells that all tasks run, `start` when a task
    runs that was submitted after the kill.
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
    """Return the last events of the process that listens on `address`."""
    async with grpc.aio.insecure_channel(address) as channel:
        stub = cell_pb2_grpc.PeerStub(channel)
        request = cell_pb2.EventsRequest(limit=EVENTS_WANTED)
        answer = await stub.Events(request, timeout=CALL_SECONDS)
    return [msgspec.json.decode(raw, type=Event) for raw in answer.events]


async def _reads_within(cluster: Cluster, seconds: float) -> int:
    before = (await read_table_counts(cluster)).reads
    await asyncio.sleep(seconds)
    return (await read_table_counts(cluster)).reads - before


async def _roll_out(site: Site, *, share: int) -> tuple[int, datetime]:
    """Roll a bundle out; return its version and when the head was about to move."""
    desk = site.desk
    bundle = make_bundle(site.teams, share=share)
    draft = await desk.repository.draft(desk.author, bundle)
    version, digest = draft.version, draft.digest
    await desk.repository.propose(desk.author, version, digest)
    await desk.repository.review(desk.reviewer, version, digest, approve=True)
    at = datetime.now(UTC)
    await desk.repository.roll_out(desk.reviewer, version, digest)
    return version, at


async def _installed_after(cluster: Cluster, version: int, at: datetime) -> list[float]:
    """Return the seconds from `at` until each process installed `version`."""
    logs = await asyncio.gather(*map(read_events, cluster.rpc_addresses()))
    return [
        (event.at - at).total_seconds()
        for events in logs
        for event in events
        if event.kind == "bundle_installed" and event.fields["version"] == version
    ]


async def _time_takeover(layout: Layout) -> tuple[float, float]:
    async with open_site(layout, "takeover") as site:
        job = await site.submit(TAKEOVER_TASKS, "forever", JobKind.SERVICE)
        await site.caller.wait_running(job, TAKEOVER_TASKS)
        owner = await _owner_vm(site.cluster)
        began = time.monotonic()
        await site.cluster.entry_vms[owner].serving("scheduler").kill()
        async with asyncio.timeout(LONGEST_TAKEOVER_SECONDS):
            known, start = await asyncio.gather(
                _wait_known(site, job, began), _wait_start(site, began)
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


async def _wait_known(site: Site, job: str, began: float) -> float:
    while True:
        state = await site.caller.look(job)
        if state is not None and state.running >= TAKEOVER_TASKS:
            return time.monotonic() - began
        await asyncio.sleep(LOOK_INTERVAL_SECONDS)


async def _wait_start(site: Site, began: float) -> float:
    job = await site.submit(1, "forever", JobKind.BATCH)
    await site.caller.wait_running(job, 1)
    return time.monotonic() - began
