"""The simulated transactional table."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from cassiaweir.exceptions import ConflictError
from cassiaweir.platform.wire import (
    CommitAnswer,
    CommitRequest,
    ProblemKind,
    ReadRequest,
    RowsAnswer,
    ScanRequest,
)
from standins._http import Service, problem, read_body, response
from standins.memory import MemoryTable

COMMIT_PATH = "/v1/commit"


class TableStats(msgspec.Struct):
    """Counters since the start; `late_applied` counts commits that took effect late."""

    reads: int
    commits: int
    rows_written: int
    late_applied: int


class TableService(Service):
    """Serves a `MemoryTable` over HTTP."""

    def __init__(self) -> None:
        super().__init__()
        self.table = MemoryTable()
        self._late_commits: set[asyncio.Task[None]] = set()
        self._late_applied = 0
        self.app.router.add_post("/v1/read", self._read)
        self.app.router.add_post("/v1/scan", self._scan)
        self.app.router.add_post(COMMIT_PATH, self._commit)
        self.app.router.add_get("/v1/stats", self._stats)

    def is_mutation(self, req: web.Request) -> bool:
        """Return whether `req` is a commit, so that `lose_answers` applies to it."""
        return req.path == COMMIT_PATH

    async def _read(self, req: web.Request) -> web.Response:
        body = await read_body(req, ReadRequest)
        rows = await self.table.read(body.keys)
        return response(RowsAnswer([rows[key] for key in sorted(rows)]))

    async def _scan(self, req: web.Request) -> web.Response:
        body = await read_body(req, ScanRequest)
        rows = await self.table.scan(body.prefix, after=body.after, limit=body.limit)
        return response(RowsAnswer(rows))

    async def _commit(self, req: web.Request) -> web.Response:
        body = await read_body(req, CommitRequest)
        if self.faults.late_commits:
            self.faults.late_commits -= 1
            task = asyncio.create_task(self._apply_late(body))
            self._late_commits.add(task)
            task.add_done_callback(self._late_commits.discard)
            return await self.drop(req)
        try:
            versions = self.table.apply(body.checks, body.writes)
        except ConflictError as exc:
            return problem(ProblemKind.CONFLICT, str(exc))
        return response(CommitAnswer(versions))

    async def _apply_late(self, body: CommitRequest) -> None:
        await asyncio.sleep(self.faults.late_ms / 1000)
        try:
            self.table.apply(body.checks, body.writes)
        except ConflictError:
            return
        self._late_applied += 1

    async def _stats(self, req: web.Request) -> web.Response:
        table = self.table
        return response(
            TableStats(
                table.reads, table.commits, table.rows_written, self._late_applied
            )
        )
