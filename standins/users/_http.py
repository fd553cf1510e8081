"""Serves the HTTP protocols of the platform's store and of its backend servers."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any

import msgspec
from aiohttp import web

from cassiaweir.dispatch import OrderOutcome, StartOrder
from cassiaweir.exceptions import (
    ConflictError,
    FencedError,
    HistoryLostError,
    TransactionRejectedError,
)
from cassiaweir.types import Check, Row, Write
from standins.users._rows import MemoryStore
from standins.users._servers import FakeServer

REJECTION_REASONS = {
    OrderOutcome.FENCED: "fence",
    OrderOutcome.OLD_RUN: "old",
    OrderOutcome.TOO_LATE: "late",
}

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def _encode_row(row: Row) -> dict[str, Any]:
    table, part, key = row.key.split("/", 2)
    value = base64.b64encode(row.value).decode()
    return {
        "table": table,
        "part": part,
        "key": key,
        "value": value,
        "ver": row.version,
    }


def _row_key(entry: Mapping[str, str]) -> str:
    return f"{entry['table']}/{entry.get('part', '')}/{entry['key']}"


class StoreService:
    """Serves a `MemoryStore` under the protocol of the platform's store."""

    def __init__(self, store: MemoryStore) -> None:
        self.store = store

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Respond to one request."""
        if req.path == "/rows-tx":
            return self._commit(msgspec.json.decode(await req.read()))
        if req.path == "/rows-get":
            return self._get(req.query)
        return await self._feed(req.query)

    def _commit(self, body: Mapping[str, Any]) -> web.Response:
        checks = [Check(_row_key(each), each["ver"]) for each in body["expect_rev"]]
        writes = [
            Write(_row_key(each), base64.b64decode(each["value"]))
            for each in body["writes"]
        ]
        writes += [Write(_row_key(each), None) for each in body["remove"]]
        try:
            self.store.apply(checks, writes)
        except ConflictError:
            return web.json_response({"rows": []}, status=412)
        except TransactionRejectedError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.json_response({"ver": self.store.version, "now_ms": 1})

    def _get(self, query: Mapping[str, str]) -> web.Response:
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
                "rows": [_encode_row(row) for row in rows[:limit]],
                "more_pages": len(rows) > limit,
                "ver": self.store.version,
            }
        )

    async def _feed(self, query: Mapping[str, str]) -> web.Response:
        wait_s = int(query["wait_ms"]) / 1_000
        try:
            found = await self.store.changes(
                query["table"], int(query["after"]), wait_s
            )
        except HistoryLostError:
            return web.json_response({}, status=410)
        rows = [_encode_row(row) for row in found.written]
        for key in found.removed:
            table, part, own = key.split("/", 2)
            rows.append({"table": table, "part": part, "key": own, "removed": True})
        return web.json_response({"rows": rows, "ver": found.version})


class ServerService:
    """Serves a `FakeServer` under the protocol of a backend server."""

    def __init__(self, server: FakeServer) -> None:
        self.server = server

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Respond to one request."""
        return await self.carry_out(req.path, msgspec.json.decode(await req.read()))

    async def carry_out(self, path: str, body: Mapping[str, Any]) -> web.Response:
        """Carry out a call in the present lifetime, whichever it was sent to."""
        if path == "/hold":
            return await self._hold(body)
        if path == "/run-start":
            outcome = self.server.start(self.order(body))
        else:
            outcome = self.server.stop(body["task"], body["run"], body["fence"])
        clock = {"clock_ms": self.server.clock_ms()}
        if outcome is OrderOutcome.ACCEPTED:
            return web.json_response(clock)
        return web.json_response(
            clock | {"reason": REJECTION_REASONS[outcome]}, status=409
        )

    @staticmethod
    def order(body: Mapping[str, Any]) -> StartOrder:
        """Return the start order in the body of `/run-start`."""
        return StartOrder(
            body["task"], body["run"], body["spec"], body["until_ms"], body["fence"]
        )

    async def _hold(self, body: Mapping[str, Any]) -> web.Response:
        try:
            report = await self.server.renew_lease(
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
async def listening(handler: Handler, port: int = 0) -> AsyncIterator[str]:
    """Serve `handler` on loopback and yield the address; port 0 takes a free port."""
    runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    host, bound = runner.addresses[0]
    try:
        yield f"{host}:{bound}"
    finally:
        await runner.cleanup()
