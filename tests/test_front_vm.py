"""The whole path of an entry VM over HTTP, against small stand-ins of the platform."""

from __future__ import annotations

import base64
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import msgspec
from aiohttp import web

from cassiaweir.clock import SystemClock
from cassiaweir.composition._front_vm import _Drain, build_front_vm
from cassiaweir.dispatch import StartOrder, outcome_key
from cassiaweir.exceptions import ConflictError, FencedError, HistoryLostError
from cassiaweir.front import FrontServer
from cassiaweir.jobs import JobSpec, StepSpec
from cassiaweir.platform import ProcessFile
from cassiaweir.types import Check, Row, Write
from tests.site_fakes import QUEUE, FakeServer, FakeSite, MemoryStore
from tests.waiting import until

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


def wire_row(row: Row) -> dict:
    table, part, key = row.key.split("/", 2)
    value = base64.b64encode(row.value).decode()
    return {
        "table": table,
        "part": part,
        "key": key,
        "value": value,
        "ver": row.version,
    }


def row_key(entry: dict) -> str:
    return f"{entry['table']}/{entry.get('part', '')}/{entry['key']}"


class StoreStandin:
    """Speaks the store's protocol over a store in memory."""

    def __init__(self, store: MemoryStore) -> None:
        self.store = store

    async def handle(self, req: web.BaseRequest) -> web.Response:
        if req.path == "/rows-tx":
            return self._commit(msgspec.json.decode(await req.read()))
        if req.path == "/rows-get":
            return self._get(req.query)
        return await self._feed(req.query)

    def _commit(self, body: dict) -> web.Response:
        checks = [Check(row_key(each), each["ver"]) for each in body["expect_rev"]]
        writes = [
            Write(row_key(each), base64.b64decode(each["value"]))
            for each in body["writes"]
        ]
        writes += [Write(row_key(each), None) for each in body["remove"]]
        try:
            self.store.apply(checks, writes)
        except ConflictError:
            return web.json_response({"rows": []}, status=412)
        return web.json_response({"ver": self.store.version, "now_ms": 1})

    def _get(self, query) -> web.Response:
        prefix = f"{query['table']}/{query['part']}/"
        first, end = query.get("from", ""), query.get("to", "")
        rows = [
            row
            for key, row in sorted(self.store.rows.items())
            if key.startswith(prefix)
            and key[len(prefix) :] >= first
            and (not end or key[len(prefix) :] < end)
        ]
        limit = int(query["limit"])
        return web.json_response(
            {
                "rows": [wire_row(row) for row in rows[:limit]],
                "more_pages": len(rows) > limit,
                "ver": self.store.version,
            }
        )

    async def _feed(self, query) -> web.Response:
        wait_s = int(query["wait_ms"]) / 1_000
        try:
            found = await self.store.changes(
                query["table"], int(query["after"]), wait_s
            )
        except HistoryLostError:
            return web.json_response({}, status=410)
        rows = [wire_row(row) for row in found.written]
        for key in found.removed:
            table, part, own = key.split("/", 2)
            rows.append({"table": table, "part": part, "key": own, "removed": True})
        return web.json_response({"rows": rows, "ver": found.version})


class ServerStandin:
    """Speaks a backend server's protocol over a fake one."""

    def __init__(self, server: FakeServer) -> None:
        self.server = server

    async def handle(self, req: web.BaseRequest) -> web.Response:
        body = msgspec.json.decode(await req.read())
        if req.path == "/hold":
            return await self._hold(body)
        if req.path == "/run-start":
            order = StartOrder(
                body["task"], body["run"], body["spec"], body["until_ms"], body["fence"]
            )
            outcome = self.server.start(order)
        else:
            outcome = self.server.stop(body["task"], body["run"], body["fence"])
        status = 200 if outcome.value == "accepted" else 409
        return web.json_response({"clock_ms": self.server.clock_ms()}, status=status)

    async def _hold(self, body: dict) -> web.Response:
        try:
            report = await self.server.hold(
                body["fence"],
                body.get("until_ms"),
                body["acked_upto"],
                body["wait_ms"] / 1_000,
            )
        except FencedError:
            return web.json_response({"reason": "fence"}, status=409)
        return web.json_response(
            {
                "clock_ms": report.clock_ms,
                "born": report.born,
                "running": [
                    [each.task, each.run, each.checkpoint, each.percent, 0]
                    for each in report.running
                ],
                "ended": [
                    [each.number, each.task, each.run, each.kind.value, ""]
                    for each in report.ended
                ],
            }
        )


@asynccontextmanager
async def listening(handler):
    """Serve `handler` on a free port of loopback and yield the address."""
    runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


def settings(store_address: str) -> ProcessFile:
    return ProcessFile(
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
    """Serve each fake server and write its entry as the platform does."""
    for server in site.servers.values():
        address = await stack.enter_async_context(
            listening(ServerStandin(server).handle)
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


async def test_a_job_goes_from_a_caller_to_the_servers_and_back():
    async with AsyncExitStack() as stack:
        site = FakeSite(servers=2, vms=0)
        await register(site, stack)
        value = msgspec.json.encode(MANIFEST)
        site.store.apply([], [Write("op//config", value)])
        address = await stack.enter_async_context(
            listening(StoreStandin(site.store).handle)
        )
        process = build_front_vm(settings(address), SystemClock())
        parts = process._components
        for part in parts:
            await part.start()
        front = next(part for part in parts if isinstance(part, FrontServer))
        host, port = front._runners[0].addresses[0]
        url = f"http://{host}:{port}/jobs/{JOB_ID}"
        session = await stack.enter_async_context(aiohttp.ClientSession())
        site.specs[JOB_ID] = SPEC
        await until(lambda: front._is_ready())
        async with session.post(url, json=BODY, headers=HEADERS) as resp:
            assert resp.status == 200
        await until(lambda: outcome_key(JOB_ID) in site.store.rows)
        async with session.get(url, headers=HEADERS) as resp:
            assert await resp.json() == {"state": "done"}
        async with session.get(url, headers={"Host": "h"}) as resp:
            assert resp.status == 401
        assert len(site.starts_of(JOB_ID)) == 2
        assert not site.faults
        for part in reversed(parts):
            if not isinstance(part, _Drain):
                await part.stop()
