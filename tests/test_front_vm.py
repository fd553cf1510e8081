"""An entry VM over HTTP, against a simulated store and simulated backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import msgspec

from cassiaweir.clock import SystemClock
from cassiaweir.composition._front_adapters import DrainOnStop
from cassiaweir.composition._front_vm import build_front_vm
from cassiaweir.dispatch import outcome_key
from cassiaweir.front import FrontServer
from cassiaweir.jobs import JobSpec, StepSpec
from cassiaweir.platform import LocalSettings
from cassiaweir.types import Write
from standins.users import ServerService, StoreService, listening
from tests.site_fakes import QUEUE, FakeSite
from tests.waiting import MAX_POLLS, POLL_INTERVAL_S, until

MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "prefix": "/jobs/",
            "service": "inventory",
            "priority": 1,
            "attempts": 2,
            "stretch": 2.0,
            "slo_ms": 1000,
        }
    ],
    "services": [{"name": "inventory"}],
    "tenants": [{"name": "agency", "keys": ["secret"], "weight": 5}],
}
BODY = {"spec": "0.2/done", "steps": [{"count": 2, "cpu": 500, "mem_mb": 64}]}
JOB_ID = "00000000000000aa"
SPEC = JobSpec(
    job_id=JOB_ID,
    queue=QUEUE,
    customer="agency",
    task_spec="0.2/done",
    steps=(StepSpec(count=2, cpu_millis=500, memory_mb=64),),
    submitted_at=0.0,
)
HEADERS = {"Host": "h", "X-Credential": "secret"}


def settings(store_address: str) -> LocalSettings:
    return LocalSettings(
        node="vm-1",
        failure_domain="augusta",
        front_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        seed_addresses=(),
        store_address=store_address,
        advice_address="",
        key_withdrawal_s=5,
    )


async def register(site: FakeSite, stack: AsyncExitStack) -> None:
    """Serve each fake server over HTTP and store its entry as the platform does."""
    for server in site.servers.values():
        address = await stack.enter_async_context(
            listening(ServerService(server).handle)
        )
        entry = {
            "service": "inventory",
            "addr": address,
            "zone": "augusta",
            "state": "ready",
            "room": {"cpu": 16_000, "mem_mb": 65_536},
            "labels": ["a", "r1-0"],
            "born": server.entry.born,
        }
        key = f"servers//{server.entry.server_id}"
        site.store.apply([], [Write(key, msgspec.json.encode(entry))])


async def until_shown_done(session: aiohttp.ClientSession, url: str) -> None:
    """Ask for the job's state until it is done; fail on any other final state.

    Its end is shown once the store's answer has reached the leader, which may be later
    than the store shows the outcome.
    """
    for _ in range(MAX_POLLS):
        async with session.get(url, headers=HEADERS) as resp:
            assert resp.status == 200
            state = (await resp.json())["state"]
        if state == "done":
            return
        assert state == "running"
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"the job is still not shown as done after {MAX_POLLS} polls")


async def stop_all(components) -> None:
    for component in reversed(components):
        if not isinstance(component, DrainOnStop):
            await component.stop()


@asynccontextmanager
async def running_site(
    *keys: str,
) -> AsyncIterator[tuple[FakeSite, aiohttp.ClientSession, str]]:
    """Run an entry VM; yield its site, a session and the URL of the job.

    The store has the rows `keys` beside the configuration and the servers' entries.
    """
    async with AsyncExitStack() as stack:
        site = FakeSite(servers=2, vms=0)
        await register(site, stack)
        value = msgspec.json.encode(MANIFEST)
        site.store.apply([], [Write("op//config", value)])
        site.store.apply([], [Write(key, b"") for key in keys])
        address = await stack.enter_async_context(
            listening(StoreService(site.store).handle)
        )
        process = build_front_vm(settings(address), SystemClock())
        parts = process._components
        for part in parts:
            await part.start()
        stack.push_async_callback(stop_all, parts)
        front = next(part for part in parts if isinstance(part, FrontServer))
        host, port = front._runners[0].addresses[0]
        url = f"http://{host}:{port}/jobs/{JOB_ID}"
        session = await stack.enter_async_context(aiohttp.ClientSession())
        site.specs[JOB_ID] = SPEC
        await until(lambda: front._is_ready())
        yield site, session, url


async def test_a_submitted_job_runs_on_the_servers_and_is_reported_done():
    async with running_site() as (site, session, url):
        async with session.post(url, json=BODY, headers=HEADERS) as resp:
            assert resp.status == 200
        await until(lambda: outcome_key(JOB_ID) in site.store.rows)
        await until_shown_done(session, url)
        async with session.get(url, headers={"Host": "h"}) as resp:
            assert resp.status == 401
        assert len(site.starts_of(JOB_ID)) == 2
        assert not site.faults


# Guards against requests in the store that do not reach the leader of the process.
async def test_no_job_starts_while_the_store_requests_an_evacuation():
    key = "op//evacuate/augusta"
    async with running_site(key) as (site, session, url):
        async with session.post(url, json=BODY, headers=HEADERS) as resp:
            assert resp.status == 200
        await asyncio.sleep(1)
        assert not site.history
        site.store.apply([], [Write(key, None)])
        await until(lambda: outcome_key(JOB_ID) in site.store.rows)
        assert not site.faults
